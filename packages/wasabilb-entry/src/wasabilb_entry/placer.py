"""Sends, holds or refuses each request, by what is known of the runners at that moment."""

from attrs import define, field, frozen
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.overload import (
    SPARE_PLACES,
    Decision,
    HeldLimit,
    begins_on_time,
    decide,
    prompt_s,
)
from wasabilb_core.routing import RouteRequest, RunnerView, expected_wait_s
from wasabilb_node.clock import now

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.fleet_view import FleetView, Placement
from wasabilb_entry.held_places import HeldPlaces

# When callers come back while a service has no usable runner: about the time that a crashed runner
# or a link takes to return, or a loaded version to serve, seconds.
NO_RUNNER_RETURN_S = 0.6


@frozen(kw_only=True)
class Demand:
    """What placing needs to know of a request.

    Parameters
    ----------
    service : str
        Service that answers.
    prompt_tokens : int
        Tokens of its prompt.
    objective_at : float
        When its answer should have begun, seconds.
    deadline : float
        When it ends in any case.
    is_returned : bool
        Whether its caller came back after a refusal.
    is_first : bool
        Whether it was sent to no runner yet.
    tried : frozenset of str
        Runners that are left out.
    """

    service: str
    prompt_tokens: int
    objective_at: float
    deadline: float
    is_returned: bool
    is_first: bool
    tried: frozenset[str]


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
        request = RouteRequest(excluded=demand.tried)
        engine = self.fleet.engine(demand.service)
        if engine is not None and demand.is_first:
            refused = await self._admit(demand, request, engine, req)
            if refused is not None:
                return refused
        views = self.fleet.views(demand.service, request)
        chosen = self.fleet.choose(request, views)
        placed = self.fleet.placement(demand.service, chosen) if chosen is not None else None
        if placed is not None:
            return placed
        detail = f"{len(views)} usable runners, {len(demand.tried)} tried"
        return Error(kind=ErrorKind.NO_BACKEND, detail=detail, retry_after_s=NO_RUNNER_RETURN_S)

    def return_after_s(self, service: str) -> float:
        """Return when a caller of a service should come back."""
        if self.fleet.engine(service) is None:
            return NO_RUNNER_RETURN_S
        return self.fleet.held_limit(service).return_after_s(len(self._places(service)))

    async def _admit(
        self,
        demand: Demand,
        request: RouteRequest,
        engine: EngineSpec,
        req: ReceivedRequest,
    ) -> Error | None:
        """Wait until a request may be sent and return None, or why it is refused."""
        places = self._places(demand.service)
        views = self.fleet.views(demand.service, request)
        limit = self.fleet.held_limit(demand.service)
        decision = decide(
            is_on_time=self._is_on_time(demand, engine, views),
            has_room=_has_room(views),
            is_returned=demand.is_returned,
            held=len(places),
            limit=limit,
        )
        if decision is Decision.SEND:
            return None
        if decision is Decision.REFUSE:
            return self._overloaded(limit, len(places), "no runner begins it in time")
        is_sent = await places.wait(
            is_returned=demand.is_returned,
            deadline=demand.deadline,
            watch_gone=req.watch_gone,
        )
        if is_sent or req.is_gone:
            return None
        limit = self.fleet.held_limit(demand.service)
        return self._overloaded(limit, len(places), "no place became free")

    def _is_on_time(self, demand: Demand, engine: EngineSpec, views: list[RunnerView]) -> bool:
        if not views:
            return False
        best = min(views, key=expected_wait_s)
        return begins_on_time(
            wait_s=expected_wait_s(best),
            own_s=best.pace * prompt_s(engine, demand.prompt_tokens),
            left_s=demand.objective_at - now(),
        )

    def _overloaded(self, limit: HeldLimit, held: int, reason: str) -> Error:
        detail = f"{reason}: {limit.runners} runners, {held} held"
        pause_s = limit.return_after_s(held) if limit.runners else NO_RUNNER_RETURN_S
        return Error(kind=ErrorKind.OVERLOADED, detail=detail, retry_after_s=pause_s)

    def _places(self, service: str) -> HeldPlaces:
        places = self._held.get(service)
        if places is None:
            places = self._held[service] = HeldPlaces(
                has_room=lambda: _has_room(self.fleet.views(service, RouteRequest()))
            )
        return places


def _has_room(views: list[RunnerView]) -> bool:
    """Return whether a runner has free places besides those that are kept for others."""
    return any(
        max(v.in_flight, v.reported_running + v.reported_queued) + SPARE_PLACES < v.slots
        for v in views
    )
