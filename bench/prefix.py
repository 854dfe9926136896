"""Prefix cache hits by routing policy: `python -m bench.prefix --seed=1`."""

import random

import fire

from bench._fleet_model import (
    FleetSimulation,
    Options,
    Traffic,
    generate_requests,
    quantile,
    target_row,
    write_report,
)

FAMILIES = 100
FAMILY_WEIGHTS = [(n + 1.0) ** -0.6 for n in range(FAMILIES)]
BLOCKS_PER_PROMPT = 8
# An engine caches a quarter of all families, so the hit rate depends on affinity.
CACHE_BLOCKS = 200


def measure(routing: str, seed: int, seconds: float, load: float) -> dict[str, float]:
    """Run one policy on families of prompts that share their first blocks."""
    options = Options(seed=seed, routing=routing, has_moves=False, cache_blocks=CACHE_BLOCKS)
    sim = FleetSimulation(options)
    rng = random.Random(seed * 31 + 7)
    requests = generate_requests(options, Traffic(load=load, seconds=seconds))
    for request in requests:
        # Some families are more common than others; the last block is unique to the request.
        family = rng.choices(range(FAMILIES), FAMILY_WEIGHTS)[0]
        request.prompt_tokens = 2000
        shared = [family * 1000 + n for n in range(BLOCKS_PER_PROMPT - 1)]
        request.prefixes = (*shared, 10**6 + request.id)
    sim.run(requests, seconds + 400)
    first = [r.first_token_at - r.arrived for r in requests if r.first_token_at is not None]
    per_host = [agent.max_running for agent in sim.agents.values()]
    return {
        "hits": sum(r.cached_share for r in requests) / len(requests),
        "first_p50": quantile(first, 0.5),
        "first_p95": quantile(first, 0.95),
        "first_p99": quantile(first, 0.99),
        "most_running": float(max(per_host)),
    }


def main(seed: int = 1, seconds: float = 300.0, load: float = 0.4) -> None:
    """Compare `prefix_bounded` with the policies that ignore prefixes."""
    names = ("random", "least_in_flight", "peer_compared", "prefix_bounded")
    results = {name: measure(name, seed, seconds, load) for name in names}
    settings = {"seed": seed, "seconds": seconds, "load": load, "lost_events": 0.2}
    write_report("prefix", settings, [{"routing": name, **results[name]} for name in names])
    ours, base, least = results["prefix_bounded"], results["random"], results["least_in_flight"]
    target_rows = [
        target_row("hits, random / prefix_bounded", base["hits"] / ours["hits"], 1.0, "1"),
        target_row(
            "p95 time to first token, prefix_bounded / random",
            ours["first_p95"] / base["first_p95"],
            1.0,
            f"random {base['first_p95']:.3f} s",
        ),
        target_row(
            "p95 time to first token, prefix_bounded / least_in_flight",
            ours["first_p95"] / least["first_p95"],
            1.0,
            f"least_in_flight {least['first_p95']:.3f} s",
        ),
    ]
    write_report("prefix_targets", settings, target_rows)


if __name__ == "__main__":
    fire.Fire(main)
