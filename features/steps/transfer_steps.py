"""Steps about the transfer of weights between real agents."""

import asyncio
import signal
import tempfile
from pathlib import Path

from behave import given, then, when
from wasabilb_standins.fleet import FleetShape, LocalFleet

SIZE = 2 << 20


def run(context, work):
    """Run work on the scenario's event loop."""
    return context.loop.run_until_complete(work)


@given("a fleet of {count:d} runners whose store corrupts every {every:d}th chunk")
def step_fleet(context, count, every):
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    folder = tempfile.TemporaryDirectory()
    shape = FleetShape(
        entry_hosts=1,
        runners=count,
        services={},
        store={"size": SIZE, "chunk_size": 1 << 15, "bytes_per_s": 4e6},
        agent_settings={"weights": {"link_bytes_per_s": 4e6}},
    )

    async def make():
        return LocalFleet(shape=shape, folder=Path(folder.name))

    context.fleet = run(context, make())
    context.add_cleanup(context.loop_runner.close)
    context.add_cleanup(folder.cleanup)
    context.add_cleanup(lambda: run(context, context.fleet.stop()))
    run(context, context.fleet.start())
    context.fleet.store.set_faults(corrupt_every=every)
    context.number = 0


def publish(context, version):
    """Publish the next ticket and wait until its transfer has begun."""
    context.number += 1
    before = sum(context.fleet.store.record()["chunks"].values())
    context.fleet.publish(context.fleet.ticket(context.number, version=version))

    async def wait():
        async with asyncio.timeout(20.0):
            while sum(context.fleet.store.record()["chunks"].values()) < before + SIZE / 4:
                await asyncio.sleep(0.02)

    run(context, wait())


@when('version "{version}" is published and a runner\'s agent dies in the middle')
def step_death(context, version):
    publish(context, version)
    victim = context.fleet.runners[0]
    context.fleet.signal(victim, signal.SIGKILL)
    victim.state = "gone"


@when('version "{version}" is replaced by "{newer}" in the middle')
def step_replaced(context, version, newer):
    publish(context, version)
    publish(context, newer)


@then('the other runners serve "{version}" after at most {copies:d} copies from the store')
def step_served(context, version, copies):
    run(context, context.fleet.wait_version(version, timeout_s=60.0))
    copies_sent = sum(context.fleet.store.record()["chunks"].values()) / SIZE
    assert 1 <= copies_sent <= copies, f"{copies_sent} copies"
