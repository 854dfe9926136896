"""Loops that outlive an unexpected error in one of their rounds."""

import asyncio
from collections.abc import Awaitable, Callable

from wasabilb_node.logs import EventLog

# Pause after a round that failed, seconds, so that an error that stays does not take the processor.
ERROR_PAUSE_S = 0.2


async def run_loop(iteration: Callable[[], Awaitable[None]], *, where: str, log: EventLog) -> None:
    """Run a coroutine function again and again until cancelled.

    An exception ends its round only and is logged: a process without heartbeats or without news of
    the platform looks alive and serves from what it knew.

    Parameters
    ----------
    iteration : callable
        One round of the loop, with its own pause.
    where : str
        Name of the loop in the log.
    log : EventLog
        Told of each error.
    """
    while True:
        try:
            await iteration()
        except Exception as exc:
            log.event("internal_error", where=where, detail=repr(exc))
            await asyncio.sleep(ERROR_PAUSE_S)
