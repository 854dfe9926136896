"""HTTP/1.1 towards backend servers and the platform on connections that are kept open.

tornado's client opens a connection for each request. Its connection class is driven here on kept
streams instead, so that the library still writes and parses every message.
"""

import asyncio
import ipaddress
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, unique
from typing import Protocol

from attrs import define, field, frozen
from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import Resolver
from wasabilb_core.errors import Error, ErrorKind

from wasabilb_node.clock import now

# A round trip between the farthest hosts takes 12 ms; a lost opening packet is sent again after a
# second, and the other runners are closer than that.
CONNECT_TIMEOUT_S = 0.5
# A peer whose host lost power acknowledges nothing. Unacknowledged data ends the connection after
# this time, milliseconds; it is well above the sum of two retransmissions.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Servers of unknown idle timeout close after 10 s or more; the shortest announced one is 1 s.
DEFAULT_IDLE_S = 5.0
# Part of an announced idle timeout after which a connection is not used again, so that a request
# does not cross the server's close.
IDLE_SHARE = 0.7
MAX_BODY_BYTES = 16 << 20
MAX_HEADER_BYTES = 64 << 10
READ_BYTES = 64 << 10


class NumericResolver(Resolver):
    """Takes IP addresses as they are, so that no thread looks up names."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return the one address.

        Raises
        ------
        OSError
            When the host is not an IP address.
        """
        try:
            ip = ipaddress.ip_address(host)
        except ValueError as exc:
            raise OSError(f"{host!r} is not an IP address") from exc
        kind = socket.AF_INET if ip.version == 4 else socket.AF_INET6
        return [(kind, (host, port))]


class KeptStream(IOStream):
    """A stream that may be idle between two requests."""

    @property
    def is_quiet(self) -> bool:
        """Return whether the connection is open and the peer has sent nothing unasked.

        The socket is looked at directly, because the event loop may not have read yet what
        arrived a moment ago: the peer's close, or a second answer to an earlier request.
        """
        is_idle = not self.closed() and not self._read_buffer_size and not self.writing()
        return is_idle and not has_input(self)


def has_input(stream: IOStream) -> bool:
    """Return whether the socket holds bytes, an error or the peer's close that wait to be read."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class _ClientConnection(HTTP1Connection):
    """Reads a body without a length piece by piece; the library reads it to its end at once."""

    async def _read_body_until_close(self, delegate: HTTPMessageDelegate) -> None:
        while True:
            try:
                chunk = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                return
            taken = delegate.data_received(chunk)
            if taken is not None:
                await taken


@frozen(kw_only=True)
class Head:
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


class AnswerSink(Protocol):
    """Takes one answer as it arrives."""

    def is_expected(self, head: Head) -> bool:
        """Return whether an answer belongs to the request; others are read and dropped."""

    def on_head(self, head: Head) -> None:
        """Take the status and the headers."""

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Take a part of the body; an awaitable holds the next part back."""


@unique
class ReadEnd(Enum):
    """How reading an answer ended."""

    COMPLETE = "complete"
    BROKEN = "broken"


@define(kw_only=True, eq=False)
class Connection:
    """One kept connection."""

    address: str
    stream: KeptStream
    idle_limit_s: float = DEFAULT_IDLE_S
    idle_since: float = 0.0
    is_reusable: bool = True
    is_fresh: bool = True
    _http: HTTP1Connection | None = field(default=None)

    def send(self, *, method: str, target: str, headers: HTTPHeaders, body: bytes) -> None:
        """Write a request; the stream sends it in the background.

        Raises
        ------
        StreamClosedError
            When the connection is closed, so that nothing was written.
        """
        if self.stream.closed():
            raise StreamClosedError
        params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
        )
        http = _ClientConnection(self.stream, True, params)
        self._http = http
        written = http.write_headers(RequestStartLine(method, target, ""), headers, body or None)
        written.add_done_callback(_retrieve)
        http.finish()

    async def read(self, sink: AnswerSink) -> ReadEnd:
        """Read the answer to the request that was sent."""
        if self._http is None:
            raise RuntimeError("no request was sent on this connection")
        while True:
            delegate = _SinkDelegate(sink=sink)
            try:
                is_open = await self._http.read_response(delegate)
            except StreamClosedError:
                return self._broken()
            if not delegate.is_finished:
                return self._broken()
            if delegate.is_foreign and is_open and not self.stream.closed():
                # An extra answer to an earlier request; the awaited one follows it.
                continue
            if delegate.is_foreign:
                return self._broken()
            return self._end(delegate)

    def close(self) -> None:
        """Close the connection."""
        self.is_reusable = False
        self.stream.close()

    def _end(self, delegate: "_SinkDelegate") -> ReadEnd:
        headers = delegate.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not is_framed and delegate.has_body:
            # The end of the connection ends such a body, and only a clean end makes it whole.
            return ReadEnd.COMPLETE if self.stream.error is None else self._broken()
        if headers.get("Connection", "").lower() == "close" or self.stream.closed():
            self.is_reusable = False
        self.idle_limit_s = _idle_limit_s(headers.get("Keep-Alive", ""))
        return ReadEnd.COMPLETE

    def _broken(self) -> ReadEnd:
        self.close()
        return ReadEnd.BROKEN


