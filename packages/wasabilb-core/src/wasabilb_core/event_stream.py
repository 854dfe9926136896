"""Extraction of complete server-sent events from a byte stream (WHATWG HTML, 9.2)."""

import re
from collections import deque

from attrs import define

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_BOUNDARY_BYTES = 4
_ID = re.compile(rb"(?:^|\n|\r)id: ?([^\r\n]*)")
# Events of the known services are below 1 KiB; the limit keeps an endless line from filling the
# memory.
MAX_EVENT_BYTES = 1 << 20
# Engines of the known services send at most 113 events a second. A stored answer may arrive at
# once.
STREAM_EVENTS_PER_S = 2000
STREAM_BURST_EVENTS = 8192


@define(kw_only=True)
class StreamAllowance:
    """Limit on the events of one stream, as the cost of a stream grows with their number.

    A sound server cannot exceed it. One that does sends bytes that are no answer, such as line
    feeds, each pair of which ends an event and would look like progress.
    """

    events: int = 0

    def take(self, events: int, elapsed_s: float) -> bool:
        """Count received events; return whether the stream is within its limit.

        Parameters
        ----------
        events : int
            Events that were received now, those without data included.
        elapsed_s : float
            Time since the head of the answer, seconds.
        """
        self.events += events
        return self.events <= STREAM_BURST_EVENTS + STREAM_EVENTS_PER_S * elapsed_s


class EventBuffer:
    """Split received bytes into complete events and track the id of the last one.

    A stream may break off in the middle of an event. Only complete events are forwarded, so that
    another runner can continue after the last one.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id = ""
        self.count = 0

    @property
    def has_partial(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def successor(self) -> "EventBuffer":
        """Return a buffer for another stream that goes on after the last complete event."""
        buffer = EventBuffer()
        buffer.last_id, buffer.count = self.last_id, self.count
        return buffer

    def would_complete(self, data: bytes) -> bool:
        """Return whether received bytes complete an event."""
        tail = bytes(self._buffer[self._unsearched_from() :])
        return _BOUNDARY.search(tail + data) is not None

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        The cost depends on the received bytes alone: what is buffered is not searched again.

        Raises
        ------
        ValueError
            When an event exceeds `MAX_EVENT_BYTES`.
        """
        start = self._unsearched_from()
        self._buffer += data
        count, end = _search_boundaries(self._buffer, start)
        self.count += count
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        if b"id:" in events:
            ids = _ID.findall(events)
            if ids:
                self.last_id = ids[-1].decode("latin-1")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def drop_partial(self) -> None:
        """Drop an incomplete event, as another runner sends it again."""
        self._buffer.clear()

    def _unsearched_from(self) -> int:
        """Return where a boundary may begin that the buffered bytes do not complete."""
        return max(0, len(self._buffer) - _MAX_BOUNDARY_BYTES + 1)


def _search_boundaries(data: bytearray, start: int) -> tuple[int, int]:
    """Return the number of boundaries from a position on, and where the last one ends.

    The interpreter takes no step for each of them, as a read may hold thousands.
    """
    last = deque(enumerate(_BOUNDARY.finditer(data, start), start=1), maxlen=1)
    if not last:
        return 0, 0
    count, boundary = last.pop()
    return count, boundary.end()
