"""Steps about catalogs that change while requests are answered."""

import asyncio

from attrs import evolve
from behave import given, then, when
from continued_stream_steps import decide_parts
from direct_forwarding_steps import read_answer, run_in_harness
from forwarding_harness import PATHS, raw_request
from overload_model import ENGINE
from wasabilb_core.catalog import ClientAccount, RouteTarget, Service
from wasabilb_core.crashing_parts import PartDecision
from wasabilb_core.runner_stats import LoadReport
from wasabilb_node.clock import now

SLOTS = 4
SHORT_ENGINE = evolve(ENGINE, slots=SLOTS, usual_answer_tokens=5.0)
CHANGED_TIMEOUT_S = 0.3
# Behaviours of the runners by the words for the state of a request there.
BEHAVIOURS = {
    "are full for 0.7 s": ["answer"],
    "are full for 9 s": ["answer"],
    "accept a connection after 0.4 s": ["answer"],
    "answer late": ["answer late"],
    "answer slowly": ["answer slowly"],
    "break off, then refuse": ["reset after two events", "refuse as full", "answer"],
    "find a part of prompts probed": ["reset after two events", "answer"],
    "wait without an answer": ["wait without an answer"],
}


def change_routes(catalog, **changes):
    return evolve(catalog, routes=tuple(evolve(route, **changes) for route in catalog.routes))


CHANGES = {
    "its route goes": lambda catalog: evolve(catalog, routes=()),
    "its key goes": lambda catalog: evolve(
        catalog, accounts=(ClientAccount(name="other", key_digests=frozenset({b"other"})),)
    ),
    "its service goes": lambda catalog: evolve(
        change_routes(catalog, targets=(RouteTarget(service="t"),)),
        services={"t": Service(name="t")},
    ),
    "its split changes": lambda catalog: change_routes(
        catalog, targets=(RouteTarget(service="s", weight=1), RouteTarget(service="t", weight=99))
    ),
    "its timeout shrinks": lambda catalog: change_routes(catalog, timeout_s=CHANGED_TIMEOUT_S),
}


@given("a model service whose runners {state}")
def step_model_service(context, state):
    context.state, context.behaviours = state, list(BEHAVIOURS[state])


async def keep_full(harness, seconds):
    """Report full runners for a time and idle ones afterwards."""
    until = now() + seconds
    while True:
        is_full = now() < until
        for runner in harness.fleet.directory:
            load = LoadReport(
                running=SLOTS * is_full, waiting=SLOTS * is_full, at=now(), slots=SLOTS
            )
            harness.fleet.stats.on_report(runner, load)
        await asyncio.sleep(0.1)


def delay_connections(harness, seconds):
    acquire = harness.fleet.pool.acquire

    async def acquire_late(*args, **options):
        await asyncio.sleep(seconds)
        return await acquire(*args, **options)

    harness.fleet.pool.acquire = acquire_late


async def probe_part(harness):
    """Let another request probe the parts from the first answer on, for 0.7 s."""
    while not harness.run_count:
        await asyncio.sleep(0.001)
    end = decide_parts(harness, PartDecision.WAIT)
    await asyncio.sleep(0.7)
    end()


@when("a caller sends a stream request and {change} 0.2 s later")
def step_change(context, change):
    async def ask(harness):
        published, directory = harness.fleet.published, harness.fleet.directory
        published.catalog = evolve(
            published.catalog, services={"s": Service(name="s", engine=SHORT_ENGINE)}
        )
        for runner in list(directory):
            directory.on_weights(runner.id, runner.born_ms, 1, 0, SHORT_ENGINE.layers)
        background = []
        if context.state.startswith("are full"):
            background.append(keep_full(harness, float(context.state.split()[3])))
        if context.state.startswith("accept a connection"):
            delay_connections(harness, 0.4)
        if context.state.startswith("find a part"):
            background.append(probe_part(harness))
        tasks = [asyncio.ensure_future(coroutine) for coroutine in background]
        reader, writer = await harness.connect()
        started_at = now()
        writer.write(raw_request(PATHS["stream"], extra="Parts: a1,b2\r\n"))
        asking = asyncio.ensure_future(read_answer(reader))
        await asyncio.sleep(0.2)
        published.catalog = evolve(CHANGES[change](published.catalog), version=2)
        answer = await asyncio.wait_for(asking, 5)
        took_s = now() - started_at
        try:
            context.rest = await asyncio.wait_for(reader.read(1), 0.2)
        except TimeoutError:
            context.rest = b""
        writer.close()
        for task in tasks:
            task.cancel()
        return (*answer, took_s)

    run_in_harness(context, ask)


@then("the caller gets status {status:d} within {seconds:g} s")
def step_status_within(context, status, seconds):
    assert context.result[0] == status and context.result[3], context.result
    assert context.result[-1] <= seconds, context.result


@then("nothing follows the answer, and the request is logged as done once")
def step_once(context):
    assert context.rest == b"", context.rest
    names = [name for name, _ in context.harness.log.lines]
    assert names.count("request_done") == 1 and "internal_error" not in names, names
