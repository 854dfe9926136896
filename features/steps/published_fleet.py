"""Processes that follow published state over links in memory, and the platform that they read."""

import asyncio
import itertools
import random
from collections import Counter

from attrs import evolve
from overload_model import ENGINE
from returns.result import Failure, Success
from wasabilb_core.catalog import Catalog, Service, WeightTarget
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.peering import entry_peers, followed_runners
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.runner_directory import Runner
from wasabilb_core.state_position import StatePosition
from wasabilb_node import clock
from wasabilb_node.decoded_items import DecodedItems
from wasabilb_node.links import UNWANTED_CLOSE_S
from wasabilb_node.logs import EventLog
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot
from wasabilb_node.published_sync import PublishedSync
from wasabilb_node.published_view import PublishedView
from wasabilb_wire.messages import RunnerReport

HEARTBEAT_S = 0.8
# The platform answers a call that waits for changes after at most this time.
MAX_WATCH_S = 5.0
POLL_INTERVAL_S = 0.02
SEEDS = 3
RUNNER = Runner(id="r", born_ms=1, service="s", address="127.0.0.1:9", failure_domain="a")
UNAVAILABLE = Failure(Error(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail="refused"))


class Decoder:
    """Decoder of items like `catalog 3`, and `runner r 1` with the start of the runner."""

    def decode(self, item):
        kind, _, rest = item.body.decode(errors="replace").partition(" ")
        if kind in ("runner", "draining"):
            name, _, born = (rest or "r 1").partition(" ")
            return evolve(RUNNER, id=name, born_ms=int(born), is_draining=kind == "draining")
        if kind == "catalog":
            services = {"s": Service(name="s", engine=ENGINE)}
            return Catalog(version=int(rest), routes=(), services=services)
        return WeightTarget(model="m", version=int(rest)) if kind == "weights" else None

    def runner_id(self, name):
        return name.removeprefix("runner/") if name.startswith("runner/") else None


class Platform:
    """A platform that publishes items to all hosts that it does not refuse.

    Its store may come back from a copy; it names its era once that has happened.
    """

    def __init__(self):
        self.items, self.revision, self.era = {}, 1, None
        self.is_down, self.refused_hosts = False, set()
        # Times until which the answers to hosts are under way.
        self.answers_held_until = {}
        self.watch_counts, self.calls = Counter(), Counter()
        self.copies, self.calls_before_return = [], Counter()

    def publish(self, name, body):
        self.revision += 1
        self.items[name] = StateItem(name=name, revision=self.revision, body=body)

    def copy(self):
        """Make a copy from which the store may come back."""
        self.copies.append((dict(self.items), self.revision))

    def restore(self):
        """Come back from the last copy, in a later era."""
        self.items, self.revision = dict(self.copies[-1][0]), self.copies[-1][1]
        self.era = (self.era or 0) + 1
        self.calls_before_return = Counter(self.calls)

    def source(self, host):
        async def snapshot():
            self.calls[host] += 1
            await asyncio.sleep(0.004)
            if self.is_refused(host):
                return UNAVAILABLE
            listed = [item for item in self.items.values() if item.body is not None]
            answer = Snapshot(items=self.in_era(listed), revision=self.revision, era=self.era)
            await self.wait_for_delivery(host)
            return Success(answer)

        async def changes(after):
            self.calls[host] += 1
            self.watch_counts[host] += 1
            era = self.era
            try:
                for _ in range(round(MAX_WATCH_S / POLL_INTERVAL_S)):
                    await asyncio.sleep(POLL_INTERVAL_S)
                    if self.is_refused(host):
                        return UNAVAILABLE
                    if self.revision != after or self.era != era:
                        break
            finally:
                self.watch_counts[host] -= 1
            if after > self.revision:
                return Success(
                    Changes(items=(), revision=after, is_history_lost=True, era=self.era)
                )
            new = [item for item in self.items.values() if item.revision > after]
            answer = Changes(items=self.in_era(new), revision=self.revision, era=self.era)
            await self.wait_for_delivery(host)
            return Success(answer)

        async def position():
            await asyncio.sleep(0.004)
            if self.is_refused(host):
                return UNAVAILABLE
            answer = StatePosition(era=self.era or 0, revision=self.revision)
            await self.wait_for_delivery(host)
            return Success(answer)

        return PublishedSource(snapshot=snapshot, changes=changes, position=position)

    async def wait_for_delivery(self, host):
        """Wait while the answer to a host is under way."""
        await asyncio.sleep(max(0.0, self.answers_held_until.get(host, 0.0) - clock.now()))

    def in_era(self, items):
        """Return items as they are read now."""
        return tuple(evolve(item, era=self.era or 0) for item in items)

    def is_refused(self, host):
        return self.is_down or host in self.refused_hosts


