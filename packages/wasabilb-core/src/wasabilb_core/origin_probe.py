"""Whether the origin of weights answers, and which host asks next while it does not.

Answers the load of hosts that all wait for an origin that is away. Each of them asking for itself
is many questions and yet a pause of its own for each. Here one host asks in each slot of wall time,
in an order that all compute from the sorted list of hosts, and the first that gets an answer tells
the others.
"""

from collections.abc import Iterable

from wasabilb_core.rendezvous import rank

# One question in the whole fleet in each slot. The first chunk is to leave within 0.1 s of the
# origin's return, and a probe and the question for the chunk take up to 0.05 s; seconds.
PROBE_SLOT_S = 0.05
# A second failure counts when its question was put so long after the first one failed, seconds:
# what was under way together fails together, also at an origin that only lost these connections.
MIN_CONFIRM_S = 0.2


class OriginProbe:
    """What one host believes of the origin.

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
        """Take note of an answer, here or at another host; return whether the origin was away."""
        was_away, self.is_away = self.is_away, False
        self._failed_at = None
        return was_away

    def on_failure(self, *, sent_at: float, now: float) -> bool:
        """Take note of a question that failed; return whether the origin is away from now on."""
        if self._failed_at is None:
            self._failed_at = now
        elif not self.is_away and sent_at >= self._failed_at + MIN_CONFIRM_S:
            self.is_away = True
            return True
        return False

    def next_slot_in_s(self, hosts: Iterable[str], *, wall_s: float) -> float:
        """Return the seconds until this host's next slot begins.

        The order is pseudo-random, so that the slots of a lost failure domain are not in a row.
        A host whose wall clock is wrong asks in another one's slot, which leaves one slot empty.

        Parameters
        ----------
        hosts : iterable of str
            Hosts that may ask, this one included.
        wall_s : float
            Wall time, seconds since the epoch.
        """
        order = rank("origin", set(hosts) | {self._host})
        period_s = PROBE_SLOT_S * len(order)
        left_s = (PROBE_SLOT_S * order.index(self._host) - wall_s) % period_s
        return left_s or period_s
