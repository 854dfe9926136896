"""HTTP/1.1 client for backend servers and the platform with persistent connections.

tornado's client opens a connection per request. Its connection class is used here on persistent
streams instead, so that the library still writes and parses every message.
"""

import asyncio
import math

from attrs import define, field, frozen
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClientError
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError, UnsatisfiableReadError
from wasabilb_core.errors import Error, ErrorKind, unavailable

from wasabilb_node._connection_pool import (
    CONNECT_TIMEOUT_S,
    ConnectError,
    ConnectionPool,
    ConnectRefusedError,
)
from wasabilb_node._http_connection import (
    MAX_HEADER_BYTES,
    AnswerHead,
    AnswerReceiver,
    AnswerRefusedError,
    Connection,
    ReadOutcome,
    has_pending_input,
)
from wasabilb_node._numeric_resolver import NumericResolver
from wasabilb_node.clock import now

__all__ = [
    "CONNECT_TIMEOUT_S",
    "LIBRARY_CALL_ERRORS",
    "MAX_ANSWER_BYTES",
    "MAX_HEADER_BYTES",
    "AnswerHead",
    "AnswerReceiver",
    "AnswerRefusedError",
    "CompleteAnswer",
    "ConnectError",
    "ConnectRefusedError",
    "Connection",
    "ConnectionPool",
    "NumericResolver",
    "ReadOutcome",
    "fetch",
    "has_pending_input",
]


# What a call of the library's own client raises for a server without a usable answer; the last one
# for a head that does not end.
LIBRARY_CALL_ERRORS = (HTTPClientError, OSError, UnsatisfiableReadError)
# The platform holds values up to 1 MiB and lists them in pages of that size, in an encoding that
# adds a third; chunks of the known deployments have 48 KiB. Chunks above this limit cannot be read
# from an origin.
MAX_ANSWER_BYTES = 6 << 20


@define(kw_only=True)
class _CompleteAnswerReceiver:
    """Collects a complete answer."""

    max_bytes: int
    head: AnswerHead | None = None
    parts: list[bytes] = field(factory=list)
    size: int = 0

    @property
    def is_too_large(self) -> bool:
        return self.size > self.max_bytes

    def on_head(self, head: AnswerHead) -> bool:
        self.head = head
        return True

    def on_data(self, data: bytes) -> None:
        self.size += len(data)
        if self.is_too_large:
            self.parts.clear()
            raise AnswerRefusedError(f"an answer of more than {self.max_bytes} bytes")
        self.parts.append(data)


@frozen(kw_only=True)
class CompleteAnswer:
    """A complete answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


async def fetch(
    pool: ConnectionPool,
    address: str,
    target: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    send_by: float = math.inf,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Result[CompleteAnswer, Error]:
    """Send one request and return its complete answer, whatever its status, of `max_bytes` at most.

    Fails with `TOO_LARGE` above `max_bytes`, and with `PLATFORM_UNAVAILABLE` if no complete answer
    arrived in time; the request may have been executed nevertheless. From `send_by` on, seconds on
    the process's clock, it fails without sending the request: the reason for it may no longer hold
    once a connection is open.
    """
    try:
        return await asyncio.wait_for(
            _fetch(
                pool,
                address,
                target,
                method,
                body,
                headers or {},
                connect_timeout_s,
                send_by,
                max_bytes,
            ),
            timeout_s,
        )
    except TimeoutError:
        detail = f"{method} {target.partition('?')[0]}: no answer in {timeout_s} s"
        return unavailable(detail, is_silence=True)
    except (ConnectError, StreamClosedError) as exc:
        return unavailable(f"{method} {target.partition('?')[0]}: {exc or type(exc).__name__}")


async def _fetch(
    pool: ConnectionPool,
    address: str,
    target: str,
    method: str,
    body: bytes,
    extra: dict[str, str],
    connect_timeout_s: float,
    send_by: float,
    max_bytes: int,
) -> Result[CompleteAnswer, Error]:
    conn = await pool.acquire(address, timeout_s=connect_timeout_s)
    late_s = now() - send_by
    if late_s >= 0:
        pool.release(conn)
        return unavailable(f"{method} {target}: not sent, as it came {late_s:.2f} s too late")
    receiver = _CompleteAnswerReceiver(max_bytes=max_bytes)
    try:
        headers = HTTPHeaders({"Host": address, **extra})
        if body or method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(body))
        conn.send(method=method, target=target, headers=headers, body=body)
        end = await conn.read(receiver)
    except BaseException:
        conn.close()
        raise
    if end is not ReadOutcome.COMPLETE or receiver.head is None:
        reason = conn.abort_reason or "the connection broke"
        detail = f"{method} {target.partition('?')[0]}: {reason}"
        if receiver.is_too_large:
            return Failure(Error(kind=ErrorKind.TOO_LARGE, detail=detail))
        return unavailable(detail)
    pool.release(conn)
    head = receiver.head
    return Success(
        CompleteAnswer(status=head.status, headers=head.headers, body=b"".join(receiver.parts))
    )
