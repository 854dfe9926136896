"""Roster of all entry processes, from announcements that processes pass on to each other.

Each entry process announces itself with a count that it raises at intervals. A process forwards
announcements that are newer than the known ones, so each crosses each link about once. An entry
that is not announced again for `EXPIRY_S` is removed, as hosts are replaced all the time and the
end of a process is not announced.
"""

from collections.abc import Iterable

from attrs import define, evolve, frozen

# Interval of a process's own announcements. At 330 entry processes with 7 links each it costs about
# 0.6 KB/s per process.
ANNOUNCE_INTERVAL_S = 120.0
# Three announcements may be lost, for example while regions are partitioned.
EXPIRY_S = 4 * ANNOUNCE_INTERVAL_S


@frozen(kw_only=True, slots=True)
class EntryPlace:
    """Address and newest announcement of an entry process.

    Parameters
    ----------
    address : str
        `IP:PORT` on which it accepts links.
    failure_domain : str
        Failure domain of the process.
    count : int
        Number of its newest announcement.
    """

    address: str
    failure_domain: str
    count: int = 0


@define(kw_only=True)
class _KnownEntry:
    """An entry process and the time at which its newest announcement was received."""

    place: EntryPlace
    received_at: float


class EntryRoster:
    """The known entry processes and the announcements to pass on.

    Parameters
    ----------
    own : EntryPlace or None
        This process; None when it is not an entry process.
    now : float
        Current time, seconds.
    """

    def __init__(self, *, own: EntryPlace | None, now: float) -> None:
        self._own = own
        self._known: dict[str, _KnownEntry] = {}
        self._updates: dict[str, EntryPlace] = {}
        self._announced_at = now
        # Raised whenever a process is added or removed, to invalidate what is derived from it.
        self.version = 0
        if own is not None:
            self._store(own, now)

    def __len__(self) -> int:
        return len(self._known)

    def places(self) -> list[EntryPlace]:
        """Return all known entry processes, including this one."""
        return [entry.place for entry in self._known.values()]

    def on_announcements(self, places: Iterable[EntryPlace], now: float) -> bool:
        """Store announcements from a peer and return whether a process is new."""
        known_count = len(self._known)
        for place in places:
            if self._own is not None and place.address == self._own.address:
                self._supersede_own(place, now)
                continue
            entry = self._known.get(place.address)
            if entry is None or place.count > entry.place.count:
                self._store(place, now)
        return len(self._known) > known_count

    def tick(self, now: float) -> None:
        """Announce this process when it is due, and remove processes that have expired."""
        if self._own is not None and now - self._announced_at >= ANNOUNCE_INTERVAL_S:
            self._announce(self._own.count + 1, now)
        for address, entry in list(self._known.items()):
            is_own = self._own is not None and address == self._own.address
            if not is_own and now - entry.received_at > EXPIRY_S:
                del self._known[address]
                self.version += 1

    def take_updates(self) -> list[EntryPlace]:
        """Return the announcements that are new since the last call, to be sent to peers."""
        updates = list(self._updates.values())
        self._updates.clear()
        return updates

    def _supersede_own(self, place: EntryPlace, now: float) -> None:
        """Supersede the announcements of an earlier incarnation that peers still know."""
        assert self._own is not None
        if place.count >= self._own.count and place != self._own:
            self._announce(place.count + 1, now)

    def _announce(self, count: int, now: float) -> None:
        assert self._own is not None
        self._own = evolve(self._own, count=count)
        self._announced_at = now
        self._store(self._own, now)

    def _store(self, place: EntryPlace, now: float) -> None:
        self.version += place.address not in self._known
        self._known[place.address] = _KnownEntry(place=place, received_at=now)
        self._updates[place.address] = place
