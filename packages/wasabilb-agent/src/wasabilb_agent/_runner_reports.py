"""Reports of the local runner's load and held version to entry processes."""

from wasabilb_core.runner_directory import Runner
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager
from wasabilb_wire.messages import RunnerReport

from wasabilb_agent.model_runner import RunnerState

# Interval of reports of an unchanged state, seconds; they serve as a heartbeat, and entry processes
# discard a report after 2 s.
UNCHANGED_REPORT_INTERVAL_S = 0.7
# Interval of reports, seconds; reports of this age change the choice of a runner little, as a slot
# of a full batch becomes free about every 0.08 s.
REPORT_INTERVAL_S = 0.1
# Up to this many entry processes get reports at that interval. Of more, each has a smaller part in
# the runner's load and a message costs its receiver 0.15 ms: they get the longer interval, seconds,
# and other regions every second report, as they send here when their own runners are full.
MAX_FAST_PEERS = 16
LONG_REPORT_INTERVAL_S = 0.2
REMOTE_REPORT_EVERY = 2


class RunnerReports:
    """Sender of reports of the runner, on changes and at a minimum rate.

    Parameters
    ----------
    links : LinkManager
        Links to entry processes.
    """

    def __init__(self, *, links: LinkManager) -> None:
        self._links = links
        self._sequence = 0
        self._last_sent: RunnerReport | None = None
        self._last_sent_at = float("-inf")

    @property
    def interval_s(self) -> float:
        """Return the interval at which the runner is polled, seconds."""
        entries = self._links.peers(role="entry")
        return REPORT_INTERVAL_S if len(entries) <= MAX_FAST_PEERS else LONG_REPORT_INTERVAL_S

    def send(
        self,
        runner: Runner,
        state: RunnerState | None,
        *,
        is_easing: bool,
        is_silent: bool = False,
    ) -> None:
        """Report a runner's state, None for one that does not answer.

        Parameters
        ----------
        is_silent : bool
            Whether it only did not answer in time.
        """
        report = to_report(runner, state, is_easing=is_easing, is_silent=is_silent)
        if report == self._last_sent and now() - self._last_sent_at < UNCHANGED_REPORT_INTERVAL_S:
            return
        entries = self._links.peers(role="entry")
        self._sequence += 1
        is_for_all = len(entries) <= MAX_FAST_PEERS or self._sequence % REMOTE_REPORT_EVERY == 0
        if not is_for_all and not _is_urgent(report, self._last_sent):
            region = self._links.identity.region
            entries = [peer for peer in entries if peer.hello.region == region]
        self._last_sent, self._last_sent_at = report, now()
        self._links.multicast(report, entries)


def _is_urgent(report: RunnerReport, last_sent: RunnerReport | None) -> bool:
    """Return whether a report changes which requests a runner may get, and not only how many."""
    return last_sent is None or any(
        getattr(report, name) != getattr(last_sent, name)
        for name in (
            "born_ms",
            "is_reachable",
            "is_silent",
            "is_busy",
            "version",
            "layer_to",
            "is_easing",
        )
    )


def to_report(
    runner: Runner, state: RunnerState | None, *, is_easing: bool, is_silent: bool = False
) -> RunnerReport:
    """Return the message about a runner's state, None for one that does not answer."""
    if state is None:
        return RunnerReport(
            runner=runner.id, born_ms=runner.born_ms, is_reachable=False, is_silent=is_silent
        )
    return RunnerReport(
        runner=runner.id,
        born_ms=state.born_ms,
        model=state.model,
        version=state.version,
        layer_from=state.layer_from,
        layer_to=state.layer_to,
        is_busy=state.is_busy,
        running=state.running,
        waiting=state.waiting,
        memory_used=state.memory_used,
        memory_total=state.memory_total,
        pace=state.pace,
        is_easing=is_easing,
    )
