"""The rollout of one ticket, reconstructed from the logs."""

import math
from collections.abc import Sequence

from attrs import frozen
from wasabilb_core.timeline import Event

from wasabilb_entry.drill_phases import Phase, split_phases
from wasabilb_entry.event_summaries import EventSummary, summarize_events

_VERSION_EVENTS = ("transfer_started", "transfer_done", "order_sent", "version_ready")


@frozen(kw_only=True)
class HostDrill:
    """The rollout on one host; times are seconds after the ticket was first accepted.

    Parameters
    ----------
    name, failure_domain : str
        Names of the host and of its failure domain.
    accepted_s, started_s, held_s, ready_s : float or None
        When it accepted the ticket, started to fetch, held the whole version, and when its engine
        had confirmed the version.
    bytes_origin, bytes_peers : int
        Bytes fetched from the store and from other hosts.
    """

    name: str
    failure_domain: str
    accepted_s: float | None
    started_s: float | None
    held_s: float | None
    ready_s: float | None
    bytes_origin: int
    bytes_peers: int


@frozen(kw_only=True)
class Drill:
    """The rollout of one ticket.

    Parameters
    ----------
    ticket : str
        Its number.
    versions : tuple of str
        `MODEL@VERSION` of each version that was rolled out.
    start_ms : int
        When a host first accepted the ticket, ms since the epoch.
    hosts : tuple of HostDrill
        Hosts that were to hold the versions, in the order in which they were ready.
    phases, buckets : tuple of Phase
        Live requests before, during and after the rollout, and in short spans of equal length.
    in_force_s : float
        When the last process had accepted the ticket for the first time.
    in_force_on : int
        Number of hosts that accepted it.
    event_summaries : tuple of EventSummary
        Summaries of the faults and the reactions to them in that time.
    """

    ticket: str
    versions: tuple[str, ...]
    start_ms: int
    hosts: tuple[HostDrill, ...]
    phases: tuple[Phase, ...]
    buckets: tuple[Phase, ...]
    in_force_s: float
    in_force_on: int
    event_summaries: tuple[EventSummary, ...]

    @property
    def ready(self) -> tuple[HostDrill, ...]:
        """Return the hosts whose engines confirmed the versions."""
        return tuple(host for host in self.hosts if host.ready_s is not None)

    @property
    def is_complete(self) -> bool:
        """Return whether all hosts that started are ready."""
        return bool(self.hosts) and len(self.ready) == len(self.hosts)

    @property
    def bytes_origin(self) -> int:
        """Return the bytes that all hosts fetched from the origin."""
        return sum(host.bytes_origin for host in self.hosts)

    @property
    def bytes_peers(self) -> int:
        """Return the bytes that hosts fetched from each other."""
        return sum(host.bytes_peers for host in self.hosts)


def analyse(events: Sequence[Event], ticket: str) -> Drill | None:
    """Return the rollout of a ticket, or None when no host accepted it.

    Parameters
    ----------
    events : sequence of Event
        Events of all processes in the order of the hybrid logical clock.
    ticket : str
        Number of the ticket.
    """
    ticket_events = [event for event in events if event.fields.get("ticket") == ticket]
    accepted = [event for event in ticket_events if event.name == "ticket_accepted"]
    if not accepted:
        return None
    start_ms = accepted[0].timestamp.wall_ms
    versions = {_model_version(event) for event in ticket_events if event.name in _VERSION_EVENTS}
    rollout_events = [
        event
        for event in events
        if event.timestamp >= accepted[0].timestamp and _model_version(event) in versions
    ]
    hostnames = {event.hostname for event in rollout_events if event.name in _VERSION_EVENTS}
    by_host: dict[str, list[Event]] = {name: [] for name in hostnames}
    for event in (*accepted, *rollout_events):
        by_host.get(event.hostname, []).append(event)
    hosts = [_host_drill(name, host_events, start_ms) for name, host_events in by_host.items()]
    hosts.sort(key=lambda host: (math.inf if host.ready_s is None else host.ready_s, host.name))
    last_s = (events[-1].timestamp.wall_ms - start_ms) / 1000
    is_complete = bool(hosts) and all(host.ready_s is not None for host in hosts)
    end_s = max((host.ready_s or 0.0) for host in hosts) if is_complete else last_s
    phases, buckets = split_phases(events, start_ms, end_s)
    first_ms = {event.hostname: event.timestamp.wall_ms for event in reversed(accepted)}
    return Drill(
        ticket=ticket,
        versions=tuple(sorted(f"{model}@{version}" for model, version in versions)),
        start_ms=start_ms,
        hosts=tuple(hosts),
        phases=phases,
        buckets=buckets,
        in_force_s=(max(first_ms.values()) - start_ms) / 1000,
        in_force_on=len(first_ms),
        event_summaries=summarize_events(events, start_ms, phases[0].from_s),
    )


def _model_version(event: Event) -> tuple[str, str]:
    return event.fields.get("model", ""), event.fields.get("version", "")


def _host_drill(name: str, events: Sequence[Event], start_ms: int) -> HostDrill:
    # A host counts as ready when it has all versions of the ticket that it handles.
    versions = len({_model_version(event) for event in events if event.name in _VERSION_EVENTS})

    def first_times_s(event_name: str) -> list[float]:
        first: dict[tuple[str, str], int] = {}
        for event in events:
            if event.name == event_name:
                first.setdefault(_model_version(event), event.timestamp.wall_ms)
        return sorted((ms - start_ms) / 1000 for ms in first.values())

    def last_time_s(event_name: str) -> float | None:
        times_s = first_times_s(event_name)
        return times_s[-1] if len(times_s) == versions else None

    by_incarnation: dict[str, list[Event]] = {}
    for event in events:
        by_incarnation.setdefault(event.incarnation, []).append(event)
    fetched = [_fetched_bytes(run_events) for run_events in by_incarnation.values()]
    return HostDrill(
        name=name,
        failure_domain=events[0].failure_domain,
        accepted_s=next(iter(first_times_s("ticket_accepted")), None),
        started_s=next(iter(first_times_s("transfer_started")), None),
        held_s=last_time_s("transfer_done"),
        ready_s=last_time_s("version_ready"),
        bytes_origin=sum(origin for origin, _ in fetched),
        bytes_peers=sum(peers for _, peers in fetched),
    )


def _fetched_bytes(run_events: list[Event]) -> tuple[int, int]:
    """Return the bytes that one incarnation fetched from the origin and from peers.

    A finished transfer logs its totals; one that ended early is summed up from its chunks.
    """
    origin = peers = 0
    for version in {_model_version(event) for event in run_events}:
        version_events = [event for event in run_events if _model_version(event) == version]
        done = [event for event in version_events if event.name == "transfer_done"]
        if done:
            origin += int(done[-1].number("bytes_origin"))
            peers += int(done[-1].number("bytes_peers"))
            continue
        for event in version_events:
            if event.name == "chunk_received":
                is_origin = event.fields.get("source") == "origin"
                origin += int(event.number("bytes")) if is_origin else 0
                peers += 0 if is_origin else int(event.number("bytes"))
    return origin, peers
