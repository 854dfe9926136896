"""Steps about processes whose configuration service comes back from a copy."""

import asyncio
import io
import time
from contextlib import redirect_stdout
from unittest.mock import patch

from behave import given, then, when
from matrix_state_steps import TicketHolder
from memory_fleet import LOG, METRICS, ticket_text
from memory_links import Network
from returns.result import Success
from standin_steps import begin, run
from wasabilb_core.membership import Membership
from wasabilb_core.status import Status
from wasabilb_core.ticket_order import ticket_era
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_entry import status
from wasabilb_node.host_list_exchange import HostListExchange
from wasabilb_node.platform_client import PlatformClient
from wasabilb_node.platform_reader import PlatformReader
from wasabilb_standins.config_service import ConfigService
from wasabilb_standins.promises import TICKET_BOUND_S

NAMES = ("e1", "e2", "e3", "r1")
# The third entry process would read without the links to the first two.
READERS_PER_DOMAIN = 2


class Process(TicketHolder):
    """Process that holds tickets; an entry process reads them over HTTP while it is a reader."""

    def __init__(self, *, links, service, host_list=""):
        super().__init__(links=links)
        self.membership = Membership(fleet=self.fleet, report_timeout_s=3.0)
        self.client = PlatformClient(
            config_service=service.url, host_list=host_list, metrics=METRICS
        )
        self.reader = PlatformReader(
            client=self.client,
            exchange=self.exchange,
            spread=TicketSpread(
                host=links.host,
                failure_domain="d",
                fleet=self.fleet,
                readers_per_domain=READERS_PER_DOMAIN,
                service_calls_per_s=100.0,
            ),
            fleet=self.fleet,
            host_lists=HostListExchange(membership=self.membership, links=links),
            links=links,
            log=LOG,
            watch_timeout_s=20.0,
            seeds=(),
        )

    @property
    def version(self):
        """Return the version of the model that is in force."""
        spec = self.fleet.model("m")
        return spec.version if spec else ""


def add_process(context, name):
    """Start a process with links to all others."""
    role = "agent" if name.startswith("r") else "entry"
    links = context.network.add(name, role)
    process = Process(links=links, service=context.service)
    for other in context.processes:
        context.network.connect(name, other)
    context.processes[name] = process
    tasks = [asyncio.ensure_future(process.tick())]
    if role == "entry":
        tasks.append(asyncio.ensure_future(process.reader.run_tickets()))
    context.tasks += tasks
    return process


async def stop(context):
    """End all processes."""
    for task in context.tasks:
        task.cancel()
    await asyncio.gather(*context.tasks, return_exceptions=True)
    for process in context.processes.values():
        process.client.close()


async def until(is_reached, what):
    """Wait until a condition holds, at most for the time in which a ticket has to be in force."""
    limit = time.monotonic() + TICKET_BOUND_S
    while not is_reached():
        assert time.monotonic() < limit, f"not within {TICKET_BOUND_S} s: {what()}"
        await asyncio.sleep(0.01)


def versions(context):
    """Return the version in force at each process."""
    return {name: process.version for name, process in context.processes.items()}


def publish(context, number, version):
    """Publish a ticket for the whole fleet."""
    context.service.publish(ticket_text(number, version=version))


@given("two readers, a further entry process and an agent with the tickets 1 to 4")
def step_fleet(context):
    context.service = begin(context, ConfigService())
    context.network, context.processes, context.tasks = Network(), {}, []
    context.add_cleanup(lambda: run(context, stop(context)))

    async def scene():
        for number in (1, 2, 3, 4):
            context.copied_at = (
                time.monotonic() if number == 3 else getattr(context, "copied_at", 0.0)
            )
            publish(context, number, f"v{number}")
        for name in NAMES:
            add_process(context, name)
        await until(lambda: set(versions(context).values()) == {"v4"}, lambda: versions(context))
        await until(lambda: context.service.pending_watches == 2, lambda: "two watches wait")

    run(context, scene())


