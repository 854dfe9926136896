"""Model requests: choice of a runner, hedging, and resumption at the exact position."""

import asyncio
import json
import random
from collections.abc import AsyncGenerator, AsyncIterator

import attrs
from returns.result import Failure, Success
from wasabilb_core.attempts import MAX_RESUME_PAUSE_S
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

from wasabilb_entry.agent_attempts import Attempt, AttemptTable, Part
from wasabilb_entry.attempt_watch import AttemptWatch, MovableRequest
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_entry.prompts import ModelPrompt
from wasabilb_entry.request_guard import RequestGuard
from wasabilb_entry.request_state import MOVABLE, OVERLOADS, REFUSALS, AnswerPart, RequestState
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord, new_error
from wasabilb_entry.runner_selector import RunnerSelector

# Enough for the loss of two runners in one answer; more points to a fault in the request itself.
MAX_ATTEMPTS = 4
# Runners tried during an overload before the request is refused.
MAX_REFUSALS = 3
# Below this number of predicted tokens a request counts as short work.
SHORT_TOKENS = 64
NO_RUNNER_RETRY_S = 1.0
# The agent reports a silent engine after its own timeout; this longer one covers a silent agent.
PROGRESS_TIMEOUT_FACTOR = 2.0
_JSON_DECODER = json.JSONDecoder()


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
        Decides when a second attempt starts; None for never.
    watch : AttemptWatch or None
        Moves requests off slow runners; None for never.
    credit_bytes : int
        Window of one answer: bytes that may be buffered for a slow caller.
    progress_s : float
        Longest silence within an answer, in seconds.
    guard : PromptGuard
        Protects runners from prompts that crash them.
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
        guard: PromptGuard,
    ) -> None:
        self.guard = guard
        self._selector = RunnerSelector(
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
        self._progress_s = progress_s * PROGRESS_TIMEOUT_FACTOR

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
        state = self._new_state(req, prompt, record, route)
        self._budget.on_request(predicted)
        while True:
            attempt = await self._start_attempt(state)
            try:
                attempt = await self._first_to_answer(state, attempt)
                async for part in self._receive(state, attempt):
                    yield part
                    if part.reason:
                        self._observe_size(state)
                        return
            finally:
                self._finish_attempt(state, attempt)
            pause_s = self._plan_move(state, attempt)
            if pause_s > 0:
                await asyncio.sleep(min(pause_s, max(state.req.left_s, 0)))

    def _new_state(
        self, req: CallerRequest, prompt: ModelPrompt, record: RequestRecord, route: RouteRequest
    ) -> RequestState:
        cursor = StreamCursor()

        def has_other_runner() -> bool:
            return self._selector.has_other_runner(state)

        movable = MovableRequest(
            prompt_tokens=prompt.prompt_tokens,
            predicted=route.predicted_tokens,
            cursor=cursor,
            has_other_runner=has_other_runner,
        )
        state = RequestState(
            req=req,
            prompt=prompt,
            record=record,
            route=route,
            movable=movable,
            cursor=cursor,
            guard=RequestGuard(
                guard=self.guard, req=req, subjects=(*prompt.shared_parts, *req.subjects)
            ),
        )
        return state

    async def _start_attempt(self, state: RequestState) -> Attempt:
        """Send the call to the best runner, after a probe of its prompt by another request."""
        while True:
            if state.req.left_s <= 0:
                raise new_error(ErrorKind.DEADLINE_PASSED, "the deadline has passed")
            if state.counted_attempts >= MAX_ATTEMPTS:
                raise self._final_error(state)
            chosen = self._selector.choose(state, avoided_host=state.avoided_host)
            if chosen is None:
                raise self._final_error(state)
            host, variant = chosen
            probed = state.guard.begin()
            if probed is None:
                may_have_run = state.may_have_run
                await state.guard.wait(has_begun=state.has_begun, may_have_run=may_have_run)
                continue
            attempt = self._attempts.start(host, self._to_call(state, variant))
            if attempt is None:
                state.guard.on_unsent(probed)
                state.excluded.add(host)
                continue
            attempt.probed = probed
            state.pinned_variant = variant
            state.avoided_host = ""
            state.record.attempts += 1
            state.record.host = host
            state.record.version = variant.version
            state.record.variant = str(variant)
            self._on_sent(state, attempt)
            return attempt

    def _on_sent(self, state: RequestState, attempt: Attempt) -> None:
        self._routing.on_sent(attempt.host, state.route, attempt.sent_at)
        if self._watch is not None:
            self._watch.add(attempt, state.movable)

    def _to_call(self, state: RequestState, variant: Variant) -> Call:
        req, prompt = state.req, state.prompt
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
            predicted_tokens=int(state.route.predicted_tokens),
            resume_from=state.cursor.position,
            credit=self._credit_bytes,
            waited_ms=self._waited_ms(state),
        )

    def _waited_ms(self, state: RequestState) -> int:
        """Return the wait that the next agent adds to its own, 0 for a resumed answer."""
        if state.cursor.position > 0:
            return 0
        return int((now() - state.record.started_at) * 1000)

    async def _first_to_answer(self, state: RequestState, first: Attempt) -> Attempt:
        """Return the attempt that answers first; a second one starts when the first is late."""
        delay_s = self._hedging.delay_s() if self._hedging is not None else None
        if self._hedging is None or delay_s is None or state.cursor.position > 0:
            return first
        if await _has_part_in_time(first, min(delay_s, max(state.req.left_s, 0))):
            return first
        # Running long work twice costs more than waiting, and moves cover it once it has begun.
        if not state.route.is_short or first.is_moved:
            return first
        work = state.route.predicted_tokens
        waited_s = now() - first.sent_at
        if not self._hedging.may_hedge(is_repeatable=True, waited_s=waited_s, now=now(), work=work):
            return first
        second = self._start_hedge(state, first)
        if second is None:
            return first
        ready = {asyncio.ensure_future(a.ready()): a for a in (first, second)}
        try:
            done, _ = await asyncio.wait(
                ready, timeout=max(state.req.left_s, 0), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            # The caller disconnected; the first attempt is ended by `answer`.
            self._finish_attempt(state, second)
            raise
        finally:
            for task in ready:
                task.cancel()
        winner = ready[next(iter(done))] if done else first
        if winner.has_error_next and not (second if winner is first else first).has_error_next:
            winner = second if winner is first else first
        self._finish_attempt(state, second if winner is first else first)
        state.record.host = winner.host
        return winner

    def _start_hedge(self, state: RequestState, first: Attempt) -> Attempt | None:
        """Send the second attempt to another runner of the same variant."""
        if not state.guard.may_hedge():
            return None
        pinned_variant, state.excluded = state.pinned_variant, state.excluded | {first.host}
        chosen = self._selector.choose(state)
        state.excluded.discard(first.host)
        if chosen is None or pinned_variant is None or chosen[1] != pinned_variant:
            return None
        second = self._attempts.start(chosen[0], self._to_call(state, pinned_variant))
        if second is not None:
            self._on_sent(state, second)
            self._metrics.count(Metric.HEDGES)
            self._log.event("hedge_sent", request=state.req.id, host=second.host)
        return second

    async def _receive(self, state: RequestState, attempt: Attempt) -> AsyncIterator[AnswerPart]:
        """Yield the parts of one attempt; end early when the request has to move."""
        has_head = False
        last_at = attempt.sent_at
        while True:
            limit_s = state.req.left_s
            if has_head:
                limit_s = min(limit_s, self._progress_s)
            part = await attempt.next(max(limit_s, 0.001))
            if isinstance(part, StreamData):
                moment = now()
                self._record_times(attempt, last_at, moment)
                last_at = moment
                # Parts that wait together are combined into one event and one write.
                state.guard.on_data(attempt, moment)
                parts = [part, *attempt.take_waiting_data()]
                texts, error = self._accept_all(state, parts)
                state.record.tokens = state.cursor.position
                yield AnswerPart(texts=texts)
                if error is not None:
                    raise RequestFailedError(attrs.evolve(error, outcome=Outcome.UNKNOWN))
                attempt.grant_credit(sum(len(data.payload) for data in parts))
                continue
            if isinstance(part, Head):
                has_head = True
                attempt.head_at = now()
                continue
            if isinstance(part, End) and isinstance(
                state.cursor.on_end(position=part.position), Failure
            ):
                part = Error(kind=ErrorKind.STREAM_BROKEN, detail="the answer ended too early")
            if isinstance(part, End):
                state.last_error = None
                state.guard.on_survived()
                yield AnswerPart(reason=part.finish_reason)
                return
            state.last_error = attempt.error = self._to_error(state, part)
            return

    def _accept_all(
        self, state: RequestState, parts: list[StreamData]
    ) -> tuple[list[str], Error | None]:
        """Return the tokens that are new to the caller, and the error after them if any."""
        texts: list[str] = []
        for part in parts:
            accepted = state.cursor.on_part(position=part.position, count=part.count)
            # A check for `Failure` would go through the library's abstract base class.
            if not isinstance(accepted, Success):
                return texts, accepted.failure()
            texts += _JSON_DECODER.decode(part.payload.decode())[accepted.unwrap().skip :]
        return texts, None

    def _record_times(self, attempt: Attempt, last_at: float, moment: float) -> None:
        if not attempt.has_data:
            attempt.has_data = True
            wait_s = moment - attempt.sent_at
            self._routing.on_first_byte(attempt.host, wait_s, moment)
            for observer in (self._hedging, self._watch):
                if observer is not None:
                    observer.observe(wait_s)
        else:
            self._routing.on_progress(attempt.host, moment - last_at, moment)

    def _to_error(self, state: RequestState, part: Part | None) -> Error:
        if isinstance(part, Error):
            return part
        if state.req.left_s <= 0:
            return Error(kind=ErrorKind.DEADLINE_PASSED, detail="the deadline has passed")
        return Error(kind=ErrorKind.STREAM_BROKEN, detail=f"nothing came for {self._progress_s} s")

    def _plan_move(self, state: RequestState, attempt: Attempt) -> float:
        """Return the pause before the request moves, or raise its final error."""
        error = state.last_error
        if error is not None and attempt.is_moved:
            # The runner is only slow: it may still serve when the others fail.
            state.movable.moves += 1
            state.avoided_host = attempt.host
            self._log_moved(state, attempt, error)
            return 0.0
        if error is None or error.kind not in MOVABLE:
            raise self._final_error(state)
        if state.is_refusal(error):
            # The caller has a part of the answer, so that a refusal must not end it.
            state.refused.add(attempt.host)
            state.refusals += 1
            self._log_moved(state, attempt, error)
            if state.refusals < 2:
                return 0.0
            return backoff_s(state.refusals - 1, self._rng, cap_s=MAX_RESUME_PAUSE_S)
        state.excluded.add(attempt.host)
        if error.kind in OVERLOADS and state.cursor.position == 0:
            # A refusal costs the engine no work, but trying every runner would add to the load.
            if len(state.excluded) >= MAX_REFUSALS:
                raise self._final_error(state)
        elif error.kind not in REFUSALS:
            self._budget.charge()
        self._log_moved(state, attempt, error)
        failures = state.counted_attempts
        # The first move is immediate, since the caller waits in the middle of an answer.
        return backoff_s(failures - 1, self._rng) if failures > 1 else 0.0

    def _log_moved(self, state: RequestState, attempt: Attempt, error: Error) -> None:
        self._metrics.count(Metric.REQUESTS_MOVED)
        self._log.event(
            "request_moved",
            request=state.req.id,
            host=attempt.host,
            reason=error.kind.value,
            tokens=state.cursor.position,
        )

    def _final_error(self, state: RequestState) -> RequestFailedError:
        """Return the final error of a request."""
        error = state.last_error
        if error is not None and error.kind in OVERLOADS:
            self._budget.on_overload(now())
        if state.cursor.position > 0:
            detail = error.detail if error else "no other runner holds the same version"
            return new_error(ErrorKind.STREAM_BROKEN, detail, outcome=Outcome.UNKNOWN)
        error = error or Error(
            kind=ErrorKind.NO_BACKEND,
            detail=f"no runner serves {state.prompt.model} now",
            retry_after_s=NO_RUNNER_RETRY_S,
        )
        if state.may_have_run:
            # The last attempt did not run, but an earlier or abandoned one may have.
            error = attrs.evolve(error, outcome=Outcome.UNKNOWN)
        return RequestFailedError(error)

    def _finish_attempt(self, state: RequestState, attempt: Attempt) -> None:
        self._attempts.finish(attempt)
        state.guard.on_attempt_ended(attempt)
        if self._watch is not None:
            self._watch.remove(attempt)
        state.may_have_run = state.may_have_run or attempt.may_have_run
        error, moment = attempt.error, now()
        is_ok = error is None or error.kind in REFUSALS or error.kind is ErrorKind.CANCELLED
        waited_s = None if attempt.has_data else moment - attempt.sent_at
        self._routing.on_done(attempt.host, is_ok, moment, waited_s=waited_s)

    def _observe_size(self, state: RequestState) -> None:
        self._predictor.observe(
            state.req.account.name,
            state.prompt.model,
            state.prompt.prompt_tokens,
            state.prompt.max_tokens,
            state.cursor.position,
        )


async def _has_part_in_time(attempt: Attempt, timeout_s: float) -> bool:
    try:
        await asyncio.wait_for(attempt.ready(), timeout_s)
    except TimeoutError:
        return False
    return True
