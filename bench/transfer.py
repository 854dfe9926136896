"""Transfer of weights between real processes, relative to the lower bound of their links.

`python -m bench.transfer [--sizes=8,16] [--cases=plain,deaths,live] [--baselines_at=8] [--seed=1]`
starts a fleet on loopback and publishes a new version. The rates are scaled so that in the allowed
time the store's link carries 4 copies, each host's link 2 and each region link 3. The bound counts
the full links, without a reserve for live traffic.
"""

import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import fire
from attrs import frozen
from wasabilb_standins.callers import Callers
from wasabilb_standins.fleet import FleetShape, LocalFleet

from bench._fleet_model import quantile, write_report

ALLOWED_S = 20.0
CHUNKS = 256
CHUNK_BYTES = 32 << 10
VERSION_BYTES = CHUNKS * CHUNK_BYTES
STORE_COPIES, HOST_COPIES, REGION_COPIES = 4, 2, 3
REGIONS = ("Dublin", "Cork", "Galway")
LIVE_WARM_UP_S, LIVE_REQUESTS_PER_S = 15.0, 30.0
RESTART_DELAY_S, KILL_FRACTION = 1.0, 0.4


@frozen(kw_only=True)
class TransferRun:
    """Parameters of one run."""

    policy: str
    hosts: int
    case: str
    seed: int


def bytes_per_s(copies: float) -> float:
    """Return the rate that carries a number of copies in the allowed time."""
    return copies * VERSION_BYTES / ALLOWED_S


def create_fleet(run: TransferRun, folder: Path) -> LocalFleet:
    """Create a fleet whose links have the ratios of the module's constants."""
    weights = {
        "link_bytes_per_s": bytes_per_s(HOST_COPIES),
        "region_link_bytes_per_s": bytes_per_s(REGION_COPIES),
    }
    shape = FleetShape(
        regions=REGIONS,
        entry_hosts=3,
        runners=run.hosts,
        services={},
        engine={"models": "draft@v1"},
        store={
            "size": VERSION_BYTES,
            "chunk_size": CHUNK_BYTES,
            "bytes_per_s": bytes_per_s(STORE_COPIES),
            "seed": run.seed,
        },
        agent_settings={"weights": weights, "policy": {"chunks": run.policy}},
        region_link_bytes_per_s=bytes_per_s(REGION_COPIES),
    )
    return LocalFleet(shape=shape, folder=folder)


def bound_s(hosts: int) -> float:
    """Return the minimum time in which the links can carry a copy to all hosts."""
    # All copies but the one from the store use the uplinks: (n - 1) copies over n links.
    uplinks_s = (hosts - 1) / hosts * ALLOWED_S / HOST_COPIES
    return max(uplinks_s, ALLOWED_S / min(STORE_COPIES, HOST_COPIES, REGION_COPIES))


def read_events(fleet: LocalFleet, name: str) -> dict[str, list[dict[str, str]]]:
    """Return the log events of a name by host, each as its fields."""
    events_by_host: dict[str, list[dict[str, str]]] = {}
    for host in fleet.runners:
        text = (fleet.folder / f"{host.name}.log").read_text(encoding="utf-8")
        lines = [line for line in text.splitlines() if f" event={name} " in line]
        events_by_host[host.name] = [
            dict(f.partition("=")[::2] for f in line.split()) for line in lines
        ]
    return events_by_host


def region_copies(fleet: LocalFleet) -> dict[str, float]:
    """Return the copies of verified chunks that crossed each region link, by direction."""
    region = {host.name: host.region for host in fleet.runners}
    link_bytes: Counter[str] = Counter()
    for name, lines in read_events(fleet, "chunk_received").items():
        for line in lines:
            source = region.get(line["source"], REGIONS[0])
            if source != region[name]:
                link_bytes[f"{source}-{region[name]}"] += int(line["bytes"])
    return {link: size / VERSION_BYTES for link, size in sorted(link_bytes.items())}


