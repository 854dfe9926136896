"""Steps about failures of processes and links, on real processes."""

import asyncio
import signal
import time

from behave import given, then, when
from stage import Stage, check_whole

STAGES = {}


@given("the fleet of real processes in order")
def step_fleet(context):
    if "fleet" not in STAGES:
        STAGES["fleet"] = Stage()
        context.add_cleanup(lambda: STAGES.pop("fleet").close(), layer="feature")
    context.stage = STAGES["fleet"]
    context.stage.run(context.stage.begin())


@then("no promise is broken")
def step_promises(context):
    found = context.stage.violations()
    assert not found, found


@when("{count:d} long streams run and the busiest agent is killed")
def step_kill_agent(context, count):
    async def scene():
        stage = context.stage
        stage.send("long", count)
        context.host = await stage.busiest()
        context.prompts = {a.prompt for a in stage.running(context.host)}
        stage.interrupt(context.host, signal.SIGKILL)
        context.records = await stage.answers()

    context.stage.run(scene())


@then("every stream is whole, those of that agent with a part from another runner")
def step_resumed(context):
    check_whole(context.records)
    moved = context.stage.moved(context.host, context.prompts)
    assert moved and moved == context.prompts, (moved, context.prompts)


@when("{count:d} bookings with issued keys run and their entry process is killed")
def step_kill_entry(context, count):
    async def scene():
        stage = context.stage
        host = stage.fleet.entry_hosts[0]
        services = [h.service for h in stage.fleet.service_hosts("bookings")]
        before = sum(service.total for service in services)
        stage.send("issued", count, entry=host)
        await stage.until(
            lambda: sum(service.total for service in services) >= before + count, "bookings run"
        )
        stage.interrupt(host, signal.SIGKILL)
        context.records = await stage.answers()

    context.stage.run(scene())


@then("every caller learns through another entry host that its booking ran")
def step_repeated(context):
    for rec in context.records:
        assert rec.attempt == 1 and rec.outcome == "ran" and rec.is_match, rec


@when("traffic flows and an entry process, a runner's agent and a booking host's agent get SIGTERM")
def step_shut_down(context):
    async def scene():
        stage = context.stage
        fleet = stage.fleet
        stage.callers.settings.mix.update({"long": 2.0, "booking": 0.0, "issued": 3.0})
        running = asyncio.ensure_future(stage.callers.run(30.0))
        await stage.until(lambda: len(stage.callers.records) > 20, "traffic flows")
        stage.send("long", 12)
        runner = await stage.busiest()
        leaving = [fleet.entry_hosts[2], runner, fleet.service_hosts("bookings")[0]]
        context.leaving = leaving
        work = [asyncio.ensure_future(stage.shut_down(host)) for host in leaving]
        for host in leaving[1:]:
            stage.observer.leavings.append(stage.leaving_now(host))
        # The platform's load balancer removes a host that is no longer ready.
        while (status := await fleet.status(leaving[0])) and status["state"] == "ready":
            await asyncio.sleep(0.01)
        stage.callers.settings.entries.remove(leaving[0].callers)
        context.statuses = await asyncio.gather(*work)
        context.ended = time.monotonic()
        stage.callers.is_stopping = True
        context.records = await running
        context.streams = await stage.answers()

    context.stage.run(scene())


@then("they end with status 0 after their last request")
def step_shut_down_done(context):
    assert context.statuses == [0, 0, 0], context.statuses
    check_whole(context.streams)
    for host in context.leaving:
        events = context.stage.events(host, "drain_done")
        assert [event.fields["cut_off"] for event in events] == ["0"], events
    for host in context.leaving[:2]:
        events = context.stage.events(host, "drain_started")
        assert events[0].number("in_flight") > 0, events


@then("the traffic had answers from other hosts meanwhile")
def step_traffic_went_on(context):
    first = context.stage.observer.shutdowns[0].at
    during = [r for r in context.records if r.start > first and r.end < context.ended]
    whole = [rec for rec in during if rec.verdict == "whole"]
    assert {rec.kind for rec in whole} >= {"short", "issued"}, during


@when("{count:d} long streams and {bookings:d} bookings run and their busiest agents are paused")
def step_pause(context, count, bookings):
    async def scene():
        stage = context.stage
        stage.send("long", count)
        context.paused = [await stage.busiest()]
        hosts = stage.fleet.service_hosts("bookings")
        before = {host.name: host.service.total for host in hosts}
        streams, stage.sent = stage.sent, []
        stage.send("issued", bookings)

        def booked():
            return [host for host in hosts if host.service.total > before[host.name]]

        await stage.until(booked, "a booking runs")
        context.paused.append(booked()[0])
        for host in context.paused:
            stage.interrupt(host, signal.SIGSTOP)
        prompts = {a.prompt for a in stage.running(context.paused[0])}
        context.bookings, stage.sent = stage.sent, streams
        context.records = await stage.answers()
        assert prompts and stage.moved(context.paused[0], prompts) == prompts

    context.stage.run(scene())


@when("the paused agents resume and {count:d} short streams run")
def step_resume(context, count):
    async def scene():
        stage = context.stage
        for host in context.paused:
            stage.fleet.signal(host, signal.SIGCONT)
        stage.send("short", count)
        context.records = await stage.answers()
        await asyncio.gather(*context.bookings)
        # The resumed hosts are back in service when their pending work is done.
        await stage.settle()

    context.stage.run(scene())


@then("every stream is whole before its deadline")
def step_whole(context):
    check_whole(context.records)


@when("{count:d} long streams run and the links to the busiest agent go silent")
def step_silence_link(context, count):
    async def scene():
        stage = context.stage
        stage.send("long", count)
        host = await stage.busiest()
        context.relay = stage.fleet.link.relays[host.name]
        carried = context.relay.bytes["backward"]
        await stage.until(
            lambda: context.relay.bytes["backward"] > carried + 2000, "tokens use the relay"
        )
        context.accepted = context.relay.accepted
        context.relay.silence_open()
        prompts = {a.prompt for a in stage.running(host)}
        context.records = await stage.answers()
        assert stage.moved(host, prompts), "no stream was on the silent links"

    context.stage.run(scene())


@then("the links are replaced")
def step_replaced(context):
    stage = context.stage
    stage.run(stage.until(lambda: context.relay.accepted > context.accepted, "a new link"))
    stage.run(stage.settle())
