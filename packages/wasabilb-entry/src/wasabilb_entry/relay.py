"""Forwards runners' answers to one caller, whole or event by event."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field
from tornado.httputil import HTTPHeaders
from wasabilb_core.answer_memory import AnswerMemory, AnswerShare
from wasabilb_core.attempts import AnswerProgress
from wasabilb_core.crashing_parts import SURVIVED_S
from wasabilb_core.event_stream import EventBuffer, StreamAllowance
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_node.clock import now
from wasabilb_node.http_client import AnswerHead, AnswerRefusedError

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.caller_protocol import CallerProtocol, end_to_end

OK = 200
EVENT_STREAM = "text/event-stream"
# Longest answer that is buffered until it is whole: the longest body that callers may send in the
# known deployments. An entry host has 200 MB.
MAX_BUFFERED_BYTES = 4 << 20
# Bytes of a buffered answer that count as progress. Fewer may trickle from a stuck server.
PROGRESS_BYTES = 1024


@define(kw_only=True)
class BufferedAnswer:
    """A whole answer of a runner that has not been forwarded yet."""

    head: AnswerHead
    metadata: AnswerMetadata
    body: bytes


@define(kw_only=True, eq=False)
class _CallerAnswer:
    """The answer that the caller receives, written by one relay at a time."""

    writer: "Relay | None" = None
    is_whole: bool = False
    # Buffered bytes of the request, those of its later relays included.
    share: AnswerShare = field(factory=lambda: AnswerMemory().open())


@define(kw_only=True, eq=False)
class Relay:
    """Receives the answers of a request's attempts and forwards at most one to the caller.

    An answer other than a stream is buffered until it is whole, so that another attempt can replace
    it. The events of a stream are forwarded as they arrive. After a broken attempt the next one
    continues the same answer after the last whole event.

    While a second attempt is to take over from a running one, the first is paused and the second
    has a relay of its own, the `successor`. The head of a usable stream makes that one the writer;
    nothing of the first is forwarded from then on.

    Parameters
    ----------
    req : ReceivedRequest
        Request to answer.
    request_id : str
        Identifier that an answer must repeat.
    protocol : CallerProtocol
        Reads the heads of answers.
    is_stream : bool
        Whether successful answers are event streams.
    """

    req: ReceivedRequest
    request_id: str
    protocol: CallerProtocol
    is_stream: bool
    progress_at: float = field(factory=now)
    events: EventBuffer = field(factory=EventBuffer)
    head: AnswerHead | None = None
    metadata: AnswerMetadata = field(factory=AnswerMetadata)
    _answer: _CallerAnswer = field(factory=_CallerAnswer)
    _on_taken_over: Callable[[], None] | None = None
    _resumed: "asyncio.Future[None] | None" = None
    _on_kept_back: Callable[[], None] | None = None
    # Completes when the caller has taken the newest events, None if it has.
    _taken: "asyncio.Future[None] | None" = None
    _is_released: bool = False
    _on_metadata: Callable[[AnswerMetadata], None] | None = None
    _on_going_on: Callable[[], None] | None = None
    _head_at: float = 0.0
    _parts: list[bytes] = field(factory=list)
    _allowance: StreamAllowance = field(factory=StreamAllowance)
    _size: int = 0
    _size_at_progress: int = 0
    _is_streaming: bool = False
    _is_fresh: bool = True
    _events_before: int = 0

    def __attrs_post_init__(self) -> None:
        if self._answer.writer is None:
            self._answer.writer = self

    def limit_memory(self, memory: AnswerMemory) -> None:
        """Count what the request buffers in a memory that it shares with other requests."""
        self._answer.share = memory.open()

    @property
    def share(self) -> AnswerShare:
        """Return the buffered bytes of the request."""
        return self._answer.share

    def successor(self, on_taken_over: Callable[[], None]) -> "Relay":
        """Return a relay that may take over the answer after its last whole event.

        Parameters
        ----------
        on_taken_over : callable
            Called when it does.
        """
        return Relay(
            req=self.req,
            request_id=self.request_id,
            protocol=self.protocol,
            is_stream=self.is_stream,
            events=self.events.successor(),
            answer=self._answer,
            on_taken_over=on_taken_over,
        )

    @property
    def is_writer(self) -> bool:
        """Return whether it forwards to the caller."""
        return self._answer.writer is self

    def take_over(self) -> bool:
        """Become the writer once; False if another one is, or if the answer is whole already."""
        on_taken_over, self._on_taken_over = self._on_taken_over, None
        if on_taken_over is not None and not self._answer.is_whole:
            self._answer.writer = self
            on_taken_over()
        return self.is_writer

    @property
    def is_waiting(self) -> bool:
        """Return whether the rest of the answer waits for `resume` or until the caller reads."""
        return self._resumed is not None or self._taken is not None

    def withdraw(self) -> None:
        """Never take over."""
        self._on_taken_over = None

    def pause(self, on_kept_back: Callable[[], None] | None = None) -> None:
        """Keep back the rest of the answer until `resume`.

        Parameters
        ----------
        on_kept_back : callable or None
            Called if the next part that arrives completes an event.
        """
        self._on_kept_back = on_kept_back
        if self._resumed is None:
            self._resumed = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Forward what was kept back, unless another relay has taken over."""
        resumed, self._resumed = self._resumed, None
        self.progress_at = now()
        if resumed is not None and not resumed.done():
            resumed.set_result(None)

    def release(self) -> None:
        """Let reading go on whether the caller reads or not, as the attempt ends."""
        self._is_released = True
        self.resume()
        if self._taken is not None:
            self._on_taken(self._taken)

    def begin(
        self,
        *,
        is_fresh: bool,
        on_metadata: Callable[[AnswerMetadata], None],
        on_going_on: Callable[[], None] | None = None,
    ) -> None:
        """Reset the state for the answer of a new attempt.

        Parameters
        ----------
        is_fresh : bool
            Whether no other request was sent on the connection before.
        on_metadata : callable
            Called with the metadata of each answer on the connection.
        on_going_on : callable or None
            Called once if a stream has events some time after its head.
        """
        self._on_going_on = on_going_on
        self._resumed = None
        self._is_released = False
        self.head = None
        self._on_metadata = on_metadata
        self._is_fresh = is_fresh
        self._size = self._size_at_progress = 0
        self.metadata = AnswerMetadata()
        self.events.drop_partial()
        self._events_before = self.events.count
        self._parts.clear()
        self._is_streaming = False
        self._allowance = StreamAllowance()
        self.share.begin_attempt(self._parts.clear)
        self.progress_at = now()

    @property
    def has_begun_answer(self) -> bool:
        """Return whether the caller has received a part of an answer."""
        return self.req.has_started

    @property
    def progress(self) -> AnswerProgress:
        """Return how far the answer of the newest attempt has come."""
        if self.head is None:
            return AnswerProgress.WAITING
        has_event = self.events.count > self._events_before
        return AnswerProgress.BEGUN if has_event else AnswerProgress.STARTED

    def on_head(self, head: AnswerHead) -> bool:
        """Accept the head of an answer; False for one that answers an earlier request."""
        metadata = self.protocol.read_answer(head, now())
        if self._on_metadata is not None:
            self._on_metadata(metadata)
        # On a reused connection, an answer without a request identifier may be a late copy.
        is_own = metadata.request_id == self.request_id
        if not is_own and (metadata.request_id or not self._is_fresh):
            return False
        self.head, self.metadata = head, metadata
        is_plain_body = "Content-Encoding" not in head.headers
        # Only an event stream may continue one; a runner may omit the type of a first answer.
        media_type = head.headers.get("Content-Type", "" if self.has_begun_answer else EVENT_STREAM)
        self._is_streaming = (
            self.is_stream
            and head.status == OK
            and self.metadata.is_sealed
            and is_plain_body
            and media_type.partition(";")[0].strip().lower() == EVENT_STREAM
            and self.take_over()
        )
        self.progress_at = self._head_at = now()
        return True

    def on_data(self, data: bytes) -> Awaitable[None] | None:
        """Accept a part of the body and forward whole events at once.

        Only whole events and `PROGRESS_BYTES` of a buffered answer count as progress: a stuck
        server may send a byte now and then.
        """
        if self._resumed is not None:
            on_kept_back, self._on_kept_back = self._on_kept_back, None
            if on_kept_back is not None and self.events.would_complete(data):
                on_kept_back()
            return self._accept_later(data, self._resumed)
        return self._accept(data)

    async def _accept_later(self, data: bytes, resumed: "asyncio.Future[None]") -> None:
        await resumed
        pending = self._accept(data)
        if pending is not None:
            await pending

    def _accept(self, data: bytes) -> Awaitable[None] | None:
        if not self._is_streaming:
            self._buffer(data)
            return None
        if not self.is_writer:
            # Kept back until another runner had taken over.
            return None
        count = self.events.count
        try:
            whole = self.events.feed(data)
        except ValueError as exc:
            raise AnswerRefusedError(str(exc)) from exc
        pending = self._forward_progress(whole) if whole else None
        elapsed_s = now() - self._head_at
        if not self._allowance.take(self.events.count - count, elapsed_s):
            # Another runner would continue after these events, so that the caller has them.
            detail = f"a stream of {self._allowance.events} events in {elapsed_s:.2f} s"
            raise AnswerRefusedError(detail)
        return pending

    def _forward_progress(self, whole: bytes) -> "asyncio.Future[None] | None":
        self.progress_at = now()
        if self._on_going_on is not None and self.progress_at - self._head_at >= SURVIVED_S:
            on_going_on, self._on_going_on = self._on_going_on, None
            on_going_on()
        return self._forward(whole)

    def _buffer(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BUFFERED_BYTES:
            self._parts.clear()
            self.share.revoke()
            raise AnswerRefusedError(f"an answer of more than {MAX_BUFFERED_BYTES} bytes")
        if not self.share.take(len(data)):
            raise AnswerRefusedError(f"the memory for answers is full; this one has {self._size}")
        self._parts.append(data)
        if self._size - self._size_at_progress >= PROGRESS_BYTES:
            self._size_at_progress, self.progress_at = self._size, now()

    def buffered_answer(self) -> BufferedAnswer | None:
        """Return the ended answer of the newest attempt, None for a stream."""
        if self.head is None or self._is_streaming:
            return None
        return BufferedAnswer(head=self.head, metadata=self.metadata, body=b"".join(self._parts))

    def finish_stream(self) -> bool:
        """Complete the stream; False when it cannot be, because it stops within an event."""
        if not self._is_streaming or self.events.has_partial or not self.is_writer:
            return False
        self._answer.is_whole = True
        if not self.req.has_started:
            # A stream without any event is whole as well.
            self._start(b"")
        self.req.finish()
        return True

    def _forward(self, whole: bytes) -> "asyncio.Future[None] | None":
        written = self.req.write(whole) if self.req.has_started else self._start(whole)
        if written.done() or self._is_released:
            return None
        # The library completes only the newest of several futures of a connection.
        taken = self._taken = asyncio.get_running_loop().create_future()
        written.add_done_callback(lambda _: self._on_taken(taken))
        return taken

    def _on_taken(self, taken: "asyncio.Future[None]") -> None:
        if taken is self._taken:
            self._taken = None
            self.progress_at = now()
        if not taken.done():
            taken.set_result(None)

    def _start(self, data: bytes) -> "asyncio.Future[None]":
        assert self.head is not None
        return self.req.start(self.head.status, end_to_end(self.head.headers), data)


def send_buffered_answer(
    req: ReceivedRequest, buffered_answer: BufferedAnswer, share: AnswerShare
) -> None:
    """Send a whole answer unchanged; it counts as held until the caller has taken it."""
    headers: HTTPHeaders = end_to_end(buffered_answer.head.headers)
    written = req.answer(buffered_answer.head.status, headers, buffered_answer.body)
    share.is_sending = True
    written.add_done_callback(lambda _: share.close())
