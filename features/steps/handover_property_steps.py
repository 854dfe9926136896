"""Steps about handovers in any order of what two runners send."""

import asyncio

from behave import then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_entry.relay import Relay
from wasabilb_node.http_client import AnswerHead

EVENTS = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 13)]
WHOLE = b"".join(EVENTS)
HEAD = AnswerHead(
    status=200,
    reason="OK",
    headers=HTTPHeaders({"Request-Id": "q", "Content-Type": "text/event-stream"}),
)


class Caller:
    """Records what the caller of one request receives."""

    def __init__(self):
        self.has_started = self.is_whole = False
        self.received = b""

    def start(self, status, headers, data):
        assert not self.has_started
        self.has_started = True
        return self.write(data)

    def write(self, data):
        assert not self.is_whole
        self.received += data
        return asyncio.ensure_future(asyncio.sleep(0))

    def finish(self):
        assert not self.is_whole
        self.is_whole = True


class Protocol:
    def read_answer(self, head, now):
        return AnswerMetadata(request_id="q", is_sealed=True)


class Run:
    """A runner's answer from an event on, as a connection delivers it to a relay."""

    def __init__(self, relay):
        self.relay, self.pending, self.is_over = relay, None, False
        self.rest = b"".join(EVENTS[int(relay.events.last_id or 0) :])
        relay.begin(is_fresh=True, on_metadata=lambda metadata: None)

    @property
    def is_waiting(self):
        return self.pending is not None and not self.pending.done()

    def send_head(self):
        if self.relay.head is None:
            self.relay.on_head(HEAD)

    def send(self, size):
        """Deliver the next bytes, unless those before are kept back."""
        if self.relay.head is None or self.is_waiting or not self.rest or self.is_over:
            return
        data, self.rest = self.rest[:size], self.rest[size:]
        pending = self.relay.on_data(data)
        self.pending = asyncio.ensure_future(pending) if pending is not None else None

    def end(self):
        """End the answer if all of it was sent."""
        if self.relay.head is not None and not (self.rest or self.is_waiting or self.is_over):
            self.is_over = True
            self.relay.finish_stream()


class Handovers:
    """One request whose stream is handed over again and again."""

    def __init__(self):
        self.caller = Caller()
        relay = Relay(req=self.caller, request_id="q", protocol=Protocol(), is_stream=True)
        self.first, self.second = Run(relay), None

    def start(self):
        if self.second is None and not self.first.is_over:
            self.first.relay.pause()
            self.second = Run(self.first.relay.successor(self.first.relay.resume))

    def refuse(self):
        if self.second is not None and not self.second.relay.is_writer:
            self.second = None
            self.first.relay.resume()

    def step(self, action, size):
        runs = {"first": self.first, "second": self.second}
        who, _, what = action.partition(" ")
        if who in runs:
            if runs[who] is not None:
                getattr(runs[who], what)(*([size] if what == "send" else []))
        else:
            getattr(self, action)()

    async def play(self, steps):
        received = b""
        self.first.send_head()
        for action, size in steps:
            self.step(action, size)
            await asyncio.sleep(0)
            assert self.caller.received.startswith(received)
            received = self.caller.received
            assert WHOLE.startswith(received), received
            if self.second is not None and self.second.relay.is_writer:
                old, self.first, self.second = self.first, self.second, None
                while old.rest and not old.is_over:
                    old.send(40)
                    await asyncio.sleep(0)
                old.end()
                assert self.caller.received == received
        assert not self.caller.is_whole or self.caller.received == WHOLE, self.caller.received
        return self.caller


ACTIONS = ["first send", "first send", "second send_head", "second send", "start", "refuse"]


@when("streams are handed over in any order of what their runners send")
def step_any_order(context):
    context.callers = []
    steps = st.tuples(st.sampled_from([*ACTIONS, "first end", "second end"]), st.integers(1, 60))

    @property_given(st.lists(steps, min_size=40, max_size=120))
    def check(actions):
        context.callers.append(asyncio.run(Handovers().play(actions)))

    check()


@then("each caller has received the events in order, each once, and no part of another")
def step_in_order(context):
    assert len(context.callers) >= 150, len(context.callers)
    assert any(caller.received for caller in context.callers)
