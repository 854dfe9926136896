"""Steps about failures of the platform, on real processes."""

import asyncio
import signal
import time

from behave import given, then, when
from fleet_harness import UNFENCED_RUNNER, check_whole, connect
from wasabilb_core.tickets import Variant
from wasabilb_standins.observer import Observer
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import Hello, TicketPush


@when("a ticket is read once and the service goes down")
def step_config_down(context):
    async def scene():
        harness = context.harness
        service = harness.fleet.config_service
        # The rollout takes seconds, so that the next steps run in the middle of it.
        harness.fleet.store.pacer.bytes_per_s = 400_000.0
        read = service.calls["tickets"]
        harness.publish()
        await harness.until(lambda: service.calls["tickets"] > read, "a reader has the ticket")
        service.set_faults(down="drop")

    context.harness.run(scene())


@when("an entry process and an agent are restarted meanwhile")
def step_restart(context):
    async def scene():
        harness = context.harness
        context.restarted = [harness.fleet.entry_hosts[1], harness.fleet.runners[0]]
        await harness.fleet.wait_in_force(harness.number)
        for host in context.restarted:
            harness.observer.interrupted_hosts.add(host.name)
            await harness.fleet.restart(host)
        harness.send("short", 6, entry=harness.fleet.entry_hosts[0])
        context.records = await harness.answers()
        await harness.settle()

    context.harness.run(scene())


@then("all processes carry out the ticket, most of them from peers")
def step_from_peers(context):
    harness = context.harness
    check_whole(context.records)
    assert harness.fleet.config_service.faults.down == "drop"
    for host in harness.fleet.hosts.values():
        number = str(harness.number)
        found = [e for e in harness.events(host, "ticket_accepted") if e.fields["ticket"] == number]
        assert found, f"{host.name} never accepted ticket {number}"
        is_entry = host.role == "entry" and host not in context.restarted
        assert is_entry or found[-1].fields["source"] != "service", found


@given("a ticket with a new version that the service does not show")
def step_stale(context):
    async def scene():
        harness = context.harness
        harness.publish()
        await harness.settle()
        harness.fleet.config_service.set_faults(stale_tickets=1)

    context.harness.run(scene())


@when("an entry process starts")
def step_start_entry(context):
    async def scene():
        harness = context.harness
        context.host = harness.fleet.entry_hosts[0]
        harness.fleet.signal(context.host, signal.SIGKILL)
        # Events of the earlier incarnation do not count.
        harness.observer = Observer(fleet=harness.fleet)
        harness.observer.interrupted_hosts.add(context.host.name)
        others = [host for host in harness.fleet.hosts.values() if host is not context.host]
        # The stale service answers before any peer can, in every run.
        for host in others:
            harness.interrupt(host, signal.SIGSTOP)
        await harness.fleet.restart(context.host)
        await harness.until(
            lambda: harness.events(context.host, "ticket_accepted"), "an old ticket"
        )
        await asyncio.sleep(0.3)
        for host in others:
            harness.fleet.signal(host, signal.SIGCONT)
        while not harness.events(context.host, "process_ready"):
            harness.send("short", 1, entry=context.host)
            await harness.answers()
            await asyncio.sleep(0.05)
        harness.send("short", 4, entry=context.host)
        context.records = await harness.answers()

    context.harness.run(scene())


@then("it becomes ready only with the newest ticket")
def step_ready_newest(context):
    harness = context.harness
    check_whole(context.records)
    assert {rec.version for rec in context.records} == {f"draft@{harness.versions[-1]}"}
    accepted = harness.events(context.host, "ticket_accepted")
    newest = [event for event in accepted if event.fields["ticket"] == str(harness.number)]
    ready = harness.events(context.host, "process_ready")[-1]
    assert newest and newest[-1].timestamp < ready.timestamp, (newest, ready)
    old = [r for r in harness.callers.records if r.version not in ("", context.records[0].version)]
    assert not old, old


