"""When this process may next send a request to a runner.

Placing, retries, held requests and moved streams ask here. An incarnation of a runner is left out
after failures, after it refused a request as full, and for the time that it named when it refused
one. The last kind is a promise: only the end of that time, a later incarnation or late evidence
that the runner serves ends it. Afterwards requests return in growing numbers.
"""

import math
from collections.abc import Iterable

from attrs import define

from wasabilb_core.runner_directory import Runner

# A runner that refused or broke connections is left out for this time, twice as long with each
# further failure in a row. The platform's list needs three heartbeats to drop a dead one.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
# A runner that declared itself full is asked again after about one request of a batch has ended.
FULL_BACKOFF_S = 0.1
# A longer named time is ended by evidence that the runner serves others, once so much of it has
# passed, seconds. Restarts, loads and crowds that a runner turns away are over by then.
EARLY_END_AFTER_S = 60.0
# Requests that go to a runner first when its named time is over, and the interval in which their
# number doubles, seconds: several round trips, so that another refusal is heard before. Each entry
# process sends so many.
RAMP_FIRST = 1
RAMP_STEP_S = 0.1
# After so many intervals the runner is used as before: a process may have sent it 16 requests by
# then, a whole batch of the known runners.
RAMP_STEPS = 5
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
    backoff_until : float
        End of the pause after a failure or refusal.
    requested_at, requested_until : float
        When the runner last named a time and when the latest one that it named ends.
    is_ramping : bool
        Whether its named time is not over, or not all requests have returned since.
    ramp_start : float or None
        When the first request was sent after that time.
    returned : int
        Requests sent since.
    """

    failures: int = 0
    backoff_until: float = -math.inf
    requested_at: float = -math.inf
    requested_until: float = -math.inf
    is_ramping: bool = False
    ramp_start: float | None = None
    ramp_sent: int = 0

    def start_ramp(self) -> None:
        """Let requests return from the smallest number on."""
        self.is_ramping, self.ramp_start, self.ramp_sent = True, None, 0

    def allowance(self, now: float) -> float:
        """Return the requests that may be sent now, infinite for an ordinary runner."""
        if now < self.requested_until:
            return 0.0
        if not self.is_ramping:
            return math.inf
        steps = 0 if self.ramp_start is None else int((now - self.ramp_start) / RAMP_STEP_S)
        if steps >= RAMP_STEPS:
            return math.inf
        return max(0.0, RAMP_FIRST * 2.0**steps - self.ramp_sent)


class RunnerPauses:
    """The pauses of all runners, by identifier and incarnation."""

    def __init__(self) -> None:
        self._pauses: dict[str, dict[int, _Pause]] = {}
        self._gone_ids: set[str] = set()

    def on_sent(self, runner: Runner, now: float) -> None:
        """Count a request that is being sent."""
        pause = self._pause_of(runner)
        if not pause.is_ramping or now < pause.requested_until:
            return
        if pause.allowance(now) == math.inf:
            pause.is_ramping = False
            return
        if pause.ramp_start is None:
            pause.ramp_start = now
        pause.ramp_sent += 1

    def on_success(self, runner: Runner) -> None:
        """Note an answer."""
        self._pause_of(runner).failures = 0

    def on_failure(self, runner: Runner, now: float) -> None:
        """Note a broken connection or silence; the runner is left out for a while."""
        pause = self._pause_of(runner)
        pause_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**pause.failures)
        pause.failures = min(pause.failures + 1, 8)
        pause.backoff_until = max(pause.backoff_until, now + pause_s)

    def on_full(self, runner: Runner, now: float) -> None:
        """Note that the runner refused a request for want of room."""
        pause = self._pause_of(runner)
        pause.backoff_until = max(pause.backoff_until, now + FULL_BACKOFF_S)
        if pause.is_ramping:
            pause.start_ramp()

    def on_pause(self, runner: Runner, seconds: float, now: float, *, spread: float) -> None:
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
        pause = self._pause_of(runner)
        jitter_s = spread * min(MAX_SPREAD_S, SPREAD_SHARE * seconds)
        pause.requested_at = now
        pause.requested_until = max(pause.requested_until, now + seconds + jitter_s)
        pause.start_ramp()

    def on_serving(self, runner: Runner, now: float) -> bool:
        """Take a report that the runner works on requests; return whether that ends its time.

        A report says nothing against the wish of a runner that was turned to by too many, so that
        it counts only when most of an unusually long time is left.
        """
        pause = self._pause_of(runner)
        if now >= pause.requested_until or now < pause.requested_at + EARLY_END_AFTER_S:
            return False
        pause.requested_until = now
        return True

    def forget(self, runner_id: str, now: float) -> None:
        """Drop a runner that is gone; it may be listed again within the time that it named."""
        self._gone_ids.add(runner_id)
        for name in list(self._gone_ids):
            self._drop_expired(name, now)
            if name not in self._pauses:
                self._gone_ids.discard(name)

    def has_requested_pause(self, runner: Runner, now: float) -> bool:
        """Return whether the runner has named a time that is not over."""
        return now < self._pause_of(runner).requested_until

    def is_blocked(self, runner: Runner, now: float) -> bool:
        """Return whether the runner must not get a request now, whoever else is left."""
        return self.allowance(runner, now) < 1

    def ramping_count(self, runners: Iterable[Runner], now: float) -> int:
        """Return how many of some runners get no request now, but the next ones soon."""
        return sum(
            self.is_blocked(runner, now) and not self.has_requested_pause(runner, now)
            for runner in runners
        )

    def allowance(self, runner: Runner, now: float) -> float:
        """Return the requests that a runner may get at once, infinite for an ordinary one."""
        return self._pause_of(runner).allowance(now)

    def may_send(self, runner: Runner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        pause = self._pause_of(runner)
        return now >= pause.backoff_until and pause.allowance(now) >= 1

    def requested_pause_s(self, runners: Iterable[Runner], now: float) -> float | None:
        """Return the seconds until the first of some runners ends its named time.

        None when there is no runner or when one of them names no time.
        """
        ends = [self._pause_of(runner).requested_until for runner in runners]
        if not ends or min(ends) <= now:
            return None
        return min(ends) - now

    def _pause_of(self, runner: Runner) -> _Pause:
        pauses = self._pauses.setdefault(runner.id, {})
        pause = pauses.get(runner.born_ms)
        if pause is None:
            pause = pauses[runner.born_ms] = _Pause()
        self._gone_ids.discard(runner.id)
        return pause

    def _drop_expired(self, runner_id: str, now: float) -> None:
        pauses = self._pauses.get(runner_id, {})
        left = {born_ms: pause for born_ms, pause in pauses.items() if now < pause.requested_until}
        if left:
            self._pauses[runner_id] = left
        else:
            self._pauses.pop(runner_id, None)
