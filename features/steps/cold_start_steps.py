"""Steps about a fleet whose processes all start at the same time."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when
from wasabilb_standins.fleet import FleetShape, LocalFleet


@given("a configuration service with {tickets:d} tickets of a failure domain with 12 entry hosts")
def step_service(context, tickets):
    shape = FleetShape(regions=("Dublin",), entry_hosts=12, runners=1, services={})
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    context.add_cleanup(context.loop_runner.close)
    context.fleet = LocalFleet(shape=shape, folder=Path(tempfile.mkdtemp()))
    context.fleet.publish(context.fleet.ticket(1, version="v1"))
    for number in range(2, tickets + 1):
        table = f'[[models]]\nname = "m"\nversion = "v{number}"\nrunners = ["runner-1"]\n'
        context.fleet.publish(f"number = {number}\n{table}")


@when("all 12 entry processes start at once")
def step_start(context):
    context.add_cleanup(lambda: context.loop.run_until_complete(context.fleet.stop()))
    context.loop.run_until_complete(context.fleet.start())


@then("ticket {number:d} is in force on all of them after at most {reads:d} reads per ticket")
def step_reads(context, number, reads):
    context.loop.run_until_complete(context.fleet.wait_in_force(number))
    calls = context.fleet.config_service.calls
    assert calls["tickets"] <= reads * number, calls
