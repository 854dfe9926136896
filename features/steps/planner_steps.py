"""Steps about single chunk planners in simulated time."""

import random
import sys
from pathlib import Path
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when
from swarm_model import LIMITS, make_hosts, make_planner
from wasabilb_agent._transfer_limits import TRANSFER_LIMITS
from wasabilb_core.distribution import (
    CHUNK_POLICIES,
    ORIGIN,
    ChunkFailure,
    ChunkPlanner,
    Overlay,
)

sys.path.append(str(Path(__file__).parents[2] / "bench"))
import transfer_model


@given(
    "{count:d} hosts of 3 regions that each begin a transfer of {chunks:d} chunks with "
    '"{policy}" alone'
)
def step_begun_alone(context, count, chunks, policy):
    context.hosts, context.chunks = make_hosts(count, regions=3), chunks
    context.planners = {
        host.name: ChunkPlanner(
            overlay=Overlay(key="t", hosts=[host], store_region="r0"),
            host=host.name,
            count=chunks,
            policy=CHUNK_POLICIES.create(policy).unwrap(),
            rng=random.Random(host.name),
            now=0.0,
            limits=LIMITS,
        )
        for host in context.hosts
    }


@when("they meet after {seconds:g} s")
def step_meet(context, seconds):
    """Simulate steps of 0.1 s; each request is answered within its step."""
    context.read = {"alone": 0, "together": 0}
    joint_overlay = Overlay(key="t", hosts=context.hosts, store_region="r0")
    for step in range(1, 100):
        now = step * 0.1
        phase = "alone" if now <= seconds else "together"
        for name, planner in context.planners.items():
            if phase == "together":
                planner.on_hosts(joint_overlay)
                for peer, other in context.planners.items():
                    if peer != name:
                        planner.on_peer_state(peer, other.have, now)
        for planner in context.planners.values():
            for request in planner.next_requests(now):
                context.read[phase] += request.source == ORIGIN
                planner.on_chunk(request.index, request.source, now)
    assert all(planner.is_complete for planner in context.planners.values())


@given("their limits say that other regions may take {seconds:g} s")
def step_far_wait(context, seconds, limits=LIMITS):
    joint_overlay = Overlay(key="t", hosts=context.hosts, store_region="r0")
    context.planner = ChunkPlanner(
        overlay=joint_overlay,
        host="h0",
        count=context.chunks,
        policy=CHUNK_POLICIES.create("near_first").unwrap(),
        rng=random.Random(1),
        now=0.0,
        limits=evolve(limits, remote_wait_s=seconds),
    )


@given("the limits of a runner's agent say that other regions may take {seconds:g} s")
def step_agent_limits(context, seconds):
    step_far_wait(context, seconds, TRANSFER_LIMITS)


@when("two of them read nothing after they have met")
def step_idle_regions(context):
    for peer in ("h1", "h2"):
        context.planner.on_peer_state(peer, 0, 0.0)
    context.reads = []
    for step in range(100):
        now = step * 0.1
        for request in context.planner.next_requests(now):
            context.reads.append(now)
            context.planner.on_chunk(request.index, request.source, now)


@when("two of them offer all chunks but send one in {every:g} s, and nothing after {end:g} s")
def step_busy_regions(context, every, end):
    """Simulate steps of 0.1 s with a store that takes 0.3 s for a chunk."""
    planner, context.reads, answers, sent = context.planner, [], [], 0
    for step in range(200):
        now = step * 0.1
        planner.on_tick(now)
        for peer in ("h1", "h2"):
            planner.on_peer_state(peer, (1 << context.chunks) - 1, now)
        while answers and answers[0][0] <= now:
            planner.on_chunk(answers.pop(0)[1], ORIGIN, now)
        for request in planner.next_requests(now):
            if request.source == ORIGIN:
                context.reads.append(now)
                answers.append((now + 0.3, request.index))
            elif sent * every <= now <= end:
                sent += 1
                planner.on_chunk(request.index, request.source, now)
            elif now <= end:
                planner.on_chunk_failed(request.index, request.source, ChunkFailure.BUSY, now)


