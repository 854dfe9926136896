"""Steps about stand-ins that crash under a request."""

import asyncio
import time

from behave import given, then, when
from standin_steps import begin, call, run
from wasabilb_standins.callers import Callers
from wasabilb_standins.engine import Engine
from wasabilb_standins.service import Service

# Limit that only ends a scenario that hangs, seconds.
BACK_LIMIT_S = 10.0


def engine_request(*, is_stream):
    """Return what sends a text to an engine."""

    async def send(engine, text):
        body = {"model": "draft", "prompt": f"{text} [len=3]", "max_tokens": 9}
        return await call(engine, "/v1/completions", "POST", {**body, "stream": is_stream})

    return send


async def send_path(service, text):
    """Send a text as the path of a request."""
    return await call(service, f"/records/{text}")


async def send_body(service, text):
    """Send a text as the body of a request."""
    return await call(service, "/records", "POST", {"text": text})


@given('{server} that crashes for {seconds:f} seconds under requests with the text "{text}"')
def given_crashing(context, server, seconds, text):
    if server.startswith("an engine"):
        context.server = begin(context, Engine(models="draft@v1", token_s=0.001))
        context.send = engine_request(is_stream="streamed" in server)
        context.runs = lambda: sum(text in answer.prompt for answer in context.server.answers)
    else:
        context.server = begin(context, Service())
        context.send = send_body if "body" in server else send_path
        context.runs = lambda: context.server.total - context.answered
    context.server.set_faults(crash_text=text, crash_s=seconds)
    context.deadly_text, context.answered = text, 0


async def until_back(context):
    """Wait until a request without the text is answered."""
    limit = time.monotonic() + BACK_LIMIT_S
    while (await context.send(context.server, "sound"))[0] != 200:
        assert time.monotonic() < limit, "the server is not back"
        await asyncio.sleep(0.02)
    context.answered += 1


@when("a request with the text is sent twice, and one without it before and after each")
def send_in_turn(context):
    async def scene():
        await until_back(context)
        context.broken = []
        for _ in range(2):
            context.broken.append(await context.send(context.server, context.deadly_text))
            context.broken.append(await context.send(context.server, "refused while down"))
            await until_back(context)

    run(context, scene())


@then("the requests without the text are answered, and those with it began to run and broke off")
def check_runs(context):
    assert context.answered == 3 and context.runs() == 2, (context.answered, context.runs())
    assert [status for status, _, _ in context.broken] == [0] * 4, context.broken


@then("the server has crashed twice")
def check_crashes(context):
    assert context.server.crashes == 2, context.server.crashes


@when('callers send {count:d} requests of the kind "{kind}"')
def send_same(context, count, kind):
    callers = Callers(entries=[f"127.0.0.1:{context.server.port}"], same_text="status", seed=1)
    for _ in range(count):
        run(context, callers.call(kind))


@then("all have the same method, path and body")
def check_same(context):
    calls = [{**found, "at": 0.0} for found in context.server.record()["calls"]]
    assert len(calls) == 3 and calls == calls[:1] * 3, calls
