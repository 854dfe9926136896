"""Routing by the expected wait for the first token on runners with batched execution."""

import random

from wasabilb_core._routing_base import ROUTING, RouteRequest, RoutingPolicy, RunnerView

# Increase of the step time of a batch for each running request, seconds.
STEP_PER_REQUEST_S = 0.002
# A runner interleaves prefill with the decoding steps of running requests: at most 2,048 prompt
# tokens (0.11 s) between 5 steps (0.045 s).
PREFILL_SHARE = 0.7
# Extra wait that is accepted for a runner preferred for the size of the answer, seconds.
SIZE_MISMATCH_COST_S = 0.06
# Extra wait elsewhere that is preferred to a runner about to load a version, seconds. Half of a
# latency objective for short answers, which still go there if the other runners would be late, and
# more for long answers, as the load waits for their end.
EASING_S = 0.2
EASING_LONG_S = 0.8
# Runners compared if the newest sends of other processes are unknown.
SAMPLE_SIZE = 2
# Most answers are at most this many times longer than expected, as callers' estimates match only
# the median.
ANSWER_LENGTH_FACTOR = 2.0
# Cost of a runner that is not expected to end the answer by its deadline, seconds. It exceeds any
# wait on other runners, as the work for an answer that is cut off is wasted.
DEADLINE_MISS_COST_S = 3.0


def load_of(runner: RunnerView) -> int:
    """Return the known number of running and waiting requests of a runner."""
    return max(runner.in_flight, runner.reported_running + runner.reported_queued)


def expected_wait_s(runner: RunnerView) -> float:
    """Return the seconds until a runner starts the prefill of a prompt sent now.

    This is the longer one of the waits for a slot in the batch and for the prompts ahead.
    """
    load = load_of(runner)
    slot_s = max(0, load + 1 - runner.slots) * runner.completion_interval_s
    prefill_backlog_s = runner.prefill_backlog_s / PREFILL_SHARE
    return runner.pace * (max(slot_s, prefill_backlog_s) + load * STEP_PER_REQUEST_S)


def answer_end_s(runner: RunnerView, request: RouteRequest) -> float:
    """Return the seconds after which an answer to a request sent now has most likely ended."""
    tokens = ANSWER_LENGTH_FACTOR * request.predicted_tokens
    return expected_wait_s(runner) + runner.pace * runner.token_s * tokens


@ROUTING.register("batch_backlog")
class BatchBacklog(RoutingPolicy):
    """Chooses the runner that starts soonest, with costs for distance and mismatched answer size.

    Designed for loads that fill the batches of all runners. The in-flight counts of one entry
    process are a poor measure there, because the other processes send to the same runners.

    Each prompt that joins a batch delays all its answers. If long answers share a runner with many
    short ones, their tokens take twice the time and the longest miss their deadline. Half of the
    runners are therefore preferred for long answers, so that fewer prompts join there. Runners on
    slowed hosts get answers that they can end in time.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        def cost_s(runner: RunnerView) -> float:
            is_other_size = (
                request.predicted_tokens > 0 and runner.is_preferred_for_long == request.is_short
            )
            size_mismatch_s = SIZE_MISMATCH_COST_S if is_other_size else 0.0
            late_s = answer_end_s(runner, request) - request.left_s
            deadline_miss_s = DEADLINE_MISS_COST_S + late_s if late_s > 0 else 0.0
            easing_s = (
                (EASING_S if request.is_short else EASING_LONG_S) if runner.is_easing else 0.0
            )
            wait_s = expected_wait_s(runner) + runner.access_cost_s
            return wait_s + size_mismatch_s + easing_s + deadline_miss_s

        return min(runners, key=lambda r: (cost_s(r), rng.random()))


@ROUTING.register("batch_sampled")
class BatchSampled(BatchBacklog):
    """Chooses the better one of two random runners by the cost of `batch_backlog`.

    Designed for the same loads if a process gets no notice of what the others send. With reports
    that are some tenths of a second old, all processes would send to the same best runner.

    Source: Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel and
    Distributed Systems 11(1), 2000.
    """

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return super()._pick(request, rng.sample(runners, min(SAMPLE_SIZE, len(runners))), now, rng)
