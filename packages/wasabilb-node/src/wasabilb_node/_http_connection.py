"""A persistent HTTP/1.1 connection that uses tornado's parser."""

import asyncio
import socket
from collections.abc import Awaitable
from enum import Enum, unique
from typing import Protocol

from attrs import define, field, frozen
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from wasabilb_wire.read_turns import ReadTurn

# Servers that announce no idle timeout close after 10 s or more.
DEFAULT_IDLE_LIMIT_S = 5.0
# Fraction of an announced idle timeout after which a connection is not reused, so that a request
# is not sent while the server closes the connection. The shortest announced timeout is 1 s.
IDLE_FRACTION = 0.7
MAX_BODY_BYTES = 16 << 20
# Heads of known services are below 1 KiB. One is parsed without a pause, in about 1 ms a KiB.
MAX_HEADER_BYTES = 16 << 10
# Processing a block of events takes less than 1 ms, so that a turn of the event loop stays short.
READ_BYTES = 16 << 10
# Limits on the answers to earlier requests that are discarded before the awaited one. A server
# answers a request at most twice; one that exceeds the limits is broken.
MAX_UNMATCHED_ANSWERS = 4
MAX_UNMATCHED_BYTES = 1 << 20


class KeepAliveStream(IOStream):
    """A stream that may be idle between two requests."""

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and no unsolicited data has arrived.

        The socket is checked directly, because the event loop may not yet have read what just
        arrived: the peer's close, or a second answer to an earlier request.
        """
        has_empty_buffers = not self.closed() and not self._read_buffer_size and not self.writing()
        return has_empty_buffers and not has_pending_input(self)


def has_pending_input(stream: IOStream) -> bool:
    """Return whether bytes, an error or the peer's close are waiting on the socket."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


@frozen(kw_only=True)
class AnswerHead:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


class AnswerRefusedError(Exception):
    """Raised by a receiver that rejects the rest of an answer; the connection is closed."""


class AnswerReceiver(Protocol):
    """Receives one answer as it arrives."""

    def on_head(self, head: AnswerHead) -> bool:
        """Receive status and headers; return False if the answer belongs to another request.

        Such an answer is read and discarded.
        """

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Receive a part of the body; a returned awaitable delays the next part.

        Raises
        ------
        AnswerRefusedError
            When the answer cannot be used, for example because it does not end.
        """


@unique
class ReadOutcome(Enum):
    """How reading an answer ended."""

    COMPLETE = "complete"
    BROKEN = "broken"


@define(kw_only=True, eq=False)
class Connection:
    """Client connection that sends one request at a time and may be reused."""

    address: str
    stream: KeepAliveStream
    idle_limit_s: float = DEFAULT_IDLE_LIMIT_S
    idle_since: float = 0.0
    is_reusable: bool = True
    request_count: int = 0
    # Identifiers of the requests that were sent on it.
    request_ids: set[str] = field(factory=set)
    # Why this side aborted the newest answer, empty if it did not.
    abort_reason: str = ""
    _http: HTTP1Connection | None = field(default=None)

    def send(self, *, method: str, target: str, headers: HTTPHeaders, body: bytes) -> None:
        """Write a request, which the stream sends in the background.

        Raises
        ------
        StreamClosedError
            When the connection is closed, so that nothing was written.
        """
        if self.stream.closed():
            raise StreamClosedError
        params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES, chunk_size=READ_BYTES
        )
        self.request_count += 1
        http = HTTP1Connection(self.stream, True, params)
        self._http = http
        written = http.write_headers(RequestStartLine(method, target, ""), headers, body or None)
        written.add_done_callback(_consume_exception)
        http.finish()

    async def read(self, receiver: AnswerReceiver) -> ReadOutcome:
        """Read the answer to the request that was sent."""
        if self._http is None:
            raise RuntimeError("no request was sent on this connection")
        unmatched_bytes = 0
        turn = ReadTurn(reader=self.address)
        for _ in range(MAX_UNMATCHED_ANSWERS + 1):
            delegate = _ReceiverDelegate(
                receiver=receiver, stream=self.stream, unmatched_bytes=unmatched_bytes, turn=turn
            )
            turn.begin()
            try:
                is_open = await self._http.read_response(delegate)
            except StreamClosedError:
                return self._fail(delegate.abort_reason)
            except Exception as exc:
                # Any exception that a malformed answer raises ends only this connection.
                return self._fail(f"{type(exc).__name__}: {exc}")
            if delegate.abort_reason or not delegate.is_finished:
                return self._fail(delegate.abort_reason)
            if not delegate.is_unmatched:
                return self._finish(delegate)
            if not is_open or self.stream.closed():
                return self._fail()
            # An extra answer to an earlier request; the awaited one follows it.
            unmatched_bytes = delegate.unmatched_bytes
        return self._fail(f"more than {MAX_UNMATCHED_ANSWERS} answers to other requests")

    def close(self) -> None:
        """Close the connection and exclude it from reuse."""
        self.is_reusable = False
        self.stream.close()

    def _finish(self, delegate: "_ReceiverDelegate") -> ReadOutcome:
        headers = delegate.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not is_framed and delegate.has_body:
            # The close of the connection ends such a body; only a clean close makes it complete.
            return ReadOutcome.COMPLETE if self.stream.error is None else self._fail()
        if headers.get("Connection", "").lower() == "close" or self.stream.closed():
            self.is_reusable = False
        self.idle_limit_s = _idle_limit_s(headers.get("Keep-Alive", ""))
        return ReadOutcome.COMPLETE

    def _fail(self, abort_reason: str = "") -> ReadOutcome:
        self.abort_reason = abort_reason
        self.close()
        return ReadOutcome.BROKEN


def _consume_exception(fut: "asyncio.Future[None]") -> None:
    """Mark a failed write's exception as retrieved; `read` detects the closed stream."""
    if not fut.cancelled():
        fut.exception()


