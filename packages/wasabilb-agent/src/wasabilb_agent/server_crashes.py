"""Finds out whether the agent's backend server has crashed, after it broke off an answer."""

import asyncio
import math
from collections.abc import Callable
from urllib.parse import urlsplit

from attrs import define
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.http_client import ConnectError, ConnectionPool, ConnectRefusedError

# Longest time to wait for a connection to the server on this host, seconds.
CHECK_TIMEOUT_S = 0.5


@define(kw_only=True, eq=False)
class ServerCrashes:
    """Tells a crash of the engine or plain service from an answer that it broke off.

    Parameters
    ----------
    address : str
        `IP:PORT` of the server.
    pool : ConnectionPool
        Opens the connection that tells it.
    wall_ms : callable
        Returns the wall time in milliseconds.
    """

    address: str
    pool: ConnectionPool
    wall_ms: Callable[[], int] = wall_ms
    _crashed_ms: int = 0
    _found_at: float = -math.inf
    _check: "asyncio.Task[int] | None" = None

    @classmethod
    def from_url(cls, url: str) -> "ServerCrashes":
        """Return the state for the server at a base URL."""
        parts = urlsplit(url)
        address = f"{parts.hostname}:{parts.port or 80}"
        return cls(address=address, pool=ConnectionPool(max_idle=0))

    async def crash_ms_of(self, error: Error, sent_at: float) -> int:
        """Return the time of the crash that ended a call with an error; see `crash_ms`."""
        return await self.crash_ms(sent_at) if error.kind is ErrorKind.STREAM_BROKEN else 0

    async def crash_ms(self, sent_at: float) -> int:
        """Return the wall time at which the server was found crashed, 0 if it was not.

        It is the same for all calls that one crash broke off.

        Parameters
        ----------
        sent_at : float
            When the call was sent that was broken off. Later calls reached a server that was back,
            so that another crash broke them off.
        """
        if sent_at <= self._found_at:
            return self._crashed_ms
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._find_out())
        return await asyncio.shield(self._check)

    async def _find_out(self) -> int:
        try:
            await self.pool.check(self.address, timeout_s=CHECK_TIMEOUT_S)
        except ConnectRefusedError:
            self._crashed_ms, self._found_at = self.wall_ms(), now()
            return self._crashed_ms
        except ConnectError:
            # A host that is too busy to accept a connection tells nothing.
            return 0
        return 0
