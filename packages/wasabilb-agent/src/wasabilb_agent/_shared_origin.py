"""Access to the origin of weights; hosts take turns in probing it during an outage."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import define, field
from returns.result import Failure, Result, Success
from wasabilb_core.errors import Error, ErrorKind, unavailable
from wasabilb_core.manifest import Manifest
from wasabilb_core.origin_probe import OriginProbe
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import OriginAnswer

from wasabilb_agent._weight_source import WeightSource

# An origin whose link is full answers after up to 1 s and must not count as unavailable. A host
# has one probe in flight, so a longer timeout would cost it turns.
PROBE_TIMEOUT_S = 1.5

T = TypeVar("T")


@define(kw_only=True, eq=False)
class SharedOrigin:
    """A `WeightSource` that gets only this host's probes during an outage.

    Parameters
    ----------
    store : WeightSource
        The origin.
    probe : OriginProbe
        Availability of the origin as observed by this host.
    links : LinkManager
        Links to the hosts that share probes.
    hosts : callable
        Returns the names of these hosts for a variant.
    wanted_variant : callable
        Returns the variant whose manifest a probe reads, None when nothing is wanted.
    on_change : callable
        Called when the origin fails or returns, with the variant whose manifest another host
        has read from it, empty for none.
    on_manifest : callable
        Called with the manifest that a probe has read.
    """

    store: WeightSource
    probe: OriginProbe
    links: LinkManager
    log: EventLog
    hosts: Callable[[Variant], list[str]]
    wanted_variant: Callable[[], Variant | None]
    on_change: Callable[[str], None]
    on_manifest: Callable[[Variant, Manifest], None]
    _probe_task: "asyncio.Task[None] | None" = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.links.set_handler(OriginAnswer, self._on_origin_answer)

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant, or fail at once while the origin is unavailable."""
        if self.probe.is_away:
            return unavailable("the origin is unavailable")
        return await self._observe(self.store.manifest(variant))

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified, or fail at once while the origin is unavailable."""
        if self.probe.is_away:
            return unavailable("the origin is unavailable")
        return await self._observe(self.store.chunk(manifest, index))

    def close(self) -> None:
        """Cancel the probes and release connections."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        self.store.close()

    async def _observe(self, read: Awaitable[Result[T, Error]]) -> Result[T, Error]:
        sent_at = now()
        result = await read
        is_failure = isinstance(result, Failure)
        if not is_failure or result.failure().kind is not ErrorKind.PLATFORM_UNAVAILABLE:
            self._on_answer()
        elif self.probe.on_failure(sent_at=sent_at, now=now()):
            self.log.event("platform_down", service="store", detail=result.failure().detail)
            self.on_change("")
            # The probe of an earlier outage may still wait for its turn; it serves this one too.
            if self._probe_task is None or self._probe_task.done():
                self._probe_task = asyncio.ensure_future(self._probe())
        return result

    async def _probe(self) -> None:
        """Probe in this host's turns until it or another host gets an answer."""
        while self.probe.is_away:
            variant = self.wanted_variant()
            if variant is None:
                # A later variant is read directly, as the state of the origin is unknown then.
                self.probe.on_answer()
                return
            next_slot_in_s = self.probe.next_slot_in_s(self.hosts(variant), wall_s=wall_ms() / 1000)
            await asyncio.sleep(next_slot_in_s)
            if not self.probe.is_away:
                return
            result: Result[Manifest, Error] = unavailable("no answer to a probe")
            with contextlib.suppress(TimeoutError):
                result = await asyncio.wait_for(self.store.manifest(variant), PROBE_TIMEOUT_S)
            if isinstance(result, Success):
                self.on_manifest(variant, result.unwrap())
                self._on_answer(variant=str(variant))
            elif result.failure().kind is not ErrorKind.PLATFORM_UNAVAILABLE:
                self._on_answer()

    def _on_origin_answer(self, peer: Peer, message: OriginAnswer) -> None:
        self._on_answer(relaying_host=peer.host, variant=message.variant)

    def _on_answer(self, *, relaying_host: str = "", variant: str = "") -> None:
        """Resume reads from the origin and forward its return to other hosts."""
        if not self.probe.on_answer():
            return
        self.log.event("platform_up", service="store")
        peers = self.links.peers(role=self.links.identity.role)
        others = [peer for peer in peers if peer.host != relaying_host]
        self.links.multicast(OriginAnswer(variant=variant), others)
        self.on_change(variant if relaying_host else "")
