"""Pauses of readers whose input is always ready.

Awaiting a read that is already complete does not suspend a task, so a loop of such reads keeps
every timer, deadline and other connection of the process waiting.
"""

import asyncio
from collections.abc import Awaitable
from weakref import WeakKeyDictionary

from wasabilb_core.loop_share import MAX_TURN_S, LoopShare


class _LoopState:
    """Share and number of the current iteration of one event loop, which it does not refer to."""

    def __init__(self) -> None:
        self._is_marked = False
        self._number = 0
        self.share = LoopShare()

    def iteration(self, loop: asyncio.AbstractEventLoop) -> int:
        """Return a number that differs between iterations."""
        if not self._is_marked:
            self._is_marked = True
            self._number += 1
            # Runs in the next iteration, before whatever the current one makes ready from now on.
            loop.call_soon(self._end_iteration)
        return self._number

    def _end_iteration(self) -> None:
        self._is_marked = False


_STATES: "WeakKeyDictionary[asyncio.AbstractEventLoop, _LoopState]" = WeakKeyDictionary()


def _state_of(loop: asyncio.AbstractEventLoop) -> _LoopState:
    state = _STATES.get(loop)
    if state is None:
        state = _STATES[loop] = _LoopState()
    return state


def current_share() -> LoopShare:
    """Return the share that the busy readers of the running event loop have."""
    return _state_of(asyncio.get_running_loop()).share


class ReadTurn:
    """Limits how long one reader holds the event loop.

    A reader calls `begin` before it processes a part of its input and awaits what `pause` returns
    after it.

    Parameters
    ----------
    reader : str
        Name of the reader for the log.
    is_trusted : bool
        Whether the reader lets others run after a turn but does not pause: what other processes of
        the system send is work to do, even when it fills the loop.
    """

    def __init__(self, *, reader: str = "", is_trusted: bool = False) -> None:
        self._reader, self._is_trusted = reader, is_trusted
        self._loop = asyncio.get_running_loop()
        self._state = _state_of(self._loop)
        self._iteration = 0
        self._began_at = 0.0
        # Parts of the input that were processed in this iteration.
        self._parts = 0

    def begin(self) -> None:
        """Note the begin of a turn, unless this iteration of the loop has one of this reader."""
        iteration = self._state.iteration(self._loop)
        if iteration != self._iteration:
            self._iteration, self._began_at, self._parts = iteration, self._loop.time(), 0
        self._parts += 1

    def pause(self) -> Awaitable[None] | None:
        """Return the pause that is due, None if the reader has suspended or may continue."""
        if self._state.iteration(self._loop) != self._iteration:
            return None
        moment = self._loop.time()
        used_s = moment - self._began_at
        share = self._state.share
        share.on_turn(used_s, self._reader)
        if self._is_trusted:
            return asyncio.sleep(0) if used_s >= MAX_TURN_S else None
        if self._parts < 2:
            # The next read may suspend; one part of a sound input may take long on a busy host.
            return None
        pause_s = share.pause_s(used_s, now=moment)
        return asyncio.sleep(pause_s) if pause_s > 0 else None

    async def rest(self) -> None:
        """Pause if a pause is due."""
        pause = self.pause()
        if pause is not None:
            await pause
