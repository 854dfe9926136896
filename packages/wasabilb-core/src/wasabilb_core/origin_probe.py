"""Whether the origin of weights is available, and which host probes it while it is not.

If each waiting host probed an unavailable origin by itself, the origin would get many probes and
each host would still detect its return late. Instead one host probes in each slot of wall time, in
an order that all compute from the same list of hosts, and the first that gets an answer informs
the others.
"""

from collections.abc import Iterable

from wasabilb_core.rendezvous import rank

# Interval between two probes of the whole fleet. The first chunk has to leave within 0.1 s of the
# origin's return, and a probe and the request for the chunk take up to 0.05 s.
PROBE_SLOT_S = 0.05
# Minimum time between the first failure and the start of a request whose failure confirms it.
# Requests in flight together fail together, also at an origin that only lost these connections.
MIN_CONFIRM_S = 0.2


class OriginProbe:
    """Availability of the origin as observed by one host.

    Parameters
    ----------
    host : str
        This host.
    """

    def __init__(self, *, host: str) -> None:
        self._host = host
        self._failed_at: float | None = None
        self.is_away = False

    def on_answer(self) -> bool:
        """Record an answer to this or another host; return whether the origin was unavailable."""
        was_away, self.is_away = self.is_away, False
        self._failed_at = None
        return was_away

    def on_failure(self, *, sent_at: float, now: float) -> bool:
        """Record a failed request; return whether the origin now counts as unavailable."""
        if self._failed_at is None:
            self._failed_at = now
        elif not self.is_away and sent_at >= self._failed_at + MIN_CONFIRM_S:
            self.is_away = True
            return True
        return False

    def next_slot_in_s(self, hosts: Iterable[str], *, wall_s: float) -> float:
        """Return the seconds until this host's next slot begins.

        The order is pseudo-random, so that the slots of a lost failure domain are not adjacent.
        A host with a wrong wall clock probes in the slot of another one and leaves its own empty.

        Parameters
        ----------
        hosts : iterable of str
            Hosts that may probe, including this one.
        wall_s : float
            Wall time, seconds since the epoch.
        """
        order = rank("origin", set(hosts) | {self._host})
        period_s = PROBE_SLOT_S * len(order)
        wait_s = (PROBE_SLOT_S * order.index(self._host) - wall_s) % period_s
        return wait_s or period_s
