"""Steps about answers that break off, or name a wrong era."""

import asyncio
import random
import re

from behave import given, then, when
from returns.result import Success
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import START, StatePosition
from wasabilb_node.published_reader import PublishedReader
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot

ITEMS = [
    StateItem(name=f"runner/{number}", revision=number, body=b"x", era=2)
    for number in range(1, 101)
]
KNOWN, POSITION = StatePosition(era=1, revision=10), StatePosition(era=2, revision=100)


@when("the first of two batches of a later era arrives {count:d} times, and the last one once")
def step_broken_answers(context, count):
    state = context.state = PublishedState()
    state.on_snapshot([], KNOWN)
    for _ in range(count):
        state.on_changes(ITEMS[:99], after=KNOWN, position=ITEMS[98].position, is_last=False)
    context.held = len(state._partial_list.items)
    state.on_changes(ITEMS[99:], after=ITEMS[98].position, position=POSITION)


@then("at most {count:d} items were held, and all {total:d} are known")
def step_held(context, count, total):
    assert context.held <= count, context.held
    assert len(context.state.changes_after(KNOWN)[0]) == total


def snapshot_at(era, revision):
    item = StateItem(name=f"item-{revision}", revision=revision, body=b"x", era=era)
    return Snapshot(items=(item,), revision=revision, era=era)


@given("a reader that knows era {era:d} of a store up to revision {revision:d}")
def step_reader(context, era, revision):
    context.script = [snapshot_at(era, revision)]

    async def answer(*_):
        return Success(context.script.pop(0))

    context.state = PublishedState()
    source = PublishedSource(snapshot=answer, changes=answer)
    context.reader = PublishedReader(state=context.state, source=source, rng=random.Random(1))
    asyncio.run(context.reader.read())


@when("the answers to it are {answers}")
def step_answers(context, answers):
    for text in answers.split(","):
        numbers = [int(number) for number in re.findall(r"\d+", text)]
        if text.strip().startswith("all"):
            context.script.append(snapshot_at(*numbers))
        else:
            era = numbers[0] if numbers else None
            context.script.append(Changes(items=(), revision=5, is_history_lost=True, era=era))
    while context.script:
        asyncio.run(context.reader.read())


@then("it knows era {era:d}, and item {revision:d} is the newest")
def step_known_era(context, era, revision):
    items, _ = context.state.changes_after(START)
    assert context.state.position == StatePosition(era=era, revision=revision)
    assert items[-1].position == context.state.position, items
