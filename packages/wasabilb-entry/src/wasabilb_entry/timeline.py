"""The command `timeline`: reads logs and prints their events in one order."""

import re
import sys
from collections.abc import Iterator
from datetime import UTC, datetime

from returns.result import Failure
from wasabilb_core.timeline import Event, EventFilter, merge_events, parse_event, select_events
from wasabilb_node.commands import CommandError
from wasabilb_node.logs import iso_time

_UNITS_MS = {"s": 1000, "m": 60_000, "h": 3_600_000}


def read_logs(paths: list[str]) -> list[Event]:
    """Return the events of log files in the order of the hybrid logical clock.

    Lines of libraries are skipped. Damaged event lines, such as the last line of a host that
    failed, are skipped too, and counted on standard error.

    Raises
    ------
    CommandError
        When a file cannot be read.
    """
    try:
        return merge_events([list(_read_log(path)) for path in paths])
    except OSError as exc:
        raise CommandError(f"{exc.filename}: {exc.strerror or exc}") from None


def show_timeline(paths: list[str], *, request: str, ticket: str, host: str, since: str) -> None:
    """Print the selected events, one line each."""
    if ticket and not ticket.isdigit():
        raise CommandError(f"--ticket: expected a number, got {ticket!r}")
    events = read_logs(paths)
    newest_ms = events[-1].timestamp.wall_ms if events else 0
    since_ms = parse_since(since, newest_ms) if since else 0
    event_filter = EventFilter(request=request, ticket=ticket, host=host, since_ms=since_ms)
    for event in select_events(events, event_filter):
        print(format_event(event))


def format_event(event: Event) -> str:
    """Return the line of an event: clock reading, host, name and fields."""
    time_text = f"{iso_time(event.timestamp.wall_ms / 1000)}.{event.timestamp.counter:<3}"
    fields = " ".join(f"{name}={_quote(value)}" for name, value in event.fields.items())
    return f"{time_text} {event.hostname:12} {event.role:6} {event.name:20} {fields}".rstrip()


def parse_since(text: str, newest_ms: int) -> int:
    """Return the time of `--since` in ms since the epoch.

    Raises
    ------
    CommandError
        When the text is neither ISO 8601 nor a number with the unit s, m or h.
    """
    match = re.fullmatch(r"([0-9]{1,9})([smh])", text)
    if match:
        return newest_ms - int(match.group(1)) * _UNITS_MS[match.group(2)]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        expected = "expected ISO 8601, or 90s, 15m, 2h before the last event"
        raise CommandError(f"--since: {expected}, got {text!r}") from None
    return int((moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp() * 1000)


def _read_log(path: str) -> Iterator[Event]:
    damaged = 0
    with open(path, encoding="utf-8", errors="replace", newline="\n") as file:
        for line in file:
            if " event=" not in line:
                continue
            result = parse_event(line)
            if isinstance(result, Failure):
                damaged += 1
                continue
            yield result.unwrap()
    if damaged:
        print(f"{path}: {damaged} damaged event lines skipped", file=sys.stderr)


def _quote(value: str) -> str:
    return value if re.fullmatch(r"[!#-<>-~]+", value) else repr(value)
