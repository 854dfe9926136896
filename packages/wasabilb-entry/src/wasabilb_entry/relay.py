"""Passes runners' answers on to one caller, whole or event by event."""

import asyncio
from collections.abc import Awaitable

from attrs import define, field
from tornado.httputil import HTTPHeaders
from wasabilb_core.event_stream import EventBuffer
from wasabilb_core.forwarding import AnswerFacts
from wasabilb_node.clock import now
from wasabilb_node.http_client import Head

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.caller_protocol import CallerProtocol, end_to_end

OK = 200


@define(kw_only=True)
class WholeReply:
    """A whole answer of a runner that has not been passed on yet."""

    head: Head
    facts: AnswerFacts
    body: bytes


@define(kw_only=True, eq=False)
class Relay:
    """Takes the answers of a request's attempts; at most one of them reaches the caller.

    An answer other than a stream is held until it is whole, so that another attempt can take its
    place. The events of a stream are passed on as they come. After a broken attempt the next one
    continues the same answer behind the last whole event.

    Parameters
    ----------
    req : ReceivedRequest
        Who is answered.
    request_id : str
        Identifier that an answer must repeat.
    protocol : CallerProtocol
        Reads the heads of answers.
    is_stream : bool
        Whether successes are event streams.
    """

    req: ReceivedRequest
    request_id: str
    protocol: CallerProtocol
    is_stream: bool
    progress_at: float = field(factory=now)
    events: EventBuffer = field(factory=EventBuffer)
    head: Head | None = None
    facts: AnswerFacts = field(factory=AnswerFacts)
    _parts: list[bytes] = field(factory=list)
    _is_streaming: bool = False

    def begin(self) -> None:
        """Get ready for the answer of a new attempt."""
        self.head = None
        self.facts = AnswerFacts()
        self.events.drop_partial()
        self._parts.clear()
        self._is_streaming = False
        self.progress_at = now()

    @property
    def has_passed_on(self) -> bool:
        """Return whether the caller has received a part of an answer."""
        return self.req.has_started

    def on_head(self, head: Head) -> bool:
        """Take the head of an answer; False for one that answers an earlier request."""
        facts = self.protocol.read_answer(head, now())
        if facts.request_id not in ("", self.request_id):
            return False
        self.head, self.facts = head, facts
        is_plain_body = "Content-Encoding" not in head.headers
        self._is_streaming = (
            self.is_stream and head.status == OK and self.facts.is_sealed and is_plain_body
        )
        self.progress_at = now()
        return True

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Take a part of the body; events go to the caller at once."""
        self.progress_at = now()
        if not self._is_streaming:
            self._parts.append(data)
            return None
        whole = self.events.feed(data)
        return self._pass_on(whole) if whole else None

    def reply(self) -> WholeReply | None:
        """Return the answer of the newest attempt, after its end, if it was no stream."""
        if self.head is None or self._is_streaming:
            return None
        return WholeReply(head=self.head, facts=self.facts, body=b"".join(self._parts))

    def finish_stream(self) -> bool:
        """End the stream as whole; False when it cannot be, because it stops within an event."""
        if not self._is_streaming or self.events.has_partial:
            return False
        if not self.req.has_started:
            # A stream without any event is whole, too.
            self._start(b"")
        self.req.finish()
        return True

    def _pass_on(self, whole: bytes) -> "asyncio.Future[None]":
        return self.req.write(whole) if self.req.has_started else self._start(whole)

    def _start(self, data: bytes) -> "asyncio.Future[None]":
        assert self.head is not None
        return self.req.start(self.head.status, end_to_end(self.head.headers), data)


def send_reply(req: ReceivedRequest, reply: WholeReply) -> None:
    """Pass a whole answer on unchanged."""
    headers: HTTPHeaders = end_to_end(reply.head.headers)
    req.answer(reply.head.status, headers, reply.body)
