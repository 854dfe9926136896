"""Steps about frames of at-most-once calls: real components of both processes, a fake link."""

import asyncio
import logging
from types import SimpleNamespace
from unittest.mock import patch

import attrs
from behave import then, when
from returns.result import Success
from wasabilb_agent import service_calls
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_core.fleet import FleetState
from wasabilb_core.once import Ledger
from wasabilb_core.ownership import Generation, OnceOwnership
from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.links import Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.ticket_exchange import TicketExchange
from wasabilb_wire.messages import Call

LOG_FIELDS = ("process", "role", "host", "failure_domain", "incarnation")
LOG = EventLog(**dict.fromkeys(LOG_FIELDS, "1"), logger=logging.Logger("silent", logging.CRITICAL))
ONCE = SimpleNamespace(service=lambda _: SimpleNamespace(is_once=lambda *_: True))


def sent_call():
    """Return a call with a new key that an entry host sends after a heartbeat of the agent."""
    sent = []
    link = SimpleNamespace(send=lambda message: sent.append(message) or True, is_closed=False)
    peer = Peer(link=link, hello=SimpleNamespace(host="h0"), last_received_at=0.0)
    links = SimpleNamespace(
        set_handler=lambda *_: None, on_link_up=[], on_link_down=[], peer=lambda _: peer
    )
    exchange = TicketExchange(
        fleet=FleetState(), spread=None, links=links, log=LOG, metrics=None, on_changed=None
    )
    exchange.on_ping(peer, exchange.to_ping())
    call = Call(id=0, request_id="r", target="s", deadline_ms=60_000, credit=1, generation=1)
    call = attrs.evolve(call, key="k", key_created_ms=wall_ms())
    AttemptTable(links=links, log=LOG).start("h0", call)
    return sent[0], peer


async def count_runs(call, peer, late_s):
    """Return how often the agent runs a late call while its wall clock stands still."""
    runs = []

    async def run(*, call, timeout_s, on_head, on_bytes):
        runs.append(call)
        on_head(200, [])
        return Success(200)

    claim_policy = OnceOwnership(service="s", host="h0", incarnation=1, started_now=now() - 100)
    claim_policy.on_generation(Generation(number=1, owners=("h0",)), now() - 100)
    calls = service_calls.ServiceCalls(
        name="s",
        client=SimpleNamespace(call=run),
        ledger=Ledger(service="s", host="h0", incarnation=1, claim_policy=claim_policy),
        fleet=ONCE,
        log=LOG,
        metrics=SimpleNamespace(count=lambda *_: None),
        max_calls=1,
    )
    moment = now() + late_s
    with (
        patch.object(service_calls, "now", lambda: moment),
        patch.object(service_calls, "wall_ms", lambda: call.wall_ms),
    ):
        calls.on_call(OutgoingAnswer(peer=peer, call=call, log=LOG), is_draining=False)
        while calls.in_progress:
            await asyncio.sleep(0)
    return len(runs)


@when("a call arrives {late_s:g} s late at an agent whose wall clock stood still meanwhile")
def step_late_call(context, late_s):
    context.runs = asyncio.run(count_runs(*sent_call(), late_s))


@then("the agent runs it {count:d} times")
def step_run_times(context, count):
    assert context.runs == count, context.runs
