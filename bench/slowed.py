"""Tail latency while runners are slowed: `python -m bench.slowed --seed=1`."""

import random

import fire

from bench._fleet_model import (
    FleetSimulation,
    Options,
    Traffic,
    generate_requests,
    quantile,
    required_steps,
    target_row,
    write_report,
)

SLOW_FACTOR = 10.0
SLOW_S = 5.0


def schedule_slowdowns(sim: FleetSimulation, seconds: float, interval_s: float) -> None:
    """Slow one runner at a time at random times that depend on the seed only."""
    rng = random.Random(sim.options.seed * 104729 + 5)
    hosts = sorted(sim.agents)
    start_s = rng.expovariate(1.0 / interval_s)
    while start_s < seconds:
        agent = sim.agents[rng.choice(hosts)]
        sim.schedule(start_s, setattr, agent, "slow_factor", SLOW_FACTOR)
        sim.schedule(start_s + SLOW_S, setattr, agent, "slow_factor", 1.0)
        start_s += SLOW_S + rng.expovariate(1.0 / max(0.1, interval_s - SLOW_S))


def measure(options: Options, traffic: Traffic, interval_s: float) -> dict[str, float]:
    """Run one combination and return its figures; no runner is slowed if `interval_s` is 0."""
    sim = FleetSimulation(options)
    if interval_s:
        schedule_slowdowns(sim, traffic.seconds, interval_s)
    requests = generate_requests(options, traffic)
    sim.run(requests, traffic.seconds + 400)
    done = [r for r in requests if r.done_at is not None]
    times = [r.done_at - r.arrived for r in done if r.done_at is not None]
    short = [r.done_at - r.arrived for r in done if r.done_at and not r.is_straggler]
    first = [r.first_token_at - r.arrived for r in done if r.first_token_at is not None]
    return {
        "lost": float(len(requests) - len(done)),
        "p50": quantile(times, 0.5),
        "p99": quantile(times, 0.99),
        "short_p99": quantile(short, 0.99),
        "first_p99": quantile(first, 0.99),
        "moves": float(sum(entry.moved_count for entry in sim.entries)),
        "extra_work": sim.executed_steps / required_steps(done) - 1.0,
    }


def main(
    seed: int = 1,
    seconds: float = 600.0,
    load: float = 0.7,
    every: float = 20.0,
    stragglers: float = 0.02,
) -> None:
    """Compare routing policies with and without slowed runners at the same load."""
    rows, results = [], {}
    traffic = Traffic(load=load, seconds=seconds, stragglers=stragglers, long_tokens=(300, 900))
    for routing in ("round_robin", "random", "least_in_flight", "peer_compared"):
        for interval_s in (0.0, every):
            ours = routing == "peer_compared"
            options = Options(seed=seed, routing=routing, has_moves=ours)
            figures = results[routing, interval_s > 0] = measure(options, traffic, interval_s)
            rows.append({"routing": routing, "slowed": interval_s > 0, **figures})
    settings = {"seed": seed, "seconds": seconds, "load": load, "every": every}
    write_report("slowed", settings, rows)
    base, ours = results["least_in_flight", True], results["peer_compared", True]
    unslowed, base_unslowed = results["peer_compared", False], results["least_in_flight", False]
    target_rows = [
        target_row(
            f"{key} slowed / not slowed",
            ours[key] / unslowed[key],
            1.3,
            f"least_in_flight {base[key] / base_unslowed[key]:.2f}",
        )
        for key in ("p99", "short_p99", "first_p99")
    ]
    target_rows.append(target_row("extra work", ours["extra_work"], 0.03, "0"))
    for name, mine, other in (("slowed", ours, base), ("not slowed", unslowed, base_unslowed)):
        for key in ("p99", "short_p99", "first_p99"):
            matter = f"{key} {name}, peer_compared / least_in_flight"
            target_rows.append(
                target_row(matter, mine[key] / other[key], 1.0, f"{other[key]:.3f} s")
            )
    write_report("slowed_targets", settings, target_rows)


if __name__ == "__main__":
    fire.Fire(main)
