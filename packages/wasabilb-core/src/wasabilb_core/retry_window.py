"""A retry budget over a sliding window, shared by all entry processes without messages.

Each process grants its own part: the ratio of its own requests and an equal part of the fixed
slack. The sum of all parts stays within the fleet's budget when the number of processes is not
underestimated.
"""

import math
from collections import deque

# Part of the budget that is used. The rest covers requests that a process counted in a window
# that the fleet's count places in the next one.
USED_SHARE = 0.8


class RetryWindow:
    """Repeated sends to one service by this process.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    slack : float
        Repeated sends of the whole fleet that are allowed besides, in each window.
    window_s : float
        Length of the window, seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeated_sends: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._drop_old(now)

    def allowance(self, now: float, processes: int) -> int:
        """Return how many more repeated sends are allowed now, with so many entry processes."""
        self._drop_old(now)
        budget = self._ratio * len(self._requests) + self._slack / max(1, processes)
        return max(0, math.floor(USED_SHARE * budget) - len(self._repeated_sends))

    def spend(self, now: float, processes: int) -> bool:
        """Take one repeated send from the budget, or return False when it is used up."""
        if self.allowance(now, processes) < 1:
            return False
        self._repeated_sends.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._repeated_sends):
            while times and times[0] <= now - self._window_s:
                times.popleft()
