"""Server-sent events as a client reads them."""

from attrs import frozen


@frozen(kw_only=True)
class ServerSentEvent:
    """One event; `name` is empty when the stream gives none."""

    name: str
    data: str


class EventStreamDecoder:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that are complete."""
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
