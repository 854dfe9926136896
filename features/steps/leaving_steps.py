"""Steps about runners that announce that they leave."""

import asyncio
import re
from types import SimpleNamespace
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when
from direct_forwarding_steps import fetch, read_answer, run_in_harness
from forwarding_harness import LIMITS, PATHS, LookupDecoder, raw_request
from hypothesis import given as property_given
from hypothesis import strategies as st
from published_state_steps import runner
from scripted_runner import BODY
from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.routing import RouteRequest
from wasabilb_core.runner_directory import Runner, RunnerDirectory
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_core.runner_presence import PresenceState, RunnerPresence
from wasabilb_core.state_position import StatePosition
from wasabilb_entry.fleet_view import FleetView
from wasabilb_entry.placer import ALL_LEAVING_RETRY_S, PlacementNeeds, Placer
from wasabilb_node import clock
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.logs import EventLog
from wasabilb_node.published_view import PublishedView
from wasabilb_wire.messages import RunnerReport

LEAVING_ANSWER = AnswerMetadata(request_id="q", is_leaving=True)


async def send_followups(harness, count):
    numbers = range(count)
    return [
        await fetch(harness, raw_request(PATHS["idempotent"], request_id=f"more-{number}"))
        for number in numbers
    ]


@when("a caller sends a request on the {kind} route and {count:d} more on the idempotent one")
def send_and_more(context, kind, count):
    async def send(harness):
        found = await fetch(harness, raw_request(PATHS[kind]))
        context.followups = await send_followups(harness, count)
        await harness.settle()
        return found

    run_in_harness(context, send)


@when("{count:d} requests on the idempotent route follow the head of a stream")
def follow_head(context, count):
    async def send(harness):
        reader, writer = await harness.connect()
        started = now()
        writer.write(raw_request(PATHS["stream"]))
        while not any(scripted.is_leaving for scripted in harness.runners):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        context.followups = await send_followups(harness, count)
        found = await read_answer(reader)
        writer.close()
        await harness.settle()
        return (*found, now() - started)

    run_in_harness(context, send)


@then("the {count:d} are answered whole and none of them reached the runner that leaves")
def none_reached(context, count):
    assert len(context.followups) == count
    for status, _, body, is_whole, _ in context.followups:
        assert status == 200 and is_whole and body.startswith(BODY), context.followups
    (leaving,) = [scripted for scripted in context.harness.runners if scripted.is_leaving]
    assert leaving.late_requests == 0, leaving.late_requests


@then("it sees the end of all its connections")
def step_all_closed(context):
    (leaving,) = [scripted for scripted in context.harness.runners if scripted.is_leaving]
    assert leaving.connections_at_end == 0, leaving.connections_at_end


@then("the log names the runner and the request whose answer announced it")
def step_log_names_runner(context):
    lines = [fields for name, fields in context.harness.log.lines if name == "runner_leaving"]
    (leaving,) = [n for n, scripted in enumerate(context.harness.runners) if scripted.is_leaving]
    assert [line["runner"] for line in lines] == [f"r-{leaving}"], lines
    assert lines[0]["state"] == "leaving-announced", lines


@given("one of the runners begins to leave after {count:d} answers")
def answers_and_leaves(context, count):
    context.behaviours = ["answer"] * count + ["answer while leaving", "answer"]


@when("the entry of a runner with an idle connection {change}")
def entry_changes(context, change):
    async def send(harness):
        await fetch(harness, raw_request(PATHS["idempotent"]))
        (number,) = [n for n, scripted in enumerate(harness.runners) if scripted.requests]
        context.idle = harness.runners[number]
        await harness.settle()
        assert context.idle.connections_at_end == 1
        leaving = evolve(harness.fleet.directory.get(f"r-{number}"), is_draining=True)
        harness.values[b"leaving"] = leaving
        body = b"leaving" if change == "tells that it leaves" else None
        harness.fleet.published.apply_items(
            [StateItem(name=f"runner/r-{number}", revision=1, body=body)]
        )
        await harness.settle()

    run_in_harness(context, send)


@then("the runner sees the end of that connection")
def step_idle_closed(context):
    assert context.idle.connections_at_end == 0


@when("{callers:d} callers send {count:d} requests each on kept connections")
def many_callers(context, callers, count):
    context.sent_at, context.announced_at, context.bodies = {}, [], []

    async def call(harness, number):
        reader, writer = await harness.connect()
        for turn in range(count):
            name = f"c-{number}-{turn}"
            context.sent_at[name] = now()
            writer.write(raw_request(PATHS["idempotent"], request_id=name))
            _, head, body, is_whole = await read_answer(reader)
            context.bodies.append(is_whole and body == BODY + name.encode())
            if "Leaving: 1" in head:
                context.announced_at.append(now())
        writer.close()

    async def call_all(harness):
        await asyncio.gather(*(call(harness, number) for number in range(callers)))
        await harness.settle()

    run_in_harness(context, call_all)


