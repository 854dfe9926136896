"""Decides whether a request is sent, held or refused, from the known state of the runners."""

import math
from functools import partial

from attrs import define, evolve, field, frozen
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.overload import (
    HOLD_S,
    SPARE_SLOTS,
    Decision,
    HeldLimit,
    begins_on_time,
    decide_request,
)
from wasabilb_core.routing import RouteRequest, RunnerView, answer_end_s, expected_wait_s, load_of
from wasabilb_node.clock import now

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.fleet_view import FleetView, Placement
from wasabilb_entry.held_request_dispatcher import HeldRequestDispatcher

# Retry pause of callers after all runners of a service have begun to leave, seconds: a new runner
# takes seconds to start serving, and callers cap the pause at a share of their remaining time.
ALL_LEAVING_RETRY_S = 2.0
# Answers above this many times the usual size are long. These are a quarter of the known services'
# answers and half of all tokens.
LONG_FACTOR = 1.3


@frozen(kw_only=True)
class PlacementNeeds:
    """Properties of a request that decide its placement.

    Parameters
    ----------
    service : str
        Service that answers.
    prompt_tokens : int
        Tokens of its prompt.
    answer_tokens : float or None
        Expected tokens of its answer.
    objective_at : float
        Time by which its answer should begin, seconds.
    deadline : float
        Time by which it must end, seconds.
    is_resubmitted : bool
        Whether its caller retries after a refusal.
    is_first : bool
        Whether it has not been sent to any runner yet.
    tried : frozenset of str
        Runners to exclude.
    may_return : bool
        Whether these may be used again if there is no other one.
    """

    service: str
    prompt_tokens: int
    answer_tokens: float | None
    objective_at: float
    deadline: float
    is_resubmitted: bool
    is_first: bool
    tried: frozenset[str]
    may_return: bool = False


@frozen(kw_only=True)
class RetryAfter:
    """When a refused caller should retry.

    Parameters
    ----------
    seconds : float
        Time from now.
    is_earliest : bool
        Whether no caller can be served earlier.
    """

    seconds: float
    is_earliest: bool = False


