"""Planner of one transfer on one host: the request state around a chunk policy."""

import random
from collections.abc import Mapping

from wasabilb_core._latency import LatencyEstimator
from wasabilb_core._overlay import Overlay
from wasabilb_core._transfer_view import (
    ORIGIN,
    ChunkFailure,
    ChunkPolicy,
    ChunkRequest,
    ChunkSource,
    PendingRequest,
    PlannerLimits,
    TransferView,
)
from wasabilb_core.tickets import HostSpec

# Time for which a source is avoided after a corrupt chunk, four times as long for each further one.
# A good chunk cancels one fault, as networks corrupt a chunk now and then.
CORRUPT_AVOID_S = 2.0
# Assumed latency of a chunk until the first one has arrived.
FIRST_LATENCY_S = 1.0
# A request is overdue after this multiple of the mean latency. Queues at a peer hold up to four
# chunks, so up to three times the mean is normal.
OVERDUE_FACTOR = 3.0
END_GAME_FACTOR = 1.5
# A transfer without progress for this multiple of the mean latency yields the link to a background
# transfer; requests of other hosts occupy a peer for one or two latencies. The minimum covers
# chunks that take 0.1 s: they are announced 0.05 s later, and a peer that refused a request is
# retried after up to a third of their time.
STALLED_FACTOR = 3.0
MIN_STALLED_S = 0.3


