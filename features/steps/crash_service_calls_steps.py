"""Steps about agents that tell crashes of their plain service."""

import asyncio
import itertools
import logging
from types import SimpleNamespace

import attrs
from behave import given, then, when
from standin_steps import begin, run
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_agent.server_crashes import ServerCrashes
from wasabilb_agent.service_calls import ServiceCalls
from wasabilb_agent.service_client import ServiceClient
from wasabilb_core.once import Ledger
from wasabilb_core.ownership import Generation, OnceOwnership
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.logs import EventLog
from wasabilb_standins.service import Service
from wasabilb_wire.messages import Call, End, Fail

LOG_FIELDS = ("process", "role", "host", "failure_domain", "incarnation")
LOG = EventLog(**dict.fromkeys(LOG_FIELDS, "1"), logger=logging.Logger("silent", logging.CRITICAL))


class ServiceAgent:
    """The calls of an agent before a service, and what it tells of each call."""

    def __init__(self, service):
        self.is_once = False
        ownership = OnceOwnership(service="s", host="h0", incarnation=1, started_now=now() - 100)
        ownership.on_generation(Generation(number=1, owners=("h0",)), now() - 100)
        spec = SimpleNamespace(is_once=lambda *_: self.is_once)
        self.client = ServiceClient(url=service.url)
        self.calls = ServiceCalls(
            name="s",
            client=self.client,
            ledger=Ledger(service="s", host="h0", incarnation=1, claim_policy=ownership),
            fleet=SimpleNamespace(service=lambda _: spec),
            log=LOG,
            metrics=SimpleNamespace(count=lambda *_: None),
            max_calls=8,
            crashes=ServerCrashes.from_url(service.url),
        )
        self.numbers = itertools.count(1)

    async def send(self, path):
        """Return the last message about a call."""
        sent = []
        peer = SimpleNamespace(
            host="e0",
            link=SimpleNamespace(is_closed=False),
            send=lambda message: sent.append(message) or True,
        )
        call = Call(
            id=next(self.numbers),
            request_id="r",
            target="s",
            method="GET",
            path=path,
            deadline_ms=10_000,
            credit=1 << 16,
            generation=1,
            wall_ms=wall_ms(),
            sent_after=now(),
        )
        if self.is_once:
            key = f"k-{call.id}"
            call = attrs.evolve(call, key=key, key_created_ms=wall_ms(), is_fresh=True)
        self.calls.on_call(OutgoingAnswer(peer=peer, call=call, log=LOG), is_draining=False)
        while not isinstance(sent[-1] if sent else None, End | Fail):
            await asyncio.sleep(0.005)
        return sent[-1]


def begin_agent(context, **faults):
    context.service = begin(context, Service())
    context.service.set_faults(**faults)
    context.agent = ServiceAgent(context.service)
    context.add_cleanup(context.agent.client.close)


@given("an agent beside a service that crashes for {seconds:f} seconds under a request")
def given_crashing_service(context, seconds):
    begin_agent(context, crash_text="deadly", crash_s=seconds)


@given("an agent beside a service that drops each connection")
def given_dropping_service(context):
    begin_agent(context, drop="after")


@when("{calls} with the request are sent twice, and a sound one before and after each")
def send_calls(context, calls):
    send_in_turn(context, is_once="key" in calls)


def send_in_turn(context, *, is_once):
    context.agent.is_once = is_once

    async def scene():
        context.sound, context.broken = [await context.agent.send("/sound")], []
        for _ in range(2):
            context.broken.append(await context.agent.send("/deadly"))
            while isinstance(message := await context.agent.send("/sound"), Fail):
                # The service is not back yet.
                assert message.outcome == "not-run", message
                await asyncio.sleep(0.02)
            context.sound.append(message)

    run(context, asyncio.wait_for(scene(), 10.0))


@then("the agent tells two crashes with the broken calls, and none with the sound ones")
def check_told(context):
    assert all(isinstance(message, End) for message in context.sound), context.sound
    found = [(message.outcome, bool(message.crash_ms)) for message in context.broken]
    assert found == [("unknown", True)] * 2, context.broken
    assert context.broken[0].crash_ms < context.broken[1].crash_ms, context.broken
    assert context.service.crashes == 2, context.service.crashes


@when("a call is sent")
def send_call(context):
    context.broken = [run(context, context.agent.send("/sound"))]


@then("the agent tells no crash with the broken call")
def check_not_told(context):
    [message] = context.broken
    assert (message.kind, message.outcome, message.crash_ms) == ("stream-broken", "unknown", 0)
