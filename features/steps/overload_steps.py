"""Steps that simulate loads on runners that batch requests, without a network."""

import asyncio
import random
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from fleet_view_factory import make_fleet_view
from overload_model import DEADLINE_S, ENGINE, LATE_WORTH, OBJECTIVE_S, SLOW_ENGINE, FleetModel
from wasabilb_core._batch_backlog import PREFILL_SHARE
from wasabilb_core.catalog import WeightTarget
from wasabilb_core.errors import Outcome
from wasabilb_core.overload import SPARE_SLOTS, Decision, HeldLimit, decide_request
from wasabilb_core.retry_after import NO_RUNNER_RETRY_S, spread_retry_s
from wasabilb_core.routing import ROUTING, RouteRequest, RunnerView, load_of
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_stats import LoadReport
from wasabilb_core.state_position import StatePosition
from wasabilb_entry.placer import PlacementNeeds, Placer
from wasabilb_node.clock import now
from wasabilb_wire.messages import RunnerReport


def worth(jobs):
    """Return the worth of the answers: an answer in time counts 1, a late one a quarter."""
    whole = [job for job in jobs if job.ended_at is not None]
    on_time = sum(job.first_token_at - job.arrived <= OBJECTIVE_S for job in whole)
    return on_time + LATE_WORTH * (len(whole) - on_time)


@when("the load is simulated with everything sent and with requests held and refused")
def simulate_overload(context):
    rate = 1.3 * 5 / ENGINE.completion_interval_s
    context.all_sent = FleetModel(paces=[1.0] * 5, seed=3, policy="send all").run(rate, 12, 20)
    context.managed = FleetModel(paces=[1.0] * 5, seed=3, policy="manage").run(rate, 12, 20)


@then("holding and refusing serves at least 1.2 times the worth of sending everything")
def serves_more(context):
    assert worth(context.managed) >= 1.2 * worth(context.all_sent), (
        worth(context.managed),
        worth(context.all_sent),
        len(context.managed),
    )


@then("no caller that was refused had its request run")
def refused_not_run(context):
    assert not any(job.refused_at is not None and job.has_run for job in context.managed)


@then("each refused caller got a retry time")
def step_retry_times(context):
    refused_jobs = [job for job in context.managed if job.refused_at is not None]
    assert refused_jobs and all(job.retry_after_s > 0 for job in refused_jobs), len(refused_jobs)


def run_reloads(policy):
    """Simulate 10 runners at 0.9 of their capacity that load a version in three waves."""
    names = [f"r-{n}" for n in range(10)]
    load_spans = [(names[:3], 6, 7.7), (names[3:6], 6.7, 8.4), (names[6:], 7.7, 9.6)]
    jobs = []
    for seed in (1, 2):
        fleet = FleetModel(paces=[1.0] * 10, seed=seed, policy=policy, load_spans=load_spans)
        jobs += fleet.run(0.9 * 10 / ENGINE.completion_interval_s, 14, 22)
    return jobs


@when("the load is simulated with held requests sent in order and with new ones first")
def simulate_reloads(context):
    context.in_order, context.new_first = run_reloads("in order"), run_reloads("manage")


@then(
    "new ones first begin at least {factor:g} times as many answers in time from {start:g} to "
    "{end:g} s"
)
def step_more_in_time(context, factor, start, end):
    found = [
        sum(
            job.ended_at is not None and job.first_token_at - job.arrived <= OBJECTIVE_S
            for job in jobs
            if start <= job.arrived < end
        )
        for jobs in (context.new_first, context.in_order)
    ]
    assert found[0] >= factor * found[1], found


@then("the share of callers without an answer is at most {share:g} above that in order")
def step_few_lost(context, share):
    lost = [
        sum(job.ended_at is None for job in jobs) for jobs in (context.new_first, context.in_order)
    ]
    assert lost[0] <= lost[1] + share * len(context.in_order), lost


LARGE_FLEET = {
    "policy": "manage",
    "engine": SLOW_ENGINE,
    "processes": 20,
    "report_interval_s": 0.2,
    "objective_s": 0.6,
}


