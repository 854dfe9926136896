"""Steps about the rules of named times, without a network."""

import asyncio
import heapq
import itertools
import random
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from forwarding_stage import StoredValues
from hypothesis import given as property_given
from hypothesis import strategies as st
from overload_model import DEADLINE_S, ENGINE
from wasabilb_core.asked_pause import MAX_PAUSE_S, asked_pause
from wasabilb_core.catalog import Catalog, Service
from wasabilb_core.directory import Runner
from wasabilb_core.published import PublishedState
from wasabilb_core.runner_book import LoadReport
from wasabilb_core.runner_pauses import (
    MAX_AVOID_S,
    MAX_SPREAD_S,
    RELEASE_AFTER_S,
    RunnerPauses,
)
from wasabilb_entry.fleet_view import FleetLimits, FleetView
from wasabilb_entry.placer import Demand, Placer
from wasabilb_node import clock
from wasabilb_node.followed_state import FollowedState
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import RunnerReport

RUNNER = Runner(
    id="r",
    born_ms=1,
    service="s",
    address="x:1",
    failure_domain="a",
    slots=16,
    version=1,
    layer_to=1,
)
# Half a second in which a request may still be on its way.
ON_THE_WAY_S = 0.5


@when("a refusal names {text}")
def refusal_names(context, text):
    context.pause = asked_pause({"nothing": None, "400 nines": "9" * 400}.get(text, text))


@then("the runner is left alone for {seconds:g} s and the log says {reading}")
def left_alone(context, seconds, reading):
    pause = context.pause
    if reading == "nothing":
        assert pause is None
        return
    assert (pause.seconds, pause.reading.value) == (seconds, reading), pause
    pauses = RunnerPauses()
    pauses.on_named(RUNNER, pause.seconds, 10.0, spread=0.0)
    assert pauses.is_named(RUNNER, 10.0 + seconds * 0.999) == (seconds > 0)
    assert not pauses.is_named(RUNNER, 10.0 + seconds)