@when("the service comes back from a copy with the tickets 1 and 2")
def step_restore(context):
    context.earlier_index = run(context, context.processes["e1"].client.index()).unwrap()
    lost = context.service.restore(context.copied_at)
    assert [publication.number for publication in lost] == [3, 4]


@when("the operator writes ticket 3 with other content")
def step_written(context):
    publish(context, 3, "v9")


@then("all processes have the new ticket 3 in force within 7 s, in equal states")
def step_in_force(context):
    async def scene():
        await until(lambda: set(versions(context).values()) == {"v9"}, lambda: versions(context))
        await until(
            lambda: len({p.fleet.digest() for p in context.processes.values()}) == 1,
            lambda: "equal states",
        )

    run(context, scene())


@when("the operator writes ticket 9, which is lost too, and then ticket 7")
def step_new_model(context):
    async def scene():
        copied_at = time.monotonic()
        context.service.publish(new_model_text(9))
        await until(
            lambda: all(p.fleet.model("n") for p in context.processes.values()), lambda: "ticket 9"
        )
        await until(lambda: context.service.pending_watches == 2, lambda: "two watches wait")
        context.service.restore(copied_at)
        context.service.publish(new_model_text(7, model="o"))

    run(context, scene())


def new_model_text(number, *, model="n"):
    """Return the text of a ticket with one model."""
    return f'number = {number}\n[[models]]\nname = "{model}"\nversion = "v1"\nrunners = ["r1"]\n'


@then("all processes have ticket 7 in force within 7 s, in equal states")
def step_in_force(context):
    async def scene():
        await until(
            lambda: all(p.fleet.model("o") for p in context.processes.values()), lambda: "ticket 7"
        )
        await until(
            lambda: len({p.fleet.digest() for p in context.processes.values()}) == 1,
            lambda: "equal states",
        )

    run(context, scene())


@when("a reader gets the index of the earlier era")
def step_delayed(context):
    async def scene():
        reader = next(
            process.reader for process in context.processes.values() if process.reader._was_reader
        )
        with patch.object(reader._client, "watch", return_value=Success(context.earlier_index)):
            publish(context, 5, "v5")
            await until(lambda: reader._position is context.earlier_index, lambda: reader._position)
            context.after_delayed = versions(context)

    run(context, scene())


@then("no process has another ticket, and the reader follows the new era again within 7 s")
def step_follows(context):
    async def scene():
        await until(lambda: context.service.pending_watches == 2, lambda: "two watches wait")
        await until(lambda: set(versions(context).values()) == {"v5"}, lambda: versions(context))

    assert set(context.after_delayed.values()) <= {"v9", "v5"}, context.after_delayed
    run(context, scene())


@when("the operator publishes ticket 3 again, and 1.5 s later ticket 4")
def step_again(context):
    async def scene():
        context.seen = []
        for number in (3, 4):
            publish(context, number, f"v{number}")
            for _ in range(150):
                context.seen.append(versions(context))
                await asyncio.sleep(0.01)

    run(context, scene())


@then("no process goes back, and all have the new ticket 4 in equal states")
def step_all_again(context):
    kept = {version for seen in context.seen for version in seen.values()}
    assert kept == {"v4"}, kept
    newest = {ticket_era(p.fleet.newest()) for p in context.processes.values()}
    assert newest == {1}, newest
    assert len({p.fleet.digest() for p in context.processes.values()}) == 1


@when("the operator publishes only ticket 3 again")
def step_again_alone(context):
    publish(context, 3, "v3")


@then("all processes have ticket 3 of the new era in force within 7 s")
def step_alone(context):
    run(
        context,
        until(lambda: set(versions(context).values()) == {"v3"}, lambda: versions(context)),
    )


