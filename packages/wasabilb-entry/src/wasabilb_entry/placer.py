"""Sends, holds or refuses each request, by what is known of the runners at that moment."""

import math
from functools import partial

from attrs import define, field, frozen
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
from wasabilb_entry.held_places import HeldPlaces

# When they come back after all its runners have begun to leave: a new runner takes seconds from its
# start until it serves, and callers shorten the pause to a part of what they have left, seconds.
ALL_LEAVING_RETURN_S = 2.0
# Answers above this many times the usual size are long. A quarter of the known services' answers
# are, and they make half of all tokens.
LONG_FACTOR = 1.3


@frozen(kw_only=True)
class Demand:
    """What placing needs to know of a request.

    Parameters
    ----------
    service : str
        Service that answers.
    prompt_tokens : int
        Tokens of its prompt.
    answer_tokens : float or None
        Expected tokens of its answer.
    objective_at : float
        When its answer should have begun, seconds.
    deadline : float
        When it ends in any case.
    is_resubmitted : bool
        Whether its caller came back after a refusal.
    is_first : bool
        Whether it was sent to no runner yet.
    tried : frozenset of str
        Runners that are left out.
    """

    service: str
    prompt_tokens: int
    answer_tokens: float | None
    objective_at: float
    deadline: float
    is_resubmitted: bool
    is_first: bool
    tried: frozenset[str]


@frozen(kw_only=True)
class RetryAfter:
    """When a caller who was refused should come back.

    Parameters
    ----------
    seconds : float
        Time from now.
    is_earliest : bool
        Whether nobody can be served before.
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
    _held: dict[str, HeldPlaces] = field(factory=dict)

    async def place(self, demand: Demand, req: ReceivedRequest) -> Placement | Error:
        """Return where a request is sent, or why it is refused."""
        engine = self.fleet.engine(demand.service)
        request = _to_route_request(demand, engine)
        views = self.fleet.views(demand.service, request)
        chosen = self.fleet.choose(request, views)
        if engine is not None and demand.is_first:
            decision = self._decide(demand, request, engine, views, chosen)
            if decision is Decision.REFUSE:
                return self._overloaded(demand.service, len(views), "no runner begins it in time")
            if decision is Decision.HOLD:
                is_sent = await self._hold(demand, request, req)
                views = self.fleet.views(demand.service, request)
                if not is_sent and not req.is_gone:
                    return self._overloaded(demand.service, len(views), "no place became free")
                chosen = self.fleet.choose(request, views)
        placed = self.fleet.placement(demand.service, chosen) if chosen is not None else None
        if placed is not None:
            return placed
        again = self._after_named(demand.service) or self._without_runner(demand.service)
        return Error(
            kind=ErrorKind.NO_BACKEND,
            detail=f"{len(views)} usable runners, {len(demand.tried)} tried",
            retry_after_s=again.seconds,
            is_earliest=again.is_earliest,
        )

    def retry_after(self, service: str) -> RetryAfter:
        """Return when a caller of a service should come back."""
        again = self._after_named(service)
        if again is not None:
            return again
        if self.fleet.engine(service) is None:
            return self._without_runner(service)
        runners = len(self.fleet.views(service, RouteRequest()))
        if not runners:
            return self._without_runner(service)
        limit = self._limit(service, runners)
        return RetryAfter(seconds=limit.retry_after_s(len(self._places(service))))

    def _decide(
        self,
        demand: Demand,
        request: RouteRequest,
        engine: EngineSpec,
        views: list[RunnerView],
        best: RunnerView | None,
    ) -> Decision:
        """Return what is done with a new request of a model, given the best runner now."""
        places = self._places(demand.service)
        wait_s = expected_wait_s(best) if best is not None else math.inf
        # A request without a runner is held while one gets its next requests soon.
        ramping_count = self.fleet.ramping_count(demand.service) if best is None else 0
        no_end_s = 0.0 if ramping_count else math.inf
        ends_s = answer_end_s(best, request) if best is not None else no_end_s
        prefill_s = (best.pace if best is not None else 1.0) * engine.prefill_s(
            demand.prompt_tokens
        )
        on_time = partial(
            begins_on_time,
            prefill_s=prefill_s,
            step_s=engine.step_s,
            left_s=demand.objective_at - now(),
        )
        is_on_time = on_time(wait_s=wait_s)
        # A prompt that no idle runner reads in time says nothing of the load, nor does a runner
        # that gets its next requests soon; the answer to a caller who came back is late already.
        is_missed = on_time(wait_s=0.0) and not is_on_time and not ramping_count
        if is_missed and not demand.is_resubmitted:
            places.on_objective_missed()
        return decide_request(
            is_on_time=is_on_time,
            has_room=best is not None and _has_room(best),
            has_slack=HOLD_S + ends_s < request.left_s,
            wait_s=wait_s,
            is_resubmitted=demand.is_resubmitted,
            held=len(places),
            limit=self._limit(demand.service, len(views) + ramping_count),
        )

    async def _hold(self, demand: Demand, request: RouteRequest, req: ReceivedRequest) -> bool:
        """Wait for a free place and return whether one was found."""

        def has_room(views: list[RunnerView]) -> bool:
            best = self.fleet.choose(request, views)
            return best is not None and _has_room(best)

        return await self._places(demand.service).wait(
            is_resubmitted=demand.is_resubmitted,
            deadline=demand.deadline,
            has_room=has_room,
            watch_gone=req.watch_gone,
        )

    def _limit(self, service: str, runners: int) -> HeldLimit:
        recent_rate = self._places(service).rate
        return self.fleet.held_limit(service, runners=runners, recent_rate=recent_rate)

    def _after_named(self, service: str) -> RetryAfter | None:
        """Return when the first runner may be tried, None unless all have named a time."""
        requested_pause_s = self.fleet.requested_pause_s(service)
        if requested_pause_s is None:
            return None
        return RetryAfter(seconds=requested_pause_s, is_earliest=True)

    def _without_runner(self, service: str) -> RetryAfter:
        is_leaving = self.fleet.directory.is_leaving(service)
        if is_leaving:
            return RetryAfter(seconds=ALL_LEAVING_RETURN_S)
        return RetryAfter(seconds=self.fleet.returns_in_s(service))

    def _overloaded(self, service: str, runners: int, reason: str) -> Error:
        again = self.retry_after(service)
        return Error(
            kind=ErrorKind.OVERLOADED,
            detail=f"{reason}: {runners} runners, {len(self._places(service))} held",
            retry_after_s=again.seconds,
            is_earliest=again.is_earliest,
        )

    def _places(self, service: str) -> HeldPlaces:
        places = self._held.get(service)
        if places is None:
            places = self._held[service] = HeldPlaces(
                views=lambda: self.fleet.views(service, RouteRequest()),
                has_runner=lambda: bool(self.fleet.directory.routable(service)),
                requested_pause_s=lambda: self.fleet.requested_pause_s(service),
                returns_in_s=partial(self.fleet.returns_in_s, service),
            )
        return places


def _to_route_request(demand: Demand, engine: EngineSpec | None) -> RouteRequest:
    if engine is None:
        return RouteRequest(excluded=demand.tried)
    usual = engine.usual_answer_tokens
    expected = demand.answer_tokens if demand.answer_tokens is not None else usual
    return RouteRequest(
        predicted_tokens=expected,
        is_short=expected < LONG_FACTOR * usual,
        left_s=demand.deadline - now(),
        excluded=demand.tried,
    )


def _has_room(view: RunnerView) -> bool:
    """Return whether a runner has free places besides those that are kept for others."""
    return load_of(view) + SPARE_SLOTS < view.slots
