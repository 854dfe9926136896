"""Runs a process until a signal stops it."""

import asyncio
import signal
from collections.abc import Awaitable, Callable


def run_until_signal(
    *,
    start: Callable[[], Awaitable[None]],
    drain: Callable[[], Awaitable[None]],
    reload: Callable[[], None] | None = None,
) -> None:
    """Run a process on one event loop; SIGTERM or SIGINT starts the drain.

    A second signal ends the drain immediately.

    Parameters
    ----------
    start, drain : callable
        Asynchronous start and graceful shutdown.
    reload : callable or None
        Called on SIGHUP, which otherwise terminates the process.
    """
    asyncio.run(_run(start, drain, reload))


async def _run(
    start: Callable[[], Awaitable[None]],
    drain: Callable[[], Awaitable[None]],
    reload: Callable[[], None] | None,
) -> None:
    loop = asyncio.get_running_loop()
    first_signal, second_signal = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await start()
    await first_signal.wait()
    draining = asyncio.ensure_future(drain())
    forced = asyncio.ensure_future(second_signal.wait())
    await asyncio.wait({draining, forced}, return_when=asyncio.FIRST_COMPLETED)
    for task in (draining, forced):
        task.cancel()
    await asyncio.gather(draining, forced, return_exceptions=True)
