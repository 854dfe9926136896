"""Steps about requests that wait while a version of the weights is named."""

import asyncio
import contextlib

from attrs import evolve
from behave import given, then, when
from direct_forwarding_steps import fetch, read_answer, run_in_virtual_harness
from forwarding_harness import LIMITS, PATHS, raw_request
from overload_model import ENGINE
from wasabilb_core.catalog import Service, WeightTarget
from wasabilb_core.published import StateItem
from wasabilb_core.runner_stats import LoadReport
from wasabilb_node.clock import now
from wasabilb_wire.messages import VersionAge

BOUND_S = 1.6
REPORT_INTERVAL_S = 0.1
TIMEOUT_S = 6.0


class NamedFleet:
    """A harness whose first runner holds version 1, and its second one version 2."""

    def __init__(self, context, harness):
        self.context, self.harness, self.fleet = context, harness, harness.fleet
        self.published = harness.fleet.published
        self.named_at = None
        # Running and waiting requests that the agents report.
        self.load = {"r-0": (0, 0), "r-1": (0, 0)}
        old, new = harness.runners
        old.behaviours, new.behaviours = [context.behaviours[0]], [context.behaviours[1]]
        self.old = old
        self.outdated = [old] if context.other == 2 else [old, new]
        catalog = self.published.catalog
        self.published.catalog = evolve(
            catalog,
            services={"s": Service(name="s", engine=ENGINE)},
            routes=tuple(evolve(route, timeout_s=TIMEOUT_S) for route in catalog.routes),
        )
        self.quiet = set()
        self.fleet.on_limits(evolve(LIMITS, version_s=context.bound_s))
        for runner_id, version, domain in (("r-0", 1, "a"), ("r-1", context.other, "0")):
            runner = self.fleet.directory.get(runner_id)
            self.fleet.directory.on_removed(runner_id, now())
            self.fleet.directory.on_listed(
                evolve(
                    runner,
                    born_ms=2,
                    version=version,
                    layer_from=0,
                    layer_to=ENGINE.layers,
                    failure_domain=domain,
                    slots=ENGINE.slots,
                )
            )
        if context.is_only:
            self.fleet.directory.on_removed("r-1", now())

    def name_version(self, *, is_old=False):
        """Name version 2, as one that was named long before if `is_old`."""
        self.named_at = now()
        target = WeightTarget(model=ENGINE.model, version=2)
        self.harness.values[b"2"] = target
        if not is_old:
            told = VersionAge(model=ENGINE.model, version=2, revision=2, age_ms=0)
            self.published.version_ages.on_told([told], now())
        self.published.apply_items([StateItem(name="weights", revision=2, body=b"2")])

    def age_version(self, seconds):
        """Let the version be known to be older than assumed."""
        outdated_s = self.published.outdated_s
        self.published.outdated_s = lambda *held: outdated_s(*held) + seconds
        self.named_at = now()
        for callback in self.published.on_weights_named:
            callback(ENGINE.model)

    async def report(self):
        """Report the load of the runners as their agents do."""
        while True:
            for runner_id, (running, waiting) in self.load.items():
                runner = self.fleet.directory.get(runner_id)
                if runner is not None and runner_id not in self.quiet:
                    load = LoadReport(running=running, waiting=waiting, at=now())
                    self.fleet.stats.on_report(runner, load)
            await asyncio.sleep(REPORT_INTERVAL_S)


def run_named(context, play):
    """Run a coroutine function with the fleet."""

    async def main(harness):
        context.named = NamedFleet(context, harness)
        reporting = asyncio.ensure_future(context.named.report())
        await asyncio.sleep(0)
        try:
            return await play(context.named)
        finally:
            reporting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reporting
            await harness.settle()

    run_in_virtual_harness(context, main)


def start(named, kind):
    data = raw_request(PATHS[kind], extra=f"Timeout: {TIMEOUT_S}\r\n")
    return asyncio.ensure_future(fetch(named.harness, data))


def set_runners(context, *behaviours, other=2, is_only=False):
    """Set what the runners do, and the version of the second one."""
    context.behaviours, context.bound_s = behaviours, BOUND_S
    context.other, context.is_only = other, is_only


@given("two runners with version 1 that receive requests and are silent")
def step_both_silent(context):
    set_runners(context, "wait without an answer", "wait without an answer", other=1)


@given("a bound of {seconds:g} s for versions")
def step_bound(context, seconds):
    context.bound_s = seconds


@given("a runner with version 1 that receives requests and is silent, and one with version 2")
def step_silent(context):
    set_runners(context, "wait without an answer", "answer")


@given("a runner with version 1 that receives requests and is silent, and one that begins late")
def step_silent_and_late(context):
    set_runners(context, "wait without an answer", "answer after 0.8 s")


