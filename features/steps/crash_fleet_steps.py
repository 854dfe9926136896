"""Steps about parts of prompts that crash runners, with many entry processes in memory."""

import asyncio

from behave import given, then, when
from crash_model import (
    BAD_PART,
    OTHER_BAD_PART,
    SYSTEM_PART,
    CrashFleet,
    play,
)
from wasabilb_core.errors import ErrorKind
from wasabilb_node.clock import now

# Time of ordinary traffic before anything happens, seconds.
WARM_UP_S = 8.0
MAX_ENDED = 5
SENDS_AFTER = 3
MAX_BYTES_PER_S = 3000
TCP_IP_HEADER_BYTES = 66


def stagger_crashes(fleet, count, spread_s):
    """Crash some random runners within a time."""
    loop = asyncio.get_running_loop()
    for runner_id in fleet.rng.sample(sorted(fleet.up), min(count, len(fleet.up))):
        loop.call_later(fleet.rng.uniform(0, spread_s), fleet.crash, runner_id)


async def domain_crash(fleet):
    """Crash the runners of one failure domain at the same moment."""
    for runner_id in [r for r in fleet.up if fleet.runners_by_id[r].failure_domain == "d1"]:
        fleet.crash(runner_id)


async def all_crash(fleet):
    for runner_id in list(fleet.up):
        fleet.crash(runner_id)


async def one_by_one(fleet):
    for _ in range(6):
        fleet.crash(fleet.rng.choice(sorted(fleet.up)))
        await asyncio.sleep(fleet.rng.uniform(0.1, 1.0))


async def staggered(fleet):
    stagger_crashes(fleet, 5, 0.6)


SOUND_CRASHES = [domain_crash, all_crash, one_by_one, staggered]


@given("{processes:d} entry processes before {runners:d} runners")
def given_fleet(context, processes, runners):
    domains = 3 if processes <= 16 else 6
    context.options = {
        "processes": processes,
        "domains": domains,
        "runners": runners,
        "sound": 6.0 * runners,
    }


def run(context, script, seed=1, **changes):
    fleet = CrashFleet(**{**context.options, **changes}, seed=seed)
    context.fleets.append(play(fleet, script))
    return fleet


@when("requests with a part that crashes runners come for {seconds:d} s, with seeds 1 to {seeds:d}")
def bad_part(context, seconds, seeds):
    context.fleets = []

    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await fleet.send_for(seconds)
        await asyncio.sleep(2)

    for seed in range(1, seeds + 1):
        run(context, script, seed)


@when("{case} while such requests come for {seconds:d} s, with seeds 1 to {seeds:d}")
def bad_part_beside(context, case, seconds, seeds):
    context.fleets = []

    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        PREPARATIONS[case](fleet)
        await fleet.send_for(seconds)
        await asyncio.sleep(2)

    for seed in range(1, seeds + 1):
        run(context, script, seed)


def two_parts(fleet):
    fleet.bad_parts = {BAD_PART, OTHER_BAD_PART}
    fleet.make_bad = lambda: (
        *fleet.usual_parts()[:2],
        fleet.rng.choice([BAD_PART, OTHER_BAD_PART]),
    )


def mass_crash(fleet):
    stagger_crashes(fleet, 4, 1.0)


def first_of_route(fleet):
    fleet.make_bad = lambda: (BAD_PART, 100 + fleet.rng.randrange(60))


def invented_parts(fleet):
    """Each such request has many parts that no other one has."""
    fleet.make_bad = lambda: (
        *(fleet.rng.getrandbits(60) for _ in range(300)),
        BAD_PART,
    )


def repeated_parts(fleet):
    """Such requests repeat parts of a caller whose prompts are new."""
    fleet.victims = (7001, 7002)
    fleet.make_bad = lambda: (*fleet.victims, BAD_PART)
    usual = fleet.usual_parts

    def with_victims():
        is_victim = fleet.rng.random() < 0.2
        return (SYSTEM_PART, fleet.rng.choice(fleet.victims)) if is_victim else usual()

    fleet.make_sound = with_victims


def cut_domains(fleet):
    for one in fleet.places:
        for two in fleet.places:
            if one.failure_domain != two.failure_domain:
                fleet.network.block(one.address, two.address)


PREPARATIONS = {
    "a second such part comes": two_parts,
    "runners crash for another reason": mass_crash,
    "the part is the first one of its route": first_of_route,
    "their callers invent parts": invented_parts,
    "their callers repeat the parts of others": repeated_parts,
    "the failure domains are cut off from each other": cut_domains,
}


