"""Steps about callers that name an absurd size of their prompt."""

from unittest.mock import patch

from behave import given, then, when
from fleet_view_factory import make_fleet_view
from overload_model import ENGINE
from published_state_steps import runner
from wasabilb_core.routing import RouteRequest
from wasabilb_entry import fleet_view as fleet_view_module


@given("an entry process and a peer that hears of its sends, with one model runner")
def step_fleets(context):
    held = {"service": "s", "version": 1, "layer_from": 0, "layer_to": ENGINE.layers, "slots": 16}
    context.fleets = [make_fleet_view([runner(**held)]) for _ in range(2)]
    for fleet in context.fleets:
        assert fleet.views("s", RouteRequest())


@when("a request with a prompt of {tokens:d} tokens is sent to the runner")
def step_sent(context, tokens):
    sender, peer = context.fleets
    (listed,) = sender.directory
    sender.on_sent(listed, tokens)
    peer.on_peer_sent(listed.id, tokens)


@then("both use the runner again {seconds:g} s later")
def step_used_again(context, seconds):
    later = fleet_view_module.now() + seconds
    with patch.object(fleet_view_module, "now", lambda: later):
        for fleet in context.fleets:
            (view,) = fleet.views("s", RouteRequest())
            assert view.prefill_backlog_s == 0.0, view.prefill_backlog_s