def _idle_limit_s(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return int(value) * IDLE_FRACTION
    return DEFAULT_IDLE_LIMIT_S


class _ReceiverDelegate(HTTPMessageDelegate):
    """Passes one answer from the library to a receiver."""

    def __init__(
        self,
        *,
        receiver: AnswerReceiver,
        stream: IOStream,
        unmatched_bytes: int,
        turn: ReadTurn,
    ) -> None:
        self._receiver = receiver
        self._stream = stream
        self._turn = turn
        self.unmatched_bytes = unmatched_bytes
        self.abort_reason = ""
        self.headers = HTTPHeaders()
        self.is_finished = False
        self.is_unmatched = False
        self.has_body = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self._turn.begin()
        if start_line.code >= 200:
            self._receive_head(start_line, headers)
        # Several heads may have arrived together: of interim answers, or for other requests.
        return self._turn.pause()

    def _receive_head(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        self.headers = headers
        head = AnswerHead(status=start_line.code, reason=start_line.reason, headers=headers)
        self.has_body = start_line.code not in (204, 304)
        self.is_unmatched = not self._receiver.on_head(head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.abort_reason:
            return None
        self._turn.begin()
        pending = self._pass_on(chunk)
        return self._turn.pause() if pending is None else self._wait_for_receiver(pending)

    async def _wait_for_receiver(self, pending: Awaitable[None]) -> None:
        await pending
        await self._turn.rest()

    def _pass_on(self, chunk: bytes) -> Awaitable[None] | None:
        if not self.is_unmatched:
            try:
                return self._receiver.on_data(chunk)
            except AnswerRefusedError as exc:
                self._abort(str(exc))
                return None
        self.unmatched_bytes += len(chunk)
        if self.unmatched_bytes > MAX_UNMATCHED_BYTES:
            self._abort(f"more than {MAX_UNMATCHED_BYTES} bytes for other requests")
        return None

    def _abort(self, reason: str) -> None:
        # The library stops reading when the stream is closed.
        self.abort_reason = reason
        self._stream.close()

    def finish(self) -> None:
        self.is_finished = True
