"""Transfers of the weights of wanted variants from the store and peers to the engine."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from attrs import define
from returns.result import Failure, Result, Success
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.distribution import CHUNK_POLICIES, ORIGIN, ChunkPlanner, PlannerLimits
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest
from wasabilb_core.origin_probe import OriginProbe
from wasabilb_core.settings import AgentSettings
from wasabilb_core.tickets import HostRole, Variant
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_wire.messages import ChunkData, ChunkNone, ChunkWant, TransferState

from wasabilb_agent._chunk_transfer import ChunkTransfer
from wasabilb_agent._manifest_exchange import MANIFEST_INDEX, ManifestExchange
from wasabilb_agent._participants import TransferParticipants
from wasabilb_agent._shared_origin import SharedOrigin
from wasabilb_agent._transfer_pacer import TransferPacer
from wasabilb_agent._weight_source import WeightSource

Deliver: TypeAlias = Callable[[ChunkAssembly], Awaitable[Result[None, Error]]]
Preload: TypeAlias = Callable[[ChunkTransfer], Awaitable[None]]

# A request to a peer that refused is repeated after a fraction of the time that one chunk takes.
TICK_S = 0.05
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 5.0
# A bad manifest stays bad until the store's operators or a ticket change something.
REFUSED_RETRY_S = 60.0
# The content that the store names is unusable, so fetching it again would not help.
REFUSED_KINDS = (ErrorKind.TOO_LARGE, ErrorKind.BAD_MANIFEST, ErrorKind.BAD_CHUNK)


@define(kw_only=True, eq=False)
class _Job:
    """Transfer of one variant to this host."""

    variant: Variant
    number: int
    is_seed: bool
    logged_refusal: str = ""
    task: "asyncio.Task[None] | None" = None
    transfer: ChunkTransfer | None = None
    is_delivered: bool = False
    is_manifest_gone: bool = False

    @property
    def log_fields(self) -> dict[str, Any]:
        """Return the log fields of the variant."""
        return {
            "ticket": self.number,
            "model": self.variant.model,
            "version": self.variant.version,
        }


class WeightTransfers:
    """Transfers of wanted variants, complete before the engine loads them, and uploads to peers.

    Parameters
    ----------
    cfg : AgentSettings
        Names the store, the chunk policy and the rates of the links.
    participants : TransferParticipants
        Names the hosts that receive a model.
    links : LinkManager
        Links to peers; this object handles transfer messages.
    store : WeightSource
        Source of the weights that no peer has.
    deliver : callable
        Uploads a complete version to the engine, or stages it for the runner.
    preload : callable or None
        Adds the chunks that are already on this host to a new transfer.
    limits : callable or None
        Returns the limits of this host's part in the transfer of a manifest.
    max_retry_s : float
        Longest delay before a failed request to the store is repeated, seconds.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        cfg: AgentSettings,
        participants: TransferParticipants,
        links: LinkManager,
        store: WeightSource,
        deliver: Deliver,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        preload: Preload | None = None,
        limits: Callable[[Manifest], PlannerLimits] | None = None,
        max_retry_s: float = MAX_RETRY_S,
    ) -> None:
        self._cfg = cfg
        self._participants = participants
        self._links = links
        self._deliver = deliver
        self._preload = preload
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._max_retry_s = max_retry_s
        self._store = SharedOrigin(
            store=store,
            probe=OriginProbe(host=cfg.host),
            links=links,
            log=log,
            hosts=lambda variant: [spec.name for spec in participants.hosts(variant)],
            wanted_variant=self._least_complete_variant,
            on_change=self._on_origin_change,
            on_manifest=self._on_probed_manifest,
        )
        self._pacer = TransferPacer(cfg=cfg.weights, region=cfg.region)
        self._manifests = ManifestExchange(
            host=cfg.host,
            region=cfg.region,
            links=links,
            store=self._store,
            rng=rng,
            held_manifest=self._manifest_of,
            pinned_digest=self._participants.pinned_digest,
        )
        self._jobs: dict[Variant, _Job] = {}
        # Set when a ticket or freed memory may make a refused version acceptable.
        self._retry_event = asyncio.Event()
        self.held: set[Variant] = set()
        links.set_handler(TransferState, self._on_transfer_state)
        links.set_handler(ChunkWant, self._on_chunk_want)
        links.set_handler(ChunkData, self._on_chunk_data)
        links.set_handler(ChunkNone, self._on_chunk_none)
        links.on_link_up.append(self._on_link_up)
        links.on_link_down.append(self._on_link_down)

    def set_wanted(
        self, wanted: dict[Variant, int], seeds: dict[Variant, int] | None = None
    ) -> None:
        """Start transfers of the variants, given with their ticket numbers, and end others.

        A variant that the engine holds is no longer wanted; its chunks stay for peers until
        another version of the same model is wanted or the memory is needed.

        Parameters
        ----------
        wanted, seeds : dict of int
            Variants to fetch completely, and those of which this host reads its share from the
            store. A seed fetches more only while the others make no progress; it keeps its
            chunks when it becomes wanted.
        """
        named_variants = {**(seeds or {}), **wanted}
        wanted_models = {(variant.model, variant.adapter) for variant in wanted}
        for variant, job in list(self._jobs.items()):
            is_replaced = (variant.model, variant.adapter) in wanted_models
            if variant not in named_variants and (not job.is_delivered or is_replaced):
                self._end_job(variant, "a newer ticket wants another version")
        self.held &= set(self._jobs)
        self._update_hosts()
        for variant, number in named_variants.items():
            is_seed = variant not in wanted
            existing = self._jobs.get(variant)
            if existing is None:
                job = _Job(variant=variant, number=number, is_seed=is_seed)
                self._jobs[variant] = job
                job.task = asyncio.ensure_future(self._run_job(job))
            elif (existing.number, existing.is_seed) != (number, is_seed):
                is_promoted = existing.is_seed and not is_seed
                existing.number, existing.is_seed = number, is_seed
                if is_promoted:
                    self._log_started(existing)
                self._retry_event.set()

    def link_targets(self) -> dict[str, str]:
        """Return the address, by host name, of each peer to link with; for `Node.extra_targets`."""
        names = self._manifests.neighbours()
        for transfer in self._open_transfers():
            names |= set(transfer.assembly.planner.neighbours(now()))
        return self._participants.addresses(names)

    def assembly(self, variant: Variant) -> ChunkAssembly | None:
        """Return the chunks of a variant whose transfer has begun."""
        job = self._jobs.get(variant)
        return job.transfer.assembly if job is not None and job.transfer is not None else None

    def share(self, variant: Variant) -> float:
        """Return the share of a variant's chunks that are verified on this host."""
        assembly = self.assembly(variant)
        if assembly is None:
            return 0.0
        return assembly.planner.have.bit_count() / len(assembly.manifest.chunks)

    def on_tick(self) -> None:
        """Update the amount of live traffic; called once per heartbeat."""
        entries = self._links.peers(role=HostRole.ENTRY.value)
        self._pacer.on_live_bytes_sent(sum(peer.link.bytes_sent for peer in entries))

    def close(self) -> None:
        """End all transfers."""
        for variant in list(self._jobs):
            self._end_job(variant, "the process ends")
        self._store.close()

    async def _run_job(self, job: _Job) -> None:
        self._log_started(job)
        retry_s = FIRST_RETRY_S
        while True:
            result = await self._fetch_and_deliver(job)
            if isinstance(result, Success):
                break
            error = result.failure()
            if error.kind in REFUSED_KINDS and not job.is_manifest_gone:
                await self._wait_after_refusal(job, error)
                continue
            is_engine = job.transfer is not None and job.transfer.is_complete
            service = "engine" if is_engine else "store"
            self._log.event("platform_down", service=service, detail=error.detail)
            # Jitter keeps the hosts of a fleet from calling the store at the same time.
            await self._manifests.wait_for_offer(job.variant, retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(self._max_retry_s, retry_s * 2)
        received = job.transfer.counters.received_bytes if job.transfer is not None else {}
        origin = received.get(ORIGIN, 0)
        peers = sum(received.values()) - origin
        self._log.event("transfer_done", **job.log_fields, bytes_origin=origin, bytes_peers=peers)
        job.is_delivered = True
        self.held.add(job.variant)

    def _log_started(self, job: _Job) -> None:
        if job.is_seed:
            self._log.event("seed_started", **job.log_fields)
        else:
            self._log.event("transfer_started", **job.log_fields)

    async def _wait_after_refusal(self, job: _Job, error: Error) -> None:
        """Log a refused version once and wait until something may have changed."""
        self._drop_transfer(job)
        if job.logged_refusal != error.detail:
            job.logged_refusal = error.detail
            self._log.event(
                "transfer_refused",
                **job.log_fields,
                detail=error.detail,
            )
        self._retry_event.clear()
        is_final = error.kind is ErrorKind.TOO_LARGE
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._retry_event.wait(), None if is_final else REFUSED_RETRY_S)

    async def _fetch_and_deliver(self, job: _Job) -> Result[None, Error]:
        """Fetch the chunks of the store's current manifest and deliver them to the engine."""
        if job.transfer is not None and job.transfer.is_complete:
            # Only the engine failed, so the verified chunks are delivered again.
            return await self._deliver(job.transfer.assembly)
        was_manifest_gone, job.is_manifest_gone = job.is_manifest_gone, False
        # The variant is the key of the overlay until the manifest's digest is known.
        self._manifests.request_manifest(
            job.variant, self._participants.overlay(job.variant, str(job.variant))
        )
        self._participants.open_links(self._manifests.neighbours())
        result = await self._manifests.obtain(job.variant, is_store_only=was_manifest_gone)
        if isinstance(result, Failure):
            return Failure(result.failure())
        manifest = result.unwrap()
        error = self._check_manifest(job, manifest)
        if error is not None:
            return Failure(error)
        done = asyncio.Event()
        self._drop_transfer(job)
        job.transfer = self._start_transfer(job, manifest, done)
        self._manifests.end_request(job.variant)
        # The staged chunks belong to an older version than a seed.
        if self._preload is not None and not job.is_seed:
            await self._preload(job.transfer)
        while not done.is_set():
            if job.is_manifest_gone:
                detail = f"the store no longer has a chunk of {job.variant}"
                return Failure(Error(kind=ErrorKind.BAD_MANIFEST, detail=detail))
            self.on_tick()
            self._update_background(job, job.transfer)
            job.transfer.tick()
            self._participants.open_links(job.transfer.assembly.planner.neighbours(now()))
            await asyncio.sleep(TICK_S)
        return await self._deliver(job.transfer.assembly)

    def _check_manifest(self, job: _Job, manifest: Manifest) -> Error | None:
        pinned_digest = self._participants.pinned_digest(job.variant)
        if pinned_digest and pinned_digest != manifest.canonical_digest:
            detail = f"the manifest of {job.variant} is not the one that the ticket pins"
            return Error(kind=ErrorKind.BAD_MANIFEST, detail=detail)
        memory_bytes = self._cfg.weights.memory_bytes
        if manifest.size > memory_bytes:
            return _too_large(manifest)
        for variant, other in list(self._jobs.items()):
            is_full = self._held_bytes(except_for=job.transfer) + manifest.size > memory_bytes
            if is_full and other.is_delivered and not job.is_seed:
                self._end_job(variant, "its memory is needed")
        held_bytes = self._held_bytes(except_for=job.transfer)
        if held_bytes + manifest.size > memory_bytes:
            return _too_large(manifest)
        return None

    def _start_transfer(self, job: _Job, manifest: Manifest, done: asyncio.Event) -> ChunkTransfer:
        overlay = self._participants.overlay(manifest.variant, manifest.canonical_digest)
        policy = CHUNK_POLICIES.create(self._cfg.policy.chunks).unwrap()
        planner = ChunkPlanner(
            overlay=overlay,
            host=self._cfg.host,
            count=len(manifest.chunks),
            policy=policy,
            rng=self._rng,
            now=now(),
            limits=self._limits(manifest) if self._limits is not None else None,
        )

        def on_manifest_gone() -> None:
            job.is_manifest_gone = True

        transfer = ChunkTransfer(
            assembly=ChunkAssembly(manifest=manifest, planner=planner),
            store=self._store,
            links=self._links,
            pacer=self._pacer,
            log=self._log,
            metrics=self._metrics,
            on_complete=done.set,
            on_manifest_gone=on_manifest_gone,
        )
        self._update_background(job, transfer)
        if self._store.probe.is_away:
            planner.set_origin_away(True, now())
        for peer in self._links.peers():
            if peer.host in overlay.hosts:
                transfer.send_state(peer)
        return transfer

    def _update_background(self, job: _Job, transfer: ChunkTransfer) -> None:
        """Keep a seed in the background while a wanted version uses the link."""
        is_link_used = any(
            not other.is_seed
            and other.transfer is not None
            and not other.transfer.is_complete
            and not other.transfer.assembly.planner.is_stalled(now())
            for other in self._jobs.values()
        )
        transfer.assembly.planner.set_background(job.is_seed and is_link_used, now())

    def _least_complete_variant(self) -> Variant | None:
        """Return the least complete unfinished variant, one without a manifest first."""
        lacking = [v for v, job in self._jobs.items() if not job.is_delivered]
        return min(lacking, key=self.share, default=None)

    def _on_probed_manifest(self, variant: Variant, manifest: Manifest) -> None:
        self._manifests.offer(variant, manifest)

    def _on_origin_change(self, relayed_variant: str) -> None:
        """Suspend reads while the origin is unavailable, and resume at once when it is back."""
        for transfer in self._open_transfers():
            transfer.assembly.planner.set_origin_away(self._store.probe.is_away, now())
        if not self._store.probe.is_away:
            self._manifests.wake_waiters(except_for=relayed_variant)
            for transfer in self._open_transfers():
                transfer.send_requests()

    def _update_hosts(self) -> None:
        """Update the transfers to the hosts that the tickets name now."""
        for transfer in self._open_transfers():
            manifest = transfer.manifest
            overlay = self._participants.overlay(manifest.variant, manifest.canonical_digest)
            if overlay.hosts != transfer.assembly.planner.hosts:
                transfer.assembly.planner.on_hosts(overlay)
                for peer in self._links.peers():
                    if peer.host in overlay.hosts:
                        transfer.send_state(peer)

    def _manifest_of(self, variant: str) -> Manifest | None:
        found = (t.manifest for t in self._open_transfers() if str(t.manifest.variant) == variant)
        return next(found, None)

    def _open_transfers(self) -> list[ChunkTransfer]:
        return [job.transfer for job in self._jobs.values() if job.transfer is not None]

    def _find_transfer(self, manifest: str) -> ChunkTransfer | None:
        return next((t for t in self._open_transfers() if t.assembly.transfer == manifest), None)

    def _held_bytes(self, *, except_for: ChunkTransfer | None = None) -> int:
        return sum(t.manifest.size for t in self._open_transfers() if t is not except_for)

    def _drop_transfer(self, job: _Job) -> None:
        if job.transfer is not None:
            job.transfer.close()
            job.transfer = None

    def _end_job(self, variant: Variant, reason: str) -> None:
        job = self._jobs.pop(variant)
        self.held.discard(variant)
        if job.task is not None:
            job.task.cancel()
        self._drop_transfer(job)
        self._manifests.end_request(variant)
        self._retry_event.set()
        if not job.is_delivered:
            self._log.event(
                "transfer_stopped", model=variant.model, version=variant.version, reason=reason
            )

    def _on_link_up(self, peer: Peer) -> None:
        self._manifests.on_link_up(peer)
        for transfer in self._open_transfers():
            if peer.host in {
                spec.name for spec in self._participants.hosts(transfer.manifest.variant)
            }:
                transfer.send_state(peer)

    def _on_link_down(self, peer: Peer) -> None:
        # Both ends may have dialed, so a second link to the host can still be open.
        if self._links.peer(peer.host) is None:
            for transfer in self._open_transfers():
                transfer.on_host_lost(peer.host)

    def _on_transfer_state(self, peer: Peer, message: TransferState) -> None:
        if not message.manifest:
            self._manifests.on_manifest_request(peer, message)
            return
        transfer = self._find_transfer(message.manifest)
        if transfer is not None:
            transfer.on_transfer_state(peer, message)

    def _on_chunk_want(self, peer: Peer, message: ChunkWant) -> None:
        transfer = self._find_transfer(message.manifest)
        if transfer is not None:
            transfer.on_chunk_want(peer, message)
        else:
            peer.send(ChunkNone(manifest=message.manifest, index=message.index))

    def _on_chunk_data(self, peer: Peer, message: ChunkData) -> None:
        if message.index == MANIFEST_INDEX:
            self._manifests.on_manifest_data(peer, message)
            return
        transfer = self._find_transfer(message.manifest)
        if transfer is not None:
            transfer.on_chunk_data(peer, message)

    def _on_chunk_none(self, peer: Peer, message: ChunkNone) -> None:
        transfer = self._find_transfer(message.manifest)
        if transfer is not None:
            transfer.on_chunk_none(peer, message)


def _too_large(manifest: Manifest) -> Error:
    detail = f"{manifest.variant}: {manifest.size} bytes do not fit weights.memory_bytes"
    return Error(kind=ErrorKind.TOO_LARGE, detail=detail)
