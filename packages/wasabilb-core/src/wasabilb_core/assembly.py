"""The chunks of the one transfer that a host takes part in, each verified before it counts."""

from collections.abc import Generator

from attrs import define, field
from returns.result import Failure, Result, Success

from wasabilb_core.distribution import ChunkFailure, ChunkPlanner
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import ContentCheck, Manifest, verify_chunk


@define(kw_only=True)
class ChunkAssembly:
    """Holds verified chunks of one manifest and tells the planner about them.

    Chunks are named by the manifest's own digest and their number, so a chunk of another version
    is refused even where numbers and sizes agree.

    Parameters
    ----------
    manifest : Manifest
        What is assembled.
    planner : ChunkPlanner
        Planner of the same transfer.
    """

    manifest: Manifest
    planner: ChunkPlanner
    transfer: str = field(init=False)
    _chunks: dict[int, bytes] = field(init=False, factory=dict)
    _is_abandoned: bool = field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.transfer = self.manifest.canonical_digest

    def add(
        self, *, transfer: str, index: int, source: str, data: bytes, now: float
    ) -> Result[bool, Error]:
        """Verify a chunk and keep it; return whether it is new.

        Fails with `VERSION_MISMATCH` for a chunk of another transfer, which changes nothing, and
        with `BAD_CHUNK` for a wrong one, whose source is avoided from then on.
        """
        if transfer != self.transfer or self._is_abandoned:
            detail = f"chunk {index} belongs to another transfer than {self.manifest.variant}"
            return Failure(Error(kind=ErrorKind.VERSION_MISMATCH, detail=detail))
        checked = verify_chunk(self.manifest, index, data)
        if isinstance(checked, Failure):
            self.planner.on_chunk_failed(index, source, ChunkFailure.CORRUPT, now)
            return Failure(checked.failure())
        is_new = self.planner.on_chunk(index, source, now)
        if is_new:
            self._chunks[index] = data
        return Success(is_new)

    def chunk(self, transfer: str, index: int) -> bytes | None:
        """Return a verified chunk of the given transfer, if it is held."""
        return self._chunks.get(index) if transfer == self.transfer else None

    def verified_chunks(self) -> Generator[None, None, Result[tuple[bytes, ...], Error]]:
        """Return all chunks in order after checking the digest of the whole, a chunk a step."""
        if not self.planner.is_complete:
            detail = f"{self.manifest.variant} is not complete"
            return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))
        chunks = tuple(self._chunks[index] for index in range(len(self.manifest.chunks)))
        check = ContentCheck(manifest=self.manifest)
        for chunk in chunks:
            check.add(chunk)
            yield
        checked = check.result()
        return Failure(checked.failure()) if isinstance(checked, Failure) else Success(chunks)

    def abandon(self) -> None:
        """Drop all chunks, as a newer version replaces this one."""
        self._is_abandoned = True
        self.planner.abandon()
        self._chunks.clear()
