"""Selection of the runner and the variant for an attempt of a model request."""

import random

from wasabilb_core.membership import Membership
from wasabilb_core.routing import RouteRequest, RoutingPolicy, RunnerView
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now

from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_entry.request_state import RequestState


class RunnerSelector:
    """Selects a runner for each attempt with the routing policy.

    Parameters
    ----------
    membership : Membership
        Which runners are live and what they serve.
    attempts : AttemptTable
        Attempts that this entry host has in flight.
    routing : RoutingPolicy
        Chooses among the runners.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        attempts: AttemptTable,
        routing: RoutingPolicy,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._attempts = attempts
        self._routing = routing
        self._rng = rng

    def choose(self, state: RequestState, *, avoided_host: str = "") -> tuple[str, Variant] | None:
        """Return the host and the variant of the next attempt.

        `avoided_host` is chosen only if no other runner is available.
        """
        moment = now()
        by_variant = self._membership.runners_of(state.prompt.model, moment)
        if state.cursor.position > 0 and state.pinned_variant is not None:
            # The caller has part of the answer, so only the same variant may continue it.
            hosts = by_variant.get(state.pinned_variant, [])
            by_variant = {state.pinned_variant: hosts}
        variant_of: dict[str, Variant] = {}
        for variant, hosts in by_variant.items():
            for host in hosts:
                variant_of.setdefault(host, variant)
        views = [self._to_view(host, moment) for host in variant_of]
        route = RouteRequest(
            predicted_tokens=state.route.predicted_tokens,
            prefix_hashes=state.route.prefix_hashes,
            is_short=state.route.is_short,
            excluded=frozenset(state.excluded | state.refused | {avoided_host}),
        )
        chosen = self._routing.choose(route, views, moment, self._rng)
        if chosen is None and state.refused:
            # A runner that refused to go on with the answer may have room by now.
            state.refused.clear()
            return self.choose(state, avoided_host=avoided_host)
        if chosen is None and avoided_host:
            return self.choose(state)
        return (chosen.host, variant_of[chosen.host]) if chosen else None

    def has_other_runner(self, state: RequestState) -> bool:
        """Return whether another runner of the pinned variant may continue the answer."""
        by_variant = self._membership.runners_of(state.prompt.model, now())
        hosts = by_variant.get(state.pinned_variant, []) if state.pinned_variant else []
        # While it is live, the current runner is one of these hosts.
        return len(set(hosts) - state.excluded) > 1

    def _to_view(self, host: str, moment: float) -> RunnerView:
        report = self._membership.report_of(host)
        in_flight = self._attempts.in_flight(host)
        if report is None:
            return RunnerView(host=host, in_flight=in_flight)
        return RunnerView(
            host=host,
            in_flight=in_flight,
            reported_running=report.running,
            reported_queued=report.queued,
            slots=max(report.slots, 1),
            report_age_s=moment - report.at,
        )
