"""Steps about the eras of the platform's store, with its client and reader over HTTP."""

import asyncio
import random

from behave import then, when
from platform_store_server import PlatformStoreServer
from platform_store_steps import ITEMS
from returns.result import Failure
from wasabilb_core.published import PublishedState
from wasabilb_core.state_position import START, StatePosition
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.published_reader import PublishedReader
from wasabilb_platform import store as store_module
from wasabilb_platform.store import store_source

HISTORIES, STEPS = 40, 12
# Calls that a reader may need until it has met the last restore: the watch, a snapshot, a watch.
LAST_READS = 4


@when("the client reads all items before a restore, during it and after it")
def step_pages(context):
    async def scene(store, source):
        def restore(page):
            if page == 1:
                store.restore(context.copy)

        before = await source.snapshot()
        store.calls.clear()
        store.on_page = restore
        during = await source.snapshot()
        store.on_page = None
        context.snapshots = [before, during, await source.snapshot()]

    context.play(scene)


@when("the client reads the position before a restore, after it and while the store is away")
def step_read_positions(context):
    async def scene(store, source):
        before = await source.position()
        store.restore(context.copy)
        after = await source.position()
        store.is_away = True
        context.positions = [before, after, await source.position()]

    context.play(scene)


@then("the positions are revision 5 of era 1, revision 3 of era 2 and none")
def step_positions(context):
    before, after, away = context.positions
    assert before.unwrap() == StatePosition(era=1, revision=5), before
    assert after.unwrap() == StatePosition(era=2, revision=3), after
    assert isinstance(away, Failure), away


@then("the first has era 1 and the last era 2, and the one between is unavailable")
def step_eras(context):
    before, during, after = context.snapshots
    assert before.unwrap().era == 1 and after.unwrap().era == 2, context.snapshots
    assert isinstance(during, Failure), during


@when("a copy with 3 items comes back, 4 items are written, and the client watches from revision 5")
def step_written(context):
    async def scene(store, source):
        reader = new_reader(source)
        for _ in range(2):
            (await reader.read()).unwrap()
            store.write("more", b"0")
        assert reader.state.position.revision == ITEMS + 1, reader.state.position
        store.restore(context.copy)
        for number in range(4):
            store.write(f"new-{number}", b"1")
        context.changes = (await source.changes(ITEMS)).unwrap()
        context.reading = (await reader.read()).unwrap()
        (await reader.read()).unwrap()
        context.reader = reader

    context.play(scene)


@then("the changes are of era 2, and the reader reads a snapshot instead of merging them")
def step_not_merged(context):
    assert context.changes.era == 2, context.changes
    assert context.reading.changed == [], context.reading
    state = context.reader.state
    assert state.position.era == 2, state.position
    known = {item.name for item in state.changes_after(START)[0]}
    assert {f"new-{number}" for number in range(4)} <= known, known


def new_reader(source, seed=1):
    """Return a reader with its own state."""
    state = PublishedState(content_version=lambda item: int(item.body))
    reader = PublishedReader(state=state, source=source, rng=random.Random(seed))
    reader.state = state
    return reader


def written(state):
    """Return the number that each item has, by its name."""
    return {item.name: int(item.body) for item in state.changes_after(START)[0] if item.body}


@when("a reader follows a store through 40 random histories")
def step_histories(context):
    usual = store_module.WATCH_WAIT_MS
    store_module.WATCH_WAIT_MS = 5
    context.failures = []
    try:
        for seed in range(HISTORIES):
            context.failures += asyncio.run(follow(seed))
    finally:
        store_module.WATCH_WAIT_MS = usual


async def follow(seed):
    """Play one history; return what went wrong."""
    rng, failures, count = random.Random(seed), [], 0
    async with PlatformStoreServer() as store:
        pool = ConnectionPool(max_idle=2)
        reader = new_reader(store_source(pool, store.address), seed)
        copies, seen, last_era = [store.copy()], {}, {}
        for _ in range(STEPS):
            action = rng.choice(["write", "write", "copy", "restore", "away", "no era", "read"])
            store.is_away, store.tells_era = action == "away", action != "no era"
            if action == "write":
                count += 1
                key = rng.choice("abc")
                store.write(key, b"%d" % count)
                last_era[key] = count
            elif action == "copy":
                copies.append(store.copy())
            elif action == "restore":
                store.restore(rng.choice(copies))
                last_era.clear()
            await reader.read()
            failures += went_back(seen, written(reader.state), seed)
        store.is_away, store.tells_era = False, True
        for _ in range(LAST_READS):
            await reader.read()
            failures += went_back(seen, written(reader.state), seed)
        known = written(reader.state)
        failures += [(seed, k, n, known) for k, n in last_era.items() if known.get(k) != n]
        pool.close()
    return failures


def went_back(seen, known, seed):
    """Return the items that are older than they were, and remember the others."""
    found = [
        (seed, key, seen[key], known.get(key)) for key in seen if known.get(key, 0) < seen[key]
    ]
    seen.update(known)
    return found


@then("no item goes back, and each item that is written in the last era is in force")
def step_followed(context):
    assert not context.failures, context.failures[:5]
