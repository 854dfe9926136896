"""Account limits across 7 entry hosts: `python -m bench.limits --seed=1`."""

import random

import fire
from returns.result import Success
from wasabilb_core.account_limits import AccountLimiter

from bench._fleet_model import quantile, target_row, write_report

ENTRY_COUNT = 7
LIMIT_PER_S = 100.0
BURST = 50.0
DURATION_S = 120
# Entry hosts of one failure domain, which reach each other during the partition.
PARTITIONED_HOSTS = frozenset({"e0", "e1"})
PARTITION_SECONDS = range(40, 80)


class Fixed(AccountLimiter):
    """Baseline: each entry host has an equal share of the limit, regardless of the demand."""

    def _give_excess(self, name: str, bucket: object, now: float) -> None:
        return None


def entry_weights(shape: str, second: int) -> list[float]:
    """Return the weight of each entry host in the demand."""
    if shape == "even":
        return [1.0] * ENTRY_COUNT
    if shape == "one":
        return [1.0] + [0.0] * (ENTRY_COUNT - 1)
    if shape == "shifting":
        return [8.0 if n == second // 15 % ENTRY_COUNT else 1.0 for n in range(ENTRY_COUNT)]
    return [2.0**-n for n in range(ENTRY_COUNT)]


def measure(
    limiter_type: type[AccountLimiter], shape: str, demand: float, has_partition: bool, seed: int
) -> dict[str, float]:
    """Run one combination and return granted work relative to the limit."""
    rng = random.Random(seed)
    hosts = [f"e{n}" for n in range(ENTRY_COUNT)]
    limiters = {}
    for host in hosts:
        limiters[host] = limiter_type(
            host=host, hosts=hosts, incarnation=1, rng=rng, is_first_start=True
        )
        limiters[host].set_account("a", LIMIT_PER_S, BURST)
    granted = [0] * DURATION_S
    refused_hints: list[float] = []
    for second in range(DURATION_S):
        times = sorted(second + rng.random() for _ in range(round(LIMIT_PER_S * demand)))
        for now in times:
            host = rng.choices(hosts, entry_weights(shape, second))[0]
            result = limiters[host].take("a", 1.0, now)
            if isinstance(result, Success):
                granted[second] += 1
            else:
                refused_hints.append(result.failure().retry_after_s or 0.0)
        now = second + 1.0
        usages = [(host, limiter.usage(now)) for host, limiter in limiters.items()]
        for host, usage in usages:
            for peer, limiter in limiters.items():
                is_blocked = (
                    has_partition
                    and second in PARTITION_SECONDS
                    and (host in PARTITIONED_HOSTS) != (peer in PARTITIONED_HOSTS)
                )
                # One message in 20 is lost; the next one carries the same sums.
                if peer != host and not is_blocked and rng.random() > 0.05:
                    limiter.on_usage(host, usage, now)
    windows = [sum(granted[n : n + 10]) / 10 / LIMIT_PER_S for n in range(10, DURATION_S - 10)]
    return {
        "mean": sum(granted[10:]) / (DURATION_S - 10) / LIMIT_PER_S,
        "most_10s": max(windows),
        "least_10s": min(windows),
        "shares": sum(limiter.share("a") for limiter in limiters.values()) / LIMIT_PER_S,
        "retry_after_p95": quantile(refused_hints, 0.95),
    }


def main(seed: int = 1) -> None:
    """Measure even, uneven and shifting demand of three times the limit, with a partition."""
    rows, worst = [], {"Fixed": [0.0, 1.0, 1.0], "AccountLimiter": [0.0, 1.0, 1.0]}
    for limiter_type in (Fixed, AccountLimiter):
        for shape in ("even", "halving", "shifting", "one"):
            for has_partition in (False, True):
                figures = measure(limiter_type, shape, 3.0, has_partition, seed)
                row = {
                    "limiter": limiter_type.__name__,
                    "traffic": shape,
                    "cut": has_partition,
                    **figures,
                }
                rows.append(row)
                max_granted, min_granted, min_partitioned = worst[limiter_type.__name__]
                max_granted = max(max_granted, figures["most_10s"], figures["shares"])
                if has_partition:
                    min_partitioned = min(min_partitioned, figures["mean"])
                elif shape != "shifting":
                    min_granted = min(min_granted, figures["least_10s"])
                else:
                    min_granted = min(min_granted, figures["mean"])
                worst[limiter_type.__name__] = [max_granted, min_granted, min_partitioned]
    write_report("limits", {"seed": seed, "limit": LIMIT_PER_S, "demand": 3.0}, rows)
    ours, base = worst["AccountLimiter"], worst["Fixed"]
    write_report(
        "limits_targets",
        {"seed": seed},
        [
            target_row("most granted in 10 s / limit", ours[0], 1.1, f"equal parts {base[0]:.2f}"),
            target_row("limit / least granted", 1 / ours[1], 1.1, f"equal parts {1 / base[1]:.2f}"),
            target_row(
                "limit / granted with a cut", 1 / ours[2], 1.1, f"equal parts {1 / base[2]:.2f}"
            ),
        ],
    )


if __name__ == "__main__":
    fire.Fire(main)
