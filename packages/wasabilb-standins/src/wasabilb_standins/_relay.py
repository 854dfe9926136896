"""TCP relay that delays, limits or damages the bytes of each direction."""

import asyncio
import time
from collections.abc import Callable, Collection
from typing import Any

import attrs
from attrs import define, field, frozen
from attrs.validators import instance_of, optional

from wasabilb_standins.pacing import Pacer

# Limit of delayed bytes per direction of a connection; 64 KiB at 12 Mbit/s queue for 44 ms.
MAX_IN_FLIGHT_BYTES = 1 << 16
DIRECTIONS = ("forward", "backward")


@frozen(kw_only=True)
class Shape:
    """Treatment of the bytes in one direction of a relay.

    Parameters
    ----------
    bandwidth : str
        Name of the shared bandwidth limit; empty is unlimited.
    delay_s : float
        One-way delay.
    stall : bool
        Hold back all bytes until the stall ends; connections stay open.
    cut : bool
        Discard all bytes. A connection that has lost bytes stays silent permanently.
    corrupt_after : int or None
        Number of further bytes after which one bit is flipped, once.
    """

    bandwidth: str = field(default="", validator=instance_of(str))
    delay_s: float = field(default=0.0, converter=float)
    stall: bool = field(default=False, validator=instance_of(bool))
    cut: bool = field(default=False, validator=instance_of(bool))
    corrupt_after: int | None = field(default=None, validator=optional(instance_of(int)))


