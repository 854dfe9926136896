"""Membership of backend servers: which of them may receive new work."""

from collections.abc import Callable, Collection

from attrs import field, frozen

from wasabilb_core.fleet import FleetState
from wasabilb_core.leaving_list import LeavingList, LeavingNews
from wasabilb_core.tickets import Variant


@frozen(kw_only=True)
class HostReport:
    """State of a backend server that its agent reported at time `at` (monotonic seconds)."""

    at: float
    ready: frozenset[str] = field(factory=frozenset)
    services: frozenset[str] = field(factory=frozenset)
    slots: int = 0
    running: int = 0
    queued: int = 0
    wait_s: float = 0.0
    is_leaving: bool = False


class Membership:
    """Combines tickets, the host list and the reports of agents.

    A backend server counts as leaving as soon as one of the three says so, because the host list
    lags and tickets spread at different speeds.

    Parameters
    ----------
    fleet : FleetState
        State of all tickets.
    report_timeout_s : float
        Age above which a report is ignored, seconds.
    """

    def __init__(self, *, fleet: FleetState, report_timeout_s: float) -> None:
        self._fleet = fleet
        self._report_timeout_s = report_timeout_s
        self._reports: dict[str, HostReport] = {}
        self._listed = LeavingList()

    @property
    def host_list(self) -> LeavingNews:
        """Return the merged host list."""
        return self._listed.news

    def on_host_list(
        self, news: LeavingNews, *, written_live: Collection[str] | None = None
    ) -> bool:
        """Merge a host list and return whether it says anything new, see `LeavingList`.

        `written_live` is None for the list of a peer.
        """
        if written_live is not None:
            return self._listed.on_read(news, written_live=written_live)
        return self._listed.on_news(news)

    def on_report(self, host: str, report: HostReport) -> None:
        """Store the report of an agent."""
        self._reports[host] = report

    def on_link_lost(self, host: str) -> None:
        """Drop the report of a host whose link is lost."""
        self._reports.pop(host, None)

    def report_of(self, host: str) -> HostReport | None:
        """Return the newest report of a host."""
        return self._reports.get(host)

    def is_leaving(self, host: str) -> bool:
        """Return whether a host is leaving or gone by any source."""
        spec = self._fleet.host(host)
        report = self._reports.get(host)
        return (
            spec is None
            or not spec.takes_work
            or host in self._listed.news.leaving
            or (report is not None and report.is_leaving)
        )

    def is_routable(self, host: str, now: float) -> bool:
        """Return whether a host may receive new work."""
        report = self._reports.get(host)
        if report is None or now - report.at > self._report_timeout_s:
            return False
        return not self.is_leaving(host)

    def runners_of(self, model: str, now: float) -> dict[Variant, list[str]]:
        """Return the routable hosts of each variant that may answer for a model.

        The variant that the ticket declares comes first.
        """
        spec = self._fleet.model(model)
        if spec is None:
            return {}
        variants = [spec.variant, *([spec.fallback] if spec.fallback else [])]
        return {variant: self._ready(spec.runners, str(variant), now) for variant in variants}

    def hosts_of(self, service: str, now: float) -> list[str]:
        """Return the routable hosts of a plain service."""
        spec = self._fleet.service(service)
        if spec is None:
            return []
        return self._select(spec.hosts, now, lambda report: service in report.services)

    def _ready(self, hosts: Collection[str], variant: str, now: float) -> list[str]:
        return self._select(hosts, now, lambda report: variant in report.ready)

    def _select(
        self, hosts: Collection[str], now: float, is_ready: Callable[[HostReport], bool]
    ) -> list[str]:
        selected = []
        for host in hosts:
            report = self._reports.get(host)
            if report is not None and is_ready(report) and self.is_routable(host, now):
                selected.append(host)
        return selected
