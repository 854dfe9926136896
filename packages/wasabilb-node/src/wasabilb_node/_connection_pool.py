"""A pool of persistent HTTP connections, by address."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from wasabilb_node._http_connection import Connection, KeepAliveStream
from wasabilb_node.clock import now

# A round trip between the farthest hosts takes 12 ms; a lost SYN is retransmitted only after a
# second, and trying another runner is faster than that.
CONNECT_TIMEOUT_S = 0.5
# Identifiers that are remembered for one connection, which is closed after that many requests. A
# connection to each of 24 runners takes 0.5 MB with them.
MAX_REQUEST_IDS = 256
# A host that lost power acknowledges nothing, so unacknowledged data ends the connection after this
# time, which is well above the sum of two retransmissions.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class ConnectError(OSError):
    """The connection could not be established, so nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The host refused the connection, as no process listens there."""


class ConnectionPool:
    """Idle connections that are reused, by address.

    Parameters
    ----------
    max_idle : int
        Maximum number of idle connections per address.
    on_open : callable or None
        Called for each new connection.
    """

    def __init__(self, *, max_idle: int, on_open: Callable[[], None] | None = None) -> None:
        self._max_idle = max_idle
        self._idle: dict[str, deque[Connection]] = {}
        self._on_open = on_open

    async def acquire(
        self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S, request_id: str = ""
    ) -> Connection:
        """Return a usable connection, an idle one if possible.

        Parameters
        ----------
        request_id : str
            Request that is to be sent. A connection on which one with the same identifier was sent
            is not used, as a late copy of the answer to that one could not be told apart.

        Raises
        ------
        ConnectError
            When no connection could be established in time.
        """
        conn = self._pop_idle(address, request_id)
        if conn is None:
            conn = await self._open(address, timeout_s)
        if request_id:
            conn.request_ids.add(request_id)
        return conn

    async def check(self, address: str, *, timeout_s: float) -> None:
        """Open a connection to find out whether a process listens there, and close it.

        Raises
        ------
        ConnectError
            When no connection could be established in time.
        """
        (await self._open(address, timeout_s)).close()

    def release(self, conn: Connection) -> None:
        """Return a connection whose answer was read completely to the pool, or close it."""
        idle = self._idle.setdefault(conn.address, deque())
        if len(conn.request_ids) >= MAX_REQUEST_IDS:
            conn.close()
            return
        if not conn.is_reusable or conn.stream.closed() or len(idle) >= self._max_idle:
            conn.close()
            return
        conn.idle_since = now()
        idle.append(conn)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long; called periodically."""
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

    def _pop_idle(self, address: str, request_id: str) -> Connection | None:
        idle = self._idle.get(address, deque())
        moment = now()
        for conn in reversed([*idle]):
            if moment - conn.idle_since > conn.idle_limit_s or not conn.stream.is_idle:
                idle.remove(conn)
                conn.close()
            elif request_id not in conn.request_ids:
                idle.remove(conn)
                return conn
        return None

    async def _open(self, address: str, timeout_s: float) -> Connection:
        stream = KeepAliveStream(_new_socket())
        ip, _, port = address.rpartition(":")
        try:
            await asyncio.wait_for(stream.connect((ip, int(port))), timeout_s)
        except (OSError, StreamClosedError, TimeoutError, ValueError) as exc:
            is_refused = isinstance(stream.error, ConnectionRefusedError)
            stream.close()
            kind = ConnectRefusedError if is_refused else ConnectError
            raise kind(f"{address}: {type(exc).__name__}") from exc
        except asyncio.CancelledError:
            stream.close()
            raise
        if self._on_open is not None:
            self._on_open()
        return Connection(address=address, stream=stream)


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
