"""A loop that continues after an unexpected error in one iteration."""

import asyncio
from collections.abc import Awaitable, Callable

from wasabilb_node.logs import EventLog

# Pause after a failed iteration, so that a persistent error does not occupy the CPU.
ERROR_PAUSE_S = 0.2


async def run_loop(iteration: Callable[[], Awaitable[None]], *, where: str, log: EventLog) -> None:
    """Run a coroutine function repeatedly until cancelled.

    An exception ends only its iteration and is logged: a process whose heartbeats or platform
    updates stop looks alive and serves from stale state.

    Parameters
    ----------
    iteration : callable
        One iteration of the loop, including its pause.
    where : str
        Name of the loop in the log.
    log : EventLog
        Receives an event for each error.
    """
    while True:
        try:
            await iteration()
        except Exception as exc:
            log.event("internal_error", where=where, detail=repr(exc))
            await asyncio.sleep(ERROR_PAUSE_S)
