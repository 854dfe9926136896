"""Simulated weight distribution: `python bench/distribution.py [--seed=N] [--sizes=8,16]`.

Prints a table of sizes and one of faults, each figure with its target, and writes
`out/distribution.json`.
"""

import json
import math
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import attrs
import fire
from transfer_model import ALLOWED_S, LINK_TIMEOUT_S, Layout, Transfer
from wasabilb_core.distribution import ORIGIN, PlannerLimits

SIZES = (8, 16, 32, 64, 128, 512, 2400)
POLICIES = ("swarm", "fixed_tree", "origin_only")
TIME_TARGET, ORIGIN_TARGET, ORIGIN_FAULT_TARGET, REGION_TARGET = 1.15, 1.2, 2.0, 1.1
CHUNKS = 512
# Fewer chunks keep large runs short; filling the pipeline then takes a larger share of the time, so
# the ratio is higher than with the chunks of a large model.
CHUNKS_LARGE = 256
CHUNKS_SMALL = 64
# Runs end after this many times the bound; "complete" then shows the hosts that finished.
MAX_TIME_RATIO = 40.0
MAX_TIME_RATIO_LARGE = 3.0


def _layout(hosts: int, chunks: int) -> Layout:
    """Return the layout of three regions, or of two for 2,400 hosts and more."""
    if hosts >= 2400:
        return Layout(hosts=hosts, regions=2, domains_per_region=3, chunks=chunks)
    return Layout(hosts=hosts, regions=3, domains_per_region=1, chunks=chunks)


def _no_fault(transfer: Transfer) -> None:
    """Inject no fault."""


