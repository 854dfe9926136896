"""Steps about limits that many entry processes keep together, in memory on a virtual clock."""

import asyncio
import random

from attrs import evolve
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from limit_model import WEIGHTS, LimitFleet, play
from named_limit_steps import TOLD_S, allowed_requests, most_in_window
from wasabilb_core.lent_limits import MOST_PERMITS, MOST_S, LentLimits, PermitTransfer
from wasabilb_core.state_position import StatePosition
from wasabilb_node.clock import now

# Time after a limit was first named from which it is judged, as the users' pages have it.
STABLE_S = 3.0
# Time after which the server has its part of the limit, seconds.
SETTLED_S = 5.0
TCP_IP_HEADER_BYTES = 66
MAX_BYTES_PER_S = 3000


@when("random requests and exchanges of permits meet lost, late and reordered messages")
def random_messages(context):
    context.granted = []

    @property_given(st.integers(0, 2**32), st.sampled_from([0.0, 0.1, 1.0, 7.0, 100.0]))
    def check(seed, per_s):
        rng = random.Random(seed)
        hosts = [f"h{n}" for n in range(rng.randint(1, 6))]
        limits = {host: LentLimits(host=host) for host in hosts}
        for lent in limits.values():
            # Each host may know other hosts as reachable, and so have another collector.
            lent.set_hosts(hosts, rng.sample(hosts, rng.randint(1, len(hosts))))
            lent.set_limit("s", per_s, 0.0)
        messages, granted, moment = [], 0, 0.0
        for _ in range(150):
            moment += rng.choice([0.0, 0.05, 0.2, 3.0])
            host = rng.choice(hosts)
            lent = limits[host]
            for _ in range(rng.choice([0, 1, 5])):
                lent.on_demand("s", moment)
                granted += lent.take("s", moment)
            if rng.random() < 0.05:
                lent.on_host_lost(rng.choice(hosts))
            messages += [(host, to, transfer) for to, transfer in lent.exchange(moment)]
            rng.shuffle(messages)
            for source, to, transfer in messages[: rng.randint(0, 6)]:
                if rng.random() > 0.2:
                    limits[to].on_transfer(source, transfer, moment)
            del messages[:6]
        context.granted.append((granted, per_s * moment))

    check()


@when("another process passes {permits:g} permits with a demand of {demand:g}")
def pass_numbers(context, permits, demand):
    context.lent = LentLimits(host="h0")
    context.lent.set_hosts(["h0", "h1"], ["h0", "h1"])
    context.lent.set_limit("s", 0.0, 0.0)
    for hosts in (0, 1):
        transfer = PermitTransfer(name="s", permits=permits, wanted=1, hosts=hosts, demand=demand)
        context.lent.on_transfer("h1", transfer, 0.1)


@then("this process has no permit and goes on")
def check_no_permit(context):
    context.lent.on_demand("s", 0.2)
    assert all(transfer.permits <= 0 for _, transfer in context.lent.exchange(0.2))
    assert not context.lent.take("s", 0.2)


@then("what is granted stays within what the limit allows since its start")
def check_granted(context):
    assert all(granted <= allowed + 1e-6 for granted, allowed in context.granted), context.granted


@then("hosts go on to get permits")
def check_some_granted(context):
    assert sum(granted for granted, allowed in context.granted if allowed > 50) > 0


@given(
    "{processes:d} entry processes in {domains:d} failure domains and servers that name {limits}"
)
def given_fleet(context, processes, domains, limits):
    context.options = {
        "processes": processes,
        "domains": domains,
        "limits": [limit.strip() for limit in limits.split(",")],
    }


def run(context, script, *, demand, where="all"):
    weights = WEIGHTS["even" if where == "all" else where]
    fleet = LimitFleet(**context.options, demand=demand, weights=weights)
    context.fleet = play(fleet, script)
    context.ended_at = fleet.started_at + fleet.played_s


@when("{demand:d} requests a second come to {where} for {seconds:d} s")
def send_to_fleet(context, demand, where, seconds):
    run(context, lambda fleet: fleet.send_for(seconds), demand=demand, where=where)


@then("each server gets at most what its limit allows, and at least {used:g} of its limit")
def check_kept_and_used(context, used):
    fleet = context.fleet
    start = fleet.started_at
    for name, limit in fleet.limits.items():
        per_s = float(limit)
        counted = [at for at in fleet.counted(name, told_s=TOLD_S) if at >= start + STABLE_S]
        most = most_in_window(counted)
        assert most <= allowed_requests(per_s), (name, most, allowed_requests(per_s))
        rate = fleet.rate(name, start + SETTLED_S, context.ended_at)
        assert rate >= used * per_s, (name, rate, per_s)
        # Over a longer time a server gets what it named, and what may be saved up once.
        seconds = context.ended_at - start - SETTLED_S
        assert rate * seconds <= per_s * seconds + MOST_PERMITS + MOST_S * per_s + 1, (
            name,
            rate,
            per_s,
        )