@then("all are answered whole")
def all_whole(context):
    assert len(context.bodies) == len(context.sent_at) and all(context.bodies), context.bodies


@then("no request that was sent after a caller got the announcement reached the runner that leaves")
def step_none_after_announcement(context):
    (leaving,) = [scripted for scripted in context.harness.runners if scripted.is_leaving]
    reached = [re.search(r"Request-Id: (\S+)", head)[1] for head in leaving.requests]
    after = [name for name in context.sent_at if context.sent_at[name] > min(context.announced_at)]
    assert after and not set(after) & set(reached), set(after) & set(reached)


@when("the chosen runner announces that it leaves while the connection for a request opens")
def announced_while_connecting(context):
    async def send(harness):
        fleet, acquire = harness.fleet, harness.fleet.pool.acquire

        async def slow_acquire(address, **limits):
            conn = await acquire(address, **limits)
            if not hasattr(context, "left"):
                (chosen,) = [r for r in fleet.directory if r.address == address]
                context.left = int(chosen.id.removeprefix("r-"))
                fleet.published.on_runner_announced(chosen, "other")
            return conn

        fleet.pool.acquire = slow_acquire
        return await fetch(harness, raw_request(PATHS["idempotent"]))

    run_in_harness(context, send)


@then("the runner that leaves received {count:d} requests")
def step_received_count(context, count):
    assert len(context.harness.runners[context.left].requests) == count


@when("a caller sends two requests and then a third one on the at-most-once route")
def send_three(context):
    async def send(harness):
        for number in range(2):
            await fetch(harness, raw_request(PATHS["at-most-once"], request_id=f"q-{number}"))
        return await fetch(harness, raw_request(PATHS["at-most-once"], request_id="q-3"))

    run_in_harness(context, send)


@when("the runner announces that it leaves")
def last_runner_announces(context):
    async def run():
        context.fleet.pool = ConnectionPool(max_idle=1)
        needs = PlacementNeeds(
            service="s",
            prompt_tokens=100,
            answer_tokens=50,
            objective_at=now() + 0.5,
            deadline=now() + 6.0,
            is_resubmitted=False,
            is_first=True,
            tried=frozenset(),
        )
        req = SimpleNamespace(is_caller_gone=False, set_gone_callback=lambda callback: None)
        waiting = asyncio.ensure_future(Placer(fleet=context.fleet).place(needs, req))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        context.fleet.on_answer_head(context.fleet.directory.get("r"), LEAVING_ANSWER)
        announced_at = now()
        context.refusal = await waiting
        context.refused_after_s = now() - announced_at

    asyncio.run(run())


@then("the request is refused within {seconds:g} s with the retry time for a new runner")
def refused_soon(context, seconds):
    assert context.refused_after_s <= seconds, context.refused_after_s
    assert context.refusal.retry_after_s == ALL_LEAVING_RETRY_S, context.refusal


READY, DRAINING = runner(born_ms=5), runner(born_ms=5, is_draining=True)
ITEM_VALUES = {
    b"ready": READY,
    b"draining": DRAINING,
    b"later": runner(born_ms=6),
    b"earlier": runner(born_ms=4),
    b"moved": runner(born_ms=5, address="127.0.0.2:9"),
    b"other": runner(id="r-2", born_ms=7),
}
LISTED_REVISION = 10
FIRST = StatePosition(revision=1)


def apply_runner_item(context, body, revision=LISTED_REVISION + 1, runner_id="r-1"):
    context.published_view.apply_items(
        [StateItem(name=f"runner/{runner_id}", revision=revision, body=body)]
    )


