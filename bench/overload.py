"""Goodput under overload and after an outage: `python -m bench.overload --seed=1`."""

from typing import Any

import fire

from bench._model import Entry, Options, Request, Traffic, World, quantile, requests, verdict
from bench._model import report as show

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
STRAGGLERS = 0.02
LONG = (300, 900)
# Callers of drafts wait so long for a whole answer, and give up on retries after twice that.
PATIENCE_S = 20.0
MAX_WAIT_S = 0.2
OUTAGE = (30.0, 50.0)


class Callers:
    """Callers that retry what was refused or lost until their patience ends."""

    def __init__(self, world: World, *, follow_hint: bool) -> None:
        self.world = world
        self.follow_hint = follow_hint
        self.calls = 0
        world.on_end = self.on_end

    def on_end(self, request: Request) -> None:
        """Retry after the hint, or almost at once when callers ignore it."""
        self.calls += 1
        if request.done_at is not None or request.deadline is None:
            return
        hint = request.error.retry_after_s if request.error and self.follow_hint else None
        pause_s = hint if hint is not None else 0.1
        if self.world.now + pause_s < request.arrived + 2 * PATIENCE_S:
            self.world.after(pause_s, self._again, request)

    def _again(self, request: Request) -> None:
        request.produced = 0
        request.deadline = self.world.now + PATIENCE_S
        entry: Entry = self.world.entries[request.entry]
        entry.submit(request)


def run(
    *, ours: bool, load: float, seed: int, seconds: float, outage: bool, retries: bool
) -> dict[str, Any]:
    """Run one combination and return goodput relative to capacity and the times of short work."""
    options = Options(
        seed=seed,
        queue="short_first" if ours else "fcfs",
        routing="peer_compared" if ours else "least_in_flight",
        admission=ours,
        moves=ours,
        queue_options={"max_wait_s": MAX_WAIT_S} if ours else {"max_jobs": 1_000_000},
    )
    world = World(options)
    traffic = Traffic(load=load, seconds=seconds, stragglers=STRAGGLERS, long_tokens=LONG)
    asked = requests(options, traffic)
    for request in asked:
        request.deadline = request.arrived + PATIENCE_S
    callers = Callers(world, follow_hint=ours) if retries else None
    if not ours:
        # The baseline neither refuses nor drops; deadlines only count in the evaluation.
        for agent in world.agents.values():
            agent.queue.remove_expired = lambda now: []  # type: ignore[method-assign]
            agent.queue._refusal = lambda job, now: None  # type: ignore[method-assign]
    if outage:
        for agent in world.agents.values():
            world.after(OUTAGE[0], setattr, agent, "is_down", True)
            world.after(OUTAGE[0], agent.fail_all)
            world.after(OUTAGE[1], setattr, agent, "is_down", False)
    world.run(asked, seconds)
    good = [r for r in asked if r.done_at is not None and r.deadline and r.done_at <= r.deadline]
    settled = [r for r in good if (r.done_at or 0.0) > 10.0]
    short = [r for r in settled if not r.is_straggler]
    late = [r for r in settled if (r.done_at or 0.0) > OUTAGE[1] + 10.0]
    return {
        "goodput": sum(r.size for r in settled) / (seconds - 10) / options.tokens_per_s,
        "short_p50": quantile((r.done_at - r.arrived for r in short if r.done_at), 0.5),
        "short_p99": quantile((r.done_at - r.arrived for r in short if r.done_at), 0.99),
        "short_done": len(short) / max(1, sum(not r.is_straggler for r in asked)),
        "after_outage": sum(r.size for r in late)
        / (seconds - OUTAGE[1] - 10)
        / options.tokens_per_s,
        "calls_per_request": callers.calls / len(asked) if callers else 1.0,
    }


def main(seed: int = 1, seconds: float = 120.0) -> None:
    """Sweep the load, then take all runners down for 20 s with callers that retry."""
    rows, found = [], {}
    for ours in (False, True):
        for load in LOADS:
            figures = run(
                ours=ours, load=load, seed=seed, seconds=seconds, outage=False, retries=False
            )
            found[ours, load] = figures
            rows.append({"policies": "ours" if ours else "none", "load": load, **figures})
    storm = {}
    for ours in (False, True):
        for outage in (False, True):
            figures = run(
                ours=ours, load=0.8, seed=seed, seconds=seconds, outage=outage, retries=True
            )
            storm[ours, outage] = figures
            name = f"{'ours' if ours else 'none'}, retries{', outage' if outage else ''}"
            rows.append({"policies": name, "load": 0.8, **figures})
    show("overload", {"seed": seed, "seconds": seconds}, rows)
    # The peak over both sets of policies; a low peak of our own would make the target easy.
    peak = max(figures["goodput"] for figures in found.values())
    base = found[False, 3.0]
    calm, after = storm[False, False]["after_outage"], storm[False, True]["after_outage"]
    verdicts = [
        verdict(
            "peak goodput / goodput at 3 times capacity",
            peak / found[True, 3.0]["goodput"],
            1 / 0.9,
            f"none {peak / max(base['goodput'], 1e-9):.2f}",
        ),
        verdict(
            "p99 of short work at 3 times capacity / at 80 %",
            found[True, 3.0]["short_p99"] / found[True, 0.8]["short_p99"],
            1.2,
            f"none {base['short_p99'] / found[False, 0.8]['short_p99']:.2f}",
        ),
        verdict(
            "goodput 10 s after the outage, without / with it",
            storm[True, False]["after_outage"] / storm[True, True]["after_outage"],
            1 / 0.9,
            f"none {calm / max(after, 1e-9):.2f}",
        ),
    ]
    show("overload_targets", {"seed": seed, "seconds": seconds}, verdicts)


if __name__ == "__main__":
    fire.Fire(main)
