"""Steps about the planned stop of an entry process that forwards requests to runners."""

import asyncio
import contextlib
import json
import re
import signal
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from direct_forwarding_steps import fetch, read_answer, run_in_virtual_harness
from forwarding_harness import PATHS, raw_request
from wasabilb_core.drain_schedule import DrainSchedule, assumed_answer_tokens
from wasabilb_entry import drain as drain_module
from wasabilb_entry.drain import Drain
from wasabilb_entry.held_request_dispatcher import HeldRequestDispatcher
from wasabilb_node.clock import now
from wasabilb_standins.fleet import FleetShape, LocalFleet

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

    run_in_virtual_harness(context, play)


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

    run_in_virtual_harness(context, play)


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

    run_in_virtual_harness(context, play)


@when("the last byte of a request comes {late:g} s into a stop with a grace of 1 s")
def step_late_body(context, late):
    async def play(harness):
        data = raw_request(PATHS["at-most-once"])
        caller = asyncio.ensure_future(send(context, harness, data[:-1], [(late, data[-1:])]))
        await stop(harness, 1.0)
        return await caller

    run_in_virtual_harness(context, play)


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


@given("an entry host that is stopped within {drain:g} s, before services that take {work:g} s")
def step_own_interface(context, drain, work):
    shape = FleetShape(
        regions=("Dublin",),
        entry_hosts=1,
        runners=1,
        services={"portal": 1},
        engine={"models": "draft@v0", "token_s": 0.5, "load_s": 0.1},
        service={"work_s": work},
        entry_settings={"timeouts": {"drain_s": drain, "leave_s": 0.5}},
    )
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    context.add_cleanup(context.loop_runner.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    fleet = context.fleet = LocalFleet(shape=shape, folder=Path(folder.name))
    context.add_cleanup(lambda: context.loop.run_until_complete(fleet.stop()))
    fleet.publish(fleet.ticket(1, version="v0"))

    async def start():
        await fleet.start()
        await fleet.wait_version("v0")
        await fleet.wait_services()

    context.loop.run_until_complete(start())


async def call(fleet, path, body=None):
    """Send a request to the entry host; return all bytes until the end of the connection."""
    ip, _, port = fleet.entry_hosts[0].callers.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    key = fleet.account_keys["salon-1"]
    data = b"" if body is None else json.dumps(body).encode()
    method = "GET" if body is None else "POST"
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode() + data
    )
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await asyncio.wait_for(reader.read(1 << 20), 8.0)
        while more := await reader.read(1 << 20):
            answer += more
    writer.close()
    return answer.decode()


@when("a stream, a lookup and a booking are in progress as it is stopped and another booking comes")
def step_stop_own(context):
    fleet = context.fleet
    stream = {"model": "draft", "prompt": "a cat", "max_tokens": 200, "stream": True}

    async def play():
        running = [
            asyncio.ensure_future(call(fleet, "/v1/completions", stream)),
            asyncio.ensure_future(call(fleet, "/services/portal/records/1")),
            asyncio.ensure_future(call(fleet, "/services/portal/book/1", {"booking": 1})),
        ]
        await asyncio.sleep(1.0)
        fleet.signal(fleet.entry_hosts[0], signal.SIGTERM)
        await asyncio.sleep(0.2)
        late = asyncio.ensure_future(call(fleet, "/services/portal/book/2", {"booking": 2}))
        return await asyncio.gather(*running, late)

    context.answers = context.loop.run_until_complete(play())


@then("the stream ends with an error event, and the other two with status 502, outcome unknown")
def step_own_ends(context):
    stream, *others, _ = context.answers
    assert "event: error" in stream and stream.endswith("0\r\n\r\n"), stream
    for answer in others:
        assert answer.startswith("HTTP/1.1 502 "), answer
        assert "Wasabilb-Outcome: unknown" in answer, answer


@then("the other booking gets status 503, outcome not-run, and its connection ends")
def step_own_refused(context):
    answer = context.answers[-1]
    assert answer.startswith("HTTP/1.1 503 ") and "Wasabilb-Outcome: not-run" in answer, answer
    assert "Connection: close" in answer and "Retry-After: 1" in answer, answer


@when("a request that {may_be} repeated names at most {most:d} tokens and expects {expected}")
def step_tokens(context, may_be, most, expected):
    context.result = assumed_answer_tokens(
        max_tokens=most,
        hinted_tokens=None if expected == "none" else float(expected),
        is_repeatable=may_be == "may be",
    )


@then("a stop assumes that its answer has {tokens:g} tokens")
def step_assumed(context, tokens):
    assert context.result == tokens, context.result
