"""Steps about the age of named versions in processes that hear of them late."""

import asyncio
import math

from attrs import evolve
from behave import given, then, when
from fleet_view_factory import make_fleet_view
from memory_links import VirtualLoop
from published_fleet import RUNNER, Process
from readers_steps import watching_processes
from wasabilb_core.published import StateItem
from wasabilb_node import clock
from wasabilb_wire.messages import Published

CHECK_INTERVAL_S = 0.02
# Beyond the bound of 8 s, so that each wrong beginning is seen.
OBSERVED_S = 10.0
OLD_RUNNER = evolve(RUNNER, version=1)


class Observation:
    """Until when processes let requests begin on version 1, and how old they take it for."""

    def __init__(self):
        self.latest_begin_s, self.excesses = -math.inf, []

    async def watch(self, processes, named_at, seconds):
        """Observe the processes, which may change meanwhile."""
        until = clock.now() + seconds
        while clock.now() < until:
            for process in processes:
                self.look_at(process, named_at)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def look_at(self, process, named_at):
        view, moment = process.published_view, clock.now()
        named = view.named_versions("m")
        if view.catalog is None or named is None or not named.newer_than(1):
            return
        begin_by = make_fleet_view([OLD_RUNNER], published=view).version_bound.begin_by(OLD_RUNNER)
        if begin_by >= moment:
            self.latest_begin_s = max(self.latest_begin_s, begin_by - named_at)
        excess_s = view.outdated_s("m", 1) - (moment - named_at)
        self.excesses.append((moment - named_at, excess_s, process.host))


@given("a catalog that they all know")
def step_catalog(context):
    context.listed["catalog"] = StateItem(name="catalog", revision=1, body=b"catalog 1")
    context.observation, context.fault_s = None, 0.0


@given("a catalog and version 2 that were published {seconds:g} s before they start")
def step_published_before(context, seconds):
    step_catalog(context)
    context.listed["weights"] = StateItem(name="weights", revision=1, body=b"weights 2")

    async def observe(platform, processes):
        context.observation = Observation()
        await context.observation.watch(processes, VirtualLoop.now_s - seconds, OBSERVED_S)

    context.actions.append(observe)


def entry_processes(platform, processes):
    """Return the entry processes that read the platform, and the others."""
    readers = [p for p in watching_processes(platform, processes) if p.role == "entry"]
    return readers, [p for p in processes if p.role == "entry" and p not in readers]


def pause(process, platform, seconds):
    until = clock.now() + seconds
    process.links.network.paused_until[process.host] = until
    platform.answers_held_until[process.host] = until


def cut_off(process, others):
    for other in others:
        process.links.network.block(process.host, other.host)
        process.links.network.block(other.host, process.host)


def pause_at_answer(process, platform, seconds):
    """Pause a process when the answer of a peer is on its way to it."""
    network = process.links.network
    transmit = network.transmit

    def watched(link, message):
        if link.remote.host == process.host and isinstance(message, Published):
            network.transmit = transmit
            pause(process, platform, seconds)
        transmit(link, message)

    network.transmit = watched


def start_process(platform, network):
    """Start another entry process; return it and its task."""
    started = Process(
        network=network, platform=platform, host="e-new", role="entry", failure_domain="a"
    )
    return started, asyncio.ensure_future(started.run())


@when("version 2 is named while an entry process {fault} for {seconds:g} s")
def step_named_during(context, fault, seconds):
    context.fault_s = seconds

    async def action(platform, processes):
        network = processes[0].links.network
        readers, others = entry_processes(platform, processes)
        one, peer = (readers if "that reads" in fault else others)[:2]
        rest = [p for p in processes if p is not one]
        if fault.endswith("is paused"):
            pause(one, platform, seconds)
        elif fault.endswith("is cut off"):
            platform.refused_hosts = {one.host}
            cut_off(one, rest)
        elif fault == "waits for an answer of the platform":
            platform.answers_held_until[readers[0].host] = clock.now() + seconds
        elif fault == "is linked with one paused peer alone":
            platform.refused_hosts = {one.host}
            cut_off(one, [p for p in rest if p is not peer])
            pause(peer, platform, seconds)
        elif fault == "is paused with a peer's answer in its buffer":
            pause_at_answer(one, platform, seconds)
        else:
            assert fault == "that has just started knows the catalog alone", fault
            platform.refused_hosts = {one.host, "e-new"}
            cut_off(one, rest)
            started, context.started = start_process(platform, network)
            network.connect(started.host, one.host)
            processes.append(started)
        await asyncio.sleep(0.1)
        platform.publish("weights", b"weights 2")
        context.observation, named_at = Observation(), clock.now()
        await context.observation.watch(processes, named_at, seconds)
        network.unblock_all()
        platform.refused_hosts = set()
        if processes[-1].host == "e-new":
            for other in rest:
                network.connect("e-new", other.host)
        await context.observation.watch(processes, named_at, OBSERVED_S)

    context.actions.append(action)


@when("version 2 is named")
def step_named(context):
    async def action(platform, processes):
        platform.publish("weights", b"weights 2")
        context.observation = Observation()
        await context.observation.watch(processes, clock.now(), OBSERVED_S)

    context.actions.append(action)


