"""Steps about whole requests that crash runners, with many entry processes in memory."""

import asyncio

from behave import given, then, when
from crash_fleet_steps import SOUND_CRASHES, WARM_UP_S, run
from crash_model import BAD_REQUEST, STATUS_REQUEST, SYSTEM_PART
from wasabilb_core.errors import ErrorKind
from wasabilb_node.clock import now

# Part of the crashing request's prompt that few sound requests have.
RARE_PART = 9001
STATUS_SHARE = 0.1
THIRD = 3
BLOCKED = (ErrorKind.REQUEST_BLOCKED, ErrorKind.PROMPT_BLOCKED)


@given("{processes:d} entry processes before {runners:d} runners of a {service} service")
def given_fleet(context, processes, runners, service):
    context.options = {
        "processes": processes,
        "domains": 3 if processes <= 16 else 6,
        "runners": runners,
        "sound": 6.0 * runners,
    }
    context.is_plain = service == "plain"
    context.fleets = []


def use_bad_request(fleet, parts):
    fleet.bad_parts = {BAD_REQUEST}
    fleet.make_bad = lambda: (*parts, BAD_REQUEST)


def play_bad_request(context, script, *, seed=1, rate=4.0):
    parts = () if context.is_plain else (SYSTEM_PART, 100)

    async def prepared(fleet):
        fleet.is_plain, fleet.bad = context.is_plain, rate
        if context.is_plain:
            fleet.make_sound = tuple
        use_bad_request(fleet, parts)
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await script(fleet)
        await asyncio.sleep(2)

    return run(context, prepared, seed)


@when(
    "one request that crashes runners comes {rate:d} times a second for {seconds:d} s, "
    "with seeds 1 to {seeds:d}"
)
def bad_request(context, rate, seconds, seeds):
    for seed in range(1, seeds + 1):
        play_bad_request(context, lambda fleet: fleet.send_for(seconds), seed=seed, rate=rate)


@then("at most 3 such requests are sent from 3 s after the third crash on")
def check_sends(context):
    found = [fleet.sends_after(THIRD) for fleet in context.fleets]
    assert max(found) <= 3, found


@then("nothing else is blocked at any process at any time")
def check_only_bad(context):
    for fleet in context.fleets:
        assert fleet.blocked_ever() <= {f"{BAD_REQUEST:x}"}, (fleet.seed, fleet.blocked_ever())
        assert not fleet.refused(*BLOCKED), fleet.seed


@then("nothing is blocked at any process at any time")
def check_none(context):
    found = [(fleet.seed, fleet.blocked_ever()) for fleet in context.fleets]
    assert not any(blocked for _, blocked in found), found


@then("the last of such requests are refused as not run and not to be repeated")
def check_kinds(context):
    for fleet in context.fleets:
        kinds = [r.error for r in fleet.requests if r.is_bad][-5:]
        assert kinds == [ErrorKind.REQUEST_BLOCKED] * 5, (fleet.seed, kinds)


@when("a request that crashes runners comes and sound ones with a part of its prompt, that {when}")
def rare_part(context, when):
    async def script(fleet):
        usual = fleet.usual_parts
        with_rare = lambda: (  # noqa: E731
            (SYSTEM_PART, 100, RARE_PART) if fleet.rng.random() < 0.02 else usual()
        )
        use_bad_request(fleet, (SYSTEM_PART, 100, RARE_PART))
        fleet.make_sound = usual if "only" in when else with_rare
        await fleet.send_for(WARM_UP_S, has_bad=False)
        fleet.disturbed_at = now()
        await fleet.send_for(4)
        fleet.make_sound = with_rare
        await fleet.send_for(16)
        await asyncio.sleep(2)

    for seed in range(1, 11):
        run(context, script, seed, bad=1.0)


@then("at most {count:d} sound requests in 100 wait for the probe of a part")
def check_part_waits(context, count):
    check_waits(context, count, ErrorKind.PROMPT_PROBED)


@then("at most {count:d} sound requests in 100 wait for the probe of the same request")
def check_request_waits(context, count):
    check_waits(context, count, ErrorKind.REQUEST_PROBED)


def check_waits(context, count, kind):
    sound = sum(not req.is_bad for fleet in context.fleets for req in fleet.requests)
    waiting = sum(len(fleet.refused(kind)) for fleet in context.fleets)
    assert waiting <= count * sound / 100, (waiting, sound)


@when(
    "runners crash for other reasons while callers ask for the same again and again, "
    "in {runs:d} runs"
)
def same_beside_crashes(context, runs):
    async def script(fleet):
        usual = tuple if context.is_plain else fleet.usual_parts
        fleet.is_plain = context.is_plain
        fleet.make_sound = lambda: (
            (STATUS_REQUEST,) if fleet.rng.random() < STATUS_SHARE else usual()
        )
        if fleet.seed % 3:
            # Each third run begins cold.
            await fleet.send_for(3, has_bad=False)
        for _ in range(3):
            crashes = fleet.rng.choice(SOUND_CRASHES)
            task = asyncio.ensure_future(crashes(fleet))
            await fleet.send_for(4, has_bad=False)
            await task
        await asyncio.sleep(2)

    for seed in range(1, runs + 1):
        run(context, script, seed)


async def restart(fleet):
    fleet.kill(1)
    await asyncio.sleep(1)
    fleet.restart(1)


async def new_weights(fleet):
    for process in fleet.processes:
        process.guard.lift(before=now(), reason="new weights")


async def operator(fleet):
    fleet.processes[0].guard.lift(part=BAD_REQUEST, reason="operator")


async def silence(fleet):
    await asyncio.sleep(700)
    # Other requests go on meanwhile in a real fleet.
    await fleet.send_for(1, has_bad=False)


EVENTS = {
    "an entry process is started again": restart,
    "new weights are there": new_weights,
    "the operator lifts the block": operator,
    "nothing comes for 700 s": silence,
}


@when("{event} while one request that crashes runners comes")
def event_between(context, event):
    async def script(fleet):
        await fleet.send_for(6)
        context.ended_before = len(fleet.ended)
        await EVENTS[event](fleet)
        await fleet.send_for(10)

    play_bad_request(context, script)
