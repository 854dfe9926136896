"""Encodes hybrid logical clock timestamps as 64-bit integers for messages."""

from wasabilb_core.hlc import Timestamp

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1


def to_wire(timestamp: Timestamp) -> int:
    """Return a timestamp as an integer; a counter above 16 bits is clamped."""
    return timestamp.wall_ms << _COUNTER_BITS | min(timestamp.counter, _COUNTER_MASK)


def from_wire(value: int) -> Timestamp:
    """Return the timestamp that an integer encodes."""
    return Timestamp(wall_ms=value >> _COUNTER_BITS, counter=value & _COUNTER_MASK)
