"""Subjects under which answers went on, bounded in number."""

import math
from collections import OrderedDict
from collections.abc import Iterable

from wasabilb_core.crash_subjects import is_whole_request

# Time for which an answer clears its subjects, seconds. Those in use are cleared again and again.
CLEARED_S = 600.0
# The same for what another process tells, seconds: it is told again with the next crash.
TOLD_CLEARED_S = 60.0
# Parts that are remembered as cleared; at 150 bytes each, 2.5 MB.
MAX_CLEARED = 16_384
# Whole requests that are remembered. Most come once, so that they have a limit of their own.
MAX_CLEARED_REQUESTS = 4096


class AnsweredSubjects:
    """Times of answers under subjects, at this process and as others tell."""

    def __init__(self) -> None:
        # The oldest first.
        self._parts: OrderedDict[int, float] = OrderedDict()
        self._requests: OrderedDict[int, float] = OrderedDict()
        # Ends of the times for which other processes have cleared subjects.
        self._told_until: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._parts) + len(self._requests)

    def add(self, subjects: Iterable[int], now: float) -> None:
        """Record an answer at this process."""
        for subject in subjects:
            times = self._times(subject)
            times[subject] = now
            times.move_to_end(subject)
        for times, limit in ((self._parts, MAX_CLEARED), (self._requests, MAX_CLEARED_REQUESTS)):
            while len(times) > limit:
                times.popitem(last=False)

    def add_told(self, subjects: Iterable[int], now: float) -> None:
        """Record what another process tells."""
        self._told_until = {s: end for s, end in self._told_until.items() if now < end}
        for subject in subjects:
            if len(self._told_until) < MAX_CLEARED:
                self._told_until[subject] = now + TOLD_CLEARED_S

    def is_cleared(self, subject: int, now: float) -> bool:
        """Return whether an answer under a subject went on lately, here or elsewhere."""
        return self.has_answered(subject, now) or now < self._told_until.get(subject, -math.inf)

    def has_answered(self, subject: int, now: float) -> bool:
        """Return whether an answer under a subject went on lately at this process."""
        return now - self._times(subject).get(subject, -math.inf) <= CLEARED_S

    def _times(self, subject: int) -> OrderedDict[int, float]:
        return self._requests if is_whole_request(subject) else self._parts
