"""Steps about a store that comes back from a copy, under a virtual clock."""

import asyncio

from attrs import evolve
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as property_given
from hypothesis import strategies as st
from published_fleet import RUNNER, Decoder
from restored_store_model import EVENTS, History
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.runner_directory import EXPIRY_GRACE_S, RunnerDirectory
from wasabilb_core.state_position import StatePosition
from wasabilb_node.decoded_items import DecodedItems

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


@given("a process that has read era {era:d} up to revision {revision:d}")
def step_has_read(context, era, revision):
    content_version = DecodedItems(decoder=Decoder()).content_version
    context.state = PublishedState(content_version=content_version)
    item = StateItem(name="routes", revision=revision, body=b"catalog 6", era=era)
    context.position = item.position
    context.state.on_snapshot([item], item.position)


@when("a peer sends a runner and catalog {version:d} of era {era:d} at revision {revision:d}")
def step_earlier_peer(context, version, era, revision):
    items = [
        StateItem(name="runner/x", revision=revision - 1, body=b"runner x 1", era=era),
        StateItem(name="routes", revision=revision, body=b"catalog %d" % version, era=era),
    ]
    after = StatePosition(era=era, revision=1)
    context.changed = context.state.on_changes(items, after=after, position=items[1].position)


@then("it takes over the catalog and not the runner, and still knows era 2 up to revision 62")
def step_taken_over(context):
    assert [item.name for item in context.changed] == ["routes"], context.changed
    assert context.state.position == context.position


@given("a process that knows a runner only since its restart")
def step_restarted(context):
    context.directory = RunnerDirectory()
    context.later = evolve(RUNNER, born_ms=9, address="127.0.0.1:99")
    context.directory.on_listed(context.later, StatePosition(era=1, revision=100))


@when("the copy lists its incarnation before that")
def step_copy_lists_earlier(context):
    context.directory.on_removal_distrust(EXPIRY_GRACE_S, 0.0)
    earlier = evolve(RUNNER, born_ms=5)
    position = StatePosition(era=2, revision=60)
    assert not context.directory.on_listed(earlier, position, is_copied=True)
    assert not context.directory.may_receive(earlier)


@then("the later incarnation is used until the grace is over")
def step_later_used(context):
    assert context.directory.routable("s") == [context.later]
    assert context.directory.remove_expired(EXPIRY_GRACE_S - 0.1) == []
    assert context.directory.remove_expired(EXPIRY_GRACE_S) == ["r"]
