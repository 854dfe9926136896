"""Source of the manifests and chunks that no peer has."""

from typing import Protocol, TypeVar

from attrs import frozen
from returns.result import Failure, Result
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now

T = TypeVar("T")


class WeightSource(Protocol):
    """The origin of weights."""

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant; one that names another variant is refused."""

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified; `NOT_FOUND` if the origin no longer has it."""

    def close(self) -> None:
        """Release connections."""


@frozen(kw_only=True)
class TrackedSource:
    """An origin of weights whose outages are recorded.

    Parameters
    ----------
    source : WeightSource
        The origin.
    uptime : OriginUptime
        Records the result of each read.
    """

    source: WeightSource
    uptime: OriginUptime

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant."""
        return self._track(await self.source.manifest(variant))

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified."""
        return self._track(await self.source.chunk(manifest, index))

    def close(self) -> None:
        """Release connections."""
        self.source.close()

    def _track(self, result: Result[T, Error]) -> Result[T, Error]:
        is_away = (
            isinstance(result, Failure) and result.failure().kind is ErrorKind.PLATFORM_UNAVAILABLE
        )
        self.uptime.on_read(now(), is_answered=not is_away)
        return result
