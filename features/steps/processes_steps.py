"""Steps about failures of processes and links, on real processes."""

import asyncio
import json
import signal
import sys
import time

from behave import given, then, when
from fleet_harness import FleetHarness, check_whole
from tornado.httpclient import AsyncHTTPClient

HARNESSES = {}


@given("the fleet of real processes in order")
def step_fleet(context):
    if "fleet" not in HARNESSES:
        HARNESSES["fleet"] = FleetHarness()
        context.add_cleanup(lambda: HARNESSES.pop("fleet").close(), layer="feature")
    context.harness = HARNESSES["fleet"]
    context.harness.run(context.harness.reset())


@then("no promise is broken")
def step_promises(context):
    found = context.harness.violations()
    assert not found, found


@when("{count:d} long streams run and the busiest agent is killed")
def step_kill_agent(context, count):
    async def scene():
        harness = context.harness
        harness.send("long", count)
        context.host = await harness.busiest_runner()
        context.prompts = {a.prompt for a in harness.running(context.host)}
        harness.interrupt(context.host, signal.SIGKILL)
        context.records = await harness.answers()

    context.harness.run(scene())


@then("every stream is whole, those of that agent with a part from another runner")
def step_resumed(context):
    check_whole(context.records)
    resumed_prompts = context.harness.resumed_prompts(context.host, context.prompts)
    assert resumed_prompts and resumed_prompts == context.prompts, (
        resumed_prompts,
        context.prompts,
    )


@when("{count:d} bookings with issued keys run and their entry process is killed")
def step_kill_entry(context, count):
    run_bookings(context, count, signals=(signal.SIGKILL,))


@when("{count:d} bookings with issued keys run and their entry process gets SIGTERM twice")
def step_terminate_twice(context, count):
    run_bookings(context, count, signals=(signal.SIGTERM, signal.SIGTERM))


@when("an entry process gets SIGTERM and the fleet is put in order at once")
def step_order_at_once(context):
    context.harness.interrupt(context.harness.fleet.entry_hosts[0], signal.SIGTERM)
    context.harness.run(context.harness.reset())


@then("all entry processes run and are ready")
def step_all_ready(context):
    fleet = context.harness.fleet

    async def states():
        found = await asyncio.gather(*(fleet.status(host) for host in fleet.entry_hosts))
        return [status and status["state"] for status in found]

    assert [host.process.poll() for host in fleet.entry_hosts] == [None] * len(fleet.entry_hosts)
    assert set(context.harness.run(states())) == {"ready"}


@then("none of them is told by it that it succeeded")
def step_none_succeeded(context):
    harness = context.harness
    ended = harness.fleet.entry_hosts[0].callers
    told = [rec for rec in harness.callers.records if rec.entry == ended and rec.attempt == 0]
    told = [rec for rec in told if rec.kind == "issued"]
    assert told and not [rec for rec in told if rec.status == 200], told


def run_bookings(context, count, *, signals):
    """Send bookings through an entry process that gets the signals while they run."""

    async def scene():
        harness = context.harness
        host = harness.fleet.entry_hosts[0]
        services = [h.service for h in harness.fleet.service_hosts("bookings")]
        before = sum(service.total for service in services)
        harness.send("issued", count, entry=host)
        await harness.until(
            lambda: sum(service.total for service in services) >= before + count, "bookings run"
        )
        for number in signals:
            harness.interrupt(host, number)
            # A signal that is pending is not delivered twice.
            await asyncio.sleep(0.05)
        context.records = await harness.answers()

    context.harness.run(scene())


@then("every caller learns through another entry host that its booking ran")
def step_repeated(context):
    for rec in context.records:
        assert rec.attempt == 1 and rec.outcome == "ran" and rec.is_match, rec


@when("traffic flows and an entry process, a runner's agent and a booking host's agent get SIGTERM")
def step_shut_down(context):
    async def scene():
        harness = context.harness
        fleet = harness.fleet
        harness.callers.settings.mix.update({"long": 2.0, "booking": 0.0, "issued": 3.0})
        running = asyncio.ensure_future(harness.callers.run(30.0))
        await harness.until(lambda: len(harness.callers.records) > 20, "traffic flows")
        harness.send("long", 12)
        runner = await harness.busiest_runner()
        leaving = [fleet.entry_hosts[2], runner, fleet.service_hosts("bookings")[0]]
        context.leaving = leaving
        work = [asyncio.ensure_future(harness.shut_down(host)) for host in leaving]
        for host in leaving[1:]:
            harness.observer.leaving_hosts.append(harness.to_leaving(host))
        # The platform's load balancer removes a host that is no longer ready.
        while (status := await fleet.status(leaving[0])) and status["state"] == "ready":
            await asyncio.sleep(0.01)
        harness.callers.settings.entries.remove(leaving[0].callers)
        context.statuses = await asyncio.gather(*work)
        context.ended = time.monotonic()
        harness.callers.is_stopping = True
        context.records = await running
        context.streams = await harness.answers()

    context.harness.run(scene())


@then("they end with status 0 after their last request")
def step_shut_down_done(context):
    assert context.statuses == [0, 0, 0], context.statuses
    check_whole(context.streams)
    for host in context.leaving:
        events = context.harness.events(host, "drain_done")
        assert [event.fields["cut_off"] for event in events] == ["0"], events
    for host in context.leaving[:2]:
        events = context.harness.events(host, "drain_started")
        assert events[0].number("in_flight") > 0, events


