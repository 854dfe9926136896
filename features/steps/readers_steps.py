"""Steps about the processes that read the platform for others, under a virtual clock."""

import asyncio
import json
import operator
import random
import zlib
from collections import Counter
from functools import partial

from attrs import evolve
from behave import given, then, when
from memory_links import Network, run_virtual
from published_fleet import (
    SEEDS,
    Platform,
    Process,
    connect_all,
    connect_as_large_fleet,
)
from wasabilb_core.peering import hubs
from wasabilb_core.published import StateItem
from wasabilb_node.item_compression import MAX_BODY_BYTES, ItemPacker, unpack


def run_fleet(context, *checks):
    """Run all processes and the collected actions in order."""

    async def main():
        network, platform = Network(bytes_per_s=context.bytes_per_s), Platform()
        platform.items.update(context.listed)
        names = "abcdefgh"[: context.domains]
        specs = [(f"e-{n:03}", "entry", names[n % len(names)]) for n in range(context.entries)]
        specs += [(f"s-{n:03}", "agent", names[n % len(names)]) for n in range(context.agents)]
        processes = [
            Process(
                network=network,
                platform=platform,
                host=host,
                role=role,
                failure_domain=where,
                is_seed=number < SEEDS,
            )
            for number, (host, role, where) in enumerate(specs)
        ]
        tasks = [asyncio.ensure_future(process.run()) for process in processes]
        tasks.append(asyncio.ensure_future(context.connect(network, processes)))
        for action in [*context.actions, *checks]:
            await action(platform, [p for p in processes if p.host not in network.dead])
        for task in tasks:
            task.cancel()

    run_virtual(main)


def watching_processes(platform, processes):
    return [process for process in processes if platform.watch_counts[process.host]]


@given("{entries:d} entry processes and {agents:d} agents in 2 failure domains")
def step_processes(context, entries, agents):
    context.entries, context.agents, context.domains = entries, agents, 2
    context.listed, context.actions, context.connect = {}, [], connect_all
    context.run_fleet = partial(run_fleet, context)
    context.bytes_per_s = None


@given(
    "{entries:d} entry processes and {agents:d} agents in {domains:d} failure domains, linked as a "
    "large fleet"
)
def step_large(context, entries, agents, domains):
    step_processes(context, entries, agents)
    context.domains, context.connect = domains, connect_as_large_fleet


@given("a runner that they all list")
def step_listed(context):
    context.listed["runner/r"] = StateItem(name="runner/r", revision=1, body=b"runner")


@when("they have run for {seconds:g} s")
def step_run(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)

    context.actions.append(action)


@when("the platform publishes a change")
def step_change(context):
    async def action(platform, processes):
        platform.publish("routes", b"new")

    context.actions.append(action)


@when("the platform refuses all readers")
def step_refuse_readers(context):
    async def action(platform, processes):
        platform.refused_hosts = {
            process.host for process in watching_processes(platform, processes)
        }
        assert platform.refused_hosts

    context.actions.append(action)


@when("the platform refuses one reader for {seconds:g} s")
def step_refuse_one_reader(context, seconds):
    async def action(platform, processes):
        platform.refused_hosts = {watching_processes(platform, processes)[0].host}
        await asyncio.sleep(seconds)
        platform.refused_hosts = set()

    context.actions.append(action)


@when(
    "one failure domain is cut off for {seconds:g} s, and the runner leaves {before:g} s before "
    "its end"
)
def step_domain_cut(context, seconds, before):
    async def action(platform, processes):
        network = processes[0].links.network
        away = [p.host for p in processes if p.own.failure_domain == "b"]
        others = [p.host for p in processes if p.own.failure_domain != "b"]
        platform.refused_hosts = set(away)
        for one in away:
            for two in others:
                network.block(one, two)
                network.block(two, one)
        await asyncio.sleep(seconds - before)
        platform.publish("runner/r", None)
        await asyncio.sleep(before)
        network.unblock_all()
        platform.refused_hosts = set()

    context.actions.append(action)


