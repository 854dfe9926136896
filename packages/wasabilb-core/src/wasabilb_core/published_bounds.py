"""Bounds of what is published: what a process can hold, compare and send to its peers."""

from wasabilb_core.json_fields import NumberRange

# Longest name of an item, bytes; the platform's own limit.
MAX_NAME_BYTES = 200
# Largest content of an item, bytes; the platform's own limit. Compressed or not, it fits a frame.
MAX_ITEM_BYTES = 1 << 20
# Messages hold revisions in 64 bits; half of the range leaves room for sums.
REVISIONS = NumberRange(low=1, high=(1 << 63) - 1)
# Milliseconds since 1970; JSON holds whole numbers up to this one exactly.
WALL_MS = NumberRange(low=0, high=(1 << 53) - 1)
# Durations and counts; messages hold milliseconds and counts in 32 bits.
DURATION_MS = NumberRange(low=0, high=(1 << 31) - 1)
COUNTS = NumberRange(low=0, high=(1 << 31) - 1)
# Requests at once at one runner, which takes one on each connection: at most as many as its address
# has ports. Routing takes a runner with more slots for an emptier one.
SLOTS = NumberRange(low=1, high=(1 << 16) - 1)
# Layers of a model, in messages 16 bits.
LAYERS = NumberRange(low=0, high=(1 << 16) - 1)
# Versions of weights, in messages 32 bits; 0 for no weights.
HELD_VERSIONS = NumberRange(low=0, high=(1 << 32) - 1)
# Versions of weights that the operator names, in messages 32 bits.
NAMED_VERSIONS = NumberRange(low=1, high=(1 << 32) - 1)
# Versions of the catalog; log lines and comparisons hold any, 64 bits leave room for all.
CATALOG_VERSIONS = NumberRange(low=0, high=(1 << 63) - 1)
# Timeouts, milliseconds: a shorter one ends every request before it is sent.
TIMEOUT_MS = NumberRange(low=1, high=(1 << 31) - 1)
# Weights of a split; sums of them stay exact enough to compare.
SPLIT_WEIGHTS = NumberRange(low=0, high=1e9)
# Rates in units a second; 0 stands for an unknown one.
RATES = NumberRange(low=0, high=1e12)
# Limits of a caller's request, which a process holds in memory, bytes. A body may be forbidden.
HEADER_BYTES = NumberRange(low=1, high=16 << 20)
BODY_BYTES = NumberRange(low=0, high=1 << 30)
# Memory of a runner in its own units, in messages 64 bits.
MEMORY = NumberRange(low=0, high=(1 << 63) - 1)
# Slowdown of a runner, 1 at the usual speed.
PACES = NumberRange(low=0, high=1e6)
