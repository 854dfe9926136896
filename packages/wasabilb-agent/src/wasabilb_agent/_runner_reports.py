"""Tells entry processes how busy the runner on this host is and what it holds."""

from wasabilb_core.runner_directory import Runner
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager
from wasabilb_wire.messages import RunnerReport

from wasabilb_agent.model_runner import RunnerState

# Entry processes hear of an unchanged state this often, seconds; it stands for a heartbeat, and
# they forget it after 2 s.
QUIET_REPORT_S = 0.7
# Interval of the runner's report; reports of this age change the choice of a runner little, as a
# place in a full batch becomes free about every 0.08 s, seconds.
REPORT_S = 0.1
# Up to so many entry processes are told at that interval. Of more, each has a smaller part in the
# runner's load and a message costs its receiver 0.15 ms: they are told at the longer one, seconds,
# those of other regions each second time, as they send there when their own runners are full.
MOST_AT_ONCE = 16
LONG_REPORT_S = 0.2
FAR_REPORTS = 2


class RunnerReports:
    """Sends a report when something has changed, and once in a while.

    Parameters
    ----------
    links : LinkManager
        Links to entry processes.
    """

    def __init__(self, *, links: LinkManager) -> None:
        self._links = links
        self._number = 0
        self._sent: RunnerReport | None = None
        self._sent_at = float("-inf")

    @property
    def interval_s(self) -> float:
        """Return the time between two looks at the runner, seconds."""
        entries = self._links.peers(role="entry")
        return REPORT_S if len(entries) <= MOST_AT_ONCE else LONG_REPORT_S

    def send(self, listed: Runner, state: RunnerState | None, *, is_easing: bool) -> None:
        """Report a runner's state, None for one that does not answer."""
        report = _report(listed, state, is_easing=is_easing)
        if report == self._sent and now() - self._sent_at < QUIET_REPORT_S:
            return
        entries = self._links.peers(role="entry")
        self._number += 1
        is_for_all = len(entries) <= MOST_AT_ONCE or self._number % FAR_REPORTS == 0
        if not is_for_all and not _is_urgent(report, self._sent):
            region = self._links.identity.region
            entries = [peer for peer in entries if peer.hello.region == region]
        self._sent, self._sent_at = report, now()
        self._links.multicast(report, entries)


def _is_urgent(report: RunnerReport, sent: RunnerReport | None) -> bool:
    """Return whether a report changes which requests a runner may get, and not only how many."""
    return sent is None or any(
        getattr(report, name) != getattr(sent, name)
        for name in ("born_ms", "is_reachable", "is_busy", "version", "layer_to", "is_easing")
    )


def _report(listed: Runner, state: RunnerState | None, *, is_easing: bool) -> RunnerReport:
    if state is None:
        return RunnerReport(runner=listed.id, born_ms=listed.born_ms, is_reachable=False)
    return RunnerReport(
        runner=listed.id,
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
