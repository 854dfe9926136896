"""Routing by the expected wait for the first token at a runner that batches requests."""

import random

from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

# Each running request makes the steps of a batch a little longer, seconds.
SHARED_STEP_S = 0.002
# A runner reads prompts between the steps of the requests that are being answered: at most 2,048
# tokens (0.11 s) between 5 steps (0.045 s).
READING_SHARE = 0.7
# Wait that is accepted for a runner that is preferred for the size of the answer, seconds.
OTHER_SIZE_S = 0.06
# Wait elsewhere that is preferred to a runner that is to load a version soon, seconds. Half a
# latency objective for short answers, which still go there when the others would answer late, and
# more for long ones, whose end the load would wait for.
EASING_S = 0.2
EASING_LONG_S = 0.8
# Runners that are compared when the newest sends of other processes are not known.
SAMPLED = 2
# Most answers are at most so many times longer than expected: callers' estimates are right for the
# middle one only.
ANSWER_FACTOR = 2.0
# Cost of a runner that is not expected to end the answer by its deadline, seconds; more than any
# wait at the others, as an answer that is cut off has used a runner for nothing.
UNFINISHED_S = 3.0


def load_of(runner: RunnerView) -> int:
    """Return the requests that are known to run or wait at a runner."""
    return max(runner.in_flight, runner.reported_running + runner.reported_queued)


def expected_wait_s(runner: RunnerView) -> float:
    """Return the seconds until a runner begins to read a prompt that is sent now.

    The larger of two waits: for a place in the batch, and for the prompts ahead.
    """
    load = load_of(runner)
    place_s = max(0, load + 1 - runner.slots) * runner.completion_interval_s
    prompts_s = runner.prompts_s / READING_SHARE
    return runner.pace * (max(place_s, prompts_s) + load * SHARED_STEP_S)


def ends_after_s(runner: RunnerView, request: RouteRequest) -> float:
    """Return the seconds until a runner has most likely ended an answer that is asked for now."""
    tokens = ANSWER_FACTOR * request.predicted_tokens
    return expected_wait_s(runner) + runner.pace * runner.token_s * tokens


@ROUTING.register("batch_backlog")
class BatchBacklog(RoutingPolicy):
    """The runner that begins soonest; near ones and those of the request's size among equals.

    Answers loads that fill the batches of all runners: the in-flight numbers of one entry process
    say little there, because the other processes send to the same runners.

    Each prompt that joins a batch holds up all its answers. Where long answers share a runner with
    many short ones, their tokens take twice the time and the longest do not end by their deadline.
    So half of the runners get the long ones first: fewer prompts join there. Runners on slowed
    hosts get answers that they can end in time.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        def cost_s(runner: RunnerView) -> float:
            is_other_size = request.predicted_tokens > 0 and runner.is_for_long == request.is_short
            other_s = OTHER_SIZE_S if is_other_size else 0.0
            late_s = ends_after_s(runner, request) - request.left_s
            unfinished_s = UNFINISHED_S + late_s if late_s > 0 else 0.0
            easing_s = (
                (EASING_S if request.is_short else EASING_LONG_S) if runner.is_easing else 0.0
            )
            waits_s = expected_wait_s(runner) + runner.distance_s
            return waits_s + other_s + easing_s + unfinished_s

        return min(runners, key=lambda r: (cost_s(r), rng.random()))


@ROUTING.register("batch_sampled")
class BatchSampled(BatchBacklog):
    """The better one of two random runners, as `batch_backlog` counts.

    Answers the same loads where a process is not told what the others send. With reports that are
    some tenths of a second old, all would send to the runner that looks best.

    Source: Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel and
    Distributed Systems 11(1), 2000.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return super()._pick(request, rng.sample(runners, min(SAMPLED, len(runners))), now, rng)
