"""The near-first policy: peers of the region before anything else, the origin for the rest."""

from collections.abc import Iterable

from wasabilb_core import _bitmaps
from wasabilb_core._chunk_view import ORIGIN, ChunkRequest, Source, TransferView
from wasabilb_core.rendezvous import rank

# Hosts of other regions that a host is linked with, for the time when the origin fails.
FAR_LINKS = 2


class NearFirst:
    """Each region reads the origin once; its hosts share what each of them has read.

    Answers transfers that take a few seconds between hosts whose own links are the bound: a chunk
    crosses a link into a region once, from the origin, and the hosts of the region exchange it.
    Regions begin at different chunks, so that the whole version is outside the origin after the
    time of one copy; should the origin fail then, regions take the rest from each other.
    """

    def __init__(self) -> None:
        self._order: list[int] = []
        self._owned: dict[tuple[str, ...], int] = {}

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the near hosts of the overlay and a few far ones."""
        own = view.host.region
        near = [n for n in view.overlay.neighbours(view.host.name) if self._is_near(view, n)]
        far = [name for name, host in view.overlay.hosts.items() if host.region != own]
        chosen = rank(f"{view.overlay.key}:{view.host.name}", far)[:FAR_LINKS]
        return tuple(sorted({*near, *chosen}))

    def choose(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the rarest chunk that the region offers, else one to bring into it."""
        missing = view.missing
        if not missing:
            return None
        if view.near_in_flight < view.limits.peer_requests:
            request = _rarest(view, missing, now, is_near=True)
            if request is not None:
                return request
        if view.duty_in_flight >= view.limits.duty_requests:
            return None
        near = [peer for peer in view.peers.values() if peer.is_near and not peer.faults]
        wanted = missing & ~view.origin.asked & ~_union(near)
        if not wanted:
            return None
        if now >= view.origin.avoid_until:
            index = self._next(view, wanted)
            return ChunkRequest(index=index, source=ORIGIN) if index is not None else None
        return _rarest(view, wanted, now, is_near=False)

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether an upload slot is free; other regions have slots of their own."""
        host = view.overlay.hosts.get(peer)
        if host is None:
            return False
        is_near = host.region == view.host.region
        used = sum(
            count for name, count in view.uploads.items() if self._is_near(view, name) == is_near
        )
        return used < (view.limits.uploads if is_near else view.limits.uploads_across)

    def _next(self, view: TransferView, wanted: int) -> int | None:
        """Return the next chunk to read: an own one first, then one that another is slow with."""
        order = self._chunk_order(view)
        own = self._own_chunks(view)
        if wanted & own:
            return next(index for index in order if wanted & own & 1 << index)
        # What is left last is likely in flight to its owners.
        near = sum(peer.is_near and peer.is_linked for peer in view.peers.values())
        if wanted.bit_count() <= view.limits.duty_requests * near:
            return None
        return next(index for index in reversed(order) if wanted & 1 << index)

    def _own_chunks(self, view: TransferView) -> int:
        """Return the chunks that this host reads, among the near hosts that are linked."""
        names = sorted(p.name for p in view.peers.values() if p.is_near and p.is_linked)
        key = (view.host.name, *names)
        found = self._owned.get(key)
        if found is None:
            found = sum(
                1 << index
                for index in range(view.count)
                if rank(f"{view.overlay.key}:{index}", key)[0] == view.host.name
            )
            self._owned[key] = found
        return found

    def _chunk_order(self, view: TransferView) -> list[int]:
        if not self._order:
            names = rank(f"{view.overlay.key}:order", map(str, range(view.count)))
            regions = sorted(view.overlay.standing)
            start = view.count * regions.index(view.host.region) // len(regions)
            order = [int(name) for name in names]
            self._order = order[start:] + order[:start]
        return self._order

    @staticmethod
    def _is_near(view: TransferView, name: str) -> bool:
        host = view.overlay.hosts.get(name)
        return host is not None and host.region == view.host.region


def _rarest(view: TransferView, wanted: int, now: float, *, is_near: bool) -> ChunkRequest | None:
    """Return the rarest wanted chunk that a free peer offers."""
    free: list[Source] = []
    offers: list[int] = []
    for peer in view.peers.values():
        offer = peer.have & wanted & ~peer.asked
        is_free = now >= peer.avoid_until and peer.in_flight < view.limits.requests_per_peer
        if offer and is_free and peer.is_linked and peer.is_near == is_near:
            free.append(peer)
            offers.append(offer)
    if not free:
        return None
    index = _bitmaps.pick(_bitmaps.rarest(offers, wanted), view.rng)
    sources = [p for p, offer in zip(free, offers, strict=True) if offer >> index & 1]
    best = min(sources, key=lambda peer: (peer.in_flight, view.rng.random()))
    return ChunkRequest(index=index, source=best.name)


def _union(peers: Iterable[Source]) -> int:
    found = 0
    for peer in peers:
        if peer.is_linked:
            found |= peer.have
    return found
