"""Steps about the entry of a sound runner that becomes unusable."""

import asyncio

from behave import given, then, when
from direct_forwarding_steps import fetch, read_answer, run_in_harness
from forwarding_harness import PATHS, raw_request
from wasabilb_core.published import StateItem

FOLLOWUPS = 6


async def send_followups(harness, count):
    """Send requests and return how many reached each runner."""
    before = [len(scripted.requests) for scripted in harness.runners]
    for number in range(count):
        status, *_ = await fetch(
            harness, raw_request(PATHS["idempotent"], request_id=f"f-{number}-{sum(before)}")
        )
        assert status == 200, status
    return [len(s.requests) - b for s, b in zip(harness.runners, before, strict=True)]


@given("two runners with a slow stream each")
def step_slow_streams(context):
    context.behaviours = ["answer slowly", "answer slowly", "answer"]


@when("an unusable entry replaces that of one of them while the platform is {platform}")
def step_replace(context, platform):
    async def send(harness):
        published = harness.fleet.published
        reader, writer = await harness.connect()
        writer.write(raw_request(PATHS["stream"]))
        while not any(scripted.requests for scripted in harness.runners):
            await asyncio.sleep(0.01)
        (number,) = [n for n, scripted in enumerate(harness.runners) if scripted.requests]
        other = asyncio.ensure_future(fetch(harness, raw_request(PATHS["stream"], request_id="b")))
        while not all(scripted.requests for scripted in harness.runners):
            await asyncio.sleep(0.01)
        name = f"runner/r-{number}"
        harness.values[b"sound"] = published.directory.get(f"r-{number}")
        published.apply_items([StateItem(name=name, revision=1, body=b"sound")])
        published.on_platform_state(platform == "answering")
        if platform.startswith("back"):
            published.on_platform_state(True)
        published.apply_items([StateItem(name=name, revision=2, body=b"odd")])
        meanwhile = await send_followups(harness, FOLLOWUPS)
        found = await read_answer(reader)
        writer.close()
        await other
        published.apply_items([StateItem(name=name, revision=3, body=b"sound")])
        later = await send_followups(harness, 4 * FOLLOWUPS)
        context.reached = (meanwhile[number], later[number])
        return (*found, 0.0)

    run_in_harness(context, send)


@then("no request that is sent after it reaches it until its entry is sound again")
def step_reached(context):
    meanwhile, later = context.reached
    assert meanwhile == 0 and later > 0, context.reached
    lines = [fields for name, fields in context.harness.log.lines if name == "published_unusable"]
    assert len(lines) == 1, lines
