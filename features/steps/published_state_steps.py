"""Steps about published state, the directory of runners, versions and reload waves."""

import asyncio
import logging
import math
import random

from behave import given, then, when
from fleet_view_factory import make_fleet_view
from forwarding_harness import LookupDecoder
from overload_model import ENGINE
from wasabilb_agent._load_inputs import LoadInputs
from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_agent._version_loader import VersionLoader
from wasabilb_agent.model_runner import RunnerState
from wasabilb_core.catalog import Catalog, EngineSpec, OriginSpec, Service, WeightTarget
from wasabilb_core.named_versions import NamedVersions, Naming
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.reload_waves import LATEST_ORDER_FRACTIONS, WaveMember, is_easing, may_reload
from wasabilb_core.routing import RouteRequest
from wasabilb_core.runner_directory import Runner, RunnerDirectory
from wasabilb_core.state_position import StatePosition
from wasabilb_core.version_steps import (
    StepInputs,
    VersionCandidate,
    plan_load_steps,
    version_to_load,
    versions_to_fetch,
)
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.published_view import PublishedView
from waves_model import WaveFleet

BOUND_S = 8.0
# A runner that entry processes have avoided for the length of most requests loads within 0.5 s; a
# fully used one needs up to 2 s.
EASED_S, EASED_RELOAD_S, FULL_RELOAD_S = 1.5, 0.5, 2.0


def runner(**changes):
    values = {
        "id": "r-1",
        "born_ms": 1,
        "service": "models",
        "address": "127.0.0.1:9",
        "failure_domain": "a",
    }
    return Runner(**{**values, **changes})


@when("updates of published items reach two processes in random order and repeatedly")
def updates_reach_processes(context):
    rng = random.Random(7)
    history, names = [], ["a", "b", "c"]
    for revision in range(1, 60):
        body = None if rng.random() < 0.2 else str(revision).encode()
        history.append(StateItem(name=rng.choice(names), revision=revision, body=body))
    context.states, context.went_back = [], 0
    for _ in range(2):
        state, seen = PublishedState(), {}
        updates = [history[i : i + rng.randint(1, 9)] for i in rng.choices(range(59), k=300)]
        for update in [*updates, history]:
            before = StatePosition(revision=update[0].revision - 1)
            for item in state.on_changes(update, after=before, position=update[-1].position):
                context.went_back += item.revision <= seen.get(item.name, 0)
                seen[item.name] = item.revision
        context.states.append(state)
    context.newest = {item.name: item for item in history}


@then("both hold the same items at their newest revisions")
def hold_newest(context):
    for state in context.states:
        assert {
            item.name: item for item in state.changes_after(StatePosition())[0]
        } == context.newest
        assert state.revision == 59


@then("no item ever went back to an older revision")
def never_went_back(context):
    assert context.went_back == 0


@given("a process that has all changes up to revision 5")
def has_changes_to_five(context):
    context.state = PublishedState()
    items = [
        StateItem(name="kept", revision=2, body=b"1"),
        StateItem(name="old", revision=5, body=b"2"),
    ]
    context.state.on_snapshot(items, StatePosition(revision=5))


@when("it receives the changes after revision 8 up to revision 9")
def receives_with_gap(context):
    item = StateItem(name="new", revision=9, body=b"")
    after = StatePosition(revision=8)
    context.state.on_changes([item], after=after, position=item.position)


@then("it still requests the changes after revision 5")
def requests_after_five(context):
    assert context.state.revision == 5


@when("a snapshot at revision 9 no longer lists an item")
def read_snapshot(context):
    listed = [StateItem(name="kept", revision=2, body=b"1")]
    context.changed = context.state.on_snapshot(listed, StatePosition(revision=9))


@then("that item counts as removed")
def item_removed(context):
    assert [(item.name, item.body) for item in context.changed] == [("old", None)]


@given("a listed runner")
def listed_runner(context):
    context.directory = RunnerDirectory()
    context.directory.on_listed(runner())


