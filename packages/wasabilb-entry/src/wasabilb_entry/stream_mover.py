"""Moves streams off runners that load a version, so that they serve again soon.

A runner that is ordered to load finishes its requests and accepts no new ones until then. Its last
streams can take seconds, during which all its other slots are empty. They continue elsewhere after
their last event while other runners have room. This counters the load of a rollout, in which each
runner of the model is out of service once.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

# Time after the order in which most streams end by themselves, seconds. Moving a stream makes its
# caller wait while its prompt is processed again.
LOAD_GRACE_S = 0.8
# Interval between attempts to move streams that found no room before, seconds.
MOVE_RETRY_S = 0.25

# Moves one stream and returns whether it could be moved.
MoveStream: TypeAlias = Callable[[], bool]


class StreamMover:
    """Tracks the streams at each runner and moves them.

    Parameters
    ----------
    free_slots : callable
        Returns the slots that this process may use at other runners than the given one.
    """

    def __init__(self, *, free_slots: Callable[[str], int]) -> None:
        self._free_slots = free_slots
        self._streams: dict[str, list[MoveStream]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def add(self, runner_id: str, move: MoveStream) -> None:
        """Add a stream that may be moved."""
        self._streams.setdefault(runner_id, []).append(move)

    def remove(self, runner_id: str, move: MoveStream) -> None:
        """Remove a stream."""
        streams = self._streams.get(runner_id, [])
        if move in streams:
            streams.remove(move)
        if not streams:
            self._streams.pop(runner_id, None)

    def on_report(self, runner_id: str, *, is_busy: bool) -> None:
        """Start or stop moving streams as a runner begins or ends an order."""
        timer = self._timers.get(runner_id)
        if is_busy and timer is None:
            self._schedule(runner_id, LOAD_GRACE_S)
        elif not is_busy and timer is not None:
            timer.cancel()
            del self._timers[runner_id]

    def _schedule(self, runner_id: str, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timers[runner_id] = loop.call_later(delay_s, self._move_streams, runner_id)

    def _move_streams(self, runner_id: str) -> None:
        del self._timers[runner_id]
        streams = self._streams.get(runner_id)
        if not streams:
            # The next report starts the timer again; a removed runner sends none.
            return
        # Scheduled first, so that an error below does not stop later attempts.
        self._schedule(runner_id, MOVE_RETRY_S)
        free_slots = self._free_slots(runner_id)
        for move in list(streams):
            if free_slots <= 0:
                break
            free_slots -= move()
