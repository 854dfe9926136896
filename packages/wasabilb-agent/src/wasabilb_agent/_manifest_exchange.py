"""Manifests: a few hosts read them from the store and pass them on to the others."""

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

# Stands in a `ChunkData` for the manifest itself; a manifest has at most 4,096 chunks.
MANIFEST_INDEX = (1 << 32) - 1
# Hosts of each region that read a manifest from the store at once.
READERS_PER_REGION = 2
# The next hosts of a region read it themselves when no peer has answered for such a time more, up
# to a bound; seconds. A manifest passes between two hosts in a tenth of it.
PEER_STEP_S = 0.25
PEER_WAIT_S = 2.0


@define(kw_only=True, eq=False)
class _Wanted:
    """A variant whose manifest this host lacks."""

    overlay: Overlay
    offered: Manifest | None = None
    arrived: asyncio.Event = field(factory=asyncio.Event)
    askers: set[str] = field(factory=set)


class ManifestExchange:
    """Gets manifests from peers or the store and gives them to peers.

    A `TransferState` without a manifest asks for the one of its variant. A host that lacks it
    answers as soon as it has it.

    Parameters
    ----------
    host, region : str
        This host.
    held_manifest : callable
        Returns the manifest that this host uses for a variant, if any.
    pinned : callable
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
        self._pinned = pinned_digest
        self._wanted: dict[Variant, _Wanted] = {}

    def request_manifest(self, variant: Variant, overlay: Overlay) -> None:
        """Ask linked hosts for a manifest; the overlay spans the variant's hosts."""
        found = self._wanted.setdefault(variant, _Wanted(overlay=overlay))
        found.overlay = overlay
        for peer in self._links.peers():
            self._ask(variant, found, peer)

    def drop(self, variant: Variant) -> None:
        """End the wish for a manifest and send the manifest to those that asked meanwhile."""
        wanted = self._wanted.pop(variant, None)
        manifest = self._held_manifest(str(variant))
        if wanted is None or manifest is None:
            return
        for host in sorted(wanted.askers):
            peer = self._links.peer(host)
            if peer is not None:
                self._send(peer, manifest)

    def neighbours(self) -> set[str]:
        """Return the hosts to be linked with, to hear of wanted manifests."""
        return {n for w in self._wanted.values() for n in w.overlay.neighbours(self._host)}

    async def obtain(self, variant: Variant, *, is_store_only: bool) -> Result[Manifest, Error]:
        """Return the manifest of a wanted variant from a peer or the store.

        Parameters
        ----------
        is_store_only : bool
            Whether peers are not trusted to have the newest one.
        """
        wanted = self._wanted[variant]
        turn = wanted.overlay.standing[self._region].index(self._host) // READERS_PER_REGION
        if turn and not is_store_only:
            wait_s = min(PEER_WAIT_S, turn * PEER_STEP_S)
            await self._wait_peers(wanted, wait_s * self._rng.uniform(1.0, 2.0))
        if wanted.offered is not None and not is_store_only:
            return Success(wanted.offered)
        found = await self._store.manifest(variant)
        if isinstance(found, Failure) and not is_store_only and wanted.offered is not None:
            return Success(wanted.offered)
        return found

    async def wait(self, variant: Variant, timeout_s: float) -> None:
        """Wait for a peer's manifest, at most so long."""
        wanted = self._wanted.get(variant)
        if wanted is None or wanted.offered is not None:
            await asyncio.sleep(timeout_s)
        else:
            await self._wait_peers(wanted, timeout_s)

    def offer(self, variant: Variant, manifest: Manifest) -> None:
        """Take a manifest that the store has given to a probe."""
        wanted = self._wanted.get(variant)
        if wanted is not None:
            wanted.offered = manifest
            wanted.arrived.set()

    def wake(self, *, but: str) -> None:
        """End the waits, as the store answers again, but for a variant that peers pass on."""
        for variant, wanted in self._wanted.items():
            if str(variant) != but:
                wanted.arrived.set()

    def on_up(self, peer: Peer) -> None:
        """Ask a new peer for what is wanted."""
        for variant, wanted in self._wanted.items():
            self._ask(variant, wanted, peer)

    def on_asked(self, peer: Peer, message: TransferState) -> None:
        """Answer a peer that lacks a manifest, now or when it is here."""
        manifest = self._held_manifest(message.variant)
        if manifest is not None:
            self._send(peer, manifest)
            return
        for variant, wanted in self._wanted.items():
            if str(variant) == message.variant and peer.host in wanted.overlay.hosts:
                wanted.askers.add(peer.host)

    def on_manifest_data(self, peer: Peer, message: ChunkData) -> None:
        """Take a manifest that was asked for, if it is whole and the one that a ticket pins."""
        if not self._wanted or hashlib.sha256(message.payload).hexdigest() != message.manifest:
            return
        parsed = parse_manifest(message.payload)
        if isinstance(parsed, Failure):
            return
        manifest = parsed.unwrap()
        wanted = self._wanted.get(manifest.variant)
        is_pinned = self._pinned(manifest.variant) in ("", manifest.own_digest)
        if wanted is None or peer.host not in wanted.overlay.hosts or not is_pinned:
            return
        wanted.offered = manifest
        wanted.arrived.set()

    async def _wait_peers(self, wanted: _Wanted, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(wanted.arrived.wait(), timeout_s)
        if wanted.offered is None:
            wanted.arrived.clear()

    def _ask(self, variant: Variant, wanted: _Wanted, peer: Peer) -> None:
        if peer.host in wanted.overlay.hosts:
            peer.send(TransferState(variant=str(variant), manifest="", held=b""))

    def _send(self, peer: Peer, manifest: Manifest) -> None:
        peer.send(
            ChunkData(
                manifest=manifest.own_digest,
                index=MANIFEST_INDEX,
                offset=0,
                is_last=True,
                payload=manifest.to_json(),
            )
        )
