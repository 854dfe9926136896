"""Which entry processes read the platform for the others, with failover."""

from collections.abc import Sequence

from wasabilb_core.peering import HUBS_PER_DOMAIN

# The first hub of each failure domain reads. When no hub before it reads, a hub takes over after
# this time multiplied by their number. A call that fails is retried within this time.
STANDBY_DELAY_S = 1.0


class ReaderRole:
    """Decides whether this entry process reads the platform.

    Calls are costly, so only one process of each failure domain reads, and the next hubs take over
    while it does not. No other process does: when the platform is unavailable to all, its return
    would otherwise trigger a call of each process.
    """

    def __init__(self) -> None:
        self._readers_down_since: float | None = None

    def is_active(self, are_readers: Sequence[bool], now: float) -> bool:
        """Return whether this process reads at this time.

        Parameters
        ----------
        are_readers : sequence of bool
            For each linked process before this one in the own failure domain, whether it reads the
            platform.
        now : float
            Current time, seconds.
        """
        if not are_readers:
            return True
        if any(are_readers) or len(are_readers) >= HUBS_PER_DOMAIN:
            self._readers_down_since = None
            return False
        if self._readers_down_since is None:
            self._readers_down_since = now
        return now - self._readers_down_since >= STANDBY_DELAY_S * len(are_readers)
