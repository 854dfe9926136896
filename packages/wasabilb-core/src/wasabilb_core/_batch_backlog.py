"""Routing by the expected wait for the first token at a runner that batches requests."""

import random

from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

# Each running request makes the steps of a batch a little longer, seconds.
SHARED_STEP_S = 0.002
# A runner reads prompts between the steps of the requests that are being answered: at most 2,048
# tokens (0.11 s) between 5 steps (0.045 s).
READING_SHARE = 0.7


def expected_wait_s(runner: RunnerView) -> float:
    """Return the seconds until a runner begins to read a prompt that is sent now.

    The larger of two waits: for a place in the batch, and for the prompts ahead.
    """
    load = max(runner.in_flight, runner.reported_running + runner.reported_queued)
    place_s = max(0, load + 1 - runner.slots) * runner.turn_s
    prompts_s = runner.prompts_s / READING_SHARE
    return runner.pace * (max(place_s, prompts_s) + load * SHARED_STEP_S)


@ROUTING.register("batch_backlog")
class BatchBacklog(RoutingPolicy):
    """The runner that begins soonest, near ones first among equals.

    Answers loads that fill the batches of all runners: the in-flight numbers of one entry process
    say little there, because the other processes send to the same runners.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return min(runners, key=lambda r: (expected_wait_s(r) + r.distance_s, rng.random()))
