"""HTTP handlers for callers."""

from typing import Any, cast

from returns.result import Failure
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream
from wasabilb_core.errors import ErrorKind, Outcome
from wasabilb_wire.messages import Head, Header

from wasabilb_entry.answers import (
    DONE_EVENT,
    CompletionFormatter,
)
from wasabilb_entry.caller_handler import CallerHandler
from wasabilb_entry.prompts import parse_prompt
from wasabilb_entry.request_state import AnswerPart
from wasabilb_entry.requests import RequestFailedError, new_error
from wasabilb_entry.service_call import ServiceCall

# Connection headers (RFC 9110, section 7.6.1), the caller's secret, and headers of this system.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "idempotency-key",
        "idempotency-key-created",
        "expect",
    }
)
# Headers of an answer that this host sets itself.
_OWN_HEADERS = frozenset({"server", "date"})


class CompletionHandler(CallerHandler):
    """`POST /v1/completions`."""

    kind = "completion"
    is_chat = False

    async def post(self) -> None:
        """Answer a model request."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        req = self.to_request()
        parsed = parse_prompt(self.body(), is_chat=self.is_chat)
        if isinstance(parsed, Failure):
            raise RequestFailedError(parsed.failure())
        prompt = parsed.unwrap()
        self.record.model = prompt.model
        if self.entry.node.fleet.model(prompt.model) is None and self.entry.is_ready:
            raise new_error(ErrorKind.NOT_FOUND, f"no model {prompt.model!r}")
        self.entry.admit(req, record=self.record, expected_s=0.0, may_have_run=False)
        parts = self.entry.models.answer(req=req, prompt=prompt, record=self.record)
        formatter = CompletionFormatter(prompt=prompt, request_id=self.request_id)
        try:
            if prompt.is_stream:
                await self._stream(formatter, parts)
            else:
                await self._collect(formatter, parts)
            self.record.is_whole = True
        finally:
            await parts.aclose()
            self.entry.on_done(req)

    async def _stream(self, formatter: CompletionFormatter, parts: Any) -> None:
        async for part in parts:
            self._on_part(part)
            if part.reason:
                self.write(formatter.to_end_event(part.reason) + DONE_EVENT)
                await self.finish()
                return
            if not self._headers_written:
                self.set_header("Content-Type", "text/event-stream; charset=utf-8")
                self.set_header("Cache-Control", "no-cache")
            if part.texts:
                await self._send_event(formatter.to_event("".join(part.texts)))

    async def _send_event(self, event: bytes) -> None:
        """Send one event and wait until the connection has taken it."""
        if not self._headers_written or self.request.version != "HTTP/1.1":
            self.write(event)
            await self.flush()
            return
        stream = cast(HTTP1Connection, self.request.connection).stream
        # Chunk of an HTTP/1.1 answer (RFC 9112, section 7.1).
        unwritten = _write_nowait(stream, b"%x\r\n%b\r\n" % (len(event), event))
        if unwritten:
            await stream.write(unwritten)

    async def _collect(self, formatter: CompletionFormatter, parts: Any) -> None:
        texts: list[str] = []
        reason = ""
        async for part in parts:
            self._on_part(part)
            texts += part.texts
            reason = part.reason or reason
        self.finish(formatter.to_body("".join(texts), reason, len(texts)))

    def _on_part(self, part: AnswerPart) -> None:
        if self.record.first_byte_at is None:
            self.record.on_first_byte()
            self.set_header("Wasabilb-Version", self.record.variant)
            self.set_header("Wasabilb-Outcome", Outcome.RAN.value)


class ChatHandler(CompletionHandler):
    """`POST /v1/chat/completions`."""

    kind = "chat"
    is_chat = True


class ModelsHandler(CallerHandler):
    """`GET /v1/models`."""

    kind = "models"

    async def get(self) -> None:
        """List the models that the tickets declare."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.to_request()
        models = self.entry.node.fleet.models()
        data = [{"id": m.name, "object": "model", "version": m.version} for m in models]
        self.record.is_whole = True
        self.finish({"object": "list", "data": data})


