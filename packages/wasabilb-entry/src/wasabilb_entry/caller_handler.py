"""Base of the HTTP handlers for callers: size limits, authentication and errors."""

import asyncio
import json
import re
from collections.abc import Awaitable
from typing import Any, cast

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body
from wasabilb_core.crash_subjects import whole_request
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.tickets import AccountSpec

from wasabilb_entry.answers import to_error_event, to_problem, to_retry_after
from wasabilb_entry.entry import Entry, new_request_id
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord, new_error

DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_MS = 3_600_000
PRIORITIES = {"high": 0, "normal": 1, "low": 2}
TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


@stream_request_body
class CallerHandler(RequestHandler):
    """Reads a request within limits, authenticates it and answers errors as problem documents."""

    kind = "service"

    def initialize(self, entry: Entry) -> None:
        """Set the state of the process."""
        self.entry = entry
        self.request_id = new_request_id()
        self.record = RequestRecord(kind=self.kind)
        self.account: AccountSpec | None = None
        self._body = bytearray()
        self._answer_task: asyncio.Task[None] | None = None
        self._is_cut_off = False
        self.set_header("Server", "wasabilb")
        self.set_header("Wasabilb-Request-Id", self.request_id)

    def prepare(self) -> None:
        """Refuse a header that is too large, and a body declared too large before it is read."""
        header_bytes = sum(len(name) + len(value) for name, value in self.request.headers.get_all())
        header_bytes += len(self.request.uri or "")
        if header_bytes > self.entry.max_header_bytes:
            detail = f"header of {header_bytes} bytes, at most {self.entry.max_header_bytes}"
            self.refuse(new_error(ErrorKind.TOO_LARGE, detail).error)
            return
        limit = self.entry.max_body_bytes
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdecimal() and int(declared) > limit:
            self.refuse(
                new_error(ErrorKind.TOO_LARGE, f"body of {declared} bytes, at most {limit}").error
            )

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect the body up to its limit."""
        if len(self._body) + len(chunk) > self.entry.max_body_bytes:
            if not self._finished:
                limit = self.entry.max_body_bytes
                self.refuse(
                    new_error(ErrorKind.TOO_LARGE, f"body of more than {limit} bytes").error
                )
            return None
        self._body += chunk
        return None

    def _cut_off(self) -> None:
        """End the answer with an error, as the process ends."""
        if self._answer_task is not None and not self._answer_task.done():
            self._is_cut_off = True
            self._answer_task.cancel()

    def on_connection_close(self) -> None:
        """Cancel the answer when the caller disconnects."""
        if self._answer_task is not None:
            self._answer_task.cancel()

    async def serve(self, work: Awaitable[None]) -> None:
        """Run a handler's coroutine and answer its errors."""
        task = asyncio.ensure_future(work)
        self._answer_task = task
        self.entry.cut_offs.add(self._cut_off)
        try:
            await task
        except RequestFailedError as exc:
            self._on_failed(exc.error)
        except (asyncio.CancelledError, StreamClosedError):
            if self._is_cut_off:
                detail = "the entry host ended before the answer"
                self._on_failed(Error(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail))
            elif self._is_caller_gone():
                self.record.error = Error(
                    kind=ErrorKind.CANCELLED, detail="the caller closed the connection"
                )
            else:
                # Without an answer of its own, tornado would end the request with an empty 200.
                self._on_failed(Error(kind=ErrorKind.INTERNAL, detail="the entry host ends"))
        except Exception as exc:
            detail = f"{type(exc).__name__}: {exc}"
            self.entry.log.event("internal_error", where=self.kind, detail=detail)
            self._on_failed(Error(kind=ErrorKind.INTERNAL, detail="the entry host failed"))
        finally:
            self.entry.cut_offs.discard(self._cut_off)
            name = self.account.name if self.account else ""
            self.entry.log_done(request_id=self.request_id, account=name, record=self.record)

    def to_request(self) -> CallerRequest:
        """Authenticate the caller and read the headers that all requests share.

        Raises
        ------
        RequestFailedError
            When the key or a header is wrong.
        """
        headers = self.request.headers
        self.account = self.entry.find_account(headers.get("Authorization", ""))
        deadline = headers.get("Wasabilb-Deadline-Ms")
        left_s = DEFAULT_DEADLINE_S
        if deadline is not None:
            is_number = deadline.isascii() and deadline.isdecimal() and len(deadline) <= 9
            if not is_number or not 0 < int(deadline) <= MAX_DEADLINE_MS:
                detail = f"Wasabilb-Deadline-Ms: expected an integer from 1 to {MAX_DEADLINE_MS}"
                raise new_error(ErrorKind.BAD_REQUEST, detail)
            left_s = int(deadline) / 1000
        priority = headers.get("Wasabilb-Priority", "normal")
        if priority not in PRIORITIES:
            detail = f"Wasabilb-Priority: expected one of {', '.join(PRIORITIES)}"
            raise new_error(ErrorKind.BAD_REQUEST, detail)
        trace = headers.get("Traceparent", "")
        subject = whole_request(
            account=self.account.name,
            method=self.request.method or "",
            host="",
            target=self.request.uri or "",
            body=self.body(),
        )
        return CallerRequest(
            id=self.request_id,
            account=self.account,
            deadline=self.record.started_at + left_s,
            priority=PRIORITIES[priority],
            traceparent=trace if TRACEPARENT.fullmatch(trace) else "",
            subjects=(subject,),
        )

    def body(self) -> bytes:
        """Return the request's body."""
        return bytes(self._body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer tornado's own errors as problem documents too."""
        kinds = {404: ErrorKind.NOT_FOUND, 405: ErrorKind.METHOD_NOT_ALLOWED}
        kind = kinds.get(status_code, ErrorKind.BAD_REQUEST)
        if status_code >= 500:
            kind = ErrorKind.INTERNAL
        self.refuse(Error(kind=kind, detail=self._reason))

    def _is_caller_gone(self) -> bool:
        return cast(HTTP1Connection, self.request.connection).stream.closed()

    def _on_failed(self, error: Error) -> None:
        self.record.error = error
        if not self._headers_written:
            self.refuse(error)
            return
        # The caller has part of the answer: report that it is incomplete, then close the
        # connection, so that no client takes it for a clean end.
        is_events = self._headers.get("Content-Type", "").startswith("text/event-stream")
        if is_events:
            self.write(to_error_event(error, request_id=self.request_id))
            self.finish()
        else:
            cast(HTTP1Connection, self.request.connection).stream.close()

    def refuse(self, error: Error) -> None:
        """Answer with the problem document of an error."""
        self.record.error = error
        self.record.status = error.answer.status
        self.set_status(error.answer.status, error.answer.title)
        self.set_header("Content-Type", "application/problem+json")
        self.set_header("Wasabilb-Outcome", error.effective_outcome.value)
        retry_after = to_retry_after(error)
        if retry_after is not None:
            self.set_header("Retry-After", retry_after)
        if error.kind is ErrorKind.TOO_LARGE:
            # The rest of the body is not read, so the connection cannot be reused.
            self.set_header("Connection", "close")
        if self.entry.is_draining:
            # The next request needs a connection to another entry host.
            cast(HTTP1Connection, self.request.connection)._disconnect_on_finish = True
        # tornado sets its own content type for a mapping, so the text is serialized here.
        self.finish(json.dumps(to_problem(error, request_id=self.request_id)))
