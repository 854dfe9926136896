"""Steps about stand-ins that come back from a copy."""

import asyncio
import json
import time

from behave import given, then, when
from standin_steps import begin, call, run
from wasabilb_standins.host_list import HostList
from wasabilb_standins.restorable import Restore

REWRITE_S, SEED = 0.3, 5


async def read(standin, path):
    """Return status, era of the header and content of an answer."""
    status, headers, body = await call(standin, path)
    return status, headers.get("Era"), json.loads(body or b"{}")


@given("the tickets 1 to 3, of which a copy of the service holds number 1 only")
def step_tickets(context):
    service = context.config_service
    service.publish("number = 1")
    context.copied_at = time.monotonic()
    for number in (2, 3):
        service.publish(f"number = {number}")


@when("the service goes away while a watch after 3 waits, and comes back from the copy")
def step_restored(context):
    async def scene():
        service = context.config_service
        watch = asyncio.ensure_future(call(service, "/v1/watch?after=3&timeout=20"))
        while not service.pending_watches:
            await asyncio.sleep(0.001)
        service.set_faults(down="drop")
        context.watched = await watch
        context.lost = service.restore(context.copied_at)
        service.set_faults(down="")

    run(context, scene())


@then("the watch breaks, and a watch after 3 of either era gets 410")
def step_gone(context):
    assert context.watched[0] == 0, context.watched
    for era in ("", "&era=0", "&era=1"):
        answer = run(context, read(context.config_service, f"/v1/watch?after=3{era}&timeout=20"))
        assert answer[:2] == (410, "1") and answer[2]["era"] == 1, answer


@then("the index shows ticket 1 of era 0 only, and each answer tells era 1")
def step_copied(context):
    service = context.config_service
    status, era, index = run(context, read(service, "/v1/index"))
    assert (status, era, index["era"], index["newest"]) == (200, "1", 1, 1), index
    assert [(t["number"], t["era"]) for t in index["tickets"]] == [(1, 0)], index
    for path in ("/v1/tickets/2", "/v1/watch?after=0"):
        assert run(context, read(service, path))[1] == "1", path
    assert [lost.number for lost in context.lost] == [2, 3]


@when("the operator writes ticket 2 with other content and ticket 3 as it was")
def step_written_again(context):
    context.config_service.publish('number = 2\ntitle = "other"')
    context.config_service.publish(context.lost[1].text)


@then("the index shows the eras 0, 1, 1 and a watch after 1 of era 1 answers 3")
def step_new_era(context):
    answer = run(context, read(context.config_service, "/v1/watch?after=1&era=1&timeout=20"))
    index = answer[2]
    assert index["newest"] == 3 and [t["era"] for t in index["tickets"]] == [0, 1, 1], index


@given("a host list without a lag whose copy lacks 2 of 4 hosts and the leaving of a third")
def step_hosts(context):
    context.hosts = begin(context, HostList())
    context.hosts.set_hosts({"r1": "live", "r2": "live"})
    # The changes are further apart than the error of the copy's age.
    run(context, asyncio.sleep(0.05))
    context.copied_at = time.monotonic()
    run(context, asyncio.sleep(0.05))
    context.hosts.set_hosts({"r1": "leaving", "r3": "live", "r4": "live"})


@when("it comes back from the copy and the hosts register again within 0.3 seconds")
def step_play(context):
    async def scene():
        hosts, context.seen = context.hosts, []
        restore = Restore(
            copy_age_s=time.monotonic() - context.copied_at, rewrite_s=REWRITE_S, seed=SEED
        )
        task = asyncio.ensure_future(hosts.play_restore(restore))
        is_over = False
        while not is_over:
            # The last entry may come with the end of the task.
            is_over = task.done()
            shown = hosts.shown_list()
            if shown["era"] and (not context.seen or context.seen[-1][1] != shown):
                context.seen.append((time.monotonic(), shown))
            await asyncio.sleep(0.001)
        await task
        context.delays_s = restore.rewrite_delays_s(3)

    run(context, scene())


@then("the list shows the lost entries one after another and all of them in the end")
def step_shown(context):
    written = [
        {host["name"]: host["state"] for host in shown["hosts"] if host["era"] == 1}
        for _, shown in context.seen
    ]
    assert [len(states) for states in written] == [0, 1, 2, 3], written
    assert written[-1] == {"r1": "leaving", "r3": "live", "r4": "live"}, written
    _, _, listed = run(context, read(context.hosts, "/v1/hosts"))
    assert [h["era"] for h in listed["hosts"] if h["name"] == "r2"] == [0], listed


@then("the moments are those of the seed")
def step_moments(context):
    restore = Restore(rewrite_s=REWRITE_S, seed=SEED)
    assert context.delays_s == restore.rewrite_delays_s(3) == sorted(context.delays_s)
    assert context.delays_s[0] > 0.0 and context.delays_s[-1] <= REWRITE_S
    assert Restore(rewrite_s=REWRITE_S, seed=SEED + 1).rewrite_delays_s(3) != context.delays_s
    started = context.seen[0][0]
    taken_s = [at - started for at, _ in context.seen[1:]]
    for taken, expected in zip(taken_s, context.delays_s, strict=True):
        assert taken >= expected - 0.02, (taken_s, context.delays_s)
