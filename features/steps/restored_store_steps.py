"""Steps about a store that comes back from a copy, under a virtual clock."""

import asyncio

from behave import then, when

CHECK_INTERVAL_S = 0.02


def publish_catalog(platform, version):
    platform.publish("routes", b"catalog %d" % version)


def catalogs(processes):
    found = [process.published_view.catalog for process in processes]
    return [catalog.version if catalog is not None else 0 for catalog in found]


@when("catalog {version:d} is published")
def step_catalog(context, version):
    step_catalogs(context, version, version, 0.0)


@when("catalogs {first:d} to {last:d} are published, {pause:g} s apart")
def step_catalogs(context, first, last, pause):
    async def action(platform, processes):
        for version in range(first, last + 1):
            publish_catalog(platform, version)
            await asyncio.sleep(pause)

    context.actions.append(action)


@when("a copy of the store is made")
def step_copy(context):
    async def action(platform, processes):
        platform.copy()

    context.actions.append(action)


@when("the store is away for {seconds:g} s and comes back from the copy")
def step_restored(context, seconds):
    async def action(platform, processes):
        platform.is_down = True
        await asyncio.sleep(seconds)
        platform.restore()
        platform.is_down = False

    context.actions.append(action)


@then("no process uses an older catalog for {seconds:g} s")
def step_none_older(context, seconds):
    async def action(platform, processes):
        before = catalogs(processes)
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert catalogs(processes) == before, catalogs(processes)

    context.actions.append(action)


@then("every process uses catalog {version:d} within {seconds:g} s")
def step_all_use(context, version, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        assert set(catalogs(processes)) == {version}, catalogs(processes)

    context.actions.append(action)
    context.run_fleet()
