"""Steps about the processes that read the platform for the others, under a virtual clock."""

import asyncio
import random
from collections import Counter

from behave import given, then, when
from forwarding_stage import StoredValues
from memory_links import Network, run_virtual
from returns.result import Failure, Success
from wasabilb_core.directory import Runner
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.published import Item, PublishedState
from wasabilb_core.roster import EntryPlace, Roster
from wasabilb_node import clock
from wasabilb_node.followed_state import FollowedState
from wasabilb_node.logs import EventLog
from wasabilb_node.published_sync import Changes, PublishedSource, PublishedSync, Snapshot

BEAT_S = 0.8
# The platform answers a call that waits for changes after this time at the latest.
LONGEST_WAIT_S = 5.0
LOOK_S = 0.02
RUNNER = Runner(id="r", born_ms=1, service="s", address="127.0.0.1:9", failure_domain="a")
AWAY = Failure(Error(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail="turned away"))


class Platform:
    """Publishes items to those it does not turn away."""

    def __init__(self):
        self.items, self.revision = {}, 1
        self.is_away, self.turned_away = False, set()
        self.waiting, self.calls = Counter(), Counter()

    def publish(self, name, body):
        self.revision += 1
        self.items[name] = Item(name=name, revision=self.revision, body=body)

    def source(self, host):
        async def snapshot():
            self.calls[host] += 1
            await asyncio.sleep(0.004)
            if self.refuses(host):
                return AWAY
            listed = tuple(item for item in self.items.values() if item.body is not None)
            return Success(Snapshot(items=listed, revision=self.revision))

        async def changes(after):
            self.calls[host] += 1
            self.waiting[host] += 1
            try:
                for _ in range(round(LONGEST_WAIT_S / LOOK_S)):
                    await asyncio.sleep(LOOK_S)
                    if self.refuses(host):
                        return AWAY
                    if self.revision > after:
                        break
            finally:
                self.waiting[host] -= 1
            new = tuple(item for item in self.items.values() if item.revision > after)
            return Success(Changes(items=new, revision=self.revision))

        return PublishedSource(snapshot=snapshot, changes=changes)

    def refuses(self, host):
        return self.is_away or host in self.turned_away


class Process:
    """One process that follows published state."""

    def __init__(self, *, network, platform, host, role, failure_domain):
        self.host, self.role = host, role
        links = network.add(host, role, failure_domain=failure_domain)
        log = EventLog(
            process=host, role=role, host=host, failure_domain=failure_domain, incarnation="1"
        )
        own = EntryPlace(address=host, failure_domain=failure_domain)
        roster = Roster(own=own if role == "entry" else None, now=clock.now())
        items = PublishedState()
        self.followed = FollowedState(
            items=items, decoder=StoredValues({b"runner": RUNNER}), log=log
        )
        self.sync = PublishedSync(
            state=items,
            source=platform.source(host),
            links=links,
            roster=roster,
            log=log,
            rng=random.Random(host),
            on_change=self.on_change,
            on_platform=self.on_platform,
            on_distrust=self.followed.on_distrust,
            distrust_s=self.followed.distrust_s,
        )

    def on_change(self, items):
        self.followed.take(items)
        if self.role == "entry":
            self.sync.tell()

    def on_platform(self, is_up):
        self.followed.on_platform(is_up)
        if self.role == "entry":
            self.sync.tell()

    async def run(self):
        reading = asyncio.ensure_future(self.sync.run())
        # Processes do not beat in step.
        await asyncio.sleep(random.Random(self.host).uniform(0, BEAT_S))
        try:
            while True:
                self.sync.beat()
                self.followed.expire()
                await asyncio.sleep(BEAT_S)
        finally:
            reading.cancel()


