"""Steps about version numbers of catalogs that are given out again after a restore."""

from behave import given, then, when
from forwarding_harness import LookupDecoder
from wasabilb_core.catalog import Catalog
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import StatePosition
from wasabilb_node.decoded_items import DecodedItems
from wasabilb_node.logs import EventLog
from wasabilb_node.published_view import PublishedView

LOST = Catalog(version=5, routes=(), services={})
REUSED = Catalog(version=5, routes=(), services={})


@given("a process that uses catalog 5 of era 1")
def step_uses_lost(context):
    decoder = DecodedItems(decoder=LookupDecoder({b"lost": LOST, b"reused": REUSED}))
    log = EventLog(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
    context.state = PublishedState(content_version=decoder.content_version)
    context.view = PublishedView(items=context.state, decoder=decoder, log=log)
    read_snapshot(context, StateItem(name="catalog", revision=80, era=1, body=b"lost"))
    assert context.view.catalog is LOST


@when("another catalog 5 is published in era 2")
def step_reused(context):
    read_snapshot(context, StateItem(name="catalog", revision=62, era=2, body=b"reused"))


@then("it uses the one of era 2")
def step_uses_reused(context):
    assert context.view.catalog is REUSED


def read_snapshot(context, item):
    position = StatePosition(era=item.era, revision=item.revision)
    context.view.apply_items(context.state.on_snapshot([item], position))
