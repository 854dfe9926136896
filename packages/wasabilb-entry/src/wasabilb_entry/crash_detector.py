"""Finds out whether a runner has crashed, after a connection to it broke."""

import asyncio
from collections.abc import Callable

from attrs import define, field, frozen
from wasabilb_core.runner_directory import Runner
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectError, ConnectionPool, ConnectRefusedError

# Longest time to wait for a connection, seconds: several round trips between regions. The request
# whose connection broke waits for it.
CONNECT_CHECK_S = 0.1
# Time for which a broken connection is kept in doubt, seconds: agents report a runner that does not
# answer, or another incarnation, within some intervals of 0.2 s.
DOUBT_S = 2.0
# Requests that are kept in doubt; a batch of the known runners has 16.
MAX_IN_DOUBT = 64


@frozen(kw_only=True)
class _Doubt:
    at: float
    runner: Runner
    on_crash: Callable[[], None]


@define(kw_only=True, eq=False)
class CrashDetector:
    """Tells a crash of a runner from a connection that broke for another reason.

    The host of a process that has ended refuses connections. A cut or silent link does not, and a
    runner that only closed a connection accepts another. If the connection attempt is not refused,
    a report of the runner's agent may still tell that this incarnation has ended.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to runners.
    may_receive : callable
        Returns whether a runner is in service, and neither leaving nor gone.
    """

    pool: ConnectionPool
    may_receive: Callable[[Runner], bool]
    _checks: dict[Runner, "asyncio.Task[bool]"] = field(factory=dict)
    _doubts: list[_Doubt] = field(factory=list)

    async def has_crashed(self, runner: Runner, on_crash: Callable[[], None]) -> bool:
        """Return whether a runner has crashed.

        Parameters
        ----------
        on_crash : callable
            Called later if the runner turns out to have crashed.
        """
        if not self.may_receive(runner):
            return False
        check = self._checks.get(runner)
        if check is None:
            check = self._checks[runner] = asyncio.ensure_future(self._is_refused(runner))
            check.add_done_callback(lambda _: self._checks.pop(runner, None))
        if await asyncio.shield(check):
            return True
        moment = now()
        self._doubts = [d for d in self._doubts if moment - d.at <= DOUBT_S][1 - MAX_IN_DOUBT :]
        self._doubts.append(_Doubt(at=moment, runner=runner, on_crash=on_crash))
        return False

    def on_runner_ended(self, runner: Runner) -> None:
        """Process a report that a runner has ended."""
        moment = now()
        ended = [d for d in self._doubts if d.runner.incarnation == runner.incarnation]
        self._doubts = [d for d in self._doubts if d.runner.incarnation != runner.incarnation]
        for doubt in ended:
            if moment - doubt.at <= DOUBT_S:
                doubt.on_crash()

    async def _is_refused(self, runner: Runner) -> bool:
        try:
            await self.pool.check(runner.address, timeout_s=CONNECT_CHECK_S)
        except ConnectRefusedError:
            return True
        except ConnectError:
            return False
        return False