async def kill_agents(fleet: LocalFleet, run: TransferRun) -> None:
    """Kill a tenth of the agents in the middle of the transfer and restart them."""
    await asyncio.sleep(KILL_FRACTION * bound_s(run.hosts))
    victims = random.Random(run.seed).sample(fleet.runners, max(1, run.hosts // 10))
    for host in victims:
        fleet.signal(host, signal.SIGKILL)
    await asyncio.sleep(RESTART_DELAY_S)
    for host in victims:
        fleet.start_process(host)


async def measure_transfer(fleet: LocalFleet, run: TransferRun) -> dict[str, Any]:
    """Publish the new version and return the figures of its transfer."""
    started_at, cpu_start_s = time.monotonic(), time.process_time()
    fleet.publish(fleet.model_ticket(2, version="v2", while_loading="v1"))
    fault_task = asyncio.ensure_future(
        kill_agents(fleet, run) if run.case == "deaths" else asyncio.sleep(0)
    )
    await fleet.wait_version("v2", timeout_s=300.0)
    serving_s = time.monotonic() - started_at
    cpu_share = (time.process_time() - cpu_start_s) / serving_s
    await fault_task
    completed_at = [
        float(lines[-1]["mono"]) for lines in read_events(fleet, "chunk_received").values()
    ]
    started_times = [
        float(lines[0]["mono"]) for lines in read_events(fleet, "transfer_started").values()
    ]
    links = region_copies(fleet)
    bound = bound_s(run.hosts)
    return {
        "time over bound": (max(completed_at) - started_at) / bound,
        "median over bound": (quantile(completed_at, 0.5) - started_at) / bound,
        "last start, s": max(started_times) - started_at,
        "serving, s": serving_s,
        "origin copies": sum(fleet.store.record()["chunks"].values()) / VERSION_BYTES,
        "manifest copies": fleet.store.record()["manifest_bytes"] / VERSION_BYTES,
        "busiest region link, copies": max(links.values(), default=0.0),
        "first whole at": min(completed_at),
        "refused": sum(map(len, read_events(fleet, "chunk_refused").values())),
        "stand-ins, cores": cpu_share,
    }


async def measure(run: TransferRun) -> dict[str, Any]:
    """Start a fleet, measure one transfer and stop the fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = create_fleet(run, Path(folder))
        try:
            await fleet.start()
            fleet.publish(fleet.ticket(1, version="v1"))
            await fleet.wait_in_force(1, timeout_s=60.0)
            await fleet.wait_version("v1", timeout_s=60.0)
            if run.case != "live":
                return await measure_transfer(fleet, run)
            callers = Callers(
                entries=[host.callers for host in fleet.entry_hosts],
                rate_per_s=LIVE_REQUESTS_PER_S,
                mix={"short": 6.0, "long": 0.5},
                account_key=next(iter(fleet.account_keys.values())),
                seed=run.seed,
            )
            callers_task = asyncio.ensure_future(callers.run(300.0))
            await asyncio.sleep(LIVE_WARM_UP_S)
            published_at = time.monotonic()
            figures = await measure_transfer(fleet, run)
            ended_at = time.monotonic()
            callers.is_stopping = True
            await callers_task
            return {
                **figures,
                **live_figures(callers, published_at, figures["first whole at"], ended_at),
            }
        finally:
            await fleet.stop()


def live_figures(
    callers: Callers, published_at: float, first_complete_at: float, ended_at: float
) -> dict[str, Any]:
    """Return the p99 of short requests before and during the transfer, and the failed requests.

    Once the first host is complete, the engines, which share this process with the callers,
    receive the chunks of all hosts.
    """
    short = [r for r in callers.records if r.kind == "short" and r.verdict == "whole"]
    before = quantile([r.end - r.start for r in short if r.start < published_at], 0.99)
    until_first_complete = quantile(
        [r.end - r.start for r in short if published_at <= r.start < first_complete_at], 0.99
    )
    during = quantile([r.end - r.start for r in short if published_at <= r.start < ended_at], 0.99)
    failed_count = sum(r.verdict != "whole" or r.is_match is False for r in callers.records)
    return {
        "short p99 before, ms": before * 1000,
        "short p99 until first whole over before": until_first_complete / before,
        "short p99 during over before": during / before,
        "requests": len(callers.records),
        "not whole": failed_count,
    }


def main(
    sizes: tuple[int, ...] | int = (8, 16, 32),
    cases: tuple[str, ...] | str = ("plain", "deaths", "live"),
    baselines_at: int = 8,
    seed: int = 1,
) -> None:
    """Measure `swarm` at all sizes and the baselines at one; 0 omits the baselines."""
    size_list = (sizes,) if isinstance(sizes, int) else sizes
    case_list = (cases,) if isinstance(cases, str) else cases
    runs = [
        TransferRun(policy="swarm", hosts=hosts, case=case, seed=seed)
        for hosts in size_list
        for case in case_list
    ]
    runs += [
        TransferRun(policy=policy, hosts=baselines_at, case="plain", seed=seed)
        for policy in ("origin_only", "fixed_tree")
        if baselines_at
    ]
    rows = []
    for run in runs:
        figures = asyncio.run(measure(run))
        del figures["first whole at"]
        rows.append({"policy": run.policy, "hosts": run.hosts, "case": run.case, **figures})
        print(rows[-1], flush=True)
    targets = {
        "time over bound": 1.15,
        "origin copies": "1.2, 2 with deaths",
        "busiest region link, copies": 1.1,
        "short p99 during over before": 1.2,
    }
    settings = {"seed": seed, "allowed_s": ALLOWED_S, "chunks": CHUNKS, "targets": targets}
    write_report("transfer", settings, rows)


if __name__ == "__main__":
    fire.Fire(main)
