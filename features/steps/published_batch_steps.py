"""Steps about answers to peers with many published items."""

from behave import given, then, when
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import StatePosition
from wasabilb_node.item_compression import ItemPacker
from wasabilb_node.published_batches import to_batches
from wasabilb_wire.codec import FrameBuffer, decode, encode


@given("a process that knows {count:d} {kind} entries with names of {size:d} bytes")
def step_known(context, count, kind, size):
    body = None if kind == "removed" else b"{}"
    context.state = PublishedState()
    context.names = [f"servers/{number}".ljust(size, "x") for number in range(count)]
    items = [
        StateItem(name=name, revision=number, body=body)
        for number, name in enumerate(context.names, 1)
    ]
    context.state.on_changes(items, after=StatePosition(), position=items[-1].position)


@when("a peer asks for all of them")
def step_asks(context):
    context.messages = to_batches(
        context.state, StatePosition(), packer=ItemPacker(), distrust_ms=0
    )


@then("every message arrives, and together they hold all entries")
def step_arrive(context):
    received = []
    for message in context.messages:
        (frame,) = FrameBuffer().feed(encode(message)).unwrap()
        received += decode(frame).unwrap().items
    assert sorted(item.name for item in received) == sorted(context.names)
