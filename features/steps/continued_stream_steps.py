"""Steps about streams that go on at another runner."""

import asyncio

from attrs import evolve
from behave import then, when
from direct_forwarding_steps import fetch, run_in_harness
from forwarding_harness import LIMITS, PATHS, raw_request
from wasabilb_core.crashing_parts import PartDecision
from wasabilb_core.registry import Registry
from wasabilb_core.runner_stats import LoadReport
from wasabilb_node.clock import now
from wasabilb_wire.messages import RunnerReport

# Troubles by their words in the steps; each returns a function that ends it.
TROUBLES = Registry(kind="trouble")


@TROUBLES.register("nothing else happens")
def no_trouble(harness):
    return lambda: None


@TROUBLES.register("no runner is listed")
def no_runner(harness):
    directory = harness.fleet.directory
    directory.routable = lambda service: []
    return lambda: delattr(directory, "routable")


@TROUBLES.register("the runners accept no connections")
def no_connections(harness):
    runners = list(harness.fleet.directory)
    for runner in runners:
        harness.fleet.pool.drop(runner.address)
        harness.fleet.directory._runners[runner.id] = evolve(runner, address="127.0.0.1:1")

    def end():
        for runner in runners:
            harness.fleet.directory._runners[runner.id] = runner

    return end


@TROUBLES.register("the runners have asked for a pause")
def asked_pause(harness):
    for runner in harness.fleet.directory:
        harness.fleet.stats.pauses.on_pause(runner, 0.7, now(), spread=0.0)
    return lambda: None


@TROUBLES.register("the runners load a version")
def runners_load(harness):
    def report(is_busy):
        for runner in harness.fleet.directory:
            load = LoadReport(running=0, waiting=0, at=now(), slots=4, is_busy=is_busy)
            harness.fleet.stats.on_report(runner, load)

    report(True)
    return lambda: report(False)


@TROUBLES.register("the retry budget is used up")
def no_budget(harness):
    harness.fleet.on_limits(evolve(LIMITS, retry_ratio=0.0, retry_slack=0.0))
    return lambda: harness.fleet.on_limits(LIMITS)


def decide_parts(harness, decision):
    parts = harness.guard.parts
    parts.decide, parts.begin = lambda *_: decision, lambda *_: None

    def end():
        del parts.decide, parts.begin

    return end


@TROUBLES.register("a part of its prompt is being probed")
def part_probed(harness):
    return decide_parts(harness, PartDecision.WAIT)


@TROUBLES.register("a part of its prompt is blocked")
def part_blocked(harness):
    return decide_parts(harness, PartDecision.BLOCK)


@when(
    "a caller sends a request on the stream route and for {seconds:g} s after its second event"
    " {trouble}"
)
def step_trouble(context, seconds, trouble):
    async def ask(harness):
        data = raw_request(PATHS["stream"], extra="Parts: a1,b2\r\n")
        asking = asyncio.ensure_future(fetch(harness, data))
        while not harness.run_count:
            await asyncio.sleep(0.001)
        end = TROUBLES.create(trouble, harness=harness).unwrap()
        await asyncio.wait({asking}, timeout=seconds)
        end()
        return await asking

    run_in_harness(context, ask)


@then("the answer came after {least:g} to {most:g} s")
def step_came_after(context, least, most):
    assert least <= context.result[-1] <= most, context.result[-1]


@then("the runners received at most {most:d} requests")
def step_at_most(context, most):
    assert len(context.harness.request_heads) <= most, len(context.harness.request_heads)


@then("the log names {reason} as the reason of its end")
def step_reason(context, reason):
    (done,) = (fields for name, fields in context.harness.log.lines if name == "request_done")
    assert done["reason"] == reason, done


@when("a caller leaves a stream {seconds:g} s after its second event")
def step_leave(context, seconds):
    async def leave(harness):
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        await reader.readuntil(b"id: 2")
        await asyncio.sleep(seconds)
        writer.close()
        await asyncio.sleep(0.1)
        before = len(harness.request_heads)
        await asyncio.sleep(2.0)
        return before, len(harness.request_heads)

    run_in_harness(context, leave)


@then("the runners receive nothing more from 0.1 s after that")
def step_nothing_more(context):
    before, after = context.result
    assert before == after > 1, context.result


@then("the runners received at least {least:d} requests")
def step_at_least(context, least):
    assert len(context.harness.request_heads) >= least, len(context.harness.request_heads)


@when("a caller leaves while its stream is handed over")
def step_leave_handover(context):
    async def leave(harness):
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        await reader.readuntil(b"id: 1")
        (first,) = (n for n, scripted in enumerate(harness.runners) if scripted.requests)
        while len(harness.request_heads) < 2:
            harness.fleet.on_report(RunnerReport(runner=f"r-{first}", born_ms=1, is_busy=True))
            await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.2)
        return [scripted.open_connections for scripted in harness.runners]

    run_in_harness(context, leave)


@then("no connection to a runner with its request is open 0.2 s later")
def step_none_open(context):
    assert context.result == [0, 0], context.result
