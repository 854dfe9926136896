"""Connections of callers, which deliver whole requests and receive answers or streams."""

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from wasabilb_core.catalog import CallerLimits
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_entry.bounded_server import (
    BoundedServer,
    ConnectionLimits,
    has_begun_message,
    is_quiet,
)

LISTEN_BACKLOG = 1024
# Connections of callers on one entry host: three quarters of the smallest known limit on open
# files, 4,100; the rest is for runners and peers.
MAX_CONNECTIONS = 3_000


class ReceivedRequest:
    """One whole request of a caller, to be answered once.

    Parameters
    ----------
    line : RequestStartLine
        Method and target.
    headers : HTTPHeaders
        Headers as the caller sent them.
    body : bytes
        Whole body.
    conn : HTTP1Connection
        Connection that receives the answer.
    """

    def __init__(
        self, *, line: RequestStartLine, headers: HTTPHeaders, body: bytes, conn: HTTP1Connection
    ) -> None:
        self.method = line.method
        self.target = line.path
        self.path = line.path.partition("?")[0]
        self.host = headers.get("Host", "").rpartition(":")[0] or headers.get("Host", "")
        self.headers = headers
        self.body = body
        self.arrived_at = now()
        self.is_caller_gone = False
        self.status = 0
        self.first_byte_at: float | None = None
        self._conn = conn
        self._on_caller_gone: Callable[[], None] | None = None
        conn.set_close_callback(self._on_connection_closed)

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self.status != 0

    def set_gone_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function to call when the caller disconnects."""
        self._on_caller_gone = callback

    def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> "asyncio.Future[None]":
        """Send a whole answer; the future completes when the connection has taken it or ended."""
        headers["Content-Length"] = str(len(body))
        written = self.start(status, headers, body)
        self.finish()
        return written

    def start(self, status: int, headers: HTTPHeaders, data: bytes) -> "asyncio.Future[None]":
        """Send the head and the first part of an answer."""
        self.status = status
        self.first_byte_at = now()
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        return self._ignore_failure(self._conn.write_headers(line, headers, data))

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Send a further part; the future completes when the connection has taken it."""
        return self._ignore_failure(self._conn.write(data))

    def finish(self) -> None:
        """Complete the answer."""
        try:
            self._conn.finish()
        except StreamClosedError:
            self._on_connection_closed()

    def end_keep_alive(self) -> None:
        """Close the connection after the answer."""
        self._conn._disconnect_on_finish = True

    def abort(self) -> None:
        """Close the connection, so that an unfinished answer does not look complete."""
        self._conn.close()

    def _on_connection_closed(self) -> None:
        self.is_caller_gone = True
        callback, self._on_caller_gone = self._on_caller_gone, None
        if callback is not None:
            callback()

    @staticmethod
    def _ignore_failure(fut: "asyncio.Future[None]") -> "asyncio.Future[None]":
        """Retrieve the exception of a failed write; the close callback reports the disconnect."""
        fut.add_done_callback(lambda done: done.cancelled() or done.exception())
        return fut


class _RequestDelegate(HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        *,
        conn: HTTP1Connection,
        on_request: Callable[[ReceivedRequest], None],
        on_dropped: Callable[[], None],
    ) -> None:
        self._conn = conn
        self._on_request = on_request
        self._on_dropped = on_dropped
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._parts: list[bytes] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no request has begun and no input waits to be processed."""
        stream = self._conn.stream
        return self._line is None and is_quiet(stream) and not has_begun_message(stream)

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()

    def end_keep_alive(self) -> None:
        """Close the connection after the current answer, whose head may have been sent."""
        # The library decides this when a request arrives.
        self._conn._disconnect_on_finish = True

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._line, self._headers = start_line, headers

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        assert self._line is not None
        if self._conn.stream.closed():
            # Nobody can receive the answer.
            self._on_dropped()
            return
        self._on_request(
            ReceivedRequest(
                line=self._line,
                headers=self._headers,
                body=b"".join(self._parts),
                conn=self._conn,
            )
        )


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections.

    Parameters
    ----------
    on_request : callable
        Called with each whole request, which it must answer.
    log : EventLog
        Receives an event for each refused connection and each dropped request.
    connections : int
        Maximum number of open connections.
    on_dropped : callable or None
        Called for each whole request that is not passed on, as its connection has ended.
    """

    def __init__(
        self,
        *,
        on_request: Callable[[ReceivedRequest], None],
        log: EventLog,
        connections: int = MAX_CONNECTIONS,
        on_dropped: Callable[[], None] | None = None,
    ) -> None:
        self._on_request = on_request
        self._log = log
        self._count_dropped = on_dropped or (lambda: None)
        self._connections = connections
        self._open: dict[object, _RequestDelegate] = {}
        self._server = BoundedServer(self)
        self._server.set_up(
            self._connection_limits(CallerLimits()),
            on_refused=lambda count: log.event("connection_refused", connections=count),
            on_closed=self.on_close,
        )

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def listen(self, address: str) -> list[socket.socket]:
        """Accept connections on `IP:PORT` and return the sockets; port 0 takes a free one."""
        ip, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), ip, backlog=LISTEN_BACKLOG)
        self._server.add_sockets(sockets)
        return sockets

    def on_limits(self, limits: CallerLimits) -> None:
        """Apply limits; connections that are open wait for the longer of these and their own."""
        self._server.on_limits(self._connection_limits(limits))

    def _connection_limits(self, limits: CallerLimits) -> ConnectionLimits:
        return ConnectionLimits(
            connections=self._connections,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
        )

    def sweep(self) -> None:
        """Close connections that wait for too long; called about once a second."""
        self._server.sweep()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        delegate = _RequestDelegate(
            conn=request_conn,
            on_request=self._on_request,
            on_dropped=partial(self._on_dropped, request_conn),
        )
        self._open[server_conn] = delegate
        return delegate

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._open.pop(server_conn, None)

    def _on_dropped(self, conn: HTTP1Connection) -> None:
        error = conn.stream.error
        self._log.event("request_dropped", reason=type(error).__name__ if error else "closed")
        self._count_dropped()

    def end_keep_alive(self) -> None:
        """Make each answer from now on, including those in progress, the last on its connection."""
        self._server.conn_params.no_keep_alive = True
        for delegate in list(self._open.values()):
            delegate.end_keep_alive()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def close_all(self) -> None:
        """Close all connections, unfinished answers included."""
        for delegate in list(self._open.values()):
            delegate.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for delegate in list(self._open.values()):
            if delegate.is_idle:
                delegate.close()
