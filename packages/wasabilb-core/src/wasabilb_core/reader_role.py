"""Which entry processes read the platform for the others, and who stands in for them."""

from collections.abc import Sequence

from wasabilb_core.peering import HUBS_PER_DOMAIN

# The first hub of each failure domain reads; each one behind it waits this long for those before it
# to read again before it stands in, seconds. A call that fails is tried again within this time.
STANDBY_DELAY_S = 1.0


class ReaderRole:
    """Decides whether this entry process reads the platform now.

    Each call has its price, so that one process of each failure domain reads. The next hubs stand
    in while it does not. No others do: when the platform is away for all, its return would
    otherwise meet a call of each process.
    """

    def __init__(self) -> None:
        self._readers_down_since: float | None = None

    def is_active(self, ahead: Sequence[bool], now: float) -> bool:
        """Return whether to read.

        Parameters
        ----------
        ahead : sequence of bool
            For each linked process of the own failure domain that goes before this one, whether it
            reads the platform.
        now : float
            Current time, seconds.
        """
        if not ahead:
            return True
        if any(ahead) or len(ahead) >= HUBS_PER_DOMAIN:
            self._readers_down_since = None
            return False
        if self._readers_down_since is None:
            self._readers_down_since = now
        return now - self._readers_down_since >= STANDBY_DELAY_S * len(ahead)
