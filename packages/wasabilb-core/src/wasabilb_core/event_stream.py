"""Whole server-sent events out of a byte stream that may end anywhere (WHATWG HTML, 9.2)."""

import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\n|\r)id: ?([^\r\n]*)")
# An event of the known services is below 1 KiB; a longer one than this is not an event, and a line
# that never ends must not fill the memory.
MAX_EVENT_BYTES = 1 << 20


class EventBuffer:
    """Cuts received bytes into whole events and remembers the id of the last one.

    A runner may break off in the middle of an event. Only whole events are passed on, so that
    another runner can go on after the last one.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id = ""
        self.count = 0

    @property
    def has_partial(self) -> bool:
        """Return whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the whole events that are now complete.

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
        """Forget an unfinished event, as another runner sends it again."""
        self._buffer.clear()