@when("a process without tickets starts and reads the copy")
def step_start(context):
    async def scene():
        context.seen = []
        process = add_process(context, "e0")
        await until(lambda: process.version, lambda: "a ticket")
        # Longer than the pause after a watch that failed.
        for _ in range(250):
            context.seen.append(versions(context))
            await asyncio.sleep(0.01)

    run(context, scene())


@then("no process goes back, and the new one has ticket 4 from its peers")
def step_kept(context):
    kept = {seen[name] for seen in context.seen for name in NAMES}
    assert kept == {"v4"}, kept
    assert context.seen[-1]["e0"] == "v4", context.seen[-1]


class SlowTicketClient(PlatformClient):
    """Client that reads the first ticket only after a step of the scenario."""

    def __init__(self, *, step, **options):
        super().__init__(**options)
        self.step = step

    async def ticket(self, number):
        """Take the step, then read the ticket."""
        step, self.step = self.step, None
        if step:
            step()
        return await super().ticket(number)


@given("a reader that has read the index with ticket 2")
def step_reader(context):
    context.service = begin(context, ConfigService())
    context.network, context.processes, context.tasks = Network(), {}, []
    context.add_cleanup(lambda: run(context, stop(context)))
    copied_at = time.monotonic()
    publish(context, 2, "v2")

    def restore():
        context.service.restore(copied_at)
        publish(context, 2, "v9")

    context.restore = restore


@when("the service comes back from a copy before ticket 2 is read, and has another ticket 2")
def step_between(context):
    async def scene():
        process = Process(links=context.network.add("e1", "entry"), service=context.service)
        context.processes["e1"] = process
        process.reader._client = SlowTicketClient(
            config_service=context.service.url,
            host_list="",
            metrics=METRICS,
            step=context.restore,
        )
        context.tasks.append(asyncio.ensure_future(process.reader.run_tickets()))
        await until(lambda: process.version == "v9", lambda: process.version)
        # A reader that took the text for the earlier ticket reads the new one again.
        await until(lambda: context.service.pending_watches, lambda: "a watch")

    run(context, scene())


@then("the reader has the new ticket 2 in force, in its own era")
def step_own_era(context):
    orders = context.processes["e1"].fleet.orders()
    index = context.service.index()
    assert len(orders) == 1 and ticket_era(orders[0]) == index["era"] == 1, orders


@when("the service comes back from a copy twice, 1 s apart, while watches wait")
def step_twice(context):
    async def scene():
        service = context.service
        service.calls.clear()
        context.started = time.monotonic()
        for _ in range(2):
            service.restore(context.copied_at)
            await asyncio.sleep(1.0)
        await asyncio.sleep(4.0)
        context.lasted_s = time.monotonic() - context.started

    run(context, scene())


@then("only the readers call it, at most twice in a second each")
def step_calls(context):
    calls = context.service.calls
    assert calls["index"] >= READERS_PER_DOMAIN, calls
    assert sum(calls.values()) <= 2 * READERS_PER_DOMAIN * context.lasted_s, calls
    # A restore costs each reader the watch that broke, an index and the next watch.
    assert sum(calls.values()) <= 2 * 3 * READERS_PER_DOMAIN, calls


@when("the status of processes at ticket 4 of era 0 and ticket 3 of era 1 is shown")
def step_status(context):
    replies = [
        status.StatusReply(
            address=f"127.0.0.1:{number}",
            result=Success(Status(host="e1", newest_ticket=number, newest_era=era)),
        )
        for number, era in ((4, 0), (3, 1))
    ]
    shown = io.StringIO()
    with patch.object(status, "read_statuses", return_value=replies), redirect_stdout(shown):
        assert status.show_status([]) == 0
    context.shown = shown.getvalue()


@then('the tickets are "4" and "3 of era 1"')
def step_shown(context):
    first, second = context.shown.splitlines()[-2:]
    assert "  4  " in first and "  3 of era 1  " in second, context.shown