class KeysHandler(CallerHandler):
    """`POST /wasabilb/keys?service=S`."""

    kind = "keys"

    async def post(self) -> None:
        """Issue a key for an at-most-once call."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.to_request()
        service = self.get_query_argument("service", "")
        key = self.entry.services.issue(service)
        self.record.is_whole = True
        self.set_status(201)
        self.set_header("Idempotency-Key", key.text)
        self.finish({"key": key.text, "service": service, "created_ms": key.created_ms})


class ServiceHandler(CallerHandler):
    """Any method and path under `/services/NAME/`."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def get(self, service: str, path: str) -> None:
        """Answer a request to a plain service."""
        await self.serve(self._answer(service, path))

    head = post = delete = patch = put = options = get

    async def _answer(self, service: str, path: str) -> None:
        self.record.service = service
        headers = self.request.headers
        key_text = headers.get("Idempotency-Key", "")
        query = f"?{self.request.query}" if self.request.query else ""
        call = ServiceCall(
            service=service,
            method=self.request.method or "GET",
            path=(path or "/") + query,
            headers=[
                Header(name=name, value=value)
                for name, value in headers.get_all()
                if name.lower() not in _NOT_FORWARDED and not name.lower().startswith("wasabilb-")
            ],
            body=self.body(),
            key_text=key_text,
            key_created=headers.get("Idempotency-Key-Created"),
        )
        # Until the newest ticket has arrived, any call may be one that runs at most once.
        is_once = self.entry.services.is_once(call) or not self.entry.node.is_synced
        may_have_run = is_once and bool(key_text)
        try:
            req = self.to_request()
        except RequestFailedError as exc:
            raise self._mark_unknown(exc, may_have_run) from None
        self.entry.admit(req, record=self.record, expected_s=0.0, may_have_run=may_have_run)
        parts = self.entry.services.answer(
            req=req, call=call, record=self.record, on_key=self._on_key
        )
        try:
            async for part in parts:
                await self._send(part)
            await self.finish()
            self.record.is_whole = True
        finally:
            await parts.aclose()
            self.entry.on_done(req)

    def _on_key(self, text: str) -> None:
        self.set_header("Idempotency-Key", text)

    def _mark_unknown(self, exc: RequestFailedError, may_have_run: bool) -> RequestFailedError:
        """Return the error, with an unknown outcome if an earlier attempt may have run."""
        if not may_have_run:
            return exc
        error = exc.error
        return new_error(
            error.kind,
            error.detail,
            retry_after_s=error.retry_after_s,
            outcome=Outcome.UNKNOWN,
        )

    async def _send(self, part: Head | bytes) -> None:
        if isinstance(part, Head):
            self.record.on_first_byte()
            self.record.status = part.status
            self.set_status(part.status, None if part.status != 499 else "")
            self.clear_header("Content-Type")
            for header in part.headers:
                if header.name.lower() not in _OWN_HEADERS:
                    self.add_header(header.name, header.value)
            self.set_header("Wasabilb-Outcome", Outcome.RAN.value)
            return
        self.write(part)
        await self.flush()


class UnknownPathHandler(CallerHandler):
    """Any other path."""

    kind = "unknown"

    async def prepare(self) -> None:  # type: ignore[override]
        """Answer that the path does not exist."""
        self.refuse(new_error(ErrorKind.NOT_FOUND, f"no path {self.request.path}").error)


def _write_nowait(stream: IOStream, data: bytes) -> bytes:
    """Write what the socket accepts without blocking and return the rest.

    The socket nearly always accepts a whole event; the stream's buffer and future would then cost
    more than the system call.
    """
    if stream.writing() or stream.closed():
        return data
    try:
        return data[stream.write_to_fd(memoryview(data)) :]
    except BlockingIOError:
        return data
    except OSError as exc:
        stream.close(exc)
        return data
