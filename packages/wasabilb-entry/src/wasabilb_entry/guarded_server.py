"""An HTTP server that keeps idle and half-sent connections from shutting callers out."""

from collections.abc import Awaitable, Callable

from attrs import define, frozen
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from wasabilb_node.clock import now

# What a caller gets for whom no connection can be closed; there is no request to answer yet.
FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@frozen(kw_only=True)
class ConnectionLimits:
    """Bounds of a server's connections.

    Parameters
    ----------
    connections : int
        Open connections.
    header_timeout_s : float
        Longest time from the first byte of a header to its end, seconds.
    """

    connections: int
    header_timeout_s: float


@define(kw_only=True, eq=False)
class _Waiting:
    """A connection on which no request is under way."""

    stream: IOStream
    since: float
    begun_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a header has arrived, which the library keeps to itself."""
        return bool(self.stream._read_buffer_size)


class GuardedServer(HTTPServer):
    """HTTP server with a bound on its connections and on the time of a header.

    At the bound, a new connection takes the place of a half-sent or idle one, the oldest first.
    `guard` is called once after the construction, whose arguments are the library's.
    """

    open_connections = 0

    def guard(
        self,
        limits: ConnectionLimits,
        *,
        on_refused: Callable[[int], None],
        on_closed: Callable[[object], None] | None = None,
    ) -> None:
        """Set the bounds.

        Parameters
        ----------
        limits : ConnectionLimits
            Bounds.
        on_refused : callable
            Called with the open connections when a new one finds no place.
        on_closed : callable or None
            Called with each closed connection, which the library keeps to itself.
        """
        self._limits = limits
        self._on_refused = on_refused
        self._on_closed = on_closed
        self._waiting: dict[object, _Waiting] = {}

    def on_limits(self, limits: ConnectionLimits) -> None:
        """Put other bounds into force."""
        self._limits = limits

    def sweep(self) -> None:
        """Close connections whose header takes too long; called about once a second."""
        moment = now()
        for waiting in list(self._waiting.values()):
            if not waiting.has_begun:
                waiting.begun_at = None
            elif waiting.begun_at is None:
                waiting.begun_at = moment
            elif moment - waiting.begun_at > self._limits.header_timeout_s:
                waiting.stream.close()

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection, or answer that there is no place for it."""
        if self.open_connections >= self._limits.connections and not self._make_room():
            self._on_refused(self.open_connections)
            stream.write(FULL).add_done_callback(lambda done: _end(stream, done))
            return
        self.open_connections += 1
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Note that a connection waits for a request."""
        stream: IOStream = server_conn.stream  # type: ignore[attr-defined]
        self._waiting[server_conn] = _Waiting(stream=stream, since=now())
        delegate = super().start_request(server_conn, request_conn)
        return _Watched(delegate, lambda: self._waiting.pop(server_conn, None))

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self.open_connections -= 1
        self._waiting.pop(server_conn, None)
        super().on_close(server_conn)
        if self._on_closed is not None:
            self._on_closed(server_conn)

    def _make_room(self) -> bool:
        """Close the connection that has kept a place for the longest time without a request."""
        waiting = [w for w in self._waiting.values() if not w.stream.closed()]
        if not waiting:
            return False
        min(waiting, key=lambda one: (not one.has_begun, one.since)).stream.close()
        return True


class _Watched(HTTPMessageDelegate):
    """Tells when the header of a request is whole."""

    def __init__(self, delegate: HTTPMessageDelegate, on_header: Callable[[], object]) -> None:
        self._delegate = delegate
        self._on_header = on_header

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._on_header()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


def _end(stream: IOStream, done: object) -> None:
    """Close a refused connection; a failed write says that the caller has left."""
    exception = getattr(done, "exception", None)
    if exception is not None:
        exception()
    stream.close()
