"""HTTP client that reads chunked responses in the pieces in which they arrive.

tornado reads the length, the data and the end of a chunk separately, so each token of an engine
takes several reads and changes of the poll set.
"""

from collections.abc import Awaitable, Callable
from functools import partial

from tornado.http1connection import HTTP1Connection, parse_hex_int
from tornado.httputil import HTTPInputError, HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection
from wasabilb_wire.read_turns import ReadTurn

# Decoding a block of the smallest chunks takes some milliseconds.
READ_BYTES = 16 << 10
MAX_LENGTH_LINE_BYTES = 64
CRLF = b"\r\n"


class ChunkDecoder:
    """Decoder of the chunked transfer coding (RFC 9112, section 7.1).

    Chunk extensions and trailers are rejected, as in tornado.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._remaining_bytes = 0
        self._is_chunk_end_due = False
        self._is_last_chunk = False
        self.is_ended = False

    def feed(self, data: bytes) -> bytes:
        """Decode received bytes and return their content.

        Raises
        ------
        HTTPInputError
            If the bytes are not valid chunks.
        """
        self._buffer += data
        parts: list[bytes] = []
        while not self.is_ended:
            if self._remaining_bytes > 0:
                parts.append(self._pop(min(self._remaining_bytes, len(self._buffer))))
                self._remaining_bytes -= len(parts[-1])
            if self._remaining_bytes > 0 or not self._parse_framing():
                break
        return b"".join(parts)

    def _parse_framing(self) -> bool:
        """Parse the end or the length of a chunk; return whether it was complete."""
        if self._is_chunk_end_due:
            if len(self._buffer) < len(CRLF):
                return False
            if self._pop(len(CRLF)) != CRLF:
                raise HTTPInputError("improperly terminated chunk")
            self._is_chunk_end_due = False
            self.is_ended = self._is_last_chunk
            return True
        end = self._buffer.find(CRLF, 0, MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LENGTH_LINE_BYTES:
                raise HTTPInputError("invalid chunk size")
            return False
        try:
            self._remaining_bytes = parse_hex_int(self._pop(end + len(CRLF))[:end].decode("latin1"))
        except ValueError:
            raise HTTPInputError("invalid chunk size") from None
        self._is_chunk_end_due, self._is_last_chunk = True, self._remaining_bytes == 0
        return True

    def _pop(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data


class ChunkedClient(SimpleAsyncHTTPClient):
    """tornado's simple client with another reader of chunked responses."""

    def _connection_class(self) -> type:
        return _Connection


class _Connection(_HTTPConnection):
    def _create_connection(self, stream: IOStream) -> HTTP1Connection:
        conn = super()._create_connection(stream)
        conn.params.chunk_size = READ_BYTES
        turn = ReadTurn(reader=self.parsed.netloc)
        # All readers of bodies deliver through it, whatever the framing.
        deliver = partial(_deliver_in_turn, turn, conn._deliver_body)
        conn._deliver_body = deliver  # type: ignore[method-assign]
        conn._read_chunked_body = partial(_read_chunked, conn)  # type: ignore[method-assign]
        return conn


async def _deliver_in_turn(
    turn: ReadTurn,
    deliver: Callable[[HTTPMessageDelegate, bytes], Awaitable[None]],
    delegate: HTTPMessageDelegate,
    data: bytes,
) -> None:
    turn.begin()
    await deliver(delegate, data)
    await turn.rest()


async def _read_chunked(conn: HTTP1Connection, delegate: HTTPMessageDelegate) -> None:
    """Deliver the content of a chunked body; a connection serves a single request."""
    decoder = ChunkDecoder()
    size = 0
    while not decoder.is_ended:
        data = decoder.feed(await conn.stream.read_bytes(READ_BYTES, partial=True))
        size += len(data)
        if size > conn._max_body_size:
            raise HTTPInputError("chunked body too large")
        if data:
            await conn._deliver_body(delegate, data)
