"""Waits for free places at runners on behalf of held requests."""

import asyncio
from collections.abc import Callable
from functools import partial

from attrs import frozen
from wasabilb_core.overload import HeldRequests
from wasabilb_core.return_times import NO_VERSION_RETURN_S
from wasabilb_core.routing import RunnerView
from wasabilb_node.clock import now

# Reports arrive every 0.1 s; between them the end of an own request frees a place.
DISPATCH_INTERVAL_S = 0.05
# Requests that are looked at each time; those behind them fit hardly better.
MAX_CHECKED_REQUESTS = 8


@frozen(kw_only=True)
class _Waiter:
    """Who waits, and what tells whether it may go on."""

    fut: "asyncio.Future[bool]"
    has_room: Callable[[list[RunnerView]], bool]


class HeldRequestDispatcher:
    """The held requests of one service and who wakes them.

    Parameters
    ----------
    views : callable
        Returns the runners that can be used now; they are the same for all held requests, as none
        of those was sent anywhere yet.
    has_runner : callable
        Returns whether a runner may receive requests, now or soon.
    named_s : callable
        Returns the seconds until the first runner ends the time for which it wants no request,
        None while others may be tried.
    expected_return_s : callable
        Returns when the service is likely to serve again while it has no usable runner, seconds.
    """

    def __init__(
        self,
        *,
        views: Callable[[], list[RunnerView]],
        has_runner: Callable[[], bool],
        named_s: Callable[[], float | None],
        expected_return_s: Callable[[], float],
    ) -> None:
        self._views = views
        self._has_runner = has_runner
        self._requested_pause_s = named_s
        self._expected_return_s = expected_return_s
        self._requests = HeldRequests()
        self._waiters: dict[int, _Waiter] = {}
        self._last_key = 0
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def rate(self) -> float:
        """Return the held requests a second that are likely to find a place."""
        return self._requests.rate(now())

    def on_missed(self) -> None:
        """Note a new request that could not be sent in time for its objective."""
        self._requests.on_missed(now())

    async def wait(
        self,
        *,
        is_returned: bool,
        deadline: float,
        has_room: Callable[[list[RunnerView]], bool],
        set_gone_callback: Callable[[Callable[[], None] | None], None],
    ) -> bool:
        """Wait for a free place; False when none came in time or the caller has left.

        Parameters
        ----------
        has_room : callable
            Returns whether the request may be sent to one of some runners now.
        set_gone_callback : callable
            Sets what is called when the caller leaves.
        """
        self._last_key += 1
        key = self._last_key
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[key] = _Waiter(fut=fut, has_room=has_room)
        self._requests.hold(key, is_returned=is_returned, now=now(), deadline=deadline)
        self._schedule()
        set_gone_callback(partial(_settle, fut))
        try:
            return await fut
        finally:
            set_gone_callback(None)
            self._requests.remove(key)
            self._waiters.pop(key, None)

    def dispatch(self) -> None:
        """Send held requests while there is room, and give up those that waited too long."""
        try:
            self._dispatch()
        finally:
            # Whatever fails here, the others must not wait for ever.
            self._schedule()

    def _dispatch(self) -> None:
        for held in self._requests.expired(now()):
            self._wake(held.key, is_sent=False)
        if not self._has_runner():
            for key in list(self._waiters):
                self._wake(key, is_sent=False)
            return
        named_s = self._requested_pause_s()
        if named_s is not None:
            for held in self._requests.hopeless(now() + named_s):
                self._wake(held.key, is_sent=False)
            return
        views = self._views()
        if not views and self._expected_return_s() >= NO_VERSION_RETURN_S:
            for held in self._requests.in_order():
                self._wake(held.key, is_sent=False)
        for held in self._requests.sendable(now())[:MAX_CHECKED_REQUESTS]:
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

    def _schedule(self) -> None:
        if self._requests and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(DISPATCH_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._is_scheduled = False
        self.dispatch()


def _settle(fut: "asyncio.Future[bool]", is_sent: bool = False) -> None:
    """End a wait unless it has ended."""
    if not fut.done():
        fut.set_result(is_sent)
