"""Steps about the connections of callers, on loopback under a virtual clock."""

import asyncio
import random
import re
from types import SimpleNamespace

from behave import given, then, when
from forwarding_harness import RecordingLog, raw_request
from memory_links import VirtualSocketLoop, run_virtual
from tornado.httputil import HTTPHeaders
from wasabilb_core.catalog import CallerLimits
from wasabilb_entry.caller_connection import CallerServer

SWEEP_S = 1.0
REQUEST = raw_request("/once/x")
HEADER_END = REQUEST.index(b"\r\n\r\n") + 4
SMALL = {"header_bytes": 1024, "body_bytes": 1024}
LARGE = {"header_bytes": 16_384, "body_bytes": 16_384}


class Server:
    """A caller server that answers each request after a while."""

    def __init__(self, *, answer_s=0.0, connections=50):
        self.answer_s, self.passed_on, self.answered = answer_s, 0, 0
        self.log = RecordingLog()
        self.callers = CallerServer(
            on_request=self.on_request, log=self.log, connections=connections
        )
        self.port = self.callers.listen("127.0.0.1:0")[0].getsockname()[1]
        self.sweeping = asyncio.ensure_future(self.sweep())

    async def sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S)
            self.callers.sweep()

    def on_request(self, req):
        self.passed_on += 1
        asyncio.get_running_loop().call_later(self.answer_s, self.answer, req)

    def answer(self, req):
        self.answered += 1
        if not req.is_caller_gone:
            req.answer(200, HTTPHeaders(), b"ok")

    def set_limits(self, idle_s, **sizes):
        self.callers.on_limits(
            CallerLimits(idle_timeout_s=idle_s, header_timeout_s=idle_s, **sizes)
        )

    @property
    def dropped(self):
        return [name for name, _ in self.log.lines].count("request_dropped")

    async def stop(self):
        self.sweeping.cancel()
        self.callers.stop_accepting()
        self.callers.close_all()
        await asyncio.sleep(0.01)


class Caller:
    """A caller's connection that counts the answers."""

    def __init__(self, server):
        self.server, self.data, self.is_open, self.has_left = server, b"", False, False
        self.rest, self.sent = b"", 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.is_open = True
        self.reading = asyncio.ensure_future(self.read())

    async def read(self):
        try:
            while data := await self.reader.read(65536):
                self.data += data
        except ConnectionError:
            pass
        self.is_open = False

    def send(self, data):
        if self.is_open:
            self.writer.write(data)

    def close(self):
        self.has_left = self.has_left or self.is_open
        self.writer.close()

    @property
    def answers(self):
        return len(re.findall(rb"HTTP/1.1 200", self.data))


# What a connection has sent before the change and sends after it.
PARTS = {
    "a request": (b"", [REQUEST]),
    "half a header": (REQUEST[:20], [REQUEST[20:]]),
    "a body": (REQUEST[:HEADER_END], [REQUEST[HEADER_END:]]),
    "a slow body": (REQUEST[:HEADER_END], [REQUEST[HEADER_END:-1], REQUEST[-1:]]),
    "a larger body": (
        b"",
        [REQUEST[:-2].replace(b"Length: 2", b"Length: 8000") + b"x" * 8000],
    ),
    "a larger header": (
        b"",
        [REQUEST.replace(b"Host:", b"X: " + b"x" * 8000 + b"\r\nHost:")],
    ),
}


@given("a connection that waits for {what} under an idle time of {idle:g} s")
def step_waiting(context, what, idle):
    context.what, context.idle = what, idle


def play(context, scene):
    async def main():
        server = Server()
        server.set_limits(context.idle, **SMALL)
        caller = Caller(server)
        await caller.connect()
        before, after = PARTS[context.what]
        caller.send(before)
        await asyncio.sleep(0.01)
        await scene(server, caller, after)
        await asyncio.sleep(0.05)
        context.result = SimpleNamespace(answers=caller.answers, is_open=caller.is_open)
        caller.close()
        await server.stop()

    run_virtual(main, VirtualSocketLoop)


@when("an idle time of {idle:g} s is named and {what} comes after {pause:g} s")
def step_new_limits(context, idle, what, pause):
    async def scene(server, caller, parts):
        server.set_limits(idle, **LARGE)
        for part in parts:
            await asyncio.sleep(pause)
            caller.send(part)

    play(context, scene)


