"""Streamed HTTP exchange with the local engine or service, with classified errors."""

import logging
from collections.abc import Awaitable, Callable

from attrs import define, field
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPTimeoutError
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_node.http_client import MAX_HEADER_BYTES
from wasabilb_wire.messages import Header

from wasabilb_agent._http_chunked_coding import ChunkedClient

CONNECT_TIMEOUT_S = 2.0
# The run queue and the entry hosts bound the calls in flight; the client must add no queue.
MAX_CLIENTS = 4096
MAX_RESPONSE_BYTES = 1 << 30

OnHead = Callable[[int, list[Header]], None]
OnBytes = Callable[[bytes], Awaitable[None]]


class ExchangeStoppedError(Exception):
    """Raised by a callback to end an exchange; closing its connection cancels the work."""


class _StoppedExchangeFilter(logging.Filter):
    """Filter of tornado's error logs for exchanges that were stopped on purpose."""

    def filter(self, record: logging.LogRecord) -> bool:
        exc = record.exc_info[1] if record.exc_info else None
        return not isinstance(exc, ExchangeStoppedError)


logging.getLogger("tornado.application").addFilter(_StoppedExchangeFilter())


@define(kw_only=True)
class _ExchangeState:
    """State of an exchange."""

    status: int = 0
    headers: list[Header] = field(factory=list)
    callback_error: Exception | None = None


def new_client(
    *, max_bytes: int = MAX_RESPONSE_BYTES, max_clients: int = MAX_CLIENTS
) -> AsyncHTTPClient:
    """Return a client that opens one connection for each request.

    Parameters
    ----------
    max_bytes : int
        Longest body. One that is not streamed is kept until it is whole.
    max_clients : int
        Requests at once; further ones wait.
    """
    return ChunkedClient(
        force_instance=True,
        max_clients=max_clients,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_bytes,
    )


async def stream_exchange(
    *,
    http: AsyncHTTPClient,
    url: str,
    method: str,
    headers: HTTPHeaders,
    body: bytes | None,
    timeout_s: float,
    on_head: OnHead,
    on_bytes: OnBytes,
) -> Result[int, Error]:
    """Send a request once, stream its response and return the status.

    The outcome of an error is "not run" only if the connection failed: each exchange has its own
    connection, so nothing can have been sent before.

    Raises
    ------
    ExchangeStoppedError, ValueError, KeyError, TypeError
        When a callback raises them.
    """
    state = _ExchangeState()

    def on_line(line: str) -> None:
        name, _, value = line.partition(":")
        if line.startswith("HTTP/"):
            state.status = int(line.split()[1])
            state.headers.clear()
        elif line.strip():
            state.headers.append(Header(name=name, value=value.strip()))
        elif state.status >= 200:
            _run_callback(state, lambda: on_head(state.status, state.headers))

    async def on_chunk(data: bytes) -> None:
        try:
            await on_bytes(data)
        except Exception as exc:
            state.callback_error = exc
            raise ExchangeStoppedError from exc

    request = HTTPRequest(
        url,
        method=method,
        headers=headers,
        body=body,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        header_callback=on_line,
        streaming_callback=on_chunk,
    )
    try:
        await http.fetch(request, raise_error=False)
    except Exception as exc:
        if state.callback_error is not None:
            raise state.callback_error from None
        return Failure(_to_error(exc))
    return Success(state.status)


def _run_callback(state: _ExchangeState, callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception as exc:
        state.callback_error = exc
        raise ExchangeStoppedError from exc


def _to_error(exc: Exception) -> Error:
    detail = f"{type(exc).__name__}: {exc}"
    is_timeout = isinstance(exc, HTTPTimeoutError)
    if isinstance(exc, ConnectionRefusedError) or (is_timeout and "connecting" in str(exc)):
        kind, outcome = ErrorKind.BACKEND_UNREACHABLE, Outcome.NOT_RUN
        return Error(kind=kind, detail=detail, outcome=outcome)
    kind = ErrorKind.DEADLINE_PASSED if is_timeout else ErrorKind.STREAM_BROKEN
    return Error(kind=kind, detail=detail, outcome=Outcome.UNKNOWN)
