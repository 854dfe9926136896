"""Decoder of the server-sent events of an engine.

Source: HTML Living Standard, section 9.2 "Server-sent events". Engines send only `data` fields.
"""

from wasabilb_core.event_stream import MAX_EVENT_BYTES


class EventStreamDecoder:
    """Decoder that returns the data of each complete event of a byte stream."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[str]:
        """Add received bytes; return the data of events that are now complete and have data.

        Raises
        ------
        ValueError
            If an event exceeds `MAX_EVENT_BYTES`.
        """
        *events, self._buffer = (self._buffer + data.replace(b"\r\n", b"\n")).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return [text for event in events if (text := _data_of(event))]


def _data_of(event: bytes) -> str:
    text = event.decode()
    if "\n" not in text:
        # Fast path: engines send each event as a single line.
        return text[5:].removeprefix(" ") if text.startswith("data:") else ""
    lines = text.split("\n")
    return "\n".join(line[5:].removeprefix(" ") for line in lines if line.startswith("data:"))
