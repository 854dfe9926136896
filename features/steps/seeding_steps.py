"""Steps about versions that are read ahead, and the origin's failure and return."""

import asyncio
import hashlib
import json
import random
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from seeding_fleet import CHUNKS, LOOP_CHECK_INTERVAL_S, SeedingFleet, all_chunks, wait_until
from swarm_model import make_hosts
from wasabilb_agent._manifest_exchange import MANIFEST_INDEX, READERS_PER_REGION, ManifestExchange
from wasabilb_agent._shared_origin import SharedOrigin
from wasabilb_agent._transfer_limits import TRANSFER_LIMITS
from wasabilb_core.distribution import CHUNK_POLICIES, ChunkPlanner, Overlay
from wasabilb_core.errors import unavailable
from wasabilb_core.origin_probe import MIN_CONFIRM_S, OriginProbe
from wasabilb_core.seeding import MIN_EVEN_CHUNKS_PER_HOST, origin_shares, versions_to_seed
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now
from wasabilb_standins.store_content import ContentSpec, manifest_of
from wasabilb_wire.messages import ChunkData, OriginAnswer

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


@then("each chunk belongs to one host, whatever the order of the list")
def step_one_owner(context):
    for chunks, hosts, shares, again in context.shared:
        assert shares == again and set(shares) == hosts
        assert sum(share.bit_count() for share in shares.values()) == len(chunks)
        assert sum(shares.values()) == sum(1 << index for index in chunks)


@then("no host has more than an even share where there are enough chunks")
def step_even(context):
    for chunks, hosts, shares, _ in context.shared:
        if len(chunks) >= MIN_EVEN_CHUNKS_PER_HOST * len(hosts):
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
    # Round-robin assignment would move nearly all of them.
    assert moved <= 0.25 * total, moved / total


