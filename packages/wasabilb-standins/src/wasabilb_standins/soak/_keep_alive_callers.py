"""Callers that reuse keep-alive connections until the entry host closes them."""

import asyncio
import contextlib
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.callers import Callers

NOT_CONNECTED = "not connected"
_PARAMETERS = HTTP1ConnectionParameters(no_keep_alive=False, decompress=False)


class _Answer(HTTPMessageDelegate):
    """Delegate that records head and body of one answer."""

    def __init__(self, rec: CallRecord, on_body: Callable[[bytes], None]) -> None:
        self.rec = rec
        self.is_whole = False
        self.is_connection_closing = False
        self._on_body = on_body

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        rec = self.rec
        rec.status = start_line.code
        rec.outcome = headers.get("Wasabilb-Outcome", "")
        rec.version = headers.get("Wasabilb-Version", "")
        rec.key = headers.get("Idempotency-Key", rec.key)
        self.is_connection_closing = headers.get("Connection", "").lower() == "close"
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.rec.first_byte = self.rec.first_byte or time.monotonic()
        self._on_body(chunk)
        return None

    def finish(self) -> None:
        self.is_whole = True


class KeepAliveCallers(Callers):
    """Callers with open connections to each entry host, which use the longest idle one first.

    A caller is not notified of a drain: it uses its connection until the process closes it.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._idle_streams: dict[str, list[IOStream]] = defaultdict(list)
        self._tcp = TCPClient()
        self.connections = 0
        self.reused = 0

    def close(self) -> None:
        """Close all connections."""
        for stream in [stream for idle in self._idle_streams.values() for stream in idle]:
            stream.close()

    async def _send(
        self, rec: CallRecord, method: str, path: str, body: bytes | None, on_body: Any
    ) -> None:
        rec.start = time.monotonic()
        answer = _Answer(rec, on_body)
        stream: IOStream | None = None
        try:
            stream = await self._connected_stream(rec)
            if stream is not None:
                await self._exchange(stream, answer, method, path, body)
        except (StreamClosedError, OSError) as exc:
            rec.problem = str(exc)
        rec.end = time.monotonic()
        if stream is not None and answer.is_whole and not answer.is_connection_closing:
            # An idle stream detects a close by the peer only while it has a close callback.
            stream.set_close_callback(lambda: None)
            self._idle_streams[rec.entry].append(stream)
        elif stream is not None:
            stream.close()
        if not answer.is_whole:
            rec.verdict = "broken"
            if stream is not None:
                rec.problem = rec.problem or "the connection was closed"

    async def _connected_stream(self, rec: CallRecord) -> IOStream | None:
        idle = self._idle_streams[rec.entry]
        while idle:
            stream = idle.pop(0)
            if not stream.closed():
                self.reused += 1
                return stream
        address, _, port = rec.entry.rpartition(":")
        try:
            stream = await self._tcp.connect(address, int(port), timeout=self.settings.timeout_s)
        except (OSError, TimeoutError) as exc:
            rec.problem = f"{NOT_CONNECTED}: {exc}"
            return None
        self.connections += 1
        return stream

    async def _exchange(
        self, stream: IOStream, answer: _Answer, method: str, path: str, body: bytes | None
    ) -> None:
        cfg, rec = self.settings, answer.rec
        headers = HTTPHeaders({"Host": rec.entry, "Content-Type": "application/json"})
        headers["Authorization"] = f"Bearer {cfg.account_key}"
        headers["Wasabilb-Deadline-Ms"] = str(cfg.deadline_ms)
        if rec.key:
            headers["Idempotency-Key"] = rec.key
        if body is not None:
            headers["Content-Length"] = str(len(body))
        timer = asyncio.get_running_loop().call_later(cfg.timeout_s, stream.close)
        try:
            conn = HTTP1Connection(stream, True, _PARAMETERS)
            with contextlib.suppress(StreamClosedError):
                await conn.write_headers(RequestStartLine(method, path, "HTTP/1.1"), headers, body)
            conn.finish()
            await conn.read_response(answer)
        finally:
            timer.cancel()
