"""Verification of a complete variant and its upload to the engine."""

import asyncio

from returns.result import Failure, Result
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error

from wasabilb_agent.engine_client import EngineClient


async def upload_variant(assembly: ChunkAssembly, engine: EngineClient) -> Result[None, Error]:
    """Verify the content, upload each chunk and commit the variant.

    Fails with `BAD_CHUNK` if the content does not match its digest, or with the engine's error.
    """
    verified = await _verified_chunks(assembly)
    if isinstance(verified, Failure):
        return Failure(verified.failure())
    manifest = assembly.manifest
    for digest, data in zip(manifest.chunks, verified.unwrap(), strict=True):
        stored = await engine.put_chunk(digest, data)
        if isinstance(stored, Failure):
            return stored
    return await engine.commit(manifest.variant, list(manifest.chunks))


async def _verified_chunks(assembly: ChunkAssembly) -> Result[tuple[bytes, ...], Error]:
    """Return the verified chunks, yielding to the event loop after each step."""
    steps = assembly.content()
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result[tuple[bytes, ...], Error] = end.value
            return result
        await asyncio.sleep(0)
