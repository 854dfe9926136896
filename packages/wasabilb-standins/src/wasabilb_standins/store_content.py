"""Content of the store, as pure functions from which checks can compute every byte."""

import functools
import hashlib
from typing import Any

from attrs import frozen
from wasabilb_core.tickets import Variant


@frozen(kw_only=True)
class ContentSpec:
    """Inputs that determine the content of a variant.

    Parameters
    ----------
    size, chunk_size : int
        Bytes in total, and of each chunk except the last.
    seed : int
        Seed of the store.
    revision : int
        Number that changes the content under the same name.
    """

    variant: Variant
    size: int
    chunk_size: int
    seed: int = 0
    revision: int = 0

    @property
    def chunk_count(self) -> int:
        """Return the number of chunks."""
        return -(-self.size // self.chunk_size)


def chunk_bytes(spec: ContentSpec, index: int) -> bytes:
    """Return one chunk."""
    length = min(spec.chunk_size, spec.size - index * spec.chunk_size)
    name = f"{spec.variant}\0{spec.seed}\0{spec.revision}\0{index}"
    return hashlib.shake_128(name.encode()).digest(length)


@functools.lru_cache(maxsize=256)
def chunk_digests(spec: ContentSpec) -> tuple[tuple[str, ...], str]:
    """Return the digest of each chunk and that of the whole content, SHA-256 in hex."""
    content_hash = hashlib.sha256()
    digests = []
    for index in range(spec.chunk_count):
        content = chunk_bytes(spec, index)
        content_hash.update(content)
        digests.append(hashlib.sha256(content).hexdigest())
    return tuple(digests), content_hash.hexdigest()


def manifest_of(spec: ContentSpec) -> dict[str, Any]:
    """Return the manifest as the store sends it."""
    digests, content_digest = chunk_digests(spec)
    return {
        "model": spec.variant.model,
        "version": spec.variant.version,
        "adapter": spec.variant.adapter,
        "size": spec.size,
        "chunk_size": spec.chunk_size,
        "chunks": list(digests),
        "digest": content_digest,
    }