def _retrieve(fut: "asyncio.Future[None]") -> None:
    """Mark a failed write as seen; the reader of the answer finds the closed stream."""
    if not fut.cancelled():
        fut.exception()


def _idle_limit_s(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return int(value) * IDLE_SHARE
    return DEFAULT_IDLE_S


class _SinkDelegate(HTTPMessageDelegate):
    """Passes one message from the library to a sink."""

    def __init__(self, *, sink: AnswerSink) -> None:
        self._sink = sink
        self.headers = HTTPHeaders()
        self.is_finished = False
        self.is_foreign = False
        self.has_body = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return
        self.headers = headers
        head = Head(status=start_line.code, reason=start_line.reason, headers=headers)
        self.has_body = start_line.code not in (204, 304)
        self.is_foreign = not self._sink.is_expected(head)
        if not self.is_foreign:
            self._sink.on_head(head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return None if self.is_foreign else self._sink.on_data(chunk)

    def finish(self) -> None:
        self.is_finished = True


class ConnectError(OSError):
    """No connection could be made, so nothing was sent."""


class ConnectionPool:
    """Kept connections by address.

    Parameters
    ----------
    max_idle : int
        Idle connections that are kept for one address.
    on_open : callable or None
        Called for each new connection.
    """

    def __init__(self, *, max_idle: int, on_open: Callable[[], None] | None = None) -> None:
        self._max_idle = max_idle
        self._idle: dict[str, deque[Connection]] = {}
        self._on_open = on_open

    async def acquire(
        self, address: str, *, is_fresh: bool = False, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection:
        """Return a usable connection, a kept one when there is one.

        Raises
        ------
        ConnectError
            When no connection could be made in time.
        """
        conn = None if is_fresh else self._take(address)
        return conn if conn is not None else await self._open(address, timeout_s)

    def release(self, conn: Connection) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        idle = self._idle.setdefault(conn.address, deque())
        if not conn.is_reusable or conn.stream.closed() or len(idle) >= self._max_idle:
            conn.close()
            return
        conn.idle_since = now()
        conn.is_fresh = False
        idle.append(conn)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long; called once in a while."""
        moment = now()
        for address, idle in list(self._idle.items()):
            while idle and moment - idle[0].idle_since > idle[0].idle_limit_s:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def _take(self, address: str) -> Connection | None:
        idle = self._idle.get(address)
        moment = now()
        while idle:
            conn = idle.pop()
            if moment - conn.idle_since <= conn.idle_limit_s and conn.stream.is_quiet:
                return conn
            conn.close()
        return None

    async def _open(self, address: str, timeout_s: float) -> Connection:
        stream = KeptStream(_socket())
        ip, _, port = address.rpartition(":")
        try:
            await asyncio.wait_for(stream.connect((ip, int(port))), timeout_s)
        except (OSError, StreamClosedError, TimeoutError, ValueError) as exc:
            stream.close()
            raise ConnectError(f"{address}: {type(exc).__name__}") from exc
        except asyncio.CancelledError:
            stream.close()
            raise
        if self._on_open is not None:
            self._on_open()
        return Connection(address=address, stream=stream)


def _socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


@define(kw_only=True)
class _WholeSink:
    """Collects a whole answer."""

    head: Head | None = None
    parts: list[bytes] = field(factory=list)

    def is_expected(self, head: Head) -> bool:
        return True

    def on_head(self, head: Head) -> None:
        self.head = head

    def on_data(self, data: bytes) -> None:
        self.parts.append(data)


@frozen(kw_only=True)
class WholeAnswer:
    """A whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


async def call(
    pool: ConnectionPool,
    address: str,
    target: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Result[WholeAnswer, Error]:
    """Make one call and return its whole answer, whatever its status.

    Fails with `PLATFORM_UNAVAILABLE` when no whole answer came in time; the call may have been
    carried out all the same.
    """
    try:
        return await asyncio.wait_for(
            _call(pool, address, target, method, body, headers or {}, connect_timeout_s),
            timeout_s,
        )
    except TimeoutError:
        return _unavailable(f"{method} {target.partition('?')[0]}: no answer in {timeout_s} s")
    except (ConnectError, StreamClosedError) as exc:
        return _unavailable(f"{method} {target.partition('?')[0]}: {exc or type(exc).__name__}")


async def _call(
    pool: ConnectionPool,
    address: str,
    target: str,
    method: str,
    body: bytes,
    extra: dict[str, str],
    connect_timeout_s: float,
) -> Result[WholeAnswer, Error]:
    conn = await pool.acquire(address, timeout_s=connect_timeout_s)
    sink = _WholeSink()
    try:
        headers = HTTPHeaders({"Host": address, **extra})
        if body or method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(body))
        conn.send(method=method, target=target, headers=headers, body=body)
        end = await conn.read(sink)
    except BaseException:
        conn.close()
        raise
    if end is not ReadEnd.COMPLETE or sink.head is None:
        return _unavailable(f"{method} {target.partition('?')[0]}: the connection broke")
    pool.release(conn)
    head = sink.head
    return Success(WholeAnswer(status=head.status, headers=head.headers, body=b"".join(sink.parts)))


def _unavailable(detail: str) -> Result[WholeAnswer, Error]:
    return Failure(Error(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=detail))
