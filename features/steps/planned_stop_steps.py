"""Steps about the planned stop of an entry process that forwards requests to runners."""

import asyncio
import contextlib
import re
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from direct_forwarding_steps import fetch, read_answer, run_in_harness
from forwarding_harness import PATHS, raw_request
from wasabilb_core.drain_schedule import DrainSchedule
from wasabilb_entry import drain as drain_module
from wasabilb_entry.drain import Drain
from wasabilb_entry.held_request_dispatcher import HeldRequestDispatcher
from wasabilb_node.clock import now

REMOVAL_S = 0.4
COUNTS = {"no": 0, "one": 1, "three": 3}


async def stop(harness, grace_s):
    """Stop the process of a harness, which ends its connections at last."""
    drain = Drain(callers=harness.server, forwarder=harness.forwarder, log=harness.log)
    try:
        with patch.object(drain_module, "BALANCER_REMOVAL_S", REMOVAL_S):
            await drain.run(grace_s)
    finally:
        harness.server.close_all()


async def send(context, harness, data, parts=()):
    """Send a request, and further parts of it after pauses; return the answer and its end."""
    reader, writer = await harness.connect()
    writer.write(data)
    for pause_s, part in parts:
        await asyncio.sleep(pause_s)
        writer.write(part)
    try:
        answer = await read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        answer = (0, "", b"", False)
    answered_at = now()
    context.is_closed = await is_ended(reader)
    writer.close()
    return (*answer, answered_at)


async def is_ended(reader):
    with contextlib.suppress(TimeoutError, ConnectionError):
        return not await asyncio.wait_for(reader.read(1), 0.05)
    return False


@when(
    "the process is stopped with a grace of {grace:g} s while a request on the {kind} route is in "
    "progress"
)
def step_stop(context, grace, kind):
    async def play(harness):
        caller = asyncio.ensure_future(send(context, harness, raw_request(PATHS[kind])))
        await asyncio.sleep(0.1)
        context.signal_at = now()
        await stop(harness, grace)
        return await caller

    run_in_harness(context, play)


@when("the process gets two signals while a request on the {kind} route is in progress")
def step_two_signals(context, kind):
    async def play(harness):
        caller = asyncio.ensure_future(send(context, harness, raw_request(PATHS[kind])))
        await asyncio.sleep(0.1)
        context.signal_at = now()
        stopping = asyncio.ensure_future(stop(harness, 8.0))
        await asyncio.sleep(0.1)
        stopping.cancel()
        await asyncio.gather(stopping, return_exceptions=True)
        return await caller

    run_in_harness(context, play)


@then("the answer ends between {earliest:g} s and {latest:g} s after the signal")
def step_ends_between(context, earliest, latest):
    after_s = context.result[-1] - context.signal_at
    assert earliest <= after_s <= latest, after_s


@given("{count:w} requests on the {kind} route were answered before")
def step_known(context, count, kind):
    context.known = (COUNTS[count], kind)


@when(
    "a request with a limit of {limit:g} s on the {kind} route comes {late:g} s into a stop with a "
    "grace of {grace:g} s"
)
def step_late(context, limit, kind, late, grace):
    async def play(harness):
        count, known_kind = context.known
        for number in range(count):
            await fetch(harness, raw_request(PATHS[known_kind], request_id=f"k-{number}"))
        context.signal_at = now()
        stopping = asyncio.ensure_future(stop(harness, grace))
        await asyncio.sleep(late)
        data = raw_request(PATHS[kind], extra=f"Timeout: {limit}\r\n")
        answer = await send(context, harness, data)
        await stopping
        return answer

    run_in_harness(context, play)


@when("the last byte of a request comes {late:g} s into a stop with a grace of 1 s")
def step_late_body(context, late):
    async def play(harness):
        data = raw_request(PATHS["at-most-once"])
        caller = asyncio.ensure_future(send(context, harness, data[:-1], [(late, data[-1:])]))
        await stop(harness, 1.0)
        return await caller

    run_in_harness(context, play)


@then("the runners received {count:d} requests in all")
def step_requests(context, count):
    assert len(context.harness.request_heads) == count, context.harness.request_heads


@then("the connection ends and the caller is to return later than {seconds:g} s after the signal")
def step_returns(context, seconds):
    status, head, _, _, answered_at = context.result
    retry_after = float(re.search(r"(?im)^retry-after: ([\d.]+)", head)[1])
    assert status == 503 and context.is_closed and "Connection: close" in head, context.result
    assert answered_at + retry_after - context.signal_at > seconds, retry_after


@given("two held requests of a model")
def step_held_requests(context):
    context.dispatcher = HeldRequestDispatcher(
        views=lambda: [SimpleNamespace()],
        has_runner=lambda: True,
        requested_pause_s=lambda: None,
        expected_recovery_s=lambda: 0.0,
    )


@when("the process ends")
def step_process_ends(context):
    async def play():
        waits = [
            asyncio.ensure_future(
                context.dispatcher.wait(
                    is_resubmitted=False,
                    deadline=now() + 6.0,
                    has_room=lambda views: False,
                    set_gone_callback=lambda callback: None,
                )
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.02)
        started_at = now()
        context.dispatcher.refuse_all()
        return await asyncio.gather(*waits), now() - started_at

    context.result = asyncio.run(play())


@then("both are refused as not run at once")
def step_both_refused(context):
    has_slot, after_s = context.result
    assert has_slot == [False, False] and after_s < 0.02, context.result


@when(
    "a request with its time limit at {deadline:g} s and a predicted run time of {run} s arrives "
    "at {moment:g} s"
)
def step_admits(context, deadline, run, moment):
    schedule = DrainSchedule(started_at=100.0, grace_s=8.0, removal_s=2.6)
    run_s = None if run == "none" else float(run)
    context.is_taken = schedule.admits(now=moment, deadline=deadline, run_s=run_s)


@then("the decision is that it is {decision}")
def step_decision(context, decision):
    assert context.is_taken is (decision == "taken"), context.is_taken
