"""Summaries of the logged faults and reactions of the system during a drill."""

from collections.abc import Sequence

from attrs import frozen
from wasabilb_core.timeline import Event

MEANINGS = {
    "process_started": "processes started",
    "drain_started": "processes began a graceful shutdown",
    "link_down": "links were lost or went silent",
    "request_moved": "requests went on with another runner",
    "hedge_sent": "second attempts were sent",
    "once_unknown": "calls had an unknown outcome",
    "chunk_refused": "chunks failed their digest",
    "transfer_stopped": "transfers were ended by a newer ticket",
    "order_refused": "orders were refused by an engine",
    "ticket_refused": "tickets were refused",
    "platform_down": "reads of the platform failed",
    "internal_error": "internal errors were caught",
}
MAX_LISTED_HOSTS = 6


@frozen(kw_only=True)
class EventSummary:
    """Count, time range and hosts of all events with one name.

    Parameters
    ----------
    meaning : str
        Description of what happened.
    count : int
        Number of events.
    first_s, last_s : float
        Times of the first and the last event, seconds after the drill's `start_ms`.
    hosts : str
        Hosts that logged them, at most `MAX_LISTED_HOSTS` by name.
    """

    meaning: str
    count: int
    first_s: float
    last_s: float
    hosts: str


def summarize_events(
    events: Sequence[Event], start_ms: int, from_s: float
) -> tuple[EventSummary, ...]:
    """Summarize the events from `from_s` on by name, ordered by their first events."""
    by_name: dict[str, list[Event]] = {}
    for event in events:
        if event.name in MEANINGS and (event.timestamp.wall_ms - start_ms) / 1000 >= from_s:
            by_name.setdefault(event.name, []).append(event)
    summaries = [
        _to_summary(name, named_events, start_ms) for name, named_events in by_name.items()
    ]
    return tuple(sorted(summaries, key=lambda summary: summary.first_s))


def _to_summary(name: str, events: list[Event], start_ms: int) -> EventSummary:
    names = sorted({event.hostname for event in events})
    unlisted_count = len(names) - MAX_LISTED_HOSTS
    return EventSummary(
        meaning=MEANINGS[name],
        count=len(events),
        first_s=(events[0].timestamp.wall_ms - start_ms) / 1000,
        last_s=(events[-1].timestamp.wall_ms - start_ms) / 1000,
        hosts=", ".join(names[:MAX_LISTED_HOSTS])
        + (f" and {unlisted_count} more" if unlisted_count > 0 else ""),
    )
