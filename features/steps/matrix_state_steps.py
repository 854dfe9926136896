"""Steps of the fault matrix about tickets, leaving hosts and orders, over links in memory."""

import asyncio
import random

from behave import then, when
from matrix_steps import PROMPTS, make_fault, run_scenario
from memory_fleet import HOSTS, LOG, METRICS, RUNNERS, fleet_state_after, ticket_text
from memory_links import Fault, Network, run_virtual, running
from returns.result import Success
from wasabilb_agent.engine_client import EngineStatus
from wasabilb_agent.reconciler import Reconciler
from wasabilb_core.fleet import FleetState
from wasabilb_core.leaving_list import LeavingNews
from wasabilb_core.orders import EngineReport, OrderAction
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import Variant, parse_ticket
from wasabilb_node.clock import now
from wasabilb_node.ticket_exchange import TicketExchange
from wasabilb_standins.promises import FleetRecord, LeavingHost, Shutdown, Sighting

PROCESS_NAMES = ("e1", "e2", "e3", "r1", "s1")
# Each side of the partition has an entry process that callers and the platform can reach.
PARTITION_SIDES = (("e1", "r1"), ("e2", "e3", "s1"))
OBSERVATION_S = 12.0


class TicketHolder:
    """Process that holds the fleet state and exchanges tickets."""

    def __init__(self, *, links):
        self.host, self.links, self.fleet = links.host, links, FleetState()
        spread = TicketSpread(
            host=links.host,
            failure_domain="d",
            fleet=self.fleet,
            readers_per_domain=2,
            service_calls_per_s=100.0,
        )
        self.exchange = TicketExchange(
            fleet=self.fleet,
            spread=spread,
            links=links,
            log=LOG,
            metrics=METRICS,
            on_changed=lambda _: None,
        )

    async def tick(self):
        """Send heartbeats."""
        while True:
            await asyncio.sleep(1.0)
            for peer in self.links.peers():
                peer.send(self.exchange.to_ping())

    def accept_ticket(self, text):
        """Accept a ticket as if from the configuration service."""
        self.exchange.accept_ticket(text, source="service", sender=None)


class TicketHolders:
    """Linked processes that hold tickets; agents link to two entry processes only."""

    def __init__(self):
        self.network = Network()
        self.all = {}
        for name in PROCESS_NAMES:
            role = "entry" if name.startswith("e") else "agent"
            self.all[name] = TicketHolder(links=self.network.add(name, role))
        pairs = [("e1", "e2"), ("e2", "e3"), ("e1", "e3"), ("e1", "r1"), ("e2", "r1")]
        for one, two in [*pairs, ("e2", "s1"), ("e3", "s1")]:
            self.network.connect(one, two)
        self.sightings, self.published = [], {}

    async def watch(self):
        """Record the ticket that each process holds."""
        while True:
            for holder in self.all.values():
                if holder.host not in self.network.dead:
                    self.sightings.append(
                        Sighting(
                            process=holder.host,
                            at=now(),
                            newest=holder.fleet.newest(),
                            digest=f"{holder.fleet.digest():x}",
                        )
                    )
            await asyncio.sleep(0.1)

    def publish(self, number, *, to=("e1",), **changes):
        """Publish a ticket to some entry processes."""
        self.published.setdefault(number, now())
        for host in to:
            self.all[host].accept_ticket(ticket_text(number, **changes))

    def record(self, excused):
        """Return the record of held tickets; the 7 s bound does not apply to excused processes."""
        return FleetRecord(
            sightings=tuple(self.sightings),
            published=dict(self.published),
            processes=tuple(name for name in PROCESS_NAMES if name not in excused),
            until=now(),
        )