@given("a listed runner that is draining")
def listed_draining(context):
    context.directory = RunnerDirectory()
    context.directory.on_listed(runner(is_draining=True))


@when("the platform is {platform} and the runner's entry is removed")
def entry_removed(context, platform):
    if platform != "answering":
        context.directory.on_platform_down()
    if platform == "away and back":
        context.directory.on_platform_up(100.0)
    context.directory.on_removed("r-1", 100.0)


@then("after {seconds:d} s the runner is {state}")
def runner_state(context, seconds, state):
    context.directory.remove_expired(100.0 + seconds)
    is_routable = bool(context.directory.routable("models"))
    assert is_routable == (state == "routable"), state
    if state == "gone":
        assert context.directory.get("r-1") is None


@when("version 2 is named at 18 s and version 3 at 20 s")
def versions_named(context):
    context.named = NamedVersions()
    context.named.on_named(2, Naming(position=StatePosition(revision=2), after=18.0))
    context.named.on_named(3, Naming(position=StatePosition(revision=3), after=20.0))


@then("version 2 is demanded from 25 s and version 3 from 27 s")
def versions_demanded(context):
    found = [context.named.newest_due(at, 7.0) for at in (24.9, 25.0, 26.9, 27.0)]
    assert found == [None, 2, 2, 3], found


@then("a runner with version 1 has been outdated since 18 s")
def outdated_since(context):
    assert context.named.named_for_s(1, 24.0) == 6.0
    assert context.named.named_for_s(2, 24.0) == 4.0
    assert context.named.named_for_s(3, 24.0) < 0


@when("a process finds version 2 at its start")
def found_at_start(context):
    context.named = NamedVersions()
    context.named.on_named(2, Naming(position=StatePosition(revision=2)))


@then("version 2 is demanded at once")
def demanded_at_once(context):
    assert context.named.newest_due(50.0, 7.0) == 2


@given("{count:d} runners in 3 failure domains that hold version 1")
def runners_hold(context, count):
    context.members = {
        f"r-{n}": WaveMember(failure_domain="abc"[n % 3], version=1) for n in range(count)
    }


@when("version 2 is named and every runner has its weights after {ready:g} s")
def weights_ready(context, ready):
    """Simulate the time after the naming in steps of 50 ms."""
    members, loading = dict(context.members), {}
    context.ordered, context.most = {}, 0
    for step in range(int(BOUND_S / 0.05)):
        now = step * 0.05
        for name, done_at in list(loading.items()):
            if now >= done_at:
                members[name] = WaveMember(failure_domain=members[name].failure_domain, version=2)
                del loading[name]
        for name, member in list(members.items()):
            is_waiting = member.version == 1 and now >= ready
            if is_waiting and may_reload(
                name=name, members=members, version=2, named_s=now, bound_s=BOUND_S
            ):
                is_eased = is_easing(
                    name=name, members=members, named_s=now - EASED_S, bound_s=BOUND_S
                )
                loading[name] = now + (EASED_RELOAD_S if is_eased else FULL_RELOAD_S)
                context.ordered[name] = now
                # The list shows no usable version of a runner that loads.
                domain = member.failure_domain
                members[name] = WaveMember(failure_domain=domain, version=0, is_reloading=True)
        if now < 7.0:
            context.most = max(context.most, len(loading))


