"""Steps about versions that are read ahead of their turn, and the origin's failure and return."""

import asyncio
import random

from attrs import evolve
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from seeding_fleet import CHUNKS, NamedFleet, full, until
from swarm_model import make_hosts
from wasabilb_agent.runner_agent import TRANSFER_LIMITS
from wasabilb_core.distribution import CHUNK_POLICIES, ChunkPlanner, Overlay
from wasabilb_core.seeding import EVEN_FROM, origin_shares, versions_to_seed

NAMES = st.sets(st.integers(0, 99).map("h{}".format), min_size=1, max_size=24)


@when("chunks are shared out between hosts of which some join and leave")
def step_shared_out(context):
    context.shared = []

    @property_given(NAMES, NAMES, st.integers(1, 96), st.integers(0, 9))
    def draw(before, after, count, seed):
        chunks = list(range(count))
        random.Random(seed).shuffle(chunks)
        listed = sorted(before)
        random.Random(seed).shuffle(listed)
        shares = origin_shares(key=f"t{seed}", chunks=chunks, hosts=sorted(before))
        again = origin_shares(key=f"t{seed}", chunks=chunks, hosts=listed)
        context.shared.append((chunks, before, shares, again))
        later = origin_shares(key=f"t{seed}", chunks=chunks, hosts=after)
        context.shared.append((chunks, after, later, later))

    draw()


@then("each chunk belongs to one host, alike for every order of the list")
def step_one_owner(context):
    for chunks, hosts, shares, again in context.shared:
        assert shares == again and set(shares) == hosts
        assert sum(share.bit_count() for share in shares.values()) == len(chunks)
        assert sum(shares.values()) == sum(1 << index for index in chunks)