def run_ticket_scenario(context, *, work):
    """Run work on processes that hold tickets and store their record in the context."""

    async def main():
        holders = TicketHolders()
        background_work = [holder.tick() for holder in holders.all.values()]
        async with running(*background_work, holders.watch()):
            holders.publish(1)
            await asyncio.sleep(3.0)
            await work(holders)
            await asyncio.sleep(OBSERVATION_S)
        out = {*holders.network.dead, *holders.network.paused_until}
        context.record, context.network = holders.record(out), holders.network
        context.holders = holders

    run_virtual(main)


@when("two tickets follow each other at once and a {message} message is {effect}")
def step_two_tickets(context, message, effect):
    async def work(holders):
        holders.network.seen.clear()
        holders.network.fault = Fault(kind=message, effect=effect)
        holders.publish(2, version="v2", while_loading="v1")
        holders.publish(3, version="v3", while_loading="v2")

    run_ticket_scenario(context, work=work)
    assert context.network.is_fault_injected


@when("a newer ticket comes before the one that it replaces")
def step_reversed(context):
    async def work(holders):
        holders.published[2] = now()
        holders.publish(3, version="v3")
        await asyncio.sleep(1.0)
        holders.all["e3"].accept_ticket(ticket_text(2, version="v2"))

    run_ticket_scenario(context, work=work)


@when("a reader takes an older state of the platform again")
def step_stale(context):
    async def work(holders):
        holders.publish(2, version="v2")
        await asyncio.sleep(2.0)
        for number in (1, 2, 1):
            holders.all["e2"].accept_ticket(ticket_text(number, version=f"v{number}"))

    run_ticket_scenario(context, work=work)


@when("a partition that discards {way} separates the processes while both sides read a ticket")
def step_partition(context, way):
    async def work(holders):
        pairs = [(one, two) for one in PARTITION_SIDES[0] for two in PARTITION_SIDES[1]]
        for one, two in pairs if way != "what the second side sends" else ():
            holders.network.block(one, two)
        for one, two in pairs if way != "what the first side sends" else ():
            holders.network.block(two, one)
        holders.publish(2, to=("e1", "e3"), version="v2", while_loading="v1")
        await asyncio.sleep(10.0)
        # One side receives the newest ticket only after the partition has ended.
        holders.network.unblock_all()
        holders.publish(3, to=("e1",), version="v3", while_loading="v2")

    run_ticket_scenario(context, work=work)


@then("all live processes hold the newest ticket")
def step_newest(context):
    holders = context.holders
    live = [h for name, h in holders.all.items() if name not in holders.network.dead]
    numbers = {(h.fleet.newest(), h.fleet.model("m").version) for h in live}
    newest = max(holders.published)
    assert numbers == {(newest, f"v{newest}")}, numbers
    digests = {h.fleet.digest() for h in live}
    assert len(digests) == 1, digests


@when("{source} says that a runner and a booking host leave while requests arrive")
def step_leaving(context, source):
    leaving_hosts = (RUNNERS[0], HOSTS[0])

    async def work(fleet):
        at = now()
        for entry in fleet.entries.values():
            if source == "only a ticket":
                text = ticket_text(2, states=dict.fromkeys(leaving_hosts, "leaving"))
                entry.fleet.apply(parse_ticket(text).unwrap()).unwrap()
            elif source == "only the host list":
                entry.membership.on_host_list(LeavingNews(as_of=2, listed=leaving_hosts))
                entry.membership.on_host_list(LeavingNews(as_of=1))
            elif source == "only its own report":
                fleet.reporting_hosts -= set(leaving_hosts)
                entry.report(*leaving_hosts, is_leaving=True)
            else:
                fleet.reporting_hosts -= set(leaving_hosts)
        fleet.leaving_hosts = tuple(LeavingHost(host=host, at=at) for host in leaving_hosts)
        for turn in range(60):
            entry = fleet.entries[f"e{turn % 2 + 1}"]
            fleet.sent += [
                asyncio.ensure_future(entry.complete(f"p{turn} [len=4]")),
                asyncio.ensure_future(entry.book(b"%d" % turn)),
            ]
            await asyncio.sleep(0.1)
        await asyncio.gather(*fleet.sent)

    run_scenario(context, fault=None, work=work)


