"""Steps about requests that the entry process sends to runners directly."""

import asyncio
import math
import re

from attrs import evolve
from behave import given, then, when
from forwarding_harness import KEY, LIMITS, PATHS, ForwardingHarness, raw_request
from memory_links import VirtualSocketLoop, run_virtual
from scripted_runner import BODY, EVENTS
from wasabilb_core.catalog import CallerLimits
from wasabilb_core.runner_stats import LoadReport
from wasabilb_node.clock import now
from wasabilb_wire.messages import RunnerReport


async def read_answer(reader):
    """Return status, headers, body and whether the answer is complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split()[1])
    length = re.search(r"(?im)^content-length: (\d+)", head)
    if length:
        return status, head, await reader.readexactly(int(length[1])), True
    body = b""
    while True:
        line = await reader.readline()
        if not line:
            return status, head, body, False
        size = int(line, 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError:
            return status, head, body, False
        if size == 0:
            return status, head, body, True
        body += data[:-2]


def run_in_harness(context, make_coroutine, *, run=asyncio.run, **changes):
    async def main():
        async with ForwardingHarness(context.behaviours, **changes) as harness:
            context.harness = harness
            return await asyncio.wait_for(make_coroutine(harness), 10)

    context.result = run(main())


def run_in_virtual_harness(context, make_coroutine, **changes):
    """Run on sockets under a virtual clock."""

    def run(main):
        return run_virtual(lambda: main, VirtualSocketLoop)

    run_in_harness(context, make_coroutine, run=run, **changes)


async def fetch(harness, data):
    reader, writer = await harness.connect()
    started = asyncio.get_running_loop().time()
    writer.write(data)
    answer = await read_answer(reader)
    writer.close()
    return (*answer, asyncio.get_running_loop().time() - started)


@given("a catalog with an idempotent, an at-most-once and a resumable stream route")
def given_catalog(context):
    context.behaviours = []


@given("runners that {first} and then {second}")
def given_runners(context, first, second):
    context.behaviours = [first, second]


@given("no runner")
def given_no_runner(context):
    context.behaviours = []


@when("a caller sends a request on the {kind} route")
def send_request(context, kind):
    run_in_harness(context, lambda harness: fetch(harness, raw_request(PATHS[kind])))


@when("a caller sends {count} requests on the idempotent route one after the other")
def send_in_turn(context, count):
    context.names = [f"q-{n}" for n in range({"two": 2, "five": 5}[count])]

    async def send_all(harness):
        reader, writer = await harness.connect()
        bodies = []
        for name in context.names:
            writer.write(raw_request(PATHS["idempotent"], request_id=name))
            bodies.append((await read_answer(reader))[2])
            # The next request uses the same connection, on which the extra answer waits.
            await asyncio.sleep(0.01)
        writer.close()
        return bodies

    run_in_harness(context, send_all)


@then("each of the {count} gets its own answer")
def own_answers(context, count):
    assert context.result == [BODY + name.encode() for name in context.names], context.result


@when("a caller leaves a stream after its first event")
def leave_stream(context):
    async def leave(harness):
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        await reader.readuntil(b"id: 1")
        left_at = asyncio.get_running_loop().time()
        writer.close()
        while not any(scripted.closed_at for scripted in harness.runners):
            await asyncio.sleep(0.01)
        return max(s.closed_at for s in harness.runners if s.closed_at) - left_at

    run_in_harness(context, leave)


@then("the runner sees the end of the connection within {seconds:g} s")
def step_closed(context, seconds):
    assert context.result <= seconds, context.result


@when("a caller sends a request with a key and with headers that the system sets")
def claim_headers(context):
    extra = "Account: rich\r\nExpect-Runner: r-9\r\n"
    run_in_harness(
        context, lambda harness: fetch(harness, raw_request(PATHS["at-most-once"], extra=extra))
    )


@then("the runner gets the account of the key, itself as the expected runner and no key")
def runner_gets_account(context):
    (head,) = context.harness.request_heads
    assert re.search(r"(?m)^Account: acme\r$", head), head
    assert re.search(r"(?m)^Expect-Runner: r-[01]\r$", head), head
    assert "rich" not in head and "r-9" not in head and KEY not in head, head


@when("a caller sends a request with {fault}")
def send_faulty(context, fault):
    data = {
        "an unknown key": raw_request(PATHS["at-most-once"], key="x" * 20),
        "an unknown path": raw_request("/nowhere/x"),
        "no identifier": raw_request(PATHS["at-most-once"], request_id=""),
    }[fault]
    run_in_harness(context, lambda harness: fetch(harness, data))


@then("the caller gets the whole answer")
def whole_answer(context):
    status, _, body, is_whole, _ = context.result
    assert status == 200 and is_whole and body.startswith(BODY), context.result


@then("the caller gets all events once")
def all_events(context):
    status, _, body, is_whole, _ = context.result
    assert status == 200 and is_whole, context.result
    assert body == b"".join(EVENTS), body


@then("the caller gets a broken stream")
def broken_stream(context):
    status, _, body, is_whole, _ = context.result
    assert status == 200 and not is_whole
    assert b"".join(EVENTS).startswith(body), body


@then("the stream has two events")
def two_events(context):
    assert context.result[2] == b"".join(EVENTS[:2]), context.result


@when("a caller sends a request on the {kind} route and repeats it after the refusal")
def repeat_request(context, kind):
    async def repeat(harness):
        status, *_ = await fetch(harness, raw_request(PATHS[kind]))
        assert status == 503, status
        await asyncio.sleep(0.3)
        return await fetch(harness, raw_request(PATHS[kind]))

    run_in_harness(context, repeat)


@then("the caller gets status {status:d} of the runner")
def status_of_runner(context, status):
    assert context.result[0] == status and "Seal: s" in context.result[1], context.result


@then("the caller gets status {status:d}, outcome {outcome}")
def status_and_outcome(context, status, outcome):
    assert context.result[0] == status, context.result
    assert f'"outcome": "{outcome}"'.encode() in context.result[2], context.result


@then("the caller gets status {status:d}")
def status_only(context, status):
    assert context.result[0] == status, context.result
    assert context.harness.run_count == 0


@then("the runners received {sends:d} requests that may have run")
def sends_that_ran(context, sends):
    assert context.harness.run_count == sends, context.harness.run_count


@then("the answer came within {seconds:g} s with a retry time")
def step_answer_in_time(context, seconds):
    assert context.result[4] <= seconds, context.result
    assert re.search(r"(?im)^retry-after: \d", context.result[1]), context.result


@when("the entry process closes a connection as a request arrives")
def close_at_arrival(context):
    async def cross(harness):
        answered = []
        for turns in range(12):
            reader, writer = await harness.connect()
            await asyncio.sleep(0.01)
            before = harness.run_count
            writer.write(raw_request(PATHS["at-most-once"], request_id=f"q-{turns}"))
            # The request is read some iterations of the event loop after it was sent.
            for _ in range(turns):
                await asyncio.sleep(0)
            harness.server.close_idle()
            try:
                status, *_ = await asyncio.wait_for(read_answer(reader), 1)
            except (asyncio.IncompleteReadError, ConnectionError):
                status = 0
            await asyncio.sleep(0.01)
            writer.close()
            answered.append((status, harness.run_count - before))
        return answered

    run_in_harness(context, cross)


@then("the request is answered whole or reaches no runner")
def whole_or_none(context):
    assert all(pair in ((200, 1), (0, 0)) for pair in context.result), context.result


@when("the version of the first runner goes out of date while a stream waits there")
def goes_out_of_date(context):
    async def wait(harness):
        loop = asyncio.get_running_loop()
        due = loop.time() + 0.3
        outdated_at = {}

        def begin_by(runner):
            # The runner that is asked first is out of date until another one has been asked.
            outdated_at.setdefault(runner.id, math.inf if outdated_at else now() + 0.3)
            return outdated_at[runner.id] if len(harness.request_heads) <= 1 else math.inf

        harness.fleet.version_bound.begin_by = begin_by
        answer = await fetch(harness, raw_request(PATHS["stream"]))
        context.closed_early = due - min(s.closed_at for s in harness.runners if s.closed_at)
        return answer

    run_in_harness(context, wait)


@when("the first runner begins an order while a stream is under way there{but}")
def step_order_begins(context, but, kind="stream"):
    async def load(harness):
        asking = asyncio.ensure_future(fetch(harness, raw_request(PATHS[kind])))
        await asyncio.sleep(0.3)
        fleet = harness.fleet
        first = next(n for n, scripted in enumerate(harness.runners) if scripted.requests)
        context.first = harness.runners[first]
        if "full" in but:
            other = fleet.directory.get(f"r-{1 - first}")
            fleet.stats.on_report(other, LoadReport(running=4, waiting=2, at=now(), slots=4))
        if "leaves" in but:
            fleet.published.on_runner_announced(fleet.directory.get(f"r-{1 - first}"), "other")
        if "budget" in but:
            fleet.on_limits(evolve(LIMITS, retry_ratio=0.0, retry_slack=0.0))
        context.ordered_at = asyncio.get_running_loop().time()
        for _ in range(12):
            fleet.on_report(RunnerReport(runner=f"r-{first}", born_ms=1, is_busy=True))
            await asyncio.sleep(0.1)
        return await asking

    run_in_harness(context, load)


# Parameters of a step cannot be empty, so the step without a condition is registered as well.
when("the first runner begins an order while a stream is under way there")(
    lambda context: step_order_begins(context, "")
)


@when(
    "the first runner begins an order while a stream of the fixed stream route is under way there"
)
def step_order_fixed(context):
    step_order_begins(context, "", kind="fixed stream")


@then("the first runner sees the end of the connection within {seconds:g} s of the order")
def step_sees_end_of_order(context, seconds):
    assert context.first.closed_at - context.ordered_at <= seconds, (
        context.first.closed_at - context.ordered_at
    )


@then("the first runner sees the end of the connection within 0.1 s of that time")
def sees_end_in_time(context):
    assert context.closed_early > -0.1, context.closed_early


@when("five callers send a request each and close their connections")
def five_callers(context):
    async def send(harness):
        for number in range(5):
            await fetch(harness, raw_request(PATHS["idempotent"], request_id=f"q-{number}"))
        await asyncio.sleep(0.05)
        return harness.server.connections

    run_in_harness(context, send)


@then("the entry process counts no open connection")
def step_no_open_connection(context):
    assert context.result == 0, context.result


HEADER_TIMEOUT_S = 0.4


@when(
    "{count:d} connections send half a header each to an entry process with a limit of {places:d}"
)
def half_headers(context, count, places):
    context.half_sent, context.places = count, places


@when("{count:d} callers send a short request each")
def short_requests(context, count):
    async def send(harness):
        harness.server.on_limits(CallerLimits(header_timeout_s=HEADER_TIMEOUT_S))
        half = [await harness.connect() for _ in range(context.half_sent)]
        for _, writer in half:
            writer.write(raw_request(PATHS["idempotent"])[:30])
        await asyncio.sleep(0.1)
        numbers = range(count)
        statuses = [
            (await fetch(harness, raw_request(PATHS["idempotent"], request_id=f"q-{number}")))[0]
            for number in numbers
        ]
        for _ in range(10):
            await asyncio.sleep(HEADER_TIMEOUT_S / 5)
            harness.server.sweep()
        await asyncio.sleep(0.1)
        left = harness.server.connections
        for _, writer in half:
            writer.close()
        return statuses, left

    run_in_harness(context, send, connections=context.places)


@then("all {count:d} are answered")
def all_answered(context, count):
    assert context.result[0] == [200] * count, context.result[0]


@then("no half-sent connection is open after the header timeout")
def none_half_sent(context):
    assert context.result[1] == 0, context.result[1]


@when("an entry process with a limit of {places:d} connection handles a request")
def places_taken(context, places):
    async def send(harness):
        taken = [await harness.connect() for _ in range(places)]
        for number, (_, writer) in enumerate(taken):
            writer.write(raw_request(PATHS["at-most-once"], request_id=f"q-{number}"))
        await asyncio.sleep(0.1)
        reader, writer = await harness.connect()
        found = await read_answer(reader)
        for _, other in [*taken, (reader, writer)]:
            other.close()
        return found

    run_in_harness(context, send, connections=places)


@then("another connection gets 503 with a retry time")
def other_refused(context):
    status, head, _, is_whole = context.result
    assert status == 503 and is_whole and "Retry-After" in head, head


@when(
    "the drain ends keep-alive while a stream is under way and its caller sends a request after it"
)
def drain_in_stream(context):
    async def send(harness):
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        await reader.readuntil(b"\r\n\r\n")
        harness.server.end_keep_alive()
        rest = b""
        while not rest.endswith(b"0\r\n\r\n"):
            rest += await reader.read(1024)
        writer.write(raw_request(PATHS["idempotent"], request_id="q-2"))
        after = await reader.read()
        await asyncio.sleep(0.1)
        return after

    run_in_harness(context, send)


@then("the stream is whole, its connection ends and the other request reaches no runner")
def ends_with_answer(context):
    assert context.result == b"" and context.harness.run_count == 1, (
        context.result,
        context.harness.run_count,
    )


@then("the runner sent at most {megabytes:g} MB before the connection was closed")
def step_flooded(context, megabytes):
    assert max(runner.flooded_bytes for runner in context.harness.runners) <= megabytes * 1e6, [
        runner.flooded_bytes for runner in context.harness.runners
    ]


@then("the answer came within {seconds:g} s")
def step_came_within(context, seconds):
    assert context.result[-1] <= seconds, context.result[-1]


@then("the log names the request and what was refused")
def step_log_names(context):
    lines = [fields for name, fields in context.harness.log.lines if name == "attempt_ended"]
    assert any(fields["request"] and fields["detail"] for fields in lines), lines