@then("nobody waits: the other requests are refused at once")
def check_refused(context):
    # A request that is not sent at once is counted as refused by the model.
    fleet = context.fleet
    assert fleet.refused > 0
    assert len(fleet.arrivals) + fleet.refused >= fleet.requests - 1


@when(
    "the links between {parts} are cut for {seconds:d} s while {demand:d} requests a second come "
    "to all"
)
def cut_links(context, parts, seconds, demand):
    count, domains = context.options["processes"], context.options["domains"]
    groups = count if parts == "all processes" else domains
    sets = [[n for n in range(count) if n % groups == group] for group in range(groups)]

    async def script(fleet):
        await fleet.send_for(5)
        fleet.cut(sets)
        await fleet.send_for(seconds)

    run(context, script, demand=demand)


async def add_two(fleet):
    await fleet.send_for(10)
    fleet.add_process()
    await fleet.send_for(3)
    fleet.add_process()
    await fleet.send_for(30)


async def end_two(fleet):
    await fleet.send_for(10)
    fleet.kill(1)
    fleet.kill(4)
    await fleet.send_for(30)


async def restart_in_turn(fleet):
    for number in range(len(fleet.processes)):
        await fleet.send_for(5)
        fleet.kill(number)
        await fleet.send_for(1)
        fleet.restart(number)
    await fleet.send_for(5)


async def end_collector(fleet):
    await fleet.send_for(10)
    lent: LentLimits = fleet.processes[0].limits.lent
    collector = lent.collector("s0@1")
    fleet.kill(int(collector.removeprefix("e")))
    await fleet.send_for(30)


CHANGES = {
    "two processes are added": add_two,
    "two processes end for good": end_two,
    "processes end and restart in turn": restart_in_turn,
    "the collector ends for good": end_collector,
}


@when("{what} while {demand:d} requests a second come to all")
def change_processes(context, what, demand):
    run(context, CHANGES[what], demand=demand)


async def restart_server(fleet):
    (runner,) = fleet.runners
    later = evolve(runner, born_ms=runner.born_ms + 1)
    fleet.runners[:] = [later]
    fleet.limits[runner.id] = None
    for process in fleet.processes:
        process.limits.forget(runner.id, now())
        process.directory.on_listed(later)


async def relist_server(fleet):
    (runner,) = fleet.runners
    fleet.runners.clear()
    for process in fleet.processes:
        process.directory.on_removed(runner.id, now(), StatePosition(revision=1))
        process.limits.forget(runner.id, now())
    await asyncio.sleep(2)
    fleet.runners.append(runner)
    for process in fleet.processes:
        process.directory.on_listed(runner, StatePosition(revision=2))


def names(limit):
    async def change(fleet):
        fleet.limits["s0"] = limit

    return change


ENDS = {
    "its answers name none any more": names(None),
    "its answers name 4": names("4"),
    "its answers name something unreadable": names("soon"),
    "it restarts and names none": restart_server,
    "its entry leaves the list and comes back": relist_server,
}


@when("{demand:d} requests a second come to all, and after {at:d} s {what}")
def change_server(context, demand, at, what):
    async def script(fleet):
        await fleet.send_for(at)
        await ENDS[what](fleet)
        context.changed_at = now()
        await fleet.send_for(20)

    run(context, script, demand=demand)


@then("the server gets {rate} from 3 s later on")
def check_after_end(context, rate):
    fleet = context.fleet
    found = fleet.rate("s0", context.changed_at + 3, context.ended_at)
    expected = {
        "the whole demand": (0.9 * fleet.demand, 1.2 * fleet.demand),
        "4 requests a second": (0.9 * 4, 1.1 * 4),
        "what it named first": (0.9 * 0.5, 1.2 * 0.5),
    }[rate]
    assert expected[0] <= found <= expected[1], (found, expected)


@then("each server gets {least:d} to {most:d} requests after the first 3 s")
def check_count(context, least, most):
    fleet = context.fleet
    for name in fleet.limits:
        count = sum(at >= fleet.started_at + STABLE_S for at in fleet.counted(name, told_s=TOLD_S))
        assert least <= count <= most, (name, count)


@then("each process sends at most 3 KB a second about limits")
def check_bytes(context):
    fleet = context.fleet
    sent = fleet.bytes_sent + TCP_IP_HEADER_BYTES * fleet.messages_sent
    per_process = sent / fleet.played_s / len(fleet.processes)
    assert per_process <= MAX_BYTES_PER_S, per_process