@then("at most {most:d} runners crash under {what}")
def check_ended(context, most, what):
    found = [len(fleet.ended) for fleet in context.fleets]
    assert max(found) <= most, found


@then("at most 3 such requests are sent from 3 s after the fifth crash on")
def check_sends(context):
    found = [fleet.sends_after() for fleet in context.fleets]
    assert max(found) <= SENDS_AFTER, found


@then("sound requests of the fleet begin at the first attempt {share:g} as often as without them")
def check_share(context, share):
    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await fleet.send_for(20, has_bad=False)
        await asyncio.sleep(2)

    found = [fleet.begun_share(fleet.disturbed_at) for fleet in context.fleets]
    fleets, context.fleets = context.fleets, []
    undisturbed = run(context, script).begun_share()
    context.fleets = fleets
    assert min(found) >= share * undisturbed, (min(found), undisturbed)


@then("only parts that crash runners are blocked")
def check_only_bad(context):
    for fleet in context.fleets:
        assert fleet.blocked_at_end <= fleet.bad_parts, (fleet.seed, fleet.blocked_at_end)


@then("all processes refuse the part within {seconds:g} s of the first crash")
def check_delay(context, seconds):
    found = [max(fleet.blocked_delays()) for fleet in context.fleets]
    assert max(found) <= seconds, found


@then("each process sends at most 3 KB a second about it")
def check_bytes(context):
    for fleet in context.fleets:
        sent = fleet.bytes_sent + TCP_IP_HEADER_BYTES * fleet.messages_sent
        per_process = sent / fleet.played_s / len(fleet.processes)
        assert per_process <= MAX_BYTES_PER_S, per_process


@when("runners crash without such a part, in {runs:d} runs")
def only_crashes(context, runs):
    context.fleets = []

    async def script(fleet):
        if fleet.seed % 3:
            # Each third run begins cold: no part was answered under before.
            await fleet.send_for(3, has_bad=False)
        for _ in range(3):
            crashes = fleet.rng.choice(SOUND_CRASHES)
            task = asyncio.ensure_future(crashes(fleet))
            await fleet.send_for(4, has_bad=False)
            await task
        await asyncio.sleep(2)

    for seed in range(1, runs + 1):
        run(context, script, seed)


@then("no part is blocked at any process at any time")
def check_none_blocked(context):
    found = [
        (fleet.seed, fields["part"])
        for fleet in context.fleets
        for process in fleet.processes
        for _, name, fields in process.log.timed
        if name == "part_blocked"
    ]
    assert not found, found


@when("no such request comes for {seconds:d} s in between")
def quiet(context, seconds):
    context.fleets = []

    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        await fleet.send_for(10)
        context.ended_before = len(fleet.ended)
        await asyncio.sleep(seconds)
        await fleet.send_for(10)
        await asyncio.sleep(2)

    run(context, script)


@when("an entry process {starts} while such requests come")
def restart_process(context, starts):
    context.fleets = []

    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        await fleet.send_for(6)
        context.ended_before = len(fleet.ended)
        fleet.kill(1)
        await asyncio.sleep(1)
        fleet.restart(1)
        await fleet.send_for(10)
        await asyncio.sleep(2)

    run(context, script)


@when("{event} while such requests come, {times:d} times")
def lifted(context, event, times):
    context.fleets = []

    async def script(fleet):
        await fleet.send_for(WARM_UP_S, has_bad=False)
        await fleet.send_for(6)
        context.ended_before = len(fleet.ended)
        for _ in range(times):
            for process in fleet.processes if event.startswith("new") else fleet.processes[:1]:
                process.exchange.lift(part=None, before=now(), reason=event)
            if "no longer" in event:
                fleet.bad_parts = set()
            await fleet.send_for(6)
        await asyncio.sleep(2)

    run(context, script)


@then("{count:d} more runners crash")
def check_more(context, count):
    (fleet,) = context.fleets
    assert len(fleet.ended) - context.ended_before == count, (
        len(fleet.ended),
        context.ended_before,
    )


@then("such requests are answered again")
def check_answered(context):
    (fleet,) = context.fleets
    last = [req for req in fleet.requests if req.is_bad][-5:]
    assert all(req.is_answered for req in last), last
    assert not fleet.blocked_at_end


@then("their callers are told at once that they were not run and are not to repeat them")
def check_errors(context):
    (fleet,) = context.fleets[:1]
    refused = [r for r in fleet.requests if r.is_bad and not r.sent_at]
    kinds = {req.error for req in refused[-20:]}
    assert kinds == {ErrorKind.PROMPT_BLOCKED}, kinds
