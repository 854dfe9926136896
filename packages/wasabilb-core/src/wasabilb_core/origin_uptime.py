"""Uptime of the origin of weights, from the results of this host's own reads."""

import math
from collections import deque

# Outages that are stored. A transfer takes seconds and sees a few at most.
MAX_OUTAGES = 16


class OriginUptime:
    """Records the outages of the origin as observed by one host."""

    def __init__(self) -> None:
        self._away_since = math.inf
        self._outages: deque[tuple[float, float]] = deque(maxlen=MAX_OUTAGES)

    def on_read(self, now: float, *, is_answered: bool) -> None:
        """Record the result of a read."""
        if not is_answered:
            self._away_since = min(self._away_since, now)
        elif self._away_since < now:
            self._outages.append((self._away_since, now))
            self._away_since = math.inf

    def away_s(self, now: float) -> float:
        """Return the duration of the current outage, 0 for none, seconds."""
        return max(0.0, now - self._away_since)

    def answering_s(self, since: float, now: float) -> float:
        """Return for how many seconds since a moment the origin has answered."""
        outages = [*self._outages, (self._away_since, now)]
        lost = sum(max(0.0, end - max(start, since)) for start, end in outages if start < now)
        return max(0.0, now - since - lost)
