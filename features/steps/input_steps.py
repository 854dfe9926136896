"""Steps about bad input, on real processes."""

import asyncio
import json

from behave import then, when
from fleet_harness import connect


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


def post(harness, body, *headers, path="/v1/completions"):
    """Return the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: x", *headers]
    lines.append(f"Authorization: Bearer {harness.callers.settings.account_key}")
    if not any(line.startswith(("Transfer", "Content-Length")) for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def chunked(data):
    """Return a chunked body."""
    parts = [data[i : i + 65536] for i in range(0, len(data), 65536)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


@when("{count:d} long streams run and an entry host gets bad input")
def step_bad_input(context, count):
    harness = context.harness
    good = json.dumps({"model": "draft", "prompt": "x [len=3]"}).encode()
    te = "Transfer-Encoding: chunked"
    wrong = json.dumps({"model": "draft", "prompt": ["x"], "max_tokens": "9"}).encode()
    inputs = {
        "malformed JSON": post(harness, b'{"model": '),
        "wrong types": post(harness, wrong),
        "a header of 20 KiB": post(harness, good, "X-Long: " + "x" * 20480),
        "an announced body of 2 MiB": post(harness, b"", f"Content-Length: {2 << 20}"),
        "a chunked body of 2 MiB": post(harness, chunked(b"x" * (2 << 20)), te),
        "a chunked body": post(harness, chunked(good), te),
        "no HTTP at all": b"\x16\x03\x01\x02\x00" + b"\xff" * 200 + b"\r\n\r\n",
    }

    async def scene():
        context.host = harness.fleet.entry_hosts[0]
        harness.send("long", count, entry=context.host)
        await harness.busiest_runner()
        works = [exchange(context.host.callers, data) for data in inputs.values()]
        context.statuses = dict(zip(inputs, await asyncio.gather(*works), strict=True))

    harness.run(scene())


@then("each bad request has its clear error")
def step_clear_errors(context):
    expected = {row["input"]: int(row["status"]) for row in context.table}
    assert context.statuses == expected, context.statuses


@when("a reader of a stream vanishes and garbage arrives on the links")
def step_vanish(context):
    async def scene():
        harness = context.harness
        body = {"model": "draft", "prompt": "gone [len=400]", "max_tokens": 400, "stream": True}
        reader, writer = await connect(context.host.callers)
        writer.write(post(harness, json.dumps(body).encode()))
        await reader.readuntil(b"data: ")
        writer.close()
        context.linked_hosts = [
            context.host,
            harness.fleet.runners[0],
            harness.fleet.hosts["portal-1"],
        ]
        for host in context.linked_hosts:
            for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x08\0\0\0" + b"\x01" * 8):
                _, writer = await connect(host.address)
                writer.write(garbage)
                await writer.drain()
        context.records = await harness.answers()

    context.harness.run(scene())


@then("the engine stops that stream and the garbage is logged")
def step_stopped(context):
    async def scene():
        harness = context.harness
        answers = [a for h in harness.fleet.runners for a in h.engine.answers]
        abandoned = next(a for a in answers if a.prompt == "gone [len=400]")
        await harness.until(lambda: abandoned.state in ("cancelled", "lost"), "the stream ends")
        assert abandoned.position < 300, abandoned.position
        for host in context.linked_hosts:
            await harness.until(
                lambda host=host: len(harness.events(host, "frame_refused")) == 3,
                f"three refusals on {host.name}",
            )

    context.harness.run(scene())