class ReadAheadHosts:
    """Planners that read only their shares and see the chunks of their region at once."""

    def __init__(self, rng, count):
        self.rng, self.count, self.now = rng, count, 0.0
        self.specs, self.planners, self.reads, self.peer_requests = {}, {}, {}, 0

    def exchange(self, gone, joined):
        """Remove and add hosts, and update the host list of all planners."""
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
        """Let each host send requests that are answered 0.1 s later."""
        self.now += 0.1
        for name, planner in self.planners.items():
            for peer, other in self.planners.items():
                if peer != name and self.specs[peer].region == self.specs[name].region:
                    planner.on_peer_state(peer, other.have, self.now)
        requests = [
            (name, request)
            for name, planner in self.planners.items()
            for request in planner.next_requests(self.now)
        ]
        for name, request in requests:
            self.peer_requests += not request.is_origin
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
        play = ReadAheadHosts(rng, CHUNKS)
        play.exchange([], specs)
        for _ in range(rng.randint(0, CHUNKS // len(specs) + 1)):
            play.step()
        play.exchange(gone, new)
        for _ in range(CHUNKS):
            play.step()
        context.ahead.append((play, sum(play.reads[name] for name in gone)))


@then("every chunk is on a host of the current list")
def step_all_there(context):
    for play, _ in context.ahead:
        found = 0
        for planner in play.planners.values():
            found |= planner.have
        assert found == all_chunks(), bin(found)


@then("the origin has sent at most {copies:g} copies, besides what the hosts that left had read")
def step_sent(context, copies):
    sent = [sum(play.reads.values()) - lost for play, lost in context.ahead]
    assert max(sent) <= copies * CHUNKS, sent


@then("no host has fetched a chunk from a peer")
def step_no_peer(context):
    assert not any(play.peer_requests for play, _ in context.ahead)


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
    begin(context, SeedingFleet(hosts=hosts, regions=regions))
    step_name(context)


@given("{hosts:d} hosts of {regions:d} regions of which those that read the manifest are down")
def step_readers_down(context, hosts, regions):
    fleet = SeedingFleet(hosts=hosts, regions=regions)
    overlay = Overlay(key=str(fleet.variant(1)), hosts=fleet.specs, store_region="r0")
    for names in overlay.fetch_order.values():
        fleet.stopped_hosts.update(names[:READERS_PER_REGION])
    begin(context, fleet)


def begin(context, fleet):
    """Start a fleet for the rest of the scenario."""
    context.runner, context.fleet = asyncio.Runner(), fleet
    context.add_cleanup(context.runner.close)
    context.runner.run(fleet.start())
    context.add_cleanup(lambda: context.runner.run(fleet.stop()))


@when("version 1 is named")
def step_name(context):
    async def name():
        context.fleet.name_version(1)

    context.runner.run(name())


@then("all hosts that run have its manifest after at most {limit:g} s")
def step_manifest_soon(context, limit):
    wait(context, lambda host: context.fleet.held_chunks(host, 1) is not None, limit)


@when("version 2 is named after {after:g} s and the origin fails {fails:g} s later")
def step_origin_fails(context, after, fails):
    async def play():
        await asyncio.sleep(after)
        context.fleet.name_version(2)
        # All hosts and the store share this event loop, whose delays do not count.
        named_at = now()
        while now() - named_at - context.fleet.loop_delay_s(named_at, now()) < fails:
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
        context.fleet.store.set_faults(down="drop")

    context.runner.run(play())
    context.sent_counts = context.fleet.sent_chunk_counts(2)


def wait(context, is_reached, timeout_s):
    """Wait until a condition holds for all hosts."""
    fleet = context.fleet

    def describe():
        return {
            name: [bin(fleet.held_chunks(name, version) or 0).count("1") for version in (1, 2)]
            for name in fleet.links
        }

    hosts = list(fleet.links)
    context.runner.run(wait_until(lambda: all(map(is_reached, hosts)), timeout_s, describe))


@then("at least {count:d} chunks of version 2 have left the origin, each once")
def step_left(context, count):
    assert len(context.sent_counts) >= count, context.sent_counts
    assert max(context.sent_counts.values()) == 1, context.sent_counts


@then("every host has the manifest of version 2 while the origin is unavailable")
def step_manifest(context):
    wait(context, lambda host: context.fleet.held_chunks(host, 2) is not None, 2.0)


@then("all hosts have these chunks of version 2 while the origin is unavailable")
def step_seeded(context):
    seeded = sum(1 << index for index in context.sent_counts)
    wait(context, lambda host: seeded & ~(context.fleet.held_chunks(host, 2) or 0) == 0, 8.0)


@then("all hosts have version 1 while the origin is unavailable")
def step_version_1(context):
    wait(context, lambda host: context.fleet.held_chunks(host, 1) == all_chunks(), 8.0)


@when("the origin fails after {after:g} s and comes back {outage:g} s later, {times:d} times")
def step_fails_and_returns(context, after, outage, times):
    store = context.fleet.store
    context.return_times = []

    async def play():
        for _ in range(times):
            await asyncio.sleep(after)
            store.set_faults(down="drop")
            await asyncio.sleep(outage)
            store.set_faults(down="")
            context.return_times.append(now())
        await asyncio.sleep(after)

    context.runner.run(play())


@given("{hosts:d} hosts of {regions:d} regions and an origin that is unavailable")
def step_away_from_start(context, hosts, regions):
    begin(context, SeedingFleet(hosts=hosts, regions=regions))
    context.fleet.store.set_faults(down="drop")


@when("version 1 is named and the origin returns {outage:g} s later")
def step_named_while_away(context, outage):
    step_name(context)
    step_fails_and_returns(context, 0.0, outage, 1)
    context.runner.run(asyncio.sleep(0.5))


@then("it has had at most {rate:g} requests a second in the last {last:g} s of each outage")
def step_request_rate(context, rate, last):
    requests = context.fleet.request_times
    counts = [sum(back - last <= at < back for at in requests) for back in context.return_times]
    # A slot may begin at both ends of the interval.
    assert max(counts) <= rate * last + 1, counts


@then("its first chunk has left at most {limit:g} s after each return")
def step_first_chunk(context, limit):
    fleet, waits = context.fleet, []
    for back in context.return_times:
        first = min(at for at in fleet.store.chunk_times if at >= back)
        # All hosts and the store share this event loop, whose delays do not count.
        waits.append((first - back, fleet.loop_delay_s(back, first)))
    assert all(wait - delay <= limit for wait, delay in waits), waits


@then("all hosts have version 1")
def step_whole(context):
    step_version_1(context)


@then("the origin has sent at most {copies:g} copies of version 1")
def step_copies_of_1(context, copies):
    sent = sum(context.fleet.sent_chunk_counts(1).values())
    assert sent <= copies * CHUNKS, sent


@when("{count:d} hosts take their turns for {seconds:g} s")
def step_turns(context, count, seconds):
    names = [f"h{n}" for n in range(count)]
    context.slots = []
    for name in names:
        probe, wall_s = OriginProbe(host=name), 0.001
        while wall_s < seconds:
            wall_s += probe.next_slot_in_s(names, wall_s=wall_s) + 0.001
            context.slots.append(wall_s)


@then("each slot of {slot:g} s has the request of one host")
def step_one_a_slot(context, slot):
    numbers = Counter(int(at / slot) for at in context.slots)
    whole = max(numbers) - 2 * 40
    assert all(numbers[number] == 1 for number in range(1, whole)), numbers


@when("requests that were sent together fail together")
def step_fail_together(context):
    context.probe = OriginProbe(host="h0")
    for failed_at in (1.0, 1.0, 2.5):
        assert not context.probe.on_failure(sent_at=0.9, now=failed_at)


@then("the origin counts as available, and as unavailable after one more that was sent later")
def step_away(context):
    assert not context.probe.is_away
    sent_at = 1.0 + MIN_CONFIRM_S
    assert context.probe.on_failure(sent_at=sent_at, now=sent_at) and context.probe.is_away
    assert context.probe.on_answer() and not context.probe.is_away
    assert not context.probe.on_failure(sent_at=9.0, now=9.0)


@when(
    "a host is sent manifests that are corrupt, of another version, not pinned or from an unknown "
    "host"
)
def step_sent_manifests(context):
    def content(version, **changes):
        variant = Variant(model="m", adapter="", version=version)
        spec = ContentSpec(variant=variant, size=100, chunk_size=10, seed=0, revision=0)
        raw = {**manifest_of(spec), **changes}
        return json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()

    right = content("1")
    context.exchange = ManifestExchange(
        host="h0",
        region="r0",
        links=SimpleNamespace(peers=lambda: []),
        store=None,
        rng=random.Random(1),
        held_manifest=lambda variant: None,
        pinned_digest=lambda variant: hashlib.sha256(right).hexdigest(),
    )
    variant = Variant(model="m", adapter="", version="1")
    overlay = Overlay(key="t", hosts=make_hosts(4), store_region="r0")
    context.exchange.request_manifest(variant, overlay)

    def send(payload, host="h1", digest=""):
        digest = digest or hashlib.sha256(payload).hexdigest()
        fields = dict(index=MANIFEST_INDEX, offset=0, is_last=True, payload=payload)
        context.exchange.on_manifest_data(
            SimpleNamespace(host=host), ChunkData(manifest=digest, **fields)
        )
        found = asyncio.run(context.exchange.obtain(variant, is_store_only=False))
        return found.unwrap().to_json()

    context.send, context.right = send, right
    context.wrong = [
        dict(payload=right[:-1]),
        dict(payload=right, digest="0" * 64),
        dict(payload=content("2")),
        dict(payload=content("1", chunks=["0" * 64] * 10)),
        dict(payload=content("1", size=10**6)),
        dict(payload=right, host="stranger"),
    ]


@then("it accepts none of them, and the correct one afterwards")
def step_takes_none(context):
    for wrong in context.wrong:
        try:
            taken = context.send(**wrong)
        except AttributeError:
            # Without a manifest it calls the store, which is None here.
            continue
        raise AssertionError(f"accepted: {taken}")
    assert context.send(context.right) == context.right


class UnavailableStore:
    """A store that fails and records when it is called."""

    def __init__(self):
        self.request_times = []

    async def manifest(self, variant):
        """Fail."""
        self.request_times.append(now())
        return unavailable("refused")

    def close(self):
        """Do nothing."""


@when(
    "a host of {count:d} finds the origin unavailable, is notified of its return and finds it "
    "unavailable again"
)
def step_away_again(context, count):
    variant, handlers = Variant(model="m", adapter="", version="1"), {}
    links = SimpleNamespace(
        set_handler=handlers.__setitem__,
        peers=lambda role: [],
        multicast=lambda message, peers: None,
        identity=SimpleNamespace(role="agent"),
    )
    context.store = UnavailableStore()

    async def play():
        origin = SharedOrigin(
            store=context.store,
            probe=OriginProbe(host="h0"),
            links=links,
            log=SimpleNamespace(event=lambda name, **fields: None),
            hosts=lambda variant: [f"h{n}" for n in range(count)],
            wanted_variant=lambda: variant,
            on_change=lambda variant: None,
            on_manifest=lambda variant, manifest: None,
        )
        for time in range(2):
            await origin.manifest(variant)
            await asyncio.sleep(MIN_CONFIRM_S)
            await origin.manifest(variant)
            assert origin.probe.is_away
            if time == 0:
                # Let the wait for the first turn begin.
                await asyncio.sleep(0)
                handlers[OriginAnswer](SimpleNamespace(host="h1"), OriginAnswer(variant=""))
                assert not origin.probe.is_away
        context.since = now()
        await asyncio.sleep(1.2)
        origin.close()

    names = [f"h{n}" for n in range(count)]
    first_s = OriginProbe(host="h0").next_slot_in_s(names, wall_s=10.0)
    began = now()

    def wall_ms():
        # This host's turn comes 0.9 s after the origin was first found unavailable.
        return 1000 * (9.1 + first_s + now() - began - MIN_CONFIRM_S)

    with patch("wasabilb_agent._shared_origin.wall_ms", wall_ms):
        asyncio.run(play())


@then("it sends one request in its next turn")
def step_one_request(context):
    requests = [at for at in context.store.request_times if at > context.since]
    assert len(requests) == 1, len(requests)