@when("a peer pushes other content under the newest number, twice")
def step_push(context):
    async def scene():
        harness = context.harness
        context.host = harness.fleet.entry_hosts[0]
        context.digest = (await harness.fleet.status(context.host))["state_digest"]
        text = harness.fleet.ticket(harness.number, version="other")
        push = TicketPush(number=harness.number, text=text)
        for _ in range(2):
            hello = Hello(
                host="stranger",
                role="entry",
                region="Cork",
                failure_domain="Cork-1",
                incarnation=1,
                address="127.0.0.1:1",
                wall_ms=int(time.time() * 1000),
            )
            reader, writer = await connect(context.host.address)
            writer.write(encode(hello) + encode(push))
            await reader.read(1)
            await harness.until(lambda: harness.events(context.host, "ticket_refused"), "a refusal")
            writer.close()

    context.harness.run(scene())


@then("the entry process logs one refusal and keeps its state")
def step_refused_ticket(context):
    harness = context.harness
    refusals = harness.events(context.host, "ticket_refused")
    assert len(refusals) == 1 and "other content" in refusals[0].fields["detail"], refusals
    status = harness.run(harness.fleet.status(context.host))
    assert status["state_digest"] == context.digest and status["state"] == "ready", status
    harness.send("short", 4, entry=context.host)
    context.records = harness.run(harness.answers())
    check_whole(context.records)


@given("the store corrupts each tenth chunk")
def step_corrupt_store(context):
    context.harness.fleet.store.set_faults(corrupt_every=10)


@when("a ticket with a new version is carried out")
def step_carry_out(context):
    async def scene():
        harness = context.harness
        context.earlier_requests = harness.fleet.store.chunk_requests
        harness.publish()
        harness.send("short", 8)
        context.records = await harness.answers()
        await harness.settle()

    context.harness.run(scene())


@then("each engine holds exactly the chunks of the manifest")
def step_whole_weights(context):
    harness = context.harness
    check_whole(context.records)
    variant = Variant(model="draft", adapter="", version=harness.versions[-1])
    digests = harness.fleet.store.manifest(variant)["chunks"]
    # The fleet reads about one copy from the store, and each corrupted chunk once more.
    assert harness.fleet.store.chunk_requests - context.earlier_requests > len(digests)
    refused = []
    for host in harness.fleet.runners:
        held = host.engine.weights.to_json()
        assert str(variant) in held["committed"] and set(digests) <= set(held["chunks"]), held
        refused += harness.events(host, "chunk_refused")
    assert refused, "no corrupted chunk was logged"


@given("each engine delays its next order")
def step_delay_orders(context):
    for host in context.harness.fleet.runners:
        host.engine.set_faults(delay_next_order_s=4.0)


@when("a ticket is published, agents restart after their orders, and a newer ticket is published")
def step_two_tickets(context):
    async def scene():
        harness = context.harness
        harness.publish()
        context.late = harness.number

        def is_ordered(host):
            return any(order["fence"] == context.late for order in host.engine.orders)

        await harness.until(lambda: all(map(is_ordered, harness.fleet.runners)), "orders are given")
        for host in harness.fleet.runners:
            harness.observer.interrupted_hosts.add(host.name)
            await harness.fleet.restart(host)
        harness.publish()
        await harness.settle()

    context.harness.run(scene())


@then("each engine got the delayed order late, and the fencing ones refused it")
def step_late_order(context):
    async def scene():
        for host in context.harness.fleet.runners:
            late = next(o for o in host.engine.orders if o["fence"] == context.late)
            expected = "" if host.name == UNFENCED_RUNNER else "stale-fence"
            due = late["received"] + 4.2
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            assert late["refused"] == expected, (host.name, late)

    context.harness.run(scene())


@then("all engines end with the newest version")
def step_newest_version(context):
    async def scene():
        harness = context.harness
        await harness.settle()
        harness.send("short", 8)
        context.records = await harness.answers()

    context.harness.run(scene())
    check_whole(context.records)
    newest = context.harness.versions[-1]
    assert {rec.version for rec in context.records} == {f"draft@{newest}"}
    for host in context.harness.fleet.runners:
        assert host.engine.deployments.serving("draft", "").version == newest, host.name
