"""Retry times for callers of a service without a usable runner.

Callers are refused while every runner holds an outdated version or loads one. They retry once and
are lost if they are refused again, so each gets the time at which the first load ends, and none an
earlier time. The time left of a load is estimated from the runner's reports: first its running
requests end, then it loads.
"""

import math
import random

from attrs import define

from wasabilb_core.version_steps import IDLE_LOAD_S

# Retry time while the time of recovery is unknown, as after a crash of a runner or a lost link:
# about the time that these take to recover, seconds.
NO_RUNNER_RETRY_S = 0.6
# Retry time while no runner holds a version that may answer and none loads one, seconds. Weights
# arrive seconds later at best; callers with a timeout of 6 s retry after 2 s at most.
NO_VERSION_RETRY_S = 2.0
# Range of the factor that is applied to a pause, so that callers do not retry all at once.
RETRY_SPREAD = (0.8, 1.2)
# A load past its expected end is assumed to end after one more report, seconds.
OVERDUE_MARGIN_S = 0.1
# Age at which the report of a load is no longer used, seconds.
MAX_REPORT_AGE_S = 2.0


def spread_retry_s(pause_s: float, longest_s: float, rng: random.Random) -> float:
    """Return a pause that differs between callers.

    Parameters
    ----------
    pause_s : float
        Mean pause, seconds.
    longest_s : float
        Longest pause that the caller honours; all pauses stay below it.
    rng : random.Random
        Source of randomness.
    """
    earliest, latest = RETRY_SPREAD
    return rng.uniform(earliest, latest) * min(pause_s, longest_s / latest)


@define(kw_only=True)
class _LoadOrder:
    """A load order that a runner executes."""

    running: int
    seen_at: float
    idle_since: float


class LoadOrders:
    """Tracks the load orders that runners are executing."""

    def __init__(self) -> None:
        self._orders: dict[str, _LoadOrder] = {}

    def on_report(self, runner_id: str, *, is_busy: bool, running: int, now: float) -> None:
        """Record a runner's report."""
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
        """Return the time until a runner's load ends, infinite if it does not load.

        Parameters
        ----------
        answer_s : float
            Mean time of an answer, seconds.
        slots : int
            Slots of the runner.
        """
        order = self._orders.get(runner_id)
        if order is None or now - order.seen_at > MAX_REPORT_AGE_S:
            return math.inf
        if order.running:
            ends_s = answer_s * min(1.0, order.running / max(1, slots)) + IDLE_LOAD_S
            return max(IDLE_LOAD_S, ends_s - (now - order.seen_at))
        return max(OVERDUE_MARGIN_S, IDLE_LOAD_S - (now - order.idle_since))
