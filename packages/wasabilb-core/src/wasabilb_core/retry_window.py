"""Retry budget over a sliding window, shared by all entry processes without messages.

Each process grants its own part: the ratio of its own requests and an equal part of the fixed
slack. The sum of all parts stays within the fleet's budget if the number of processes is not
underestimated.
"""

import math
from collections import deque

# Share of the budget that is used. The rest covers requests that the fleet's count assigns to the
# next window.
USED_SHARE = 0.8


class RetryWindow:
    """Budget for repeated sends to one service by this process.

    Parameters
    ----------
    ratio : float
        Repeated sends per request.
    slack : float
        Additional repeated sends of the whole fleet in each window.
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
        """Return the remaining number of repeated sends for this number of entry processes."""
        self._drop_old(now)
        budget = self._ratio * len(self._requests) + self._slack / max(1, processes)
        return max(0, math.floor(USED_SHARE * budget) - len(self._repeated_sends))

    def spend(self, now: float, processes: int) -> bool:
        """Spend one repeated send of the budget, or return False if it is used up."""
        if self.allowance(now, processes) < 1:
            return False
        self._repeated_sends.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._repeated_sends):
            while times and times[0] <= now - self._window_s:
                times.popleft()
