"""Routing by the expected wait for a place in a runner's batch."""

import random

from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

# A request that joins a batch slows the others down by the time of reading its prompt, so that
# each request ahead adds a little wait even while places are free, seconds.
SHARED_STEP_S = 0.006


def expected_wait_s(runner: RunnerView) -> float:
    """Return the seconds until a request that is sent now has a place in the batch."""
    load = max(runner.in_flight, runner.reported_running + runner.reported_queued)
    ahead = max(0, load + 1 - runner.slots)
    return runner.pace * (ahead * runner.turn_s + load * SHARED_STEP_S)


@ROUTING.register("batch_backlog")
class BatchBacklog(RoutingPolicy):
    """The runner whose batch has room soonest, near ones first among equals.

    Answers loads that fill the batches of all runners: the in-flight numbers of one entry process
    say little there, because the other processes send to the same runners.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return min(runners, key=lambda r: (expected_wait_s(r) + r.distance_s, rng.random()))
