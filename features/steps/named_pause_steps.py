"""Steps about runners that name a time without requests, on real sockets."""

import asyncio
import re

from attrs import evolve
from behave import given, then, when
from direct_forwarding_steps import fetch, run_in_harness
from forwarding_harness import PATHS, ForwardingHarness, raw_request
from scripted_runner import BODY
from wasabilb_core.runner_pauses import MAX_SPREAD_S
from wasabilb_node.clock import now
from wasabilb_wire.messages import RunnerReport

# Requests may be sent or in transit until the refusal has arrived.
TRANSIT_S = 0.5
# Scheduling delay on a loaded machine.
DELAY_SLACK_S = 0.1


@given("runners that in turn {behaviours}")
def given_in_turn(context, behaviours):
    parts = [part.strip().removeprefix("then ") for part in behaviours.split(",")]
    context.behaviours = parts


async def send_each(harness, path, interval_s, seconds, *, prefix="q"):
    """Send requests at a steady rate and return the send time and answer of each."""
    loop = asyncio.get_running_loop()
    sent = []
    for number in range(round(seconds / interval_s)):
        data = raw_request(path, request_id=f"{prefix}-{number}")
        sent.append((loop.time(), asyncio.ensure_future(fetch(harness, data))))
        await asyncio.sleep(interval_s)
    answers = await asyncio.gather(*(task for _, task in sent), return_exceptions=True)
    return [(at, answer) for (at, _), answer in zip(sent, answers, strict=True)]


@when("callers send a request on the {kind} route each {interval:d} ms for {seconds:g} s")
def send_steadily(context, kind, interval, seconds):
    run_in_harness(
        context, lambda harness: send_each(harness, PATHS[kind], interval / 1000, seconds)
    )


def load_others(harness, address):
    """Add load to the other runners, so that routing prefers this one."""
    for runner in harness.fleet.directory:
        if runner.address != address:
            for _ in range(3):
                harness.fleet.stats.on_sent(runner, now())


@when("callers send requests each 25 ms for {seconds:g} s while the other runner looks loaded")
def send_to_one(context, seconds):
    async def send(harness):
        sending = asyncio.ensure_future(send_each(harness, PATHS["idempotent"], 0.025, seconds))
        while not any(s.pauses for s in harness.runners):
            await asyncio.sleep(0.005)
        load_others(harness, next(s.address for s in harness.runners if s.pauses))
        return await sending

    run_in_harness(context, send)


def early_arrivals(scripted, at, seconds):
    """Return the arrivals from half a second after a refusal to the end of the named time."""
    return [t - at for t in scripted.arrivals if at + TRANSIT_S <= t < at + seconds]


@then("no request reaches a runner from half a second after its refusal to the end of its time")
def step_no_early_arrival(context):
    pauses = [(s, *name) for s in context.harness.runners for name in s.pauses]
    assert pauses
    for scripted, at, seconds in pauses:
        assert not early_arrivals(scripted, at, seconds), early_arrivals(scripted, at, seconds)


@then("the runner that named a time gets requests after its end")
def step_requests_after_pause(context):
    (scripted,) = (s for s in context.harness.runners if s.pauses)
    ((at, seconds),) = scripted.pauses
    assert any(t >= at + seconds for t in scripted.arrivals), scripted.arrivals


def refusals(context):
    """Return the send time and answer of each refused request."""
    found = [(at, answer) for at, answer in context.result if answer[0] == 503]
    assert found
    return found


@then("each refused caller gets the outcome not-run at once")
def step_refused_at_once(context):
    for _, (_, _, body, _, took_s) in refusals(context):
        assert b'"outcome": "not-run"' in body, body
        assert took_s <= 0.2, took_s


@then("none of them gets a retry time before the end of the first named time")
def step_retry_time(context):
    first = min(at + seconds for s in context.harness.runners for at, seconds in s.pauses)
    for at, (_, head, _, _, took_s) in refusals(context):
        after = float(re.search(r"(?im)^retry-after: ([0-9.]+)", head)[1])
        assert at + took_s + after >= first - 0.01, (at, after, first)


@then("the log has one line for each refusal with its time")
def step_logged(context):
    lines = [fields for name, fields in context.harness.log.lines if name == "runner_paused"]
    pauses = [seconds for s in context.harness.runners for _, seconds in s.pauses]
    assert sorted(line["pause_ms"] for line in lines) == sorted(1000 * s for s in pauses), lines
    assert all(line["reading"] == "exact" and line["request"] for line in lines), lines