def _kill_hosts(transfer: Transfer) -> None:
    names = sorted(transfer.nodes)
    for name in transfer.rng.sample(names, max(1, len(names) // 10)):
        transfer.schedule(transfer.rng.uniform(0.1, 0.9) * ALLOWED_S / 2, transfer.fault_kill, name)


def _stall_links(transfer: Transfer) -> None:
    """Stall a tenth of the links for 10 s each; hosts replace a link after 3 s of silence."""
    stalled: set[frozenset[str]] = set()
    transfer.partition_rule = lambda one, other: frozenset((one, other)) in stalled

    def fault_stall(one: str, other: str) -> None:
        pair = frozenset((one, other))
        stalled.add(pair)
        transfer.schedule(LINK_TIMEOUT_S, transfer.remove_link, one, other)
        transfer.schedule(LINK_TIMEOUT_S, transfer.remove_link, other, one)
        transfer.schedule(10.0, stalled.discard, pair)

    pairs = sorted((a, b) for a in transfer.nodes for b in transfer.nodes[a].peers if a < b)
    for one, other in transfer.rng.sample(pairs, -(-len(pairs) // 10)):
        transfer.schedule(transfer.rng.uniform(0.0, 0.9) * ALLOWED_S / 2, fault_stall, one, other)


def _corrupt_chunks(transfer: Transfer) -> None:
    """Corrupt one chunk in 200, and every chunk of one host in 20."""
    names = sorted(transfer.nodes)
    corrupting_hosts = set(transfer.rng.sample(names, max(1, len(names) // 20)))
    transfer.corruption_rule = (
        lambda source: source in corrupting_hosts or transfer.rng.random() < 0.005
    )


def _slow_uplinks(transfer: Transfer) -> None:
    """Slow the uplinks of a tenth of the hosts by a factor of 10."""
    names = sorted(transfer.nodes)
    for name in transfer.rng.sample(names, max(1, len(names) // 10)):
        transfer.nodes[name].chunks_per_s /= 10


def _partition_domain(transfer: Transfer) -> None:
    """Cut one failure domain off for 15 s in the middle."""
    domains = sorted({node.spec.failure_domain for node in transfer.nodes.values()})
    domain = domains[-1]

    def is_inside(name: str) -> bool:
        return name != ORIGIN and transfer.nodes[name].spec.failure_domain == domain

    def fault_partition() -> None:
        transfer.partition_rule = lambda one, other: is_inside(one) != is_inside(other)
        transfer.schedule(15.0, fault_heal)
        for name, node in transfer.nodes.items():
            for peer in node.peers:
                if is_inside(name) != is_inside(peer):
                    transfer.schedule(LINK_TIMEOUT_S, transfer.remove_link, name, peer)

    def fault_heal() -> None:
        transfer.partition_rule = None

    transfer.schedule(0.3 * ALLOWED_S / 2, fault_partition)


def _publish_version(transfer: Transfer) -> None:
    """Publish a newer version in the middle and measure the time from there."""

    def fault_publish() -> None:
        transfer.publish()

    transfer.schedule(0.5 * ALLOWED_S / 2, fault_publish)


FAULTS: dict[str, Callable[[Transfer], None]] = {
    "deaths": _kill_hosts,
    "stalls": _stall_links,
    "corruption": _corrupt_chunks,
    "slow peers": _slow_uplinks,
    "domain cut": _partition_domain,
    "new version": _publish_version,
}


def _measure(
    hosts: int, policy: str, fault: str, seed: int, chunks: int, limits: dict[str, Any]
) -> dict[str, Any]:
    layout = _layout(hosts, chunks)
    started_at = time.monotonic()
    transfer = Transfer(layout=layout, policy=policy, seed=seed, limits=PlannerLimits(**limits))
    FAULTS.get(fault, _no_fault)(transfer)
    bound = transfer.bound_s()
    result = transfer.run((MAX_TIME_RATIO if hosts < 512 else MAX_TIME_RATIO_LARGE) * bound)
    row = {"hosts": hosts, "policy": policy, "fault": fault, "seed": seed, "chunks": chunks}
    row |= attrs.asdict(result) | {"bound_s": bound, "ratio": result.time_s / bound}
    # Chunk times beyond the bound, per doubling of the hosts.
    excess_chunk_times = (result.time_s - bound) / (ALLOWED_S / 2 / chunks)
    row["chunk_times_per_doubling"] = excess_chunk_times / math.log2(hosts)
    row["run_s"] = time.monotonic() - started_at
    return row


def _run_order(job: tuple[Any, ...]) -> float:
    """Return a sort key that puts long runs first."""
    hosts, policy, _, _, chunks, _ = job
    return -hosts * chunks * (1.0 if policy == "swarm" else 0.1)


def _print_row(row: dict[str, Any]) -> None:
    origin = ORIGIN_FAULT_TARGET if row["fault"] else ORIGIN_TARGET
    print(
        f"{row['hosts']:5d} {row['policy']:11s} {row['fault'] or '-':11s} {row['chunks']:5d}"
        f" {row['time_s']:9.1f} {row['ratio']:8.3f} <={TIME_TARGET}"
        f" {row['chunk_times_per_doubling']:9.2f}"
        f" {row['origin_copies']:8.2f} <={origin} {row['region_copies']:7.2f} <={REGION_TARGET}"
        f" {row['finished']:5d}/{row['living']:<5d}"
        f" {row['refusals'] / row['hosts'] / row['chunks']:6.2f}"
        f" {row['duplicates'] / row['hosts'] / row['chunks']:6.3f} {row['run_s']:6.1f}",
        flush=True,
    )


def main(
    seed: int = 1,
    sizes: Any = SIZES,
    policies: Any = POLICIES,
    faults: bool = True,
    fault_hosts: int = 64,
    chunks: int = 0,
    limits: Any = None,
    workers: int = 2,
    out: str = "out/distribution.json",
) -> None:
    """Measure all sizes and faults, print the tables and write the rows as JSON."""
    print(
        "hosts policy      fault      chunks  time [s]  x bound  target per doubl.   origin target"
        "  region target   complete refused  twice  run [s]"
    )
    sizes = sizes if isinstance(sizes, list | tuple) else (sizes,)
    policies = policies if isinstance(policies, list | tuple) else (policies,)
    limits = limits or {}
    jobs = []
    for hosts in sizes:
        for policy in policies:
            count = chunks or (CHUNKS if hosts < 128 else CHUNKS_LARGE)
            if policy != "swarm" or (hosts >= 2400 and not chunks):
                count = CHUNKS_SMALL
            jobs.append((hosts, policy, "", seed, count, limits))
    for fault in FAULTS if faults else ():
        for policy in policies:
            count = (chunks or CHUNKS_LARGE) if policy == "swarm" else CHUNKS_SMALL
            jobs.append((fault_hosts, policy, fault, seed, count, limits))
    rows = []
    with ProcessPoolExecutor(max_workers=workers) as pool:
        # The longest runs start first; the rows are printed in the order of the table.
        futures_by_job = {
            job[:3]: pool.submit(_measure, *job) for job in sorted(jobs, key=_run_order)
        }
        for job in jobs:
            rows.append(futures_by_job[job[:3]].result())
            _print_row(rows[-1])
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps({"seed": seed, "rows": rows}, indent=1), encoding="utf-8")
    print(f"wrote {path}", file=sys.stderr)


if __name__ == "__main__":
    fire.Fire(main)
