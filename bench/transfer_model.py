"""Discrete-event simulation of links under the chunk planners of one transfer.

Each host's uplink sends one chunk at a time and each downlink, region link and the store's link
are queues that forward a chunk while they receive it. Control messages take a fixed delay.
Rates are the transfer's share of a link, as the pacer grants it. Only the planners' decisions are
measured.
"""

import heapq
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from typing import Any

from attrs import define, field, frozen
from wasabilb_core.distribution import (
    CHUNK_POLICIES,
    ORIGIN,
    ChunkFailure,
    ChunkPlanner,
    ChunkRequest,
    Overlay,
    PlannerLimits,
)
from wasabilb_core.tickets import HostSpec

ALLOWED_S = 120.0
ORIGIN_COPIES = 4.0
HOST_COPIES = 2.0
# A region link carries 3 copies in the allowed time; the pacer keeps a quarter for live traffic.
REGION_COPIES = 3.0 * 0.75
MESSAGE_DELAY_S = 0.003
TICK_S = 1.0
LINK_TIMEOUT_S = 3.0


@frozen(kw_only=True)
class Layout:
    """Hosts, regions and failure domains of one measurement."""

    hosts: int
    regions: int
    domains_per_region: int
    chunks: int

    def host_specs(self) -> list[HostSpec]:
        """Return the hosts, spread evenly over the failure domains."""
        specs = []
        for number in range(self.hosts):
            region = number % self.regions
            domain = number // self.regions % self.domains_per_region
            specs.append(
                HostSpec(
                    name=f"h{number:04d}",
                    role="backend",
                    address="127.0.0.1:1",
                    region=f"r{region}",
                    failure_domain=f"r{region}d{domain}",
                )
            )
        return specs


@define(kw_only=True)
class Node:
    """One simulated host."""

    spec: HostSpec
    planner: ChunkPlanner
    chunks_per_s: float
    peers: set[str] = field(factory=set)
    upload_queue: deque[tuple[str, int, int]] = field(factory=deque)
    is_sending: bool = False
    is_alive: bool = True
    downlink_free_at: float = 0.0
    done_at: float | None = None


@define(kw_only=True)
class Result:
    """Result of one transfer."""

    time_s: float
    finished: int
    living: int
    origin_copies: float
    region_copies: float
    refusals: int
    duplicates: int


