"""Makes the attempts of a request, and hands streams over from one runner to another."""

import asyncio
import math
from collections.abc import Callable
from functools import partial

from attrs import define, field
from wasabilb_core.attempts import AttemptEnd
from wasabilb_core.catalog import RequestKind
from wasabilb_core.forwarding_metadata import AnswerMetadata, ForwardMetadata
from wasabilb_core.prompt_parts import parts_text
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import LimitChange
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_entry.caller_protocol import CallerProtocol
from wasabilb_entry.fleet_view import FleetView, Placement
from wasabilb_entry.gateway_metrics import GatewayMetrics
from wasabilb_entry.prompt_guard import GuardedAttempt, PromptGuard
from wasabilb_entry.relay import OK, Relay
from wasabilb_entry.request_context import RequestContext
from wasabilb_entry.resender import Resender
from wasabilb_entry.runner_attempt import AttemptLimits, RunnerAttempt

# Time in which a runner must begin to take over a stream, seconds. The caller receives nothing
# meanwhile, and abandons the stream after 2 s.
TAKE_OVER_S = 1.0
# Ends after which no other attempt answers the request.
FINAL_ENDS = (
    AttemptEnd.ANSWERED,
    AttemptEnd.DEADLINE,
    AttemptEnd.CUT_OFF,
    AttemptEnd.CALLER_GONE,
)