@when("a runner drains while a stream runs and a message is {effect} as it is {step}")
def step_drain(context, effect, step):
    async def work(fleet):
        at = now()
        request = asyncio.ensure_future(fleet.entries["e1"].complete(PROMPTS[0]))
        while not any(fleet.agents[host].engine.runs for host in RUNNERS):
            await asyncio.sleep(0.001)
        host = next(host for host in RUNNERS if fleet.agents[host].engine.runs)
        fleet.agents[host].is_draining = True
        fleet.reporting_hosts.discard(host)
        for entry in fleet.entries.values():
            entry.report(host, is_leaving=True)
        await request
        while fleet.agents[host].models.in_progress:
            await asyncio.sleep(0.05)
        fleet.shutdowns = (Shutdown(host=host, at=at, ended=now()),)
        fleet.leaving_hosts = (LeavingHost(host=host, at=at),)

    run_scenario(context, fault=make_fault(step, effect), work=work)
    assert context.network.is_fault_injected


class SlowEngine:
    """Engine that reports after a delay, in which tickets arrive, and records its orders."""

    def __init__(self):
        self.loaded, self.orders, self.is_lost, self.step = {"v1"}, [], False, None

    async def status(self):
        loaded_before = frozenset(self.loaded)
        await asyncio.sleep(0.1)
        if self.step is not None:
            self.step()
        loaded = frozenset(Variant(model="m", adapter="", version=v) for v in loaded_before)
        committed = frozenset(Variant(model="m", adapter="", version=f"v{n}") for n in range(1, 9))
        report = EngineReport(loaded=loaded)
        return Success(
            EngineStatus(models=report, committed=committed, slots=1, running=0, queued=0)
        )

    async def order(self, order):
        self.orders.append((order.fence, order.action, order.variant.version))
        is_lost, self.is_lost = self.is_lost, False
        await asyncio.sleep(0.3)
        if not is_lost and order.action is OrderAction.LOAD:
            self.loaded = {order.variant.version}
        return Success(None)


class NoTransfers:
    """Transfers of an engine that already has all versions."""

    held = frozenset()

    def set_wanted(self, wanted):
        """Ignore the wanted versions."""


@when("tickets come while an engine reports and loads, and {trouble}")
def step_orders(context, trouble):
    async def main():
        engine, fleet, rng = SlowEngine(), fleet_state_after(ticket_text(1)), random.Random(1)
        context.known, context.engine = {}, engine
        engine.is_lost = trouble == "an order is lost"

        def step():
            number = fleet.newest() + 1
            if number <= 6 and rng.random() < 0.7:
                fleet.apply(
                    parse_ticket(ticket_text(number, version=f"v{number}")).unwrap()
                ).unwrap()
                if trouble == "older tickets come late":
                    late = ticket_text(number - 1, version=f"v{number - 1}")
                    fleet.apply(parse_ticket(late).unwrap()).unwrap()

        engine.step = step
        reconciler = Reconciler(
            host=RUNNERS[0],
            fleet=fleet,
            engine=engine,
            transfers=NoTransfers(),
            log=LOG,
            metrics=METRICS,
            on_status=lambda _: None,
        )
        record_order = engine.order

        def order(engine_order):
            context.known[len(engine.orders)] = fleet.newest()
            return record_order(engine_order)

        engine.order = order
        async with running(reconciler.run()):
            await asyncio.sleep(20.0)
        context.ready = {variant.version for variant in reconciler.ready}

    run_virtual(main)


@then("each order has the newest ticket that was known, and the engine ends with its version")
def step_ordered(context):
    orders = context.engine.orders
    assert orders and [fence for fence, _, _ in orders] == list(context.known.values()), orders
    assert all(f"v{fence}" == version for fence, _, version in orders), orders
    assert context.ready == context.engine.loaded == {"v6"}, (context.ready, orders)
