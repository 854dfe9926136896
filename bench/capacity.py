"""Slopes of state, messages, processor time and memory, extrapolated to the target size.

The cost of links and of idle control traffic is measured on real processes on one machine, the cost
of state on the core alone. Each slope is a least-squares line with its largest relative residual.

Usage: python bench/capacity.py [--seconds=8]
"""

import asyncio
import json
import random
import socket
import statistics
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

import fire
import psutil
import tomli_w
from attrs import asdict, frozen
from wasabilb_core.account_limits import AccountLimiter
from wasabilb_core.fleet import FleetState
from wasabilb_core.once import ClaimPolicy, Ledger, OnceRequest, fingerprint, issue_key
from wasabilb_core.tickets import parse_ticket
from wasabilb_standins.fleet import FleetShape, LocalFleet

ENTRY_HOSTS, AGENTS, DOMAINS = 330, 2400, 6
REQUESTS_PER_S, TOKENS_PER_S = 2000, 990_000
TICKETS_PER_DAY, ACCOUNTS = 230, 10
SUBSET_SIZE, PEER_COUNT = 16, 3
MAX_CORE_SHARE, MAX_BYTES_PER_S, MAX_MEMORY_BYTES = 0.033, 3000.0, 128e6
# TCP and IP headers of a small segment and of its acknowledgement.
SEGMENT_BYTES = 52 + 52


@frozen(kw_only=True)
class Slope:
    """A least-squares line `base + per * x` and its largest residual relative to the value."""

    base: float
    per: float
    error: float


