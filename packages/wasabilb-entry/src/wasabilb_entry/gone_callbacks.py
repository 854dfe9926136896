"""What happens when the caller of a request disconnects."""

from collections.abc import Callable

from wasabilb_entry.caller_connection import ReceivedRequest


class GoneCallbacks:
    """Functions that are called when the caller disconnects, one for each attempt under way.

    Parameters
    ----------
    req : ReceivedRequest
        Request of the caller.
    """

    def __init__(self, req: ReceivedRequest) -> None:
        self._req = req
        self._callbacks: list[Callable[[], None]] = []

    def add(self, callback: Callable[[], None]) -> None:
        """Add a function."""
        self._callbacks.append(callback)
        self._req.set_gone_callback(self._call_all)

    def discard(self, callback: Callable[[], None]) -> None:
        """Remove a function if it is there."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)
        if not self._callbacks:
            self._req.set_gone_callback(None)

    def _call_all(self) -> None:
        for callback in list(self._callbacks):
            callback()
