"""Assignment of chunks to the hosts that import them into a region."""

from wasabilb_core._overlay import FETCHERS_PER_REGION
from wasabilb_core._transfer_view import ChunkSource, TransferView
from wasabilb_core.rendezvous import rank

# Number of uncancelled corrupt chunks from which a fetcher counts as inactive.
MAX_FAULTS = 2


class FetcherRole:
    """The chunks that one host imports into its region, from the store or from other regions.

    Each chunk belongs to the active fetcher whose position owns it by rendezvous hash. Positions
    are hashed instead of names, so linked fetchers of two regions own the same chunks, and a chunk
    crosses the link as soon as it has come from the store. A fetcher takes its own chunks in the
    common order and, when none is left, those of the others in the reverse order, so that two
    fetchers rarely request the same chunk.

    Parameters
    ----------
    view : TransferView
        State of the transfer on this host.
    """

    def __init__(self, *, view: TransferView) -> None:
        overlay, host = view.overlay, view.host
        self.overlay = overlay
        self._host = host.name
        self._fetchers = overlay.fetchers(host.region)
        self._position = overlay.fetch_order[host.region].index(host.name)
        self.is_fetcher = host.name in self._fetchers
        self.is_in_store_region = host.region == overlay.store_region
        self._order: list[int] = []
        self._idle_since = view.started_at
        self._chunks_by_rank: dict[tuple[frozenset[str], int], int] = {}
        self._chunks_by_region: dict[str, int] = {}

    def is_active(self, view: TransferView, now: float) -> bool:
        """Return whether this host imports chunks at this time."""
        return self.is_fetcher or self.is_substitute(view, now)

    def is_substitute(self, view: TransferView, now: float) -> bool:
        """Return whether this host replaces the fetchers, after a long time without progress."""
        idle_s = now - view.progress_at
        if idle_s <= view.limits.min_takeover_s:
            return False
        return idle_s > view.takeover_s * (1 + self._position // FETCHERS_PER_REGION)

    def is_window_full(self, view: TransferView, near: list[ChunkSource], now: float) -> bool:
        """Return whether too many imported chunks are on no active peer of the region yet.

        A fetcher with a slow uplink then leaves the rest to the others. Peers without progress do
        not limit the fetcher.
        """
        active = [p for p in near if p.is_linked and now - p.changed_at <= view.takeover_s]
        unreplicated = view.imported
        for peer in active:
            unreplicated &= ~peer.have
        return bool(active) and unreplicated.bit_count() >= view.limits.max_unreplicated

    def next_chunk(self, view: TransferView, candidates: int, now: float) -> int | None:
        """Return the next candidate: an assigned chunk, or the last one of another fetcher."""
        if not candidates:
            return None
        assigned = self._assigned_chunks(view, now)
        order = self._chunk_order(view)
        if candidates & assigned:
            self._idle_since = now
            return next(index for index in order if candidates & assigned & 1 << index)
        if view.missing & assigned:
            return None
        # The last chunks of the others are probably in flight to them, unless this state lasts.
        in_flight = view.limits.external_requests * (len(self._fetchers) - 1)
        if now - self._idle_since <= view.takeover_s:
            # Each chunk has one fetcher that ranks second, so no two hosts request the same one.
            spare = (
                self._chunks_at_rank(view, self._active_fetchers(view, now), 1)
                if self.is_fetcher
                else 0
            )
            if candidates.bit_count() <= in_flight or not candidates & spare:
                return None
            candidates &= spare
        return next(index for index in reversed(order) if candidates & 1 << index)

    def chunks_entering_from(self, view: TransferView, peer: ChunkSource) -> int:
        """Return the chunks that should enter this region from the region of a peer."""
        region = peer.host.region if peer.host else ""
        chunks = self._chunks_by_region.get(region)
        if chunks is None:
            chunks = sum(
                1 << index
                for index in range(view.count)
                if view.overlay.source_region(index, view.host.region) == region
            )
            self._chunks_by_region[region] = chunks
        return chunks

    def _chunk_order(self, view: TransferView) -> list[int]:
        if not self._order:
            names = rank(f"{view.overlay.key}:order", map(str, range(view.count)))
            self._order = [int(name) for name in names]
        return self._order

    def _assigned_chunks(self, view: TransferView, now: float) -> int:
        """Return the chunks that belong to this host among the active fetchers."""
        if not self.is_fetcher:
            return view.all_chunks
        return self._chunks_at_rank(view, self._active_fetchers(view, now), 0)

    def _active_fetchers(self, view: TransferView, now: float) -> frozenset[str]:
        return frozenset(
            name for name in self._fetchers if self._is_fetcher_active(view, name, now)
        )

    def _chunks_at_rank(self, view: TransferView, active: frozenset[str], chunk_rank: int) -> int:
        """Return the chunks for which this host has a given rank among the active fetchers."""
        chunks = self._chunks_by_rank.get((active, chunk_rank))
        if chunks is None:
            positions = [
                str(number) for number, name in enumerate(self._fetchers) if name in active
            ]
            own = [str(self._position)]
            chunks = sum(
                1 << index
                for index in range(view.count)
                if rank(f"{view.overlay.key}:{index}", positions)[chunk_rank : chunk_rank + 1]
                == own
            )
            self._chunks_by_rank[active, chunk_rank] = chunks
        return chunks

    def _is_fetcher_active(self, view: TransferView, fetcher: str, now: float) -> bool:
        """Return whether a fetcher is this host, is complete or has made progress recently."""
        if fetcher == self._host:
            return True
        peer = view.peers.get(fetcher)
        if peer is None:
            return now - view.started_at <= view.takeover_s
        if not peer.is_linked or peer.faults >= MAX_FAULTS:
            return False
        return peer.have == view.all_chunks or now - peer.changed_at <= view.takeover_s