@given("a runner with version 1 that answers late, and one with version 2")
def step_answers_late(context):
    set_runners(context, "answer after 1.1 s", "answer")


@given("a full runner with version 1 as the only one")
def step_full(context):
    set_runners(context, "answer", "answer", is_only=True)


@when("a request on the {kind} route waits there and version 2 {naming}")
def step_waits(context, kind, naming):
    async def play(named):
        asking = start(named, kind)
        await asyncio.sleep(0.1)
        assert named.old.requests
        named.name_version(is_old=naming == "was named long before")
        if naming == "proves to be named 1.3 s earlier":
            await asyncio.sleep(0.2)
            named.age_version(1.3)
        return await asking

    run_named(context, play)


@when("a request is sent there after version 2 was named and the runner loads that one")
def step_loads(context):
    async def play(named):
        named.name_version()
        await asyncio.sleep(0.3)
        asking = start(named, "idempotent")
        await asyncio.sleep(0.3)
        runner = named.fleet.directory.get("r-0")
        named.fleet.directory.on_weights("r-0", runner.born_ms, 2, 0, ENGINE.layers)
        return await asking

    run_named(context, play)


@when("a stream is handed over at 2 s and version 2 was named at 1.45 s")
def step_handed_over(context):
    async def play(named):
        asking = start(named, "stream")
        await asyncio.sleep(1.45)
        named.name_version()
        return await asking

    run_named(context, play)


@when("a stream is sent {sent:g} s after the naming and its connection opens {delay:g} s later")
def step_opens_late(context, sent, delay):
    async def play(named):
        acquire = named.fleet.pool.acquire
        delays = [delay]

        async def acquire_late(address, **kwargs):
            await asyncio.sleep(delays.pop() if delays else 0.0)
            return await acquire(address, **kwargs)

        named.fleet.pool.acquire = acquire_late
        named.name_version()
        await asyncio.sleep(sent)
        return await start(named, "stream")

    run_named(context, play)


@when(
    "a stream is sent {sent:g} s after the naming and the runner was last heard {quiet:g} s before"
)
def step_quiet(context, sent, quiet):
    async def play(named):
        named.name_version()
        await asyncio.sleep(sent - quiet)
        named.quiet.add("r-0")
        await asyncio.sleep(quiet)
        return await start(named, "stream")

    run_named(context, play)


@when("a stream waits there and the process is paused from {start_s:g} s to {end_s:g} s")
def step_paused(context, start_s, end_s):
    async def play(named):
        asking = start(named, "stream")
        await asyncio.sleep(0.1)
        named.name_version()
        await asyncio.sleep(start_s)
        # The clock goes on while nothing of the process runs.
        asyncio.get_running_loop().now_s += end_s - start_s
        return await asking

    run_named(context, play)


@when("the head of a request arrives at the naming and its body {delay:g} s later")
def step_late_body(context, delay):
    async def play(named):
        data = raw_request(PATHS["idempotent"])
        named.name_version()
        reader, writer = await named.harness.connect()
        writer.write(data[:-2])
        await asyncio.sleep(delay)
        writer.write(data[-2:])
        answer = await read_answer(reader)
        writer.close()
        return (*answer, 0.0)

    run_named(context, play)


@when("a stream is sent {sent:g} s after the naming and a slot frees up {delay:g} s later")
def step_slot(context, sent, delay):
    async def play(named):
        named.load["r-0"] = (ENGINE.slots, 3)
        await asyncio.sleep(REPORT_INTERVAL_S)
        named.name_version()
        await asyncio.sleep(sent)
        asking = start(named, "stream")
        await asyncio.sleep(delay)
        named.load["r-0"] = (0, 0)
        return await asking

    run_named(context, play)


@then("no request can begin on version 1 later than {seconds:g} s after the naming")
def step_latest(context, seconds):
    named = context.named
    for scripted in named.outdated:
        assert scripted.connections_at_end == 0
        latest = max([scripted.closed_at, *scripted.arrivals]) - named.named_at
        assert latest <= seconds + 0.01, latest


@then("both runners received the request")
def step_both(context):
    received = [len(scripted.requests) for scripted in context.harness.runners]
    assert received == [1, 1], received


@then("the runner with version 1 received {count:d} requests")
def step_received(context, count):
    assert len(context.named.old.requests) == count, context.named.old.arrivals


@then("only the first runner received the request")
def step_only_first(context):
    received = [len(scripted.requests) for scripted in context.harness.runners]
    assert received == [1, 0], received


@then("the request counts {count:d} attempt")
def step_attempts(context, count):
    (done,) = [f for name, f in context.harness.log.lines if name == "request_done"]
    assert done["attempts"] == count, done
