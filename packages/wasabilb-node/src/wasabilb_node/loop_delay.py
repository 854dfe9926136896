"""Delay of the event loop, and the reader that held it."""

import asyncio
from collections.abc import Callable

from wasabilb_wire.read_turns import current_share

from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

# Delays from this on are logged: callers may see 36 ms between two tokens, three times as long.
LOGGED_DELAY_S = 0.1


class LoopDelayMonitor:
    """Measures by how much the pauses of a periodic task are exceeded.

    Parameters
    ----------
    log : EventLog
        Receives an event for each delay of `LOGGED_DELAY_S` or more, one at most for each pause.
    on_delay : callable or None
        Called after each pause with its delay and the longest turn of a reader meanwhile, seconds.
    """

    def __init__(
        self, *, log: EventLog, on_delay: Callable[[float, float], None] | None = None
    ) -> None:
        self._log = log
        self._on_delay = on_delay or (lambda delay_s, turn_s: None)

    async def sleep(self, seconds: float) -> None:
        """Pause for a number of seconds and measure the delay."""
        due = now() + seconds
        await asyncio.sleep(seconds)
        delay_s = max(0.0, now() - due)
        turn_s, reader = current_share().take_longest()
        self._on_delay(delay_s, turn_s)
        if delay_s >= LOGGED_DELAY_S:
            self._log.event(
                "loop_delayed",
                delay_ms=delay_s * 1000,
                turn_ms=turn_s * 1000,
                reader=reader or None,
            )
