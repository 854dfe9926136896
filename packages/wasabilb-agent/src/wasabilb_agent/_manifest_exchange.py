"""Exchange of manifests: a few hosts read them from the store and forward them to the others."""

import asyncio
import contextlib
import hashlib
import random
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Result, Success
from wasabilb_core.distribution import Overlay
from wasabilb_core.errors import Error
from wasabilb_core.manifest import Manifest, parse_manifest
from wasabilb_core.tickets import Variant
from wasabilb_node.links import LinkManager, Peer
from wasabilb_wire.messages import ChunkData, TransferState

from wasabilb_agent._weight_source import WeightSource

# Index of a `ChunkData` that carries the manifest; a manifest has at most 4,096 chunks.
MANIFEST_INDEX = (1 << 32) - 1
# Hosts of each region that read a manifest from the store without waiting for peers.
READERS_PER_REGION = 2
# Each further group of hosts of a region waits this much longer for a peer before it reads the
# store, up to a bound; seconds. A manifest passes between two hosts in a tenth of it.
PEER_WAIT_STEP_S = 0.25
MAX_PEER_WAIT_S = 2.0


@define(kw_only=True, eq=False)
class _WantedManifest:
    """A variant whose manifest this host lacks."""

    overlay: Overlay
    offered_manifest: Manifest | None = None
    arrived: asyncio.Event = field(factory=asyncio.Event)
    requesting_hosts: set[str] = field(factory=set)


class ManifestExchange:
    """Exchange of manifests with peers, with the store as their source.

    A `TransferState` without a manifest requests the manifest of its variant. A host that lacks
    it answers once it has it.

    Parameters
    ----------
    host, region : str
        Name and region of this host.
    held_manifest : callable
        Returns the manifest that this host uses for a variant, if any.
    pinned_digest : callable
        Returns the manifest digest that the ticket pins for a variant, empty for none.
    """

    def __init__(
        self,
        *,
        host: str,
        region: str,
        links: LinkManager,
        store: WeightSource,
        rng: random.Random,
        held_manifest: Callable[[str], Manifest | None],
        pinned_digest: Callable[[Variant], str],
    ) -> None:
        self._host = host
        self._region = region
        self._links = links
        self._store = store
        self._rng = rng
        self._held_manifest = held_manifest
        self._pinned_digest = pinned_digest
        self._wanted: dict[Variant, _WantedManifest] = {}

    def request_manifest(self, variant: Variant, overlay: Overlay) -> None:
        """Request a manifest from linked hosts; the overlay spans the variant's hosts."""
        wanted = self._wanted.setdefault(variant, _WantedManifest(overlay=overlay))
        wanted.overlay = overlay
        for peer in self._links.peers():
            self._request_from(variant, wanted, peer)

    def end_request(self, variant: Variant) -> None:
        """End the request for a manifest and send the manifest to the peers that requested it."""
        wanted = self._wanted.pop(variant, None)
        manifest = self._held_manifest(str(variant))
        if wanted is None or manifest is None:
            return
        for host in sorted(wanted.requesting_hosts):
            peer = self._links.peer(host)
            if peer is not None:
                self._send_manifest(peer, manifest)

    def neighbours(self) -> set[str]:
        """Return the hosts to link with to receive wanted manifests."""
        return {n for w in self._wanted.values() for n in w.overlay.neighbours(self._host)}

    async def obtain(self, variant: Variant, *, is_store_only: bool) -> Result[Manifest, Error]:
        """Return the manifest of a wanted variant from a peer or the store.

        Parameters
        ----------
        is_store_only : bool
            Whether to skip peers, which may not have the newest one.
        """
        wanted = self._wanted[variant]
        turn = wanted.overlay.fetch_order[self._region].index(self._host) // READERS_PER_REGION
        if turn and not is_store_only:
            wait_s = min(MAX_PEER_WAIT_S, turn * PEER_WAIT_STEP_S)
            await self._wait_for_offer(wanted, wait_s * self._rng.uniform(1.0, 2.0))
        if wanted.offered_manifest is not None and not is_store_only:
            return Success(wanted.offered_manifest)
        found = await self._store.manifest(variant)
        if isinstance(found, Failure) and not is_store_only and wanted.offered_manifest is not None:
            return Success(wanted.offered_manifest)
        return found

    async def wait_for_offer(self, variant: Variant, timeout_s: float) -> None:
        """Wait for a peer's manifest until a timeout."""
        wanted = self._wanted.get(variant)
        if wanted is None or wanted.offered_manifest is not None:
            await asyncio.sleep(timeout_s)
        else:
            await self._wait_for_offer(wanted, timeout_s)

    def offer(self, variant: Variant, manifest: Manifest) -> None:
        """Add a manifest that a probe has read from the store."""
        wanted = self._wanted.get(variant)
        if wanted is not None:
            wanted.offered_manifest = manifest
            wanted.arrived.set()

    def wake_waiters(self, *, except_for: str) -> None:
        """End the waits, as the store answers again, except for a variant that peers forward."""
        for variant, wanted in self._wanted.items():
            if str(variant) != except_for:
                wanted.arrived.set()

    def on_link_up(self, peer: Peer) -> None:
        """Request the wanted manifests from a new peer."""
        for variant, wanted in self._wanted.items():
            self._request_from(variant, wanted, peer)

    def on_manifest_request(self, peer: Peer, message: TransferState) -> None:
        """Send a peer the manifest that it lacks, now or once this host has it."""
        manifest = self._held_manifest(message.variant)
        if manifest is not None:
            self._send_manifest(peer, manifest)
            return
        for variant, wanted in self._wanted.items():
            if str(variant) == message.variant and peer.host in wanted.overlay.hosts:
                wanted.requesting_hosts.add(peer.host)

    def on_manifest_data(self, peer: Peer, message: ChunkData) -> None:
        """Accept a wanted manifest if it is intact and matches a pinned digest."""
        if not self._wanted or hashlib.sha256(message.payload).hexdigest() != message.manifest:
            return
        parsed = parse_manifest(message.payload)
        if isinstance(parsed, Failure):
            return
        manifest = parsed.unwrap()
        wanted = self._wanted.get(manifest.variant)
        is_pinned = self._pinned_digest(manifest.variant) in ("", manifest.canonical_digest)
        if wanted is None or peer.host not in wanted.overlay.hosts or not is_pinned:
            return
        wanted.offered_manifest = manifest
        wanted.arrived.set()

    async def _wait_for_offer(self, wanted: _WantedManifest, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(wanted.arrived.wait(), timeout_s)
        if wanted.offered_manifest is None:
            wanted.arrived.clear()

    def _request_from(self, variant: Variant, wanted: _WantedManifest, peer: Peer) -> None:
        if peer.host in wanted.overlay.hosts:
            peer.send(TransferState(variant=str(variant), manifest="", held=b""))

    def _send_manifest(self, peer: Peer, manifest: Manifest) -> None:
        peer.send(
            ChunkData(
                manifest=manifest.canonical_digest,
                index=MANIFEST_INDEX,
                offset=0,
                is_last=True,
                payload=manifest.to_json(),
            )
        )
