"""Pauses during which this process sends no requests to a runner.

Placement, retries, held requests and moved streams share them. An incarnation of a runner is paused
after failures, after it refused a request as full, and for the time that it requested in a refusal.
While it names a limit, it is also paused until this process may send it a request within the limit.
A requested pause ends only with its time, with a later incarnation or with late evidence that the
runner serves requests. Afterwards the request rate ramps up.
"""

import math
from collections.abc import Iterable

from attrs import define

from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import RunnerLimits

# Pause after a refused or broken connection, doubled with each further failure in a row. The
# platform's list needs three heartbeats to drop a dead runner.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
# Pause of a runner that declared itself full: about the time until one request of a batch ends.
FULL_BACKOFF_S = 0.1
# Minimum elapsed time, in seconds, after which evidence that the runner serves others ends a longer
# requested pause. Restarts, loads and bursts that a runner rejects are over by then.
EARLY_END_AFTER_S = 60.0
# Requests of each entry process that a runner receives first after a requested pause, and the
# interval in which their number doubles, seconds: several round trips, so that another refusal
# arrives before.
RAMP_FIRST = 1
RAMP_STEP_S = 0.1
# Intervals after which the runner is used without a limit: a process may have sent it 16 requests
# by then, a full batch of the known runners.
RAMP_STEPS = 5
# Jitter of the end of a requested pause, as a share of it and limited in seconds, so that processes
# with the same end do not resume at once.
SPREAD_SHARE = 0.1
MAX_SPREAD_S = 0.5


@define(kw_only=True)
class _Pause:
    """Pauses of one incarnation.

    Parameters
    ----------
    failures : int
        Failures in a row.
    backoff_until : float
        End of the pause after a failure or refusal.
    requested_at, requested_until : float
        Time of the last requested pause and end of the latest one.
    is_ramping : bool
        Whether a requested pause or the ramp after it is in progress.
    ramp_start : float or None
        Time of the first request after the pause.
    ramp_sent : int
        Requests sent since then.
    """

    failures: int = 0
    backoff_until: float = -math.inf
    requested_at: float = -math.inf
    requested_until: float = -math.inf
    is_ramping: bool = False
    ramp_start: float | None = None
    ramp_sent: int = 0

    def start_ramp(self) -> None:
        """Restart the ramp from the smallest number of requests."""
        self.is_ramping, self.ramp_start, self.ramp_sent = True, None, 0

    def allowance(self, now: float) -> float:
        """Return the number of requests that may be sent now, infinite without a limit."""
        if now < self.requested_until:
            return 0.0
        if not self.is_ramping:
            return math.inf
        steps = 0 if self.ramp_start is None else int((now - self.ramp_start) / RAMP_STEP_S)
        if steps >= RAMP_STEPS:
            return math.inf
        return max(0.0, RAMP_FIRST * 2.0**steps - self.ramp_sent)


class RunnerPauses:
    """Pauses of all runners, by identifier and incarnation.

    Parameters
    ----------
    limits : RunnerLimits or None
        Limits that runners name; None for none.
    """

    def __init__(self, *, limits: RunnerLimits | None = None) -> None:
        self.limits = limits if limits is not None else RunnerLimits(host="")
        self._pauses: dict[str, dict[int, _Pause]] = {}
        self._gone_ids: set[str] = set()

    def on_sent(self, runner: Runner, now: float) -> None:
        """Count a request that is being sent."""
        self.limits.on_placed(runner, now)
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
        """Record an answer."""
        self._pause_of(runner).failures = 0

    def on_failure(self, runner: Runner, now: float) -> None:
        """Record a broken connection or a timeout and start a backoff."""
        pause = self._pause_of(runner)
        pause_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**pause.failures)
        pause.failures = min(pause.failures + 1, 8)
        pause.backoff_until = max(pause.backoff_until, now + pause_s)

    def on_silent(self, runner: Runner, now: float) -> None:
        """Record that the runner is silent; its requests find that at the same time."""
        if now >= self._pause_of(runner).backoff_until:
            self.on_failure(runner, now)

    def on_full(self, runner: Runner, now: float) -> None:
        """Record that the runner refused a request because it is full."""
        pause = self._pause_of(runner)
        pause.backoff_until = max(pause.backoff_until, now + FULL_BACKOFF_S)
        if pause.is_ramping:
            pause.start_ramp()

    def on_pause(self, runner: Runner, seconds: float, now: float, *, spread: float) -> None:
        """Record that the runner refused a request and requested a pause.

        Of several pauses the latest end counts.

        Parameters
        ----------
        seconds : float
            Length of the pause; 0 has no effect.
        spread : float
            Random number from 0 to 1 that spreads the ends between processes.
        """
        if seconds <= 0:
            return
        pause = self._pause_of(runner)
        jitter_s = spread * min(MAX_SPREAD_S, SPREAD_SHARE * seconds)
        pause.requested_at = now
        pause.requested_until = max(pause.requested_until, now + seconds + jitter_s)
        pause.start_ramp()

    def on_serving(self, runner: Runner, now: float) -> bool:
        """Record that the runner works on requests; return whether that ends a requested pause.

        An overloaded runner also works on requests, so such a report counts only after
        `EARLY_END_AFTER_S` of an unusually long pause.
        """
        pause = self._pause_of(runner)
        if now >= pause.requested_until or now < pause.requested_at + EARLY_END_AFTER_S:
            return False
        pause.requested_until = now
        return True

    def forget(self, runner_id: str, now: float) -> None:
        """Drop a gone runner but keep its unfinished pauses, as it may be listed again."""
        self._gone_ids.add(runner_id)
        for name in list(self._gone_ids):
            self._drop_expired(name, now)
            if name not in self._pauses:
                self._gone_ids.discard(name)

    def has_requested_pause(self, runner: Runner, now: float) -> bool:
        """Return whether a requested pause of the runner is in progress."""
        return now < self._pause_of(runner).requested_until

    def is_blocked(self, runner: Runner, now: float) -> bool:
        """Return whether the runner must not receive a request now, even as the last resort."""
        return self.allowance(runner, now) < 1

    def ramping_count(self, runners: Iterable[Runner], now: float) -> int:
        """Return the number of runners that are blocked only by the ramp."""
        return sum(
            self.is_blocked(runner, now) and not self._asked_pause_s(runner, now)
            for runner in runners
        )

    def allowance(self, runner: Runner, now: float) -> float:
        """Return the number of requests that a runner may get now, infinite without a limit."""
        return min(self._pause_of(runner).allowance(now), self.limits.permits(runner))

    def may_send(self, runner: Runner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        pause = self._pause_of(runner)
        return now >= pause.backoff_until and not self.is_blocked(runner, now)

    def requested_pause_s(self, runners: Iterable[Runner], now: float) -> float | None:
        """Return the seconds until the first of some runners may get a request that it asked for.

        A runner asks for none in a requested pause and beyond its limit. None if there is no runner
        or if one of them asks for no less.
        """
        pauses_s = [self._asked_pause_s(runner, now) for runner in runners]
        return min(pauses_s, default=0.0) or None

    def _asked_pause_s(self, runner: Runner, now: float) -> float:
        requested_s = max(0.0, self._pause_of(runner).requested_until - now)
        return max(requested_s, self.limits.wait_s(runner, now))

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
