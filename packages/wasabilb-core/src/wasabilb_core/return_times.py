"""When a service without a usable runner is likely to serve again.

Answers the load of callers who are refused while every runner holds a version that is out of date
or loads one. They come back once and are lost when they are refused again, so that each is told the
time at which the first load ends, and none a time before it. What a load has left follows from the
reports of the runner that carries it out: first its running requests end, then it loads.
"""

import math
import random

from attrs import define

from wasabilb_core.version_steps import IDLE_LOAD_S

# When callers come back while nothing is known of the time, as of a crashed runner or a lost link:
# about what those take to return, seconds.
NO_RUNNER_RETURN_S = 0.6
# When they come back while no runner holds a version that may answer and none loads one, seconds.
# Weights arrive seconds later at the best; callers of 6 s come back after 2 s at most.
NO_VERSION_RETURN_S = 2.0
# Callers are told between these parts of a pause, so that they do not come back all at once.
SPREAD = (0.8, 1.2)
# A load that should have ended is taken to end after one more report, seconds.
OVERDUE_S = 0.1
# A load that nobody has reported for this long is forgotten, seconds.
MAX_AGE_S = 2.0


def spread_s(pause_s: float, longest_s: float, rng: random.Random) -> float:
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
    earliest, latest = SPREAD
    return rng.uniform(earliest, latest) * min(pause_s, longest_s / latest)


@define(kw_only=True)
class _Load:
    """An order that a runner carries out."""

    running: int
    seen_at: float
    idle_since: float


class RunnerLoads:
    """The orders that runners carry out at this time."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}

    def on_report(self, runner_id: str, *, is_busy: bool, running: int, now: float) -> None:
        """Take a runner's report."""
        if not is_busy:
            self._loads.pop(runner_id, None)
            return
        load = self._loads.get(runner_id)
        is_idle_before = load is not None and load.running == 0 and running == 0
        idle_since = load.idle_since if load is not None and is_idle_before else now
        self._loads[runner_id] = _Load(running=running, seen_at=now, idle_since=idle_since)

    def forget(self, runner_id: str) -> None:
        """Drop a runner that is gone."""
        self._loads.pop(runner_id, None)

    def ends_in_s(self, runner_id: str, *, now: float, answer_s: float, slots: int) -> float:
        """Return the time until a runner's load ends, infinite when it does not load.

        Parameters
        ----------
        answer_s : float
            Mean time of an answer, seconds.
        slots : int
            Places of the runner.
        """
        load = self._loads.get(runner_id)
        if load is None or now - load.seen_at > MAX_AGE_S:
            return math.inf
        if load.running:
            ends_s = answer_s * min(1.0, load.running / max(1, slots)) + IDLE_LOAD_S
            return max(IDLE_LOAD_S, ends_s - (now - load.seen_at))
        return max(OVERDUE_S, IDLE_LOAD_S - (now - load.idle_since))
