"""Steps about answers that do not end, and the requests of other callers meanwhile."""

import asyncio
import contextlib
import logging
import math
import random
import re
import socket
import threading
import time
from functools import partial

import platform_examples  # noqa: F401  Makes the platform's adapter importable.
from behave import given, then, when
from direct_forwarding_steps import fetch, run_in_harness
from forwarding_harness import PATHS, RecordingLog, raw_request
from returns.result import Failure
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from wasabilb_agent._http_stream import new_client, stream_exchange
from wasabilb_agent._store_client import StoreClient
from wasabilb_agent.engine_client import EngineClient
from wasabilb_core import event_stream
from wasabilb_core.event_stream import EventBuffer, StreamAllowance
from wasabilb_core.loop_share import LoopShare
from wasabilb_core.manifest import Manifest
from wasabilb_core.tickets import Variant
from wasabilb_node._http_connection import KeepAliveStream
from wasabilb_node.http_client import Connection, ConnectionPool, ReadOutcome
from wasabilb_node.logs import EventLog
from wasabilb_node.loop_delay import LoopDelayMonitor
from wasabilb_node.metrics import Metrics
from wasabilb_node.platform_client import PlatformClient
from wasabilb_platform.origin_client import OriginClient
from wasabilb_platform.runner_client import RunnerClient
from wasabilb_wire.codec import encode
from wasabilb_wire.link import Link
from wasabilb_wire.messages import SendNotice
from wasabilb_wire.read_turns import ReadTurn

# A flood ends by itself, so that a process that it stops goes on and the scenario fails.
FLOOD_S = 4.0
# Bytes that two sockets on loopback hold at most: the server's buffer is fixed, and the other one
# grows only as its process reads.
SOCKET_BYTES = 12 << 20
SEND_BUFFER_BYTES = 64 << 10
BLOCKS = {
    "line feeds": b"\n" * 16384,
    "comments": b":\n\n" * 5000,
    "small events": b"data: x\n\n" * 1800,
    "header lines": b"X: y\r\n" * 2700,
    "one header": b"X: " + b"y" * 16384,
    "events of 16 KB": b"data: " + b"x" * 16376 + b"\n\n",
}
HEADS = ("header lines", "one header")
LENGTHS = {
    "": b"",
    "without a length": b"",
    "with a length": b"Content-Length: 15000000\r\n",
    "in small chunks": b"Transfer-Encoding: chunked\r\n",
}
SMALL_CHUNKS = b"9\r\ndata: x\n\n\r\n" * 1200