@when(
    "a request that waits {seconds:g} s for its connection was placed before the runner refused one"
)
def slow_connection(context, seconds):
    async def cross(harness):
        acquire, waits = harness.fleet.pool.acquire, [seconds]

        async def slow_acquire(address, **options):
            # Only the first connection is slow, and only to the runner that refuses.
            if waits:
                context.slow = address
                await asyncio.sleep(waits.pop())
            return await acquire(address, **options)

        harness.fleet.pool.acquire = slow_acquire
        waiting = asyncio.ensure_future(
            fetch(harness, raw_request(PATHS["idempotent"], request_id="w"))
        )
        while not hasattr(context, "slow"):
            await asyncio.sleep(0.005)
        # The next request goes to the same runner.
        load_others(harness, context.slow)
        await fetch(harness, raw_request(PATHS["idempotent"], request_id="r"))
        return await waiting

    run_in_harness(context, cross)
    (scripted,) = (s for s in context.harness.runners if s.pauses)
    assert scripted.address == context.slow


@then("the caller of the request that waited gets the whole answer")
def waited_answer(context):
    assert context.result[0] == 200 and context.result[2] == BODY + b"w", context.result


@when("the runner that refused is listed again {again} at {seconds:g} s while callers go on")
def listed_again(context, again, seconds):
    async def relist(harness):
        pending = asyncio.ensure_future(send_each(harness, PATHS["idempotent"], 0.025, 2.4))
        await asyncio.sleep(seconds)
        number = next(n for n, s in enumerate(harness.runners) if s.pauses)
        fleet = harness.fleet
        runner = fleet.directory.get(f"r-{number}")
        later = evolve(runner, born_ms=runner.born_ms + 1)
        fleet.directory.on_removed(runner.id, now())
        fleet.stats.forget(runner.id, now())
        await asyncio.sleep(0.1)
        entries = {
            "in the same incarnation": [runner],
            "in a later incarnation": [later],
            "in a later and the same incarnation": [later, runner],
        }
        for entry in entries[again]:
            fleet.directory.on_listed(entry)
            fleet.views("s", context.any_request)
        return await pending

    from wasabilb_core.routing import RouteRequest

    context.any_request = RouteRequest()
    run_in_harness(context, relist)


@then("it gets requests {when_} the end of its time")
def gets_requests(context, when_):
    (scripted,) = (s for s in context.harness.runners if s.pauses)
    ((at, seconds),) = scripted.pauses
    within = early_arrivals(scripted, at, seconds)
    assert bool(within) == (when_ == "before"), within
    assert any(t >= at + seconds for t in scripted.arrivals)


@when("the runner of a stream is to load a version after the other one has named a time")
def step_move_to_paused(context):
    async def load(harness):
        await fetch(harness, raw_request(PATHS["idempotent"]))
        pending = asyncio.ensure_future(
            fetch(harness, raw_request(PATHS["stream"], request_id="s"))
        )
        await asyncio.sleep(0.6)
        number = next(n for n, s in enumerate(harness.runners) if not s.pauses)
        for _ in range(12):
            harness.fleet.on_report(RunnerReport(runner=f"r-{number}", born_ms=1, is_busy=True))
            await asyncio.sleep(0.1)
        return await pending

    run_in_harness(context, load)


@when("two entry processes send requests each {interval:d} ms for {seconds:g} s")
def two_processes(context, interval, seconds):
    async def both(first):
        async with ForwardingHarness(context.behaviours, shared=first) as second:
            # The first process receives its times before the second one sends.
            await fetch(first, raw_request(PATHS["idempotent"], request_id="a-0"))
            await fetch(second, raw_request(PATHS["idempotent"], request_id="b-0"))
            await asyncio.gather(
                *(
                    send_each(harness, PATHS["idempotent"], interval / 1000, seconds, prefix=prefix)
                    for harness, prefix in ((first, "a"), (second, "b"))
                )
            )

    run_in_harness(context, both)


@then("each process respects the times that it received and no longer")
def step_own_pauses(context):
    for scripted in context.harness.runners:
        assert [seconds for _, seconds in scripted.pauses] == [2.2, 0.9], scripted.pauses
        for prefix, (at, seconds) in zip("ab", scripted.pauses, strict=True):
            own = [
                t - at
                for t, head in zip(scripted.arrivals, scripted.requests, strict=True)
                if f"Request-Id: {prefix}-" in head
            ]
            later = [t for t in own if t >= TRANSIT_S]
            assert all(t >= seconds for t in later), (prefix, later)
            latest = seconds + MAX_SPREAD_S + DELAY_SLACK_S
            assert any(t < latest for t in later), (prefix, later)
