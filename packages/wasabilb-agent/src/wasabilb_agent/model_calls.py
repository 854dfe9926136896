"""Model calls: the run queue before the engine and the streams of its answers."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define
from returns.result import Failure, Result, Success
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.metric_names import Metric
from wasabilb_core.queueing import Job, QueuePolicy
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now
from wasabilb_node.metrics import Metrics

from wasabilb_agent._http_stream import ExchangeStoppedError
from wasabilb_agent.engine_client import EngineClient, Finished, Tokens
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_agent.server_crashes import ServerCrashes

# Largest size class of short work in `short_first`, in predicted tokens.
SHORT_TOKENS = 128
# `json.dumps` with an option would build an encoder for each token.
_JSON_ENCODER = json.JSONEncoder(ensure_ascii=False)


@define(kw_only=True, eq=False)
class _Run:
    """State of one model call."""

    answer: OutgoingAnswer
    job: Job
    body: dict[str, Any]
    attempts: int = 0
    is_preempted: bool = False
    is_cancelled: bool = False
    has_head: bool = False
    last_received_at: float = 0.0
    engine_id: str = ""
    mismatched_variant: str = ""


class ModelCalls:
    """All model calls of an agent.

    Parameters
    ----------
    engine : EngineClient
        The engine.
    make_queue : callable
        Builds the run queue for a number of slots.
    is_servable : callable
        Returns whether the engine serves a variant that the tickets allow.
    progress_s : float
        Longest time without data from the engine within an answer, seconds.
    crashes : ServerCrashes or None
        Tells whether the engine has crashed; None if nobody needs to know.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        make_queue: Callable[[int], QueuePolicy],
        is_servable: Callable[[str], bool],
        progress_s: float,
        metrics: Metrics,
        crashes: ServerCrashes | None = None,
    ) -> None:
        self._engine = engine
        self._crashes = crashes
        self._make_queue = make_queue
        self._is_servable = is_servable
        self._progress_s = progress_s
        self._metrics = metrics
        self._queue: QueuePolicy | None = None
        self._slots = 0
        self._runs: dict[str, _Run] = {}
        self._running = 0
        self._is_refusing_unstarted = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._runs)

    @property
    def slots(self) -> int:
        """Return the engine's slots, 0 before its first report."""
        return self._slots

    @property
    def running(self) -> int:
        """Return the number of calls in the engine."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of calls that wait for a slot."""
        return self._queue.waiting if self._queue else 0

    def expected_wait_s(self) -> float:
        """Return the expected wait of short work in seconds."""
        return self._queue.expected_wait_s(now()) if self._queue else 0.0

    def set_slots(self, slots: int) -> None:
        """Set the engine's number of slots; the first report creates the queue."""
        if self._queue is None and slots > 0:
            self._slots = slots
            self._queue = self._make_queue(slots)

    def on_call(self, answer: OutgoingAnswer) -> None:
        """Queue a call or refuse it at once."""
        error = self._enqueue(answer)
        if error is not None:
            answer.fail(error)
            return
        self.start_waiting_calls()

    def on_caller_gone(self, answer: OutgoingAnswer) -> None:
        """End a call whose caller is gone."""
        run = self._runs.get(_run_id(answer))
        if run is None or run.answer is not answer:
            return
        run.is_cancelled = True
        if self._queue is not None and self._queue.cancel(run.job.id):
            self._remove(run)
        elif run.engine_id:
            self._start_task(self._engine.cancel(run.engine_id))

    def refuse_unstarted(self) -> None:
        """Refuse the calls that have not started, so that entry hosts send them elsewhere.

        Called when the host has been leaving for a while: its engine starts no new work then, but
        finishes running calls.
        """
        self._is_refusing_unstarted = True
        for run in list(self._runs.values()):
            if run.attempts == 0 and self._queue is not None and self._queue.cancel(run.job.id):
                run.answer.fail(Error(kind=ErrorKind.DRAINING, detail="the host is leaving"))
                self._remove(run)

    def on_call_withdrawn(self, answer: OutgoingAnswer) -> None:
        """Fail a call that has not started; a started one continues."""
        run = self._runs.get(_run_id(answer))
        if run is None or self._queue is None or run.attempts > 0:
            return
        if self._queue.cancel(run.job.id):
            self._remove(run)
            detail = "the call was withdrawn before its start"
            kind, outcome = ErrorKind.CANCELLED, Outcome.NOT_RUN
            answer.fail(Error(kind=kind, detail=detail, outcome=outcome))

    def on_tick(self) -> None:
        """Refuse waiting calls that cannot meet their deadline, and end stalled ones."""
        if self._queue is None:
            return
        for job in self._queue.remove_expired(now()):
            run = self._runs[job.id]
            detail = "the deadline cannot be met from the run queue"
            has_run = run.attempts > 0
            outcome = Outcome.UNKNOWN if has_run else Outcome.NOT_RUN
            run.answer.fail(Error(kind=ErrorKind.DEADLINE_PASSED, detail=detail, outcome=outcome))
            self._remove(run)
        for run in list(self._runs.values()):
            if run.has_head and not run.engine_id:
                # A preempted stream waits in the run queue; without keep-alives the entry host
                # treated it as stalled after 2 s and moved it until its attempts were used up.
                run.answer.keep_alive(position=run.job.produced)
            if run.engine_id and now() - run.last_received_at > self._progress_s:
                detail = f"the engine sent nothing for {self._progress_s} s"
                run.answer.fail(Error(kind=ErrorKind.STREAM_BROKEN, detail=detail))
                self.on_caller_gone(run.answer)
        self.start_waiting_calls()

    def start_waiting_calls(self) -> None:
        """Start waiting calls while the engine has slots."""
        while self._queue is not None:
            job = self._queue.pop(now(), self._running)
            if job is None:
                return
            run = self._runs[job.id]
            if run.attempts == 0:
                is_short = job.predicted_tokens <= SHORT_TOKENS
                metric = Metric.QUEUE_WAIT_SHORT if is_short else Metric.QUEUE_WAIT_LONG
                self._metrics.timing(metric, (now() - job.arrived) * 1000)
            self._running += 1
            self._start_task(self._run(run))

    def _enqueue(self, answer: OutgoingAnswer) -> Error | None:
        call = answer.call
        if self._queue is None:
            return Error(kind=ErrorKind.NOT_READY, detail="the engine has not reported yet")
        if not self._is_servable(call.variant):
            return Error(kind=ErrorKind.VERSION_MISMATCH, detail=f"not serving {call.variant}")
        body = _to_engine_body(call.body)
        if isinstance(body, Error):
            return body
        moment = now()
        job = Job(
            id=_run_id(answer),
            account=call.account,
            weight=call.weight,
            predicted_tokens=float(max(call.predicted_tokens, 1)),
            produced=call.resume_from,
            deadline=moment + call.deadline_ms / 1000,
            priority=call.priority,
            arrived=moment - call.waited_ms / 1000,
        )
        pushed = self._queue.push(job, moment)
        if not isinstance(pushed, Success):
            refusal: Error = pushed.failure()
            return refusal
        self._runs[job.id] = _Run(answer=answer, job=job, body=body)
        return None

    async def _run(self, run: _Run) -> None:
        run.attempts += 1
        run.is_preempted = False
        run.last_received_at = now()
        run.engine_id = f"{run.answer.call.request_id}-{run.job.id}-{run.attempts}"
        body = {
            **run.body,
            "id": run.engine_id,
            "stream": True,
            "priority": run.job.priority,
            "resume_from": run.job.produced,
        }
        deadline = run.job.deadline or now()
        sent_at = now()
        try:
            result = await self._engine.complete(
                body=body,
                timeout_s=max(deadline - now(), 0.001),
                on_head=lambda variant: self._on_head(run, variant),
                on_tokens=lambda tokens: self._on_tokens(run, tokens),
            )
            await self._on_result(run, result, sent_at)
        except (ExchangeStoppedError, ValueError, KeyError, TypeError) as exc:
            self._on_aborted(run, exc)
        finally:
            run.engine_id = ""
            self._running -= 1
            self.start_waiting_calls()

    def _on_head(self, run: _Run, variant: Variant) -> None:
        run.last_received_at = now()
        if str(variant) != run.answer.call.variant:
            run.mismatched_variant = str(variant)
            raise ExchangeStoppedError
        if not run.has_head:
            run.has_head = True
            run.answer.send_head(status=200, variant=str(variant))

    async def _on_tokens(self, run: _Run, tokens: Tokens) -> None:
        if run.is_cancelled or run.is_preempted:
            raise ExchangeStoppedError
        run.last_received_at = now()
        payload = _JSON_ENCODER.encode(tokens.texts).encode()
        count = len(tokens.texts)
        await run.answer.send_data(position=tokens.position, count=count, payload=payload)
        # A slow caller blocks the engine's connection; that is not a stall of the engine.
        run.last_received_at = now()
        produced = tokens.position + count
        queue = self._queue
        if queue is None:
            return
        preempt = queue.on_progress(run.job.id, produced, now())
        run.job.produced = produced
        if preempt is not None and not self._is_refusing_unstarted:
            run.is_preempted = True
            self._metrics.count(Metric.PREEMPTIONS)
            raise ExchangeStoppedError

    async def _on_result(self, run: _Run, result: Result[Finished, Error], sent_at: float) -> None:
        if isinstance(result, Failure):
            error = result.failure()
            crash_ms = 0
            if self._crashes is not None:
                crash_ms = await self._crashes.crash_ms_of(error, sent_at)
            run.answer.fail(error, crash_ms=crash_ms)
        else:
            finished = result.unwrap()
            run.answer.end(position=finished.position, reason=finished.reason)
        self._finish(run)

    def _on_aborted(self, run: _Run, exc: Exception) -> None:
        if run.is_preempted and not run.is_cancelled and self._queue is not None:
            self._queue.push(run.job, now())
            return
        if run.mismatched_variant:
            # The engine has begun to run the call, unlike after a refusal of the same kind.
            detail = f"the engine answers with {run.mismatched_variant}"
            kind, outcome = ErrorKind.VERSION_MISMATCH, Outcome.UNKNOWN
            run.answer.fail(Error(kind=kind, detail=detail, outcome=outcome))
        elif not isinstance(exc, ExchangeStoppedError):
            detail = f"the engine's answer is malformed: {type(exc).__name__}"
            run.answer.fail(Error(kind=ErrorKind.STREAM_BROKEN, detail=detail))
        self._finish(run)

    def _finish(self, run: _Run) -> None:
        if self._queue is not None:
            self._queue.on_done(run.job.id, now())
        self._remove(run)

    def _remove(self, run: _Run) -> None:
        self._runs.pop(run.job.id, None)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _run_id(answer: OutgoingAnswer) -> str:
    return f"{answer.peer.host}-{id(answer.peer.link):x}-{answer.call.id}"


def _to_engine_body(raw: bytes) -> dict[str, Any] | Error:
    try:
        body = json.loads(raw)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return Error(kind=ErrorKind.BAD_REQUEST, detail="the body is not a JSON object")
    return body
