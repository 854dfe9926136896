"""Hybrid logical clock stamps as 64-bit integers in messages."""

from wasabilb_core.hlc import Timestamp

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1


def to_wire(stamp: Timestamp) -> int:
    """Return a stamp as an integer; a counter past its 16 bits stays at the highest."""
    return stamp.wall_ms << _COUNTER_BITS | min(stamp.counter, _COUNTER_MASK)


def from_wire(value: int) -> Timestamp:
    """Return the stamp of an integer."""
    return Timestamp(wall_ms=value >> _COUNTER_BITS, counter=value & _COUNTER_MASK)