class Process:
    """One entry process and the runner before it, on a virtual clock, with delays on the way."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.pauses = RunnerPauses()
        self.runner = RUNNER
        self.now, self.events, self.numbers = 0.0, [], itertools.count()
        self.arrivals, self.named = [], []

    def at(self, delay_s, call, *args):
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), call, args))

    def delay_s(self):
        return self.rng.uniform(0.0, 0.2)

    def place(self, says):
        """Send a request when that is allowed, perhaps some time after it was placed."""
        limited = self.pauses.is_limited(self.runner, self.now)
        if self.pauses.may_try(self.runner, self.now) or (self.rng.random() < 0.5 and not limited):
            self.at(self.rng.choice((0.0, 0.6)), self.send, self.runner, says)

    def send(self, runner, says):
        if not self.pauses.is_named(runner, self.now):
            self.pauses.on_sent(runner, self.now)
            self.at(self.delay_s(), self.arrive, runner, says)

    def arrive(self, runner, says):
        self.arrivals.append((runner.born_ms, self.now))
        if isinstance(says, float):
            self.named.append((runner.born_ms, self.now, says))
        self.at(self.delay_s(), self.hear, runner, says)

    def hear(self, runner, says):
        if isinstance(says, float):
            self.pauses.on_named(runner, says, self.now, spread=self.rng.random())
        if says != "answer":
            self.pauses.on_full(runner, self.now)
        else:
            self.pauses.on_success(runner)

    def act(self, action):
        if action == "fails":
            self.pauses.on_failure(self.runner, self.now)
        elif action == "is gone":
            self.pauses.forget(self.runner.id, self.now)
        elif action == "serves":
            self.pauses.on_serving(self.runner, self.now)
        elif action == "later incarnation":
            self.runner = evolve(RUNNER, born_ms=self.runner.born_ms + 1)
        elif action == "first incarnation":
            self.runner = RUNNER
        else:
            self.place(action)

    def play(self, steps):
        delay_s = 0.0
        for step_s, action in steps:
            delay_s += step_s
            self.at(delay_s, self.act, action)
        while self.events:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def reached(self):
        """Return the arrivals in the spans in which there should be none."""
        return [
            (at - named_at, seconds)
            for born_ms, named_at, seconds in self.named
            for other_ms, at in self.arrivals
            if born_ms == other_ms
            and named_at + ON_THE_WAY_S < at < named_at + min(seconds, RELEASE_AFTER_S)
        ]


@when("random requests, refusals, failures, lists and reports meet random delays of up to 0.2 s")
def random_events(context):
    says = st.sampled_from(["answer", "full"]) | st.floats(0.1, 9.0) | st.just(MAX_PAUSE_S)
    others = st.sampled_from(
        ["fails", "is gone", "serves", "later incarnation", "first incarnation"]
    )
    # Requests that are sent at once can be refused with different times.
    steps_s = st.just(0.0) | st.floats(0.0, 0.5) | st.floats(0.0, 70.0)
    steps = st.tuples(steps_s, says | says | others)
    context.reached, context.lost, context.refusals = [], [], 0

    @property_given(st.lists(steps, max_size=60), st.integers(0, 2**32))
    def check(events, seed):
        process = Process(seed)
        process.play(events)
        context.refusals += len(process.named)
        found = process.reached()
        context.reached += found
        ends = [at + 0.2 + seconds + MAX_SPREAD_S for _, at, seconds in process.named]
        soon = max([process.now, *ends]) + MAX_AVOID_S
        if not process.pauses.may_try(process.runner, soon):
            context.lost.append(soon)
        assert not found and not context.lost

    check()


@then(
    "no request reached an incarnation from half a second after its refusal to the end of its time"
)
def none_reached(context):
    assert context.refusals > 100, context.refusals
    assert not context.reached, context.reached


@then("each runner could be tried again soon after its time had ended")
def none_lost(context):
    assert not context.lost, context.lost


def fleet_of(*runners):
    """Return what an entry process knows of some model runners."""
    log = EventLog(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
    published = FollowedState(items=PublishedState(), decoder=StoredValues({}), log=log)
    published.catalog = Catalog(
        version=1, routes=(), services={"s": Service(name="s", engine=ENGINE)}
    )
    for runner in runners:
        published.directory.on_listed(runner)
    return FleetView(
        published=published,
        failure_domain="a",
        regions={"a": "r"},
        pool=None,
        limits=FleetLimits(retry_ratio=0.2, retry_slack=1, retry_window_s=10, version_s=8),
        rng=random.Random(1),
        processes=lambda: 1,
        tell_sent=lambda runner_id, tokens: None,
    )


@given("a runner that named {seconds:g} s")
def named_hour(context, seconds):
    context.seconds = seconds


@when("{word} comes after {age:g} s")
def word_comes(context, word, age):
    fleet = fleet_of(RUNNER)
    # As if it had been named so long ago.
    fleet.book.pauses.on_named(RUNNER, context.seconds, clock.now() - age, spread=0.0)
    runner = RUNNER
    reports = {
        "running requests": {"running": 3},
        "no running request": {},
        "an order": {"running": 3, "is_busy": True},
    }
    report = reports.get(word.removeprefix("its agent's report of "))
    if word == "a later incarnation":
        runner = evolve(RUNNER, born_ms=2)
        fleet.directory.on_listed(runner)
    elif report is not None:
        said = RunnerReport(runner="r", born_ms=1, version=1, layer_to=1, **report)

        async def tell():
            # An order sets a timer on the event loop.
            fleet.on_report(said)

        asyncio.run(tell())
    context.may_try = fleet.book.pauses.may_try(runner, clock.now())


@then("the runner {may} be tried")
def may_be_tried(context, may):
    assert context.may_try == (may == "may"), context.may_try


@given("a full runner for which a request is held")
def full_runner(context):
    context.fleet = fleet_of(RUNNER)
    report = LoadReport(running=16, waiting=4, at=clock.now(), slots=16)
    context.fleet.book.on_report(RUNNER, report)


@when("the runner names {seconds:g} s{room}")
def held_meanwhile(context, seconds, room):
    async def play():
        moment = clock.now()
        demand = Demand(
            service="s",
            prompt_tokens=100,
            answer_tokens=50,
            objective_at=moment + 0.4,
            deadline=moment + DEADLINE_S,
            is_returned=False,
            is_first=True,
            tried=frozenset(),
        )
        req = SimpleNamespace(is_gone=False, watch_gone=lambda callback: None)
        waiting = asyncio.ensure_future(Placer(fleet=context.fleet).place(demand, req))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        context.named_at = clock.now()
        context.fleet.book.pauses.on_named(RUNNER, seconds, context.named_at, spread=0.0)
        if room:
            report = LoadReport(running=0, waiting=0, at=clock.now(), slots=16)
            context.fleet.book.on_report(RUNNER, report)
        context.seconds = seconds
        context.placed = await waiting
        context.placed_at = clock.now()

    asyncio.run(play())


when("the runner names {seconds:g} s")(
    lambda context, seconds: held_meanwhile(context, seconds, "")
)


@then(
    "the held request is refused within {limit:g} s and told to come back after the runner's time"
)
def refused_held(context, limit):
    took_s = context.placed_at - context.named_at
    assert took_s <= limit, took_s
    assert context.placed.is_earliest
    assert took_s + context.placed.retry_after_s >= context.seconds - 0.01, context.placed


@then("the held request is sent after the runner's time")
def sent_held(context):
    assert context.placed.runner == RUNNER, context.placed
    assert context.placed_at - context.named_at >= context.seconds
