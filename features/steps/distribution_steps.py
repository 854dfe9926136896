"""Steps about manifests, transfers and pacing."""

import hashlib
import json

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from swarm_model import LIMITS, MAX_IN_FLIGHT, Swarm, make_hosts, make_planner
from wasabilb_core import _bitmaps
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.distribution import (
    ORIGIN,
    ChunkFailure,
    ChunkPlanner,
    Overlay,
)
from wasabilb_core.errors import ErrorKind
from wasabilb_core.manifest import Manifest, parse_manifest
from wasabilb_core.pacing import Pacer
from wasabilb_core.rendezvous import owner


def finish(steps):
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def make_content(version: str, count: int) -> tuple[Manifest, list[bytes]]:
    """Return a manifest and its chunks of 8 bytes, the last one shorter."""
    chunks = [hashlib.sha256(f"{version}{n}".encode()).digest()[:8] for n in range(count)]
    chunks[-1] = chunks[-1][:3]
    content = b"".join(chunks)
    manifest = Manifest(
        model="draft",
        version=version,
        adapter="",
        size=len(content),
        chunk_size=8,
        chunks=tuple(hashlib.sha256(chunk).hexdigest() for chunk in chunks),
        digest=hashlib.sha256(content).hexdigest(),
    )
    return manifest, chunks


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=70),
    lambda sub: st.lists(sub, max_size=4) | st.dictionaries(st.text(max_size=9), sub, max_size=4),
    max_leaves=8,
)


@when("random values and damaged manifests are parsed")
def step_parse(context):
    context.results = []
    valid = json.loads(make_content("v1", 3)[0].to_json())
    assert parse_manifest(json.dumps(valid).encode()).unwrap() == make_content("v1", 3)[0]

    @property_given(st.binary(max_size=60), JSON, st.sampled_from(sorted(valid)))
    def check(raw, value, key):
        damaged = {**valid, key: value}
        texts = [raw, json.dumps(value).encode(), json.dumps(damaged).encode(), b"[" * 100_000]
        texts.append(json.dumps({**valid, "version": key}).encode())
        texts.append(json.dumps({k: v for k, v in valid.items() if k != key}).encode())
        context.results += map(parse_manifest, texts)

    check()


@then('each gives a manifest that is consistent or the error "{kind}"')
def step_consistent(context, kind):
    for result in context.results:
        if isinstance(result, Success):
            found = result.unwrap()
            assert 0 < found.chunk_length(len(found.chunks) - 1) <= found.chunk_size
            assert parse_manifest(found.to_json()) == result
        else:
            assert result.failure().kind.value == kind
    assert len({type(result) for result in context.results}) == 2


@when("random chunks, corrupt chunks and chunks of another version arrive in random order")
def step_arrivals(context):
    context.offers, context.deliveries = [], []
    own, chunks = make_content("v1", 5)
    other, foreign = make_content("v2", 5)
    overlay = Overlay(key=own.canonical_digest, hosts=make_hosts(4), store_region="r0")
    arrival = st.tuples(st.sampled_from(["good", "bad", "moved", "other"]), st.integers(0, 5))

    @property_given(st.lists(arrival, max_size=40), st.booleans())
    def check(arrivals, has_rest):
        arrivals += [("good", index) for index in range(5)] if has_rest else []
        planner = make_planner(overlay, "h0", 5, 1)
        assembly = ChunkAssembly(manifest=own, planner=planner)
        good = set()
        for kind, index in arrivals:
            data = (foreign if kind == "other" else chunks)[index % 5]
            data = {"bad": data[:-1] + b"\x00", "moved": chunks[(index + 1) % 5]}.get(kind, data)
            transfer = other.canonical_digest if kind == "other" else own.canonical_digest
            result = assembly.add(transfer=transfer, index=index, source="h1", data=data, now=0.0)
            is_good = kind == "good" and index < 5
            assert isinstance(result, Success) == is_good, (kind, index)
            # Bytes of another version are refused even with the digest of this transfer.
            kept = assembly.add(
                transfer=own.canonical_digest, index=index, source="h1", data=foreign[1], now=0.0
            )
            assert isinstance(kept, Failure)
            good |= {index} if is_good else set()
            context.offers.append((set(_bitmaps.members(planner.have)), set(good)))
            held = {n for n in range(6) if assembly.chunk(own.canonical_digest, n) is not None}
            context.offers.append((held, set(good)))
        content = finish(assembly.content())
        is_whole = isinstance(content, Success)
        context.deliveries.append(
            (is_whole, len(good) == 5, not is_whole or list(content.unwrap()))
        )
        assembly.abandon()
        assert assembly.chunk(own.canonical_digest, 0) is None
        assert isinstance(finish(assembly.content()), Failure)
        late = assembly.add(
            transfer=own.canonical_digest, index=0, source="h1", data=chunks[0], now=0.0
        )
        assert late.failure().kind is ErrorKind.VERSION_MISMATCH and planner.have == 0

    check()
    context.expected = chunks