class Transfer:
    """Simulated transfer of one version to all hosts of a layout."""

    def __init__(self, *, layout: Layout, policy: str, seed: int, limits: PlannerLimits) -> None:
        self.layout = layout
        self._limits = limits
        self.rng = random.Random(seed)
        self.now = 0.0
        self.version = 0
        self.nodes: dict[str, Node] = {}
        self.partition_rule: Callable[[str, str], bool] | None = None
        self.corruption_rule: Callable[[str], bool] = lambda source: False
        self._policy = policy
        self._seed = seed
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        self._origin_queue: deque[tuple[str, int, int]] = deque()
        self._is_origin_sending = self._is_over = False
        self._region_free_at: dict[tuple[str, str], float] = defaultdict(float)
        self._region_chunks: dict[tuple[str, str], int] = defaultdict(int)
        self._origin_chunks = self._refusals = self._duplicates = 0
        self.started_at = 0.0
        self.publish()

    def publish(self) -> None:
        """Start the transfer of a new version on all living hosts."""
        self.version += 1
        self.started_at = self.now
        self._origin_chunks = self._refusals = self._duplicates = 0
        self._region_chunks.clear()
        host_specs = self.layout.host_specs()
        overlay = Overlay(
            key=f"model@{self.version}:{self._seed}", hosts=host_specs, store_region="r0"
        )
        chunks_per_s = HOST_COPIES * self.layout.chunks / ALLOWED_S
        for spec in host_specs:
            planner = ChunkPlanner(
                overlay=overlay,
                host=spec.name,
                count=self.layout.chunks,
                policy=CHUNK_POLICIES.create(self._policy).unwrap(),
                rng=random.Random(f"{self._seed}:{self.version}:{spec.name}"),
                now=self.now,
                limits=self._limits,
            )
            old = self.nodes.get(spec.name)
            if old is None:
                self.nodes[spec.name] = Node(spec=spec, planner=planner, chunks_per_s=chunks_per_s)
                self.schedule(self.rng.random() * TICK_S, self._tick, spec.name)
                continue
            old.planner.abandon()
            old.planner, old.peers, old.done_at = planner, set(), None
        for name in self.nodes:
            self._connect_neighbours(name)
        for name in self.nodes:
            self.schedule(0.0, self._send_requests, name)

    def bound_s(self) -> float:
        """Return the lower bound that the links set on the time of a transfer, in seconds.

        It is the largest of: one copy over the store's link, one over a host's link, one over a
        region link, and, for all hosts and for each region, all copies but the one from outside
        over the sum of the uplinks. A fault that slows an uplink counts.
        """
        groups: dict[str, list[float]] = defaultdict(list)
        for node in self.nodes.values():
            copies = node.chunks_per_s * ALLOWED_S / self.layout.chunks
            groups[""].append(copies)
            groups[node.spec.region].append(copies)
        uploads = max((len(copies) - 1) / sum(copies) for copies in groups.values())
        region = 1 / REGION_COPIES if self.layout.regions > 1 else 0.0
        return ALLOWED_S * max(1 / ORIGIN_COPIES, 1 / HOST_COPIES, region, uploads)

    def schedule(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), callback, args))

    def run(self, limit_s: float) -> Result:
        """Run until all living hosts are complete."""
        self._is_over = False
        self.schedule(TICK_S, self._check_completion)
        while self._events and not self._is_over and self.now - self.started_at < limit_s:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        living = [node for node in self.nodes.values() if node.is_alive]
        done = [node.done_at for node in living if node.done_at is not None]
        chunks = self.layout.chunks
        return Result(
            time_s=(max(done, default=0.0) if self._is_over else self.now) - self.started_at,
            finished=len(done),
            living=len(living),
            origin_copies=self._origin_chunks / chunks,
            region_copies=max(self._region_chunks.values(), default=0) / chunks,
            refusals=self._refusals,
            duplicates=self._duplicates,
        )

    def schedule_fault(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a fault; the run does not end before it."""
        self.schedule(delay_s, callback, *args)

    def _check_completion(self) -> None:
        waiting = any(node.is_alive and node.done_at is None for node in self.nodes.values())
        self._is_over = not waiting and not self._has_pending_faults()
        self.schedule(TICK_S, self._check_completion)

    def _has_pending_faults(self) -> bool:
        return any(callback.__name__.startswith("fault_") for _, _, callback, _ in self._events)

    def is_blocked(self, one: str, other: str) -> bool:
        """Return whether two hosts, or a host and the store, cannot reach each other."""
        for name in (one, other):
            if name != ORIGIN and not self.nodes[name].is_alive:
                return True
        return self.partition_rule is not None and self.partition_rule(one, other)

    def fault_kill(self, name: str) -> None:
        """Kill a host; its peers detect this after the timeout of a silent link."""
        self.nodes[name].is_alive = False
        for other in self.nodes[name].peers:
            self.schedule(LINK_TIMEOUT_S, self.remove_link, other, name)

    def remove_link(self, name: str, peer: str) -> None:
        """Remove a link of a host."""
        self.nodes[name].peers.discard(peer)
        self.nodes[name].planner.on_peer_lost(peer)
        self._send_requests(name)

    def _connect_neighbours(self, name: str) -> None:
        node = self.nodes[name]
        if not node.is_alive:
            return
        for peer in node.planner.neighbours(self.now):
            if peer not in node.peers and not self.is_blocked(name, peer):
                node.peers.add(peer)
                other = self.nodes[peer]
                other.peers.add(name)
                node.planner.on_peer_state(peer, other.planner.have, self.now)
                other.planner.on_peer_state(name, node.planner.have, self.now)

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if not node.is_alive:
            return
        self.schedule(TICK_S, self._tick, name)
        if node.done_at is None or self.partition_rule is not None:
            node.planner.on_tick(self.now)
            self._connect_neighbours(name)
            self._send_requests(name)

    def _send_requests(self, name: str) -> None:
        node = self.nodes[name]
        if not node.is_alive or node.done_at is not None:
            return
        for request in node.planner.next_requests(self.now):
            self.schedule(MESSAGE_DELAY_S, self._on_request, name, request, self.version)

    def _on_request(self, name: str, request: ChunkRequest, version: int) -> None:
        if version != self.version or self.is_blocked(name, request.source):
            return
        upload = (name, request.index, version)
        if request.is_origin:
            self._origin_queue.append(upload)
            if not self._is_origin_sending:
                self._send_from_origin()
            return
        source = self.nodes[request.source]
        if not source.planner.may_serve(name, self.now):
            self._refusals += 1
            self.schedule(MESSAGE_DELAY_S, self._on_refusal, name, request, version)
            return
        source.upload_queue.append(upload)
        if not source.is_sending:
            self._send_next(source)

    def _on_refusal(self, name: str, request: ChunkRequest, version: int) -> None:
        if version != self.version:
            return
        planner = self.nodes[name].planner
        planner.on_chunk_failed(request.index, request.source, ChunkFailure.BUSY, self.now)
        self._send_requests(name)
        self.schedule(
            0.35 * ALLOWED_S / HOST_COPIES / self.layout.chunks, self._send_requests, name
        )

    def _send_from_origin(self) -> None:
        self._is_origin_sending = False
        while self._origin_queue:
            name, index, version = self._origin_queue.popleft()
            chunk_request = ChunkRequest(index=index, source=ORIGIN)
            if version != self.version or self.is_blocked(name, ORIGIN):
                continue
            if chunk_request not in self.nodes[name].planner.in_flight:
                continue
            self._is_origin_sending = True
            self._origin_chunks += 1
            duration_s = ALLOWED_S / ORIGIN_COPIES / self.layout.chunks
            self._transmit(ORIGIN, "r0", name, index, duration_s)
            self.schedule(duration_s, self._send_from_origin)
            return

    def _send_next(self, source: Node) -> None:
        source.is_sending = False
        while source.upload_queue and source.is_alive:
            name, index, version = source.upload_queue.popleft()
            if version != self.version:
                continue
            source.is_sending = True
            duration_s = 1 / source.chunks_per_s
            self._transmit(source.spec.name, source.spec.region, name, index, duration_s)
            self.schedule(duration_s, self._on_sent, source, name, version)
            return

    def _on_sent(self, source: Node, name: str, version: int) -> None:
        if version == self.version:
            source.planner.on_served(name)
        self._send_next(source)

    def _transmit(self, source: str, region: str, name: str, index: int, duration_s: float) -> None:
        """Send a chunk over an uplink, the region link and the downlink."""
        node = self.nodes[name]
        start, end = self.now, self.now + duration_s
        if region != node.spec.region:
            pair = (region, node.spec.region)
            self._region_chunks[pair] += 1
            start = max(start, self._region_free_at[pair])
            region_duration_s = ALLOWED_S / REGION_COPIES / self.layout.chunks
            self._region_free_at[pair] = start + region_duration_s
            end = max(end, start + region_duration_s)
        start = max(start, node.downlink_free_at)
        node.downlink_free_at = start + ALLOWED_S / HOST_COPIES / self.layout.chunks
        self.schedule(
            max(end, node.downlink_free_at) - self.now + MESSAGE_DELAY_S,
            self._deliver,
            name,
            index,
            source,
            self.version,
        )

    def _deliver(self, name: str, index: int, source: str, version: int) -> None:
        node = self.nodes[name]
        if version != self.version or self.is_blocked(name, source):
            return
        if self.corruption_rule(source):
            node.planner.on_chunk_failed(index, source, ChunkFailure.CORRUPT, self.now)
        elif node.planner.on_chunk(index, source, self.now):
            self.schedule(MESSAGE_DELAY_S, self._announce, name, version)
            if node.planner.is_complete:
                node.done_at = self.now
        else:
            self._duplicates += 1
        self._send_requests(name)

    def _announce(self, name: str, version: int) -> None:
        if version != self.version:
            return
        node = self.nodes[name]
        have = node.planner.have
        for peer in list(self._reachable_peers(node)):
            other = self.nodes[peer]
            if other.done_at is None and other.planner.on_peer_state(name, have, self.now):
                self._send_requests(peer)

    def _reachable_peers(self, node: Node) -> Iterator[str]:
        for peer in sorted(node.peers):
            if not self.is_blocked(node.spec.name, peer):
                yield peer
