"""Model requests: choice of a runner, hedging, and resumption at the exact position."""

import asyncio
import json
import random
from collections.abc import AsyncGenerator, AsyncIterator

import attrs
from returns.result import Failure, Success
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.membership import Membership
from wasabilb_core.metric_names import Metric
from wasabilb_core.retries import HedgePolicy, RetryBudget, backoff_s
from wasabilb_core.routing import RouteRequest, RoutingPolicy
from wasabilb_core.size_predictor import SizePredictor
from wasabilb_core.stream_cursor import StreamCursor
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_wire.messages import Call, End, Head, StreamData

from wasabilb_entry.attempt_watch import AttemptWatch, MovableWork
from wasabilb_entry.attempts import Attempt, AttemptTable, Part
from wasabilb_entry.model_progress import MOVABLE, OVERLOADS, REFUSALS, AnswerPart, ModelProgress
from wasabilb_entry.prompts import ModelPrompt
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord, fail
from wasabilb_entry.runner_choice import RunnerChoice

# Enough for the loss of two runners in one answer; more tells of a fault that moves along.
MAX_ATTEMPTS = 4
# Runners that are asked during an overload before the caller is told.
MAXREFUSALS = 3
# Below this number of predicted tokens a request counts as short work.
SHORT_TOKENS = 64
NO_RUNNER_RETRY_S = 1.0
# The agent reports a silent engine after its own progress timeout; this one covers the agent.
PROGRESS_MARGIN = 2.0
_TEXTS = json.JSONDecoder()


