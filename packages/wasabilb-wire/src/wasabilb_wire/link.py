"""A multiplexed connection between two processes."""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from returns.result import Failure
from tornado.iostream import IOStream, StreamClosedError
from wasabilb_core.errors import Error, ErrorKind

from wasabilb_wire.codec import FrameBuffer, encode, read_frame
from wasabilb_wire.messages import Message
from wasabilb_wire.read_turns import ReadTurn

READ_BYTES = 1 << 16
# A peer with a larger backlog of unread data is treated as silent.
MAX_UNSENT_BYTES = 16 << 20

OnMessage: TypeAlias = Callable[["Link", Message], None]


class Link:
    """Sends and receives messages over a stream.

    Parameters
    ----------
    stream : IOStream
        A connected TCP or TLS stream.
    on_message : callable
        Called with each received message, on the event loop.
    """

    def __init__(self, *, stream: IOStream, on_message: OnMessage) -> None:
        self._stream = stream
        self._on_message = on_message
        self._buffer = FrameBuffer()
        self._unsent_bytes = 0
        self._outgoing: list[bytes] = []
        self._is_closed_here = False
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def is_closed(self) -> bool:
        """Return whether the link can no longer send."""
        return self._stream.closed()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes not yet written to the connection."""
        return self._unsent_bytes

    @property
    def pending_bytes(self) -> int:
        """Return the number of received bytes of an incomplete message."""
        return self._buffer.pending_bytes

    def send(self, message: Message) -> bool:
        """Queue a message and return whether the link was open.

        The messages of one event loop iteration are written together, because a system call for
        each would cost more than their serialization. A true result does not mean that the peer
        receives the message.
        """
        return self.send_frame(encode(message)) if not self._stream.closed() else False

    def send_frame(self, frame: bytes) -> bool:
        """Queue an encoded message, which several links can share, as `send` does."""
        if self._stream.closed():
            return False
        if self._unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            self._stream.close()
            return False
        self._unsent_bytes += len(frame)
        self.bytes_sent += len(frame)
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(frame)
        return True

    async def run(self) -> Error | None:
        """Receive messages until the link closes and return the error that closed it, if any.

        Other work continues between two messages of a peer that sends without a pause.
        """
        turn = ReadTurn(reader="link", is_trusted=True)
        while not self._is_closed_here:
            try:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                return None
            self.bytes_received += len(data)
            error = await self._receive(data, turn)
            if error is not None:
                self._stream.close()
                return error
        return None

    def close(self) -> None:
        """Close the connection after an attempt to write the queued messages."""
        self._is_closed_here = True
        self._flush()
        self._stream.close()

    async def _receive(self, data: bytes, turn: ReadTurn) -> Error | None:
        turn.begin()
        frames = self._buffer.feed(data)
        if isinstance(frames, Failure):
            bad_length: Error = frames.failure()
            return bad_length
        for frame in frames.unwrap():
            message = read_frame(frame)
            if isinstance(message, Error):
                return message
            try:
                self._on_message(self, message)
            except Exception as exc:
                # An error in a handler must close only this link, not stop the process.
                return Error(kind=ErrorKind.INTERNAL, detail=f"{type(exc).__name__}: {exc}")
            pause = turn.pause()
            if pause is not None:
                await pause
                if self._is_closed_here:
                    return None
                turn.begin()
        return None

    def _flush(self) -> None:
        """Write the collected frames."""
        if not self._outgoing or self._stream.closed():
            return
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        try:
            fut = self._stream.write(data)
        except StreamClosedError:
            return
        fut.add_done_callback(lambda done: self._on_written(len(data), done))

    def _on_written(self, size: int, done: "object") -> None:
        self._unsent_bytes -= size
        # Reading the exception marks it as retrieved; `run` detects a closed stream.
        exception = getattr(done, "exception", None)
        if exception is not None:
            exception()
