"""Weights and served versions of the engine stand-in, and the orders that change them."""

import asyncio
import hashlib
from collections.abc import Callable
from typing import Any

from wasabilb_core.tickets import Variant

from wasabilb_standins.base import ErrorAnswer


class EngineWeights:
    """Digests of verified chunks, and the chunk lists of complete variants.

    The agent uploads each chunk, then commits the manifest's list of chunk digests for its variant.
    The commit is refused while a chunk is missing. The content of chunks is not stored.
    """

    def __init__(self) -> None:
        self._chunks: dict[str, int] = {}
        self._committed: dict[Variant, tuple[str, ...] | None] = {}

    def preload(self, variant: Variant) -> None:
        """Add a variant without chunks, as if the engine was started with it."""
        self._committed[variant] = None

    def put(self, digest: str, content: bytes) -> bool:
        """Verify and record a chunk; return whether it is new."""
        actual = hashlib.sha256(content).hexdigest()
        if actual != digest:
            raise ErrorAnswer(409, "wrong-digest", expected=digest, actual=actual)
        is_new = digest not in self._chunks
        self._chunks[digest] = len(content)
        return is_new

    def commit(self, variant: Variant, digests: list[str]) -> None:
        """Mark a variant as complete."""
        missing = [digest for digest in digests if digest not in self._chunks]
        if missing or not digests:
            raise ErrorAnswer(409, "missing-chunks", missing=missing)
        self._committed[variant] = tuple(digests)

    def check(self, variant: Variant, digests: list[str] | None) -> None:
        """Refuse a load unless the variant is complete and has the given chunk list, if any."""
        if variant not in self._committed:
            raise ErrorAnswer(409, "not-committed", variant=str(variant))
        held = self._committed[variant]
        if digests is not None and held is not None and tuple(digests) != held:
            missing = [digest for digest in digests if digest not in held]
            raise ErrorAnswer(409, "other-manifest", missing=missing)

    def drop(self, variant: Variant) -> None:
        """Remove a variant and the chunks that no other committed variant uses."""
        unused = set(self._committed.pop(variant, None) or ())
        for digests in self._committed.values():
            unused.difference_update(digests or ())
        for digest in unused:
            self._chunks.pop(digest, None)

    def to_json(self) -> dict[str, Any]:
        """Return the held variants and chunks for the report."""
        return {
            "committed": sorted(str(variant) for variant in self._committed),
            "chunks": sorted(self._chunks),
            "bytes": sum(self._chunks.values()),
        }


class Deployments:
    """Serving variant of each model and adapter, and loads in progress.

    A load replaces the serving version at once at its end. A newer load of the same model and
    adapter cancels the one in progress.

    Parameters
    ----------
    load_s : callable
        Returns the current duration of a load, in seconds.
    on_change : callable
        Called after each change.
    """

    def __init__(
        self,
        *,
        weights: EngineWeights,
        load_s: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._weights = weights
        self._load_s = load_s
        self._on_change = on_change
        self._serving: dict[tuple[str, str], Variant] = {}
        self._loads: dict[tuple[str, str], tuple[Variant, asyncio.Task[None]]] = {}
        self.role = "any"
        self.highest_fence = 0

    def preload(self, variant: Variant) -> None:
        """Serve a variant from the start."""
        self._weights.preload(variant)
        self._serving[(variant.model, variant.adapter)] = variant

    def serving(self, model: str, adapter: str) -> Variant | None:
        """Return the variant that serves new requests."""
        return self._serving.get((model, adapter))

    def order(self, *, body: dict[str, Any], is_fencing: bool) -> None:
        """Execute an order or refuse it."""
        fence, action = body.get("fence"), body.get("action")
        if not isinstance(fence, int) or isinstance(fence, bool):
            raise ErrorAnswer(400, "fence must be an integer")
        if is_fencing and fence < self.highest_fence:
            raise ErrorAnswer(409, "stale-fence", highest=self.highest_fence)
        if action == "role":
            self.role = str(body.get("role", "any"))
        elif action in ("load", "unload"):
            variant = Variant(
                model=str(body.get("model", "")),
                adapter=str(body.get("adapter") or ""),
                version=str(body.get("version", "")),
            )
            if action == "load":
                self._load(variant, body.get("digests"))
            else:
                self._unload(variant)
        else:
            raise ErrorAnswer(400, f"unknown action {action!r}")
        self.highest_fence = max(self.highest_fence, fence)
        self._on_change()

    def to_json(self) -> list[dict[str, str]]:
        """Return the serving and loading versions for the report."""
        keys = sorted({*self._serving, *self._loads})
        return [
            {
                "model": key[0],
                "adapter": key[1],
                "version": self._serving[key].version if key in self._serving else "",
                "loading": self._loads[key][0].version if key in self._loads else "",
            }
            for key in keys
        ]

    def stop(self) -> None:
        """Cancel all loads."""
        for _, task in self._loads.values():
            task.cancel()
        self._loads.clear()

    def _load(self, variant: Variant, digests: list[str] | None) -> None:
        self._weights.check(variant, digests)
        key = (variant.model, variant.adapter)
        current = self._loads.get(key)
        if current and current[0] == variant:
            return
        if current:
            current[1].cancel()
            del self._loads[key]
        if self._serving.get(key) != variant:
            self._loads[key] = (variant, asyncio.ensure_future(self._finish_load(key, variant)))

    async def _finish_load(self, key: tuple[str, str], variant: Variant) -> None:
        await asyncio.sleep(self._load_s())
        del self._loads[key]
        self._serving[key] = variant
        self._on_change()

    def _unload(self, variant: Variant) -> None:
        key = (variant.model, variant.adapter)
        loading = self._loads.get(key)
        if loading and loading[0] == variant:
            loading[1].cancel()
            del self._loads[key]
        if self._serving.get(key) == variant:
            del self._serving[key]
        self._weights.drop(variant)
