"""When a service without a usable runner is likely to serve again.

Answers the load of callers who are refused while every runner holds a version that is out of date
or loads one. They come back once and are lost when they are refused again, so that each is told the
time at which the first load ends, and none a time before it. What a load has left follows from the
reports of the runner that carries it out: first its running requests end, then it loads.
"""

import math
import random

from attrs import define

from wasabilb_core.version_steps import WARM_S

# When callers come back while nothing is known of the time, as of a crashed runner or a lost link:
# about what those take to return, seconds.
NO_RUNNER_RETRY_S = 0.6
# When they come back while no runner holds a version that may answer and none loads one, seconds.
# Weights arrive seconds later at the best; callers of 6 s come back after 2 s at most.
NO_VERSION_RETRY_S = 2.0
# Callers are told between these parts of a pause, so that they do not come back all at once.
RETRY_SPREAD = (0.8, 1.2)
# A load that should have ended is taken to end after one more report, seconds.
OVERDUE_MARGIN_S = 0.1
# A load that nobody has reported for this long is forgotten, seconds.
MAX_REPORT_AGE_S = 2.0


def spread_retry_s(pause_s: float, longest_s: float, rng: random.Random) -> float:
    """Return a pause that differs between callers.

    Parameters
    ----------
    pause_s : float
        Mean pause, seconds.
    longest_s : float
        Longest one that the caller honours; the pauses are spread below it when it is shorter.
    rng : random.Random
        Source of randomness.
    """
    earliest, latest = RETRY_SPREAD
    return rng.uniform(earliest, latest) * min(pause_s, longest_s / latest)


@define(kw_only=True)
class _LoadOrder:
    """An order that a runner carries out."""

    running: int
    seen_at: float
    idle_since: float


class LoadOrders:
    """The orders that runners carry out at this time."""

    def __init__(self) -> None:
        self._orders: dict[str, _LoadOrder] = {}

    def on_report(self, runner_id: str, *, is_busy: bool, running: int, now: float) -> None:
        """Take a runner's report."""
        if not is_busy:
            self._orders.pop(runner_id, None)
            return
        order = self._orders.get(runner_id)
        is_still_idle = order is not None and order.running == 0 and running == 0
        idle_since = order.idle_since if order is not None and is_still_idle else now
        self._orders[runner_id] = _LoadOrder(running=running, seen_at=now, idle_since=idle_since)

    def forget(self, runner_id: str) -> None:
        """Drop a runner that is gone."""
        self._orders.pop(runner_id, None)

    def time_left_s(self, runner_id: str, *, now: float, answer_s: float, slots: int) -> float:
        """Return the time until a runner's load ends, infinite when it does not load.

        Parameters
        ----------
        answer_s : float
            Mean time of an answer, seconds.
        slots : int
            Places of the runner.
        """
        order = self._orders.get(runner_id)
        if order is None or now - order.seen_at > MAX_REPORT_AGE_S:
            return math.inf
        if order.running:
            ends_s = answer_s * min(1.0, order.running / max(1, slots)) + WARM_S
            return max(WARM_S, ends_s - (now - order.seen_at))
        return max(OVERDUE_MARGIN_S, WARM_S - (now - order.idle_since))
