"""Steps about unexpected errors."""

import asyncio
from unittest.mock import patch

from behave import given, then, when
from forwarding_harness import LIMITS, SALT, LookupDecoder, PlainProtocol
from memory_links import run_virtual
from peering_steps import play
from returns.result import Success
from wasabilb_core.catalog import Catalog
from wasabilb_core.published import StateItem
from wasabilb_entry import gateway as gateway_module
from wasabilb_entry.gateway import Gateway, GatewaySettings
from wasabilb_entry.held_request_dispatcher import HeldRequestDispatcher
from wasabilb_entry.stream_mover import LOAD_GRACE_S, MOVE_RETRY_S, StreamMover
from wasabilb_node.clock import now
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot
from wasabilb_standins.fleet import free_address

CATALOG = Catalog(version=1, routes=(), services={})


class ErrorLog:
    """Log that records the internal errors."""

    def __init__(self):
        self.lines = []

    def event(self, name, **fields):
        if name == "internal_error":
            self.lines.append(fields)


@given("an entry process whose heartbeats run each {seconds:g} s")
def step_entry(context, seconds):
    context.heartbeat_s, context.heartbeats, context.errors = seconds, 0, []
    context.failing_heartbeat, context.is_read_failing = None, False


def run_gateway(context, seconds):
    """Run an entry process for a while and record whether it is ready at the end."""

    async def snapshot():
        if context.is_read_failing:
            context.is_read_failing = False
            raise KeyError("a malformed answer")
        return Success(Snapshot(items=(StateItem(name="c", revision=1, body=b"c"),), revision=1))

    async def changes(after):
        await asyncio.sleep(10)
        return Success(Changes(items=(), revision=after))

    def on_tick():
        context.heartbeats += 1
        if context.heartbeats == context.failing_heartbeat:
            raise ValueError("a heartbeat failed")

    async def main():
        address = free_address()
        gateway = Gateway(
            cfg=GatewaySettings(
                host="h",
                region="r",
                failure_domain="a",
                regions={"a": "r"},
                callers_address=free_address(),
                ready_address=free_address(),
                links_address=address,
                metrics_address="",
                seeds=(address,),
                agent_port=1,
                limits=LIMITS,
                grace_s=1.0,
            ),
            protocol=PlainProtocol(),
            decoder=LookupDecoder({b"c": CATALOG}),
            source=lambda pool: PublishedSource(snapshot=snapshot, changes=changes),
            salt=SALT,
        )
        log_event = gateway.log.event

        def event(name, **fields):
            if name == "internal_error":
                context.errors.append(fields)
            log_event(name, **fields)

        gateway.log.event = event
        gateway.on_tick.append(on_tick)
        await gateway.start()
        until = now() + seconds
        while now() < until and not (context.heartbeats > 20 and gateway.is_ready):
            await asyncio.sleep(0.02)
        context.is_ready = gateway.is_ready

    with patch.object(gateway_module, "HEARTBEAT_S", context.heartbeat_s):
        asyncio.run(main())


@when("one of its heartbeats raises an error")
def step_heartbeat_fails(context):
    context.failing_heartbeat = 3
    run_gateway(context, 2.0)


@when("the first read of the platform raises an error")
def step_read_fails(context):
    context.is_read_failing = True
    run_gateway(context, 2.0)


@then("its heartbeats go on")
def step_heartbeats_go_on(context):
    assert context.heartbeats > 10, context.heartbeats


@then("it has the catalog within 2 s")
def step_has_catalog(context):
    assert context.is_ready


@then("the log has one line for the error")
def step_one_line(context):
    assert len(context.errors) == 1, context.errors


@given("a request that is held for a free slot")
def step_held(context):
    context.lookups = 0


@when("a check for a free slot raises an error")
def step_check_fails(context):
    def views():
        context.lookups += 1
        if context.lookups == 1:
            raise ValueError("a check failed")
        return []

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda loop, found: None)
        dispatcher = HeldRequestDispatcher(
            views=views,
            has_runner=lambda: True,
            requested_pause_s=lambda: None,
            expected_recovery_s=lambda: 0.0,
        )
        return await asyncio.wait_for(
            dispatcher.wait(
                is_resubmitted=False,
                deadline=now() + 1.0,
                has_room=lambda views: context.lookups > 2,
                set_gone_callback=lambda callback: None,
            ),
            2.0,
        )

    context.result = asyncio.run(main())


@then("the held request still ends")
def step_held_ends(context):
    assert context.result in (True, False)


@when("a callback raises an error when the link closes")
def step_callback_fails(context):
    context.notified_peers = []

    async def action(stage):
        def failing_callback(peer):
            raise ValueError("a callback failed")

        stage.links.on_link_down.extend([failing_callback, context.notified_peers.append])
        stage.peer.close()
        await asyncio.sleep(0.1)

    context.play.append(action)


@then("the callbacks after it are called")
def step_notified(context):
    asyncio.run(play(context))
    assert len(context.notified_peers) == 1


@given("a runner that begins an order with a stream under way")
def step_loading_runner(context):
    context.lookups = []


@when("the stream ends and the runner sends no further report")
def step_runner_lost(context):
    def move():
        return False

    async def main():
        loop = asyncio.get_running_loop()
        mover = StreamMover(free_slots=lambda runner_id: context.lookups.append(runner_id) or 0)
        mover.add("r", move)
        mover.on_report("r", is_busy=True)
        await asyncio.sleep(LOAD_GRACE_S + 2.5 * MOVE_RETRY_S)
        mover.remove("r", move)
        await asyncio.sleep(2 * MOVE_RETRY_S)
        context.pending_timers = [timer for timer in loop._scheduled if not timer.cancelled()]

    run_virtual(main)


@then("no timer is left for the runner")
def step_no_timer(context):
    assert len(context.lookups) == 3, context.lookups
    assert context.pending_timers == [], context.pending_timers
