"""For how long the origin of weights has answered, from the ends of this host's own reads."""

import math
from collections import deque

# Outages that are remembered; a version is under way for seconds and sees a few at most.
MAX_OUTAGES = 16


class OriginUptime:
    """Outages of the origin as one host sees them."""

    def __init__(self) -> None:
        self._away_since = math.inf
        self._outages: deque[tuple[float, float]] = deque(maxlen=MAX_OUTAGES)

    def on_read(self, now: float, *, is_answered: bool) -> None:
        """Take the end of a read."""
        if not is_answered:
            self._away_since = min(self._away_since, now)
        elif self._away_since < now:
            self._outages.append((self._away_since, now))
            self._away_since = math.inf

    def away_s(self, now: float) -> float:
        """Return for how long the origin has not answered, 0 while it does."""
        return max(0.0, now - self._away_since)

    def answering_s(self, since: float, now: float) -> float:
        """Return for how long it has answered since a moment, seconds."""
        outages = [*self._outages, (self._away_since, now)]
        lost = sum(max(0.0, end - max(start, since)) for start, end in outages if start < now)
        return max(0.0, now - since - lost)
