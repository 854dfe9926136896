"""Decision whether a check of staged chunks is recent enough for an order to load them."""

import math

from attrs import define, field

# Staged chunks may change at any time. Weights may be loaded with a chunk that changed within 3 s;
# a runner that does not answer an order within 1 s may still be about to accept it.
MAX_CHECK_AGE_S = 2.0
# Time that all reads of a check should take together, a quarter of the above.
CHECK_S = 0.5
# Each read at once may need a connection of its own.
MAX_READS_AT_ONCE = 32


def reads_at_once(count: int, read_s: float) -> int:
    """Return how many of `count` chunks to read at once if a read takes `read_s` seconds."""
    return max(1, min(math.ceil(count * read_s / CHECK_S), MAX_READS_AT_ONCE, count))


@define(kw_only=True)
class StagedCheck:
    """Times at which staged chunks were read and found intact.

    What a read shows held when the runner answered it, at the earliest when its request was sent.
    A slow runner, or a host that stands still during the check, makes the first reads too old
    before the last one ends.

    Parameters
    ----------
    count : int
        Number of chunks.
    """

    count: int
    _read_at: dict[int, float] = field(init=False, factory=dict)

    def on_intact(self, index: int, sent_at: float) -> None:
        """Record that a chunk is intact, read by a request that was sent at this time, seconds."""
        self._read_at[index] = sent_at

    def due(self, now: float) -> list[int]:
        """Return the chunks that must be read, those never read first, then the oldest."""
        unread = float("-inf")
        read_at = {index: self._read_at.get(index, unread) for index in range(self.count)}
        due = [index for index, at in read_at.items() if now - at >= MAX_CHECK_AGE_S]
        return sorted(due, key=read_at.__getitem__)

    def usable_until(self) -> float:
        """Return the time by which an order must be sent, seconds; every chunk was read."""
        return min(self._read_at.values()) + MAX_CHECK_AGE_S