@then("no host has more than its even part where there are enough chunks")
def step_even(context):
    for chunks, hosts, shares, _ in context.shared:
        if len(chunks) >= EVEN_FROM * len(hosts):
            most = -(-len(chunks) // len(hosts))
            assert max(share.bit_count() for share in shares.values()) <= most


@then("a host that joins or leaves moves few chunks between the others")
def step_few_moved(context):
    moved = total = 0
    for seed in range(200):
        hosts = [f"h{n}" for n in range(3 + seed % 12)]
        names = {"key": f"t{seed}", "chunks": range(CHUNKS)}
        before = origin_shares(hosts=hosts, **names)
        after = origin_shares(hosts=[*hosts, "joined"], **names)
        moved += sum((after[name] & ~before[name]).bit_count() for name in hosts)
        total += CHUNKS
    # A list that is dealt out in turn moves nearly all of them.
    assert moved <= 0.25 * total, moved / total


class ReadAhead:
    """Planners that keep to their shares; hosts of a region see each other's chunks at once."""

    def __init__(self, rng, count):
        self.rng, self.count, self.now = rng, count, 0.0
        self.specs, self.planners, self.reads, self.asked_peers = {}, {}, {}, 0

    def exchange(self, gone, joined):
        """Let hosts leave and others join, and tell those that are there."""
        for name in gone:
            del self.specs[name], self.planners[name]
        self.specs.update({spec.name: spec for spec in joined})
        overlay = Overlay(key="t", hosts=self.specs.values(), store_region="r0")
        for name in self.specs:
            if name in self.planners:
                self.planners[name].on_hosts(overlay)
                continue
            self.planners[name] = ChunkPlanner(
                overlay=overlay,
                host=name,
                count=self.count,
                policy=CHUNK_POLICIES.create("near_first").unwrap(),
                rng=self.rng,
                now=self.now,
                limits=TRANSFER_LIMITS,
            )
            self.planners[name].set_background(True, self.now)
            self.reads[name] = 0

    def step(self):
        """Let each host make a read that is answered 0.1 s later."""
        self.now += 0.1
        for name, planner in self.planners.items():
            for peer, other in self.planners.items():
                if peer != name and self.specs[peer].region == self.specs[name].region:
                    planner.on_peer_state(peer, other.have, self.now)
        asked = [
            (name, request)
            for name, planner in self.planners.items()
            for request in planner.next_requests(self.now)
        ]
        for name, request in asked:
            self.asked_peers += not request.is_origin
            self.reads[name] += 1
            self.planners[name].on_chunk(request.index, request.source, self.now)


@when("up to {most:d} hosts of 3 regions read a version ahead and a third of them are exchanged")
def step_read_ahead(context, most):
    context.ahead = []
    for seed in range(60):
        rng = random.Random(seed)
        specs = make_hosts(3 * rng.randint(2, most // 3), regions=3)
        new = [evolve(spec, name=f"new-{spec.name}") for spec in specs[: len(specs) // 3]]
        gone = rng.sample([spec.name for spec in specs], len(specs) // 3)
        play = ReadAhead(rng, CHUNKS)
        play.exchange([], specs)
        for _ in range(rng.randint(0, CHUNKS // len(specs) + 1)):
            play.step()
        play.exchange(gone, new)
        for _ in range(CHUNKS):
            play.step()
        context.ahead.append((play, sum(play.reads[name] for name in gone)))


@then("every chunk is with a host that is there")
def step_all_there(context):
    for play, _ in context.ahead:
        found = 0
        for planner in play.planners.values():
            found |= planner.have
        assert found == full(), bin(found)


@then("the origin has sent at most {copies:g} copies, besides what those that left had read")
def step_sent(context, copies):
    sent = [sum(play.reads.values()) - lost for play, lost in context.ahead]
    assert max(sent) <= copies * CHUNKS, sent


@then("no host has fetched a chunk from a peer")
def step_no_peer(context):
    assert not any(play.asked_peers for play, _ in context.ahead)


@when("up to {count:d} versions are named while any of them are fetched")
def step_named(context, count):
    context.chosen = []

    @property_given(st.sets(st.integers(1, 9), max_size=count), st.data())
    def draw(named, data):
        fetched = data.draw(st.sets(st.sampled_from([None, *sorted(named)])))
        context.chosen.append((named, fetched, versions_to_seed(named, fetched=fetched)))

    draw()


@then("the newest one is seeded unless it is fetched, and no other")
def step_newest(context):
    for named, fetched, seeds in context.chosen:
        newest = max(named, default=None)
        assert seeds == ([] if newest is None or newest in fetched else [newest])


@given("{hosts:d} hosts of {regions:d} regions that fetch version 1")
def step_fleet(context, hosts, regions):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def begin():
        context.named = NamedFleet(hosts=hosts, regions=regions)
        await context.named.start()
        context.named.name(1)

    context.runner.run(begin())
    context.add_cleanup(lambda: context.runner.run(context.named.stop()))


@when("version 2 is named after {after:g} s and the origin fails {fails:g} s later")
def step_origin_fails(context, after, fails):
    async def play():
        await asyncio.sleep(after)
        context.named.name(2)
        await asyncio.sleep(fails)
        context.named.store.set_faults(down="drop")

    context.runner.run(play())
    context.left = context.named.left(2)


def wait(context, is_reached, timeout_s):
    """Wait for something on all hosts."""
    fleet = context.named

    def seen():
        return {
            name: [bin(fleet.have(name, version) or 0).count("1") for version in (1, 2)]
            for name in fleet.links
        }

    hosts = list(fleet.links)
    context.runner.run(until(lambda: all(map(is_reached, hosts)), timeout_s, seen))


@then("at least {count:d} chunks of version 2 have left the origin, each once")
def step_left(context, count):
    assert len(context.left) >= count, context.left
    assert max(context.left.values()) == 1, context.left


@then("every host has the manifest of version 2 while the origin is away")
def step_manifest(context):
    wait(context, lambda host: context.named.have(host, 2) is not None, 2.0)


@then("all hosts have these chunks of version 2 while the origin is away")
def step_seeded(context):
    seeded = sum(1 << index for index in context.left)
    wait(context, lambda host: seeded & ~(context.named.have(host, 2) or 0) == 0, 8.0)


@then("all hosts have version 1 while the origin is away")
def step_version_1(context):
    wait(context, lambda host: context.named.have(host, 1) == full(), 8.0)
