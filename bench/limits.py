"""Limits per account over 7 entry hosts: `python -m bench.limits --seed=1`."""

import random

import fire
from returns.result import Success
from wasabilb_core.account_limits import AccountLimiter

from bench._model import quantile, verdict
from bench._model import report as show

ENTRIES = 7
LIMIT = 100.0
BURST = 50.0
SECONDS = 120
# The entry hosts of one failure domain; they reach each other during the partition.
ISLAND = frozenset({"e0", "e1"})
CUT = range(40, 80)


class Fixed(AccountLimiter):
    """Baseline: each entry host has an equal part of the limit whatever the demand."""

    def _give(self, name: str, bucket: object, now: float) -> None:
        return None


def weights(shape: str, second: int) -> list[float]:
    """Return the part of the demand that arrives at each entry host."""
    if shape == "even":
        return [1.0] * ENTRIES
    if shape == "one":
        return [1.0] + [0.0] * (ENTRIES - 1)
    if shape == "shifting":
        return [8.0 if n == second // 15 % ENTRIES else 1.0 for n in range(ENTRIES)]
    return [2.0**-n for n in range(ENTRIES)]


def measure(
    kind: type[AccountLimiter], shape: str, demand: float, cut: bool, seed: int
) -> dict[str, float]:
    """Run one combination and return granted work relative to the limit."""
    rng = random.Random(seed)
    hosts = [f"e{n}" for n in range(ENTRIES)]
    limiters = {}
    for host in hosts:
        limiters[host] = kind(host=host, hosts=hosts, incarnation=1, rng=rng, is_first_start=True)
        limiters[host].set_account("a", LIMIT, BURST)
    granted = [0] * SECONDS
    refused_hints: list[float] = []
    for second in range(SECONDS):
        times = sorted(second + rng.random() for _ in range(round(LIMIT * demand)))
        for now in times:
            host = rng.choices(hosts, weights(shape, second))[0]
            result = limiters[host].take("a", 1.0, now)
            if isinstance(result, Success):
                granted[second] += 1
            else:
                refused_hints.append(result.failure().retry_after_s or 0.0)
        now = second + 1.0
        told = [(host, limiter.usage(now)) for host, limiter in limiters.items()]
        for host, usage in told:
            for peer, limiter in limiters.items():
                is_cut = cut and second in CUT and (host in ISLAND) != (peer in ISLAND)
                # One message in twenty is lost; the next one carries the same sums.
                if peer != host and not is_cut and rng.random() > 0.05:
                    limiter.on_usage(host, usage, now)
    windows = [sum(granted[n : n + 10]) / 10 / LIMIT for n in range(10, SECONDS - 10)]
    return {
        "mean": sum(granted[10:]) / (SECONDS - 10) / LIMIT,
        "most_10s": max(windows),
        "least_10s": min(windows),
        "shares": sum(limiter.share("a") for limiter in limiters.values()) / LIMIT,
        "retry_after_p95": quantile(refused_hints, 0.95),
    }


def main(seed: int = 1) -> None:
    """Measure even, uneven and shifting demand of three times the limit, with a partition."""
    rows, worst = [], {"Fixed": [0.0, 1.0, 1.0], "AccountLimiter": [0.0, 1.0, 1.0]}
    for kind in (Fixed, AccountLimiter):
        for shape in ("even", "halving", "shifting", "one"):
            for cut in (False, True):
                figures = measure(kind, shape, 3.0, cut, seed)
                row = {"limiter": kind.__name__, "traffic": shape, "cut": cut, **figures}
                rows.append(row)
                most, least, least_cut = worst[kind.__name__]
                most = max(most, figures["most_10s"], figures["shares"])
                if cut:
                    least_cut = min(least_cut, figures["mean"])
                elif shape != "shifting":
                    least = min(least, figures["least_10s"])
                else:
                    least = min(least, figures["mean"])
                worst[kind.__name__] = [most, least, least_cut]
    show("limits", {"seed": seed, "limit": LIMIT, "demand": 3.0}, rows)
    ours, base = worst["AccountLimiter"], worst["Fixed"]
    show(
        "limits_targets",
        {"seed": seed},
        [
            verdict("most granted in 10 s / limit", ours[0], 1.1, f"equal parts {base[0]:.2f}"),
            verdict("limit / least granted", 1 / ours[1], 1.1, f"equal parts {1 / base[1]:.2f}"),
            verdict(
                "limit / granted with a cut", 1 / ours[2], 1.1, f"equal parts {1 / base[2]:.2f}"
            ),
        ],
    )


if __name__ == "__main__":
    fire.Fire(main)
