"""Hybrid logical clock: orders events over hosts whose clocks disagree.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", OPODIS 2014. A timestamp
stays close to wall time and is higher than that of every event that its event depends on.
"""

import re

from attrs import frozen
from returns.result import Failure, Result, Success

# A timestamp further ahead than this comes from a broken clock. Adopting it would advance every
# clock of the fleet.
MAX_AHEAD_MS = 60_000


@frozen(kw_only=True, order=True)
class Timestamp:
    """A timestamp of a hybrid logical clock, ordered by time and then by counter.

    Parameters
    ----------
    wall_ms : int
        Highest wall time that the clock has seen, ms since the epoch.
    counter : int
        Number of the event among those with the same `wall_ms`.
    """

    wall_ms: int
    counter: int

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.counter}"


def parse_timestamp(text: str) -> Result[Timestamp, str]:
    """Parse the text form of a timestamp, or fail with the expected form."""
    match = re.fullmatch(r"([0-9]{1,14})\.([0-9]{1,14})", text)
    if match is None:
        return Failure(f"expected MILLISECONDS.COUNTER, got {text[:80]!r}")
    return Success(Timestamp(wall_ms=int(match.group(1)), counter=int(match.group(2))))


class HybridClock:
    """The hybrid logical clock of one process; wall time is passed in."""

    def __init__(self) -> None:
        self._last = Timestamp(wall_ms=0, counter=0)

    def tick(self, wall_ms: int) -> Timestamp:
        """Return the timestamp of a local event or a sent message."""
        return self._advance(wall_ms, self._last)

    def receive(self, timestamp: Timestamp, wall_ms: int) -> Timestamp:
        """Return the timestamp at which a message with a timestamp is received.

        A timestamp more than `MAX_AHEAD_MS` ahead of the wall time is ignored.
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