@then("only verified chunks of the own version are offered")
def step_offers(context):
    assert all(offered == verified for offered, verified in context.offers)


@then("whole weights are delivered only when every chunk was verified")
def step_delivered(context):
    for is_whole, has_all, content in context.deliveries:
        assert is_whole == has_all and content in (True, context.expected)
    assert {is_whole for is_whole, _, _ in context.deliveries} == {True, False}


@when("swarms run under random loss, corruption, reordering and deaths")
def step_swarms(context):
    context.runs = []

    @settings(max_examples=60)
    @property_given(
        st.integers(2, 14),
        st.integers(1, 24),
        st.integers(0, 2**32),
        st.floats(0, 0.4),
        st.integers(0, 5),
    )
    def check(hosts, chunks, seed, loss, deaths):
        swarm = Swarm(hosts=hosts, chunks=chunks, seed=seed, loss=loss, deaths=deaths)
        is_done = swarm.run(4000)
        context.runs.append((is_done, swarm.most_in_flight))
        assert is_done, (hosts, chunks, seed, loss, deaths)

    check()


@then("every living host completes")
def step_completes(context):
    assert len(context.runs) >= 50 and all(is_done for is_done, _ in context.runs)


@then("the requests in flight of every host stay within the limits")
def step_bounded(context):
    assert 1 < max(most for _, most in context.runs) <= MAX_IN_FLIGHT


EVENT = st.tuples(st.sampled_from(["state", "lost", "chunk", "failed", "tick"]), st.integers(0, 9))


def apply_event(planner: ChunkPlanner, kind: str, number: int, now: float) -> None:
    """Apply one event to a planner."""
    peer = f"h{number}"
    if kind == "state":
        planner.on_peer_state(peer, 0b1011 << number, now)
    elif kind == "lost":
        planner.on_peer_lost(peer)
    elif kind == "chunk":
        planner.on_chunk(number, peer, now)
    elif kind == "failed":
        planner.on_chunk_failed(number, peer, ChunkFailure.STALLED, now)
    else:
        planner.on_tick(now)


@when("a planner is abandoned among random events")
def step_abandon(context):
    context.after = []
    overlay = Overlay(key="t", hosts=make_hosts(10), store_region="r0")

    @property_given(st.lists(EVENT, max_size=20), st.lists(EVENT, max_size=20), st.integers(0, 9))
    def check(before, after, host):
        planner = make_planner(overlay, f"h{host}", 16, 1)
        for now, event in enumerate(before):
            apply_event(planner, *event, float(now))
            planner.next_requests(float(now))
            assert len(planner.in_flight) <= MAX_IN_FLIGHT
        planner.abandon()
        for now, event in enumerate(after, len(before)):
            apply_event(planner, *event, float(now))
            context.after += [planner.next_requests(now), planner.in_flight, planner.have]
            context.after += [planner.may_serve("h1", now), planner.is_complete]

    check()


@then("it offers, requests, serves and counts nothing from then on")
def step_nothing(context):
    assert context.after and not any(context.after)


def depth_of(overlay: Overlay, links: dict[str, tuple[str, ...]]) -> int:
    """Return the hops from the first host to the farthest one; fail if one is not reached."""
    reached, frontier, depth = {"h0"}, ["h0"], 0
    while len(reached) < len(overlay.hosts):
        frontier = sorted({peer for name in frontier for peer in links[name]} - reached)
        assert frontier, "the links do not connect all hosts"
        reached.update(frontier)
        depth += 1
    return depth


@when("the links of random layouts are computed")
def step_links(context):
    context.layouts = []

    @settings(max_examples=50)
    @property_given(st.integers(1, 90), st.integers(1, 4), st.integers(1, 3), st.text(max_size=5))
    def check(hosts, regions, domains, key):
        specs = make_hosts(hosts, regions, domains)
        overlay = Overlay(key=key, hosts=specs, store_region="r0")
        context.layouts.append((overlay, {s.name: overlay.neighbours(s.name) for s in specs}))

    check()


@then("they are symmetric and connect all hosts")
def step_symmetric(context):
    for overlay, links in context.layouts:
        assert all(name in links[peer] for name in links for peer in links[name])
        depth_of(overlay, links)


