"""Steps about bad input, on real processes."""

import asyncio
import json

from behave import then, when
from stage import connect


async def exchange(address, data):
    """Send bytes and return the status of the answer, 0 when the connection ends without one."""
    reader, writer = await connect(address)
    try:
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), 5.0)
        return int(line.split()[1]) if line else 0
    except (ConnectionError, IndexError):
        return 0
    finally:
        writer.close()


def post(stage, body, *headers, path="/v1/completions"):
    """Return the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: x", *headers]
    lines.append(f"Authorization: Bearer {stage.callers.settings.account_key}")
    if not any(line.startswith(("Transfer", "Content-Length")) for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def chunked(data):
    """Return a chunked body."""
    parts = [data[i : i + 65536] for i in range(0, len(data), 65536)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


@when("{count:d} long streams run and an entry host gets bad input")
def step_bad_input(context, count):
    stage = context.stage
    good = json.dumps({"model": "draft", "prompt": "x [len=3]"}).encode()
    te = "Transfer-Encoding: chunked"
    wrong = json.dumps({"model": "draft", "prompt": ["x"], "max_tokens": "9"}).encode()
    inputs = {
        "malformed JSON": post(stage, b'{"model": '),
        "wrong types": post(stage, wrong),
        "a header of 20 KiB": post(stage, good, "X-Long: " + "x" * 20480),
        "an announced body of 2 MiB": post(stage, b"", f"Content-Length: {2 << 20}"),
        "a chunked body of 2 MiB": post(stage, chunked(b"x" * (2 << 20)), te),
        "a chunked body": post(stage, chunked(good), te),
        "no HTTP at all": b"\x16\x03\x01\x02\x00" + b"\xff" * 200 + b"\r\n\r\n",
    }

    async def scene():
        context.host = stage.fleet.entry_hosts[0]
        stage.send("long", count, entry=context.host)
        await stage.busiest()
        works = [exchange(context.host.callers, data) for data in inputs.values()]
        context.statuses = dict(zip(inputs, await asyncio.gather(*works), strict=True))

    stage.run(scene())


@then("each bad request has its clear error")
def step_clear_errors(context):
    expected = {row["input"]: int(row["status"]) for row in context.table}
    assert context.statuses == expected, context.statuses


@when("a reader of a stream vanishes and garbage arrives on the links")
def step_vanish(context):
    async def scene():
        stage = context.stage
        body = {"model": "draft", "prompt": "gone [len=400]", "max_tokens": 400, "stream": True}
        reader, writer = await connect(context.host.callers)
        writer.write(post(stage, json.dumps(body).encode()))
        await reader.readuntil(b"data: ")
        writer.close()
        context.linked_hosts = [context.host, stage.fleet.runners[0], stage.fleet.hosts["portal-1"]]
        for host in context.linked_hosts:
            for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x08\0\0\0" + b"\x01" * 8):
                _, writer = await connect(host.address)
                writer.write(garbage)
                await writer.drain()
        context.records = await stage.answers()

    context.stage.run(scene())


@then("the engine stops that stream and the garbage is logged")
def step_stopped(context):
    async def scene():
        stage = context.stage
        answers = [a for h in stage.fleet.runners for a in h.engine.answers]
        abandoned = next(a for a in answers if a.prompt == "gone [len=400]")
        await stage.until(lambda: abandoned.state in ("cancelled", "lost"), "the stream ends")
        assert abandoned.position < 300, abandoned.position
        for host in context.linked_hosts:
            await stage.until(
                lambda host=host: len(stage.events(host, "frame_refused")) == 3,
                f"three refusals on {host.name}",
            )

    context.stage.run(scene())
