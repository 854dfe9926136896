"""Chunks staged beside a model runner and verified before each load."""

import asyncio
from collections import deque

from returns.result import Failure, Result, Success
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest, verify_chunk
from wasabilb_core.staged_check import MAX_CHECK_AGE_S, StagedCheck, reads_at_once
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_agent._chunk_transfer import ChunkTransfer
from wasabilb_agent.model_runner import ModelRunner

# How often a staged chunk is written again when it reads back with other bytes.
MAX_REPAIRS = 3
# Passes of one check: all chunks, then those whose read has become too old.
MAX_PASSES = 4
# A staged chunk that has changed may be longer than it was, up to twice as long and this.
STAGED_SLACK_BYTES = 16 << 10
# Bytes that the reads at once may return together, were all chunks as long as they should be.
MAX_BYTES_AT_ONCE = 8 << 20


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
            result = await self._read_staged(manifest, index)
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

    async def verify_and_repair(self, assembly: ChunkAssembly) -> Result[float, Error]:
        """Read back every staged chunk and replace corrupt ones.

        Staged data may change without notice and the runner does not check it, so this runs
        before each order.

        Returns
        -------
        Result
            Time until which an order may rely on the check, seconds on the process's clock. Fails
            with `NOT_READY` if the runner answers too slowly for any order to rely on it.
        """
        manifest = assembly.manifest
        self._select_manifest(manifest)
        check = StagedCheck(count=len(manifest.chunks))
        for _ in range(MAX_PASSES):
            began_at = now()
            read = await self._read_chunks(assembly, check, check.due(began_at))
            if isinstance(read, Failure):
                return Failure(read.failure())
            if not check.due(now()):
                return Success(check.usable_until())
            self._log.event(
                "staged_check_outdated",
                model=manifest.model,
                version=manifest.version,
                chunks=len(check.due(now())),
                pass_ms=(now() - began_at) * 1000,
            )
        detail = f"the staged chunks of {manifest.variant} are not read within {MAX_CHECK_AGE_S} s"
        return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))

    async def _read_chunks(
        self, assembly: ChunkAssembly, check: StagedCheck, indexes: list[int]
    ) -> Result[None, Error]:
        """Read some chunks and replace corrupt ones, several at once if the runner is slow."""
        queue = deque(indexes)
        errors: list[Error] = []

        async def read_next() -> None:
            index = queue.popleft()
            verified = await self._verify_or_replace(assembly, index)
            if isinstance(verified, Failure):
                errors.append(verified.failure())
            else:
                check.on_intact(index, verified.unwrap())

        async def read_rest() -> None:
            while queue and not errors:
                await read_next()
                await asyncio.sleep(0)

        began_at = now()
        await read_next()
        most = max(1, MAX_BYTES_AT_ONCE // assembly.manifest.chunk_size)
        readers = min(most, reads_at_once(len(queue), now() - began_at)) if queue else 0
        await asyncio.gather(*(read_rest() for _ in range(readers)))
        return Failure(errors[0]) if errors else Success(None)

    async def _verify_or_replace(self, assembly: ChunkAssembly, index: int) -> Result[float, Error]:
        """Return when the request was sent that found the chunk intact."""
        manifest = assembly.manifest
        for _ in range(MAX_REPAIRS):
            sent_at = now()
            result = await self._read_staged(manifest, index)
            if isinstance(result, Failure):
                return Failure(result.failure())
            data = result.unwrap()
            if data is not None and isinstance(verify_chunk(manifest, index, data), Success):
                return Success(sent_at)
            self._log.event(
                "staged_chunk_spoilt",
                model=manifest.model,
                version=manifest.version,
                chunk=index,
                is_missing=data is None,
            )
            staged = await self._stage_chunk(assembly, index)
            if isinstance(staged, Failure):
                return Failure(staged.failure())
        detail = f"staged chunk {index} of {manifest.variant} does not stay intact"
        return Failure(Error(kind=ErrorKind.BAD_CHUNK, detail=detail))

    async def _read_staged(self, manifest: Manifest, index: int) -> Result[bytes | None, Error]:
        most = 2 * manifest.chunk_size + STAGED_SLACK_BYTES
        result = await self._runner.staged_chunk(manifest.model, index, max_bytes=most)
        if isinstance(result, Failure) and result.failure().kind is ErrorKind.TOO_LARGE:
            # It cannot be the chunk, so that its content does not matter.
            return Success(b"")
        return result

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
