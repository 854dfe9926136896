"""Load and health of each runner as seen by one entry process."""

import math
from collections import deque

from attrs import define, field, frozen

from wasabilb_core._batch_backlog import PREFILL_SHARE
from wasabilb_core._routing_base import RunnerView
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_core.runner_pauses import RunnerPauses

# A report does not cover requests that were sent after it was taken. Including the delay of the
# report itself, sends of up to this age before its arrival are not in it, seconds.
REPORT_DELAY_S = 0.05
# Other workloads on a host slow it briefly or permanently. An answer takes 1 to 5 s, so the mean
# over about a second is a better estimate for it than the newest report.
PACE_SMOOTHING_S = 1.0
# Age at which a load report is no longer used, seconds.
REPORT_MAX_AGE_S = 2.0
# Longest time that one prompt is taken to occupy a runner, seconds. A runner stops work at the time
# limit of its caller, who waits some seconds; the size of a prompt is only what its caller says.
MAX_PROMPT_S = 10.0
# Maximum number of sends not covered by a report; without reports only the newest ones count.
MAX_UNREPORTED = 64
# Mean time of a plain request; only the order of runners depends on it, seconds.
PLAIN_COMPLETION_INTERVAL_S = 0.05


@frozen(kw_only=True)
class LoadReport:
    """Load of one runner at one point in time.

    Parameters
    ----------
    running, waiting : int
        Requests of all callers.
    at : float
        Time of receipt, seconds.
    slots : int or None
        Slots of the runner, if reported.
    pace : float
        Slowdown: current duration of its work relative to the usual one, above 1 if slower.
    is_busy : bool
        Whether it executes an order and accepts no new requests.
    is_reachable : bool
        Whether the agent beside it can reach it.
    is_easing : bool
        Whether it is about to load a version and should receive fewer requests.
    """

    running: int
    waiting: int
    at: float
    slots: int | None = None
    pace: float = 1.0
    is_busy: bool = False
    is_reachable: bool = True
    is_easing: bool = False


@define(kw_only=True)
class _RunnerState:
    """Observations of one incarnation of a runner."""

    born_ms: int
    in_flight: int = 0
    sent: deque[float] = field(factory=lambda: deque(maxlen=MAX_UNREPORTED))
    report: LoadReport | None = None
    prefill_backlog_s: float = 0.0
    prefill_updated_at: float = -math.inf
    pace: float = 1.0

    def prefill_left_s(self, now: float) -> float:
        """Return the time to prefill the pending prompts, seconds.

        While prompts are pending, engines prefill in the share of time that decoding leaves.
        """
        prefilled_s = max(0.0, now - self.prefill_updated_at) * PREFILL_SHARE / self.pace
        return max(0.0, self.prefill_backlog_s - prefilled_s)


def completion_interval_s(engine: EngineSpec | None) -> float:
    """Return the mean time between completions of a full runner, a constant without an engine."""
    return engine.completion_interval_s if engine is not None else PLAIN_COMPLETION_INTERVAL_S


class RunnerStats:
    """Tracks load and health of runners from reports and from this process's own requests.

    Parameters
    ----------
    limits : RunnerLimits or None
        Limits that runners name; None for none.

    Attributes
    ----------
    pauses : RunnerPauses
        Pauses that determine when a runner may receive the next request.
    """

    def __init__(self, *, limits: RunnerLimits | None = None) -> None:
        self._states: dict[str, _RunnerState] = {}
        self.pauses = RunnerPauses(limits=limits)

    def on_sent(self, runner: Runner, now: float, prefill_s: float = 0.0) -> None:
        """Count a request that this process is sending.

        Parameters
        ----------
        prefill_s : float
            Prefill time of its prompt on the runner's engine, seconds.
        """
        self._state_of(runner).in_flight += 1
        self.pauses.on_sent(runner, now)
        self.on_peer_sent(runner, now, prefill_s)

    def on_peer_sent(self, runner: Runner, now: float, prefill_s: float) -> None:
        """Count a request that another entry process has sent."""
        state = self._state_of(runner)
        state.sent.append(now)
        state.prefill_backlog_s = state.prefill_left_s(now) + min(MAX_PROMPT_S, prefill_s)
        state.prefill_updated_at = now

    def on_ended(self, runner: Runner) -> None:
        """Count the end of a request."""
        state = self._state_of(runner)
        state.in_flight = max(0, state.in_flight - 1)

    def on_report(self, runner: Runner, report: LoadReport) -> None:
        """Record a load report."""
        state = self._state_of(runner)
        if state.report is not None:
            gain = min(1.0, (report.at - state.report.at) / PACE_SMOOTHING_S)
            state.pace += gain * (max(1.0, report.pace) - state.pace)
        else:
            state.pace = max(1.0, report.pace)
        state.report = report

    def pace(self, runner: Runner) -> float:
        """Return the runner's slowdown: recent duration of work relative to the usual one."""
        return self._state_of(runner).pace

    def report_age_s(self, runner: Runner, now: float) -> float:
        """Return the age of the newest report about a runner, infinite without one."""
        report = self._state_of(runner).report
        return now - report.at if report is not None else math.inf

    def forget(self, runner_id: str, now: float) -> None:
        """Drop a runner that is gone."""
        self._states.pop(runner_id, None)
        self.pauses.forget(runner_id, now)

    def is_usable(self, runner: Runner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        state = self._state_of(runner)
        report = state.report
        is_current = report is not None and now - report.at <= REPORT_MAX_AGE_S
        if is_current and report is not None and (report.is_busy or not report.is_reachable):
            return False
        return self.pauses.may_send(runner, now)

    def view(
        self,
        runner: Runner,
        *,
        now: float,
        engine: EngineSpec | None,
        access_cost_s: float,
        is_preferred_for_long: bool = False,
    ) -> RunnerView:
        """Return the routing view of a runner."""
        state = self._state_of(runner)
        report = state.report
        running = waiting = 0
        is_easing = False
        age, slots = math.inf, runner.slots
        if report is not None and now - report.at <= REPORT_MAX_AGE_S:
            age = now - report.at
            covered_until = report.at - REPORT_DELAY_S
            while state.sent and state.sent[0] <= covered_until:
                state.sent.popleft()
            unreported = len(state.sent)
            running, waiting = report.running, report.waiting + unreported
            slots = report.slots or slots
            is_easing = report.is_easing
        return RunnerView(
            host=runner.id,
            in_flight=state.in_flight,
            reported_running=running,
            reported_queued=waiting,
            slots=slots,
            report_age_s=age,
            pace=state.pace,
            access_cost_s=access_cost_s,
            completion_interval_s=completion_interval_s(engine),
            token_s=engine.token_s if engine is not None else 0.0,
            is_preferred_for_long=is_preferred_for_long,
            prefill_backlog_s=state.prefill_left_s(now),
            is_easing=is_easing,
        )

    def _state_of(self, runner: Runner) -> _RunnerState:
        state = self._states.get(runner.id)
        if state is None or state.born_ms != runner.born_ms:
            state = self._states[runner.id] = _RunnerState(born_ms=runner.born_ms)
        return state