def run_large_fleet(factor, **options):
    jobs = []
    for seed in (1, 2):
        fleet = FleetModel(paces=[1.0] * 12, seed=seed, **LARGE_FLEET, **options)
        jobs += fleet.run(factor * 12 / SLOW_ENGINE.completion_interval_s, 20, 28)
    return jobs


def count_in_time(jobs):
    answered = [job for job in jobs if job.ended_at is not None]
    return sum(job.first_token_at - job.arrived <= LARGE_FLEET["objective_s"] for job in answered)


@when("the load of a large fleet is simulated at {factor:g} times what it can do")
def simulate_large_fleet(context, factor):
    context.factor, context.jobs = factor, run_large_fleet(factor)


@then("at least {share:g} of what the runners can do are answers in time")
def in_time_of_possible(context, share):
    possible = len(context.jobs) / context.factor
    assert count_in_time(context.jobs) >= share * possible, count_in_time(context.jobs) / possible


@then("at least {share:g} of all answers are in time")
def in_time_of_all(context, share):
    assert count_in_time(context.jobs) >= share * len(context.jobs), count_in_time(context.jobs)


@then("the largest tenth is answered at least half as often as all")
def largest_tenth(context):
    by_size = sorted(context.jobs, key=lambda job: job.prompt_tokens + 10 * job.answer_tokens)
    largest = by_size[len(by_size) * 9 // 10 :]
    shares = [sum(j.ended_at is not None for j in jobs) / len(jobs) for jobs in (largest, by_size)]
    assert shares[0] >= 0.5 * shares[1], shares


@when("the load of a large fleet is simulated without notices by batch_backlog and batch_sampled")
def simulate_without_notices(context):
    context.found = {
        name: count_in_time(run_large_fleet(1.0, has_notices=False, routing=name))
        for name in ("batch_backlog", "batch_sampled")
    }


@then("batch_sampled begins at least {factor:g} times as many answers in time")
def step_sampled_more(context, factor):
    found = context.found
    assert found["batch_sampled"] >= factor * found["batch_backlog"], found


@when("the load is simulated with and without notices of sends between entry processes")
def simulate_notices(context):
    context.firsts = {}
    for has_notices in (True, False):
        fleet = FleetModel(paces=[1.0] * 9, seed=5, policy="send all", has_notices=has_notices)
        jobs = fleet.run(0.7 * 9 / ENGINE.completion_interval_s, 15, 22)
        waits = sorted(job.first_token_at - job.arrived for job in jobs if job.first_token_at)
        context.firsts[has_notices] = waits[int(len(waits) * 0.95)]


@then(
    "with notices the 95th percentile of the time to the first token is at most 0.8 of that without"
)
def step_notices_help(context):
    assert context.firsts[True] <= 0.8 * context.firsts[False], context.firsts


def restart(*, assumes_load):
    """Simulate 9 runners at 2.5 times their capacity, with load reports from 1.5 s on."""
    jobs = []
    for seed in (1, 2, 3):
        fleet = FleetModel(
            paces=[1.0] * 9,
            seed=seed,
            policy="manage",
            first_report_at=1.5,
            assumes_load=assumes_load,
        )
        jobs += fleet.run(2.5 * 9 / ENGINE.completion_interval_s, 4, 11)
    return jobs


@when("callers come back to restarted entry processes that have no reports for 1.5 s")
def simulate_restarted(context):
    context.assumed, context.empty = restart(assumes_load=True), restart(assumes_load=False)


@then("assuming an equal share of each process serves at least {factor:g} times the worth")
def assumed_serves_more(context, factor):
    found = worth(context.assumed), worth(context.empty)
    assert found[0] >= factor * found[1], found


@when("the load is simulated with routing by expected wait and also by the end of the answer")
def simulate_slow_host(context):
    paces = [1.0] * 5 + [2.5]
    rate = 1.0 * (5 + 1 / 2.5) / ENGINE.completion_interval_s
    context.cut = {}
    for policy in ("wait", "end"):
        jobs = FleetModel(paces=paces, seed=4, policy=policy).run(rate, 15, 25)
        context.cut[policy] = sum(j.refused_at is None and j.ended_at is None for j in jobs)


@then("at most half as many answers are cut off at their deadline")
def step_fewer_cut(context):
    assert context.cut["end"] <= 0.5 * context.cut["wait"], context.cut


@when("a request that is {on_time}, with {room} at its runner, {slack} and {held:d} held is placed")
def place_one(context, on_time, room, slack, held):
    context.decision = decide_request(
        is_on_time=on_time == "on time",
        has_room=room == "room",
        has_slack=slack == "slack",
        wait_s=1.0,
        is_resubmitted=False,
        held=held,
        limit=HeldLimit(runners=9, completion_interval_s=0.11, processes=7),
    )


@when("a late request is placed while there is no runner")
def place_without_runner(context):
    context.decision = decide_request(
        is_on_time=False,
        has_room=False,
        has_slack=True,
        wait_s=1.0,
        is_resubmitted=True,
        held=0,
        limit=HeldLimit(runners=0, completion_interval_s=0.11, processes=7),
    )


@then("the request is {decision}")
def step_decision(context, decision):
    expected = {"sent": Decision.SEND, "held": Decision.HOLD, "refused": Decision.REFUSE}
    assert context.decision is expected[decision], context.decision


@given("a runner that loads a version soon and one at which a request waits {wait:g} s")
def easing_runner(context, wait):
    def view(host, **changes):
        return RunnerView(
            host=host,
            in_flight=0,
            reported_running=0,
            reported_queued=0,
            slots=16,
            report_age_s=0.1,
            **changes,
        )

    context.views = [
        view("soon", is_easing=True),
        view("later", prefill_backlog_s=wait * PREFILL_SHARE),
    ]


@when("a request with a {size} answer is placed")
def place_by_size(context, size):
    request = RouteRequest(is_short=size == "short", left_s=6.0)
    policy = ROUTING.create("batch_backlog").unwrap()
    context.chosen = policy.choose(request, context.views, 0.0, random.Random(1)).host


@then("it goes to the runner that loads {choice}")
def step_chosen_runner(context, choice):
    assert context.chosen == choice, context.chosen


def runner_of(name):
    return Runner(
        id=name,
        born_ms=1,
        service="s",
        address="x:1",
        failure_domain="a",
        slots=16,
        version=1,
        layer_to=1,
    )


@given("a full runner")
@given("a full runner that leaves while a request is held for it")
def runner_that_leaves(context):
    runner = runner_of("r")
    context.fleet = make_fleet_view([runner])
    context.fleet.stats.on_report(runner, LoadReport(running=16, waiting=4, at=now(), slots=16))


def new_needs():
    """Return the needs of a request that has just arrived."""
    return PlacementNeeds(
        service="s",
        prompt_tokens=100,
        answer_tokens=50,
        objective_at=now() + OBJECTIVE_S,
        deadline=now() + DEADLINE_S,
        is_resubmitted=False,
        is_first=True,
        tried=frozenset(),
    )


@given("an entry process that shares a runner with {others:d} others and has no report of it")
def unreported_runner(context, others):
    context.runner = runner_of("r")
    context.fleet = make_fleet_view([context.runner], processes=others + 1)


@when("it has sent {count:d} requests there")
def step_sent_there(context, count):
    for _ in range(count):
        context.fleet.on_sent(context.runner, 100)


@then("it counts the runner as full")
def counts_as_full(context):
    (view,) = context.fleet.views("s", RouteRequest())
    assert load_of(view) >= view.slots, view


@when("no slot becomes free in time")
def step_no_slot(context):
    async def run():
        needs = new_needs()
        req = SimpleNamespace(is_caller_gone=False, set_gone_callback=lambda callback: None)
        waiting = asyncio.ensure_future(Placer(fleet=context.fleet).place(needs, req))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        context.fleet.directory.on_removed("r", now())
        return await waiting

    context.refusal = asyncio.run(run())


@then("the refusal names 0 runners and the retry time without a runner")
def step_refusal_without_runners(context):
    assert "0 runners" in context.refusal.detail, context.refusal
    assert context.refusal.retry_after_s == NO_RUNNER_RETRY_S, context.refusal


@given("3 runners whose version is out of date")
def outdated_runners(context):
    context.runners = [runner_of(f"r{n}") for n in range(3)]
    context.fleet = make_fleet_view(context.runners)
    target = WeightTarget(model=ENGINE.model, version=2)
    state = context.fleet.published
    state._on_target(target, StatePosition(revision=1))
    for runner in context.runners:
        report_load(context, runner, is_busy=False, running=0)


def report_load(context, runner, *, is_busy, running):
    names = {"runner": runner.id, "model": ENGINE.model}
    report = RunnerReport(
        **names, born_ms=1, version=1, layer_to=1, is_busy=is_busy, running=running
    )

    async def deliver_report():
        context.fleet.on_report(report)

    asyncio.run(deliver_report())


@given("one of them {does}")
def step_one_loads(context, does):
    running = {"has ended its requests and loads": 0, "ends 8 requests before it loads": 8}
    if does in running:
        report_load(context, context.runners[0], is_busy=True, running=running[does])


@when("a request arrives")
def request_arrives(context):
    req = SimpleNamespace(is_caller_gone=False, set_gone_callback=lambda callback: None)
    placer = Placer(fleet=context.fleet)
    began = now()
    context.refusal = asyncio.run(placer.place(new_needs(), req))
    context.took_s = now() - began


@then("it is refused at once as not run")
def refused_at_once(context):
    assert context.refusal.effective_outcome is Outcome.NOT_RUN, context.refusal
    # A held request is checked again after 0.05 s.
    assert context.took_s < 0.05, context.took_s


@then("its callers retry after {earliest:g} s to {latest:g} s, spread")
def step_retry_spread(context, earliest, latest):
    rng = random.Random(1)
    pauses = [
        spread_retry_s(context.refusal.retry_after_s, DEADLINE_S / 3, rng) for _ in range(200)
    ]
    assert earliest <= min(pauses) and max(pauses) <= latest, (min(pauses), max(pauses))
    assert max(pauses) - min(pauses) >= 0.15 * max(pauses), (min(pauses), max(pauses))


@when("the version of a full runner runs out while a request is held for it")
def version_runs_out(context):
    async def run():
        req = SimpleNamespace(is_caller_gone=False, set_gone_callback=lambda callback: None)
        waiting = asyncio.ensure_future(Placer(fleet=context.fleet).place(new_needs(), req))
        await asyncio.sleep(0)
        target = WeightTarget(model=ENGINE.model, version=2)
        context.fleet.published._on_target(target, StatePosition(revision=1))
        began = now()
        await waiting
        return now() - began

    context.took_s = asyncio.run(run())


@then("the held request is refused within {seconds:g} s")
def held_refused(context, seconds):
    assert context.took_s <= seconds, context.took_s


@given("{processes:d} entry processes that each see {free:d} free slots beside a runner that loads")
def step_free_slots(context, processes, free):
    other = evolve(runner_of("other"), slots=32)
    context.processes, context.fleet = processes, make_fleet_view(
        [runner_of("loading"), other], processes=processes
    )
    running = 32 - SPARE_SLOTS - free
    context.fleet.stats.on_report(other, LoadReport(running=running, waiting=0, at=now()))


@when("each of them decides {count:d} times how many streams may move")
def step_decide_moves(context, count):
    context.moves = [
        sum(context.fleet.stream_mover._free_slots("loading") for _ in range(context.processes))
        for _ in range(count)
    ]


@then("together they move {free:d} streams each time on average")
def step_moves(context, free):
    mean = sum(context.moves) / len(context.moves)
    assert abs(mean - free) <= 0.25, mean
