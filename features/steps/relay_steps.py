"""Steps about relays of two attempts that write one answer."""

import asyncio

from behave import given, then, when
from forwarding_harness import PlainProtocol
from scripted_runner import EVENTS
from tornado.httputil import HTTPHeaders
from wasabilb_entry.relay import Relay
from wasabilb_node.http_client import AnswerHead

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
