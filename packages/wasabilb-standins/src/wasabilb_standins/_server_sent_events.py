"""Decoder of the server-sent events that callers receive."""

from attrs import frozen


@frozen(kw_only=True)
class ServerSentEvent:
    """Event; `name` is empty if the stream contains none."""

    name: str
    data: str


class EventStreamDecoder:
    """Decoder that returns the complete events of a byte stream."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Add received bytes and return the events that are now complete."""
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        return [self._event(block.decode()) for block in blocks]

    @staticmethod
    def _event(block: str) -> ServerSentEvent:
        fields = {"event": "", "data": ""}
        for line in block.split("\n"):
            key, _, value = line.partition(":")
            if key in fields:
                fields[key] += value.removeprefix(" ")
        return ServerSentEvent(name=fields["event"], data=fields["data"])
