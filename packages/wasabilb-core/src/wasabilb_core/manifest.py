"""Manifests: the chunks of the weights of one model, adapter and version."""

import hashlib
import json
import re
from collections.abc import Iterable
from functools import cached_property
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.tickets import Variant

# 4,096 digests keep the manifest below 512 KiB and a bitmap within 512 bytes. With chunks of at
# most 64 MiB that covers 256 GiB of weights; small models use small chunks.
MAX_CHUNKS = 4096
MAX_CHUNK_BYTES = 64 << 20
MAX_MANIFEST_BYTES = 512 << 10
# A frame is at most 2 MiB, so a larger chunk travels in pieces.
MAX_PIECE_BYTES = 1 << 20

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MANIFEST_KEYS = frozenset(
    {"model", "version", "adapter", "size", "chunk_size", "chunks", "digest"}
)


@frozen(kw_only=True)
class Manifest:
    """The chunks of one complete set of weights.

    Parameters
    ----------
    model, version, adapter : str
        Identity of the weights; `adapter` is empty for none.
    size : int
        Size of the whole content, bytes.
    chunk_size : int
        Size of every chunk but the last, which may be shorter, bytes.
    chunks : tuple of str
        SHA-256 of each chunk in hex.
    digest : str
        SHA-256 of the whole content in hex; empty where the origin gives only those of chunks.
    """

    model: str
    version: str
    adapter: str
    size: int
    chunk_size: int
    chunks: tuple[str, ...]
    digest: str

    @property
    def variant(self) -> Variant:
        """Return the variant of the weights."""
        return Variant(model=self.model, adapter=self.adapter, version=self.version)

    @cached_property
    def canonical_digest(self) -> str:
        """Return the SHA-256 of the manifest's canonical JSON, which a ticket may pin."""
        return hashlib.sha256(self.to_json()).hexdigest()

    def to_json(self) -> bytes:
        """Return the canonical JSON: sorted keys, no spaces, ASCII only."""
        data = {name: getattr(self, name) for name in _MANIFEST_KEYS}
        return json.dumps(data, sort_keys=True, separators=(",", ":")).encode("ascii")

    def chunk_length(self, index: int) -> int:
        """Return the size of one chunk, bytes."""
        return min(self.chunk_size, self.size - index * self.chunk_size)


def parse_manifest(data: bytes) -> Result[Manifest, Error]:
    """Parse a manifest from JSON, or fail with `BAD_MANIFEST`."""
    if len(data) > MAX_MANIFEST_BYTES:
        return _manifest_error(f"{len(data)} bytes, expected at most {MAX_MANIFEST_BYTES}")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as exc:
        return _manifest_error(f"not JSON: {type(exc).__name__}")
    if not isinstance(raw, dict) or set(raw) != _MANIFEST_KEYS:
        return _manifest_error(
            f"expected an object with exactly the keys {', '.join(sorted(_MANIFEST_KEYS))}"
        )
    problem = _first_problem(raw)
    if problem is not None:
        return _manifest_error(problem)
    return Success(Manifest(**{**raw, "chunks": tuple(raw["chunks"])}))


def verify_chunk(manifest: Manifest, index: int, data: bytes) -> Result[None, Error]:
    """Check one chunk's length and digest, or fail with `BAD_CHUNK`."""
    if not 0 <= index < len(manifest.chunks):
        return _chunk_error(f"no chunk {index} in {manifest.variant}")
    if len(data) != manifest.chunk_length(index):
        return _chunk_error(f"chunk {index} of {manifest.variant} has {len(data)} bytes")
    if hashlib.sha256(data).hexdigest() != manifest.chunks[index]:
        return _chunk_error(f"chunk {index} of {manifest.variant} does not match its digest")
    return Success(None)


def verify_content(manifest: Manifest, chunks: Iterable[bytes]) -> Result[None, Error]:
    """Check the number, total size and digest of all chunks in order."""
    check = ContentCheck(manifest=manifest)
    for chunk in chunks:
        check.add(chunk)
    return check.result()


class ContentCheck:
    """Checks the whole content chunk by chunk, so that the caller can do other work in between.

    Parameters
    ----------
    manifest : Manifest
        Manifest of the expected content.
    """

    def __init__(self, *, manifest: Manifest) -> None:
        self._manifest = manifest
        self._digest = hashlib.sha256()
        self._size = self._count = 0

    def add(self, chunk: bytes) -> None:
        """Add the next chunk in order."""
        self._digest.update(chunk)
        self._size += len(chunk)
        self._count += 1

    def result(self) -> Result[None, Error]:
        """Succeed when the chunks are the whole content, or fail with `BAD_CHUNK`."""
        manifest = self._manifest
        is_whole = self._count == len(manifest.chunks) and self._size == manifest.size
        is_same = manifest.digest in ("", self._digest.hexdigest())
        if not is_whole or not is_same:
            return _chunk_error(f"the content of {manifest.variant} does not match its digest")
        return Success(None)


def _first_problem(raw: dict[str, Any]) -> str | None:
    """Return a message about the first invalid value of a manifest with the right keys."""
    for key, is_optional in (("model", False), ("version", False), ("adapter", True)):
        value = raw[key]
        is_absent = is_optional and value == ""
        if not isinstance(value, str) or not (is_absent or _NAME_PATTERN.fullmatch(value)):
            return f"{key} is not a name"
    for key, bound in (("size", MAX_CHUNKS * MAX_CHUNK_BYTES), ("chunk_size", MAX_CHUNK_BYTES)):
        if type(raw[key]) is not int or not 0 < raw[key] <= bound:
            return f"{key} is not an integer from 1 to {bound}"
    chunks = raw["chunks"]
    if not isinstance(chunks, list) or len(chunks) > MAX_CHUNKS:
        return f"chunks is not a list of at most {MAX_CHUNKS} digests"
    if len(chunks) != -(-raw["size"] // raw["chunk_size"]):
        return f"{len(chunks)} chunks do not make up {raw['size']} bytes"
    for value in [*chunks, *([raw["digest"]] if raw["digest"] != "" else [])]:
        if not isinstance(value, str) or not _DIGEST_PATTERN.fullmatch(value):
            return "a digest is not a SHA-256 in hex"
    return None


def _manifest_error(detail: str) -> Result[Manifest, Error]:
    return Failure(Error(kind=ErrorKind.BAD_MANIFEST, detail=f"manifest: {detail}"))


def _chunk_error(detail: str) -> Result[None, Error]:
    return Failure(Error(kind=ErrorKind.BAD_CHUNK, detail=detail))
