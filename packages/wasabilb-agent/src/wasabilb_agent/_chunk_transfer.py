"""Transfer of the chunks of one manifest: requests, uploads and announcements to peers."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Result
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.distribution import ORIGIN, ChunkFailure, ChunkRequest
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import Manifest
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_wire.messages import ChunkData, ChunkNone, ChunkWant, TransferState

from wasabilb_agent._chunk_counters import ChunkCounters
from wasabilb_agent._transfer_pacer import TransferPacer
from wasabilb_agent._weight_source import WeightSource

# Source of chunks that were on this host before the transfer; no host has this name.
LOCAL_SOURCE = "."
# Chunks that arrive within this time are announced in one message.
ANNOUNCE_DELAY_S = 0.05


@define(kw_only=True, eq=False)
class ChunkTransfer:
    """Transfer of one manifest, which connects its planner to links and the store.

    Parameters
    ----------
    assembly : ChunkAssembly
        Verified chunks and their planner.
    on_complete : callable
        Called once, when the last chunk is verified.
    on_manifest_gone : callable
        Called when the store no longer has a chunk of the manifest.
    """

    assembly: ChunkAssembly
    store: WeightSource
    links: LinkManager
    pacer: TransferPacer
    log: EventLog
    metrics: Metrics
    on_complete: Callable[[], None]
    on_manifest_gone: Callable[[], None]
    counters: ChunkCounters = field(init=False)
    _partial_chunks: dict[tuple[int, str], bytearray] = field(init=False, factory=dict)
    _read_tasks: dict[int, asyncio.Task[None]] = field(init=False, factory=dict)
    _upload_tasks: set[asyncio.Task[None]] = field(init=False, factory=set)
    _peer_hosts: set[str] = field(init=False, factory=set)
    _is_announcement_due: bool = field(init=False, default=False)
    _is_closed: bool = field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.counters = ChunkCounters(manifest=self.manifest, log=self.log, metrics=self.metrics)

    @property
    def manifest(self) -> Manifest:
        """Return the manifest."""
        return self.assembly.manifest

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is verified."""
        return self.assembly.planner.is_complete

    def tick(self) -> None:
        """Cancel late requests and send the next ones; called a few times a second."""
        if self._is_closed or self.is_complete:
            return
        for request in self.assembly.planner.on_tick(now()):
            self._partial_chunks.pop((request.index, request.source), None)
            fetch = self._read_tasks.pop(request.index, None) if request.is_origin else None
            if fetch is not None:
                fetch.cancel()
        self.send_requests()
        self.counters.flush()

    def send_requests(self) -> None:
        """Send the requests that the planner selects."""
        if self._is_closed:
            return
        for request in self.assembly.planner.next_requests(now()):
            if request.is_origin:
                self._read_tasks[request.index] = asyncio.ensure_future(self._read_origin(request))
                continue
            peer = self.links.peer(request.source)
            want = ChunkWant(manifest=self.assembly.transfer, index=request.index)
            if peer is None or not peer.send(want):
                self._peer_hosts.discard(request.source)
                self.assembly.planner.on_peer_lost(request.source)

    def add_local_chunk(self, index: int, data: bytes) -> bool:
        """Add a chunk that is already on this host; return whether it is intact."""
        if self._is_closed:
            return False
        added = self.assembly.add(
            transfer=self.assembly.transfer, index=index, source=LOCAL_SOURCE, data=data, now=now()
        )
        if isinstance(added, Failure):
            return False
        self._schedule_announcement()
        if self.is_complete:
            self.on_complete()
        return True

    def send_state(self, peer: Peer) -> None:
        """Send a peer the list of chunks on this host."""
        peer.send(self._to_state())

    def on_transfer_state(self, peer: Peer, message: TransferState) -> None:
        """Record a peer's chunks and answer its first message with this host's chunks."""
        is_participant = peer.host in self.assembly.planner.hosts
        if not is_participant or len(message.held) != (len(self.manifest.chunks) + 7) // 8:
            return
        bitmap = int.from_bytes(message.held, "little")
        is_useful = self.assembly.planner.on_peer_state(peer.host, bitmap, now())
        if peer.host not in self._peer_hosts:
            self._peer_hosts.add(peer.host)
            self.send_state(peer)
        if is_useful:
            self.send_requests()

    def on_host_lost(self, host: str) -> None:
        """Release the requests to a peer whose link is closed."""
        self._peer_hosts.discard(host)
        for key in [key for key in self._partial_chunks if key[1] == host]:
            del self._partial_chunks[key]
        self.assembly.planner.on_peer_lost(host)
        self.send_requests()

    def on_chunk_want(self, peer: Peer, want: ChunkWant) -> None:
        """Send a chunk, or `ChunkNone` if it cannot be sent now."""
        data = self.assembly.chunk(want.manifest, want.index)
        planner = self.assembly.planner
        is_valid = data is not None and 0 <= want.offset < len(data)
        if data is None or not is_valid or not planner.may_serve(peer.host, now()):
            peer.send(ChunkNone(manifest=want.manifest, index=want.index))
            return
        task = asyncio.ensure_future(self._send_chunk(peer, want, data))
        self._upload_tasks.add(task)
        task.add_done_callback(self._upload_tasks.discard)

    def on_chunk_data(self, peer: Peer, message: ChunkData) -> None:
        """Collect the pieces of a requested chunk; others are dropped."""
        key = (message.index, peer.host)
        request = ChunkRequest(index=message.index, source=peer.host)
        if request not in self.assembly.planner.in_flight:
            self._partial_chunks.pop(key, None)
            return
        buffer = self._partial_chunks.setdefault(key, bytearray())
        size = self.manifest.chunk_length(message.index)
        if message.offset != len(buffer) or len(buffer) + len(message.payload) > size:
            del self._partial_chunks[key]
            self._refuse_chunk(message.index, peer.host)
            return
        buffer += message.payload
        if message.is_last:
            del self._partial_chunks[key]
            self._add_chunk(message.index, peer.host, bytes(buffer))

    def on_chunk_none(self, peer: Peer, message: ChunkNone) -> None:
        """Request the chunk elsewhere, and from this peer again after a short time."""
        self.assembly.planner.on_chunk_failed(message.index, peer.host, ChunkFailure.BUSY, now())
        self.send_requests()

    def close(self) -> None:
        """Cancel all requests and drop all chunks."""
        self._is_closed = True
        self.assembly.abandon()
        for task in [*self._read_tasks.values(), *self._upload_tasks]:
            task.cancel()
        self._partial_chunks.clear()

    async def _read_origin(self, request: ChunkRequest) -> None:
        size = self.manifest.chunk_length(request.index)
        await asyncio.sleep(self.pacer.download_delay_s(size))
        data = await self.store.chunk(self.manifest, request.index)
        self._read_tasks.pop(request.index, None)
        if self._is_closed:
            return
        if isinstance(data, Failure):
            self._on_origin_failed(request, data.failure())
        else:
            self._add_chunk(request.index, ORIGIN, data.unwrap())

    def _on_origin_failed(self, request: ChunkRequest, error: Error) -> None:
        self.log.event("platform_down", service="store", detail=error.detail)
        planner = self.assembly.planner
        planner.on_chunk_failed(request.index, ORIGIN, ChunkFailure.STALLED, now())
        if error.kind is ErrorKind.NOT_FOUND:
            self.on_manifest_gone()

    async def _send_chunk(self, peer: Peer, want: ChunkWant, data: bytes) -> None:
        try:
            await self.pacer.send(peer, want, data, sender_count=self.assembly.planner.sender_count)
        finally:
            self.assembly.planner.on_served(peer.host)

    def _add_chunk(self, index: int, source: str, data: bytes) -> None:
        added: Result[bool, Error] = self.assembly.add(
            transfer=self.assembly.transfer, index=index, source=source, data=data, now=now()
        )
        if isinstance(added, Failure):
            self.counters.on_chunk_refused(source)
        elif added.unwrap():
            self.counters.on_chunk(source, len(data))
            self._schedule_announcement()
            if self.is_complete:
                self.counters.flush(is_last=True)
                self.on_complete()
        self.send_requests()

    def _refuse_chunk(self, index: int, source: str) -> None:
        self.counters.on_chunk_refused(source)
        self.assembly.planner.on_chunk_failed(index, source, ChunkFailure.CORRUPT, now())
        self.send_requests()

    def _schedule_announcement(self) -> None:
        if not self._is_announcement_due:
            self._is_announcement_due = True
            asyncio.get_running_loop().call_later(ANNOUNCE_DELAY_S, self._announce_chunks)

    def _announce_chunks(self) -> None:
        self._is_announcement_due = False
        if self._is_closed:
            return
        state = self._to_state()
        for host in sorted(self._peer_hosts):
            peer = self.links.peer(host)
            if peer is not None:
                peer.send(state)

    def _to_state(self) -> TransferState:
        size = (len(self.manifest.chunks) + 7) // 8
        return TransferState(
            variant=str(self.manifest.variant),
            manifest=self.assembly.transfer,
            held=self.assembly.planner.have.to_bytes(size, "little"),
        )
