"""An HTTP server that keeps idle and half-sent connections from blocking new callers."""

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

# Sent to a caller for which no connection can be closed; there is no request to answer yet.
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@frozen(kw_only=True)
class ConnectionLimits:
    """Limits on a server's connections.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    header_timeout_s : float
        Longest time from the first byte of a header to its end, seconds.
    """

    connections: int
    header_timeout_s: float


@define(kw_only=True, eq=False)
class _IdleConnection:
    """A connection on which no request is in progress."""

    stream: IOStream
    since: float
    header_begun_at: float | None = None

    @property
    def has_begun_header(self) -> bool:
        """Return whether part of a header has arrived, which the library does not expose."""
        return bool(self.stream._read_buffer_size)


class BoundedServer(HTTPServer):
    """HTTP server with limits on its connections and on the time to receive a header.

    At the limit, a new connection replaces a half-sent or idle one, the oldest first. `set_up` is
    called once after the construction, whose arguments are the library's.
    """

    open_connections = 0

    def set_up(
        self,
        limits: ConnectionLimits,
        *,
        on_refused: Callable[[int], None],
        on_closed: Callable[[object], None] | None = None,
    ) -> None:
        """Set the limits and callbacks.

        Parameters
        ----------
        limits : ConnectionLimits
            Limits.
        on_refused : callable
            Called with the number of open connections when a new one is refused.
        on_closed : callable or None
            Called with each closed connection, which the library does not report.
        """
        self._limits = limits
        self._on_refused = on_refused
        self._on_closed = on_closed
        self._idle: dict[object, _IdleConnection] = {}

    def on_limits(self, limits: ConnectionLimits) -> None:
        """Apply new limits."""
        self._limits = limits

    def sweep(self) -> None:
        """Close connections whose header takes too long; called about once a second."""
        moment = now()
        for idle in list(self._idle.values()):
            if not idle.has_begun_header:
                idle.header_begun_at = None
            elif idle.header_begun_at is None:
                idle.header_begun_at = moment
            elif moment - idle.header_begun_at > self._limits.header_timeout_s:
                idle.stream.close()

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection, or refuse it at the limit."""
        if self.open_connections >= self._limits.connections and not self._close_oldest_idle():
            self._on_refused(self.open_connections)
            stream.write(FULL_RESPONSE).add_done_callback(lambda done: _close_refused(stream, done))
            return
        self.open_connections += 1
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Track a connection that waits for a request."""
        stream: IOStream = server_conn.stream  # type: ignore[attr-defined]
        self._idle[server_conn] = _IdleConnection(stream=stream, since=now())
        delegate = super().start_request(server_conn, request_conn)
        return _HeaderObserver(delegate, lambda: self._idle.pop(server_conn, None))

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.open_connections -= 1
        self._idle.pop(server_conn, None)
        super().on_close(server_conn)
        if self._on_closed is not None:
            self._on_closed(server_conn)

    def _close_oldest_idle(self) -> bool:
        """Close the oldest connection without a request, half-sent ones first."""
        idle = [w for w in self._idle.values() if not w.stream.closed()]
        if not idle:
            return False
        min(idle, key=lambda conn: (not conn.has_begun_header, conn.since)).stream.close()
        return True


class _HeaderObserver(HTTPMessageDelegate):
    """Calls a function when the header of a request is complete."""

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


def _close_refused(stream: IOStream, fut: object) -> None:
    """Close a refused connection; a failed write means that the caller disconnected."""
    exception = getattr(fut, "exception", None)
    if exception is not None:
        exception()
    stream.close()
