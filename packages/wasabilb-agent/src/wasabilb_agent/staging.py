"""Chunks that lie staged beside a model runner: put there, and checked before each load."""

import asyncio

from returns.result import Failure, Result, Success
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest, verify_chunk
from wasabilb_node.logs import EventLog

from wasabilb_agent._chunk_transfer import ChunkTransfer
from wasabilb_agent.model_runner import ModelRunner

# Times that a staged chunk is written again when reading it back shows other bytes.
MAX_REPAIRS = 3


class Staging:
    """Brings a version beside the runner and proves that it is whole.

    Parameters
    ----------
    runner : ModelRunner
        The runner on this host.
    log : EventLog
        Told of chunks that changed after they were staged.
    """

    def __init__(self, *, runner: ModelRunner, log: EventLog) -> None:
        self._runner = runner
        self._log = log
        # Manifest and numbers of the chunks that were staged or found intact.
        self._manifest = ""
        self._staged: set[int] = set()

    async def preload(self, transfer: ChunkTransfer) -> None:
        """Add to a transfer the intact chunks that are staged already."""
        manifest = transfer.manifest
        self._follow(manifest)
        for index in range(len(manifest.chunks)):
            found = await self._runner.staged_chunk(manifest.model, index)
            if isinstance(found, Failure):
                return
            data = found.unwrap()
            if data is None:
                continue
            if isinstance(verify_chunk(manifest, index, data), Success):
                transfer.add_local(index, data)
                self._staged.add(index)

    async def deliver(self, assembly: ChunkAssembly) -> Result[None, Error]:
        """Stage every chunk of a complete version that is not staged yet."""
        manifest = assembly.manifest
        self._follow(manifest)
        for index in range(len(manifest.chunks)):
            if index in self._staged:
                continue
            put = await self._put(assembly, index)
            if isinstance(put, Failure):
                return put
        return Success(None)

    async def is_intact(self, assembly: ChunkAssembly) -> Result[None, Error]:
        """Read every staged chunk back and replace spoilt ones.

        Staged data may change without notice and the runner does not check it, so this goes
        before each order.
        """
        manifest = assembly.manifest
        self._follow(manifest)
        for index in range(len(manifest.chunks)):
            checked = await self._check(assembly, index)
            if isinstance(checked, Failure):
                return checked
            await asyncio.sleep(0)
        return Success(None)

    async def _check(self, assembly: ChunkAssembly, index: int) -> Result[None, Error]:
        manifest = assembly.manifest
        for _ in range(MAX_REPAIRS):
            found = await self._runner.staged_chunk(manifest.model, index)
            if isinstance(found, Failure):
                return Failure(found.failure())
            data = found.unwrap()
            if data is not None and isinstance(verify_chunk(manifest, index, data), Success):
                return Success(None)
            self._log.event(
                "staged_chunk_spoilt",
                model=manifest.model,
                version=manifest.version,
                chunk=index,
                is_missing=data is None,
            )
            put = await self._put(assembly, index)
            if isinstance(put, Failure):
                return put
        detail = f"staged chunk {index} of {manifest.variant} does not stay intact"
        return Failure(Error(kind=ErrorKind.BAD_CHUNK, detail=detail))

    async def _put(self, assembly: ChunkAssembly, index: int) -> Result[None, Error]:
        data = assembly.chunk(assembly.transfer, index)
        if data is None:
            detail = f"chunk {index} of {assembly.manifest.variant} is not held"
            return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))
        put = await self._runner.put_chunk(assembly.manifest.model, index, data)
        if isinstance(put, Success):
            self._staged.add(index)
        return put

    def _follow(self, manifest: Manifest) -> None:
        if self._manifest != manifest.own_digest:
            self._manifest = manifest.own_digest
            self._staged.clear()