class ChunkPlanner:
    """Plans the requests of one host in one transfer.

    A chunk counts only once `on_chunk` is called, which `ChunkAssembly` does after the digest
    matched. After `abandon` the planner requests, serves and counts nothing.

    Parameters
    ----------
    overlay : Overlay
        Links of the transfer, with its key and hosts.
    host : str
        Name of this host; must be in the overlay.
    count : int
        Number of chunks in the manifest.
    policy : ChunkPolicy
        Policy from `CHUNK_POLICIES`.
    rng : random.Random
        Source of randomness.
    now : float
        Current time, seconds.
    limits : PlannerLimits
        Limits of requests and uploads.
    """

    def __init__(
        self,
        *,
        overlay: Overlay,
        host: str,
        count: int,
        policy: ChunkPolicy,
        rng: random.Random,
        now: float,
        limits: PlannerLimits | None = None,
    ) -> None:
        limits = limits or PlannerLimits()
        self._policy = policy
        self._is_abandoned = False
        self._view = TransferView(
            host=overlay.hosts[host],
            overlay=overlay,
            count=count,
            rng=rng,
            limits=limits,
            started_at=now,
            progress_at=now,
            origin=ChunkSource(
                name=ORIGIN,
                latency=LatencyEstimator(first_timeout_s=limits.first_timeout_s),
                changed_at=now,
            ),
            latency=LatencyEstimator(first_timeout_s=limits.first_timeout_s),
        )

    @property
    def have(self) -> int:
        """Return the bitmap of the verified chunks, which are offered to peers."""
        return 0 if self._is_abandoned else self._view.have

    @property
    def hosts(self) -> Mapping[str, HostSpec]:
        """Return the hosts of the transfer."""
        return self._view.overlay.hosts

    @property
    def sender_count(self) -> int:
        """Return the number of hosts of this region that send to other regions."""
        return max(1, len(self._view.overlay.fetchers(self._view.host.region)))

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is verified."""
        return not self._is_abandoned and self._view.is_complete

    @property
    def in_flight(self) -> tuple[ChunkRequest, ...]:
        """Return the requests that are neither answered nor timed out."""
        return tuple(pending.request for pending in self._view.pending.values())

    def is_stalled(self, now: float) -> bool:
        """Return whether no chunk has arrived or been newly offered for a while."""
        expected_s = STALLED_FACTOR * (self._view.latency.mean_s or 0.0)
        return now - self._view.progress_at > max(MIN_STALLED_S, expected_s)

    def set_background(self, is_background: bool, now: float) -> None:
        """Limit the transfer to its first origin reads while another version has priority.

        The waiting times for other hosts start when the transfer leaves the background.
        """
        if self._view.is_background and not is_background:
            self._view.started_at = now
        self._view.is_background = is_background

    def set_origin_away(self, is_away: bool, now: float) -> None:
        """Stop reading the origin while it is unavailable, and resume at once when it is back.

        Hosts that had to read a chunk could not do so meanwhile, so the time for which others wait
        for them starts over.
        """
        self._view.origin.avoid_until = float("inf") if is_away else now
        if not is_away:
            self._view.started_at = now

    def neighbours(self, now: float) -> tuple[str, ...]:
        """Return the hosts to link with at this time."""
        return () if self._is_abandoned else self._policy.neighbours(self._view, now)

    def on_hosts(self, overlay: Overlay) -> None:
        """Continue with the hosts of a newer ticket; verified chunks stay.

        The overlay has the same key and contains this host; peers that it lacks are dropped.
        """
        view = self._view
        view.overlay = overlay
        view.host = overlay.hosts[view.host.name]
        for name in [name for name in view.peers if name not in overlay.hosts]:
            self.on_peer_lost(name)
            del view.peers[name]

    def on_peer_state(self, peer: str, bitmap: int, now: float) -> bool:
        """Store what a linked peer offers; hosts that are not in the ticket are ignored.

        Returns whether it offers a missing chunk, so that `next_requests` may return requests.
        """
        view = self._view
        host = view.overlay.hosts.get(peer)
        if self._is_abandoned or host is None or host is view.host:
            return False
        bitmap &= view.all_chunks
        source = view.peers.get(peer)
        if source is None:
            latency = LatencyEstimator(first_timeout_s=view.limits.first_timeout_s)
            is_near = host.region == view.host.region
            source = ChunkSource(
                name=peer, latency=latency, host=host, is_near=is_near, changed_at=now
            )
            view.peers[peer] = source
        source.is_linked = True
        if bitmap & ~source.have:
            source.changed_at = now
            if bitmap & ~view.have & ~source.have:
                view.progress_at = max(view.progress_at, now)
        source.have = bitmap
        return bitmap & view.missing != 0

    def on_peer_lost(self, peer: str) -> None:
        """Drop the requests to a peer whose link is lost; its faults are kept."""
        source = self._view.peers.get(peer)
        if source is None:
            return
        source.is_linked = False
        source.have = 0
        self._view.uploads.pop(peer, None)
        for index, name in list(self._view.pending):
            if name == peer:
                self._release(index, name)

    def on_chunk(self, index: int, source: str, now: float) -> bool:
        """Record a verified chunk and return whether it is new."""
        view = self._view
        if self._is_abandoned or not 0 <= index < view.count:
            return False
        pending = self._release(index, source)
        chunk_source = view.source(source)
        if chunk_source is not None and pending is not None:
            chunk_source.latency.observe(now - pending.sent_at)
            view.latency.observe(now - pending.sent_at)
            chunk_source.faults = max(0, chunk_source.faults - 1)
        if view.have >> index & 1:
            return False
        view.have |= 1 << index
        if chunk_source is not None and not chunk_source.is_near:
            view.imported |= 1 << index
            if chunk_source is not view.origin:
                view.last_remote_chunk_at = now
        view.progress_at = max(view.progress_at, now)
        return True

    def on_chunk_failed(self, index: int, source: str, reason: ChunkFailure, now: float) -> None:
        """Release a failed request and avoid its source for a time that depends on the reason."""
        pending = self._release(index, source)
        chunk_source = self._view.source(source)
        if chunk_source is None or (pending is None and reason is not ChunkFailure.CORRUPT):
            return
        view = self._view
        expected_s = view.latency.mean_s or FIRST_LATENCY_S
        if reason is ChunkFailure.CORRUPT:
            avoid_s = CORRUPT_AVOID_S * 4.0**chunk_source.faults
            # Only the store has what no peer has, so it is retried sooner.
            avoid_s = min(avoid_s, 2 * expected_s) if source == ORIGIN else avoid_s
            chunk_source.faults = min(chunk_source.faults + 1, 16)
        elif reason is ChunkFailure.BUSY:
            avoid_s = expected_s * (0.1 + 0.2 * view.rng.random())
        elif reason is ChunkFailure.STALLED:
            # Requests that were in flight together time out together, which counts as one loss.
            if pending is not None and pending.sent_at >= chunk_source.backed_off_at:
                chunk_source.latency.back_off()
                chunk_source.backed_off_at = now
            avoid_s = chunk_source.latency.timeout_s
        else:
            avoid_s = expected_s
            chunk_source.have &= ~(1 << index)
        avoid_s = min(avoid_s, view.limits.max_avoid_s)
        chunk_source.avoid_until = max(chunk_source.avoid_until, now + avoid_s)

    def on_tick(self, now: float) -> list[ChunkRequest]:
        """Release the requests that timed out and return them."""
        timed_out = [p.request for p in self._view.pending.values() if p.deadline <= now]
        for request in timed_out:
            self.on_chunk_failed(request.index, request.source, ChunkFailure.STALLED, now)
        return timed_out

    def next_requests(self, now: float) -> list[ChunkRequest]:
        """Return the requests to send now, which count as in flight from then on."""
        requests: list[ChunkRequest] = []
        view = self._view
        self._mark_overdue(now)
        while not self._is_abandoned and not view.is_complete:
            request = self._policy.next_request(view, now)
            if request is None:
                break
            source = view.source(request.source)
            if source is None or (request.index, request.source) in view.pending:
                break
            self._count_request(source, request.index, 1)
            view.requested |= 1 << request.index
            view.pending[request.index, request.source] = PendingRequest(
                request=request, sent_at=now, deadline=now + self._timeout_s(source)
            )
            requests.append(request)
        return requests

    def may_serve(self, peer: str, now: float) -> bool:
        """Return whether a peer's request is accepted; if so, reserve a slot until `on_served`."""
        if self._is_abandoned or not self._policy.may_serve(self._view, peer, now):
            return False
        self._view.uploads[peer] = self._view.uploads.get(peer, 0) + 1
        return True

    def on_served(self, peer: str) -> None:
        """Release the upload slot of an accepted request that was sent or abandoned."""
        remaining = self._view.uploads.get(peer, 0) - 1
        if remaining > 0:
            self._view.uploads[peer] = remaining
        else:
            self._view.uploads.pop(peer, None)

    def abandon(self) -> None:
        """End the transfer because a newer version replaces it."""
        self._is_abandoned = True
        self._view.pending.clear()
        self._view.uploads.clear()
        self._view.have = self._view.requested = 0

    def _release(self, index: int, source: str) -> PendingRequest | None:
        view = self._view
        pending = view.pending.pop((index, source), None)
        if pending is None:
            return None
        chunk_source = view.source(source)
        if chunk_source is not None:
            self._count_request(chunk_source, index, -1, is_overdue=pending.is_overdue)
        if not pending.is_overdue:
            view.requested &= ~(1 << index)
        return pending

    def _count_request(
        self, source: ChunkSource, index: int, change: int, *, is_overdue: bool = False
    ) -> None:
        source.in_flight += change
        source.in_flight_chunks ^= 1 << index
        if is_overdue:
            return
        if source.is_near:
            self._view.near_in_flight += change
        else:
            self._view.external_in_flight += change

    def _mark_overdue(self, now: float) -> None:
        """Mark slow requests as overdue, so that their chunks are requested elsewhere too.

        When nothing else is missing, a shorter wait is enough (the end game of Cohen, "Incentives
        build robustness in BitTorrent", 2003).
        """
        view = self._view
        expected_s = view.latency.mean_s
        if expected_s is None:
            return
        factor = OVERDUE_FACTOR if view.missing else END_GAME_FACTOR
        sent_before = now - factor * expected_s
        if view.oldest_sent_at > sent_before:
            return
        overdue_count = sum(pending.is_overdue for pending in view.pending.values())
        view.oldest_sent_at = now
        for (index, name), pending in view.pending.items():
            if pending.is_overdue:
                continue
            if pending.sent_at > sent_before or overdue_count >= view.limits.max_overdue:
                view.oldest_sent_at = min(view.oldest_sent_at, pending.sent_at)
                continue
            overdue_count += 1
            pending.is_overdue = True
            view.requested &= ~(1 << index)
            chunk_source = view.source(name)
            if chunk_source is not None and chunk_source.is_near:
                view.near_in_flight -= 1
            else:
                view.external_in_flight -= 1

    def _timeout_s(self, source: ChunkSource) -> float:
        """Return the timeout of a source, from all sources while it has no sample of its own."""
        if source.latency.mean_s is None and self._view.latency.mean_s is not None:
            own_s, default_s = source.latency.timeout_s, 2 * self._view.latency.timeout_s
            return max(own_s, default_s)
        return source.latency.timeout_s