class Process:
    """A process that follows published state."""

    def __init__(self, *, network, platform, host, role, failure_domain, is_seed=False):
        self.host, self.role = host, role
        links = network.add(host, role, failure_domain=failure_domain)
        log = EventLog(
            process=host, role=role, host=host, failure_domain=failure_domain, incarnation="1"
        )
        self.own = EntryPlace(address=host, failure_domain=failure_domain)
        roster = EntryRoster(own=self.own if role == "entry" else None, now=clock.now())
        self.roster, self.links = roster, links
        decoded_items = DecodedItems(decoder=Decoder())
        items = PublishedState(content_version=decoded_items.content_version)
        self.items = items
        self.published_view = PublishedView(items=items, decoder=decoded_items, log=log)
        self.sync = PublishedSync(
            state=items,
            source=platform.source(host),
            links=links,
            roster=roster,
            log=log,
            rng=random.Random(host),
            version_ages=self.published_view.version_ages,
            on_change=self.on_change,
            on_era_began=self.published_view.on_era_began,
            on_platform_state=self.on_platform_state,
            on_removal_distrust=self.published_view.on_removal_distrust,
            on_removal_trust=self.published_view.on_removal_trust,
            removal_distrust_s=self.published_view.removal_distrust_s,
            is_seed=is_seed,
        )

    def on_change(self, items):
        self.published_view.apply_items(items)
        if self.role == "entry":
            self.sync.announce_change()

    def on_platform_state(self, is_up):
        self.published_view.on_platform_state(is_up)
        if self.role == "entry":
            self.sync.announce_change()

    def report(self, *, is_for_all):
        """Report the runner as an agent does while its state is unchanged."""
        own = self.own.failure_domain
        peers = self.links.peers(role="entry")
        near = [peer for peer in peers if peer.hello.failure_domain == own]
        self.links.multicast(RunnerReport(runner="r", born_ms=1), peers if is_for_all else near)

    async def run(self):
        reading = asyncio.ensure_future(self.sync.run())
        # Processes do not send their heartbeats at the same time.
        await asyncio.sleep(random.Random(self.host).uniform(0, HEARTBEAT_S))
        try:
            for number in itertools.count():
                self.sync.send_heartbeats()
                self.published_view.expire_runners()
                if self.role == "agent":
                    self.report(is_for_all=number % 2 == 0)
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            reading.cancel()


async def connect_all(network, processes):
    """Link each entry process with all other processes."""
    await asyncio.sleep(0.2)
    for number, one in enumerate(processes):
        for two in processes[number + 1 :]:
            if "entry" in (one.role, two.role):
                network.connect(one.host, two.host)


class LinkSelector:
    """Opens the links that entry processes need and closes those that none needs."""

    def __init__(self, network, processes):
        self.network = network
        self.entries = [process for process in processes if process.role == "entry"]
        self.runners = [
            evolve(RUNNER, id=process.host, failure_domain=process.own.failure_domain)
            for process in processes
            if process.role == "agent"
        ]
        self.last_needed_at = {}

    def target_hosts(self, entry):
        """Return the hosts that an entry process links with, at first the seeds."""
        places = entry.roster.places()
        peers = entry_peers(entry.own, places, lambda address: address in self.network.dead)
        known = {place.address for place in places}
        seeds = {seed.host for seed in self.entries[:SEEDS]} - known - {entry.host}
        # Runners are listed once the published state has arrived.
        runners = self.runners if entry.published_view.revision else []
        return {*peers, *seeds, *followed_runners(entry.own, places, runners)}

    def update_links(self, now):
        for entry in self.entries:
            if entry.host not in self.network.dead:
                for host in self.target_hosts(entry) - self.network.dead:
                    pair = frozenset((entry.host, host))
                    if pair not in self.last_needed_at:
                        self.network.connect(entry.host, host)
                    self.last_needed_at[pair] = now
        for pair, at in list(self.last_needed_at.items()):
            if now - at >= UNWANTED_CLOSE_S:
                del self.last_needed_at[pair]
                self.network.disconnect(*pair)


async def connect_as_large_fleet(network, processes):
    """Link processes as in a large fleet, beginning with the seeds."""
    links = LinkSelector(network, processes)
    while True:
        links.update_links(clock.now())
        await asyncio.sleep(0.2)
