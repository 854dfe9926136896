"""Steps about callers that do not read their streams for a while."""

import asyncio
import re

from behave import given, then, when
from forwarding_harness import PATHS, ForwardingHarness, raw_request
from scripted_runner import ScriptedRunner, chunk
from wasabilb_node.clock import now

# More than the buffers of two loopback connections hold.
EVENTS, EVENT_BYTES = 40, 200_000
# The caller buffers little, so that it stops reading when its step does.
CALLER_BUFFER_BYTES = 1 << 16
PAUSE_S, CHECK_S = 1.9, 0.1


class LargeEventsRunner(ScriptedRunner):
    """Runner whose streams have large events."""

    async def stream(self, action, start, events, reader, writer):
        writer.write(start + b"Transfer-Encoding: chunked\r\n\r\n")
        last_event = re.search(r"(?im)^last-event-id: (\d+)", self.requests[-1])
        for number in range(int(last_event[1]) + 1 if last_event else 1, EVENTS + 1):
            writer.write(chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


@given("runners whose streams have more events than connections buffer")
def given_large_events(context):
    context.unusable_at, context.got = [], b""


async def wait(context, harness, seconds):
    """Wait, and record when a runner gets no requests and whether the stream is in progress."""
    until = now() + seconds
    while now() < until:
        usable = harness.fleet.stats.pauses.may_send
        context.unusable_at += [now() for r in harness.fleet.directory if not usable(r, now())]
        await asyncio.sleep(CHECK_S)
    context.in_progress = harness.forwarder.in_progress


def with_stream(context, use):
    async def run():
        runners = [LargeEventsRunner(["answer"]) for _ in range(2)]
        async with ForwardingHarness(["answer"], runners=runners) as harness:
            context.harness = harness
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.port, limit=CALLER_BUFFER_BYTES
            )
            writer.write(raw_request(PATHS["stream"]))
            await use(harness, reader)
            writer.close()
            await harness.settle()

    asyncio.run(run())


@when("a caller does not read its stream for 1.9 s and then goes on")
def step_pause(context):
    async def use(harness, reader):
        await wait(context, harness, PAUSE_S)
        while not context.got.endswith(b"\r\n0\r\n\r\n"):
            data = await asyncio.wait_for(reader.read(1 << 20), 1.0)
            if not data:
                break
            context.got += data

    with_stream(context, use)


@when("a caller does not read its stream until 0.5 s after its timeout, and a runner loads")
def step_never(context):
    async def use(harness, reader):
        await wait(context, harness, 1.0)
        for runner in harness.fleet.directory:
            harness.fleet.stream_mover.on_report(runner.id, is_busy=True)
        await wait(context, harness, 2.5)

    with_stream(context, use)


@then("it gets all its large events once")
def step_all(context):
    ids = [int(number) for number in re.findall(rb"id: (\d+)\n", context.got)]
    assert ids == list(range(1, EVENTS + 1)), ids


@then("one runner ran the stream, and both could get requests all the time")
def step_one_run(context):
    assert context.harness.run_count == 1, context.harness.run_count
    assert not context.unusable_at, len(context.unusable_at)


@then("its stream is no longer in progress")
def step_ended(context):
    assert context.in_progress == 0, context.in_progress
