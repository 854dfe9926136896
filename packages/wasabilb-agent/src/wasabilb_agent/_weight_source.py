"""Where manifests and chunks come from when no peer has them."""

from typing import Protocol

from returns.result import Result
from wasabilb_core.errors import Error
from wasabilb_core.manifest import Manifest
from wasabilb_core.tickets import Variant


class WeightSource(Protocol):
    """The origin of weights."""

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant; one that names another variant is refused."""

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified; `NOT_FOUND` when the origin does not have it any more."""

    def close(self) -> None:
        """Release connections."""
