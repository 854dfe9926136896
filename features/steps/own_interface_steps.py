"""Steps about odd content of the configuration service, the host list and tickets."""

import asyncio

from behave import then, when
from returns.result import Failure, Success
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.netutil import bind_sockets
from wasabilb_core.settings import EntrySettings, PlatformSettings
from wasabilb_core.tickets import HostRole, parse_ticket
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_node.node import Node
from wasabilb_node.platform_client import PlatformClient
from wasabilb_standins.fleet import free_address
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import HostList

LOG = EventLog(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
DEEP = "[" * 100_000 + "]" * 100_000
LEAVING = '{"name": "gone", "state": "gone"}'
HOSTS = f'{{"as_of": 3, "hosts": [{LEAVING}, {{"name": "h", "state": "live"}}]}}'
TICKET = '{"number": 4, "digest": "00000000000000ff"}'
INDEX = f'{{"tickets": [{TICKET}]}}'
HOST_ENTRIES = {
    "a number as a name": '{"name": 7, "state": "gone"}',
    "a lone surrogate in a name": '{"name": "\\ud800", "state": "gone"}',
    "a name of 5,000 bytes": '{"name": "%s", "state": "gone"}' % ("n" * 5000),
    "no state": '{"name": "x"}',
    "a list as a host": "[1]",
}
TICKET_ENTRIES = {
    "the number 1e999": '{"number": 1e999, "digest": "0f"}',
    "a number of 70 bits": f'{{"number": {1 << 69}, "digest": "0f"}}',
    "the number true": '{"number": true, "digest": "0f"}',
    "a digest of 70 bits": '{"number": 5, "digest": "%x"}' % (1 << 69),
    "a digest that is no hex": '{"number": 5, "digest": "xy"}',
    "a list as a ticket": "[1]",
}
LISTS = {
    "the sequence number 1e999": '{"as_of": 1e999, "hosts": []}',
    "a sequence number of 70 bits": f'{{"as_of": {1 << 69}, "hosts": []}}',
    "the sequence number true": '{"as_of": true, "hosts": []}',
    "null as its hosts": '{"as_of": 3, "hosts": null}',
    "20,000 leaving hosts": '{{"as_of": 3, "hosts": [{}]}}'.format(",".join([LEAVING] * 20_000)),
    "nesting of 100,000 levels": DEEP,
    "broken text": "{",
}
TICKETS = {
    "a number of 5,000 digits": "number = " + "9" * 5000,
    "a number of 4,000 digits": "number = " + "9" * 4000,
    "a number of 6,000 hex digits": "number = 0x" + "f" * 6000,
    "a weight of 6,000 hex digits": 'number = 1\n[[accounts]]\nname = "a"\nkey_hash = ""\n'
    "weight = 0x" + "f" * 6000,
    "the number 1e999": "number = 1e999",
    "nesting of 100,000 levels": "number = " + "[" * 100_000,
    "a key of 100,000 letters": "number = 1\n" + "x" * 100_000 + " = 1",
    "port 99999": 'number = 1\n[[hosts]]\nname = "a"\naddress = "10.0.0.1:99999"',
    "a port of 5,000 digits": 'number = 1\n[[hosts]]\nname = "a"\naddress = "10.0.0.1:%s"'
    % ("9" * 5000),
}


def read(call, body):
    """Return the result of a call of the platform client to a stand-in with one answer."""

    async def run():
        def on_request(req):
            head = HTTPHeaders({"Content-Length": str(len(body))})
            req.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "x"), head, body)
            req.connection.finish()

        server, sockets = HTTPServer(on_request), bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        metrics = Metrics(address="", role="entry", host="e1", log=LOG)
        client = PlatformClient(config_service=url, host_list=url, metrics=metrics)
        try:
            return await call(client)
        finally:
            client.close()
            server.stop()

    return asyncio.run(run())


@when("the host list has an entry with {oddity}")
def step_host_entry(context, oddity):
    body = HOSTS.replace(LEAVING, f"{HOST_ENTRIES[oddity]}, {LEAVING}")
    context.found = read(lambda client: client.hosts(), body.encode())


@then("its other entries hold, and fit the message to other processes")
def step_other_hosts(context):
    hosts = context.found.unwrap()
    assert (hosts.as_of, hosts.leaving, hosts.unusable) == (3, ("gone",), 1), hosts
    encode(HostList(as_of=hosts.as_of, leaving=list(hosts.leaving)))


@when("the index of tickets has an entry with {oddity}")
def step_ticket_entry(context, oddity):
    body = INDEX.replace(TICKET, f"{TICKET_ENTRIES[oddity]}, {TICKET}")
    context.found = read(lambda client: client.index(), body.encode())


@then("the other tickets are known")
def step_other_tickets(context):
    index = context.found.unwrap()
    assert (index.digests, index.unusable) == ({4: 255}, 1), index


@when("the host list has {oddity}")
def step_host_list(context, oddity):
    context.found = read(lambda client: client.hosts(), LISTS[oddity].encode())


@then("it counts as unavailable, with a short reason")
def step_list_unavailable(context):
    assert isinstance(context.found, Failure), context.found
    assert len(context.found.failure().detail) <= 200, context.found


class TicketLog:
    """Log of a node that keeps the longest line about a refused ticket, and the errors."""

    def __init__(self):
        self.longest, self.errors = 0, []

    def event(self, name, /, **fields):
        if name == "ticket_refused":
            self.longest = max(self.longest, len(str(fields)))
        if name == "internal_error":
            self.errors.append(fields)


def make_node(log, **platform):
    cfg = EntrySettings(
        host="e1",
        region="r",
        failure_domain="a",
        listen=free_address(),
        seeds=[],
        platform=PlatformSettings(**platform),
        callers=None,
    )
    return Node(cfg=cfg, role=HostRole.ENTRY, incarnation=1, log=log)


@when("a ticket with {oddity} is read")
def step_ticket(context, oddity):
    context.parsed = parse_ticket(TICKETS[oddity])
    context.log = TicketLog()
    node = make_node(context.log, config_service="http://127.0.0.1:1")
    node.exchange.accept_ticket(TICKETS[oddity], source="service", sender=None)
    node.metrics.close()


@then("it is refused with one short line")
def step_ticket_refused(context):
    assert isinstance(context.parsed, Failure), context.parsed
    assert 0 < context.log.longest <= 700, context.log.longest


@when("an unexpected error ends a round of reading tickets and one of reading the host list")
def step_reading_fails(context):
    context.rounds, context.log = {"tickets": 0, "hosts": 0}, TicketLog()

    async def main():
        url = "http://127.0.0.1:1"
        node = make_node(context.log, config_service=url, host_list=url)

        def reading(name):
            async def run():
                context.rounds[name] += 1
                if context.rounds[name] == 1:
                    raise OverflowError("an odd number")
                await asyncio.sleep(10)

            return run

        node._reader.run_tickets = reading("tickets")
        node._reader.run_host_list = reading("hosts")
        node.start()
        for _ in range(100):
            if min(context.rounds.values()) == 2:
                break
            await asyncio.sleep(0.02)
        await node.stop()
        return Success(None)

    asyncio.run(main())


@then("both are read again, and each error is one log line")
def step_read_again(context):
    assert context.rounds == {"tickets": 2, "hosts": 2}, context.rounds
    assert sorted(line["where"] for line in context.log.errors) == ["host list", "tickets"]
