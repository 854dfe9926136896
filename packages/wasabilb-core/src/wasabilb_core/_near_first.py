"""The near-first policy: peers of the region first; each region reads a part of the origin."""

from collections.abc import Iterable

from wasabilb_core import _bitmaps
from wasabilb_core._transfer_view import ORIGIN, ChunkRequest, ChunkSource, TransferView
from wasabilb_core.rendezvous import rank
from wasabilb_core.seeding import origin_shares

# Largest region in which all hosts are linked. Hosts that are not linked read the same chunks from
# the origin.
MAX_NEAR_MESH = 24
# Links of a host to each other region.
REMOTE_LINKS_PER_REGION = 2
# Time that the hosts of a region need to learn of a version and connect to each other.
DISCOVERY_S = 0.8
# Requests in flight to near hosts while this host still has to read chunks from the origin.
NEAR_REQUESTS_WHILE_READING = 2


class NearFirst:
    """Reads one copy from the origin for all regions and exchanges chunks within each region.

    Meant for transfers of a few seconds between hosts whose own links are the bottleneck. Each
    region reads its part of the chunks from the origin and takes each other chunk once from the
    region that read it. The hosts of a region exchange what has entered it. After the time of one
    copy the whole version is outside the origin, so that a later failure of the origin delays no
    host.
    """

    def __init__(self) -> None:
        # Keyed by the regions of the transfer, whose number may grow after the start.
        self._orders: dict[tuple[str, ...], list[int]] = {}
        self._chunks_by_regions: dict[tuple[str, ...], int] = {}
        self._chunks_by_near_hosts: dict[tuple[tuple[str, ...], tuple[str, ...]], int] = {}

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the near hosts, in a large region those of the overlay, and a few remote hosts."""
        own_region = view.host.region
        near = view.overlay.fetch_order[own_region]
        if len(near) > MAX_NEAR_MESH:
            near = [n for n in view.overlay.neighbours(view.host.name) if self._is_near(view, n)]
        remote: set[str] = set()
        for region, names in view.overlay.fetch_order.items():
            if region != own_region:
                position = view.overlay.fetch_order[own_region].index(view.host.name)
                remote.update(
                    names[(position + n) % len(names)] for n in range(REMOTE_LINKS_PER_REGION)
                )
        return tuple(sorted({*near, *remote} - {view.host.name}))

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the rarest chunk that the region offers, otherwise one to import into it."""
        missing = view.missing
        if not missing:
            return None
        near = [peer for peer in view.peers.values() if peer.is_near and not peer.faults]
        to_read = self._to_read_now(view, near, now)
        if to_read & missing and view.origin.in_flight == 0:
            return self._origin_request(view, to_read & missing)
        if view.is_background:
            return None
        if view.near_in_flight < (
            NEAR_REQUESTS_WHILE_READING if to_read else view.limits.peer_requests
        ):
            request = _rarest_request(view, missing, now, is_near=True)
            if request is not None:
                return request
        if to_read or view.external_in_flight >= view.limits.external_requests:
            return None
        return self._import_request(view, near, missing, now)

    def _to_read_now(self, view: TransferView, near: list[ChunkSource], now: float) -> int:
        """Return the chunks that this host reads from the origin before most others.

        The hosts' links first carry one copy out of the origin, so that no host depends on it when
        it fails soon after a version was named.
        """
        is_late = now - view.started_at >= view.limits.remote_wait_s and not view.is_background
        if is_late or now < view.origin.avoid_until:
            return 0
        return self._region_chunks(view) & self._host_chunks(view, now) & ~view.have & ~_union(near)

    def _import_request(
        self, view: TransferView, near: list[ChunkSource], missing: int, now: float
    ) -> ChunkRequest | None:
        """Return a request for a chunk that no near host has."""
        importable = missing & ~view.origin.in_flight_chunks & ~_union(near)
        if not importable:
            return None
        assigned = importable & self._host_chunks(view, now)
        is_origin_free = now >= view.origin.avoid_until and view.origin.in_flight == 0
        if is_origin_free and assigned & self._region_chunks(view):
            return self._origin_request(view, assigned & self._region_chunks(view))
        request = _rarest_request(view, assigned, now, is_near=False)
        if request is not None or not is_origin_free:
            return request or _rarest_request(view, importable, now, is_near=False)
        is_late = now - view.started_at >= view.limits.remote_wait_s
        # A busy remote host sends what it offers later. The origin sends it a second time only when
        # no remote host has sent anything for a long time.
        is_served = now - max(view.last_remote_chunk_at, view.started_at) <= view.takeover_s
        remote = [peer for peer in view.peers.values() if not peer.is_near]
        unoffered = importable & ~_union(remote) if is_served else importable
        if assigned & unoffered and (is_late or not self._has_remote_link(view)):
            return self._origin_request(view, assigned & unoffered)
        # The last missing chunks are probably in flight to their owners.
        near_count = sum(peer.is_linked for peer in near)
        if not is_late or importable.bit_count() <= near_count:
            return None
        request = _rarest_request(view, importable, now, is_near=False)
        if request is not None or not unoffered:
            return request
        return self._origin_request(view, unoffered)

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether an upload slot is free; other regions have their own slots."""
        host = view.overlay.hosts.get(peer)
        if host is None:
            return False
        is_near = host.region == view.host.region
        used = sum(
            count for name, count in view.uploads.items() if self._is_near(view, name) == is_near
        )
        return used < (view.limits.uploads if is_near else view.limits.cross_region_uploads)

    def _origin_request(self, view: TransferView, chunks: int) -> ChunkRequest:
        index = next(index for index in self._chunk_order(view) if chunks & 1 << index)
        return ChunkRequest(index=index, source=ORIGIN)

    @staticmethod
    def _has_remote_link(view: TransferView) -> bool:
        return any(peer.is_linked and not peer.is_near for peer in view.peers.values())

    def _region_chunks(self, view: TransferView) -> int:
        """Return the chunks that the region of this host reads from the origin."""
        regions = tuple(sorted(view.overlay.fetch_order))
        chunks = self._chunks_by_regions.get(regions)
        if chunks is None:
            chunks = self._chunks_by_regions[regions] = sum(
                1 << index
                for position, index in enumerate(self._common_order(view))
                if regions[position % len(regions)] == view.host.region
            )
        return chunks

    def _host_chunks(self, view: TransferView, now: float) -> int:
        """Return the chunks that this host imports, among the near hosts of the transfer.

        All hosts of the region count at first, as they learn of the version at different times.
        Later the chunks of hosts that are not linked go to the others.
        """
        if now - view.started_at < DISCOVERY_S:
            names = [n for n in view.overlay.hosts if self._is_near(view, n)]
        else:
            names = [p.name for p in view.peers.values() if p.is_near and p.is_linked]
        regions = tuple(sorted(view.overlay.fetch_order))
        near = tuple(sorted({view.host.name, *names}))
        assigned = self._chunks_by_near_hosts.get((regions, near))
        if assigned is None:
            assigned, order = 0, self._common_order(view)
            for position in range(len(regions)):
                # The part of each region is divided separately, so that no host reads much more
                # than the others of its region.
                region_part = order[position :: len(regions)]
                shares = origin_shares(key=view.overlay.key, chunks=region_part, hosts=near)
                assigned |= shares[view.host.name]
            self._chunks_by_near_hosts[regions, near] = assigned
        return assigned

    def _chunk_order(self, view: TransferView) -> list[int]:
        regions = tuple(sorted(view.overlay.fetch_order))
        region_order = self._orders.get(regions)
        if region_order is None:
            start = view.count * regions.index(view.host.region) // len(regions)
            order = self._common_order(view)
            region_order = self._orders[regions] = order[start:] + order[:start]
        return region_order

    @staticmethod
    def _common_order(view: TransferView) -> list[int]:
        names = rank(f"{view.overlay.key}:order", map(str, range(view.count)))
        return [int(name) for name in names]

    @staticmethod
    def _is_near(view: TransferView, name: str) -> bool:
        host = view.overlay.hosts.get(name)
        return host is not None and host.region == view.host.region


def _rarest_request(
    view: TransferView, chunks: int, now: float, *, is_near: bool
) -> ChunkRequest | None:
    """Return a request for the rarest of the given chunks that a free peer offers."""
    free: list[ChunkSource] = []
    offers: list[int] = []
    for peer in view.peers.values():
        offer = peer.have & chunks & ~peer.in_flight_chunks
        is_free = now >= peer.avoid_until and peer.in_flight < view.limits.requests_per_peer
        if offer and is_free and peer.is_linked and peer.is_near == is_near:
            free.append(peer)
            offers.append(offer)
    if not free:
        return None
    index = _bitmaps.random_member(_bitmaps.rarest(offers, chunks), view.rng)
    sources = [p for p, offer in zip(free, offers, strict=True) if offer >> index & 1]
    best = min(sources, key=lambda peer: (peer.in_flight, view.rng.random()))
    return ChunkRequest(index=index, source=best.name)


def _union(peers: Iterable[ChunkSource]) -> int:
    union = 0
    for peer in peers:
        if peer.is_linked:
            union |= peer.have
    return union