class FloodingServer:
    """Backend server in threads that answers streams without end and other requests at once.

    With `is_engine`, every request is one for a stream, of a client without identifiers.
    """

    def __init__(self, form, *, is_engine=False):
        self.is_engine, self.sent_bytes = is_engine, 0
        name = next(name for name in BLOCKS if form.startswith(name))
        length = form.removeprefix(name).strip()
        self.is_head = name in HEADS
        self.block = SMALL_CHUNKS if length == "in small chunks" else BLOCKS[name]
        self.headers = b"Content-Type: text/event-stream\r\n" + LENGTHS[length]
        self.closed_at = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        # Accepted sockets have the same.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    async def start(self):
        return self.address

    async def stop(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        data = b""
        with sock:
            if self.is_engine:
                sock.recv(4096)
                self.flood(sock, b"HTTP/1.1 200 OK\r\nEngine-Model: m\r\nEngine-Version: 1\r\n")
                return
            while True:
                while b"\r\n\r\nhi" not in data:
                    part = sock.recv(4096)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\nhi")
                request_id = re.search(rb"(?im)^request-id: (\S+)", head)[1]
                start = b"HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: %s\r\n" % request_id
                if b" /stream/" in head:
                    self.flood(sock, start)
                    return
                sock.sendall(start + b"Content-Length: 2\r\n\r\nok")

    def flood(self, sock, start):
        until = time.monotonic() + FLOOD_S
        try:
            sock.sendall(start + self.headers + (b"" if self.is_head else b"\r\n"))
            while time.monotonic() < until:
                sock.sendall(self.block)
                self.sent_bytes += len(self.block)
        except OSError:
            pass
        self.closed_at.append(time.monotonic())


async def read_stream(harness, number, timeout_s):
    """Read a stream until it ends, and return how long it lasted."""
    reader, writer = await harness.connect()
    began = time.monotonic()
    extra = f"Timeout: {timeout_s}\r\n"
    writer.write(raw_request(PATHS["stream"], request_id=f"stream-{number}", extra=extra))
    while await reader.read(1 << 16):
        # A client of its own; this one must not hold the loop either.
        await asyncio.sleep(0)
    writer.close()
    return time.monotonic() - began


async def watch_loop(context):
    """Note how long another task of the event loop waits at most."""
    while True:
        due = time.monotonic() + 0.01
        try:
            await asyncio.sleep(0.01)
        finally:
            # Also when it is cancelled before the loop has come back to it.
            context.longest_wait_s = max(context.longest_wait_s, time.monotonic() - due)


def send_beside(context, seconds, streams, timeout_s):
    async def send_all(harness):
        await fetch(harness, raw_request(PATHS["at-most-once"], request_id="q-0"))
        context.began = time.monotonic()
        open_streams = [
            asyncio.ensure_future(read_stream(harness, n, timeout_s)) for n in range(streams)
        ]
        others = []
        while time.monotonic() < context.began + seconds:
            data = raw_request(PATHS["at-most-once"], request_id=f"q-{len(others) + 1}")
            others.append(asyncio.ensure_future(timed_fetch(harness, data)))
            await asyncio.sleep(0.05)
        context.others = await asyncio.gather(*others)
        context.streams = await asyncio.gather(*open_streams)

    context.server = FloodingServer(context.form)
    run_in_harness(context, send_all, runners=[context.server])


async def timed_fetch(harness, data):
    began = time.monotonic()
    status = (await fetch(harness, data))[0]
    return status, time.monotonic() - began


@given("a backend server that answers streams with {form} without end")
def given_flooding(context, form):
    context.form = form
    context.behaviours = []


@when("callers send requests for {seconds:g} s while a stream of {timeout:g} s is open there")
def step_beside_one(context, seconds, timeout):
    send_beside(context, seconds, 1, timeout)


@when("callers send requests for {seconds:g} s while {n:d} streams of {timeout:g} s are open there")
def step_beside_many(context, seconds, n, timeout):
    send_beside(context, seconds, n, timeout)


@then("each of these requests was answered within {seconds:g} s")
def step_answered(context, seconds):
    late = [took for _, took in context.others if took > seconds]
    assert len(context.others) >= 10 and not late, (len(context.others), late)
    # Beside many streams a runner without a free slot may refuse, but the caller gets an answer.
    assert {status for status, _ in context.others} <= {200, 503}, context.others


@then("the stream and its connection to the server ended within {seconds:g} s")
def step_ended(context, seconds):
    assert max(context.streams) <= seconds, context.streams
    ends = [at - context.began for at in context.server.closed_at]
    assert ends and max(ends) <= seconds, ends


@when(
    "an agent {call} from a backend server that sends {form} without end, for at most {timeout:g} s"
)
def step_agent_call(context, call, form, timeout):
    context.server = FloodingServer(form, is_engine=True)
    context.longest_wait_s = 0.0

    async def main():
        watch = asyncio.ensure_future(watch_loop(context))
        context.began = time.monotonic()
        await AGENT_CALLS[call](f"http://{context.server.address}", timeout)
        context.took_s = time.monotonic() - context.began
        watch.cancel()
        # The server notices the end of its connection.
        await asyncio.sleep(0.2)
        await context.server.stop()

    asyncio.run(main())


async def call_platform(address):
    log = EventLog(process="t", role="t", host="t", failure_domain="a", incarnation="1")
    metrics = Metrics(address="", role="entry", host="t", log=log)
    url = f"http://{address}"
    return await PlatformClient(config_service=url, host_list=url, metrics=metrics).index()


async def call_runner(address, make_call):
    pool = ConnectionPool(max_idle=1)
    return await make_call(RunnerClient(pool=pool, address=address))


async def call_origin(address, make_call):
    pool = ConnectionPool(max_idle=1)
    return await make_call(OriginClient(pool=pool, address=lambda: address))


VARIANT = Variant(model="m", adapter="", version="2")
MANIFEST = Manifest(
    model="m", version="2", adapter="", size=64, chunk_size=64, chunks=("a" * 64,), digest=""
)
ORDER = {"fence": 1, "orders": 1, "send_by": math.inf}
CALLS = {
    "reads the index of tickets": call_platform,
    "reads the state of an engine": lambda address: EngineClient(
        url=f"http://{address}", orders_token=""
    ).status(),
    "reads a manifest of the store": lambda address: StoreClient(url=f"http://{address}").manifest(
        VARIANT
    ),
    "reads a chunk of the store": lambda address: StoreClient(url=f"http://{address}").chunk(
        MANIFEST, 0
    ),
    "reads the state of a runner": partial(call_runner, make_call=lambda c: c.state()),
    "reads a staged chunk": partial(
        call_runner, make_call=lambda c: c.staged_chunk("m", 0, max_bytes=1 << 17)
    ),
    "orders a load": partial(call_runner, make_call=lambda c: c.load("m", 2, **ORDER)),
    "reads a manifest of the origin": partial(call_origin, make_call=lambda c: c.manifest(VARIANT)),
    "reads a chunk of the origin": partial(call_origin, make_call=lambda c: c.chunk(MANIFEST, 0)),
}


@when("a process {call} and gets {form} without end")
def step_endless_call(context, call, form):
    context.server = FloodingServer(form, is_engine=True)

    async def main():
        context.answer = await asyncio.wait_for(CALLS[call](context.server.address), 10)
        await asyncio.sleep(0.2)
        await context.server.stop()

    # The library logs malformed answers.
    logger = logging.getLogger("tornado")
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        asyncio.run(main())
    finally:
        logger.setLevel(level)


@then(
    "the call failed, and the server could send at most {megabytes:g} MB beside what sockets hold"
)
def step_call_failed(context, megabytes):
    assert isinstance(context.answer, Failure), context.answer
    sent = context.server.sent_bytes - SOCKET_BYTES
    assert sent <= megabytes * 1e6, context.server.sent_bytes


class HeadReceiver:
    """Receiver that takes the second kind of answer and counts the iterations of the loop."""

    def __init__(self):
        self.iterations = 0

    def on_head(self, head):
        return "Own" in head.headers

    def on_data(self, data):
        return None

    async def count(self):
        while True:
            await asyncio.sleep(0)
            self.iterations += 1


@when("a server sends {count:d} {kind} with heads of {size:d} KB together before its answer")
def step_long_heads(context, count, kind, size):
    lines = b"X: y\r\n" * (size * 1000 // 6)
    status = b"100 Continue" if kind == "interim answers" else b"200 OK"
    length = b"" if kind == "interim answers" else b"Content-Length: 0\r\n"
    first = b"HTTP/1.1 " + status + b"\r\n" + length + lines + b"\r\n"
    own = b"HTTP/1.1 200 OK\r\nOwn: 1\r\nContent-Length: 0\r\n" + lines + b"\r\n"

    async def main():
        ends = socket.socketpair()
        ends[0].setblocking(False)
        ends[1].sendall(first * count + own)
        conn = Connection(address="s", stream=KeepAliveStream(ends[0]))
        receiver = context.receiver = HeadReceiver()
        counter = asyncio.ensure_future(receiver.count())
        # All heads are there when reading begins.
        conn.send(method="GET", target="/", headers=HTTPHeaders(), body=b"")
        await asyncio.sleep(0.01)
        before = receiver.iterations
        context.outcome = await conn.read(receiver)
        context.iterations = receiver.iterations - before
        counter.cancel()
        conn.close()
        ends[1].close()

    asyncio.run(main())


@then("other work ran between these heads")
def step_ran_between(context):
    assert context.outcome is ReadOutcome.COMPLETE, context.outcome
    assert context.iterations >= 1, context.iterations


@then("its answer is refused")
def step_refused(context):
    assert context.outcome is ReadOutcome.BROKEN, context.outcome


@when("a reader named {name} holds the event loop for {seconds:g} s")
def step_hold(context, name, seconds):
    context.log, context.delays = RecordingLog(), []

    def hold():
        turn = ReadTurn(reader=name)
        turn.begin()
        time.sleep(seconds)
        turn.pause()

    async def main():
        monitor = LoopDelayMonitor(
            log=context.log, on_delay=lambda *found: context.delays.append(found)
        )
        pause = asyncio.ensure_future(monitor.sleep(0.01))
        await asyncio.sleep(0)
        hold()
        await pause
        await monitor.sleep(0.01)

    asyncio.run(main())
    context.held = name, seconds


@then("one log line tells of the delay and names the reader, and none follows")
def step_logged_delay(context):
    name, seconds = context.held
    (fields,) = [fields for event, fields in context.log.lines if event == "loop_delayed"]
    assert fields["reader"] == name and fields["turn_ms"] >= seconds * 1000, fields
    assert context.delays[0][1] >= seconds and context.delays[1][1] == 0.0, context.delays


@when("a peer sends messages without a pause for {seconds:g} s")
def step_busy_peer(context, seconds):
    frames = encode(SendNotice(runners=["r"], prompt_tokens=[1])) * 1000
    context.longest_wait_s, context.messages = 0.0, 0

    def on_message(link, message):
        context.messages += 1

    def send(sock):
        until = time.monotonic() + seconds
        with sock:
            while time.monotonic() < until:
                sock.sendall(frames)

    async def main():
        ends = socket.socketpair()
        ends[0].setblocking(False)
        watch = asyncio.ensure_future(watch_loop(context))
        link = Link(stream=IOStream(ends[0]), on_message=on_message)
        sender = threading.Thread(target=send, args=(ends[1],), daemon=True)
        sender.start()
        await asyncio.sleep(0)
        await link.run()
        watch.cancel()

    asyncio.run(main())


@then("all its messages were received, and nothing else waited for more than {wait:g} s")
def step_peer_heard(context, wait):
    assert context.messages and context.messages % 1000 == 0, context.messages
    assert context.longest_wait_s <= wait, context.longest_wait_s


async def pass_on_bytes(url, timeout_s):
    async def on_bytes(data):
        pass

    exchange = {"method": "GET", "headers": HTTPHeaders(), "body": None, "timeout_s": timeout_s}
    client = new_client()
    await stream_exchange(
        http=client, url=url, **exchange, on_head=lambda *_: None, on_bytes=on_bytes
    )
    client.close()


async def read_tokens(url, timeout_s):
    async def on_tokens(tokens):
        pass

    engine = EngineClient(url=url, orders_token="")
    # A malformed answer ends the call.
    with contextlib.suppress(ValueError):
        await engine.complete(
            body={}, timeout_s=timeout_s, on_head=lambda _: None, on_tokens=on_tokens
        )
    engine.close()


AGENT_CALLS = {"passes on an answer": pass_on_bytes, "reads tokens": read_tokens}


@then("the call ended within {seconds:g} s, and nothing else waited for more than {wait:g} s")
def step_call_ended(context, seconds, wait):
    assert context.took_s <= seconds and context.longest_wait_s <= wait, (
        context.took_s,
        context.longest_wait_s,
    )


@when("a stream receives {size:d} events in {seconds:g} s")
def step_receives(context, size, seconds):
    context.is_accepted = StreamAllowance().take(size, seconds)


@then("the stream is {outcome} by its limit")
def step_outcome(context, outcome):
    assert context.is_accepted == (outcome == "accepted")


@when("{count:d} readers whose input is always ready share an event loop for {seconds:g} s")
def step_share(context, count, seconds):
    share, turn_s, moment = LoopShare(), 0.005, 0.0
    context.turns, ready_at = [0] * count, [0.0] * count
    context.used_s, context.turn_s, context.longest_s = 0.0, turn_s, count * turn_s
    context.short_pause_s = 0.0
    while moment < seconds:
        ready = [n for n in range(count) if ready_at[n] <= moment + 1e-9]
        if not ready:
            moment = min(ready_at)
            continue
        reader = min(ready, key=lambda n: ready_at[n])
        moment += turn_s
        context.used_s += turn_s
        context.turns[reader] += 1
        ready_at[reader] = moment + share.pause_s(turn_s, now=moment)
        context.short_pause_s += share.pause_s(0.001, now=moment)


@then("their turns took at most {seconds:g} s and one turn of each")
def step_turns(context, seconds):
    assert context.used_s <= seconds + context.longest_s, context.used_s


@then("each of them had an equal number of turns, within {most:d}")
def step_equal(context, most):
    assert max(context.turns) - min(context.turns) <= most, context.turns


@then("a reader with turns of 1 ms never paused")
def step_short(context):
    assert context.short_pause_s == 0.0


@then("a reader in whose turn the process stood still for {held:g} s pauses for at most {most:g} s")
def step_stood_still(context, held, most):
    assert LoopShare().pause_s(held, now=10.0) <= most


@when("a reader processes one part of its input in {ms:d} ms, and another one two parts")
def step_parts(context, ms):
    def process(parts):
        turn = ReadTurn()
        for _ in range(parts):
            turn.begin()
            time.sleep(ms / 1000 / parts)
            pause = turn.pause()
        return pause

    async def main():
        pauses = [process(1), process(2)]
        context.pauses = [pause is not None for pause in pauses]
        for pause in filter(None, pauses):
            await pause

    asyncio.run(main())


@then("only the second pauses")
def step_second_pauses(context):
    assert context.pauses == [False, True], context.pauses


@when("an event of {megabytes:d} MB arrives in parts of {size:d} bytes")
def step_long_event(context, megabytes, size):
    boundary = event_stream._BOUNDARY
    context.searched = 0

    class Counting:
        def finditer(self, data, start=0):
            context.searched += len(data) - start
            return boundary.finditer(data, start)

    event_stream._BOUNDARY = Counting()
    try:
        buffer = EventBuffer()
        for _ in range(megabytes * 1_000_000 // size):
            buffer.feed(b"x" * size)
    finally:
        event_stream._BOUNDARY = boundary


@then("at most {megabytes:d} MB were searched")
def step_searched(context, megabytes):
    assert context.searched <= megabytes * 1e6, context.searched


@then("events that arrive in parts are the same as those that arrive at once")
def step_same(context):
    rng = random.Random(43)
    for _ in range(2000):
        parts = [b"\n", b"\r", b"\r\n", b"id: 7", b"id:8", b"data: x", b":"]
        data = b"".join(rng.choices(parts, k=rng.randrange(20)))
        whole, split, found = EventBuffer(), EventBuffer(), b""
        expected, start = whole.feed(data), 0
        while start < len(data):
            size = rng.randrange(1, 5)
            found += split.feed(data[start : start + size])
            start += size
        assert (found, split.last_id, split.count) == (expected, whole.last_id, whole.count), data