@when("the runner leaves {seconds:g} s later")
def step_leaves(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        platform.publish("runner/r", None)

    context.actions.append(action)


@when("the runner leaves while one entry process can reach only one that starts after that")
def step_leaves_unreachable(context):
    async def action(platform, processes):
        entries = [process for process in processes if process.role == "entry"]
        away = next(e for e in reversed(entries) if not platform.watch_counts[e.host])
        network = away.links.network
        for process in processes:
            if process is not away:
                network.block(process.host, away.host)
        platform.publish("runner/r", None)
        where = away.own.failure_domain
        started = Process(
            network=network,
            platform=platform,
            host="e-new",
            role="entry",
            failure_domain=where,
            is_seed=True,
        )
        context.started = asyncio.ensure_future(started.run())
        await asyncio.sleep(0.1)
        network.connect(started.host, away.host)

    context.actions.append(action)


@when("it publishes a change {seconds:g} s later")
def step_change_later(context, seconds):
    step_run(context, seconds)
    step_change(context)


@when("the platform is away for {seconds:g} s and comes back without the runner's entry")
def step_outage(context, seconds):
    async def action(platform, processes):
        platform.is_down = True
        await asyncio.sleep(seconds)
        platform.publish("runner/r", None)
        platform.is_down = False

    context.actions.append(action)


@when("the entry is published again {seconds:g} s later")
def step_republished(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        platform.publish("runner/r", b"runner")

    context.actions.append(action)


@then("at most {count:d} entry processes of each failure domain and no agent wait for changes")
def step_few(context, count):
    async def check(platform, processes):
        found = [process.host for process in watching_processes(platform, processes)]
        domains = Counter(int(host.partition("-")[2]) % context.domains for host in found)
        assert len(domains) == context.domains and max(domains.values()) <= count, found
        assert all(host.startswith("e-") for host in found), found

    context.actions.append(check)
    run_fleet(context)


@then(
    "each entry process other than the hubs has handled at most {most:d} messages a second while "
    "nothing changed"
)
def step_messages(context, most):
    async def check(platform, processes):
        entries = [process for process in processes if process.role == "entry"]
        places = [process.own for process in entries]
        domains = {place.failure_domain for place in places}
        every_hub = {hub for domain in domains for hub in hubs(places, domain)}
        others = [process for process in entries if process.host not in every_hub]
        before = [process.links.received_messages for process in others]
        await asyncio.sleep(5.0)
        now = [process.links.received_messages for process in others]
        rate = max(map(operator.sub, now, before)) / 5.0
        assert rate <= most, rate

    context.actions.append(check)
    run_fleet(context)


@when("the hubs of one failure domain end")
def step_hubs_end(context):
    async def action(platform, processes):
        entries = [process for process in processes if process.role == "entry"]
        places = [process.own for process in entries]
        network = entries[0].links.network
        for host in hubs(places, "a"):
            network.end(host)

    context.actions.append(action)


@then("every process has the newest state")
def step_newest(context):
    step_all_have(context, 0.0)


@then("at most {most:d} entry processes have read the platform, and each agent once")
def step_few_reads(context, most):
    async def check(platform, processes):
        entries = [host for host in platform.calls if host.startswith("e-")]
        assert len(entries) <= most, len(entries)
        agents = [n for host, n in platform.calls.items() if host.startswith("s-")]
        assert max(agents, default=0) <= 1, max(agents)

    context.actions.append(check)
    run_fleet(context)


@then("every process has it after {seconds:g} s")
def step_all_have(context, seconds):
    async def check(platform, processes):
        await asyncio.sleep(seconds)
        late = [p.host for p in processes if p.published_view.revision < platform.revision]
        assert not late, late

    run_fleet(context, check)


def hosts_without_runner(processes):
    return [
        process.host for process in processes if process.published_view.directory.get("r") is None
    ]


@then("no process has dropped the runner after {seconds:g} s")
def step_none_dropped(context, seconds):
    async def check(platform, processes):
        for _ in range(round(seconds / 0.1)):
            await asyncio.sleep(0.1)
            assert not hosts_without_runner(processes), hosts_without_runner(processes)

    context.actions.append(check)
    run_fleet(context)


@then("every process has dropped it after {seconds:g} s")
def step_all_dropped(context, seconds):
    async def check(platform, processes):
        await asyncio.sleep(seconds)
        assert len(hosts_without_runner(processes)) == len(processes)

    run_fleet(context, check)


def routes_json(count, seed):
    rng = random.Random(seed)
    routes = [
        {
            "host": f"h{rng.randrange(10**6)}.example",
            "prefix": f"/{rng.randrange(10**6)}/x/",
            "kind": rng.choice(["stream", "idempotent"]),
            "timeoutMs": 6000,
            "objective_ms": rng.choice([150, 400, 500]),
            "pause_ms": 400,
            "attempts": 2,
            "priority": rng.randrange(3),
            "resumable": True,
            "anonymous": False,
            "sticky": True,
            "name": f"route-{rng.randrange(10**9)}",
            "targets": [{"service": f"service-{rng.randrange(5)}", "weight": 1}],
        }
        for _ in range(count)
    ]
    return json.dumps(routes).encode()


@given("a published item with the text of {count:d} routes")
def step_large_item(context, count):
    context.item = StateItem(name="routes", revision=7, body=routes_json(count, 3))


@given("each host has a link of {rate:g} Mbit/s")
def step_rate(context, rate):
    context.bytes_per_s = rate * 1e6 / 8


@when("the platform publishes {times:d} catalogs of {count:d} routes, {pause:g} s apart")
def step_large_catalogs(context, times, count, pause):
    async def action(platform, processes):
        for number in range(times):
            await asyncio.sleep(pause if number else 0.0)
            platform.publish("routes", routes_json(count, number))

    context.actions.append(action)


@when("it is compressed for peers")
def step_pack(context):
    context.packed = ItemPacker().pack(context.item)


@then("it takes at most {share:g} of its size, and a peer decompresses the same")
def step_packed_size(context, share):
    assert len(context.packed.body) <= share * len(context.item.body), len(context.packed.body)
    assert unpack(context.packed) == context.item


@then("a compressed item that expands beyond 4 MiB, or is truncated, is refused")
def step_refused(context):
    oversized = zlib.compress(b"0" * (MAX_BODY_BYTES + 1))
    for body in (oversized, context.packed.body[:-9], b"no such format"):
        try:
            unpack(evolve(context.packed, body=body))
        except ValueError:
            continue
        raise AssertionError(f"{len(body)} bytes were taken")
