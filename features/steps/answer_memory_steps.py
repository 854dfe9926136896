"""Steps about the memory that answers take until they are whole."""

import asyncio
import contextlib
import re
import socket
from unittest.mock import patch

from behave import given, then, when
from direct_forwarding_steps import fetch, run_in_harness
from forwarding_harness import PATHS, raw_request
from scripted_runner import ScriptedRunner
from tornado.httputil import HTTPHeaders
from wasabilb_core.answer_memory import UNCOUNTED_BYTES, AnswerMemory
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_entry.relay import BufferedAnswer, send_buffered_answer
from wasabilb_entry.request_attempts import RequestAttempts
from wasabilb_node.http_client import AnswerHead

SAMPLE_S = 0.002


class LargeAnswerServer(ScriptedRunner):
    """Backend server that sends some bytes of an answer of a stated length."""

    def __init__(self, *, length, sent, status=200):
        super().__init__([])
        self.length, self.sent, self.status = length, sent, status

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\nhi")
            request_id = re.search(rb"(?im)^request-id: (\S+)", head)[1]
            start = b"HTTP/1.1 %d X\r\nSeal: s\r\nRequest-Id: %s\r\n" % (self.status, request_id)
            writer.write(start + b"Content-Length: %d\r\n\r\n" % self.length)
            writer.write(b"x" * self.sent)
            await writer.drain()
            await reader.read(1)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def held_bytes(harness):
    """Return what the unfinished answers of all requests hold."""
    contexts = harness.forwarder._contexts
    return sum(len(part) for ctx in contexts for part in ctx.relay._parts)


@given("backend servers that send 4 MB of an answer and then fall silent")
def given_silent(context):
    context.behaviours = []
    context.servers = [LargeAnswerServer(length=4_100_000, sent=4_000_000) for _ in range(2)]


@given("backend servers that answer with 3 MB")
def given_large(context):
    context.behaviours = []
    context.servers = [LargeAnswerServer(length=3_000_000, sent=3_000_000)]


@when("{count:d} callers send a request each to an entry process with {limit:d} MiB for answers")
def step_callers(context, count, limit):
    async def call(harness, number):
        reader, writer = await harness.connect()
        extra = "Timeout: 1.5\r\n"
        writer.write(raw_request(PATHS["idempotent"], request_id=f"q-{number}", extra=extra))
        await reader.readline()
        writer.close()

    async def send_all(harness):
        memory = harness.forwarder._answer_memory = AnswerMemory(max_bytes=limit << 20)
        calls = asyncio.gather(*(call(harness, n) for n in range(count)))
        context.most_held = 0
        while not calls.done():
            context.most_held = max(context.most_held, held_bytes(harness))
            await asyncio.sleep(SAMPLE_S)
        await asyncio.sleep(0.05)
        context.held_at_end = memory.used_bytes

    run_in_harness(context, send_all, runners=context.servers)


@then("the process held at most {limit:g} MiB of answers at any time")
def step_most(context, limit):
    assert 1 << 20 < context.most_held <= limit * (1 << 20), context.most_held


@then("it holds nothing once all requests have ended")
def step_none_held(context):
    assert context.held_at_end == 0, context.held_at_end


@when("a caller that does not read its answer leaves after {seconds:g} s")
def step_slow_caller(context, seconds):
    async def send(harness):
        memory = harness.forwarder._answer_memory
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", harness.port))
        await loop.sock_sendall(sock, raw_request(PATHS["idempotent"]))
        await asyncio.sleep(seconds)
        context.held_before = memory.used_bytes
        sock.close()
        await asyncio.sleep(0.2)
        context.held_after = memory.used_bytes

    run_in_harness(context, send, runners=context.servers)


@then("the process held the answer until then, and holds nothing afterwards")
def step_held_until(context):
    assert context.held_before > 2_900_000 and context.held_after == 0, (
        context.held_before,
        context.held_after,
    )


@given("a memory of {size:d} bytes for answers")
def given_memory(context, size):
    context.memory, context.given_up = AnswerMemory(max_bytes=size), []


def begun_share(context, name):
    share = context.memory.open()
    share.begin_attempt(lambda: context.given_up.append(name))
    return share


@when("one answer takes {first:d} bytes and another one {second:d}")
def step_two(context, first, second):
    shares = [begun_share(context, name) for name in ("first", "second")]
    context.taken = [shares[0].take(first), shares[1].take(second)]
    context.shares = shares


@then("the first is given up and the second is held")
def step_first_given_up(context):
    assert context.taken == [True, True] and context.given_up == ["first"], context.given_up
    assert not context.shares[0].take(1)


@then("a third one of {size:d} bytes, which is the largest, is refused")
def step_third(context, size):
    assert not begun_share(context, "third").take(size)
    assert context.given_up == ["first", "third"] and context.shares[1].size == 200_000


@then("one of {size:d} bytes always has room")
def step_small(context, size):
    assert size <= UNCOUNTED_BYTES and begun_share(context, "small").take(size)


@when("a whole answer of {size:d} bytes is sent to its caller")
def step_sent(context, size):
    context.shares = [begun_share(context, "whole")]
    assert context.shares[0].take(size)
    context.shares[0].keep()


@then("one of {size:d} bytes is refused until the caller has taken the whole answer")
def step_refused_until(context, size):
    assert not begun_share(context, "early").take(size) and context.given_up == ["early"]
    context.shares[0].close()
    assert begun_share(context, "late").take(size)


@given("a backend server that answers with {size:d} KB and status {status:d}")
def given_whole(context, size, status):
    context.behaviours = []
    size *= 1000
    context.servers = [LargeAnswerServer(length=size, sent=size, status=status)]


@when("another answer needs the memory after the end of this one")
def step_needs_memory(context):
    async def send(harness):
        memory = harness.forwarder._answer_memory = AnswerMemory(max_bytes=1_000_000)
        tell_guard = RequestAttempts._tell_guard

        async def need_memory(*args):
            other = memory.open()
            other.begin_attempt(lambda: None)
            for _ in range(50):
                other.take(16_000)
            other.close()
            await tell_guard(*args)

        with patch.object(RequestAttempts, "_tell_guard", need_memory):
            return await fetch(harness, raw_request(PATHS["at-most-once"]))

    run_in_harness(context, send, runners=context.servers)


@then("the caller gets the {size:d} KB with status {status:d}")
def step_gets_whole(context, size, status):
    assert context.result[0] == status, context.result[0]
    assert len(context.result[2]) == size * 1000, len(context.result[2])


class FailingRequest:
    """Request whose answer cannot be written."""

    def answer(self, status, headers, body):
        raise ValueError("illegal characters in header")


@when("a whole answer cannot be written to its caller")
def step_unwritable(context):
    context.share = AnswerMemory().open()
    head = AnswerHead(status=200, reason="OK", headers=HTTPHeaders())
    answer = BufferedAnswer(head=head, metadata=AnswerMetadata(), body=b"x")
    with contextlib.suppress(ValueError):
        send_buffered_answer(FailingRequest(), answer, context.share)


@then("its memory is given up at the end of the request")
def step_not_sending(context):
    # The forwarder closes a share at the end of its request unless its answer is being sent.
    assert not context.share.is_sending