@when("nothing more comes for {pause:g} s")
def step_nothing(context, pause):
    async def scene(server, caller, parts):
        await asyncio.sleep(pause)

    play(context, scene)


@when("a request comes after {sent:g} s and the process stands still until {until:g} s have passed")
def step_stands_still(context, sent, until):
    async def scene(server, caller, parts):
        await asyncio.sleep(sent)
        caller.send(parts[0])
        # Both the arrival and the end of the idle time are due in the next look of the loop.
        asyncio.get_running_loop().now_s += until - sent
        server.callers.sweep()
        await asyncio.sleep(0.01)

    play(context, scene)


@then("the request is answered")
def step_answered(context):
    assert context.result.answers == 1, context.result


@then("the connection is closed")
def step_closed(context):
    assert not context.result.is_open, context.result


class Episode:
    """A seeded sequence of events on a few connections of one server."""

    def __init__(self, seed):
        self.rng = random.Random(seed)

    async def play(self):
        rng = self.rng
        server = Server(answer_s=rng.choice([0.0, 0.0, 0.001, 0.5]), connections=5)
        read = record_reads(server)
        callers = []
        for _ in range(40):
            self.step(server, callers)
            if rng.random() < 0.25:
                callers.append(await self.connect(server))
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.0, 0.0001, 0.002, 0.7, 3.0]))
        await asyncio.sleep(1.0)
        answers = sum(caller.answers for caller in callers)
        left = sum(caller.has_left for caller in callers)
        whole = sum(whole_requests(data) for data in read.values())
        passed_on, dropped = server.passed_on, server.dropped
        for caller in callers:
            caller.close()
        await server.stop()
        return SimpleNamespace(
            whole=whole, passed_on=passed_on, dropped=dropped, answers=answers, left=left
        )

    async def connect(self, server):
        caller = Caller(server)
        try:
            await caller.connect()
        except ConnectionError:
            caller.reader = caller.writer = None
        return caller

    def step(self, server, callers):
        """Let one thing happen."""
        rng, open_callers = self.rng, [caller for caller in callers if caller.is_open]
        kind = rng.choice(["send", "send", "send", "limits", "sweep", "stall", "leave", "stop"])
        if kind == "limits":
            server.set_limits(rng.choice([0.5, 1.0, 3.0]))
        elif kind == "sweep":
            server.callers.sweep()
        elif kind == "stall":
            asyncio.get_running_loop().now_s += rng.choice([0.3, 1.2])
        elif kind == "stop" and rng.random() < 0.3:
            server.callers.end_keep_alive()
            server.callers.close_idle()
        elif open_callers and kind == "leave" and rng.random() < 0.2:
            rng.choice(open_callers).close()
        elif open_callers and kind == "send":
            caller = rng.choice(open_callers)
            if not caller.rest:
                # Callers wait for an answer before the next request.
                if caller.answers < caller.sent:
                    return
                caller.rest, caller.sent = REQUEST, caller.sent + 1
            rest = caller.rest
            size = rng.choice([len(rest), len(rest), len(rest) - 1, HEADER_END, 10])
            caller.send(rest[:size])
            caller.rest = rest[size:]


def record_reads(server):
    """Record what the server reads, by connection."""
    read = {}
    handle_stream = server.callers._server.handle_stream

    def handle(stream, address):
        read_from_fd = stream.read_from_fd

        def record(buf):
            count = read_from_fd(buf)
            read[stream] = read.get(stream, b"") + bytes(buf[: count or 0])
            return count

        stream.read_from_fd = record
        handle_stream(stream, address)

    server.callers._server.handle_stream = handle
    return read


def whole_requests(data):
    return len(data) // len(REQUEST)


@when("{count:d} seeded sequences of requests, new limits, sweeps, closes and stops are played")
def step_episodes(context, count):
    context.found = {
        seed: run_virtual(lambda seed=seed: Episode(seed).play(), VirtualSocketLoop)
        for seed in range(count)
    }


@then("each request that was read whole is answered, or its caller had left")
def step_no_loss(context):
    wrong = {
        seed: found
        for seed, found in context.found.items()
        if found.whole != found.passed_on + found.dropped
        or found.passed_on - found.answers > found.left
        or found.dropped > found.left
    }
    assert not wrong, (len(wrong), list(wrong.items())[:5])
    assert sum(found.answers for found in context.found.values()) > len(context.found)
