"""The swarm policy: assigned fetchers import chunks into a region, peers exchange them."""

from collections.abc import Iterable

from wasabilb_core import _bitmaps
from wasabilb_core._fetcher_role import FetcherRole
from wasabilb_core._transfer_view import ORIGIN, ChunkRequest, ChunkSource, TransferView
from wasabilb_core.rendezvous import rank

# A source is slow when its mean latency exceeds this multiple of the mean of all sources.
SLOW_FACTOR = 3.0
# Share of the chunks by which a peer must differ from the mean to count as ahead or behind.
PROGRESS_MARGIN_SHARE = 0.005


class Swarm:
    """Rarest first among peers of a region; assigned fetchers use the store and region links.

    Local rarest first with a random choice among equals keeps chunks evenly spread (Cohen,
    "Incentives build robustness in BitTorrent", 2003; Bharambe et al., "Analyzing and improving a
    BitTorrent network's performance mechanisms", INFOCOM 2006).
    """

    def __init__(self) -> None:
        self._role: FetcherRole | None = None

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the overlay's links, plus hosts of the store's region for a substitute fetcher."""
        linked = view.overlay.neighbours(view.host.name)
        role = self._role_of(view)
        if role.is_in_store_region or role.is_fetcher or not role.is_substitute(view, now):
            return linked
        names = view.overlay.fetch_order[view.overlay.store_region]
        extra = rank(f"{view.overlay.key}:{view.host.name}", names)[:2]
        return tuple(sorted({*linked, *extra}))

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return an assigned chunk, otherwise the rarest one that the region offers."""
        missing = view.missing
        if not missing:
            return None
        if view.external_in_flight < view.limits.external_requests:
            request = self._assigned_request(view, missing, now)
            if request is not None:
                return request
        if view.near_in_flight < view.limits.peer_requests:
            return self._near_request(view, missing, now)
        return None

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether an upload slot is free; other regions have their own slots.

        Peers of the region with fewer chunks than the others may use one more slot and those with
        more chunks one less, so that all complete at about the same time.
        """
        hosts, region = view.overlay.hosts, view.host.region
        host = hosts.get(peer)
        if host is None:
            return False
        is_near = host.region == region
        if view.uploads.get(peer, 0) >= _max_in_flight(view, is_near=is_near):
            return False
        used = sum(
            count
            for name, count in view.uploads.items()
            if (hosts[name].region == region) == is_near
        )
        if not is_near:
            return used < view.limits.cross_region_uploads
        return used < view.limits.uploads + _extra_slots(view, peer)

    def _assigned_request(
        self, view: TransferView, missing: int, now: float
    ) -> ChunkRequest | None:
        """Return a request for a chunk that this host imports into its region."""
        role = self._role_of(view)
        if not role.is_active(view, now):
            return None
        # A chunk that only slow or corrupting peers of the region have counts as absent.
        near = [
            peer
            for peer in view.peers.values()
            if peer.is_near and not peer.faults and not _is_slow(view, peer)
        ]
        importable = missing & ~view.origin.in_flight_chunks & ~_union(near)
        if not importable or role.is_window_full(view, near, now):
            return None
        if role.is_in_store_region:
            index = role.next_chunk(view, importable, now)
            is_allowed = index is not None and now >= view.origin.avoid_until
            return (
                ChunkRequest(index=index, source=ORIGIN)
                if is_allowed and index is not None
                else None
            )
        return self._remote_request(view, role, importable, now)

    def _remote_request(
        self, view: TransferView, role: FetcherRole, importable: int, now: float
    ) -> ChunkRequest | None:
        """Return a request to the region that a chunk comes from, or to any region when late."""
        is_late = now - view.progress_at > view.takeover_s
        offers: dict[str, int] = {}
        for peer in view.peers.values():
            if peer.is_near or not _is_free(view, peer, now):
                continue
            allowed = importable if is_late else importable & role.chunks_entering_from(view, peer)
            offer = peer.have & allowed & ~peer.in_flight_chunks
            if offer:
                offers[peer.name] = offer
        index = role.next_chunk(view, _union_of(offers.values()), now) if offers else None
        if index is None:
            return None
        names = [name for name, offer in offers.items() if offer >> index & 1]
        least = min(view.peers[name].in_flight for name in names)
        name = view.rng.choice([n for n in names if view.peers[n].in_flight == least])
        return ChunkRequest(index=index, source=name)

    def _near_request(self, view: TransferView, missing: int, now: float) -> ChunkRequest | None:
        """Return a request for the rarest missing chunk that a free peer of the region offers."""
        free: list[ChunkSource] = []
        offers: list[int] = []
        for peer in view.peers.values():
            offer = peer.have & missing & ~peer.in_flight_chunks
            if offer and peer.is_near and _is_free(view, peer, now):
                free.append(peer)
                offers.append(offer)
        if not free:
            return None
        index = _bitmaps.random_member(_bitmaps.rarest(offers, missing), view.rng)
        domain = view.host.failure_domain
        best, best_order = "", (1 << 30, True, 0.0)
        for peer, offer in zip(free, offers, strict=True):
            if offer >> index & 1:
                is_other = peer.host is None or peer.host.failure_domain != domain
                order = (peer.in_flight, is_other, view.rng.random())
                if order < best_order:
                    best, best_order = peer.name, order
        return ChunkRequest(index=index, source=best)

    def _role_of(self, view: TransferView) -> FetcherRole:
        if self._role is None or self._role.overlay is not view.overlay:
            self._role = FetcherRole(view=view)
        return self._role


def _is_slow(view: TransferView, peer: ChunkSource) -> bool:
    peer_s, mean_s = peer.latency.mean_s, view.latency.mean_s
    return peer_s is not None and mean_s is not None and peer_s > SLOW_FACTOR * mean_s


def _max_in_flight(view: TransferView, *, is_near: bool) -> int:
    """Return the limit of requests in flight to a peer; one remote peer has most own chunks."""
    return view.limits.requests_per_peer if is_near else view.limits.external_requests


def _is_free(view: TransferView, peer: ChunkSource, now: float) -> bool:
    """Return whether a peer accepts another request; a slow one gets one at a time."""
    if now < peer.avoid_until or peer.in_flight >= _max_in_flight(view, is_near=peer.is_near):
        return False
    return peer.in_flight == 0 or not _is_slow(view, peer)


def _extra_slots(view: TransferView, name: str) -> int:
    """Return 1 for a peer that is behind the others of the region, -1 for one ahead, else 0."""
    counts = [peer.have.bit_count() for peer in view.peers.values() if peer.is_near]
    peer_source = view.peers.get(name)
    if peer_source is None or not counts:
        return 1
    ahead = peer_source.have.bit_count() * len(counts) - sum(counts)
    margin = PROGRESS_MARGIN_SHARE * view.count * len(counts)
    return -1 if ahead > margin else int(ahead < -margin)


def _union(peers: Iterable[ChunkSource]) -> int:
    return _union_of(peer.have for peer in peers)


def _union_of(masks: Iterable[int]) -> int:
    union = 0
    for mask in masks:
        union |= mask
    return union
