"""Latency and goodput of real processes under stragglers, slowed runners and overload.

Three entry hosts and five runners serve open-loop callers. The engines and callers run in this
process; the columns of processor time show whether it or the system is the bottleneck.

Usage: python -m bench.end_to_end [--seed=1] [--seconds=25]
"""

import asyncio
import random
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import fire
from attrs import frozen
from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.callers import Callers
from wasabilb_standins.fleet import FleetShape, LocalFleet

from bench._fleet_model import quantile, target_row, write_report
from bench.entry_cost import Meter

SLOTS, TOKEN_S, BATCH_GROWTH, RUNNERS = 8, 0.02, 0.02, 5
# Tokens per second of all runners with full batches.
CAPACITY = RUNNERS * SLOTS / (TOKEN_S * (1 + BATCH_GROWTH * (SLOTS - 1)))
SHORT_TOKENS, LONG_TOKENS = (8, 24), (160, 320)
SLOW_FACTOR, SLOW_S, SLOW_INTERVAL_S = 10.0, 5.0, 12.0
DEADLINE_MS = 10_000
WARM_UP_S = 4.0
OURS = ("peer_compared", "short_first")


@frozen(kw_only=True)
class Case:
    """One load; `load` is relative to the runners' capacity."""

    name: str
    load: float
    stragglers: float = 0.05
    is_slowed: bool = False
    deadline_ms: int = 0


HEAD_OF_LINE = Case(name="stragglers", load=0.75)
CASES: dict[tuple[str, str], tuple[Case, ...]] = {
    OURS: (
        Case(name="no stragglers", load=0.75, stragglers=0.0),
        HEAD_OF_LINE,
        Case(name="not slowed", load=0.7, stragglers=0.02),
        Case(name="slowed", load=0.7, stragglers=0.02, is_slowed=True),
        Case(name="at capacity", load=1.0, deadline_ms=DEADLINE_MS),
        Case(name="3 times capacity", load=3.0, deadline_ms=DEADLINE_MS),
    ),
    ("peer_compared", "fcfs"): (HEAD_OF_LINE,),
    ("least_in_flight", "short_first"): (
        Case(name="not slowed", load=0.7, stragglers=0.02),
        Case(name="slowed", load=0.7, stragglers=0.02, is_slowed=True),
    ),
}


def answer_tokens(rec: CallRecord) -> int:
    """Return the length of the whole answer, which the prompt sets."""
    return int(rec.prompt.rpartition("=")[2].rstrip("]"))


def create_callers(fleet: LocalFleet, case: Case, seed: int) -> Callers:
    """Return the callers of a load."""
    mean = (1 - case.stragglers) * sum(SHORT_TOKENS) / 2 + case.stragglers * sum(LONG_TOKENS) / 2
    return Callers(
        entries=[host.callers for host in fleet.entry_hosts],
        rate_per_s=case.load * CAPACITY / mean,
        mix={"short": 1 - case.stragglers, "long": case.stragglers},
        short_tokens=SHORT_TOKENS,
        long_tokens=LONG_TOKENS,
        account_key=fleet.account_keys["salon-1"],
        deadline_ms=case.deadline_ms,
        timeout_s=60.0,
        seed=seed,
    )


async def slow_runners(fleet: LocalFleet, seed: int) -> None:
    """Slow one runner at a time at random times that depend on the seed only."""
    rng = random.Random(seed * 104729 + 5)
    while True:
        await asyncio.sleep(rng.expovariate(1 / (SLOW_INTERVAL_S - SLOW_S)))
        engine = rng.choice(fleet.runners).engine
        assert engine is not None
        engine.set_faults(slow=SLOW_FACTOR)
        try:
            await asyncio.sleep(SLOW_S)
        finally:
            engine.set_faults(slow=1.0)


def produced_tokens(fleet: LocalFleet) -> int:
    """Return the tokens that all engines have produced."""
    answers = (answer for host in fleet.runners if host.engine for answer in host.engine.answers)
    return sum(answer.position - answer.resume_from for answer in answers)


async def run_case(fleet: LocalFleet, case: Case, *, seed: int, seconds: float) -> dict[str, Any]:
    """Run one load, wait for its answers and return its figures."""
    callers, before, meter = create_callers(fleet, case, seed), produced_tokens(fleet), Meter(fleet)
    slow_task = asyncio.ensure_future(slow_runners(fleet, seed)) if case.is_slowed else None
    records = await callers.run(seconds)
    if slow_task is not None:
        slow_task.cancel()
        await asyncio.gather(slow_task, return_exceptions=True)
    usage = meter.stop()
    whole = [rec for rec in records if rec.verdict == "whole"]
    needed = sum(answer_tokens(rec) for rec in whole)
    return {
        "case": case.name,
        "asked": len(records),
        "whole": len(whole),
        "first_p50": first_byte_quantile(whole, "short", 0.5),
        "first_p99": first_byte_quantile(whole, "short", 0.99),
        "end_p99": quantile((rec.end - rec.start for rec in whole), 0.99),
        "short_end_p99": quantile(
            (rec.end - rec.start for rec in whole if rec.kind == "short"), 0.99
        ),
        "goodput": needed / usage.wall_s,
        "extra_work": (produced_tokens(fleet) - before) / max(needed, 1) - 1.0,
        "entry_cores": usage.processor_s["entry"] / usage.wall_s,
        "agent_cores": usage.processor_s["runner"] / usage.wall_s,
        "own_cores": usage.bench_s / usage.wall_s,
    }


