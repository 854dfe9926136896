"""Steps about the placement of requests while runners have named a pause, without a network."""

import asyncio
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from fleet_view_factory import make_fleet_view
from overload_model import DEADLINE_S
from pause_rules_model import RUNNER
from wasabilb_core.runner_stats import LoadReport
from wasabilb_entry.placer import PlacementNeeds, Placer
from wasabilb_node import clock
from wasabilb_wire.messages import RunnerReport


@given("a runner that named {seconds:g} s")
def step_named_pause(context, seconds):
    context.seconds = seconds


@when("{event} comes after {age:g} s")
def event_comes(context, event, age):
    fleet = make_fleet_view([RUNNER])
    # Backdates the pause.
    fleet.stats.pauses.on_pause(RUNNER, context.seconds, clock.now() - age, spread=0.0)
    runner = RUNNER
    reports = {
        "running requests": {"running": 3},
        "no running request": {},
        "an order": {"running": 3, "is_busy": True},
    }
    report = reports.get(event.removeprefix("its agent's report of "))
    if event == "a later incarnation":
        runner = evolve(RUNNER, born_ms=2)
        fleet.directory.on_listed(runner)
    elif report is not None:
        runner_report = RunnerReport(runner="r", born_ms=1, version=1, layer_to=1, **report)

        async def deliver_report():
            # An order sets a timer on the event loop.
            fleet.on_report(runner_report)

        asyncio.run(deliver_report())
    context.may_send = fleet.stats.pauses.may_send(runner, clock.now())


@then("the runner {may} be tried")
def may_be_tried(context, may):
    assert context.may_send == (may == "may"), context.may_send


CALLER = SimpleNamespace(is_caller_gone=False, set_gone_callback=lambda callback: None)


def new_needs():
    """Return the needs of a short request that arrives now."""
    moment = clock.now()
    return PlacementNeeds(
        service="s",
        prompt_tokens=100,
        answer_tokens=50,
        objective_at=moment + 0.4,
        deadline=moment + DEADLINE_S,
        is_resubmitted=False,
        is_first=True,
        tried=frozenset(),
    )


@given("a full runner for which a request is held")
def full_runner(context):
    context.fleet = make_fleet_view([RUNNER])
    report = LoadReport(running=16, waiting=4, at=clock.now(), slots=16)
    context.fleet.stats.on_report(RUNNER, report)


@when("the runner names {seconds:g} s{room}")
def pause_while_held(context, seconds, room):
    async def play():
        waiting = asyncio.ensure_future(Placer(fleet=context.fleet).place(new_needs(), CALLER))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        context.named_at = clock.now()
        context.fleet.stats.pauses.on_pause(RUNNER, seconds, context.named_at, spread=0.0)
        if room:
            report = LoadReport(running=0, waiting=0, at=clock.now(), slots=16)
            context.fleet.stats.on_report(RUNNER, report)
        context.seconds = seconds
        context.placed = await waiting
        context.placed_at = clock.now()

    asyncio.run(play())


when("the runner names {seconds:g} s")(
    lambda context, seconds: pause_while_held(context, seconds, "")
)


@then("the held request is refused within {limit:g} s with a retry time after the runner's pause")
def refused_held(context, limit):
    took_s = context.placed_at - context.named_at
    assert took_s <= limit, took_s
    assert context.placed.is_earliest
    assert took_s + context.placed.retry_after_s >= context.seconds - 0.01, context.placed


@then("the held request is sent after the runner's pause")
def sent_held(context):
    assert context.placed.runner == RUNNER, context.placed
    assert context.placed_at - context.named_at >= context.seconds


@given("a runner whose time has ended and which got its first requests")
def returned_runner(context):
    context.fleet = make_fleet_view([RUNNER])
    pauses = context.fleet.stats.pauses
    pauses.on_pause(RUNNER, 1.0, clock.now() - 1.01, spread=0.0)
    while pauses.may_send(RUNNER, clock.now()):
        pauses.on_sent(RUNNER, clock.now())


@when("another request comes")
def another_comes(context):
    async def play():
        began = clock.now()
        context.placed = await Placer(fleet=context.fleet).place(new_needs(), CALLER)
        context.took_s = clock.now() - began

    asyncio.run(play())


@then("it is held and sent within {limit:g} s")
def held_and_sent(context, limit):
    assert context.placed.runner == RUNNER, context.placed
    assert 0 < context.took_s <= limit, context.took_s
