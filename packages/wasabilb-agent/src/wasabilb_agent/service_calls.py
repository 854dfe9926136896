"""Calls of the plain service: streamed, or executed at most once by key."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from attrs import define, field
from returns.result import Failure
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.fleet import FleetState
from wasabilb_core.metric_names import Metric
from wasabilb_core.once import (
    Execute,
    Fingerprint,
    Join,
    Key,
    Ledger,
    OnceRequest,
    Replay,
    fingerprint,
    parse_key,
)
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_wire.codec import FrameBuffer, decode, encode
from wasabilb_wire.messages import Call, Head, Header, StreamData

from wasabilb_agent._http_stream import ExchangeStoppedError
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_agent.server_crashes import ServerCrashes
from wasabilb_agent.service_client import ServiceClient

# Answers of at-most-once calls are recorded in full for repeats, so they have a separate bound.
MAX_RECORDED_ANSWER_BYTES = 1 << 20
OVERLOAD_RETRY_S = 1.0


@define(kw_only=True)
class _RecordedAnswer:
    """Complete answer of an at-most-once call."""

    status: int = 0
    headers: list[Header] = field(factory=list)
    body: bytearray = field(factory=bytearray)

    def to_bytes(self) -> bytes:
        """Return the answer as frames, the form in which the ledger stores it."""
        head = Head(id=0, status=self.status, headers=self.headers)
        data = StreamData(id=0, position=0, count=len(self.body), payload=bytes(self.body))
        return encode(head) + encode(data)


class ServiceCalls:
    """All calls of the plain service of an agent.

    Parameters
    ----------
    name : str
        Name of the service in the tickets.
    client : ServiceClient
        Client of the service.
    ledger : Ledger
        Records the keys of at-most-once calls.
    max_calls : int
        Maximum number of calls in progress.
    crashes : ServerCrashes or None
        Tells whether the service has crashed; None if nobody needs to know.
    """

    def __init__(
        self,
        *,
        name: str,
        client: ServiceClient,
        ledger: Ledger,
        fleet: FleetState,
        log: EventLog,
        metrics: Metrics,
        max_calls: int,
        crashes: ServerCrashes | None = None,
    ) -> None:
        self._name = name
        self._client = client
        self._ledger = ledger
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._max_calls = max_calls
        self._crashes = crashes
        self._joined_answers: dict[tuple[str, str], list[OutgoingAnswer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._tasks)

    @property
    def recorded_keys(self) -> int:
        """Return the number of keys in the ledger."""
        return len(self._ledger)

    def on_call(self, answer: OutgoingAnswer, *, is_draining: bool, has_left: bool = False) -> None:
        """Run a call or refuse it at once.

        Parameters
        ----------
        answer : OutgoingAnswer
            The call and the sender of its answer.
        is_draining : bool
            Whether the process stops soon and accepts no calls.
        has_left : bool
            Whether a ticket bars the host from new work. It still answers for keys that ran.
        """
        call = answer.call
        spec = self._fleet.service(self._name)
        is_once = spec is not None and spec.is_once(call.method, call.path.partition("?")[0])
        is_refused = is_draining or (has_left and not is_once)
        error = self._find_refusal(call, is_once=is_once, is_draining=is_refused)
        if error is not None:
            answer.fail(error)
        elif is_once:
            self._begin_once(answer, has_left=has_left)
        else:
            self._start_task(self._stream_call(answer))

    def _find_refusal(self, call: Call, *, is_once: bool, is_draining: bool) -> Error | None:
        """Return the refusal of a call, unrecorded; other attempts under the key may have run."""
        may_have_run = is_once and not call.is_fresh
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if is_draining:
            return Error(kind=ErrorKind.DRAINING, detail="the host is leaving", outcome=outcome)
        if self.in_progress >= self._max_calls:
            return Error(
                kind=ErrorKind.OVERLOADED,
                detail=f"{self.in_progress} calls are in progress",
                retry_after_s=OVERLOAD_RETRY_S,
                outcome=outcome,
            )
        age_s = (wall_ms() - call.wall_ms) / 1000
        if age_s * 1000 > call.deadline_ms:
            # The frame waited while this process was paused; the caller already has its answer.
            detail = f"the frame is {age_s:.1f} s old"
            return Error(kind=ErrorKind.DEADLINE_PASSED, detail=detail, outcome=outcome)
        return None

    def _begin_once(self, answer: OutgoingAnswer, *, has_left: bool) -> None:
        call = answer.call
        created = str(call.key_created_ms) if call.key_created_ms else None
        parsed = parse_key(call.key, created)
        if isinstance(parsed, Failure):
            answer.fail(parsed.failure())
            return
        key = parsed.unwrap()
        call_fingerprint = fingerprint(call.method, call.path, call.body, call.account)
        request = OnceRequest(
            key=key,
            fingerprint=call_fingerprint,
            generation=call.generation,
            entry_wall=call.wall_ms / 1000,
            sent_after=call.sent_after,
        )
        # Refusing the key for good permits the definite answer that nothing ran.
        resolve = self._ledger.cancel if has_left else self._ledger.begin
        claim = resolve(request, now(), wall_ms() / 1000)
        if isinstance(claim, Execute):
            self._joined_answers[(call_fingerprint.account, key.text)] = [answer]
            self._start_task(self._execute_once(call, key, call_fingerprint))
        elif isinstance(claim, Join):
            self._joined_answers[(call_fingerprint.account, key.text)].append(answer)
        elif isinstance(claim, Replay):
            self._start_task(self._replay(answer, claim.answer))
        else:
            self._log_unexecuted(call, claim.error)
            answer.fail(claim.error)

    async def _execute_once(self, call: Call, key: Key, call_fingerprint: Fingerprint) -> None:
        recorded = _RecordedAnswer()

        def on_head(status: int, headers: list[Header]) -> None:
            recorded.status, recorded.headers = status, list(headers)

        async def on_bytes(data: bytes) -> None:
            if len(recorded.body) + len(data) > MAX_RECORDED_ANSWER_BYTES:
                raise ExchangeStoppedError
            recorded.body += data

        error, crash_ms = None, 0
        if self._ledger.start(key, call_fingerprint):
            error, crash_ms = await self._call_once(call, on_head, on_bytes)
        answers = self._joined_answers.pop((call_fingerprint.account, key.text))
        if error is None:
            frames = recorded.to_bytes()
            self._ledger.finish(key, call_fingerprint, frames)
            await asyncio.gather(*(self._replay(answer, frames) for answer in answers))
            return
        if error.effective_outcome is Outcome.NOT_RUN:
            self._ledger.fail_not_run(key, call_fingerprint)
        else:
            self._ledger.fail_unknown(key, call_fingerprint)
        self._log_unexecuted(call, error)
        for answer in answers:
            answer.fail(error, crash_ms=crash_ms)

    async def _call_once(self, call: Call, on_head: Any, on_bytes: Any) -> tuple[Error | None, int]:
        """Send a call; return its error and the time of the crash that ended it, 0 without one."""
        sent_at = now()
        try:
            status = await self._client.call(
                call=call, timeout_s=call.deadline_ms / 1000, on_head=on_head, on_bytes=on_bytes
            )
        except ExchangeStoppedError:
            detail = f"the call ran; its answer exceeds {MAX_RECORDED_ANSWER_BYTES} bytes"
            return Error(kind=ErrorKind.ANSWER_FORGOTTEN, detail=detail), 0
        if not isinstance(status, Failure):
            return None, 0
        error: Error = status.failure()
        if error.effective_outcome is Outcome.NOT_RUN:
            return error, 0
        crash_ms = await self._crash_ms(error, sent_at)
        detail = f"the answer was lost: {error.detail}"
        return Error(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail), crash_ms

    async def _crash_ms(self, error: Error, sent_at: float) -> int:
        return await self._crashes.crash_ms_of(error, sent_at) if self._crashes is not None else 0

    async def _replay(self, answer: OutgoingAnswer, frames: bytes) -> None:
        head, data = [decode(frame).unwrap() for frame in FrameBuffer().feed(frames).unwrap()]
        if not isinstance(head, Head) or not isinstance(data, StreamData):
            raise TypeError("the ledger holds frames of other types")
        answer.send_head(status=head.status, headers=head.headers)
        try:
            if data.payload:
                await answer.send_data(position=0, count=data.count, payload=data.payload)
        except ExchangeStoppedError:
            return
        answer.end(position=data.count)

    async def _stream_call(self, answer: OutgoingAnswer) -> None:
        call = answer.call
        position, sent_at = 0, now()

        async def on_bytes(data: bytes) -> None:
            nonlocal position
            await answer.send_data(position=position, count=len(data), payload=data)
            position += len(data)

        try:
            status = await self._client.call(
                call=call,
                timeout_s=call.deadline_ms / 1000,
                on_head=lambda status, headers: answer.send_head(status=status, headers=headers),
                on_bytes=on_bytes,
            )
        except ExchangeStoppedError:
            return
        if isinstance(status, Failure):
            error = status.failure()
            answer.fail(error, crash_ms=await self._crash_ms(error, sent_at))
        else:
            answer.end(position=position)

    def _log_unexecuted(self, call: Call, error: Error) -> None:
        log_fields: dict[str, Any] = {
            "request": call.request_id,
            "service": self._name,
            "detail": error.detail,
        }
        if error.effective_outcome is Outcome.UNKNOWN:
            self._metrics.count(Metric.ONCE_UNKNOWN)
            self._log.event("once_unknown", **log_fields)
        else:
            self._log.event("once_refused", **log_fields)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
