"""What one entry process knows of the load and the health of each runner."""

import math
from collections import deque

from attrs import define, field, frozen

from wasabilb_core._batch_backlog import PREFILL_SHARE
from wasabilb_core._routing_base import RunnerView
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_pauses import RunnerPauses

# A report says nothing of requests that were sent after it was taken; with the time that the
# report itself was under way, sends of this age are not yet in it, seconds.
REPORT_DELAY_S = 0.05
# A neighbour slows a host for moments and some hosts all the time; an answer takes 1 to 5 s, so
# that the mean over about a second tells more of it than the newest report.
PACE_SMOOTHING_S = 1.0
# Load that nobody has confirmed for this long is forgotten, seconds.
REPORT_MAX_AGE_S = 2.0
# Sends that no report has confirmed; without reports only the newest count.
MAX_UNREPORTED = 64
# Mean time of one plain request; only the order of runners depends on it, seconds.
PLAIN_COMPLETION_INTERVAL_S = 0.05


@frozen(kw_only=True)
class LoadReport:
    """Load of one runner at one moment.

    Parameters
    ----------
    running, waiting : int
        Requests of all callers.
    at : float
        When it was received, seconds.
    slots : int or None
        Places of the runner, when it tells them.
    pace : float
        How many times longer than usual its work takes.
    is_busy : bool
        Whether it carries out an order and accepts no new requests.
    is_reachable : bool
        Whether the process beside it can reach it.
    is_easing : bool
        Whether it is to load a version soon and should get less to do.
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
    """What was observed of one incarnation of a runner."""

    born_ms: int
    in_flight: int = 0
    sent: deque[float] = field(factory=lambda: deque(maxlen=MAX_UNREPORTED))
    report: LoadReport | None = None
    prefill_backlog_s: float = 0.0
    prefill_updated_at: float = -math.inf
    pace: float = 1.0

    def prefill_left_s(self, now: float) -> float:
        """Return the time to read the prompts that are not read yet, seconds.

        Engines read all the time while prompts wait, in the share that answers leave them.
        """
        read_s = max(0.0, now - self.prefill_updated_at) * PREFILL_SHARE / self.pace
        return max(0.0, self.prefill_backlog_s - read_s)


def turn_s(engine: EngineSpec | None) -> float:
    """Return the mean time after which a full runner ends a request, a usual one if it is plain."""
    return engine.turn_s if engine is not None else PLAIN_COMPLETION_INTERVAL_S


class RunnerStats:
    """Load and health of runners, from reports and from this process's own requests.

    Attributes
    ----------
    pauses : RunnerPauses
        When each runner may next be tried.
    """

    def __init__(self) -> None:
        self._states: dict[str, _RunnerState] = {}
        self.pauses = RunnerPauses()

    def on_sent(self, runner: Runner, now: float, prompt_s: float = 0.0) -> None:
        """Count a request of this process that is being sent.

        Parameters
        ----------
        prompt_s : float
            Time that the runner's engine takes to read its prompt, seconds.
        """
        self._state_of(runner).in_flight += 1
        self.pauses.on_sent(runner, now)
        self.on_peer_sent(runner, now, prompt_s)

    def on_peer_sent(self, runner: Runner, now: float, prompt_s: float) -> None:
        """Count a request that another entry process has sent."""
        state = self._state_of(runner)
        state.sent.append(now)
        state.prefill_backlog_s = state.prefill_left_s(now) + prompt_s
        state.prefill_updated_at = now

    def on_ended(self, runner: Runner) -> None:
        """Count the end of a request."""
        state = self._state_of(runner)
        state.in_flight = max(0, state.in_flight - 1)

    def on_report(self, runner: Runner, report: LoadReport) -> None:
        """Take a load report."""
        state = self._state_of(runner)
        if state.report is not None:
            gain = min(1.0, (report.at - state.report.at) / PACE_SMOOTHING_S)
            state.pace += gain * (max(1.0, report.pace) - state.pace)
        else:
            state.pace = max(1.0, report.pace)
        state.report = report

    def pace(self, runner: Runner) -> float:
        """Return how many times longer than usual the runner has lately taken."""
        return self._state_of(runner).pace

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
        distance_s: float,
        is_for_long: bool = False,
    ) -> RunnerView:
        """Return what routing is told of a runner."""
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
            distance_s=distance_s,
            turn_s=turn_s(engine),
            token_s=engine.token_s if engine is not None else 0.0,
            is_for_long=is_for_long,
            prefill_backlog_s=state.prefill_left_s(now),
            is_easing=is_easing,
        )

    def _state_of(self, runner: Runner) -> _RunnerState:
        state = self._states.get(runner.id)
        if state is None or state.born_ms != runner.born_ms:
            state = self._states[runner.id] = _RunnerState(born_ms=runner.born_ms)
        return state
