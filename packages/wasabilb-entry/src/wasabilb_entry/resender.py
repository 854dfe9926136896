"""Decides when and where a request is sent again after an attempt did not answer it."""

import asyncio
import random

from attrs import define, evolve
from wasabilb_core.attempts import (
    MIN_ATTEMPT_S,
    AttemptEnd,
    StopReason,
    resume_pause_s,
    stop_reason,
)
from wasabilb_core.catalog import RequestKind
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.overload import HOLD_S
from wasabilb_core.routing import RouteRequest
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_entry.fleet_view import FleetView, Placement
from wasabilb_entry.placer import PlacementNeeds, Placer
from wasabilb_entry.prompt_guard import BLOCKED_KINDS, PromptGuard
from wasabilb_entry.request_context import RequestContext

# A caller whose timeout is shorter than the route's by this much is retrying, seconds.
RESUBMITTED_MARGIN_S = 0.25
# Time that a stream must have left to be moved, seconds, as its prompt is processed again.
MIN_MOVE_LEFT_S = 1.0
# Interval between checks whether a begun answer can go on, seconds. Reports of runners arrive every
# 0.1 s.
WAIT_CHECK_S = 0.05


@define(kw_only=True, eq=False)
class Resender:
    """Finds the next runner for a request.

    A request that has certainly not run is refused when it cannot be sent. An answer that has begun
    can only be cut off, so it waits until a runner can go on with it or its time is up. A stream
    that may have run cannot be refused either, and waits as long as held requests do.

    Parameters
    ----------
    fleet : FleetView
        Runners, their load and the budget for repeated sends.
    guard : PromptGuard
        Protects runners from prompts that crash them.
    placer : Placer
        Finds a runner at one moment.
    log : EventLog
        Receives an event for each answer that begins to wait.
    rng : random.Random
        Spreads streams that were refused together.
    """

    fleet: FleetView
    guard: PromptGuard
    placer: Placer
    log: EventLog
    rng: random.Random

    def stop_reason(self, ctx: RequestContext, end: AttemptEnd) -> StopReason | None:
        """Return why to send the request to no other runner after an attempt, None to do so.

        The repeated send of a request whose answer has not begun is charged to the budget.
        """
        has_begun = ctx.relay.has_begun_answer
        reason = stop_reason(ctx.route, ctx.history, end, ctx.left_s, has_begun=has_begun)
        if reason is None and not has_begun and not self._is_paid(ctx):
            return StopReason.BUDGET_USED
        return reason

    def can_resend(self, ctx: RequestContext, runner_id: str) -> bool:
        """Return whether a request could be sent to another runner than a silent one."""
        history = ctx.history.with_attempt(AttemptEnd.SILENT)
        if stop_reason(ctx.route, history, AttemptEnd.SILENT, ctx.left_s):
            return False
        others = RouteRequest(excluded=frozenset(ctx.tried | {runner_id}))
        return self.fleet.may_repeat(ctx.service) and bool(self.fleet.views(ctx.service, others))

    def place_move(self, ctx: RequestContext, runner_id: str) -> Placement | None:
        """Return where a stream may move off a runner, charged to the budget; None if nowhere."""
        if ctx.left_s < MIN_MOVE_LEFT_S or not self.guard.may_hedge(ctx.subjects):
            return None
        history = ctx.history.with_attempt(AttemptEnd.MOVED)
        if stop_reason(ctx.route, history, AttemptEnd.MOVED, ctx.left_s, has_begun=True):
            return None
        needs = evolve(self._needs(ctx), tried=frozenset(ctx.tried | {runner_id}))
        placement = self.placer.place_with_room(needs)
        return placement if placement is not None and self._pay(ctx) else None

    async def place(self, ctx: RequestContext) -> Placement | Error:
        """Return where to send a request, or the error if it cannot be sent."""
        started_at = now()
        try:
            if ctx.relay.has_begun_answer:
                return await self._place_or_wait(ctx, ctx.deadline)
            if ctx.history.may_have_run and ctx.route.kind is RequestKind.STREAM:
                return await self._place_or_wait(ctx, min(ctx.deadline, started_at + HOLD_S))
            return await self._place(ctx)
        finally:
            ctx.held_s += now() - started_at

    async def _place_or_wait(self, ctx: RequestContext, until: float) -> Placement | Error:
        """Wait until a request can go on, at most until a time; the error tells why it cannot."""
        await self._sleep(ctx, resume_pause_s(ctx.history, spread=self.rng.random()))
        while True:
            placement = await self._place(ctx)
            if not isinstance(placement, Error):
                if self._is_paid(ctx):
                    ctx.waiting_for = ""
                    return placement
                placement = _BUDGET_ERROR
            if not ctx.waiting_for:
                self._log_waiting(ctx, placement)
            ctx.waiting_for = _cause(placement)
            is_over = ctx.req.is_caller_gone or until - now() < MIN_ATTEMPT_S
            if is_over or placement.kind in BLOCKED_KINDS:
                return placement
            await self._sleep(ctx, WAIT_CHECK_S)

    async def _place(self, ctx: RequestContext) -> Placement | Error:
        refusal = self.guard.refusal(ctx.subjects)
        if refusal is not None:
            return refusal
        return await self.placer.place(self._needs(ctx), ctx.req)

    def _needs(self, ctx: RequestContext) -> PlacementNeeds:
        route, timeout_s = ctx.route, ctx.metadata.timeout_s
        has_begun = ctx.relay.has_begun_answer
        may_have_run = ctx.history.may_have_run
        return PlacementNeeds(
            service=ctx.service,
            prompt_tokens=ctx.metadata.prompt_tokens,
            answer_tokens=ctx.metadata.hinted_answer_tokens,
            objective_at=ctx.req.arrived_at + route.objective_s,
            deadline=ctx.deadline,
            is_resubmitted=timeout_s is not None
            and timeout_s < route.timeout_s - RESUBMITTED_MARGIN_S,
            is_first=ctx.history.sent == 0 and not has_begun,
            tried=frozenset(ctx.tried),
            may_return=has_begun or may_have_run,
        )

    def _is_paid(self, ctx: RequestContext) -> bool:
        """Charge a repeated send unless it is charged already; False if the budget is used up."""
        return ctx.history.sent == 0 or ctx.is_resend_paid or self._pay(ctx)

    def _pay(self, ctx: RequestContext) -> bool:
        ctx.is_resend_paid = self.fleet.spend_retry(ctx.service)
        return ctx.is_resend_paid

    def _log_waiting(self, ctx: RequestContext, error: Error) -> None:
        self.log.event(
            "stream_waiting",
            request=ctx.metadata.id,
            cause=_cause(error),
            detail=error.detail,
            last_end=ctx.last_end.value if ctx.last_end else None,
            left_ms=ctx.left_s * 1000,
        )

    async def _sleep(self, ctx: RequestContext, pause_s: float) -> None:
        """Pause, at most until the caller leaves or the request's time is up."""
        until = min(now() + pause_s, ctx.deadline)
        while now() < until and not ctx.req.is_caller_gone:
            await asyncio.sleep(min(WAIT_CHECK_S, until - now()))


_BUDGET_ERROR = Error(kind=ErrorKind.OVERLOADED, detail="the budget for repeated sends is used up")


def _cause(error: Error) -> str:
    return StopReason.BUDGET_USED.value if error is _BUDGET_ERROR else error.kind.value