@then("at most {parts:d} of 3 parts of the runners reload at once before 7 s")
def most_reload(context, parts):
    assert context.most <= parts * -(-len(context.members) // 3), context.most


@then("every runner gets its order within {seconds:g} s of the 8 s bound")
def all_ordered(context, seconds):
    assert len(context.ordered) == len(context.members)
    assert max(context.ordered.values()) <= seconds, context.ordered


@when("one of them restarts without weights after version 2 was named")
def restarts_empty(context):
    context.members["r-5"] = WaveMember(failure_domain="c", version=0)


@then("it may load at once")
def loads_at_once(context):
    assert may_reload(name="r-5", members=context.members, version=2, named_s=0.1, bound_s=BOUND_S)


def model_fleet(published):
    return ModelFleet(
        published=published,
        links=None,
        service="models",
        runner_address="127.0.0.1:9",
        regions={},
        links_port=1,
    )


@given("an agent whose published state lists the runner on its host")
def step_own_entry(context):
    log = EventLog(process="t", role="agent", host="t", failure_domain="a", incarnation="1")
    values = {b"first": runner(), b"second": runner(born_ms=2)}
    context.published_view = PublishedView(
        items=PublishedState(), decoder=LookupDecoder(values), log=log
    )
    context.model_fleet = model_fleet(context.published_view)
    context.published_view.apply_items([StateItem(name="runner/r-1", revision=1, body=b"first")])
    assert context.model_fleet.own_runner().born_ms == 1


@when("the entry is removed")
def step_own_removed(context):
    context.published_view.apply_items([StateItem(name="runner/r-1", revision=2, body=None)])
    assert context.published_view.directory.get("r-1") is None


@then("the agent still reports this runner")
def step_own_known(context):
    assert context.model_fleet.own_runner().born_ms == 1


@when("an entry with a later start is listed at the same address")
def step_own_later(context):
    context.published_view.apply_items([StateItem(name="runner/r-1", revision=3, body=b"second")])


@then("the agent reports the later one")
def step_own_is_later(context):
    assert context.model_fleet.own_runner().born_ms == 2


# Time before the bound from which a runner gets no requests, and time to load a version.
UNUSED_S, LOAD_S = 0.9, 0.5
STEP_S = 0.1


class SimulatedHost:
    """A host of the second wave; the versions that it fetches share its link."""

    def __init__(self, *, link_s, bound_s, named, outage, is_newest_only=False):
        self.link_s, self.bound_s, self.named, self.outage = link_s, bound_s, named, outage
        self.is_newest_only = is_newest_only
        self.share = dict.fromkeys(named, 0.0)
        self.held, self.loads, self.serving_s, self.idle_s = 1, [], 0.0, 0.0
        self.loading_until = 0.0

    def outdated_s(self, version, now):
        newer = [at for other, at in self.named.items() if other > version and at <= now]
        return now - min(newer) if newer else -math.inf

    def versions(self, now):
        return [
            VersionCandidate(
                number=number,
                share=self.share[number],
                is_ready=self.share[number] >= 1,
                outdated_s=self.outdated_s(number, now),
                reachable_share=1.0 if self.is_available(number, now) else self.share[number],
            )
            for number, at in self.named.items()
            if at <= now and number > self.held
        ]

    def is_available(self, number, now):
        # Some peer holds every chunk of the first version before the store fails.
        return number == min(self.named) or not self.outage[0] <= now < self.outage[1]

    def decide(self, versions, now):
        inputs = StepInputs(
            usable_s=self.bound_s - UNUSED_S,
            copy_s=self.link_s,
            load_s=LOAD_S,
            idle_load_s=LOAD_S,
            away_s=max(0.0, now - self.outage[0]) if now < self.outage[1] else 0.0,
        )
        if self.is_newest_only:
            versions = versions[-1:]
        held_outdated_s = self.outdated_s(self.held, now)
        steps = plan_load_steps(versions, held_outdated_s=held_outdated_s, inputs=inputs)
        if steps is None:
            return set(), None
        return versions_to_fetch(versions, steps, inputs), version_to_load(versions, steps)

    def run(self, seconds):
        for step in range(round(seconds / STEP_S)):
            self.step(step * STEP_S)
        return self

    def step(self, now):
        target_versions, number = self.decide(self.versions(now), now)
        fetched_now = [
            n for n in target_versions if self.is_available(n, now) and self.share[n] < 1
        ]
        for n in fetched_now:
            self.share[n] += STEP_S / self.link_s / len(fetched_now)
        is_turn = self.outdated_s(self.held, now) >= LATEST_ORDER_FRACTIONS[1] * self.bound_s
        if number is not None and is_turn and now >= self.loading_until:
            self.held, self.loading_until = number, now + LOAD_S
            self.loads.append(number)
        is_usable = self.outdated_s(self.held, now) < self.bound_s - UNUSED_S
        if is_usable and now >= self.loading_until:
            self.serving_s += STEP_S
        else:
            self.idle_s += STEP_S


@given(
    "a link that takes {link:g} s for a version and a runner whose versions may serve for "
    "{bound:g} s"
)
def step_link(context, link, bound):
    context.link_s, context.bound_s = link, bound


def run_both(context, second, outage):
    names = {"link_s": context.link_s, "bound_s": context.bound_s, "outage": outage}
    named = {2: 0.0, 3: second}
    context.stepwise, context.newest = (
        SimulatedHost(named=named, is_newest_only=is_newest_only, **names).run(20.0)
        for is_newest_only in (False, True)
    )


@when(
    "a version is named at 0 s, the next one at {second:g} s, and its store is away from {off:g} s "
    "to {on:g} s"
)
def step_named_away(context, second, off, on):
    run_both(context, second, (off, on))


@when("a version is named at 0 s, the next one at {second:g} s, and its store is never away")
def step_named_there(context, second):
    run_both(context, second, (math.inf, math.inf))


@then(
    "the runner serves longer than one whose host fetches only the newest, by {second:g} s "
    "less a load"
)
def step_serves_longer(context, second):
    gained = context.stepwise.serving_s - context.newest.serving_s
    least = second - LOAD_S - STEP_S / 2
    assert gained >= least, (context.stepwise.serving_s, context.newest.serving_s)


@then("it serves nothing for at most {most:g} s")
def step_idle(context, most):
    assert context.stepwise.idle_s <= most, context.stepwise.idle_s


@then("the runner loads only the newer one and serves except while it loads")
def step_newer_only(context):
    assert context.stepwise.loads == [3], context.stepwise.loads
    assert context.stepwise.idle_s <= LOAD_S + STEP_S, context.stepwise.idle_s


@given("a runner whose versions may serve for {bound:g} s")
def step_bound(context, bound):
    context.bound_s = bound


@when(
    "{share:g} of a version is held {seconds:g} s after a newer one was named, {held:g} s after "
    "the one that the runner holds was out of date, while the store is {store}"
)
def step_partly_there(context, share, seconds, held, store):
    older = VersionCandidate(number=2, share=share, is_ready=False, outdated_s=seconds)
    newer = VersionCandidate(
        number=3, share=0.0, is_ready=False, outdated_s=-math.inf, reachable_share=0.0
    )
    inputs = StepInputs(
        usable_s=context.bound_s - UNUSED_S,
        copy_s=4.2,
        load_s=1.6,
        away_s=1.0 if store == "away" else 0.0,
    )
    held_outdated_s = context.bound_s - UNUSED_S + held
    steps = plan_load_steps([older, newer], held_outdated_s=held_outdated_s, inputs=inputs)
    context.fetched = versions_to_fetch([older, newer], steps, inputs)


@then("the host fetches the {choice} version")
def step_fetches(context, choice):
    expected = {"older": {2}, "newer": {3}, "older and the newer": {2, 3}}[choice]
    assert context.fetched == expected, context.fetched


@when("random fleets are brought through versions that are named at random times")
def step_random_fleets(context):
    context.fleets = {seed: WaveFleet(seed).run() for seed in range(120)}


@then("no runner loads a version that would serve for a shorter time than its load takes")
def step_none_useless(context):
    assert not any(f.useless_loads for f in context.fleets.values()), {
        seed: f.useless_loads for seed, f in context.fleets.items() if f.useless_loads
    }


@then("no runner is ordered while fewer than the stated share answer")
def step_stated_share(context):
    found = {seed: f.excess_orders[:3] for seed, f in context.fleets.items() if f.excess_orders}
    assert not found, found


@then("every runner ends with the newest version")
def step_all_newest(context):
    for seed, fleet in context.fleets.items():
        assert set(fleet.held.values()) == {max(fleet.named_at)}, (seed, fleet.held)


class HostChunks:
    """Transfers of a host that holds given shares of versions."""

    def __init__(self, shares):
        self.shares, self.held, self.wanted, self.seeds = shares, set(), {}, {}

    def share(self, variant):
        return self.shares.get(int(variant.version), 0.0)

    def set_wanted(self, wanted, seeds):
        self.wanted, self.seeds = wanted, seeds


def make_version_loader(log, *, runner=None, staging=None):
    """Return a loader of an agent, and the named versions that it follows."""
    engine = EngineSpec(model="m", slots=16, step_s=0.01, chunks=48, chunk_bytes=49152)
    origin = OriginSpec(address="127.0.0.1:8", failure_domain="a", bytes_per_s=15e6 / 8)
    state = PublishedView(items=PublishedState(), decoder=LookupDecoder({}), log=log)
    services = {
        "models": Service(name="models", engine=engine),
        "weights": Service(name="weights", origin=origin),
    }
    state.catalog = Catalog(version=1, routes=(), services=services)
    state.version_ages._models["m"] = named = NamedVersions()
    names = {"published": state, "fleet": model_fleet(state)}
    inputs = LoadInputs(**names, origin=OriginUptime(), link_bytes_per_s=4.7e6 / 8, version_s=8.0)
    loader = VersionLoader(
        **names, runner=runner, staging=staging, inputs=inputs, version_s=8.0, log=log
    )
    return loader, named


@given("an agent whose host has {share:g} of version 2 and whose runner holds version 1")
def step_agent_between(context, share):
    lines = context.lines = []
    logger = logging.Logger("load-steps")
    logger.addHandler(logging.Handler())
    logger.handlers[0].emit = lines.append
    log = EventLog(
        process="t", role="agent", host="t", failure_domain="a", incarnation="1", logger=logger
    )
    context.loads, context.named = make_version_loader(log)
    context.chunks = HostChunks({2: share})


@when("version 3 has been named 2 s after it and the agent reconciles {count:d} times")
def step_agent_reconciles(context, count):
    context.named.on_named(2, Naming(position=StatePosition(revision=2), after=now() - 2.0))
    context.named.on_named(3, Naming(position=StatePosition(revision=3), after=now()))
    held = {"version": 1, "layer_from": 0, "layer_to": 1}
    state = RunnerState(**held, born_ms=1, model="m", is_busy=False, orders=0, running=12)
    for _ in range(count):
        asyncio.run(context.loads.reconcile(state, context.chunks))
        context.loads.select_transfers(context.chunks)


@then("it fetches version {number:d} and seeds version {seeded}")
def step_agent_fetches(context, number, seeded):
    chunks = context.chunks
    found = [[variant.version for variant in part] for part in (chunks.wanted, chunks.seeds)]
    assert found == [[str(number)], [] if seeded == "none" else [seeded]], found


@then("one log line names the path to version 3 and that {kept} is kept")
def step_agent_logs(context, kept):
    found = [line.msg for line in context.lines if line.msg["event"] == "load_steps"]
    assert [(line["path"], str(line.get("kept"))) for line in found] == [("3", kept)], found


@given("a runner that holds version {version:d}")
def step_holds(context, version):
    context.fleet = make_fleet_view(
        [runner(service="s", version=version, layer_from=0, layer_to=ENGINE.layers)]
    )


@when("version 2 must answer and version 3 is named")
def step_two_versions(context):
    view = context.fleet.published
    # What is published before the platform was first read may have been named long ago.
    for version in (2, 3):
        item = StateItem(name="weights", revision=version, body=b"%d" % version)
        target = WeightTarget(model=ENGINE.model, version=version)
        view._decoder.decode = lambda _, found=target: found
        view.apply_items([item])
        view._items.read_times.on_answer(item.position, now())


@then("a request is placed on it and expects version {version:d}")
def step_expects(context, version):
    (view,) = context.fleet.views("s", RouteRequest())
    assert context.fleet.placement("s", view).version == version
