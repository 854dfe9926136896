"""When this process may next send a request to a runner.

Placing, retries, held requests and moved streams ask here. An incarnation of a runner is left out
after failures, after it refused a request as full, and for the time that it named when it refused
one. The last kind is a promise: only the end of that time, a later incarnation or late evidence
that the runner serves ends it. Afterwards requests return in growing numbers.
"""

import math
from collections.abc import Iterable

from attrs import define

from wasabilb_core.directory import Runner

# A runner that refused or broke connections is left out for this time, twice as long with each
# further failure in a row. The platform's list needs three heartbeats to drop a dead one.
FIRST_AVOID_S = 0.4
MAX_AVOID_S = 3.0
# A runner that declared itself full is asked again after about one request of a batch has ended.
FULL_AVOID_S = 0.1
# A longer named time is ended by evidence that the runner serves others, once so much of it has
# passed, seconds. Restarts, loads and crowds that a runner turns away are over by then.
RELEASE_AFTER_S = 60.0
# Requests that go to a runner first when its named time is over, and the interval in which their
# number doubles, seconds: several round trips, so that another refusal is heard before. Each entry
# process sends so many.
RETURN_FIRST = 1
RETURN_STEP_S = 0.1
# After so many intervals the runner is used as before: a process may have sent it 16 requests by
# then, a whole batch of the known runners.
RETURN_STEPS = 5
# Processes that are told the same end come back over this part of the named time, at most for so
# many seconds.
SPREAD_SHARE = 0.1
MAX_SPREAD_S = 0.5


@define(kw_only=True)
class _Pause:
    """What is known of one incarnation.

    Parameters
    ----------
    failures : int
        Failures in a row.
    avoid_until : float
        End of the pause after a failure or refusal.
    named_at, named_until : float
        When the runner last named a time and when the latest one that it named ends.
    is_returning : bool
        Whether its named time is not over, or not all requests have returned since.
    return_at : float or None
        When the first request was sent after that time.
    returned : int
        Requests sent since.
    """

    failures: int = 0
    avoid_until: float = -math.inf
    named_at: float = -math.inf
    named_until: float = -math.inf
    is_returning: bool = False
    return_at: float | None = None
    returned: int = 0

    def begin_return(self) -> None:
        """Let requests return from the smallest number on."""
        self.is_returning, self.return_at, self.returned = True, None, 0

    def allowance(self, now: float) -> float:
        """Return the requests that may be sent now, infinite for an ordinary runner."""
        if now < self.named_until:
            return 0.0
        if not self.is_returning:
            return math.inf
        steps = 0 if self.return_at is None else int((now - self.return_at) / RETURN_STEP_S)
        if steps >= RETURN_STEPS:
            return math.inf
        return max(0.0, RETURN_FIRST * 2.0**steps - self.returned)


class RunnerPauses:
    """The pauses of all runners, by identifier and incarnation."""

    def __init__(self) -> None:
        self._pauses: dict[str, dict[int, _Pause]] = {}
        self._gone: set[str] = set()

    def on_sent(self, runner: Runner, now: float) -> None:
        """Count a request that is being sent."""
        pause = self._of(runner)
        if not pause.is_returning or now < pause.named_until:
            return
        if pause.allowance(now) == math.inf:
            pause.is_returning = False
            return
        if pause.return_at is None:
            pause.return_at = now
        pause.returned += 1

    def on_success(self, runner: Runner) -> None:
        """Note an answer."""
        self._of(runner).failures = 0

    def on_failure(self, runner: Runner, now: float) -> None:
        """Note a broken connection or silence; the runner is left out for a while."""
        pause = self._of(runner)
        pause_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2.0**pause.failures)
        pause.failures = min(pause.failures + 1, 8)
        pause.avoid_until = max(pause.avoid_until, now + pause_s)

    def on_full(self, runner: Runner, now: float) -> None:
        """Note that the runner refused a request for want of room."""
        pause = self._of(runner)
        pause.avoid_until = max(pause.avoid_until, now + FULL_AVOID_S)
        if pause.is_returning:
            pause.begin_return()

    def on_named(self, runner: Runner, seconds: float, now: float, *, spread: float) -> None:
        """Note that the runner refused a request and named a time for which it wants none.

        Of several named times the latest end counts.

        Parameters
        ----------
        seconds : float
            The time; 0 has no effect.
        spread : float
            Random number from 0 to 1 that tells apart the processes that return.
        """
        if seconds <= 0:
            return
        pause = self._of(runner)
        later_s = spread * min(MAX_SPREAD_S, SPREAD_SHARE * seconds)
        pause.named_at = now
        pause.named_until = max(pause.named_until, now + seconds + later_s)
        pause.begin_return()

    def on_serving(self, runner: Runner, now: float) -> bool:
        """Take a report that the runner works on requests; return whether that ends its time.

        A report says nothing against the wish of a runner that was turned to by too many, so that
        it counts only when most of an unusually long time is left.
        """
        pause = self._of(runner)
        if now >= pause.named_until or now < pause.named_at + RELEASE_AFTER_S:
            return False
        pause.named_until = now
        return True

    def forget(self, runner_id: str, now: float) -> None:
        """Drop a runner that is gone; it may be listed again within the time that it named."""
        self._gone.add(runner_id)
        for name in list(self._gone):
            self._drop_ended(name, now)
            if name not in self._pauses:
                self._gone.discard(name)

    def is_named(self, runner: Runner, now: float) -> bool:
        """Return whether the runner has named a time that is not over."""
        return now < self._of(runner).named_until

    def is_limited(self, runner: Runner, now: float) -> bool:
        """Return whether the runner must not get a request now, whoever else is left."""
        return self.allowance(runner, now) < 1

    def returning(self, runners: Iterable[Runner], now: float) -> int:
        """Return how many of some runners get no request now, but the next ones soon."""
        return sum(
            self.is_limited(runner, now) and not self.is_named(runner, now) for runner in runners
        )

    def allowance(self, runner: Runner, now: float) -> float:
        """Return the requests that a runner may get at once, infinite for an ordinary one."""
        return self._of(runner).allowance(now)

    def may_try(self, runner: Runner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        pause = self._of(runner)
        return now >= pause.avoid_until and pause.allowance(now) >= 1

    def named_s(self, runners: Iterable[Runner], now: float) -> float | None:
        """Return the seconds until the first of some runners ends its named time.

        None when there is no runner or when one of them names no time.
        """
        ends = [self._of(runner).named_until for runner in runners]
        if not ends or min(ends) <= now:
            return None
        return min(ends) - now

    def _of(self, runner: Runner) -> _Pause:
        born = self._pauses.setdefault(runner.id, {})
        pause = born.get(runner.born_ms)
        if pause is None:
            pause = born[runner.born_ms] = _Pause()
        self._gone.discard(runner.id)
        return pause

    def _drop_ended(self, runner_id: str, now: float) -> None:
        born = self._pauses.get(runner_id, {})
        left = {born_ms: pause for born_ms, pause in born.items() if now < pause.named_until}
        if left:
            self._pauses[runner_id] = left
        else:
            self._pauses.pop(runner_id, None)
