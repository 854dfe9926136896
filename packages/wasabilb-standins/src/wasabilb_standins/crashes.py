"""Crashes of a server stand-in under requests that crash whoever begins to run them."""

import asyncio
from typing import Any, Generic, TypeVar

from attrs import field, frozen
from attrs.validators import instance_of

from wasabilb_standins.base import Handler, Standin

# Time from the beginning of a run until the server crashes on it, seconds.
CRASH_DELAY_S = 0.02


@frozen(kw_only=True)
class CrashFaults:
    """Faults of a server that crashes on some requests.

    Parameters
    ----------
    crash_text : str
        Crash when a request with this text begins to run; empty for never. A text that a prompt
        shares with others is a part of prompts; one that is in a single request stands for it.
    crash_s : float
        Time until a crashed server accepts connections again, seconds.
    """

    crash_text: str = field(default="", validator=instance_of(str))
    crash_s: float = field(default=1.0, converter=float)


S = TypeVar("S")
F = TypeVar("F", bound=CrashFaults)


class CrashingStandin(Standin[S, F], Generic[S, F]):
    """Stand-in for a server that can crash, and is back after a while."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.crashes = 0
        self._crash_task: asyncio.Task[None] | None = None

    @property
    def is_down(self) -> bool:
        """Return whether the server has crashed and is not back."""
        return self._crash_task is not None and not self._crash_task.done()

    def crash(self) -> None:
        """Cut all connections and refuse new ones for a while, as after a restart."""
        if not self.is_down:
            self.crashes += 1
            self._crash_task = asyncio.ensure_future(self._end_and_return(self.faults.crash_s))

    async def _end_and_return(self, seconds: float) -> None:
        await self.stop()
        await asyncio.sleep(seconds)
        await self.start()


async def crash_if_due(handler: Handler, request: str) -> None:
    """Crash the stand-in of a handler shortly after it has begun a request that crashes it.

    Parameters
    ----------
    request : str
        What the request holds, in which the text of the fault is looked for.
    """
    standin: CrashingStandin[Any, Any] = handler.standin
    text = standin.faults.crash_text
    if text and text in request:
        await handler.wait_or_finish(asyncio.sleep(CRASH_DELAY_S))
        standin.crash()
        # The crash cuts this connection, too.
        await handler.wait_for_close()