def first_byte_quantile(whole: Iterable[CallRecord], kind: str, fraction: float) -> float:
    """Return a quantile of the time to the first byte, in seconds."""
    return quantile((rec.first_byte - rec.start for rec in whole if rec.kind == kind), fraction)


async def run_fleet(policy: tuple[str, str], *, seed: int, seconds: float) -> list[dict[str, Any]]:
    """Run all loads of one pair of policies on a new fleet."""
    routing, queueing = policy
    # The baseline neither moves nor hedges requests.
    hedging = "budgeted" if routing == OURS[0] else "none"
    shape = FleetShape(
        entry_hosts=3,
        runners=RUNNERS,
        services={},
        engine={"slots": SLOTS, "token_s": TOKEN_S, "batch_growth": BATCH_GROWTH, "load_s": 0.1},
        entry_settings={"policy": {"routing": routing, "hedging": hedging}},
        agent_settings={"policy": {"queueing": queueing}},
    )
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(shape=shape, folder=Path(folder))
        await fleet.start()
        try:
            fleet.publish(fleet.ticket(1, version="v1"))
            await fleet.wait_version("v1")
            await create_callers(fleet, HEAD_OF_LINE, seed + 1).run(WARM_UP_S)
            for case in CASES[policy]:
                figures = await run_case(fleet, case, seed=seed, seconds=seconds)
                rows.append({"routing": routing, "queueing": queueing, **figures})
        finally:
            await fleet.stop()
    return rows


def to_target_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the target rows."""
    row_of = {(row["routing"], row["queueing"], row["case"]): row for row in rows}

    def ours(case: str) -> dict[str, Any]:
        return row_of[*OURS, case]

    fcfs = row_of["peer_compared", "fcfs", "stragglers"]
    base, base_unslowed = (row_of["least_in_flight", OURS[1], c] for c in ("slowed", "not slowed"))
    first, unslowed, slowed = "first_p99", ours("not slowed"), ours("slowed")
    at_capacity, overloaded = ours("at capacity"), ours("3 times capacity")
    without_stragglers = ours("no stragglers")[first]
    peak = max(at_capacity["goodput"], overloaded["goodput"])
    target_rows = [
        target_row(
            "short first_p99 with / without stragglers",
            ours("stragglers")[first] / without_stragglers,
            1.2,
            f"fcfs {fcfs[first] / without_stragglers:.2f}",
        ),
        target_row(
            "short first_p99, short_first / fcfs",
            ours("stragglers")[first] / fcfs[first],
            0.2,
            f"{fcfs[first]:.3f} s",
        ),
    ]
    for key in ("end_p99", "short_end_p99", first):
        baseline_ratio = base[key] / base_unslowed[key]
        target_rows += [
            target_row(
                f"{key} slowed / not", slowed[key] / unslowed[key], 1.3, f"{baseline_ratio:.2f}"
            ),
            target_row(
                f"{key} slowed / least_in_flight",
                slowed[key] / base[key],
                1.0,
                f"{base[key]:.3f} s",
            ),
        ]
    latency = overloaded["short_end_p99"] / at_capacity["short_end_p99"]
    return [
        *target_rows,
        target_row(
            "extra work while slowed", slowed["extra_work"], 0.03, f"{base['extra_work']:.3f}"
        ),
        target_row(
            "peak goodput / that at 3 times capacity", peak / overloaded["goodput"], 1 / 0.9, ""
        ),
        target_row("short_end_p99, 3 times / at capacity", latency, 1.2, ""),
    ]


def main(seed: int = 1, seconds: float = 25.0) -> None:
    """Run all cases, print the tables and write JSON."""
    rows = []
    for policy in CASES:
        rows += asyncio.run(run_fleet(policy, seed=seed, seconds=seconds))
    settings = {"seed": seed, "seconds": seconds, "capacity_tokens_s": round(CAPACITY)}
    write_report("end_to_end", settings, rows)
    write_report("end_to_end_targets", settings, to_target_rows(rows))


if __name__ == "__main__":
    fire.Fire(main)
