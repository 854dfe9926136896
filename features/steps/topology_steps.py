"""Steps about the link targets of entry hosts."""

from behave import given, then
from wasabilb_core.fleet import FleetState
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import parse_ticket
from wasabilb_core.topology import entry_link_targets

HOST = (
    '[[hosts]]\nname = "{name}"\nrole = "{role}"\naddress = "10.{a}.{b}.1:7000"\n'
    'region = "r{region}"\nfailure_domain = "d{domain}"\n'
)


@given("a fleet of {entries:d} entry hosts and {runners:d} runners over 6 failure domains")
def step_fleet(context, entries, runners):
    hosts = [("entry", n) for n in range(entries)] + [("backend", n) for n in range(runners)]
    text = "number = 1\n" + "".join(
        HOST.format(
            name=f"{role}-{n}", role=role, a=n // 250, b=n % 250, region=n % 2, domain=n % 6
        )
        for role, n in hosts
    )
    names = ", ".join(f'"backend-{n}"' for n in range(runners))
    text += f'[[models]]\nname = "draft"\nversion = "v1"\nrunners = [{names}]\n'
    context.fleet = FleetState()
    context.fleet.apply(parse_ticket(text).unwrap()).unwrap()
    context.targets = {}
    context.readers = {}
    for host in context.fleet.hosts():
        if host.is_entry:
            spread = TicketSpread(
                host=host.name,
                failure_domain=host.failure_domain,
                fleet=context.fleet,
                readers_per_domain=2,
                service_calls_per_s=100.0,
            )
            context.readers[host.failure_domain] = spread.reader_candidates()[:2]
            context.targets[host.name] = entry_link_targets(
                host=host, fleet=context.fleet, spread=spread, subset_size=16, peer_count=3
            )


@then("no entry host links to more than {links:d} hosts")
def step_links(context, links):
    most = max(len(targets) for targets in context.targets.values())
    assert most <= links, most


@then("every runner is linked by at least one entry host of its own failure domain")
def step_runners(context):
    fleet = context.fleet
    linked = {
        (name, fleet.host(entry).failure_domain)
        for entry, targets in context.targets.items()
        for name in targets
    }
    missing = [
        host.name
        for host in fleet.hosts()
        if host.is_backend and (host.name, host.failure_domain) not in linked
    ]
    assert missing == [], missing


@then("a ticket reaches every entry host in at most {hops:d} hops from any reader")
def step_hops(context, hops):
    neighbours = {name: set() for name in context.targets}
    for name, targets in context.targets.items():
        for other in targets:
            if other in neighbours:
                neighbours[name].add(other)
                neighbours[other].add(name)
    for readers in context.readers.values():
        reached, frontier = set(readers[:1]), set(readers[:1])
        for _ in range(hops):
            frontier = {n for name in frontier for n in neighbours[name]} - reached
            reached |= frontier
        assert reached == set(neighbours), set(neighbours) - reached