@define(kw_only=True, eq=False)
class Placer:
    """Finds a runner for each request.

    Parameters
    ----------
    fleet : FleetView
        Runners and their load.
    """

    fleet: FleetView
    _dispatchers: dict[str, HeldRequestDispatcher] = field(factory=dict)

    async def place(self, needs: PlacementNeeds, req: ReceivedRequest) -> Placement | Error:
        """Return the placement of a request, or the error that refuses it."""
        engine = self.fleet.engine(needs.service)
        self.fleet.on_wanted(needs.service, needs.tried)
        request = _to_route_request(needs, engine)
        views = self.fleet.views(needs.service, request)
        chosen = self.fleet.choose(request, views)
        if engine is not None and needs.is_first:
            decision = self._decide(needs, request, engine, views, chosen)
            if decision is Decision.REFUSE:
                return self._overloaded(needs.service, len(views), "no runner can begin it in time")
            if decision is Decision.HOLD:
                is_sent = await self._hold(needs, request, req)
                views = self.fleet.views(needs.service, request)
                if not is_sent and not req.is_caller_gone:
                    return self._overloaded(needs.service, len(views), "no slot became free")
                chosen = self.fleet.choose(request, views)
        if chosen is None and needs.may_return and needs.tried:
            # A runner that refused it or loaded a version may accept it by now.
            return await self.place(evolve(needs, tried=frozenset()), req)
        placement = self.fleet.placement(needs.service, chosen) if chosen is not None else None
        if placement is not None:
            return placement
        retry_after = self._after_pause(needs.service) or self._without_runner(needs.service)
        return Error(
            kind=ErrorKind.NO_BACKEND,
            detail=f"{len(views)} usable runners, {len(needs.tried)} tried",
            retry_after_s=retry_after.seconds,
            is_earliest=retry_after.is_earliest,
        )

    def place_with_room(self, needs: PlacementNeeds) -> Placement | None:
        """Return a placement at a runner that has free slots beyond the spare ones, if any."""
        request = _to_route_request(needs, self.fleet.engine(needs.service))
        views = [v for v in self.fleet.views(needs.service, request) if _has_room(v)]
        chosen = self.fleet.choose(request, views)
        return self.fleet.placement(needs.service, chosen) if chosen is not None else None

    def refuse_held(self) -> None:
        """Refuse all held requests."""
        for dispatcher in self._dispatchers.values():
            dispatcher.refuse_all()

    def run_s(self, service: str, prompt_tokens: int, answer_tokens: float) -> float | None:
        """Return the predicted time of an answer of some tokens, None if unknown."""
        engine = self.fleet.engine(service)
        if engine is None or not answer_tokens:
            return None
        views = self.fleet.views(service, RouteRequest())
        if not views:
            return None
        best = min(views, key=expected_wait_s)
        own_s = engine.prefill_s(prompt_tokens) + best.token_s * answer_tokens
        return expected_wait_s(best) + best.pace * own_s

    def retry_after(self, service: str) -> RetryAfter:
        """Return when a caller of a service should retry."""
        retry_after = self._after_pause(service)
        if retry_after is not None:
            return retry_after
        if self.fleet.engine(service) is None:
            return self._without_runner(service)
        runners = len(self.fleet.views(service, RouteRequest()))
        if not runners:
            return self._without_runner(service)
        limit = self._held_limit(service, runners)
        return RetryAfter(seconds=limit.retry_after_s(len(self._dispatcher(service))))

    def _decide(
        self,
        needs: PlacementNeeds,
        request: RouteRequest,
        engine: EngineSpec,
        views: list[RunnerView],
        best: RunnerView | None,
    ) -> Decision:
        """Decide what to do with a new request of a model, given the best runner now."""
        dispatcher = self._dispatcher(needs.service)
        wait_s = expected_wait_s(best) if best is not None else math.inf
        # A request without a runner is held while a runner will receive requests again soon.
        ramping_count = self.fleet.ramping_count(needs.service) if best is None else 0
        default_end_s = 0.0 if ramping_count else math.inf
        end_s = answer_end_s(best, request) if best is not None else default_end_s
        prefill_s = (best.pace if best is not None else 1.0) * engine.prefill_s(needs.prompt_tokens)
        on_time = partial(
            begins_on_time,
            prefill_s=prefill_s,
            step_s=engine.step_s,
            left_s=needs.objective_at - now(),
        )
        is_on_time = on_time(wait_s=wait_s)
        # A prompt that no idle runner processes in time is no sign of load, nor is a runner that
        # receives requests again soon; the answer to a caller that retries is late already.
        is_objective_missed = on_time(wait_s=0.0) and not is_on_time and not ramping_count
        if is_objective_missed and not needs.is_resubmitted:
            dispatcher.on_objective_missed()
        return decide_request(
            is_on_time=is_on_time,
            has_room=best is not None and _has_room(best),
            has_slack=HOLD_S + end_s < request.left_s,
            wait_s=wait_s,
            is_resubmitted=needs.is_resubmitted,
            held=len(dispatcher),
            limit=self._held_limit(needs.service, len(views) + ramping_count),
        )

    async def _hold(
        self, needs: PlacementNeeds, request: RouteRequest, req: ReceivedRequest
    ) -> bool:
        """Wait for a free slot and return whether one was found."""

        def has_room(views: list[RunnerView]) -> bool:
            best = self.fleet.choose(request, views)
            return best is not None and _has_room(best)

        return await self._dispatcher(needs.service).wait(
            is_resubmitted=needs.is_resubmitted,
            deadline=needs.deadline,
            has_room=has_room,
            set_gone_callback=req.set_gone_callback,
        )

    def _held_limit(self, service: str, runners: int) -> HeldLimit:
        recent_rate = self._dispatcher(service).rate
        return self.fleet.held_limit(service, runners=runners, recent_rate=recent_rate)

    def _after_pause(self, service: str) -> RetryAfter | None:
        """Return the end of the first requested pause, None unless all runners requested one."""
        requested_pause_s = self.fleet.requested_pause_s(service)
        if requested_pause_s is None:
            return None
        return RetryAfter(seconds=requested_pause_s, is_earliest=True)

    def _without_runner(self, service: str) -> RetryAfter:
        is_service_leaving = self.fleet.directory.is_service_leaving(service)
        if is_service_leaving:
            return RetryAfter(seconds=ALL_LEAVING_RETRY_S)
        return RetryAfter(seconds=self.fleet.expected_recovery_s(service))

    def _overloaded(self, service: str, runners: int, reason: str) -> Error:
        retry_after = self.retry_after(service)
        return Error(
            kind=ErrorKind.OVERLOADED,
            detail=f"{reason}: {runners} runners, {len(self._dispatcher(service))} held",
            retry_after_s=retry_after.seconds,
            is_earliest=retry_after.is_earliest,
        )

    def _dispatcher(self, service: str) -> HeldRequestDispatcher:
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = self._dispatchers[service] = HeldRequestDispatcher(
                views=lambda: self.fleet.views(service, RouteRequest()),
                has_runner=lambda: bool(self.fleet.directory.routable(service)),
                requested_pause_s=lambda: self.fleet.requested_pause_s(service),
                expected_recovery_s=partial(self.fleet.expected_recovery_s, service),
            )
        return dispatcher


def _to_route_request(needs: PlacementNeeds, engine: EngineSpec | None) -> RouteRequest:
    if engine is None:
        return RouteRequest(excluded=needs.tried)
    usual = engine.usual_answer_tokens
    expected = needs.answer_tokens if needs.answer_tokens is not None else usual
    return RouteRequest(
        predicted_tokens=expected,
        is_short=expected < LONG_FACTOR * usual,
        left_s=needs.deadline - now(),
        excluded=needs.tried,
    )


def _has_room(view: RunnerView) -> bool:
    """Return whether a runner has free slots beyond the spare ones."""
    return load_of(view) + SPARE_SLOTS < view.slots