class ModelRouter:
    """Runs model requests on the runners.

    Parameters
    ----------
    routing : RoutingPolicy
        Chooses among the runners.
    predictor : SizePredictor
        Predicts the tokens of an answer.
    budget : RetryBudget
        Bounds the extra work of moves and hedges.
    hedging : HedgePolicy or None
        Says when a second attempt starts; None for never.
    watch : AttemptWatch or None
        Moves requests off slow runners; None for never.
    credit_bytes : int
        Window of one answer: what may be held for a slow caller.
    progress_s : float
        Longest silence within an answer, in seconds.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        attempts: AttemptTable,
        routing: RoutingPolicy,
        predictor: SizePredictor,
        budget: RetryBudget,
        hedging: HedgePolicy | None,
        watch: AttemptWatch | None,
        metrics: Metrics,
        rng: random.Random,
        log: EventLog,
        credit_bytes: int,
        progress_s: float,
    ) -> None:
        self._choice = RunnerChoice(
            membership=membership, attempts=attempts, routing=routing, rng=rng
        )
        self._attempts = attempts
        self._routing = routing
        self._predictor = predictor
        self._budget = budget
        self._hedging = hedging
        self._watch = watch
        self._metrics = metrics
        self._rng = rng
        self._log = log
        self._credit_bytes = credit_bytes
        self._progress_s = progress_s * PROGRESS_MARGIN

    async def answer(
        self, *, req: CallerRequest, prompt: ModelPrompt, record: RequestRecord
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the parts of the answer; the last one has a reason.

        Raises
        ------
        RequestFailedError
            When no attempt can give the whole answer.
        """
        predicted = self._predictor.predict(
            req.account.name, prompt.model, prompt.prompt_tokens, prompt.max_tokens
        )
        route = RouteRequest(
            predicted_tokens=predicted,
            prefix_hashes=prompt.prefix_hashes,
            is_short=predicted <= SHORT_TOKENS,
        )
        progress = self._new_progress(req, prompt, record, route)
        self._budget.on_request(predicted)
        while True:
            attempt = self._start(progress)
            try:
                attempt = await self._hedged(progress, attempt)
                async for part in self._receive(progress, attempt):
                    yield part
                    if part.reason:
                        self._observe(progress)
                        return
            finally:
                self._finish(progress, attempt)
            pause_s = self._on_moved(progress, attempt)
            if pause_s > 0:
                await asyncio.sleep(min(pause_s, max(progress.req.left_s, 0)))

    def _new_progress(
        self, req: CallerRequest, prompt: ModelPrompt, record: RequestRecord, route: RouteRequest
    ) -> ModelProgress:
        cursor = StreamCursor()

        def has_other() -> bool:
            return self._choice.has_other(progress)

        work = MovableWork(
            prompt_tokens=prompt.prompt_tokens,
            predicted=route.predicted_tokens,
            cursor=cursor,
            has_other=has_other,
        )
        progress = ModelProgress(
            req=req, prompt=prompt, record=record, route=route, work=work, cursor=cursor
        )
        return progress

    def _start(self, progress: ModelProgress) -> Attempt:
        """Send the call to the best runner."""
        while True:
            if progress.req.left_s <= 0:
                raise fail(ErrorKind.DEADLINE_PASSED, "the deadline has passed")
            if progress.record.attempts - progress.work.moves >= MAX_ATTEMPTS:
                raise self._give_up(progress)
            chosen = self._choice.choose(progress, avoided=progress.avoided)
            if chosen is None:
                raise self._give_up(progress)
            host, variant = chosen
            attempt = self._attempts.start(host, self._to_call(progress, variant))
            if attempt is None:
                progress.excluded.add(host)
                continue
            progress.pinned = variant
            progress.avoided = ""
            progress.record.attempts += 1
            progress.record.host = host
            progress.record.version = variant.version
            progress.record.variant = str(variant)
            self._on_sent(progress, attempt)
            return attempt

    def _on_sent(self, progress: ModelProgress, attempt: Attempt) -> None:
        self._routing.on_sent(attempt.host, progress.route, attempt.sent_at)
        if self._watch is not None:
            self._watch.add(attempt, progress.work)

    def _to_call(self, progress: ModelProgress, variant: Variant) -> Call:
        req, prompt = progress.req, progress.prompt
        return Call(
            id=0,
            request_id=req.id,
            traceparent=req.traceparent,
            account=req.account.name,
            weight=req.account.weight,
            target=prompt.model,
            variant=str(variant),
            path="/v1/completions",
            body=prompt.to_engine_body(variant),
            deadline_ms=max(int(req.left_s * 1000), 1),
            priority=req.priority,
            predicted_tokens=int(progress.route.predicted_tokens),
            resume_from=progress.cursor.position,
            credit=self._credit_bytes,
            waited_ms=self._waited_ms(progress),
        )

    def _waited_ms(self, progress: ModelProgress) -> int:
        """Return the wait that the next agent adds to its own, none for a resumed answer."""
        if progress.cursor.position > 0:
            return 0
        return int((now() - progress.record.started_at) * 1000)

    async def _hedged(self, progress: ModelProgress, first: Attempt) -> Attempt:
        """Return the attempt that answers first; a second one starts when the first is late."""
        delay_s = self._hedging.delay_s() if self._hedging is not None else None
        if self._hedging is None or delay_s is None or progress.cursor.position > 0:
            return first
        if await _has_part_within(first, min(delay_s, max(progress.req.left_s, 0))):
            return first
        # A second run of long work costs more than waiting, and moves serve it once it has begun.
        if not progress.route.is_short or first.is_given_back:
            return first
        work = progress.route.predicted_tokens
        waited_s = now() - first.sent_at
        if not self._hedging.may_hedge(is_repeatable=True, waited_s=waited_s, now=now(), work=work):
            return first
        second = self._start_hedge(progress, first)
        if second is None:
            return first
        ready = {asyncio.ensure_future(a.ready()): a for a in (first, second)}
        try:
            done, _ = await asyncio.wait(
                ready, timeout=max(progress.req.left_s, 0), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            # The caller went away; the first attempt is ended by `answer`.
            self._finish(progress, second)
            raise
        finally:
            for task in ready:
                task.cancel()
        winner = ready[next(iter(done))] if done else first
        if winner.is_failed and not (second if winner is first else first).is_failed:
            winner = second if winner is first else first
        self._finish(progress, second if winner is first else first)
        progress.record.host = winner.host
        return winner

    def _start_hedge(self, progress: ModelProgress, first: Attempt) -> Attempt | None:
        """Send the second attempt to another runner of the same variant."""
        pinned, progress.excluded = progress.pinned, progress.excluded | {first.host}
        chosen = self._choice.choose(progress)
        progress.excluded.discard(first.host)
        if chosen is None or pinned is None or chosen[1] != pinned:
            return None
        second = self._attempts.start(chosen[0], self._to_call(progress, pinned))
        if second is not None:
            self._on_sent(progress, second)
            self._metrics.count(Metric.HEDGES)
            self._log.event("hedge_sent", request=progress.req.id, host=second.host)
        return second

    async def _receive(
        self, progress: ModelProgress, attempt: Attempt
    ) -> AsyncIterator[AnswerPart]:
        """Yield the parts of one attempt; returns early when the request has to move."""
        has_head = False
        last_at = attempt.sent_at
        while True:
            limit_s = progress.req.left_s
            if has_head:
                limit_s = min(limit_s, self._progress_s)
            part = await attempt.next(max(limit_s, 0.001))
            if isinstance(part, StreamData):
                moment = now()
                self._note_times(attempt, last_at, moment)
                last_at = moment
                # Parts that wait together for one caller cost one event and one write.
                parts = [part, *attempt.more_data()]
                texts, error = self._accept_all(progress, parts)
                progress.record.tokens = progress.cursor.position
                yield AnswerPart(texts=texts)
                if error is not None:
                    raise RequestFailedError(attrs.evolve(error, outcome=Outcome.UNKNOWN))
                attempt.grant(sum(len(data.payload) for data in parts))
                continue
            if isinstance(part, Head):
                has_head = True
                continue
            if isinstance(part, End) and isinstance(
                progress.cursor.on_end(position=part.position), Failure
            ):
                part = Error(kind=ErrorKind.STREAM_BROKEN, detail="the answer ended too early")
            if isinstance(part, End):
                progress.last_error = None
                yield AnswerPart(reason=part.finish_reason)
                return
            progress.last_error = attempt.error = self._to_error(progress, part)
            return

    def _accept_all(
        self, progress: ModelProgress, parts: list[StreamData]
    ) -> tuple[list[str], Error | None]:
        """Return the tokens that the caller has not got yet, and what is wrong after them."""
        texts: list[str] = []
        for part in parts:
            accepted = progress.cursor.on_part(position=part.position, count=part.count)
            # The test for the other class goes through the library's abstract base class.
            if not isinstance(accepted, Success):
                return texts, accepted.failure()
            texts += _TEXTS.decode(part.payload.decode())[accepted.unwrap().skip :]
        return texts, None

    def _note_times(self, attempt: Attempt, last_at: float, moment: float) -> None:
        if not attempt.has_data:
            attempt.has_data = True
            wait_s = moment - attempt.sent_at
            self._routing.on_first_byte(attempt.host, wait_s, moment)
            for learner in (self._hedging, self._watch):
                if learner is not None:
                    learner.observe(wait_s)
        else:
            self._routing.on_progress(attempt.host, moment - last_at, moment)

    def _to_error(self, progress: ModelProgress, part: Part | None) -> Error:
        if isinstance(part, Error):
            return part
        if progress.req.left_s <= 0:
            return Error(kind=ErrorKind.DEADLINE_PASSED, detail="the deadline has passed")
        return Error(kind=ErrorKind.STREAM_BROKEN, detail=f"nothing came for {self._progress_s} s")

    def _on_moved(self, progress: ModelProgress, attempt: Attempt) -> float:
        """Decide whether the request goes on with another runner, and after which pause."""
        error = progress.last_error
        if error is not None and attempt.is_given_back:
            # The runner is only slow: it may still serve when the others fail.
            progress.work.moves += 1
            progress.avoided = attempt.host
            self._log_moved(progress, attempt, error)
            return 0.0
        if error is None or error.kind not in MOVABLE:
            raise self._give_up(progress)
        progress.excluded.add(attempt.host)
        if error.kind in OVERLOADS and progress.cursor.position == 0:
            # A refusal costs no work of the engine, but asking every runner would add to the load.
            if len(progress.excluded) >= MAXREFUSALS:
                raise self._give_up(progress)
        elif error.kind not in REFUSALS:
            self._budget.charge()
        self._log_moved(progress, attempt, error)
        failures = progress.record.attempts - progress.work.moves
        # The first move is made at once, since a caller waits in the middle of an answer.
        return backoff_s(failures - 1, self._rng) if failures > 1 else 0.0

    def _log_moved(self, progress: ModelProgress, attempt: Attempt, error: Error) -> None:
        self._metrics.count(Metric.REQUESTS_MOVED)
        self._log.event(
            "request_moved",
            request=progress.req.id,
            host=attempt.host,
            reason=error.kind.value,
            tokens=progress.cursor.position,
        )

    def _give_up(self, progress: ModelProgress) -> RequestFailedError:
        """Return the final error of a request."""
        error = progress.last_error
        if error is not None and error.kind in OVERLOADS:
            self._budget.on_overload(now())
        if progress.cursor.position > 0:
            detail = error.detail if error else "no other runner holds the same version"
            return fail(ErrorKind.STREAM_BROKEN, detail, outcome=Outcome.UNKNOWN)
        error = error or Error(
            kind=ErrorKind.NO_BACKEND,
            detail=f"no runner serves {progress.prompt.model} now",
            retry_after_s=NO_RUNNER_RETRY_S,
        )
        if progress.may_have_run:
            # The last attempt did not run, but an earlier or abandoned one may have.
            error = attrs.evolve(error, outcome=Outcome.UNKNOWN)
        return RequestFailedError(error)

    def _finish(self, progress: ModelProgress, attempt: Attempt) -> None:
        self._attempts.finish(attempt)
        if self._watch is not None:
            self._watch.remove(attempt)
        progress.may_have_run = progress.may_have_run or attempt.may_have_run
        error, moment = attempt.error, now()
        is_ok = error is None or error.kind in REFUSALS or error.kind is ErrorKind.CANCELLED
        waited_s = None if attempt.has_data else moment - attempt.sent_at
        self._routing.on_done(attempt.host, is_ok, moment, waited_s=waited_s)

    def _observe(self, progress: ModelProgress) -> None:
        self._predictor.observe(
            progress.req.account.name,
            progress.prompt.model,
            progress.prompt.prompt_tokens,
            progress.prompt.max_tokens,
            progress.cursor.position,
        )


async def _has_part_within(attempt: Attempt, timeout_s: float) -> bool:
    try:
        await asyncio.wait_for(attempt.ready(), timeout_s)
    except TimeoutError:
        return False
    return True