def list_runner(context):
    """List the runner in the view of a process whose platform is reachable."""
    log = EventLog(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
    context.published_view = PublishedView(
        items=PublishedState(), decoder=LookupDecoder(ITEM_VALUES), log=log
    )
    context.fleet = FleetView(
        published=context.published_view,
        failure_domain="a",
        regions={},
        pool=ConnectionPool(max_idle=1),
        limits=LIMITS,
        rng=None,
        processes=lambda: 1,
        announce_send=lambda runner_id, tokens: None,
        runner_limits=RunnerLimits(host="t"),
    )
    apply_runner_item(context, b"ready", LISTED_REVISION - 1)
    assert context.published_view.directory.may_receive(READY)


@given("a listed runner that leaves by its {way}")
def leaves_by(context, way):
    list_runner(context)
    if way == "announcement":
        context.fleet.on_answer_head(READY, LEAVING_ANSWER)
    else:
        apply_runner_item(context, b"draining", LISTED_REVISION)
    assert not context.published_view.directory.routable("models")


def apply_both(context, first, second):
    apply_runner_item(context, first)
    apply_runner_item(context, second, LISTED_REVISION + 2)


FOLLOWING_EVENTS = {
    "its entry, ready, at a newer revision": lambda c: apply_runner_item(c, b"ready"),
    "its entry, draining, at a newer revision": lambda c: apply_runner_item(c, b"draining"),
    "its entry, ready, at an older revision": lambda c: apply_runner_item(c, b"ready", 1),
    "a later incarnation at a newer revision": lambda c: apply_runner_item(c, b"later"),
    "a later incarnation at an older revision": lambda c: apply_runner_item(c, b"later", 1),
    "an earlier incarnation at a newer revision": lambda c: apply_runner_item(c, b"earlier"),
    "another address at a newer revision": lambda c: apply_runner_item(c, b"moved"),
    "its removal and its entry": lambda c: apply_both(c, None, b"ready"),
    "its removal and an earlier incarnation": lambda c: apply_both(c, None, b"earlier"),
}


def apply_following(context, event):
    if event in FOLLOWING_EVENTS:
        FOLLOWING_EVENTS[event](context)
    elif event == "its removal while the platform is away":
        context.published_view.on_platform_state(False)
        apply_runner_item(context, None)
    elif event == "its agent's report of a free runner":
        context.fleet.on_report(RunnerReport(runner="r-1", born_ms=5, is_reachable=True))
    elif event == "an answer without the announcement":
        context.fleet.on_answer_head(READY, AnswerMetadata(request_id="later"))
    else:
        assert event == "its announcement and its entry", event
        context.fleet.on_answer_head(READY, LEAVING_ANSWER)
        apply_runner_item(context, b"ready")


when("{event} follows")(apply_following)


def assert_used(context, expected):
    used = [found.id for found in context.published_view.directory.routable("models")]
    assert used == expected, used


then("the runner that left is used")(lambda context: assert_used(context, ["r-1"]))
then("the runner that left is not used")(lambda context: assert_used(context, []))


# Events that lead to each state from a runner that is listed as ready.
EVENTS_TO_STATE = {
    "serving": [],
    "assumed": ["expired"],
    "leaving-by-publication": ["draining"],
    "leaving-announced": ["announcement"],
    "gone": ["removed"],
    "gone, by announcement": ["announcement", "removed"],
}
PRESENCE_EVENTS = {
    "ready": lambda p, inc: p.on_listed(inc, is_draining=False, position=FIRST),
    "draining": lambda p, inc: p.on_listed(inc, is_draining=True, position=FIRST),
    "announcement": lambda p, inc: p.on_leave_announced(inc),
    "removed": lambda p, inc: p.on_removed(position=FIRST, is_trusted=True),
    "expired": lambda p, inc: p.on_removed(position=FIRST, is_trusted=False),
    "not back": lambda p, inc: p.on_entry_expired(),
}


@then("the states of one incarnation change as follows")
def step_transitions(context):
    incarnation = READY.incarnation
    for row in context.table:
        for event, expected in list(row.items())[1:]:
            presence = RunnerPresence(incarnation=incarnation)
            for before in ["ready", *EVENTS_TO_STATE[row["state"]]]:
                PRESENCE_EVENTS[before](presence, incarnation)
            assert row["state"].startswith(presence.state.value), (row, presence)
            PRESENCE_EVENTS[event](presence, incarnation)
            assert presence.state.value == expected, (row["state"], event, presence)


@when("its entry is removed and {count:d} other runners come and go")
def come_and_go(context, count):
    directory = context.published_view.directory
    context.revision = getattr(context, "revision", LISTED_REVISION) + 1
    apply_runner_item(context, None, context.revision)
    for number in range(count):
        other = runner(id=f"x-{context.revision}-{number}")
        directory.on_listed(other)
        directory.on_removed(other.id, now())


@when("a late entry lists it as ready")
def late_entry(context):
    context.revision += 1
    apply_runner_item(context, b"ready", context.revision)


@given("a listed runner whose entry is removed while the platform is away")
def step_assumed_runner(context):
    list_runner(context)
    context.published_view.on_platform_state(False)
    apply_runner_item(context, None)
    assert context.published_view.directory.may_receive(READY)


@when("the platform answers again and {seconds:g} s pass without a heartbeat")
def platform_answers(context, seconds):
    context.published_view.on_platform_state(True)
    context.later = clock.now() + seconds


@then("the runner gets no request, also none that was placed before")
def step_no_request(context):
    later = SimpleNamespace(CLOCK_BOOTTIME=0, clock_gettime=lambda _: context.later)
    with patch.object(clock, "time", later):
        assert not context.fleet.may_send(READY, context.later - 0.1)
        assert not context.fleet.views("models", RouteRequest())


@when("an answer announces that it leaves")
def assumed_announces(context):
    context.fleet.on_answer_head(READY, LEAVING_ANSWER)


@then("the runner is forgotten")
def is_forgotten(context):
    assert not list(context.published_view.directory)
    assert context.published_view.directory.state("r-1") is PresenceState.GONE


@when("another runner is listed at its address")
def other_listed(context):
    apply_runner_item(context, b"other", runner_id="r-2")


then("the other one is used")(lambda context: assert_used(context, ["r-2"]))


@when("a later incarnation is listed and an answer of the earlier one announces that it leaves")
def late_announcement(context):
    apply_runner_item(context, b"later")
    context.fleet.on_answer_head(READY, LEAVING_ANSWER)


@then("the agents count {count:d} members of its model")
def step_members(context, count):
    fleet = ModelFleet(
        published=context.published_view,
        links=None,
        service="models",
        runner_address="127.0.0.1:9",
        regions={},
        links_port=1,
    )
    assert len(fleet.members()) == count, fleet.members()


def runners():
    """Return a strategy for incarnations of two runners, some of which share an address."""
    return st.builds(
        lambda runner_id, born_ms, address, is_draining: runner(
            id=runner_id, born_ms=born_ms, address=address, is_draining=is_draining
        ),
        st.sampled_from(["r-1", "r-2"]),
        st.integers(1, 3),
        st.sampled_from(["127.0.0.1:9", "127.0.0.2:9"]),
        st.booleans(),
    )


# Most entries have a newer revision; those from peers that lag have an older one.
EVENTS = st.one_of(
    st.tuples(st.just("listed"), runners(), st.sampled_from([1, 1, 1, -2])),
    st.tuples(st.just("removed"), runners(), st.sampled_from([1, 1, 1, -2])),
    st.tuples(st.just("announcement"), runners(), st.just(0)),
    st.tuples(st.sampled_from(["lost", "regained", "expired", "restart"]), runners(), st.just(0)),
)


class History:
    """A runner directory, and the events that it has received since the process started."""

    def __init__(self):
        self.revision, self.moment = 10, 0.0
        self.restart()

    def restart(self):
        self.directory = RunnerDirectory()
        self.announced, self.latest_births, self.newest_revisions = set(), {}, {}

    def apply(self, kind, listed: Runner, step):
        self.moment += 1.0
        revision = self.revision + step
        self.revision = max(self.revision, revision)
        before = {(r.id, r.incarnation) for r in self.directory if self.directory.may_receive(r)}
        if kind == "listed":
            self.directory.on_listed(listed, StatePosition(revision=revision))
            self.check_listed(listed, revision, before)
        elif kind == "removed":
            position = StatePosition(revision=revision)
            self.directory.on_removed(listed.id, self.moment, position)
            if revision < self.newest_revisions.get(listed.id, -1):
                self.check_unchanged(before)
            elif listed.id in self.newest_revisions or listed.id in {
                name for name, _ in self.announced
            }:
                # The removal of an unknown runner is recorded only in `PublishedState`.
                self.newest_revisions[listed.id] = revision
        elif kind == "announcement":
            self.directory.on_leave_announced(listed)
            self.announced.add((listed.id, listed.incarnation))
        elif kind == "lost":
            self.directory.on_platform_down()
        elif kind == "regained":
            self.directory.on_platform_up(self.moment)
        elif kind == "expired":
            self.directory.remove_expired(self.moment)
        else:
            self.restart()
        self.check()

    def check_listed(self, listed, revision, before):
        if revision < self.newest_revisions.get(listed.id, -1):
            self.check_unchanged(before)
            return
        self.newest_revisions[listed.id] = revision
        is_latest = listed.born_ms > self.latest_births.get(listed.id, 0)
        has_announced = (listed.id, listed.incarnation) in self.announced
        if is_latest and not has_announced:
            assert self.directory.may_receive(listed) is not listed.is_draining, listed
        self.latest_births[listed.id] = max(self.latest_births.get(listed.id, 0), listed.born_ms)

    def check_unchanged(self, before):
        after = {(r.id, r.incarnation) for r in self.directory if self.directory.may_receive(r)}
        assert after == before, (before, after)

    def check(self):
        used = {(r.id, r.incarnation) for r in self.directory.routable("models")}
        assert not used & self.announced, (used, self.announced)
        assert used == {
            (r.id, r.incarnation) for r in self.directory if self.directory.may_receive(r)
        }


@then("in any history no incarnation is used after its announcement, and a newer one is")
def any_history(context):
    @property_given(st.lists(EVENTS, min_size=10, max_size=40))
    def check(events):
        history = History()
        for event in events:
            history.apply(*event)

    check()
