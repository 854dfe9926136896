"""Goodput under overload and after an outage: `python -m bench.overload --seed=1`."""

from typing import Any

import fire

from bench._fleet_model import (
    Entry,
    FleetSimulation,
    Options,
    Request,
    Traffic,
    generate_requests,
    quantile,
    target_row,
    write_report,
)

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
STRAGGLER_SHARE = 0.02
LONG_TOKENS = (300, 900)
# Callers wait this long for a whole answer, and stop retrying after twice that time.
PATIENCE_S = 20.0
MAX_WAIT_S = 0.2
OUTAGE_S = (30.0, 50.0)


class Callers:
    """Callers that retry refused or lost requests until `2 * PATIENCE_S` have passed."""

    def __init__(self, sim: FleetSimulation, *, follows_hint: bool) -> None:
        self.sim = sim
        self.follows_hint = follows_hint
        self.call_count = 0
        sim.on_request_end = self.on_request_end

    def on_request_end(self, request: Request) -> None:
        """Retry after the hint, or after 0.1 s if callers ignore it."""
        self.call_count += 1
        if request.done_at is not None or request.deadline is None:
            return
        hint = request.error.retry_after_s if request.error and self.follows_hint else None
        pause_s = hint if hint is not None else 0.1
        if self.sim.now + pause_s < request.arrived + 2 * PATIENCE_S:
            self.sim.schedule(pause_s, self._resubmit, request)

    def _resubmit(self, request: Request) -> None:
        request.produced = 0
        request.deadline = self.sim.now + PATIENCE_S
        entry: Entry = self.sim.entries[request.entry]
        entry.submit(request)


def run(
    *, ours: bool, load: float, seed: int, seconds: float, has_outage: bool, has_retries: bool
) -> dict[str, Any]:
    """Run one combination and return goodput relative to capacity and times of short requests."""
    options = Options(
        seed=seed,
        queue="short_first" if ours else "fcfs",
        routing="peer_compared" if ours else "least_in_flight",
        admission=ours,
        has_moves=ours,
        queue_options={"max_wait_s": MAX_WAIT_S} if ours else {"max_jobs": 1_000_000},
    )
    sim = FleetSimulation(options)
    traffic = Traffic(
        load=load, seconds=seconds, stragglers=STRAGGLER_SHARE, long_tokens=LONG_TOKENS
    )
    requests = generate_requests(options, traffic)
    for request in requests:
        request.deadline = request.arrived + PATIENCE_S
    callers = Callers(sim, follows_hint=ours) if has_retries else None
    if not ours:
        # The baseline neither refuses nor drops requests; deadlines count in the evaluation only.
        for agent in sim.agents.values():
            agent.queue.remove_expired = lambda now: []  # type: ignore[method-assign]
            agent.queue._refusal = lambda job, now: None  # type: ignore[method-assign]
    if has_outage:
        for agent in sim.agents.values():
            sim.schedule(OUTAGE_S[0], setattr, agent, "is_down", True)
            sim.schedule(OUTAGE_S[0], agent.fail_all)
            sim.schedule(OUTAGE_S[1], setattr, agent, "is_down", False)
    sim.run(requests, seconds)
    completed_in_time = [
        r for r in requests if r.done_at is not None and r.deadline and r.done_at <= r.deadline
    ]
    after_warm_up = [r for r in completed_in_time if (r.done_at or 0.0) > 10.0]
    short = [r for r in after_warm_up if not r.is_straggler]
    after_recovery = [r for r in after_warm_up if (r.done_at or 0.0) > OUTAGE_S[1] + 10.0]
    return {
        "goodput": sum(r.answer_tokens for r in after_warm_up)
        / (seconds - 10)
        / options.tokens_per_s,
        "short_p50": quantile((r.done_at - r.arrived for r in short if r.done_at), 0.5),
        "short_p99": quantile((r.done_at - r.arrived for r in short if r.done_at), 0.99),
        "short_done": len(short) / max(1, sum(not r.is_straggler for r in requests)),
        "after_outage": sum(r.answer_tokens for r in after_recovery)
        / (seconds - OUTAGE_S[1] - 10)
        / options.tokens_per_s,
        "calls_per_request": callers.call_count / len(requests) if callers else 1.0,
    }


def main(seed: int = 1, seconds: float = 120.0) -> None:
    """Sweep the load, then stop all runners for 20 s while callers retry."""
    rows, results = [], {}
    for ours in (False, True):
        for load in LOADS:
            figures = run(
                ours=ours,
                load=load,
                seed=seed,
                seconds=seconds,
                has_outage=False,
                has_retries=False,
            )
            results[ours, load] = figures
            rows.append({"policies": "ours" if ours else "none", "load": load, **figures})
    retried = {}
    for ours in (False, True):
        for has_outage in (False, True):
            figures = run(
                ours=ours,
                load=0.8,
                seed=seed,
                seconds=seconds,
                has_outage=has_outage,
                has_retries=True,
            )
            retried[ours, has_outage] = figures
            name = f"{'ours' if ours else 'none'}, retries{', outage' if has_outage else ''}"
            rows.append({"policies": name, "load": 0.8, **figures})
    write_report("overload", {"seed": seed, "seconds": seconds}, rows)
    # The peak over both sets of policies, since a low peak of one would make its target easy.
    peak = max(figures["goodput"] for figures in results.values())
    base = results[False, 3.0]
    steady, recovered = retried[False, False]["after_outage"], retried[False, True]["after_outage"]
    target_rows = [
        target_row(
            "peak goodput / goodput at 3 times capacity",
            peak / results[True, 3.0]["goodput"],
            1 / 0.9,
            f"none {peak / max(base['goodput'], 1e-9):.2f}",
        ),
        target_row(
            "p99 of short work at 3 times capacity / at 80 %",
            results[True, 3.0]["short_p99"] / results[True, 0.8]["short_p99"],
            1.2,
            f"none {base['short_p99'] / results[False, 0.8]['short_p99']:.2f}",
        ),
        target_row(
            "goodput 10 s after the outage, without / with it",
            retried[True, False]["after_outage"] / retried[True, True]["after_outage"],
            1 / 0.9,
            f"none {steady / max(recovered, 1e-9):.2f}",
        ),
    ]
    write_report("overload_targets", {"seed": seed, "seconds": seconds}, target_rows)


if __name__ == "__main__":
    fire.Fire(main)