@then("the other one reads {share:d} chunks before {busy:g} s and all others by {end:g} s")
def step_waits_for_busy(context, share, busy, end):
    early = [at for at in context.reads if at < busy]
    assert len(early) <= share and context.planner.is_complete, context.reads
    assert max(context.reads) < end


@then("the other one reads {share:d} chunks before {seconds:g} s and all of them later")
def step_reads_late(context, share, seconds):
    early = [at for at in context.reads if at < seconds]
    assert len(early) == share and len(context.reads) == context.chunks, context.reads


@then("they read at most {copies:g} copies from the store, besides what each read alone")
def step_read_once(context, copies):
    assert (
        context.read["alone"] and context.read["together"] <= copies * context.chunks
    ), context.read


@given("a lone host whose store answers each chunk after {answer:g} s")
def step_lone_host(context, answer):
    overlay = Overlay(key="t", hosts=make_hosts(1), store_region="r0")
    context.planner = make_planner(overlay, "h0", 64, 1)
    context.now = 0.0
    for _ in range(4):
        requests = context.planner.next_requests(context.now)
        context.now += answer
        for request in requests:
            context.planner.on_chunk(request.index, ORIGIN, context.now)


@when("the store pauses for {pause:g} s with several requests in flight")
def step_store_pauses(context, pause):
    assert len(context.planner.next_requests(context.now)) > 1
    context.resumed = context.now + pause
    while context.now < context.resumed:
        context.now += 0.05
        context.planner.on_tick(context.now)
        context.planner.next_requests(context.now)


@then("the host reads from the store again within two timeouts of {timeout:g} s after the pause")
def step_reads_again(context, timeout):
    for request in context.planner.in_flight:
        context.planner.on_chunk_failed(request.index, ORIGIN, ChunkFailure.STALLED, context.now)
    while not context.planner.next_requests(context.now):
        context.now += 0.05
        context.planner.on_tick(context.now)
        assert context.now <= context.resumed + 2 * timeout, "the store is still not used"


# A copy takes 4 s over a host's link and a third of that between two regions.
LINKS = {"ALLOWED_S": 8.0, "HOST_COPIES": 2.0, "REGION_COPIES": 6.0, "TICK_S": 0.05}


class ObservedTransfer(transfer_model.Transfer):
    """A transfer that records when each chunk first left the store."""

    def __init__(self, **options):
        self.sent_at = {}
        super().__init__(**options)

    def _deliver(self, name, index, source, version):
        if source == ORIGIN:
            self.sent_at.setdefault(index, self.now)
        super()._deliver(name, index, source, version)


@when('the version is fetched with "{policy}"')
def step_fetch(context, policy):
    row = context.active_outline
    hosts, regions, copy_s = int(row["hosts"]), int(row["regions"]), float(row["copy"])
    layout = transfer_model.Layout(hosts=hosts, regions=regions, domains_per_region=1, chunks=48)
    origin_copies = LINKS["ALLOWED_S"] / copy_s
    with patch.multiple(transfer_model, ORIGIN_COPIES=origin_copies, **LINKS):
        transfer = ObservedTransfer(
            layout=layout,
            policy=policy,
            seed=1,
            limits=evolve(TRANSFER_LIMITS, remote_wait_s=2 * copy_s),
        )
        context.fetched = transfer.run(20.0)
    context.sent_at = transfer.sent_at


@then("it has left the store after at most {factor:g} times {copy:g} s")
def step_left(context, factor, copy):
    assert len(context.sent_at) == 48
    assert max(context.sent_at.values()) <= factor * copy, max(context.sent_at.values())


@then("the store has sent at most {copies:g} copies")
def step_copies(context, copies):
    assert context.fetched.origin_copies <= copies, context.fetched


@then("all hosts have it after at most {factor:g} times {link:g} s")
def step_all_have(context, factor, link):
    assert context.fetched.finished == context.fetched.living
    assert context.fetched.time_s <= factor * link, context.fetched