@define(kw_only=True, eq=False)
class RequestAttempts:
    """Sends requests to the runners chosen for them.

    Parameters
    ----------
    fleet : FleetView
        Runners and their load.
    guard : PromptGuard
        Protects runners from prompts that crash them.
    protocol : CallerProtocol
        Header conventions of the deployment.
    resender : Resender
        Finds the runner to which a stream may move.
    log : EventLog
        Receives an event for each attempt that does not answer.
    metrics : GatewayMetrics
        Counters and histograms.
    on_limit_changed : callable
        Called when an answer starts, changes or ends the limit of its runner.
    """

    fleet: FleetView
    guard: PromptGuard
    protocol: CallerProtocol
    resender: Resender
    log: EventLog
    metrics: GatewayMetrics
    on_limit_changed: Callable[[], None]
    _attempts: set[RunnerAttempt] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet.version_bound.on_changed.append(self._on_version_bound)

    async def send(self, ctx: RequestContext, placement: Placement) -> AttemptEnd:
        """Send a request and return how the attempt ended, or the one that took over from it."""
        try:
            end = await self._run(ctx, self._new_attempt(ctx, placement, ctx.relay), placement)
            while ctx.handover is not None and end not in FINAL_ENDS:
                handover, ctx.handover = ctx.handover, None
                end = await handover
            return end
        finally:
            if ctx.handover is not None:
                ctx.handover.cancel()
                ctx.handover = None

    def _new_attempt(
        self,
        ctx: RequestContext,
        placement: Placement,
        relay: Relay,
        take_over_by: float = math.inf,
    ) -> RunnerAttempt:
        runner, metadata = placement.runner, ctx.metadata
        first_byte_s, gap_s = self.fleet.silence_limits_s(ctx.service, ctx.route)
        send_metadata = ForwardMetadata(
            runner_id=runner.id,
            timeout_s=max(0.001, min(ctx.left_s, _caller_left_s(ctx))),
            account=ctx.account.name if ctx.account is not None else None,
            version=placement.version,
            last_event_id=relay.events.last_id or metadata.last_event_id,
        )
        return RunnerAttempt(
            pool=self.fleet.pool,
            runner=runner,
            req=ctx.req,
            gone=ctx.gone,
            headers=self.protocol.write_request(ctx.req.headers, send_metadata),
            relay=relay,
            limits=AttemptLimits(
                deadline=ctx.deadline,
                first_byte_s=first_byte_s,
                gap_s=gap_s,
                take_over_by=take_over_by,
            ),
            wait_s=placement.wait_s,
            begin_by=partial(self.fleet.version_bound.begin_by, runner),
            may_send=partial(self._may_send, ctx),
            on_metadata=partial(self._on_answer_metadata, ctx, runner),
            on_going_on=partial(self.guard.on_answer_going_on, ctx.subjects),
            gives_up_silent=partial(self._gives_up_silent, ctx),
            keeps_running_without_caller=ctx.route.kind is RequestKind.NON_IDEMPOTENT,
        )

    async def _run(
        self, ctx: RequestContext, attempt: RunnerAttempt, placement: Placement
    ) -> AttemptEnd:
        """Make one attempt and process its end."""
        runner, relay = attempt.runner, attempt.relay
        self.fleet.on_sent(runner, ctx.metadata.prompt_tokens)
        if self.fleet.runner_limits.per_s(runner) is not None:
            self.metrics.on_limited_send(ctx.service, is_repeated=ctx.history.sent > 0)
        move = partial(self._start_handover, ctx, attempt)
        if ctx.route.kind is RequestKind.STREAM and ctx.route.is_repeatable:
            self.fleet.stream_mover.add(runner.id, move)
        ctx.attempts.add(attempt)
        self._attempts.add(attempt)
        try:
            end = await attempt.run()
        finally:
            ctx.attempts.discard(attempt)
            self._attempts.discard(attempt)
            self.fleet.on_ended(runner)
            self.fleet.stream_mover.remove(runner.id, move)
        ctx.history = ctx.history.with_attempt(end)
        ctx.tried.add(runner.id)
        ctx.placement, ctx.last_end = placement, end
        if end is not AttemptEnd.MOVED:
            # A move was charged for the attempt that took over, which clears it with its own end.
            ctx.is_resend_paid = ctx.is_resend_paid and not end.has_reached_runner
        if not end.has_reached_runner:
            self.fleet.on_unsent(runner, attempt.placed_at)
        self.fleet.on_attempt_ended(runner, end, relay.metadata)
        self.metrics.on_attempt_ended(ctx.service, end)
        if end is AttemptEnd.BROKEN:
            self.metrics.on_broken(ctx.service, relay.progress)
        if end is not AttemptEnd.ANSWERED:
            self._log_ended(ctx, attempt, placement, end)
        if end is AttemptEnd.FAILED:
            ctx.failed_answer = relay.buffered_answer()
        await self._tell_guard(ctx, attempt, end)
        return end

    def _gives_up_silent(self, ctx: RequestContext, attempt: RunnerAttempt) -> bool:
        """Return whether to give up an attempt whose runner is silent.

        The runner may be sound and go on. A stream is given up only once another runner has taken
        over, and a request only if another runner could run it.
        """
        if not ctx.route.is_repeatable:
            return False
        self.fleet.on_silent(attempt.runner)
        if ctx.route.kind is RequestKind.STREAM:
            self._start_handover(ctx, attempt, is_silent=True)
            return False
        return self.resender.can_resend(ctx, attempt.runner.id)

    def _start_handover(
        self, ctx: RequestContext, first: RunnerAttempt, *, is_silent: bool = False
    ) -> bool:
        """Ask another runner to take over a stream; the first goes on with it if none does.

        A silent runner goes on as soon as it sends another event.
        """
        if ctx.handover is not None or not first.can_move:
            return False
        placement = self.resender.place_move(ctx, first.runner.id)
        if placement is None:
            return False
        first.relay.pause()
        ctx.handover = asyncio.ensure_future(
            self._hand_over(ctx, first, placement, is_silent=is_silent)
        )
        return True

    async def _hand_over(
        self, ctx: RequestContext, first: RunnerAttempt, placement: Placement, *, is_silent: bool
    ) -> AttemptEnd:
        def on_taken_over() -> None:
            ctx.relay = second.relay
            first.move()

        relay = first.relay.successor(on_taken_over)
        second = self._new_attempt(ctx, placement, relay, take_over_by=now() + TAKE_OVER_S)
        if is_silent:
            first.relay.pause(on_kept_back=second.withdraw)
        try:
            end = await self._run(ctx, second, placement)
            if end is AttemptEnd.ANSWERED:
                second.relay.take_over()
            return end
        finally:
            if not second.relay.is_writer:
                first.relay.resume()
                if ctx.handover is asyncio.current_task():
                    ctx.handover = None

    def _log_ended(
        self, ctx: RequestContext, attempt: RunnerAttempt, placement: Placement, end: AttemptEnd
    ) -> None:
        relay = attempt.relay
        self.log.event(
            "attempt_ended",
            request=ctx.metadata.id,
            runner=attempt.runner.id,
            end=end.value,
            status=relay.head.status if relay.head else None,
            duration_ms=(now() - attempt.placed_at) * 1000,
            load=placement.load,
            load_age_ms=placement.load_age_ms,
            events=relay.events.count,
            answer=relay.progress.value,
            parts=parts_text(ctx.subjects) or None,
            left_ms=ctx.left_s * 1000,
            detail=attempt.abort_reason or None,
        )

    def _on_version_bound(self) -> None:
        for attempt in self._attempts:
            attempt.recheck()

    def _may_send(self, ctx: RequestContext, attempt: RunnerAttempt) -> bool:
        """Return whether a request may still be sent to the runner chosen for it."""
        if not self.fleet.may_send(attempt.runner, attempt.placed_at, attempt.wait_s):
            return False
        probed = self.guard.begin(ctx.subjects)
        attempt.probed = probed or frozenset()
        return probed is not None

    async def _tell_guard(
        self, ctx: RequestContext, attempt: RunnerAttempt, end: AttemptEnd
    ) -> None:
        head = attempt.relay.head
        await self.guard.on_attempt_ended(
            GuardedAttempt(
                request_id=ctx.metadata.id,
                runner=attempt.runner,
                parts=ctx.subjects,
                probed=attempt.probed,
                end=end,
                progress=attempt.relay.progress,
                is_success=head is not None and head.status == OK,
            )
        )

    def _on_answer_metadata(
        self, ctx: RequestContext, runner: Runner, metadata: AnswerMetadata
    ) -> None:
        """Process the metadata of an answer that must not wait for its end."""
        is_own = metadata.request_id == ctx.metadata.id
        limit_change = self.fleet.on_answer_head(runner, metadata, is_own=is_own)
        if limit_change is not None:
            if limit_change is not LimitChange.UNREADABLE:
                self.on_limit_changed()
            self.log.event(
                "runner_limited",
                request=ctx.metadata.id,
                runner=runner.id,
                change=limit_change.value,
                asked=metadata.limit.text if metadata.limit else None,
                reading=metadata.limit.reading.value if metadata.limit else None,
                limit_per_s=self.fleet.runner_limits.per_s(runner),
            )
        if metadata.pause is None:
            return
        self.log.event(
            "runner_paused",
            request=ctx.metadata.id,
            runner=runner.id,
            asked=metadata.pause.text,
            reading=metadata.pause.reading.value,
            pause_ms=metadata.pause.seconds * 1000,
        )


def _caller_left_s(ctx: RequestContext) -> float:
    """Return the seconds until the caller stops waiting."""
    timeout_s = ctx.metadata.timeout_s
    if timeout_s is None:
        return ctx.route.timeout_s
    return ctx.req.arrived_at + timeout_s - now()
