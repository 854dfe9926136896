"""Waits for free places at runners on behalf of held requests."""

import asyncio
from collections.abc import Callable
from functools import partial

from attrs import frozen
from wasabilb_core.overload import HeldRequests
from wasabilb_core.retry_after import NO_VERSION_RETRY_S
from wasabilb_core.routing import RunnerView
from wasabilb_node.clock import now

# Reports arrive every 0.1 s; between them the end of an own request frees a place.
LOOK_S = 0.05
# Requests that are looked at each time; those behind them fit hardly better.
MOST_LOOKED_AT = 8


@frozen(kw_only=True)
class _Waiter:
    """Who waits, and what tells whether it may go on."""

    fut: "asyncio.Future[bool]"
    has_room: Callable[[list[RunnerView]], bool]


class HeldPlaces:
    """The held requests of one service and who wakes them.

    Parameters
    ----------
    views : callable
        Returns the runners that can be used now; they are the same for all held requests, as none
        of those was sent anywhere yet.
    has_runner : callable
        Returns whether a runner may receive requests, now or soon.
    requested_pause_s : callable
        Returns the seconds until the first runner ends the time for which it wants no request,
        None while others may be tried.
    returns_in_s : callable
        Returns when the service is likely to serve again while it has no usable runner, seconds.
    """

    def __init__(
        self,
        *,
        views: Callable[[], list[RunnerView]],
        has_runner: Callable[[], bool],
        requested_pause_s: Callable[[], float | None],
        returns_in_s: Callable[[], float],
    ) -> None:
        self._views = views
        self._has_runner = has_runner
        self._named_s = requested_pause_s
        self._returns_in_s = returns_in_s
        self._requests = HeldRequests()
        self._waiters: dict[int, _Waiter] = {}
        self._next = 0
        self._is_looking = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def rate(self) -> float:
        """Return the held requests a second that are likely to find a place."""
        return self._requests.rate(now())

    def on_objective_missed(self) -> None:
        """Note a new request that could not be sent in time for its objective."""
        self._requests.on_objective_missed(now())

    async def wait(
        self,
        *,
        is_resubmitted: bool,
        deadline: float,
        has_room: Callable[[list[RunnerView]], bool],
        watch_gone: Callable[[Callable[[], None] | None], None],
    ) -> bool:
        """Wait for a free place; False when none came in time or the caller has left.

        Parameters
        ----------
        has_room : callable
            Returns whether the request may be sent to one of some runners now.
        watch_gone : callable
            Sets what is called when the caller leaves.
        """
        self._next += 1
        key = self._next
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[key] = _Waiter(fut=fut, has_room=has_room)
        self._requests.hold(key, is_resubmitted=is_resubmitted, now=now(), deadline=deadline)
        self._look_later()
        watch_gone(partial(_settle, fut))
        try:
            return await fut
        finally:
            watch_gone(None)
            self._requests.remove(key)
            self._waiters.pop(key, None)

    def look(self) -> None:
        """Send held requests while there is room, and give up those that waited too long."""
        try:
            self._look()
        finally:
            # Whatever fails here, the others must not wait for ever.
            self._look_later()

    def _look(self) -> None:
        for held in self._requests.expired(now()):
            self._wake(held.key, is_sent=False)
        if not self._has_runner():
            for key in list(self._waiters):
                self._wake(key, is_sent=False)
            return
        requested_pause_s = self._named_s()
        if requested_pause_s is not None:
            for held in self._requests.expiring_before(now() + requested_pause_s):
                self._wake(held.key, is_sent=False)
            return
        views = self._views()
        if not views and self._returns_in_s() >= NO_VERSION_RETRY_S:
            for held in self._requests.in_order():
                self._wake(held.key, is_sent=False)
        for held in self._requests.sendable(now())[:MOST_LOOKED_AT]:
            if self._waiters[held.key].has_room(views):
                # One request at a time, as its send changes what is known of the runners.
                self._requests.on_sent(now())
                self._wake(held.key, is_sent=True)
                break

    def _wake(self, key: int, *, is_sent: bool) -> None:
        self._requests.remove(key)
        waiter = self._waiters.pop(key, None)
        if waiter is not None:
            _settle(waiter.fut, is_sent)

    def _look_later(self) -> None:
        if self._requests and not self._is_looking:
            self._is_looking = True
            asyncio.get_running_loop().call_later(LOOK_S, self._look_now)

    def _look_now(self) -> None:
        self._is_looking = False
        self.look()


def _settle(fut: "asyncio.Future[bool]", is_sent: bool = False) -> None:
    """End a wait unless it has ended."""
    if not fut.done():
        fut.set_result(is_sent)
