"""Stand-in for the weight store: manifests and chunks at a limited total rate."""

import asyncio
import json
from collections import Counter
from typing import Any

from attrs import field, frozen
from attrs.validators import in_, instance_of
from tornado.web import Finish
from wasabilb_core.tickets import Variant

from wasabilb_standins.base import STANDINS, ErrorAnswer, Handler, Standin
from wasabilb_standins.pacing import Pacer
from wasabilb_standins.store_content import ContentSpec, chunk_bytes, chunk_digests, manifest_of


@frozen(kw_only=True)
class StoreSettings:
    """Behaviour of the store without faults.

    Parameters
    ----------
    size, adapter_size : int
        Bytes of a model version and of an adapter version.
    chunk_size : int
        Bytes of a chunk.
    bytes_per_s : float
        Total rate over all connections; 0 is unlimited.
    seed : int
        Seed of the content.
    """

    size: int = 1 << 20
    adapter_size: int = 1 << 18
    chunk_size: int = 1 << 16
    bytes_per_s: float = 0.0
    seed: int = 0


@frozen(kw_only=True)
class StoreFaults:
    """Faults of the store.

    Parameters
    ----------
    corrupt_every : int
        Interval, in chunk answers, at which a bit is flipped; 0 is never.
    stall : bool
        Send nothing, including the rest of open answers.
    down : str
        `503` answers with this status, `drop` closes the connection; `stop()` refuses connections.
    revisions : dict
        Revision of the content by variant (`model[+adapter]@version`). A change replaces the
        manifest; chunks of earlier revisions are no longer found.
    """

    corrupt_every: int = field(default=0, validator=instance_of(int))
    stall: bool = field(default=False, validator=instance_of(bool))
    down: str = field(default="", converter=str, validator=in_(("", "503", "drop")))
    revisions: dict[str, int] = field(factory=dict, validator=instance_of(dict))


@STANDINS.register("store")
class Store(Standin[StoreSettings, StoreFaults]):
    """Store with every version of every model; the content is generated from the name."""

    settings_type = StoreSettings
    faults_type = StoreFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pacer = Pacer(bytes_per_s=self.settings.bytes_per_s)
        self.sent_chunk_bytes: Counter[str] = Counter()
        self.sent_manifest_bytes = 0
        self.chunk_requests = 0
        self._chunk_positions: dict[str, tuple[Variant, int]] = {}

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return the store's paths."""
        return [
            (r"/v1/manifests/([^/]+)/([^/]+)", ManifestHandler),
            (r"/v1/chunks/([0-9a-f]{64})", ChunkHandler),
        ]

    def spec(self, variant: Variant) -> ContentSpec:
        """Return the specification of the current content of a variant."""
        cfg = self.settings
        return ContentSpec(
            variant=variant,
            size=cfg.adapter_size if variant.adapter else cfg.size,
            chunk_size=cfg.chunk_size,
            seed=cfg.seed,
            revision=self.faults.revisions.get(str(variant), 0),
        )

    def manifest(self, variant: Variant) -> dict[str, Any]:
        """Return the manifest of a variant and make its chunks available."""
        spec = self.spec(variant)
        manifest = manifest_of(spec)
        for index, digest in enumerate(manifest["chunks"]):
            self._chunk_positions[digest] = (variant, index)
        return manifest

    def chunk(self, digest: str) -> bytes | None:
        """Return a chunk of a requested manifest, None for any other digest."""
        variant, index = self._chunk_positions.get(digest, (None, 0))
        if variant is None:
            return None
        spec = self.spec(variant)
        if chunk_digests(spec)[0][index] != digest:
            return None
        return chunk_bytes(spec, index)

    def is_next_corrupt(self) -> bool:
        """Count a chunk answer and return whether to corrupt it."""
        self.chunk_requests += 1
        every = self.faults.corrupt_every
        return every > 0 and self.chunk_requests % every == 0

    def record(self) -> dict[str, Any]:
        """Return the bytes sent in total, in manifests and per chunk."""
        return {
            "total": self.sent_manifest_bytes + sum(self.sent_chunk_bytes.values()),
            "manifest_bytes": self.sent_manifest_bytes,
            "chunks": dict(self.sent_chunk_bytes),
            "chunk_requests": self.chunk_requests,
        }


class StoreHandler(Handler):
    """Base class of handlers that send a body at the store's rate."""

    standin: Store

    def check_available(self) -> None:
        """Refuse the request or drop its connection if the store is down."""
        if self.standin.faults.down == "503":
            raise ErrorAnswer(503, "the store is down")
        if self.standin.faults.down == "drop":
            self.cut()
            raise Finish()

    async def send(self, body: bytes, digest: str = "") -> None:
        """Send a body in slices and count its bytes."""
        store = self.standin
        self.set_header("Content-Length", str(len(body)))
        size = store.pacer.slice_bytes
        for start in range(0, len(body), size):
            part = body[start : start + size]
            await self.wait_or_finish(asyncio.sleep(store.pacer.delay_s(len(part))))
            while store.faults.stall:
                await self.wait_or_finish(store.wait_for_change())
            if store.faults.down:
                self.cut()
                raise Finish()
            self.write(part)
            await self.wait_or_finish(self.flush())
            if digest:
                store.sent_chunk_bytes[digest] += len(part)
            else:
                store.sent_manifest_bytes += len(part)


class ManifestHandler(StoreHandler):
    """`GET /v1/manifests/MODEL/VERSION[?adapter=A]`."""

    async def get(self, model: str, version: str) -> None:
        """Send the manifest."""
        self.check_available()
        adapter = self.get_query_argument("adapter", "")
        manifest = self.standin.manifest(Variant(model=model, adapter=adapter, version=version))
        self.set_header("Content-Type", "application/json")
        await self.send(json.dumps(manifest).encode())


class ChunkHandler(StoreHandler):
    """`GET /v1/chunks/DIGEST`."""

    async def get(self, digest: str) -> None:
        """Send the bytes of the chunk."""
        self.check_available()
        content = self.standin.chunk(digest)
        if content is None:
            raise ErrorAnswer(404, "no such chunk")
        if self.standin.is_next_corrupt():
            content = bytes((content[0] ^ 1,)) + content[1:]
        self.set_header("Content-Type", "application/octet-stream")
        await self.send(content, digest)
