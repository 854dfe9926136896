"""Steps about sound runners that fall silent."""

import asyncio
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from direct_forwarding_steps import fetch, run_in_virtual_harness
from fleet_view_factory import make_fleet_view
from forwarding_harness import LIMITS, PATHS, raw_request, route
from wasabilb_agent._runner_reports import RunnerReports
from wasabilb_core.catalog import RequestKind
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_pauses import RunnerPauses
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.http_client import fetch as fetch_whole
from wasabilb_wire.codec import decode
from wire_steps import frame_of


@given("a stream route that {may_be} resumed, and {count:d} runners of which {other}")
def step_route(context, may_be, count, other):
    context.is_resumable, context.runner_count, context.other = may_be == "may be", count, other
    second = "refuse as full" if other == "the other is full" else "answer"
    context.behaviours = ["answer after a silence", second]


def prepare(context, harness):
    """Change the routes, the runners and the budget of a harness."""
    published = harness.fleet.published
    routes = tuple(
        evolve(r, is_resumable=context.is_resumable, timeout_s=3.0)
        for r in published.catalog.routes
    )
    published.catalog = evolve(published.catalog, routes=routes)
    if context.runner_count == 1:
        harness.fleet.directory.on_removed("r-1", now())
    if context.other == "the budget allows no repeat":
        harness.fleet.on_limits(evolve(LIMITS, retry_slack=0.0))


@when("a stream is sent whose runner is silent for 1.6 s after two events")
def step_stream(context):
    async def send(harness):
        prepare(context, harness)
        return await fetch(harness, raw_request(PATHS["stream"]))

    run_in_virtual_harness(context, send)


@given("runners of which one is silent for 1.35 s and the other one never begins")
def step_late_other(context):
    context.behaviours = ["answer after a short silence", "wait without an answer"]


@when("a caller measures the pauses of its stream")
def step_measure(context):
    async def measure(harness):
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        await reader.readuntil(b"id: 2\n")
        started = now()
        await reader.readuntil(b"id: 3\n")
        pause_s = now() - started
        await reader.readuntil(b"\r\n0\r\n\r\n")
        writer.close()
        return pause_s

    run_in_virtual_harness(context, measure)


@then("its longest pause is below {seconds:g} s")
def step_pause(context, seconds):
    assert context.result < seconds, context.result


@when("a plain request is sent whose runner is silent for 1.6 s")
def step_plain(context):
    context.behaviours = ["answer late", "answer late"]

    async def send(harness):
        prepare(context, harness)
        return await fetch(harness, raw_request(PATHS["idempotent"]))

    run_in_virtual_harness(context, send)


@when("a stream route has a latency objective of {objective:g} s and a gap objective of {gap:g} s")
def step_objectives(context, objective, gap):
    context.route = evolve(
        route("stream", RequestKind.STREAM, gap_objective_s=gap), objective_s=objective
    )


@then("another runner is asked after a silence of {silence:g} s within the stream")
def step_silence(context, silence):
    gap_s = make_fleet_view([]).silence_limits_s("s", context.route)[1]
    assert abs(gap_s - silence) < 1e-6, gap_s


@when("{count:d} streams at one runner are found silent at the same time")
def step_many_silent(context, count):
    context.runner = Runner(
        id="r", born_ms=1, service="s", address="127.0.0.1:1", failure_domain="a", slots=16
    )
    context.pauses = RunnerPauses()
    for _ in range(count):
        context.pauses.on_silent(context.runner, 100.0)


@then("the runner gets requests again after {pause:g} s")
def step_again(context, pause):
    assert not context.pauses.may_send(context.runner, 100.0)
    assert context.pauses.may_send(context.runner, 100.0 + pause)


@given("an agent whose runner {does} when it is asked for its state")
def step_asked(context, does):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if does == "sends nothing":
            await reader.read()
        writer.close()

    async def ask():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        result = await fetch_whole(ConnectionPool(max_idle=1), address, "/v1/report", timeout_s=0.1)
        server.close()
        await asyncio.sleep(0.02)
        return result.failure()

    context.error = asyncio.run(ask())


@when("the agent reports to an entry process")
def step_report(context):
    sent = []
    links = SimpleNamespace(
        peers=lambda role="": [], multicast=lambda report, peers: sent.append(report)
    )
    runner = Runner(id="r", born_ms=1, service="s", address="x:1", failure_domain="a", slots=16)
    RunnerReports(links=links).send(
        runner, None, is_easing=False, is_silent=context.error.is_silence
    )
    ended = []
    guard = PromptGuard(
        parts=CrashingParts(),
        exchange=None,
        detector=SimpleNamespace(on_runner_ended=ended.append),
        log=None,
    )
    context.report = decode(frame_of(sent[0])).unwrap()
    guard.on_report(runner, context.report)
    context.ended = ended
    context.fleet = make_fleet_view([runner])
    context.fleet.on_report(context.report)


@then("the runner gets no requests, and it counts as {what}")
def step_counts_as(context, what):
    assert not context.fleet.stats.is_usable(context.fleet.directory.get("r"), now())
    assert bool(context.ended) is (what == "ended"), context.ended
