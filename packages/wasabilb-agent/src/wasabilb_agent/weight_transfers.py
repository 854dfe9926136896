"""Moves the weights of wanted variants from the store and from peers into the engine."""

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
from wasabilb_core.origin_watch import OriginWatch
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

# A peer that refused is asked again after a part of the time that one chunk takes.
TICK_S = 0.05
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 5.0
# A wrong manifest stays wrong until the store's operators or a ticket change something.
REFUSED_RETRY_S = 60.0
# The bytes that the store names cannot be used, so that fetching them again would not help.
REFUSED = (ErrorKind.TOO_LARGE, ErrorKind.BAD_MANIFEST, ErrorKind.BAD_CHUNK)


@define(kw_only=True, eq=False)
class _Job:
    """One variant on this host."""

    variant: Variant
    number: int
    is_seed: bool
    refused: str = ""
    task: "asyncio.Task[None] | None" = None
    transfer: ChunkTransfer | None = None
    is_handed: bool = False
    is_stale: bool = False

    @property
    def names(self) -> dict[str, Any]:
        """Return what log lines say of the variant."""
        return {
            "ticket": self.number,
            "model": self.variant.model,
            "version": self.variant.version,
        }


class WeightTransfers:
    """Fetches each wanted variant whole before the engine may load it, and serves it to peers.

    Parameters
    ----------
    cfg : AgentSettings
        Names the store, the chunk policy and the rates of the links.
    participants : TransferParticipants
        Names the hosts that receive a model.
    links : LinkManager
        Links to peers; this object handles the messages of transfers.
    store : WeightSource
        Where weights come from that no peer has.
    deliver : callable
        Gives a whole verified version to the engine.
    preload : callable or None
        Adds to a new transfer the chunks that lie on this host already.
    limits : callable or None
        Returns the bounds of this host's part in the transfer of a manifest.
    max_retry_s : float
        Longest pause before a store that failed is asked again, seconds.
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
        self._hand_over = deliver
        self._preload = preload
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._max_retry_s = max_retry_s
        self._store = SharedOrigin(
            store=store,
            probe=OriginWatch(host=cfg.host),
            links=links,
            log=log,
            hosts=lambda variant: [spec.name for spec in participants.hosts(variant)],
            wanted_variant=self._unfinished,
            on_change=self._on_origin,
            on_manifest=self._on_probed,
        )
        self._uploads = TransferPacer(cfg=cfg.weights, region=cfg.region)
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
        # Set when a ticket or freed memory may let a refused version through.
        self._changed = asyncio.Event()
        self.held: set[Variant] = set()
        links.on(TransferState, self._on_state)
        links.on(ChunkWant, self._on_want)
        links.on(ChunkData, self._on_data)
        links.on(ChunkNone, self._on_none)
        links.on_up.append(self._on_up)
        links.on_down.append(self._on_down)

    def set_wanted(
        self, wanted: dict[Variant, int], seeds: dict[Variant, int] | None = None
    ) -> None:
        """Start transfers of the variants, given with their ticket numbers, and end others.

        A variant that the engine holds is no longer wanted; its chunks stay for peers until
        another version of the same model is wanted or the memory is needed.

        Parameters
        ----------
        wanted, seeds : dict of int
            Variants to be fetched whole, and those of which this host reads its share from the
            store. A seed takes more only while the others make no progress; it keeps its chunks
            when it is wanted.
        """
        named = {**(seeds or {}), **wanted}
        newer = {(variant.model, variant.adapter) for variant in wanted}
        for variant, job in list(self._jobs.items()):
            is_replaced = (variant.model, variant.adapter) in newer
            if variant not in named and (not job.is_handed or is_replaced):
                self._end(variant, "a newer ticket wants another version")
        self.held &= set(self._jobs)
        self._follow_hosts()
        for variant, number in named.items():
            is_seed = variant not in wanted
            known = self._jobs.get(variant)
            if known is None:
                job = _Job(variant=variant, number=number, is_seed=is_seed)
                self._jobs[variant] = job
                job.task = asyncio.ensure_future(self._run(job))
            elif (known.number, known.is_seed) != (number, is_seed):
                is_promoted = known.is_seed and not is_seed
                known.number, known.is_seed = number, is_seed
                if is_promoted:
                    self._log_started(known)
                self._changed.set()

    def targets(self) -> dict[str, str]:
        """Return name and address of the peers to be linked with; for `Node.extra_targets`."""
        names = self._manifests.neighbours()
        for transfer in self._transfers():
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
        """Take note of live traffic; called once a heartbeat."""
        entries = self._links.peers(role=HostRole.ENTRY.value)
        self._uploads.on_live_total(sum(peer.link.bytes_sent for peer in entries))

    def close(self) -> None:
        """End all transfers."""
        for variant in list(self._jobs):
            self._end(variant, "the process ends")
        self._store.close()

    async def _run(self, job: _Job) -> None:
        self._log_started(job)
        retry_s = FIRST_RETRY_S
        while True:
            done = await self._attempt(job)
            if isinstance(done, Success):
                break
            error = done.failure()
            if error.kind in REFUSED and not job.is_stale:
                await self._wait_refused(job, error)
                continue
            is_engine = job.transfer is not None and job.transfer.is_complete
            service = "engine" if is_engine else "store"
            self._log.event("platform_down", service=service, detail=error.detail)
            # Jitter keeps the hosts of a fleet from asking the store in step.
            await self._manifests.wait(job.variant, retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(self._max_retry_s, retry_s * 2)
        received = job.transfer.receipts.total if job.transfer is not None else {}
        origin = received.get(ORIGIN, 0)
        peers = sum(received.values()) - origin
        self._log.event("transfer_done", **job.names, bytes_origin=origin, bytes_peers=peers)
        job.is_handed = True
        self.held.add(job.variant)

    def _log_started(self, job: _Job) -> None:
        if job.is_seed:
            self._log.event("seed_started", **job.names)
        else:
            self._log.event("transfer_started", **job.names)

    async def _wait_refused(self, job: _Job, error: Error) -> None:
        """Log a refused version once and wait until something may have changed."""
        self._drop_transfer(job)
        if job.refused != error.detail:
            job.refused = error.detail
            self._log.event(
                "transfer_refused",
                **job.names,
                detail=error.detail,
            )
        self._changed.clear()
        is_final = error.kind is ErrorKind.TOO_LARGE
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), None if is_final else REFUSED_RETRY_S)

    async def _attempt(self, job: _Job) -> Result[None, Error]:
        """Fetch the chunks of the store's present manifest and hand them to the engine."""
        if job.transfer is not None and job.transfer.is_complete:
            # Only the engine did not answer, so the verified chunks are handed over again.
            return await self._hand_over(job.transfer.assembly)
        was_stale, job.is_stale = job.is_stale, False
        # The names of hosts and not a manifest's digest stand for the transfer until it is known.
        self._manifests.request_manifest(
            job.variant, self._participants.overlay(job.variant, str(job.variant))
        )
        self._participants.link_up(self._manifests.neighbours())
        found = await self._manifests.obtain(job.variant, is_store_only=was_stale)
        if isinstance(found, Failure):
            return Failure(found.failure())
        manifest = found.unwrap()
        problem = self._problem_of(job, manifest)
        if problem is not None:
            return Failure(problem)
        done = asyncio.Event()
        self._drop_transfer(job)
        job.transfer = self._start(job, manifest, done)
        self._manifests.drop(job.variant)
        # What is staged belongs to an older version than a seed.
        if self._preload is not None and not job.is_seed:
            await self._preload(job.transfer)
        while not done.is_set():
            if job.is_stale:
                detail = f"the store no longer has a chunk of {job.variant}"
                return Failure(Error(kind=ErrorKind.BAD_MANIFEST, detail=detail))
            self.on_tick()
            self._rank(job, job.transfer)
            job.transfer.tick()
            self._participants.link_up(job.transfer.assembly.planner.neighbours(now()))
            await asyncio.sleep(TICK_S)
        return await self._hand_over(job.transfer.assembly)

    def _problem_of(self, job: _Job, manifest: Manifest) -> Error | None:
        pinned_digest = self._participants.pinned_digest(job.variant)
        if pinned_digest and pinned_digest != manifest.own_digest:
            detail = f"the manifest of {job.variant} is not the one that the ticket pins"
            return Error(kind=ErrorKind.BAD_MANIFEST, detail=detail)
        bound = self._cfg.weights.memory_bytes
        if manifest.size > bound:
            return _too_large(manifest)
        for variant, other in list(self._jobs.items()):
            is_over = self._held_bytes(but=job.transfer) + manifest.size > bound
            if is_over and other.is_handed and not job.is_seed:
                self._end(variant, "its memory is needed")
        used = self._held_bytes(but=job.transfer)
        if used + manifest.size > bound:
            return _too_large(manifest)
        return None

    def _start(self, job: _Job, manifest: Manifest, done: asyncio.Event) -> ChunkTransfer:
        overlay = self._participants.overlay(manifest.variant, manifest.own_digest)
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
            job.is_stale = True

        transfer = ChunkTransfer(
            assembly=ChunkAssembly(manifest=manifest, planner=planner),
            store=self._store,
            links=self._links,
            uploads=self._uploads,
            log=self._log,
            metrics=self._metrics,
            on_complete=done.set,
            on_manifest_gone=on_manifest_gone,
        )
        self._rank(job, transfer)
        if self._store.probe.is_away:
            planner.set_origin_away(True, now())
        for peer in self._links.peers():
            if peer.host in overlay.hosts:
                transfer.greet(peer)
        return transfer

    def _rank(self, job: _Job, transfer: ChunkTransfer) -> None:
        """Keep a seed in the background while a wanted version has use for the link."""
        is_link_used = any(
            not other.is_seed
            and other.transfer is not None
            and not other.transfer.is_complete
            and not other.transfer.assembly.planner.is_stalled(now())
            for other in self._jobs.values()
        )
        transfer.assembly.planner.set_background(job.is_seed and is_link_used, now())

    def _unfinished(self) -> Variant | None:
        """Return the variant that has got least here, the one without a manifest first."""
        lacking = [v for v, job in self._jobs.items() if not job.is_handed]
        return min(lacking, key=self.share, default=None)

    def _on_probed(self, variant: Variant, manifest: Manifest) -> None:
        self._manifests.offer(variant, manifest)

    def _on_origin(self, passed_on: str) -> None:
        """Keep transfers from an origin that is away, and go on at once when it is back."""
        for transfer in self._transfers():
            transfer.assembly.planner.set_origin_away(self._store.probe.is_away, now())
        if not self._store.probe.is_away:
            self._manifests.wake(but=passed_on)
            for transfer in self._transfers():
                transfer.pump()

    def _follow_hosts(self) -> None:
        """Bring the transfers in line with the hosts that the tickets name at this time."""
        for transfer in self._transfers():
            manifest = transfer.manifest
            overlay = self._participants.overlay(manifest.variant, manifest.own_digest)
            if overlay.hosts != transfer.assembly.planner.hosts:
                transfer.assembly.planner.on_hosts(overlay)
                for peer in self._links.peers():
                    if peer.host in overlay.hosts:
                        transfer.greet(peer)

    def _manifest_of(self, variant: str) -> Manifest | None:
        found = (t.manifest for t in self._transfers() if str(t.manifest.variant) == variant)
        return next(found, None)

    def _transfers(self) -> list[ChunkTransfer]:
        return [job.transfer for job in self._jobs.values() if job.transfer is not None]

    def _transfer(self, manifest: str) -> ChunkTransfer | None:
        return next((t for t in self._transfers() if t.assembly.transfer == manifest), None)

    def _held_bytes(self, *, but: ChunkTransfer | None = None) -> int:
        return sum(t.manifest.size for t in self._transfers() if t is not but)

    def _drop_transfer(self, job: _Job) -> None:
        if job.transfer is not None:
            job.transfer.close()
            job.transfer = None

    def _end(self, variant: Variant, reason: str) -> None:
        job = self._jobs.pop(variant)
        self.held.discard(variant)
        if job.task is not None:
            job.task.cancel()
        self._drop_transfer(job)
        self._manifests.drop(variant)
        self._changed.set()
        if not job.is_handed:
            self._log.event(
                "transfer_stopped", model=variant.model, version=variant.version, reason=reason
            )

    def _on_up(self, peer: Peer) -> None:
        self._manifests.on_up(peer)
        for transfer in self._transfers():
            if peer.host in {
                spec.name for spec in self._participants.hosts(transfer.manifest.variant)
            }:
                transfer.greet(peer)

    def _on_down(self, peer: Peer) -> None:
        # Both ends may have dialed, so that a second link to the host can still be open.
        if self._links.peer(peer.host) is None:
            for transfer in self._transfers():
                transfer.on_lost(peer.host)

    def _on_state(self, peer: Peer, message: TransferState) -> None:
        if not message.manifest:
            self._manifests.on_asked(peer, message)
            return
        transfer = self._transfer(message.manifest)
        if transfer is not None:
            transfer.on_state(peer, message)

    def _on_want(self, peer: Peer, message: ChunkWant) -> None:
        transfer = self._transfer(message.manifest)
        if transfer is not None:
            transfer.on_want(peer, message)
        else:
            peer.send(ChunkNone(manifest=message.manifest, index=message.index))

    def _on_data(self, peer: Peer, message: ChunkData) -> None:
        if message.index == MANIFEST_INDEX:
            self._manifests.on_manifest_data(peer, message)
            return
        transfer = self._transfer(message.manifest)
        if transfer is not None:
            transfer.on_data(peer, message)

    def _on_none(self, peer: Peer, message: ChunkNone) -> None:
        transfer = self._transfer(message.manifest)
        if transfer is not None:
            transfer.on_none(peer, message)


def _too_large(manifest: Manifest) -> Error:
    detail = f"{manifest.variant}: {manifest.size} bytes do not fit weights.memory_bytes"
    return Error(kind=ErrorKind.TOO_LARGE, detail=detail)
