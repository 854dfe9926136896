"""The event timeline: parses log lines of all processes and orders their events."""

import re
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.events import COMMON_FIELDS
from wasabilb_core.hlc import Timestamp, parse_timestamp

# logfmt: a bare value ends at a space; a quoted value holds escapes.
_FIELD_PATTERN = re.compile(r'([^ ="]+)=("(?:[^"\\]|\\.)*"|[^ "]*)(?: |$)')
_ESCAPE_PATTERN = re.compile(r"\\(u[0-9a-fA-F]{4}|.)")
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r"}
_REQUIRED_FIELDS = ("event", "hlc", "hostname")


@frozen(kw_only=True)
class Event:
    """One event from a log.

    Parameters
    ----------
    name : str
        Name from `wasabilb_core.events.EVENTS`.
    timestamp : Timestamp
        Timestamp of the hybrid logical clock.
    wall : str
        Wall time of the host, in ISO 8601.
    hostname, role, process, failure_domain, incarnation : str
        Origin of the event.
    fields : mapping of str to str
        Fields that are specific to this event.
    """

    name: str
    timestamp: Timestamp
    wall: str
    hostname: str
    role: str
    process: str
    failure_domain: str
    incarnation: str
    fields: Mapping[str, str]

    def number(self, field: str) -> float:
        """Return a field as a number, 0 when it is absent or not a number."""
        try:
            return float(self.fields.get(field, ""))
        except ValueError:
            return 0.0


@frozen(kw_only=True)
class EventFilter:
    """Filter of a timeline; an empty value matches everything.

    Parameters
    ----------
    request, ticket : str
        Value of the field of that name.
    host : str
        Host that wrote the event or that the event is about.
    since_ms : int
        Lowest time of the hybrid logical clock, ms since the epoch.
    """

    request: str = ""
    ticket: str = ""
    host: str = ""
    since_ms: int = 0

    def is_match(self, event: Event) -> bool:
        """Return whether an event passes the filter."""
        fields = event.fields
        return (
            (not self.request or fields.get("request") == self.request)
            and (not self.ticket or fields.get("ticket") == self.ticket)
            and (not self.host or self.host in (event.hostname, fields.get("host")))
            and event.timestamp.wall_ms >= self.since_ms
        )


def parse_event(line: str) -> Result[Event, Error]:
    """Parse one log line, or fail when it is not an event or is truncated."""
    pairs = _read_pairs(line.rstrip("\r\n"))
    missing = [name for name in _REQUIRED_FIELDS if not pairs.get(name)]
    if missing:
        return Failure(_error(f"expected an event line, {', '.join(missing)} missing"))
    timestamp = parse_timestamp(pairs["hlc"])
    if not isinstance(timestamp, Success):
        return Failure(_error(f"hlc: {timestamp.failure()}"))
    return Success(
        Event(
            name=pairs["event"],
            timestamp=timestamp.unwrap(),
            wall=pairs.get("ts", ""),
            hostname=pairs["hostname"],
            role=pairs.get("role", ""),
            process=pairs.get("process", ""),
            failure_domain=pairs.get("failure_domain", ""),
            incarnation=pairs.get("incarnation", ""),
            fields={name: value for name, value in pairs.items() if name not in COMMON_FIELDS},
        )
    )


def merge_events(streams: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all streams in the order of the hybrid logical clock.

    Every event follows all events that it depends on. Independent events with the same timestamp
    are ordered by host and process, so that the result does not depend on the order of the
    streams.
    """
    return sorted(
        chain.from_iterable(streams),
        key=lambda event: (event.timestamp, event.hostname, event.process, event.incarnation),
    )


def select_events(events: Iterable[Event], event_filter: EventFilter) -> Iterator[Event]:
    """Yield the events that pass a filter, in their order."""
    return (event for event in events if event_filter.is_match(event))


def _read_pairs(line: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    position = 0
    while position < len(line):
        match = _FIELD_PATTERN.match(line, position)
        if match is None:
            return {}
        name, value = match.group(1), match.group(2)
        # The common fields come first and cannot be replaced by a later field.
        pairs.setdefault(name, _unescape(value[1:-1]) if value.startswith('"') else value)
        position = match.end()
    return pairs


def _unescape(text: str) -> str:
    def replace(match: re.Match[str]) -> str:
        code = match.group(1)
        return chr(int(code[1:], 16)) if len(code) == 5 else _ESCAPES.get(code, code)

    return _ESCAPE_PATTERN.sub(replace, text)


def _error(detail: str) -> Error:
    return Error(kind=ErrorKind.BAD_REQUEST, detail=detail)
