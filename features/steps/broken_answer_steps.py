"""Steps about peers' answers of a later era that break off."""

from behave import then, when
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import StatePosition

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
