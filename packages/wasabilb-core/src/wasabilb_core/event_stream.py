"""Extraction of complete server-sent events from a byte stream (WHATWG HTML, 9.2)."""

import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\n|\r)id: ?([^\r\n]*)")
# Events of the known services are below 1 KiB; the limit keeps an endless line from filling the
# memory.
MAX_EVENT_BYTES = 1 << 20


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
        return _BOUNDARY.search(bytes(self._buffer) + data) is not None

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        ValueError
            When an event exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        end = 0
        for found in _BOUNDARY.finditer(self._buffer):
            event = bytes(self._buffer[end : found.end()])
            end = found.end()
            self.count += 1
            ids = _ID.findall(event)
            if ids:
                self.last_id = ids[-1].decode("latin-1")
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def drop_partial(self) -> None:
        """Drop an incomplete event, as another runner sends it again."""
        self._buffer.clear()
