"""Sends held requests when slots at runners become free."""

import asyncio
from collections.abc import Callable
from functools import partial

from attrs import frozen
from wasabilb_core.overload import HeldRequests
from wasabilb_core.retry_after import NO_VERSION_RETRY_S
from wasabilb_core.routing import RunnerView
from wasabilb_node.clock import now

# Reports arrive every 0.1 s; between them the end of an own request frees a slot.
DISPATCH_INTERVAL_S = 0.05
# Requests checked each time; those behind them are hardly more likely to fit.
MAX_CHECKED_REQUESTS = 8


@frozen(kw_only=True)
class _Waiter:
    """A held request, and the check whether it may be sent."""

    fut: "asyncio.Future[bool]"
    has_room: Callable[[list[RunnerView]], bool]


class HeldRequestDispatcher:
    """Holds requests of one service until a slot is free.

    Parameters
    ----------
    views : callable
        Returns the runners that can be used now; they are the same for all held requests, as none
        of those has been sent yet.
    has_runner : callable
        Returns whether a runner may receive requests, now or soon.
    requested_pause_s : callable
        Returns the seconds until the first pause that a runner requested ends, None while other
        runners may be tried.
    expected_recovery_s : callable
        Returns the expected seconds until the service serves again if it has no usable runner.
    """

    def __init__(
        self,
        *,
        views: Callable[[], list[RunnerView]],
        has_runner: Callable[[], bool],
        requested_pause_s: Callable[[], float | None],
        expected_recovery_s: Callable[[], float],
    ) -> None:
        self._views = views
        self._has_runner = has_runner
        self._requested_pause_s = requested_pause_s
        self._expected_recovery_s = expected_recovery_s
        self._requests = HeldRequests()
        self._waiters: dict[int, _Waiter] = {}
        self._last_key = 0
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def rate(self) -> float:
        """Return the held requests per second that are likely to get a slot."""
        return self._requests.rate(now())

    def on_objective_missed(self) -> None:
        """Record a new request that could not be sent in time for its objective."""
        self._requests.on_objective_missed(now())

    async def wait(
        self,
        *,
        is_resubmitted: bool,
        deadline: float,
        has_room: Callable[[list[RunnerView]], bool],
        set_gone_callback: Callable[[Callable[[], None] | None], None],
    ) -> bool:
        """Wait for a free slot; False on timeout or when the caller disconnects.

        Parameters
        ----------
        has_room : callable
            Returns whether the request may be sent to one of the given runners now.
        set_gone_callback : callable
            Sets the function to call when the caller disconnects.
        """
        self._last_key += 1
        key = self._last_key
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[key] = _Waiter(fut=fut, has_room=has_room)
        self._requests.hold(key, is_resubmitted=is_resubmitted, now=now(), deadline=deadline)
        self._schedule()
        set_gone_callback(partial(_settle, fut))
        try:
            return await fut
        finally:
            set_gone_callback(None)
            self._requests.remove(key)
            self._waiters.pop(key, None)

    def refuse_all(self) -> None:
        """End all waits without a slot."""
        for key in list(self._waiters):
            self._wake(key, is_sent=False)

    def dispatch(self) -> None:
        """Send a held request if there is room, and end the wait of expired ones."""
        try:
            self._dispatch()
        finally:
            # An error here must not leave the other requests waiting forever.
            self._schedule()

    def _dispatch(self) -> None:
        for held in self._requests.expired(now()):
            self._wake(held.key, is_sent=False)
        if not self._has_runner():
            self.refuse_all()
            return
        requested_pause_s = self._requested_pause_s()
        if requested_pause_s is not None:
            for held in self._requests.expiring_before(now() + requested_pause_s):
                self._wake(held.key, is_sent=False)
            return
        views = self._views()
        if not views and self._expected_recovery_s() >= NO_VERSION_RETRY_S:
            for held in self._requests.in_order():
                self._wake(held.key, is_sent=False)
        for held in self._requests.sendable(now())[:MAX_CHECKED_REQUESTS]:
            if self._waiters[held.key].has_room(views):
                # One request at a time, as its send changes the known load of the runners.
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
