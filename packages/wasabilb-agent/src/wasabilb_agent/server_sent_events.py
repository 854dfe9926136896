"""Decoder of the server-sent events of an engine.

Source: HTML Living Standard, section 9.2 "Server-sent events". Engines send only `data` fields.
"""

from wasabilb_core.event_stream import EventBuffer


class EventStreamDecoder:
    """Decoder that returns the data of each complete event of a byte stream."""

    def __init__(self) -> None:
        self._events = EventBuffer()

    @property
    def count(self) -> int:
        """Return the number of complete events so far, those without data included."""
        return self._events.count

    def feed(self, data: bytes) -> list[str]:
        """Add received bytes; return the data of events that are now complete and have data.

        Raises
        ------
        ValueError
            If an event exceeds `MAX_EVENT_BYTES`.
        """
        events = self._events.feed(data)
        if b"\r" in events:
            events = events.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return [text for event in events.split(b"\n\n") if (text := _data_of(event))]


def _data_of(event: bytes) -> str:
    text = event.decode()
    if "\n" not in text:
        # Fast path: engines send each event as a single line.
        return text[5:].removeprefix(" ") if text.startswith("data:") else ""
    lines = text.split("\n")
    return "\n".join(line[5:].removeprefix(" ") for line in lines if line.startswith("data:"))
