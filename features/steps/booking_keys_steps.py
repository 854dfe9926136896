"""Steps about bookings whose keys have run already or name a leaving host, on real processes."""

import asyncio
import hashlib
import json
import signal
import time

from behave import then, when
from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.promises import LEAVE_BOUND_S

KEYS = 4


async def issued_key(harness, host):
    """Request keys from an entry host until one names the host, and return it."""
    entry = harness.fleet.entry_hosts[0].callers
    while True:
        rec = CallRecord(kind="issued", entry=entry, number=0)
        key = await harness.callers._issued_key(rec)
        # wl1.SERVICE.HOST.INCARNATION.CREATED.RANDOM
        if key.split(".")[2] == host.name:
            return key


async def book(harness, key, number, entry=0):
    """Send a booking with a key through an entry host and return the caller's record."""
    body = json.dumps({"booking": f"{key} {number}"}).encode()
    rec = CallRecord(
        kind="issued", entry=harness.fleet.entry_hosts[entry].callers, number=number, key=key
    )
    rec.body_digest = hashlib.sha256(body).hexdigest()
    await harness.callers._call_service(rec, method="POST", body=body)
    return rec


@when("a booking host leaves by a ticket and keys that name it are used after 3 s")
def step_leave(context):
    async def scene():
        harness = context.harness
        host = harness.fleet.service_hosts("bookings")[0]
        used, *unused = [await issued_key(harness, host) for _ in range(KEYS)]
        context.first = await book(harness, used, 0)
        spec = {**host.to_spec(), "state": "leaving"}
        version = harness.versions[-1]
        harness.publish(version, hosts=[spec], models=[], services=[], accounts=[])
        harness.observer.leaving_hosts.append(harness.to_leaving(host))
        limit = time.monotonic() + LEAVE_BOUND_S
        await harness.until(lambda: time.monotonic() > limit, "the host has left")
        context.late = await asyncio.gather(
            *(book(harness, key, number) for number, key in enumerate(unused, 1))
        )
        context.again = await book(harness, used, 0)

    context.harness.run(scene())


@then("their callers are told that nothing ran, and the one that ran before gets its answer again")
def step_outcomes(context):
    assert context.first.outcome == "ran" and context.first.is_match, context.first
    assert {rec.outcome for rec in context.late} == {"not-run"}, context.late
    assert context.again.outcome == "ran" and context.again.is_match, context.again


@when("a booking ran and is repeated through an entry process that starts and reads no ticket")
def step_repeat_starting(context):
    async def scene():
        harness = context.harness
        key = await issued_key(harness, harness.fleet.service_hosts("bookings")[0])
        context.first = await book(harness, key, 0, entry=1)
        starting = harness.fleet.entry_hosts[0]
        others = [host for host in harness.fleet.hosts.values() if host is not starting]
        harness.fleet.config_service.set_faults(down="503")
        for host in others:
            harness.interrupt(host, signal.SIGSTOP)
        harness.interrupt(starting, signal.SIGKILL)
        await harness.fleet.restart(starting)
        await harness.until(lambda: harness.events(starting, "process_started"), "it has started")
        context.again = await book(harness, key, 0)
        context.new = await book(harness, "", 1)
        for host in others:
            harness.fleet.signal(host, signal.SIGCONT)

    context.harness.run(scene())


@then("the callers get status 503, and the outcome of the repeat is unknown")
def step_outcomes_at_starting(context):
    assert context.first.outcome == "ran", context.first
    assert (context.again.status, context.again.outcome) == (503, "unknown"), context.again
    assert (context.new.status, context.new.outcome) == (503, "not-run"), context.new
