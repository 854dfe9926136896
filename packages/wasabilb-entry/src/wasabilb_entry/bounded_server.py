"""An HTTP server that keeps idle and half-sent connections from blocking new callers."""

from collections.abc import Awaitable, Callable

from attrs import define, frozen
from tornado.http1connection import HTTP1Connection
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
from wasabilb_node.http_client import has_pending_input

# Sent to a caller for which no connection can be closed; there is no request to answer yet.
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# Idle times that a whole body may take, so that a caller that sends a byte now and then does not
# occupy its connection for good.
MAX_BODY_IDLE_TIMES = 4


@frozen(kw_only=True)
class ConnectionLimits:
    """Limits on a server's connections.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    header_timeout_s : float
        Longest time from the first byte of a header to its end, seconds.
    idle_timeout_s : float
        Longest time without a request, and without a byte of a body that has begun, seconds.
    header_bytes, body_bytes : int
        Largest header and body.
    """

    connections: int
    header_timeout_s: float
    idle_timeout_s: float
    header_bytes: int
    body_bytes: int

    def extended(self, other: "ConnectionLimits") -> "ConnectionLimits":
        """Return the longer and larger of both limits for a connection that is open."""
        return ConnectionLimits(
            connections=other.connections,
            header_timeout_s=max(self.header_timeout_s, other.header_timeout_s),
            idle_timeout_s=max(self.idle_timeout_s, other.idle_timeout_s),
            header_bytes=max(self.header_bytes, other.header_bytes),
            body_bytes=max(self.body_bytes, other.body_bytes),
        )


def has_begun_message(stream: IOStream) -> bool:
    """Return whether part of a message has arrived, which the library does not expose."""
    return bool(stream._read_buffer_size)


def is_quiet(stream: IOStream) -> bool:
    """Return whether all that has arrived was processed, so that a close loses no request.

    Something that has just arrived waits at the socket, or with the library after it has been read.
    """
    return stream.reading() and not has_pending_input(stream)


@define(kw_only=True, eq=False)
class _WaitingConnection:
    """A connection that waits for a request, or for the rest of one.

    Its limits are those in force when the wait began, extended by later ones: a caller that has
    heard of longer limits uses them at once, and one that has not heard of shorter ones keeps to
    the earlier ones.
    """

    stream: IOStream
    limits: ConnectionLimits
    since: float
    header_begun_at: float | None = None
    # Times of the end of the header and of the newest part of the body.
    body_begun_at: float | None = None
    progress_at: float = 0.0

    def is_overdue(self, moment: float) -> bool:
        """Return whether a limit has passed; called about once a second."""
        limits = self.limits
        if self.body_begun_at is not None:
            body_s = MAX_BODY_IDLE_TIMES * limits.idle_timeout_s
            is_late = moment - self.body_begun_at > body_s
            return is_late or moment - self.progress_at > limits.idle_timeout_s
        if not has_begun_message(self.stream):
            self.header_begun_at = None
            return moment - self.since > limits.idle_timeout_s
        if self.header_begun_at is None:
            self.header_begun_at = moment
        return moment - self.header_begun_at > limits.header_timeout_s


class BoundedServer(HTTPServer):
    """HTTP server with limits on its connections and on the time to receive a request.

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
        self._on_refused = on_refused
        self._on_closed = on_closed
        self._waiting: dict[object, _WaitingConnection] = {}
        # The library's timers do not follow new limits, and one that fires as a request arrives
        # closes the connection after the request was read.
        self.conn_params.header_timeout = None
        self.conn_params.body_timeout = None
        self.on_limits(limits)

    def on_limits(self, limits: ConnectionLimits) -> None:
        """Apply new limits; open connections wait for the longer of these and their own."""
        self._limits = limits
        self.conn_params.max_header_size = limits.header_bytes
        self.conn_params.max_body_size = limits.body_bytes
        for conn in self._waiting.values():
            conn.limits = conn.limits.extended(limits)
            if conn.body_begun_at is None and conn.stream.reading():
                # The library passes the limit on when it begins to wait for a header.
                conn.stream._read_max_bytes = conn.limits.header_bytes

    def sweep(self) -> None:
        """Close connections that wait for too long; called about once a second."""
        moment = now()
        for conn in list(self._waiting.values()):
            if conn.is_overdue(moment) and is_quiet(conn.stream):
                conn.stream.close()

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
        assert isinstance(request_conn, HTTP1Connection)
        conn = _WaitingConnection(stream=request_conn.stream, limits=self._limits, since=now())
        self._waiting[server_conn] = conn
        delegate = super().start_request(server_conn, request_conn)
        return _WaitObserver(
            delegate=delegate,
            conn=conn,
            http=request_conn,
            on_end=lambda: self._waiting.pop(server_conn, None),
        )

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.open_connections -= 1
        self._waiting.pop(server_conn, None)
        super().on_close(server_conn)
        if self._on_closed is not None:
            self._on_closed(server_conn)

    def _close_oldest_idle(self) -> bool:
        """Close the oldest connection without a request, half-sent ones first."""
        idle = [
            conn
            for conn in self._waiting.values()
            if conn.body_begun_at is None and not conn.stream.closed() and is_quiet(conn.stream)
        ]
        if not idle:
            return False
        oldest = min(idle, key=lambda conn: (not has_begun_message(conn.stream), conn.since))
        oldest.stream.close()
        return True


class _WaitObserver(HTTPMessageDelegate):
    """Records how far a request has arrived."""

    def __init__(
        self,
        *,
        delegate: HTTPMessageDelegate,
        conn: _WaitingConnection,
        http: HTTP1Connection,
        on_end: Callable[[], object],
    ) -> None:
        self._delegate = delegate
        self._conn = conn
        self._http = http
        self._on_end = on_end

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._conn.body_begun_at = self._conn.progress_at = now()
        self._http.set_max_body_size(self._conn.limits.body_bytes)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._conn.progress_at = now()
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._on_end()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._on_end()
        self._delegate.on_connection_close()


def _close_refused(stream: IOStream, fut: object) -> None:
    """Close a refused connection; a failed write means that the caller disconnected."""
    exception = getattr(fut, "exception", None)
    if exception is not None:
        exception()
    stream.close()
