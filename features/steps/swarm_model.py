"""A simulated swarm of chunk planners for the steps about distribution."""

import random
from collections import deque

from wasabilb_core.distribution import (
    CHUNK_POLICIES,
    ORIGIN,
    ChunkFailure,
    ChunkPlanner,
    Overlay,
    PlannerLimits,
)
from wasabilb_core.tickets import HostSpec

LIMITS = PlannerLimits()
MAX_IN_FLIGHT = LIMITS.peer_requests + LIMITS.external_requests + LIMITS.max_overdue


def make_hosts(count: int, regions: int = 2, domains: int = 2) -> list[HostSpec]:
    """Return hosts spread over regions and failure domains."""
    return [
        HostSpec(
            name=f"h{n}",
            role="backend",
            address="127.0.0.1:1",
            region=f"r{n % regions}",
            failure_domain=f"r{n % regions}d{n // regions % domains}",
        )
        for n in range(count)
    ]


def make_planner(overlay: Overlay, host: str, count: int, seed: int, now: float = 0.0):
    """Return a planner of the policy `swarm`."""
    policy = CHUNK_POLICIES.create("swarm").unwrap()
    rng = random.Random(seed)
    return ChunkPlanner(
        overlay=overlay, host=host, count=count, policy=policy, rng=rng, now=now, limits=LIMITS
    )


class Swarm:
    """Planners that exchange events in rounds of 1 s, in random order and with faults."""

    def __init__(self, *, hosts: int, chunks: int, seed: int, loss: float, deaths: int) -> None:
        self.rng = random.Random(seed)
        self.loss, self.now = loss, 0.0
        specs = make_hosts(hosts)
        self.dead = {spec.name for spec in self.rng.sample(specs[1:], min(deaths, hosts - 2))}
        self.dies_at = {name: self.rng.uniform(0, 20) for name in self.dead}
        overlay = Overlay(key=f"t{seed}", hosts=specs, store_region="r0")
        self.planners = {s.name: make_planner(overlay, s.name, chunks, seed) for s in specs}
        self.most_in_flight = 0
        self.messages: deque = deque()

    def is_alive(self, name: str) -> bool:
        return name == ORIGIN or self.now < self.dies_at.get(name, float("inf"))

    def run(self, seconds: int) -> bool:
        for second in range(seconds):
            self.now = float(second)
            living = [name for name in self.planners if self.is_alive(name)]
            if all(self.planners[name].is_complete for name in living):
                return True
            for name in living:
                self.step(name)
            self.rng.shuffle(self.messages)
            for _ in range(len(self.messages)):
                self.deliver(*self.messages.popleft())
        return False

    def step(self, name: str) -> None:
        planner = self.planners[name]
        planner.on_tick(self.now)
        for peer in planner.neighbours(self.now):
            if not self.is_alive(peer):
                planner.on_peer_lost(peer)
                continue
            planner.on_peer_state(peer, self.planners[peer].have, self.now)
            self.planners[peer].on_peer_state(name, planner.have, self.now)
        for request in planner.next_requests(self.now):
            if self.rng.random() >= self.loss:
                self.messages.append((name, request.index, request.source))
        self.most_in_flight = max(self.most_in_flight, len(planner.in_flight))

    def deliver(self, name: str, index: int, source: str) -> None:
        if self.rng.random() < 0.3 or not self.is_alive(name) or not self.is_alive(source):
            if self.is_alive(source):
                self.messages.append((name, index, source))
            return
        planner = self.planners[name]
        if source != ORIGIN:
            assert self.planners[source].have >> index & 1, "the source has not verified this chunk"
            if not self.planners[source].may_serve(name, self.now):
                planner.on_chunk_failed(index, source, ChunkFailure.BUSY, self.now)
                return
            self.planners[source].on_served(name)
        draw = self.rng.random()
        if draw < self.loss / 2:
            planner.on_chunk_failed(index, source, ChunkFailure.CORRUPT, self.now)
        elif draw > self.loss:
            planner.on_chunk(index, source, self.now)
