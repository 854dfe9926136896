"""Assembly of the verified chunks of one transfer."""

from collections.abc import Generator

from attrs import define, field
from returns.result import Failure, Result, Success

from wasabilb_core.distribution import ChunkFailure, ChunkPlanner
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import ContentCheck, Manifest, verify_chunk


@define(kw_only=True)
class ChunkAssembly:
    """Stores the verified chunks of one manifest and reports them to the planner.

    Chunks are identified by the digest of the manifest and their number, so a chunk of another
    version is refused even where numbers and sizes agree.

    Parameters
    ----------
    manifest : Manifest
        Manifest of the content to assemble.
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
        """Verify and store a chunk, and return whether it is new.

        Fails with `VERSION_MISMATCH` for a chunk of another transfer, which changes nothing, and
        with `BAD_CHUNK` for an invalid one, whose source is then avoided for some time.
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
        """Return a verified chunk of the given transfer, if it is stored."""
        return self._chunks.get(index) if transfer == self.transfer else None

    def content(self) -> Generator[None, None, Result[tuple[bytes, ...], Error]]:
        """Return all chunks in order after checking their common digest, one chunk per step."""
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
        """Drop all chunks because a newer version replaces this one."""
        self._is_abandoned = True
        self.planner.abandon()
        self._chunks.clear()