@when("version 2 is named {seconds:g} s before another entry process starts")
def step_start_after(context, seconds):
    context.fault_s = seconds

    async def action(platform, processes):
        platform.publish("weights", b"weights 2")
        context.observation, named_at = Observation(), clock.now()
        await context.observation.watch(processes, named_at, seconds)
        network = processes[0].links.network
        started, context.started = start_process(platform, network)
        for other in processes:
            network.connect(started.host, other.host)
        await context.observation.watch([*processes, started], named_at, OBSERVED_S)

    context.actions.append(action)


@when(
    "a reader is cut off for {seconds:g} s, version 2 is named {before:g} s before, and its links "
    "are back {later:g} s later"
)
def step_cut_off_long(context, seconds, before, later):
    context.fault_s = before + later

    async def action(platform, processes):
        one = entry_processes(platform, processes)[0][0]
        platform.refused_hosts = {one.host}
        cut_off(one, [process for process in processes if process is not one])
        await asyncio.sleep(seconds - before)
        platform.publish("weights", b"weights 2")
        context.observation, named_at = Observation(), clock.now()
        await context.observation.watch(processes, named_at, before)
        platform.refused_hosts = set()
        await context.observation.watch(processes, named_at, later)
        assert one.published_view.outdated_s("m", 1) > seconds - before, "it has not heard alone"
        one.links.network.unblock_all()
        await context.observation.watch(processes, named_at, OBSERVED_S)

    context.actions.append(action)


@when(
    "version 2 and {later:g} s later version 3 are named while an entry process {fault} for "
    "{seconds:g} s"
)
def step_named_twice(context, later, fault, seconds):
    context.fault_s = seconds

    async def action(platform, processes):
        network = processes[0].links.network
        readers, others = entry_processes(platform, processes)
        if fault == "is not yet started":
            one, rest = None, processes
        else:
            one = (readers if "that reads" in fault else others)[0]
            rest = [process for process in processes if process is not one]
            assert fault.endswith("is cut off"), fault
            platform.refused_hosts = {one.host}
            cut_off(one, rest)
        platform.publish("weights", b"weights 2")
        context.observation, named_at = Observation(), clock.now()
        await context.observation.watch(rest, named_at, later)
        platform.publish("weights", b"weights 3")
        await context.observation.watch(rest, named_at, seconds - later)
        platform.refused_hosts = set()
        network.unblock_all()
        if one is None:
            one, context.started = start_process(platform, network)
            for other in rest:
                network.connect(one.host, other.host)
        await context.observation.watch([*rest, one], named_at, OBSERVED_S)

    context.actions.append(action)


@when("version 2 is named and a peer of an earlier build tells it to an entry process")
def step_earlier_build(context):
    async def action(platform, processes):
        one = entry_processes(platform, processes)[1][0]
        network = one.links.network
        transmit = network.transmit

        def without_ages(link, message):
            if link.remote.host == one.host and isinstance(message, Published):
                network.transmit = transmit
                message = evolve(message, ages=[], sent_ms=0)
            transmit(link, message)

        network.transmit = without_ages
        platform.publish("weights", b"weights 2")
        context.observation = Observation()
        await context.observation.watch(processes, clock.now(), OBSERVED_S)
        assert network.transmit is transmit, "nothing was told"

    context.actions.append(action)


@when("version 2 is named while a reader is of an earlier build")
def step_earlier_reader(context):
    async def action(platform, processes):
        reader = entry_processes(platform, processes)[0][0]
        network = reader.links.network
        transmit = network.transmit

        def without_ages(link, message):
            if link.local is reader.links and isinstance(message, Published):
                message = evolve(message, ages=[], sent_ms=0)
            transmit(link, message)

        network.transmit = without_ages
        platform.publish("weights", b"weights 2")
        context.observation = Observation()
        await context.observation.watch(processes, clock.now(), OBSERVED_S)

    context.actions.append(action)


@when("the platform is away for {seconds:g} s and version 2 is named at its return")
def step_named_at_return(context, seconds):
    async def action(platform, processes):
        platform.is_down = True
        await asyncio.sleep(seconds)
        platform.is_down = False
        platform.publish("weights", b"weights 2")
        context.observation = Observation()
        await context.observation.watch(processes, clock.now(), OBSERVED_S)

    context.actions.append(action)


@then(
    "no process lets a request begin on version {version:d} later than {bound:g} s after the naming"
)
def step_latest_begin(context, version, bound):
    context.run_fleet()
    found = context.observation.latest_begin_s
    assert context.observation.excesses, "no process has heard of the version"
    assert found <= bound, f"a request may begin {found:.3f} s after the naming"


@then(
    "within {wait:g} s of the end of the fault no process takes the version for {most:g} s older "
    "than it is"
)
def step_excess(context, wait, most):
    since = context.fault_s + wait
    late = [(at, by, host) for at, by, host in context.observation.excesses if at > since]
    assert late, "nothing was observed"
    worst = max(late, key=lambda entry: entry[1])
    assert worst[1] < most, worst