@then("a host has at most {most:d} links in its region, a fetcher a few more")
def step_degree(context, most):
    for overlay, links in context.layouts:
        for name, peers in links.items():
            region = overlay.hosts[name].region
            is_fetcher = name in overlay.fetchers(region)
            near = [peer for peer in peers if overlay.hosts[peer].region == region]
            assert len(near) <= most + 3 * is_fetcher
            assert is_fetcher or len(near) == len(peers)


@then("the links between {count:d} hosts are at most {steps:d} steps deep")
def step_depth(context, count, steps):
    specs = make_hosts(count, 2, 3)
    overlay = Overlay(key="t", hosts=specs, store_region="r0")
    assert depth_of(overlay, {s.name: overlay.neighbours(s.name) for s in specs}) <= steps


@given("a region of {count:d} hosts whose first fetcher is dead from the start")
def step_dead_fetcher(context, count):
    context.overlay = Overlay(key="t", hosts=make_hosts(count, 1), store_region="r0")
    context.dead, context.second = context.overlay.fetchers("r0")[:2]
    context.planner = make_planner(context.overlay, context.second, 32, 1)


@when("another fetcher waits until the takeover time has passed")
def step_takeover(context):
    fetchers, planner = context.overlay.fetchers("r0"), context.planner
    context.owned = {
        name: [n for n in range(32) if owner(f"t:{n}", "0123") == str(place)]
        for place, name in enumerate(fetchers)
    }
    others = [str(place) for place, name in enumerate(fetchers) if name != context.dead]
    context.due = [
        n
        for n in context.owned[context.dead]
        if owner(f"t:{n}", others) == str(fetchers.index(context.second))
    ]
    # One chunk of its own never arrives, so the fetcher may not take over other chunks early.
    missing_index = context.owned[context.second][0]
    context.requested_at = {}
    for now in map(float, range(12)):
        for name in fetchers[2:]:
            planner.on_peer_state(name, sum(1 << n for n in context.owned[name][: int(now)]), now)
        for request in planner.next_requests(now):
            if request.source == ORIGIN:
                context.requested_at.setdefault(request.index, now)
            if request.index == missing_index or request.source != ORIGIN:
                planner.on_chunk_failed(request.index, request.source, ChunkFailure.LOST, now)
            else:
                planner.on_chunk(request.index, request.source, now)


@then("it requests its share of the dead fetcher's chunks from the store, and no other's before")
def step_taken(context):
    times = [context.requested_at.get(index) for index in context.due]
    assert times and None not in times and min(times) > LIMITS.min_takeover_s, times
    allowed = {*context.due, *context.owned[context.second]}
    early = {index for index, at in context.requested_at.items() if at <= LIMITS.min_takeover_s}
    assert early <= set(context.owned[context.second])
    assert set(context.requested_at) <= allowed, context.requested_at


@when("random live traffic shares a link with a paced transfer")
def step_pacing(context):
    context.shares, context.waits = [], []
    sizes = st.lists(st.tuples(st.integers(0, 4000), st.integers(1, 3000)), min_size=30)

    @property_given(sizes)
    def check(steps):
        pacer = Pacer(link_rate=10_000.0, reserved_share=0.25, now=0.0)
        free_at, floor_at, sent = 0.0, 0.0, 0
        for number, (live, size) in enumerate(steps):
            now = number * 0.1
            pacer.on_live_bytes(live, now)
            allowed = 0.75 * 10_000.0 * (now + 0.1) + 3000
            if free_at <= now:
                wait = pacer.take(size, now)
                free_at = now + wait
                sent += size
                floor_at = max(floor_at, now) + size / 500.0
                context.waits.append((free_at, floor_at))
            context.shares.append((sent, allowed))

    check()


@then("the transfer keeps to the link minus the reserve and minus live traffic")
def step_share(context):
    assert all(sent <= allowed for sent, allowed in context.shares)
    pacer = Pacer(link_rate=10_000.0, reserved_share=0.25, now=0.0)
    assert pacer.rate == 7500.0
    for number in range(50):
        pacer.on_live_bytes(500, number * 0.1)
    # 5,000 bytes/s of live traffic with a margin of a half leave a quarter of the link.
    assert 1500 <= pacer.rate <= 4000
    assert pacer.take(1, 60.0) == 0.0 and pacer.rate > 7000


@then("it never waits longer than at the floor rate")
def step_floor(context):
    assert all(free_at <= floor_at + 1e-9 for free_at, floor_at in context.waits)
