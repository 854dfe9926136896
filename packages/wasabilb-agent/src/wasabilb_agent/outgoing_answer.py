"""Answer of one call to an entry process, with credit-based flow control."""

import asyncio
from collections.abc import Callable

from wasabilb_core.errors import Error
from wasabilb_node.hlc_encoding import to_wire
from wasabilb_node.links import Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import Call, End, Fail, Head, Header, StreamData

from wasabilb_agent._http_stream import ExchangeStoppedError


class OutgoingAnswer:
    """Sender of the parts of one answer.

    Parameters
    ----------
    peer : Peer
        The entry process that made the call.
    call : Call
        The call; its credit is the first window in bytes.
    log : EventLog
        Source of the messages' timestamps.
    """

    def __init__(self, *, peer: Peer, call: Call, log: EventLog) -> None:
        self.peer = peer
        self.call = call
        self._log = log
        self._credit = call.credit
        self._state_changed = asyncio.Event()
        self.is_caller_gone = False
        self.is_ended = False
        self.on_ended: Callable[[], object] = lambda: None

    def on_credit(self, size: int) -> None:
        """Add credit for more bytes."""
        self._credit += size
        self._state_changed.set()

    def on_caller_gone(self) -> None:
        """Record that the caller is gone."""
        self.is_caller_gone = True
        self._state_changed.set()

    def send_head(
        self, *, status: int, headers: list[Header] | None = None, variant: str = ""
    ) -> None:
        """Send the start of the answer."""
        self.peer.send(
            Head(
                id=self.call.id,
                status=status,
                headers=headers or [],
                variant=variant,
                hlc=to_wire(self._log.timestamp()),
            )
        )

    async def send_data(self, *, position: int, count: int, payload: bytes) -> None:
        """Send a part as soon as the credit allows it.

        Raises
        ------
        ExchangeStoppedError
            If the caller is gone or the link is closed.
        """
        while self._credit <= 0 and not self.is_caller_gone:
            self._state_changed.clear()
            await self._state_changed.wait()
        if self.is_caller_gone or self.peer.link.is_closed:
            raise ExchangeStoppedError
        self._credit -= len(payload)
        self.peer.send(StreamData(id=self.call.id, position=position, count=count, payload=payload))

    def keep_alive(self, *, position: int) -> None:
        """Signal that the answer continues later, with an empty part."""
        self.peer.send(StreamData(id=self.call.id, position=position, count=0, payload=b"[]"))

    def end(self, *, position: int, reason: str = "") -> None:
        """Send the definite end of the answer."""
        self._close()
        timestamp = to_wire(self._log.timestamp())
        self.peer.send(End(id=self.call.id, position=position, finish_reason=reason, hlc=timestamp))

    def fail(self, error: Error, *, crash_ms: int = 0) -> None:
        """End the answer with an error, and tell when the engine was found crashed, if it was."""
        if self.is_ended:
            return
        self._close()
        retry_after_ms = int((error.retry_after_s or 0) * 1000)
        self.peer.send(
            Fail(
                id=self.call.id,
                kind=error.kind.value,
                detail=error.detail,
                outcome=error.effective_outcome.value,
                retry_after_ms=retry_after_ms,
                crash_ms=crash_ms,
            )
        )

    def _close(self) -> None:
        self.is_ended = True
        self.on_ended()
