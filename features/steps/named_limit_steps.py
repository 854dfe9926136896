"""Steps about backend servers that name a limit for all entry processes together."""

import asyncio
import contextlib
import re

from behave import then, when
from direct_forwarding_steps import fetch, run_in_harness
from forwarding_harness import PATHS, ForwardingHarness, raw_request
from named_pause_steps import send_each
from wasabilb_wire.messages import RunnerReport

# The rule of the users: in any window, the requests of processes that were told a while before.
WINDOW_S = 4.0
FACTOR = 1.5
FIXED_REQUESTS = 5
TOLD_S = 0.5


def allowed_requests(per_s):
    return FACTOR * per_s * WINDOW_S + FIXED_REQUESTS


def most_in_window(times):
    """Return the largest number of given sorted times within a window."""
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def sender(request_id):
    return request_id.partition("-")[0]


def counted_arrivals(scripted):
    """Return the arrival times of requests from processes that the runner had told before."""
    told_at = {}
    for at, _, request_id in scripted.named_limits:
        told_at.setdefault(sender(request_id), at)
    found = []
    for at, head in zip(scripted.arrivals, scripted.requests, strict=True):
        request_id = re.search(r"(?im)^request-id: (\S+)", head)[1]
        if at >= told_at.get(sender(request_id), float("inf")) + TOLD_S:
            found.append(at)
    return sorted(found)


@when("{processes:d} entry processes send {kind} requests each {interval:d} ms for {seconds:g} s")
def send_from_processes(context, processes, kind, interval, seconds):
    async def send(first):
        async with contextlib.AsyncExitStack() as stack:
            harnesses = [first]
            for _ in range(processes - 1):
                other = ForwardingHarness(context.behaviours, shared=first)
                harnesses.append(await stack.enter_async_context(other))
            sending = (
                send_each(harness, PATHS[kind], interval / 1000, seconds, prefix=f"e{number}")
                for number, harness in enumerate(harnesses)
            )
            return await asyncio.gather(*sending)

    run_in_harness(context, send)


@then("no runner gets more in 4 s than its limit allows")
def step_within_limit(context):
    for scripted in context.harness.runners:
        assert scripted.named_limits
        per_s = float(scripted.named_limits[0][1])
        most = most_in_window(counted_arrivals(scripted))
        assert most <= allowed_requests(per_s), (most, allowed_requests(per_s))


@then("each caller who is refused is told at once not-run and when to come back")
def step_refused(context):
    refused = [answer for answers in context.result for _, answer in answers if answer[0] != 200]
    assert refused
    for status, head, body, _, took_s in refused:
        assert status == 503 and took_s <= 0.2, (status, took_s)
        assert b'"outcome": "not-run"' in body, body
        assert float(re.search(r"(?im)^retry-after: ([0-9.]+)", head)[1]) > 0, head


@then("the log tells the limit of each runner in each process once")
def step_limits_logged(context):
    lines = [fields for name, fields in context.harness.log.lines if name == "runner_limited"]
    assert sorted(line["runner"] for line in lines) == ["r-0", "r-1"], lines
    assert {line["change"] for line in lines} == {"named"}, lines
    assert {line["limit_per_s"] for line in lines} == {0.5}, lines


@when(
    "{count:d} requests that wait {seconds:g} s for their connection were placed before a server "
    "named its limit"
)
def step_slow_connections(context, count, seconds):
    async def cross(harness):
        acquire = harness.fleet.pool.acquire

        async def slow_acquire(address, **options):
            await asyncio.sleep(seconds)
            return await acquire(address, **options)

        harness.fleet.pool.acquire = slow_acquire
        waiting = [
            asyncio.ensure_future(
                fetch(harness, raw_request(PATHS["idempotent"], request_id=f"w-{n}"))
            )
            for n in range(count)
        ]
        await asyncio.sleep(0.1)
        harness.fleet.pool.acquire = acquire
        for number in range(2):
            data = raw_request(PATHS["idempotent"], request_id=f"r-{number}")
            await fetch(harness, data)
        return await asyncio.gather(*waiting)

    run_in_harness(context, cross)


@then("the servers get at most {count:d} requests")
def step_few_requests(context, count):
    assert all(s.named_limits for s in context.harness.runners)
    found = [len(scripted.requests) for scripted in context.harness.runners]
    assert sum(found) <= count, found


@when("the runner of a stream is to load a version after the other one has named its limit")
def step_move_to_limited(context):
    async def load(harness):
        await fetch(harness, raw_request(PATHS["idempotent"]))
        # A permit may be there; it must not be used for a stream that moves.
        number = next(n for n, s in enumerate(harness.runners) if not s.named_limits)
        pending = asyncio.ensure_future(
            fetch(harness, raw_request(PATHS["stream"], request_id="s"))
        )
        await asyncio.sleep(0.2)
        for _ in range(12):
            harness.fleet.on_report(RunnerReport(runner=f"r-{number}", born_ms=1, is_busy=True))
            await asyncio.sleep(0.1)
        return await pending

    run_in_harness(context, load)


@then("the server that named its limit gets no other request")
def step_one_request(context):
    (limited,) = (s for s in context.harness.runners if s.named_limits)
    assert len(limited.requests) == 1, limited.requests


@then("each process logs the unreadable limit of a runner once")
def step_unreadable_once(context):
    lines = [
        fields["runner"]
        for name, fields in context.harness.log.lines
        if name == "runner_limited" and fields["change"] == "unreadable"
    ]
    assert lines and len(lines) == len(set(lines)), lines


@then("the processes exchange no more messages about limits than without it")
def step_few_messages(context):
    # Permits move each 0.2 s and all limits are told each 2 s, in both directions.
    bound = 2 * (3 / 0.2 + 3 / 2 + 2)
    assert context.harness.network.seen["LimitNotice"] <= bound, context.harness.network.seen


@then("the limits {end}")
def step_limits_end(context, end):
    changes = [
        fields["change"] for name, fields in context.harness.log.lines if name == "runner_limited"
    ]
    assert changes.count("named") == 2, changes
    assert changes.count("ended") == (2 if end == "end" else 0), changes
