"""Processor time of an entry process and of agents, per forwarded token and per request.

Two loads on real processes differ in the length of their answers; the slope between them separates
the cost of a token from that of a request. The idle cost (heartbeats, reports) is measured first
and subtracted, because the longer load also takes more time. The engines and callers run in the
bench process; its share of a core shows whether they keep up, since a late engine sends several
tokens at once, which are cheaper to forward.

Usage: python bench/entry_cost.py [--seed=1] [--requests=400] [--concurrent=64]
"""

import asyncio
import json
import random
import tempfile
import time
from pathlib import Path
from typing import Any

import fire
import psutil
from attrs import define
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from wasabilb_standins.fleet import FleetShape, LocalFleet

TARGET_TOKEN_US = 60.0
TARGET_REQUEST_MS = 1.5
SHORT_TOKENS, LONG_TOKENS = 4, 204
IDLE_S = 4.0
ROLES = ("entry", "runner")
# One of 330 entry hosts at 990,000 tokens/s and 2,000 requests/s.
HOST_TOKENS_PER_S, HOST_REQUESTS_PER_S = 3000.0, 6.0


@define(kw_only=True)
class Load:
    """Processor time by role and of the bench, wall time, and events of one load."""

    processor_s: dict[str, float]
    bench_s: float
    wall_s: float
    events: int = 0


def processor_s(fleet: LocalFleet, role: str) -> float:
    """Return the processor time of all processes of a role, in seconds."""
    total = 0.0
    for host in fleet.hosts.values():
        if host.role == role and host.process is not None:
            times = psutil.Process(host.process.pid).cpu_times()
            total += times.user + times.system
    return total


class Meter:
    """Meter of processor time between its creation and `stop`."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._start_s = {role: processor_s(fleet, role) for role in ROLES}
        self._bench_start_s, self._wall_start_s = time.process_time(), time.monotonic()

    def stop(self) -> Load:
        """Return the processor time since the start."""
        used = {role: processor_s(self._fleet, role) - self._start_s[role] for role in ROLES}
        bench_s, wall_s = (
            time.process_time() - self._bench_start_s,
            time.monotonic() - self._wall_start_s,
        )
        return Load(processor_s=used, bench_s=bench_s, wall_s=wall_s)


def to_completion_request(fleet: LocalFleet, *, prompt: str, tokens: int) -> HTTPRequest:
    """Return a request for a streamed completion."""
    body = {"model": fleet.shape.model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    return HTTPRequest(
        f"http://{fleet.entry_hosts[0].callers}/v1/completions",
        method="POST",
        headers={"Authorization": f"Bearer {fleet.account_keys['salon-1']}"},
        body=json.dumps(body),
        connect_timeout=300,
        request_timeout=300,
    )


async def run_load(
    fleet: LocalFleet, *, tokens: int, requests: int, concurrent: int, seed: int
) -> Load:
    """Send streamed completions and return their cost."""
    client = AsyncHTTPClient(force_instance=True, max_clients=concurrent)
    rng = random.Random(seed)
    events = 0

    async def send_request(number: int) -> None:
        nonlocal events
        prompt = f"{rng.random()} {number} [len={tokens}]"
        answer = await client.fetch(to_completion_request(fleet, prompt=prompt, tokens=tokens))
        if b"data: [DONE]" not in answer.body:
            raise RuntimeError("an answer is incomplete")
        # The end of the answer and `[DONE]` are no tokens.
        events += answer.body.count(b"data: ") - 2

    meter = Meter(fleet)
    await asyncio.gather(*(send_request(number) for number in range(requests)))
    client.close()
    load = meter.stop()
    load.events = events
    return load


async def measure(*, seed: int, requests: int, concurrent: int) -> dict[str, Any]:
    """Return the cost of a token and of a request for each role."""
    shape = FleetShape(
        entry_hosts=1,
        runners=4,
        services={},
        engine={"slots": 16, "token_s": 0.02, "load_s": 0.1},
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(shape=shape, folder=Path(folder))
        await fleet.start()
        try:
            fleet.publish(fleet.ticket(1, version="v1"))
            await fleet.wait_version("v1")
            options = {"concurrent": concurrent, "seed": seed}
            await run_load(fleet, tokens=SHORT_TOKENS, requests=50, **options)
            meter = Meter(fleet)
            await asyncio.sleep(IDLE_S)
            idle = meter.stop()
            short = await run_load(fleet, tokens=SHORT_TOKENS, requests=requests, **options)
            long = await run_load(fleet, tokens=LONG_TOKENS, requests=requests, **options)
        finally:
            await fleet.stop()
    figures = {"seed": seed, "requests": requests, "concurrent": concurrent}
    return figures | to_costs(idle=idle, short=short, long=long, requests=requests)


def to_costs(*, idle: Load, short: Load, long: Load, requests: int) -> dict[str, Any]:
    """Return the costs, rates and shares of a core."""
    tokens = requests * LONG_TOKENS
    figures: dict[str, Any] = {
        "tokens_per_s": tokens / long.wall_s,
        "tokens_per_event": tokens / long.events,
        "bench_share": long.bench_s / long.wall_s,
    }
    for role in ROLES:
        idle_share = idle.processor_s[role] / idle.wall_s
        used_short = short.processor_s[role] - idle_share * short.wall_s
        used_long = long.processor_s[role] - idle_share * long.wall_s
        token_s = (used_long - used_short) / requests / (LONG_TOKENS - SHORT_TOKENS)
        request_s = used_short / requests - token_s * SHORT_TOKENS
        figures[f"{role}_idle_share"] = idle_share
        figures[f"{role}_token_us"] = token_s * 1e6
        figures[f"{role}_request_ms"] = request_s * 1e3
    figures["entry_host_share"] = (
        figures["entry_idle_share"]
        + HOST_TOKENS_PER_S * figures["entry_token_us"] / 1e6
        + HOST_REQUESTS_PER_S * figures["entry_request_ms"] / 1e3
    )
    return figures


def main(seed: int = 1, requests: int = 400, concurrent: int = 64) -> None:
    """Measure, print a table and write JSON."""
    figures = asyncio.run(measure(seed=seed, requests=requests, concurrent=concurrent))
    token, request = f"<= {TARGET_TOKEN_US:g}", f"<= {TARGET_REQUEST_MS:g}"
    rows = [
        ("entry, us a token", figures["entry_token_us"], token),
        ("entry, ms a request", figures["entry_request_ms"], request),
        ("agent, us a token", figures["runner_token_us"], token),
        ("agent, ms a request", figures["runner_request_ms"], request),
        ("entry idle, % of a core", figures["entry_idle_share"] * 100, "-"),
        ("4 agents idle, % of a core", figures["runner_idle_share"] * 100, "-"),
        (
            "entry, % of a core at 3,000 tokens/s and 6 requests/s",
            figures["entry_host_share"] * 100,
            "-",
        ),
        ("tokens/s of the long load", figures["tokens_per_s"], "-"),
        ("tokens an event of it", figures["tokens_per_event"], "-"),
        ("bench and stand-ins, % of a core", figures["bench_share"] * 100, "< 100"),
    ]
    for name, value, target in rows:
        print(f"{name:54} {value:10.2f}   target {target}")
    path = Path("out/entry_cost.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(figures, indent=1), encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
