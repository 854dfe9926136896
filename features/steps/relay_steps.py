"""Steps about relays of two attempts that write one answer."""

import asyncio
import contextlib
import re

from behave import given, then, when
from forwarding_harness import PlainProtocol
from scripted_runner import EVENTS
from tornado.httputil import HTTPHeaders
from wasabilb_entry.relay import Relay
from wasabilb_node.http_client import AnswerHead, AnswerRefusedError

STREAM_HEAD = AnswerHead(
    status=200,
    reason="OK",
    headers=HTTPHeaders(
        {"Seal": "s", "Request-Id": "q-1", "Content-Type": "text/event-stream"},
    ),
)


class RecordingRequest:
    """Request that records its answer."""

    def __init__(self):
        self.status, self.body, self.is_finished = 0, b"", False

    @property
    def has_started(self):
        return self.status != 0

    def start(self, status, headers, data):
        self.status = status
        return self.write(data)

    def write(self, data):
        self.body += data
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def finish(self):
        self.is_finished = True


def begun(relay):
    relay.begin(is_fresh=True, on_metadata=lambda metadata: None)
    return relay


@given("a stream without an answer yet that is handed over")
def given_handover(context):
    context.answer = RecordingRequest()


@when("the first runner begins to answer just after the second one has taken over")
def step_both_begin(context):
    async def run():
        first = begun(
            Relay(req=context.answer, request_id="q-1", protocol=PlainProtocol(), is_stream=True)
        )
        first.pause()
        second = begun(first.successor(lambda: None))
        second.on_head(STREAM_HEAD)
        second.on_data(b"".join(EVENTS[:2]))
        first.on_head(STREAM_HEAD)
        kept_back = first.on_data(EVENTS[0])
        # The end of the first attempt reads what was kept back.
        first.resume()
        await kept_back
        second.on_data(b"".join(EVENTS[2:]))
        second.finish_stream()

    asyncio.run(run())


@then("the caller gets the events of the second runner only")
def step_second_only(context):
    assert context.answer.body == b"".join(EVENTS), context.answer.body
    assert context.answer.is_finished


@when("a server sends {count:d} events with ids at once, more than a stream may have")
def step_too_many(context, count):
    context.answer = RecordingRequest()
    events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1))

    async def run():
        relay = context.relay = begun(
            Relay(req=context.answer, request_id="q-1", protocol=PlainProtocol(), is_stream=True)
        )
        relay.on_head(STREAM_HEAD)
        size = 16 << 10
        with contextlib.suppress(AnswerRefusedError):
            for start in range(0, len(events), size):
                relay.on_data(events[start : start + size])
            raise AssertionError("the stream was not refused")

    asyncio.run(run())


@then("the caller has all events up to the one after which another runner would continue")
def step_has_all(context):
    ids = [int(found) for found in re.findall(rb"id: (\d+)", context.answer.body)]
    last = int(context.relay.events.last_id)
    assert ids == list(range(1, last + 1)), (len(ids), last)
