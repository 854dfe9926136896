"""Steps of the fault matrix: a fault at one step of a flow, over links in memory."""

import asyncio

from behave import then, when
from memory_fleet import DEADLINE_S, HOSTS, RUNNERS, MemoryFleet
from memory_links import Fault, Network, run_virtual, running
from wasabilb_standins.promises import violations

# Message that marks a step of a flow: class and count, and the delay after it.
STEP_MESSAGES = {
    "sent": ("Call", 1),
    "executed": ("Call", 1, 0.1),
    "repeated": ("Call", 2),
    "queued": ("StreamData", 1),
    "answered": ("Head", 1),
    "streaming": ("StreamData", 5),
    "one token short": ("StreamData", 24),
    "ending": ("End", 1),
    "refused": ("Fail", 1),
}
PROMPTS = ("a [len=12]", "b [len=12]")
ENGINE_FAULTS = {
    "loses its link after it got the call": "",
    "answers with another version": "mixed",
    "falls silent": "silent",
    "is slow, so that the request is hedged,": "slow",
}
BOOKING_BODY = b'{"slot": 7}'


def run_scenario(context, *, fault, work, **options):
    """Run work on a fleet in memory and store its record in the context."""

    async def main():
        network = Network(fault=fault)
        fleet = MemoryFleet(network=network, **options)
        async with running(*fleet.background_work()):
            await work(fleet)
            # Late actions of resumed processes are recorded too.
            await asyncio.sleep(20.0)
        context.record, context.network = fleet.record(), network

    run_virtual(main)


def make_fault(step, effect):
    """Return the fault of a matrix cell."""
    kind, nth, *after = STEP_MESSAGES[step]
    return Fault(kind=kind, nth=nth, effect=effect, after_s=sum(after))


@when("two model requests run and a message is {effect} as one is {step}")
def step_model(context, effect, step):
    async def work(fleet):
        await asyncio.gather(*(fleet.entries["e1"].complete(prompt) for prompt in PROMPTS))

    run_scenario(context, fault=make_fault(step, effect), work=work)
    assert context.network.is_fault_injected


@when("four model requests share two slots and a message is {effect} as two are queued")
def step_queued(context, effect):
    async def work(fleet):
        prompts = [f"{name} [len=12]" for name in "abcd"]
        await asyncio.gather(*(fleet.entries["e1"].complete(prompt) for prompt in prompts))

    run_scenario(context, fault=make_fault("queued", effect), work=work, slots=1)
    assert context.network.is_fault_injected


@when("a booking is repeated while it runs and the repeat's message is {effect}")
def step_repeat(context, effect):
    async def work(fleet):
        first = asyncio.ensure_future(fleet.entries["e1"].book(BOOKING_BODY))
        await asyncio.sleep(0.05)
        key = fleet.entries["e1"].records[0].key
        await asyncio.gather(first, fleet.entries["e2"].book(BOOKING_BODY, key=key))

    run_scenario(context, fault=make_fault("repeated", effect), work=work)
    assert context.network.is_fault_injected


@when("a booking's agent is killed after {seconds:g} s, starts again, and its caller repeats it")
def step_restart(context, seconds):
    async def work(fleet):
        first = asyncio.ensure_future(fleet.entries["e1"].book(BOOKING_BODY))
        await asyncio.sleep(seconds)
        host = next(h for h in HOSTS if f".{h}." in fleet.entries["e1"].records[0].key)
        fleet.restart(host)
        await first
        await fleet.entries["e2"].book(BOOKING_BODY, key=fleet.entries["e1"].records[0].key)

    run_scenario(context, fault=None, work=work)


@when("a booking's link falls silent after its start and its host drains")
def step_drained_after_loss(context):
    async def work(fleet):
        booking = asyncio.ensure_future(fleet.entries["e1"].book(BOOKING_BODY))
        await asyncio.sleep(1.0)
        for host in HOSTS:
            fleet.agents[host].is_draining = True
        await booking

    run_scenario(context, fault=make_fault("answered", "silent"), work=work)
    assert context.network.is_fault_injected


@when("the service {trouble} at a booking")
def step_service_trouble(context, trouble):
    async def work(fleet):
        for host in HOSTS:
            fleet.agents[host].service.next_fault = trouble.removeprefix("is ")
        first = await fleet.entries["e1"].book(BOOKING_BODY)
        await fleet.entries["e2"].book(BOOKING_BODY, key=first.key)

    run_scenario(context, fault=None, work=work)


@when("the engine {trouble} in an answer")
def step_engine_trouble(context, trouble):
    async def work(fleet):
        engine_faults = {"dies": "dies", "answers with another version": "mixed", "is slow": "slow"}
        for runner in RUNNERS[: 1 if trouble == "dies" else 2]:
            fleet.agents[runner].engine.next_fault = engine_faults[trouble]
        await asyncio.gather(*(fleet.entries["e1"].complete(prompt) for prompt in PROMPTS))

    run_scenario(context, fault=None, work=work)


@when("a booking runs, its caller repeats it, and a message is {effect} as it is {step}")
def step_booking(context, effect, step):
    async def work(fleet):
        first = await fleet.entries["e1"].book(BOOKING_BODY)
        if first.outcome == "unknown":
            await fleet.entries["e2"].book(BOOKING_BODY, key=first.key)

    run_scenario(context, fault=make_fault(step, effect), work=work)
    assert context.network.is_fault_injected


@when("the first runner {trouble} and the second one refuses the request")
def step_refused_second(context, trouble):
    async def work(fleet):
        if trouble == "loses its link after it got the call":
            fleet.network.fault = Fault(kind="Head", effect="silent")
        for runner in RUNNERS:
            fleet.agents[runner].engine.next_fault = ENGINE_FAULTS[trouble]
        request = asyncio.ensure_future(fleet.entries["e1"].complete(PROMPTS[0]))
        while not any(fleet.agents[runner].engine.runs for runner in RUNNERS):
            await asyncio.sleep(0.0005)
        for runner in RUNNERS:
            if not fleet.agents[runner].engine.runs:
                fleet.agents[runner].is_draining = True
        await request

    run_scenario(context, fault=None, work=work, hedging="hedged" in trouble)


@then("no promise is broken in memory")
def step_kept(context):
    found = violations(context.record)
    assert found == [], (found, context.record.calls)


@then("the answers are whole")
def step_answers(context):
    assert all(rec.verdict == "whole" for rec in context.record.calls), context.record.calls


@then("the answers are whole or refused")
def step_whole_or_refused(context):
    assert all(rec.verdict in ("whole", "refused") for rec in context.record.calls)


@then("each caller has an answer by its deadline")
def step_by_deadline(context):
    for rec in context.record.calls:
        assert rec.end and rec.end - rec.start <= DEADLINE_S + 0.1, rec


@then("its callers get the outcomes {outcomes}")
def step_outcomes(context, outcomes):
    outcomes_seen = [rec.outcome for rec in context.record.calls]
    assert outcomes_seen == outcomes.split(", "), context.record.calls
