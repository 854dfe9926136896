"""HTTP client of the engine beside the agent."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field, frozen
from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.event_stream import StreamAllowance
from wasabilb_core.orders import EngineReport, Order
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now
from wasabilb_node.http_client import LIBRARY_CALL_ERRORS
from wasabilb_wire.messages import Header

from wasabilb_agent._http_stream import CONNECT_TIMEOUT_S, new_client, stream_exchange
from wasabilb_agent.server_sent_events import EventStreamDecoder

REPORT_TIMEOUT_S = 3.0
ORDER_TIMEOUT_S = 30.0
CHUNK_TIMEOUT_S = 30.0
# Reports have a few KiB, other calls an empty answer.
MAX_CALL_BYTES = 1 << 20
HTTP_OK = 200


@frozen(kw_only=True)
class EngineStatus:
    """An engine's report.

    Parameters
    ----------
    models : EngineReport
        Loaded and loading variants.
    committed : frozenset of Variant
        Variants whose weights the engine holds completely.
    slots, running, queued : int
        Load, which lags.
    """

    models: EngineReport
    committed: frozenset[Variant]
    slots: int
    running: int
    queued: int


@frozen(kw_only=True)
class Tokens:
    """Tokens that arrived together; `position` is the index of the first."""

    position: int
    texts: list[str]


@frozen(kw_only=True)
class Finished:
    """Definite end of a completion at a position."""

    position: int
    reason: str


OnHead = Callable[[Variant], None]
OnTokens = Callable[[Tokens], Awaitable[None]]


@define(kw_only=True)
class _Completion:
    """State of one completion."""

    events: EventStreamDecoder = field(factory=EventStreamDecoder)
    finished: Finished | None = None
    status: int = 0
    head_at: float = field(factory=now)
    allowance: StreamAllowance = field(factory=StreamAllowance)


class EngineClient:
    """Client of one engine.

    Parameters
    ----------
    url : str
        Base URL of the engine.
    orders_token : str
        Token that the engine expects with orders; empty for none.
    """

    def __init__(self, *, url: str, orders_token: str) -> None:
        self._url = url.rstrip("/")
        self._orders_headers = {"Content-Type": "application/json"}
        if orders_token:
            self._orders_headers["Authorization"] = f"Bearer {orders_token}"
        self._http = new_client()
        self._calls = new_client(max_bytes=MAX_CALL_BYTES)

    async def status(self) -> Result[EngineStatus, Error]:
        """Return a report with a fresh model state."""
        body = await self._call("GET", "/engine/report?fresh=1", timeout_s=REPORT_TIMEOUT_S)
        if isinstance(body, Failure):
            return body
        try:
            return Success(_to_status(json.loads(body.unwrap())))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return _failure(f"engine report is malformed: {type(exc).__name__}: {exc}")

    async def order(self, order: Order) -> Result[None, Error]:
        """Send an order with its fencing token."""
        body = {
            "fence": order.fence,
            "action": order.action.value,
            "model": order.variant.model,
            "adapter": order.variant.adapter,
            "version": order.variant.version,
        }
        response = await self._call(
            "POST", "/engine/orders", body=json.dumps(body).encode(), timeout_s=ORDER_TIMEOUT_S
        )
        return response.map(lambda _: None)

    async def put_chunk(self, digest: str, data: bytes) -> Result[None, Error]:
        """Upload one chunk of weights."""
        path = f"/engine/weights/{digest}"
        response = await self._call("PUT", path, body=data, timeout_s=CHUNK_TIMEOUT_S)
        return response.map(lambda _: None)

    async def commit(self, variant: Variant, digests: list[str]) -> Result[None, Error]:
        """Declare that all chunks of a variant are uploaded."""
        body = {
            "model": variant.model,
            "adapter": variant.adapter,
            "version": variant.version,
            "digests": digests,
        }
        response = await self._call(
            "POST",
            "/engine/weights/commit",
            body=json.dumps(body).encode(),
            timeout_s=ORDER_TIMEOUT_S,
        )
        return response.map(lambda _: None)

    async def cancel(self, request_id: str) -> None:
        """Cancel a completion; errors are ignored, as its connection is closed too."""
        body = json.dumps({"id": request_id}).encode()
        await self._call("POST", "/engine/cancel", body=body, timeout_s=REPORT_TIMEOUT_S)

    async def complete(
        self, *, body: dict[str, Any], timeout_s: float, on_head: OnHead, on_tokens: OnTokens
    ) -> Result[Finished, Error]:
        """Run a completion and stream its tokens.

        Parameters
        ----------
        body : dict
            The engine's request, `resume_from` included.
        timeout_s : float
            Time left until the deadline, in seconds.
        on_head : callable
            Called with the variant that answers; may raise `ExchangeStoppedError`.
        on_tokens : callable
            Awaited for each group of tokens, so that a slow reader slows the engine's connection;
            may raise `ExchangeStoppedError`.
        """
        completion = _Completion()

        def on_answer_head(status: int, headers: list[Header]) -> None:
            completion.status = status
            completion.head_at = now()
            if status == HTTP_OK:
                on_head(_to_variant({h.name.lower(): h.value for h in headers}))

        async def on_bytes(data: bytes) -> None:
            if completion.status == HTTP_OK:
                await _process_events(completion, data, on_tokens)

        status = await stream_exchange(
            http=self._http,
            url=f"{self._url}/v1/completions",
            method="POST",
            headers=HTTPHeaders({"Content-Type": "application/json"}),
            body=json.dumps(body).encode(),
            timeout_s=timeout_s,
            on_head=on_answer_head,
            on_bytes=on_bytes,
        )
        if isinstance(status, Failure):
            return status
        if status.unwrap() != HTTP_OK:
            return _failure(
                f"the engine answers {status.unwrap()}", kind=_to_error_kind(status.unwrap())
            )
        if completion.finished is None:
            return _failure("the engine ended a completion early", kind=ErrorKind.STREAM_BROKEN)
        return Success(completion.finished)

    def close(self) -> None:
        """Release the client."""
        self._http.close()
        self._calls.close()

    async def _call(
        self, method: str, path: str, *, timeout_s: float, body: bytes | None = None
    ) -> Result[bytes, Error]:
        try:
            response = await self._calls.fetch(
                self._url + path,
                method=method,
                headers=self._orders_headers,
                body=body,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout_s,
            )
        except LIBRARY_CALL_ERRORS as exc:
            detail = f"{method} {path.partition('?')[0]}: {exc}"
            return _failure(detail)
        return Success(response.body)


async def _process_events(completion: _Completion, data: bytes, on_tokens: OnTokens) -> None:
    texts: list[str] = []
    position = 0
    count = completion.events.count
    events = completion.events.feed(data)
    if not completion.allowance.take(completion.events.count - count, now() - completion.head_at):
        raise ValueError(f"a stream of {completion.allowance.events} events")
    for event in events:
        if event == "[DONE]":
            continue
        item = json.loads(event)
        if "finish_reason" in item:
            completion.finished = Finished(position=item["index"], reason=item["finish_reason"])
            continue
        if not texts:
            position = item["index"]
        texts.append(item["text"])
    if texts:
        await on_tokens(Tokens(position=position, texts=texts))


def _to_variant(headers: dict[str, str]) -> Variant:
    return Variant(
        model=headers.get("engine-model", ""),
        adapter=headers.get("engine-adapter", ""),
        version=headers.get("engine-version", ""),
    )


def _to_status(data: dict[str, Any]) -> EngineStatus:
    loaded: set[Variant] = set()
    loading: set[Variant] = set()
    for item in data["models"]:
        for version, variants in ((item["version"], loaded), (item["loading"], loading)):
            if version:
                variants.add(Variant(model=item["model"], adapter=item["adapter"], version=version))
    return EngineStatus(
        models=EngineReport(loaded=frozenset(loaded), loading=frozenset(loading)),
        committed=frozenset(_parse_variant(text) for text in data["held"]["committed"]),
        slots=int(data["slots"]),
        running=int(data["running"]),
        queued=int(data["queued"]),
    )


def _parse_variant(text: str) -> Variant:
    """Read `model[+adapter]@version`."""
    names, _, version = text.rpartition("@")
    model, _, adapter = names.partition("+")
    return Variant(model=model, adapter=adapter, version=version)


def _to_error_kind(status: int) -> ErrorKind:
    """Return the error kind for a response that is not a stream."""
    # The engine answers 404 and 409 when it no longer serves the model or changed its version.
    if status in (404, 409):
        return ErrorKind.VERSION_MISMATCH
    return ErrorKind.BAD_REQUEST if 400 <= status < 500 else ErrorKind.BACKEND_ERROR


def _failure(detail: str, *, kind: ErrorKind = ErrorKind.BACKEND_ERROR) -> Failure[Error]:
    return Failure(Error(kind=kind, detail=detail))