@then("the traffic had answers from other hosts meanwhile")
def step_traffic_went_on(context):
    first = context.harness.observer.shutdowns[0].at
    during = [r for r in context.records if r.start > first and r.end < context.ended]
    whole = [rec for rec in during if rec.verdict == "whole"]
    assert {rec.kind for rec in whole} >= {"short", "issued"}, during


@when(
    "{count:d} requests with a text that crashes engines and as many without it come to all entry "
    "hosts in turn"
)
def crash_engines(context, count):
    harness = context.harness
    fleet = harness.fleet
    text = "this block crashes engines".ljust(64, "!")
    system = "You help salons and donors. ".ljust(128, ".")
    key = next(iter(fleet.account_keys.values()))

    async def complete(address, prompt):
        body = json.dumps({"model": "draft", "prompt": prompt, "max_tokens": 5})
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        response = await AsyncHTTPClient().fetch(
            f"http://{address}/v1/completions",
            method="POST",
            headers=headers,
            body=body,
            raise_error=False,
        )
        return response.code, json.loads(response.body)

    context.complete, context.bad_prompt = complete, system + text

    async def run():
        for number in range(12):
            address = fleet.entry_hosts[number % len(fleet.entry_hosts)].callers
            await complete(address, f"{system}{'good'.ljust(64)}{number} tail")
        for host in fleet.runners:
            host.engine.set_faults(crash_text=text, crash_s=0.5)
        context.bad, context.sound = [], []
        for number in range(count):
            address = fleet.entry_hosts[number % len(fleet.entry_hosts)].callers
            context.bad.append(await complete(address, f"{system}{text}{number} tail"))
            context.sound.append(await complete(address, f"{system}{'good'.ljust(64)}{number}"))
        await asyncio.sleep(1)
        context.crashes = sum(host.engine.crashes for host in fleet.runners)

    harness.run(run())


@then("at most {most:d} engines crash, and the last requests with the text are refused as not run")
def check_engines(context, most):
    assert context.crashes <= most, (context.crashes, context.bad)
    for status, problem in context.bad[-3:]:
        found = (status, problem["type"].rpartition(":")[2], problem["outcome"])
        assert found == (400, "prompt-blocked", "not-run"), context.bad


@when("the engines no longer crash and an operator lifts the block at one entry host")
def lift_block(context):
    harness = context.harness
    for host in harness.fleet.runners:
        host.engine.set_faults(crash_text="")

    async def run():
        command = [
            sys.executable,
            "-m",
            "wasabilb_entry",
            "lift",
            harness.fleet.entry_hosts[0].admin,
        ]
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        output, _ = await process.communicate()
        assert process.returncode == 0 and b"lifted " in output, output
        assert b"nothing" not in output, output
        await asyncio.sleep(0.2)
        context.bad = [
            await context.complete(host.callers, f"{context.bad_prompt} again")
            for host in harness.fleet.entry_hosts
        ]

    harness.run(run())


@then("a request with the text is answered at each entry host")
def check_lifted(context):
    assert [status for status, _ in context.bad] == [200] * len(context.bad), context.bad


@then("the requests without it are answered")
def check_sound_answers(context):
    statuses = [status for status, _ in context.sound]
    assert statuses == [200] * len(statuses), (statuses, context.crashes)


@when("{count:d} long streams and {bookings:d} bookings run and their busiest agents are paused")
def step_pause(context, count, bookings):
    async def scene():
        harness = context.harness
        harness.send("long", count)
        context.paused = [await harness.busiest_runner()]
        hosts = harness.fleet.service_hosts("bookings")
        before = {host.name: host.service.total for host in hosts}
        streams, harness.sent = harness.sent, []
        harness.send("issued", bookings)

        def booked():
            return [host for host in hosts if host.service.total > before[host.name]]

        await harness.until(booked, "a booking runs")
        context.paused.append(booked()[0])
        for host in context.paused:
            harness.interrupt(host, signal.SIGSTOP)
        prompts = {a.prompt for a in harness.running(context.paused[0])}
        context.bookings, harness.sent = harness.sent, streams
        context.records = await harness.answers()
        assert prompts and harness.resumed_prompts(context.paused[0], prompts) == prompts

    context.harness.run(scene())


@when("the paused agents resume and {count:d} short streams run")
def step_resume(context, count):
    async def scene():
        harness = context.harness
        for host in context.paused:
            harness.fleet.signal(host, signal.SIGCONT)
        harness.send("short", count)
        context.records = await harness.answers()
        await asyncio.gather(*context.bookings)
        # The resumed hosts are back in service when their pending work is done.
        await harness.settle()

    context.harness.run(scene())


@then("every stream is whole before its deadline")
def step_whole(context):
    check_whole(context.records)


@when("{count:d} long streams run and the links to the busiest agent go silent")
def step_silence_link(context, count):
    async def scene():
        harness = context.harness
        harness.send("long", count)
        host = await harness.busiest_runner()
        context.relay = harness.fleet.link.relays[host.name]
        carried = context.relay.bytes["backward"]
        await harness.until(
            lambda: context.relay.bytes["backward"] > carried + 2000, "tokens use the relay"
        )
        context.accepted = context.relay.accepted
        context.relay.silence_open()
        prompts = {a.prompt for a in harness.running(host)}
        context.records = await harness.answers()
        assert harness.resumed_prompts(host, prompts), "no stream was on the silent links"

    context.harness.run(scene())


@then("the links are replaced")
def step_replaced(context):
    harness = context.harness
    harness.run(harness.until(lambda: context.relay.accepted > context.accepted, "a new link"))
    harness.run(harness.settle())
