"""Steps about the client of the platform's store, against a store over HTTP."""

import asyncio

from behave import given, then, when
from platform_store_server import PlatformStoreServer
from returns.result import Failure
from wasabilb_node.http_client import ConnectionPool
from wasabilb_platform.store import store_source

ITEMS = 5


def play(context, scene):
    """Run a scene with a store that holds the items, a copy with three of them, and the client."""

    async def main():
        async with PlatformStoreServer() as store:
            for number in range(1, ITEMS + 1):
                if number == 4:
                    context.copy = store.copy()
                store.write(f"item-{number}", b"%d" % number)
            pool = ConnectionPool(max_idle=2)
            try:
                await scene(store, store_source(pool, store.address))
            finally:
                pool.close()

    asyncio.run(main())


@given("a store over HTTP with 5 items in pages of 2")
def step_store(context):
    context.play = lambda scene: play(context, scene)


@when("the client reads all items, and one is changed and one removed")
def step_read(context):
    async def scene(store, source):
        context.snapshot = (await source.snapshot()).unwrap()
        store.write("item-2", b"new")
        store.write("item-3", None)
        context.changes = (await source.changes(context.snapshot.revision)).unwrap()

    context.play(scene)


@then("the snapshot has 5 items and the changes are those two")
def step_items(context):
    items = {item.name: item.body for item in context.snapshot.items}
    assert items == {f"item-{n}": b"%d" % n for n in range(1, ITEMS + 1)}, items
    changed = {item.name: item.body for item in context.changes.items}
    assert changed == {"item-2": b"new", "item-3": None}, changed


@when("a copy with 3 items comes back and the client watches from revision 5")
def step_gone(context):
    async def scene(store, source):
        store.restore(context.copy)
        context.changes = (await source.changes(ITEMS)).unwrap()

    context.play(scene)


@then("the history is lost")
def step_lost(context):
    assert context.changes.is_history_lost, context.changes


@when("the client watches from revision 5 while a copy with 3 items comes back")
def step_waiting(context):
    async def scene(store, source):
        watch = asyncio.ensure_future(source.changes(ITEMS))
        while not store.waiting:
            await asyncio.sleep(0.001)
        store.restore(context.copy)
        started = asyncio.get_running_loop().time()
        context.changes = (await watch).unwrap()
        context.took_s = asyncio.get_running_loop().time() - started

    context.play(scene)


@then("the history is lost, within 1 s of the restore")
def step_lost_in_time(context):
    assert context.changes.is_history_lost, context.changes
    assert context.took_s < 1.0, context.took_s


@when("the store is away without an era")
def step_away(context):
    async def scene(store, source):
        store.is_away, store.tells_era = True, False
        context.answers = [await source.snapshot(), await source.changes(ITEMS)]

    context.play(scene)


@then("the client reports both calls as unavailable")
def step_unavailable(context):
    assert all(isinstance(answer, Failure) for answer in context.answers), context.answers