def fit(points: list[tuple[float, float]]) -> Slope:
    """Return the line through measured points."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    residuals = [abs(line.slope * x + line.intercept - y) / max(abs(y), 1e-12) for x, y in points]
    return Slope(base=line.intercept, per=line.slope, error=max(residuals))


class StatsdCounter:
    """Sum of the counters that processes send as statsd lines over UDP."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.counts: Counter[str] = Counter()

    @property
    def address(self) -> str:
        """Return the UDP address of the socket."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def read(self) -> None:
        """Read all received lines."""
        while True:
            try:
                line = self._socket.recv(1024).decode()
            except BlockingIOError:
                return
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            if kind == "c":
                self.counts[name] += int(value)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


@frozen(kw_only=True)
class IdleCost:
    """Cost of one process without requests, per second; memory in bytes."""

    links: float
    core: float
    bytes_per_s: float
    memory: float


async def idle_costs(entry_hosts: int, runners: int, seconds: float) -> dict[str, IdleCost]:
    """Run an idle fleet and return the mean cost of an entry process and of an agent."""
    statsd = StatsdCounter()
    options = {
        "metrics": {"statsd": statsd.address},
        "links": {"subset_size": 1000, "peer_count": 1000},
    }
    shape = FleetShape(
        entry_hosts=entry_hosts,
        runners=runners,
        services={},
        store={"size": 65536},
        entry_settings=options,
        agent_settings=options,
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(shape=shape, folder=Path(folder))
        await fleet.start()
        try:
            fleet.publish(fleet.ticket(1, version="v1"))
            await fleet.wait_version("v1", timeout_s=90)
            await asyncio.sleep(2)
            return await _measure_idle(fleet, statsd, seconds)
        finally:
            await fleet.stop()
            statsd.close()


async def _measure_idle(
    fleet: LocalFleet, statsd: StatsdCounter, seconds: float
) -> dict[str, IdleCost]:
    processes = {
        role: [psutil.Process(h.process.pid) for h in fleet.hosts.values() if h.role == role]
        for role in ("entry", "runner")
    }
    statsd.read()
    bytes_before = dict(statsd.counts)
    before = {role: sum(_processor_s(p) for p in handles) for role, handles in processes.items()}
    for _ in range(int(seconds * 10)):
        await asyncio.sleep(0.1)
        statsd.read()
    links = {"entry": len(fleet.hosts) - 1, "runner": len(fleet.entry_hosts)}
    costs = {}
    for role, metric_role in (("entry", "entry"), ("runner", "agent")):
        count = len(processes[role])
        sent = sum(
            value - bytes_before.get(name, 0)
            for name, value in statsd.counts.items()
            if name.startswith(f"wasabilb.{metric_role}.") and name.endswith(".link_bytes")
        )
        used = sum(_processor_s(p) for p in processes[role]) - before[role]
        memory = sum(p.memory_info().rss for p in processes[role])
        costs[role] = IdleCost(
            links=links[role],
            core=used / seconds / count,
            bytes_per_s=sent / seconds / count,
            memory=memory / count,
        )
    return costs


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def ticket_text(number: int, hosts: int) -> str:
    """Return a ticket that declares a number of hosts and one model."""
    specs = [
        {
            "name": f"host-{index}",
            "role": "backend",
            "address": f"10.0.{index // 250}.{index % 250 + 1}:7000",
            "region": "Dublin",
            "failure_domain": f"dub-{index % DOMAINS}",
        }
        for index in range(hosts)
    ]
    model = {"name": "draft", "version": f"v{number}", "runners": [s["name"] for s in specs]}
    return tomli_w.dumps({"number": number, "models": [model], "hosts": specs})


def state_costs() -> dict[str, Slope]:
    """Return, per declared host, the time of a ticket and the memory of state and text."""
    times, memory, sizes = [], [], []
    for hosts in (100, 400, 1600, 2730):
        text = ticket_text(1, hosts)
        started_at = time.perf_counter()
        ticket = parse_ticket(text).unwrap()
        times.append((hosts, time.perf_counter() - started_at))
        tracemalloc.start()
        fleet = FleetState()
        fleet.apply(parse_ticket(text).unwrap())
        memory.append((hosts, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        sizes.append((hosts, float(len(ticket.text))))
    return {"ticket_s": fit(times), "state_bytes": fit(memory), "text_bytes": fit(sizes)}


class _UnusedClaimPolicy(ClaimPolicy):
    """Placeholder: a ledger of issued keys does not consult its claim policy."""


def ledger_cost() -> Slope:
    """Return the memory of a ledger per recorded key."""
    points = []
    for keys in (1000, 4000, 16000):
        rng = random.Random(1)
        tracemalloc.start()
        ledger = Ledger(
            service="bookings", host="b1", incarnation=1, claim_policy=_UnusedClaimPolicy()
        )
        for index in range(keys):
            call_fingerprint = fingerprint("POST", "/book", str(index).encode(), "salon")
            key = issue_key("bookings", "b1", 1, index, rng)
            request = OnceRequest(
                key=key, fingerprint=call_fingerprint, generation=1, entry_wall=0.0
            )
            ledger.begin(request, 0.0, 0.0)
        points.append((keys, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
    return fit(points)


def usage_cost() -> Slope:
    """Return the time to process one `Usage` message per account."""
    points = []
    for accounts in (10, 40, 160):
        limiters = [
            AccountLimiter(
                host=name,
                hosts=["a", "b"],
                incarnation=1,
                rng=random.Random(1),
                is_first_start=True,
            )
            for name in ("a", "b")
        ]
        for limiter in limiters:
            for index in range(accounts):
                limiter.set_account(f"account-{index}", 100.0, 100.0)
        started_at = time.perf_counter()
        for index in range(200):
            limiters[1].on_usage("a", limiters[0].usage(float(index)), float(index))
        points.append((accounts, (time.perf_counter() - started_at) / 200))
    return fit(points)


def measure(seconds: float) -> dict[str, Any]:
    """Measure all slopes."""
    entry, agent = [], []
    for entry_hosts, runners in ((1, 4), (2, 12), (4, 24), (8, 32)):
        costs = asyncio.run(idle_costs(entry_hosts, runners, seconds))
        entry.append(costs["entry"])
        agent.append(costs["runner"])
    slopes: dict[str, Any] = {}
    for role, costs in (("entry", entry), ("agent", agent)):
        for name in ("core", "bytes_per_s", "memory"):
            points = [(cost.links, getattr(cost, name)) for cost in costs]
            slopes[f"{role}_{name}"] = fit(points)
    slopes |= state_costs()
    slopes["ledger_bytes"] = ledger_cost()
    slopes["usage_s"] = usage_cost()
    return slopes


def extrapolate_to_target(slopes: dict[str, Slope]) -> list[tuple[str, float, float]]:
    """Return the control cost of each role at the target size, with its bound."""
    entry_links = SUBSET_SIZE + 2 * PEER_COUNT + DOMAINS
    agent_links = SUBSET_SIZE * ENTRY_HOSTS / 600
    state = slopes["state_bytes"].per * (ENTRY_HOSTS + AGENTS)
    rows = []
    for role, links in (("entry", entry_links), ("agent", agent_links)):
        core, sent, memory = (slopes[f"{role}_{n}"] for n in ("core", "bytes_per_s", "memory"))
        rows.append((f"{role}: share of a core", core.base + core.per * links, MAX_CORE_SHARE))
        payload = sent.base + sent.per * links
        rows.append((f"{role}: bytes/s sent", payload, MAX_BYTES_PER_S))
        header_bytes = links * 2 * SEGMENT_BYTES
        rows.append((f"{role}: bytes/s with headers", payload + header_bytes, MAX_BYTES_PER_S))
        rows.append((f"{role}: memory", memory.base + memory.per * links + state, MAX_MEMORY_BYTES))
    merge = slopes["ticket_s"].base + slopes["ticket_s"].per * (ENTRY_HOSTS + AGENTS)
    rows.append(("a ticket of all hosts: check and merge, s", merge, 7.0))
    return rows


def main(seconds: float = 8.0) -> None:
    """Measure, print the slopes and the figures at the target size, and write JSON."""
    slopes = measure(seconds)
    print(f"{'slope':24} {'base':>14} {'per unit':>14} {'error':>8}")
    for name, slope in slopes.items():
        print(f"{name:24} {slope.base:14.6g} {slope.per:14.6g} {slope.error:8.1%}")
    rows = extrapolate_to_target(slopes)
    print(f"\n{'at the target size':44} {'value':>14} {'bound':>14}")
    for name, value, bound in rows:
        print(f"{name:44} {value:14.6g} {bound:14.6g} {'' if value <= bound else 'MISSED'}")
    path = Path("out/capacity.json")
    path.parent.mkdir(exist_ok=True)
    data = {"slopes": {n: asdict(s) for n, s in slopes.items()}, "target": rows}
    path.write_text(json.dumps(data, indent=1), encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
