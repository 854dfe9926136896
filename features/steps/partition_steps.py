"""Steps about a partition between failure domains, on real processes behind relays."""

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from wasabilb_standins.callers import Callers
from wasabilb_standins.fleet import FleetShape, LocalFleet
from wasabilb_standins.observer import Observer
from wasabilb_standins.promises import violations

REGIONS = ("Dublin", "Cork")
NAMES = ("entry", "runner", "bookings")
RATE_PER_S = 12.0
PARTITION_S, HEAL_S = 5.0, 3.0
# Time in a partition until silent links are closed.
DETECT_S = 3.5


def run(context, work):
    """Run work on the scenario's event loop."""
    return context.loop.run_until_complete(work)


@given("a fleet of two failure domains with relays before all hosts")
def step_fleet(context):
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    folder = tempfile.TemporaryDirectory()
    shape = FleetShape(
        regions=REGIONS,
        entry_hosts=2,
        runners=4,
        services={"bookings": 2},
        engine={"models": "draft@v0", "token_s": 0.005, "load_s": 0.1},
        store={"size": 1 << 18, "chunk_size": 1 << 14},
        relayed=tuple(
            f"{name}-{turn}" for name in NAMES for turn in range(1, 5 if name == "runner" else 3)
        ),
    )

    async def make():
        context.fleet = LocalFleet(shape=shape, folder=Path(folder.name))
        context.add_cleanup(context.loop_runner.close)
        context.add_cleanup(folder.cleanup)
        context.add_cleanup(lambda: run(context, context.fleet.stop()))
        await context.fleet.start()
        context.fleet.publish(context.fleet.ticket(1, version="v0"))
        await settle(context, 1, "v0")
        await wait_bookings(context)

    context.number = 1
    run(context, make())


def callers_of(context, host, seed):
    """Return callers that use one entry host."""
    return Callers(
        entries=[host.callers],
        account_key=next(iter(context.fleet.account_keys.values())),
        rate_per_s=RATE_PER_S,
        mix={"short": 4.0, "long": 1.0, "booking": 2.0, "issued": 2.0},
        deadline_ms=10_000,
        booking_repeats=2,
        seed=seed,
    )


async def wait_bookings(context):
    """Wait until owners may run calls under callers' own keys, which new incarnations may not."""
    for host in context.fleet.entry_hosts:
        callers = callers_of(context, host, 7)
        async with asyncio.timeout(40.0):
            while (await callers.call("booking")).outcome != "ran":
                await asyncio.sleep(0.2)


async def settle(context, number, version):
    """Wait until a ticket is applied on all hosts."""
    await context.fleet.wait_in_force(number)
    await context.fleet.wait_version(version)
    await context.fleet.wait_services()


def partition(fleet, way):
    """Discard the traffic between the regions; `way` names the direction."""
    first_side = [host.name for host in fleet.hosts.values() if host.region == REGIONS[0]]
    second_side = [host.name for host in fleet.hosts.values() if host.region == REGIONS[1]]
    # A relay's forward direction leads to its target.
    ways = {"everything between them": ("both", "both"), "": ("both", "both")}
    ways["what the first side sends"] = ("backward", "forward")
    ways["what the second side sends"] = ("forward", "backward")
    for name, relay in fleet.link.relays.items():
        others = second_side if name in first_side else first_side
        relay.partition(others if way else (), ways[way][name not in first_side])


@when("a partition discards {way} while both sides get requests and a ticket")
def step_partition(context, way):
    async def run_scenario():
        fleet = context.fleet
        context.observer = Observer(fleet=fleet)
        context.callers = [
            callers_of(context, host, context.number * 10 + turn)
            for turn, host in enumerate(fleet.entry_hosts)
        ]
        watching = asyncio.ensure_future(context.observer.run())
        calls = [
            asyncio.ensure_future(callers.run(PARTITION_S + HEAL_S)) for callers in context.callers
        ]
        await asyncio.sleep(0.5)
        partition(fleet, way)
        context.parted_at = time.monotonic()
        context.number += 1
        version = f"v{context.number}"
        previous = f"v{context.number - 1}" if context.number > 2 else "v0"
        # A ticket that names a service makes its keys unknown until all owners are reachable.
        text = fleet.ticket(context.number, version=version, while_loading=previous, services=[])
        context.observer.publish(context.number, text)
        await asyncio.sleep(PARTITION_S)
        context.healed_at = time.monotonic()
        partition(fleet, "")
        await asyncio.gather(*calls)
        await settle(context, context.number, version)
        await context.observer.poll()
        watching.cancel()

    run(context, run_scenario())


def silent_peers(context, region):
    """Return the regions of the peers whose links a region's entry host closed as silent."""
    regions = {host.name: host.region for host in context.fleet.hosts.values()}
    entry = next(host for host in context.fleet.entry_hosts if host.region == region)
    return {
        regions[event.fields["peer"]]
        for event in context.observer.events(entry)
        if event.name == "link_down" and event.fields["reason"] == "silent"
    }


@then("both sides answered meanwhile, and all processes hold the newest ticket")
def step_served(context):
    # Ensures that the relays discarded traffic, without which the scenario proves nothing.
    silent = [silent_peers(context, region) for region in REGIONS]
    assert silent[0] <= {REGIONS[1]} and silent[1] <= {REGIONS[0]} and any(silent), silent
    for callers in context.callers:
        meanwhile = [
            rec
            for rec in callers.records
            if context.parted_at + DETECT_S < rec.start < context.healed_at and rec.kind == "short"
        ]
        verdicts = Counter(rec.verdict for rec in meanwhile)
        assert meanwhile and verdicts["whole"] == len(meanwhile), meanwhile
        bookings = [rec for rec in callers.records if rec.kind == "booking"]
        assert any(rec.outcome == "ran" and rec.start > context.parted_at for rec in bookings)
    for host in context.fleet.hosts.values():
        accepted = [
            event.fields["ticket"]
            for event in context.observer.events(host)
            if event.name == "ticket_accepted"
        ]
        assert str(context.number) in accepted, (host.name, accepted)


@then("the record of both sides breaks no promise")
def step_kept(context):
    records = [rec for callers in context.callers for rec in callers.records]
    found = violations(context.observer.record(records))
    assert found == [], found
