"""Hybrid logical clock: orders events over hosts whose clocks disagree.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014. A stamp stays
close to wall time, and the stamp of an event is higher than that of every event that it depends on.
"""

import re

from attrs import frozen
from returns.result import Failure, Result, Success

# A stamp further ahead than this comes from a broken clock; taking it over would carry every
# clock of the fleet along.
MAX_AHEAD_MS = 60_000


@frozen(kw_only=True, order=True)
class Timestamp:
    """One reading of a hybrid logical clock; stamps compare by time, then by counter.

    Parameters
    ----------
    wall_ms : int
        Highest wall time known to the clock, ms since the epoch.
    counter : int
        Number of the event among those with the same `wall_ms`.
    """

    wall_ms: int
    counter: int

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.counter}"


def parse_timestamp(text: str) -> Result[Timestamp, str]:
    """Read the text form of a stamp, or fail with what was expected."""
    found = re.fullmatch(r"([0-9]{1,14})\.([0-9]{1,14})", text)
    if found is None:
        return Failure(f"expected MILLISECONDS.COUNTER, got {text[:80]!r}")
    return Success(Timestamp(wall_ms=int(found.group(1)), counter=int(found.group(2))))


class HybridClock:
    """The clock of one process; wall time is passed in."""

    def __init__(self) -> None:
        self._last = Timestamp(wall_ms=0, counter=0)

    def tick(self, wall_ms: int) -> Timestamp:
        """Return the stamp of a local event or of a message that is sent."""
        return self._advance(wall_ms, self._last)

    def receive(self, timestamp: Timestamp, wall_ms: int) -> Timestamp:
        """Return the stamp of the arrival of a message that carries a stamp.

        A stamp more than `MAX_AHEAD_MS` ahead of the wall time is left out of account.
        """
        if timestamp.wall_ms - wall_ms > MAX_AHEAD_MS:
            return self.tick(wall_ms)
        return self._advance(wall_ms, max(self._last, timestamp))

    def _advance(self, wall_ms: int, known: Timestamp) -> Timestamp:
        if wall_ms > known.wall_ms:
            self._last = Timestamp(wall_ms=wall_ms, counter=0)
        else:
            self._last = Timestamp(wall_ms=known.wall_ms, counter=known.counter + 1)
        return self._last
