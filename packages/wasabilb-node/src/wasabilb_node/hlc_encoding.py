"""Hybrid logical clock stamps as 64-bit integers in messages."""

from wasabilb_core.hlc import Stamp

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1


def to_wire(timestamp: Stamp) -> int:
    """Return a stamp as an integer; a counter past its 16 bits stays at the highest."""
    return timestamp.wall_ms << _COUNTER_BITS | min(timestamp.counter, _COUNTER_MASK)


def from_wire(value: int) -> Stamp:
    """Return the stamp of an integer."""
    return Stamp(wall_ms=value >> _COUNTER_BITS, counter=value & _COUNTER_MASK)
