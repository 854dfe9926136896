"""Hands a whole verified version to the engine."""

import asyncio

from returns.result import Failure, Result
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error

from wasabilb_agent.engine_client import EngineClient


async def deliver(assembly: ChunkAssembly, engine: EngineClient) -> Result[None, Error]:
    """Check the whole, put each chunk and declare the variant complete.

    Fails with `BAD_CHUNK` when the whole does not match its digest, otherwise as the engine does.
    """
    whole = await _verified_chunks(assembly)
    if isinstance(whole, Failure):
        return Failure(whole.failure())
    manifest = assembly.manifest
    for digest, data in zip(manifest.chunks, whole.unwrap(), strict=True):
        put = await engine.put_chunk(digest, data)
        if isinstance(put, Failure):
            return put
    return await engine.commit(manifest.variant, list(manifest.chunks))


async def _verified_chunks(assembly: ChunkAssembly) -> Result[tuple[bytes, ...], Error]:
    """Return the verified chunks; other work of this process goes on between two of them."""
    verification = assembly.whole()
    while True:
        try:
            next(verification)
        except StopIteration as stop:
            found: Result[tuple[bytes, ...], Error] = stop.value
            return found
        await asyncio.sleep(0)
