"""What one entry process knows of the load and the health of each runner."""

import math
from collections import deque

from attrs import define, field, frozen

from wasabilb_core._batch_backlog import READING_SHARE
from wasabilb_core._routing_base import RunnerView
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.directory import Runner
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
MAX_UNSEEN = 64
# Mean time of one plain request; only the order of runners depends on it, seconds.
PLAIN_TURN_S = 0.05


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
class _Known:
    """What was observed of one incarnation of a runner."""

    born_ms: int
    in_flight: int = 0
    sent: deque[float] = field(factory=lambda: deque(maxlen=MAX_UNSEEN))
    report: LoadReport | None = None
    prompts_s: float = 0.0
    prompts_at: float = -math.inf
    pace: float = 1.0

    def prompts_left_s(self, now: float) -> float:
        """Return the time to read the prompts that are not read yet, seconds.

        Engines read all the time while prompts wait, in the share that answers leave them.
        """
        read_s = max(0.0, now - self.prompts_at) * READING_SHARE / self.pace
        return max(0.0, self.prompts_s - read_s)


def completion_interval_s(engine: EngineSpec | None) -> float:
    """Return the mean time after which a full runner ends a request, a usual one if it is plain."""
    return engine.completion_interval_s if engine is not None else PLAIN_TURN_S


class RunnerBook:
    """Load and health of runners, from reports and from this process's own requests.

    Attributes
    ----------
    pauses : RunnerPauses
        When each runner may next be tried.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self.pauses = RunnerPauses()

    def on_sent(self, runner: Runner, now: float, prefill_s: float = 0.0) -> None:
        """Count a request of this process that is being sent.

        Parameters
        ----------
        prefill_s : float
            Time that the runner's engine takes to read its prompt, seconds.
        """
        self._of(runner).in_flight += 1
        self.pauses.on_sent(runner, now)
        self.on_told(runner, now, prefill_s)

    def on_told(self, runner: Runner, now: float, prefill_s: float) -> None:
        """Count a request that another entry process has sent."""
        known = self._of(runner)
        known.sent.append(now)
        known.prompts_s = known.prompts_left_s(now) + prefill_s
        known.prompts_at = now

    def on_ended(self, runner: Runner) -> None:
        """Count the end of a request."""
        known = self._of(runner)
        known.in_flight = max(0, known.in_flight - 1)

    def on_report(self, runner: Runner, report: LoadReport) -> None:
        """Take a load report."""
        known = self._of(runner)
        if known.report is not None:
            part = min(1.0, (report.at - known.report.at) / PACE_SMOOTHING_S)
            known.pace += part * (max(1.0, report.pace) - known.pace)
        else:
            known.pace = max(1.0, report.pace)
        known.report = report

    def pace(self, runner: Runner) -> float:
        """Return how many times longer than usual the runner has lately taken."""
        return self._of(runner).pace

    def forget(self, runner_id: str, now: float) -> None:
        """Drop a runner that is gone."""
        self._known.pop(runner_id, None)
        self.pauses.forget(runner_id, now)

    def is_usable(self, runner: Runner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        known = self._of(runner)
        report = known.report
        is_current = report is not None and now - report.at <= REPORT_MAX_AGE_S
        if is_current and report is not None and (report.is_busy or not report.is_reachable):
            return False
        return self.pauses.may_try(runner, now)

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
        known = self._of(runner)
        report = known.report
        running = waiting = 0
        is_easing = False
        age, slots = math.inf, runner.slots
        if report is not None and now - report.at <= REPORT_MAX_AGE_S:
            age = now - report.at
            seen_before = report.at - REPORT_DELAY_S
            while known.sent and known.sent[0] <= seen_before:
                known.sent.popleft()
            unseen = len(known.sent)
            running, waiting = report.running, report.waiting + unseen
            slots = report.slots or slots
            is_easing = report.is_easing
        return RunnerView(
            host=runner.id,
            in_flight=known.in_flight,
            reported_running=running,
            reported_queued=waiting,
            slots=slots,
            report_age_s=age,
            pace=known.pace,
            distance_s=distance_s,
            completion_interval_s=completion_interval_s(engine),
            token_s=engine.token_s if engine is not None else 0.0,
            is_for_long=is_for_long,
            prompts_s=known.prompts_left_s(now),
            is_easing=is_easing,
        )

    def _of(self, runner: Runner) -> _Known:
        known = self._known.get(runner.id)
        if known is None or known.born_ms != runner.born_ms:
            known = self._known[runner.id] = _Known(born_ms=runner.born_ms)
        return known
