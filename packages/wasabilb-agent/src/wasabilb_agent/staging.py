"""Chunks staged beside a model runner and verified before each load."""

import asyncio

from returns.result import Failure, Result, Success
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest, verify_chunk
from wasabilb_node.logs import EventLog

from wasabilb_agent._chunk_transfer import ChunkTransfer
from wasabilb_agent.model_runner import ModelRunner

# How often a staged chunk is written again when it reads back with other bytes.
MAX_REPAIRS = 3


class Staging:
    """Staged chunks of one version beside the runner.

    Parameters
    ----------
    runner : ModelRunner
        The runner on this host.
    log : EventLog
        Gets a line for each chunk that changed after it was staged.
    """

    def __init__(self, *, runner: ModelRunner, log: EventLog) -> None:
        self._runner = runner
        self._log = log
        # Manifest and indexes of the chunks that were staged or found intact.
        self._manifest_digest = ""
        self._staged_indexes: set[int] = set()

    async def preload(self, transfer: ChunkTransfer) -> None:
        """Add the intact chunks that are already staged to a transfer."""
        manifest = transfer.manifest
        self._select_manifest(manifest)
        for index in range(len(manifest.chunks)):
            result = await self._runner.staged_chunk(manifest.model, index)
            if isinstance(result, Failure):
                return
            data = result.unwrap()
            if data is None:
                continue
            if isinstance(verify_chunk(manifest, index, data), Success):
                transfer.add_local_chunk(index, data)
                self._staged_indexes.add(index)

    async def deliver(self, assembly: ChunkAssembly) -> Result[None, Error]:
        """Stage every chunk of a complete version that is not staged yet."""
        manifest = assembly.manifest
        self._select_manifest(manifest)
        for index in range(len(manifest.chunks)):
            if index in self._staged_indexes:
                continue
            staged = await self._stage_chunk(assembly, index)
            if isinstance(staged, Failure):
                return staged
        return Success(None)

    async def verify_and_repair(self, assembly: ChunkAssembly) -> Result[None, Error]:
        """Read back every staged chunk and replace corrupt ones.

        Staged data may change without notice and the runner does not check it, so this runs
        before each order.
        """
        manifest = assembly.manifest
        self._select_manifest(manifest)
        for index in range(len(manifest.chunks)):
            verified = await self._verify_or_replace(assembly, index)
            if isinstance(verified, Failure):
                return verified
            await asyncio.sleep(0)
        return Success(None)

    async def _verify_or_replace(self, assembly: ChunkAssembly, index: int) -> Result[None, Error]:
        manifest = assembly.manifest
        for _ in range(MAX_REPAIRS):
            result = await self._runner.staged_chunk(manifest.model, index)
            if isinstance(result, Failure):
                return Failure(result.failure())
            data = result.unwrap()
            if data is not None and isinstance(verify_chunk(manifest, index, data), Success):
                return Success(None)
            self._log.event(
                "staged_chunk_spoilt",
                model=manifest.model,
                version=manifest.version,
                chunk=index,
                is_missing=data is None,
            )
            staged = await self._stage_chunk(assembly, index)
            if isinstance(staged, Failure):
                return staged
        detail = f"staged chunk {index} of {manifest.variant} does not stay intact"
        return Failure(Error(kind=ErrorKind.BAD_CHUNK, detail=detail))

    async def _stage_chunk(self, assembly: ChunkAssembly, index: int) -> Result[None, Error]:
        data = assembly.chunk(assembly.transfer, index)
        if data is None:
            detail = f"chunk {index} of {assembly.manifest.variant} is not held"
            return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))
        staged = await self._runner.put_chunk(assembly.manifest.model, index, data)
        if isinstance(staged, Success):
            self._staged_indexes.add(index)
        return staged

    def _select_manifest(self, manifest: Manifest) -> None:
        if self._manifest_digest != manifest.canonical_digest:
            self._manifest_digest = manifest.canonical_digest
            self._staged_indexes.clear()
