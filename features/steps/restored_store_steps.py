"""Steps about a store that comes back from a copy, under a virtual clock."""

import asyncio

from behave import then, when
from hypothesis import Phase, settings
from hypothesis import given as property_given
from hypothesis import strategies as st
from restored_store_model import EVENTS, History

CHECK_INTERVAL_S = 0.02
HISTORIES, EVENTS_EACH = 300, 40


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


@then("in any history nothing that a process has served by goes back, and all agree in the end")
def step_any_history(context):
    # Shrinking a history takes minutes.
    @settings(max_examples=HISTORIES, phases=[Phase.generate])
    @property_given(st.lists(EVENTS, min_size=EVENTS_EACH, max_size=EVENTS_EACH))
    def check(events):
        History().play(events)

    check()


@when("runner {name} is listed")
def step_listed(context, name):
    async def action(platform, processes):
        platform.publish(f"runner/{name}", f"runner {name} 1".encode())
        await asyncio.sleep(0.5)

    context.actions.append(action)


@when("runner {name} leaves")
def step_leaves(context, name):
    async def action(platform, processes):
        platform.publish(f"runner/{name}", None)
        await asyncio.sleep(0.5)

    context.actions.append(action)


def users(processes, name):
    """Return the processes that may send requests to a runner."""
    directories = [(process.host, process.published_view.directory) for process in processes]
    return [
        host for host, directory in directories if name in {r.id for r in directory.routable("s")}
    ]


@then("no process uses runner {name} for {seconds:g} s")
def step_none_uses(context, name, seconds):
    async def action(platform, processes):
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert not users(processes, name), users(processes, name)

    context.actions.append(action)
    context.run_fleet()


@then("every process uses runner {name} for {seconds:g} s")
def step_all_use_for(context, name, seconds):
    async def action(platform, processes):
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert len(users(processes, name)) == len(processes), users(processes, name)

    context.actions.append(action)
    context.run_fleet()


@then("every process uses runner {name} within {seconds:g} s")
def step_all_use_runner(context, name, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        assert len(users(processes, name)) == len(processes), users(processes, name)

    context.actions.append(action)
    context.run_fleet()


@when(
    "a failure domain is cut off, and {seconds:g} s later the store comes back from the copy for "
    "the others"
)
def step_domain_misses_return(context, seconds):
    async def action(platform, processes):
        network = processes[0].links.network
        away = [p.host for p in processes if p.own.failure_domain == "b"]
        others = [p.host for p in processes if p.own.failure_domain != "b"]
        platform.refused_hosts = set(away)
        for one in away:
            for two in others:
                network.block(one, two)
                network.block(two, one)
        await asyncio.sleep(seconds)
        platform.restore()

    context.actions.append(action)


@when("the failure domain is linked again")
def step_linked_again(context):
    async def action(platform, processes):
        processes[0].links.network.unblock_all()
        platform.refused_hosts = set()

    context.actions.append(action)


@then("at most {count:d} processes have read since the return, {calls:d} times at most")
def step_calls(context, count, calls):
    async def action(platform, processes):
        made = platform.calls - platform.calls_before_return
        assert len(made) <= count and made.total() <= calls, made

    context.actions.append(action)
    context.run_fleet()