@define(kw_only=True, eq=False)
class _Connection:
    """Relayed connection, with the streams to both ends."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: dict[str, bool] = field(factory=lambda: dict.fromkeys(DIRECTIONS, False))
    tasks: list[asyncio.Task[None]] = field(factory=list)
    first_bytes: bytes = b""
    has_first_bytes: asyncio.Event = field(factory=asyncio.Event)

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class Relay:
    """TCP relay from a loopback port to a target.

    Parameters
    ----------
    target : tuple of str and int
        Address and port to connect to.
    pacer : callable
        Returns the pacer of a bandwidth by its name.
    """

    def __init__(
        self,
        *,
        target: tuple[str, int],
        pacer: Callable[[str], Pacer],
        address: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.target = target
        self.address = address
        self.port = port
        self.shapes = {direction: Shape() for direction in DIRECTIONS}
        self.bytes = dict.fromkeys(DIRECTIONS, 0)
        self.accepted = 0
        self.is_refusing = False
        self._partitioned_hosts: dict[str, frozenset[str]] = dict.fromkeys(DIRECTIONS, frozenset())
        self._pacer = pacer
        self._connections: set[_Connection] = set()
        self._change_event = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._on_connection, self.address, self.port, limit=MAX_IN_FLIGHT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        tasks = [task for conn in self._connections for task in conn.tasks]
        self.reset_open()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server = None

    def shape(self, direction: str = "both", **changes: Any) -> None:
        """Change the shape of the direction `forward` (to the target), `backward` or `both`."""
        if direction not in (*DIRECTIONS, "both"):
            raise ValueError(f"unknown direction {direction!r}")
        for each in DIRECTIONS if direction == "both" else (direction,):
            self.shapes[each] = attrs.evolve(self.shapes[each], **changes)
        self._change_event.set()
        self._change_event = asyncio.Event()

    def refuse(self, is_refusing: bool = True) -> None:
        """Reset new connections at once, or accept them again."""
        self.is_refusing = is_refusing

    def reset_open(self) -> None:
        """Reset the open connections; new ones are unaffected."""
        for conn in list(self._connections):
            conn.abort()

    def silence_open(self) -> None:
        """Discard all further bytes of the open connections; new ones are unaffected."""
        for conn in self._connections:
            conn.is_silent = dict.fromkeys(DIRECTIONS, True)

    def partition(self, hosts: Collection[str], direction: str = "both") -> None:
        """Discard the bytes from and to these hosts on open and new connections.

        A host is identified by its name in the first bytes that it sends, its hello. Without hosts,
        the partition ends for new connections.
        """
        for each in DIRECTIONS if direction == "both" else (direction,):
            self._partitioned_hosts[each] = frozenset(hosts)

    def record(self) -> dict[str, Any]:
        """Return the counters and shapes."""
        return {
            "port": self.port,
            "open": len(self._connections),
            "accepted": self.accepted,
            "bytes": dict(self.bytes),
            "shapes": {name: attrs.asdict(shape) for name, shape in self.shapes.items()},
        }

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.is_refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target, limit=MAX_IN_FLIGHT_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        conn = _Connection(writers=(writer, target_writer))
        conn.tasks = [
            asyncio.ensure_future(self._relay_direction("forward", conn, reader, target_writer)),
            asyncio.ensure_future(self._relay_direction("backward", conn, target_reader, writer)),
        ]
        self._connections.add(conn)
        await asyncio.wait(conn.tasks)
        self._connections.discard(conn)
        for each_writer in conn.writers:
            each_writer.close()

    async def _relay_direction(
        self,
        direction: str,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read and pace in this task and write in another, so that delays overlap."""
        delayed = _DelayedData()
        writing = asyncio.ensure_future(self._write_to(direction, conn, delayed, writer))
        try:
            await self._read_from(direction, delayed, reader)
            await writing
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _read_from(
        self, direction: str, delayed: "_DelayedData", reader: asyncio.StreamReader
    ) -> None:
        """Read and pace until the end of the stream, which is delayed like data.

        A stall or cut delays or hides a reset as well.
        """
        end: bytes | None = b""
        try:
            while not delayed.is_closed and (data := await reader.read(self._read_size(direction))):
                await delayed.wait_for_space()
                name = self.shapes[direction].bandwidth
                if name:
                    await asyncio.sleep(self._pacer(name).delay_s(len(data)))
                delayed.put(time.monotonic() + self.shapes[direction].delay_s, data)
        except OSError:
            end = None
        delayed.put(time.monotonic() + self.shapes[direction].delay_s, end)

    async def _write_to(
        self,
        direction: str,
        conn: _Connection,
        delayed: "_DelayedData",
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due, data = await delayed.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            while self.shapes[direction].stall:
                await self._change_event.wait()
            if self.shapes[direction].cut or await self._is_partitioned(direction, conn, data):
                conn.is_silent[direction] = True
            if conn.is_silent[direction]:
                continue
            try:
                if not data:
                    delayed.close()
                    writer.transport.abort() if data is None else writer.write_eof()
                    return
                writer.write(self._with_corruption(direction, data))
                self.bytes[direction] += len(data)
                await writer.drain()
            except OSError:
                delayed.close()
                return

    async def _is_partitioned(self, direction: str, conn: _Connection, data: bytes | None) -> bool:
        if direction == "forward" and not conn.has_first_bytes.is_set():
            conn.first_bytes = data or b""
            conn.has_first_bytes.set()
        if not self._partitioned_hosts[direction]:
            return False
        # The target may send its hello first; it is held back only during a partition.
        await conn.has_first_bytes.wait()
        return any(name.encode() in conn.first_bytes for name in self._partitioned_hosts[direction])

    def _read_size(self, direction: str) -> int:
        name = self.shapes[direction].bandwidth
        return self._pacer(name).slice_bytes if name else MAX_IN_FLIGHT_BYTES

    def _with_corruption(self, direction: str, data: bytes) -> bytes:
        offset = self.shapes[direction].corrupt_after
        if offset is None:
            return data
        if offset >= len(data):
            self.shape(direction, corrupt_after=offset - len(data))
            return data
        self.shape(direction, corrupt_after=None)
        return data[:offset] + bytes((data[offset] ^ 1,)) + data[offset + 1 :]


class _DelayedData:
    """Delayed data with its delivery times; empty data is the end of the stream, None a reset."""

    def __init__(self) -> None:
        self.is_closed = False
        self._queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self._queued_bytes = 0
        self._space_event = asyncio.Event()

    def close(self) -> None:
        self.is_closed = True
        self._space_event.set()

    async def wait_for_space(self) -> None:
        while self._queued_bytes >= MAX_IN_FLIGHT_BYTES and not self.is_closed:
            self._space_event.clear()
            await self._space_event.wait()

    def put(self, due: float, data: bytes | None) -> None:
        self._queued_bytes += len(data or b"")
        self._queue.put_nowait((due, data))

    async def get(self) -> tuple[float, bytes | None]:
        due, data = await self._queue.get()
        self._queued_bytes -= len(data or b"")
        self._space_event.set()
        return due, data