def play(context, *checks):
    """Run all processes and carry out the steps that were collected, in order."""

    async def main():
        network, platform = Network(), Platform()
        platform.items.update(context.listed)
        specs = [(f"e-{n:02}", "entry", "ab"[n % 2]) for n in range(context.entries)]
        specs += [(f"s-{n:02}", "agent", "ab"[n % 2]) for n in range(context.agents)]
        processes = [
            Process(network=network, platform=platform, host=host, role=role, failure_domain=where)
            for host, role, where in specs
        ]
        tasks = [asyncio.ensure_future(process.run()) for process in processes]
        await asyncio.sleep(0.2)
        for number, one in enumerate(specs):
            for two in specs[number + 1 :]:
                if "entry" in (one[1], two[1]):
                    network.connect(one[0], two[0])
        for action in [*context.actions, *checks]:
            await action(platform, processes)
        for task in tasks:
            task.cancel()

    run_virtual(main)


def waiting(platform, processes):
    return [process for process in processes if platform.waiting[process.host]]


@given("{entries:d} entry processes and {agents:d} agents in 2 failure domains")
def step_processes(context, entries, agents):
    context.entries, context.agents = entries, agents
    context.listed, context.actions = {}, []


@given("a runner that they all list")
def step_listed(context):
    context.listed["runner/r"] = Item(name="runner/r", revision=1, body=b"runner")


@when("they have run for {seconds:g} s")
def step_run(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)

    context.actions.append(action)


@when("the platform publishes a change")
def step_change(context):
    async def action(platform, processes):
        platform.publish("routes", b"new")

    context.actions.append(action)


@when("the platform turns away all that read")
def step_turn_away(context):
    async def action(platform, processes):
        platform.turned_away = {process.host for process in waiting(platform, processes)}
        assert platform.turned_away

    context.actions.append(action)


@when("the platform turns away one reader for {seconds:g} s")
def step_turn_away_one(context, seconds):
    async def action(platform, processes):
        platform.turned_away = {waiting(platform, processes)[0].host}
        await asyncio.sleep(seconds)
        platform.turned_away = set()

    context.actions.append(action)


@when("the runner leaves {seconds:g} s later")
def step_leaves(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        platform.publish("runner/r", None)

    context.actions.append(action)


@when("it publishes a change {seconds:g} s later")
def step_change_later(context, seconds):
    step_run(context, seconds)
    step_change(context)


@when("the platform is away for {seconds:g} s and comes back without the runner's entry")
def step_outage(context, seconds):
    async def action(platform, processes):
        platform.is_away = True
        await asyncio.sleep(seconds)
        platform.publish("runner/r", None)
        platform.is_away = False

    context.actions.append(action)


@when("the entry is published again {seconds:g} s later")
def step_again(context, seconds):
    async def action(platform, processes):
        await asyncio.sleep(seconds)
        platform.publish("runner/r", b"runner")

    context.actions.append(action)


@then("at most {count:d} entry processes of each failure domain and no agent wait for changes")
def step_few(context, count):
    async def check(platform, processes):
        found = [process.host for process in waiting(platform, processes)]
        domains = Counter(int(host.partition("-")[2]) % 2 for host in found)
        assert set(domains) == {0, 1} and max(domains.values()) <= count, found
        assert all(host.startswith("e-") for host in found), found

    context.actions.append(check)
    play(context)


@then("every process knows it after {seconds:g} s")
def step_all_know(context, seconds):
    async def check(platform, processes):
        await asyncio.sleep(seconds)
        late = [p.host for p in processes if p.followed.revision < platform.revision]
        assert not late, late

    play(context, check)


def dropped(processes):
    return [process.host for process in processes if process.followed.directory.get("r") is None]


@then("no process has dropped the runner after {seconds:g} s")
def step_none_dropped(context, seconds):
    async def check(platform, processes):
        for _ in range(round(seconds / 0.1)):
            await asyncio.sleep(0.1)
            assert not dropped(processes), dropped(processes)

    context.actions.append(check)
    play(context)


@then("every process has dropped it after {seconds:g} s")
def step_all_dropped(context, seconds):
    async def check(platform, processes):
        await asyncio.sleep(seconds)
        assert len(dropped(processes)) == len(processes)

    play(context, check)
