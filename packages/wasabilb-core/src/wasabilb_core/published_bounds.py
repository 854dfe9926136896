"""Bounds of what is published: what a process can hold, compare and send to its peers."""

from wasabilb_core.json_fields import NumberRange

# Longest name of an item, bytes; the platform's own limit.
MAX_NAME_BYTES = 200
# Largest content of an item, bytes; the platform's own limit. Compressed or not, it fits a frame.
MAX_ITEM_BYTES = 1 << 20
# Messages hold revisions in 64 bits; half of the range leaves room for sums.
REVISIONS = NumberRange(low=1, high=(1 << 63) - 1)
