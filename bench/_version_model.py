"""Simulation of version transfers, runner loads and callers under a virtual clock in 50 ms steps.

Weights are shares of a version: the origin sends each part of a version to the fleet once, and a
host holds at most the share in its part of the fleet. Callers are a rate; refused callers retry
once. Figures of the deployment `flakevault`: 48 chunks of 48 KB, host links of 4.7 Mbit/s, an
origin of 9 to 15 Mbit/s, a load of 0.4 s after the running requests.
"""

import math
import random
from typing import Protocol

from attrs import Factory, define, field, frozen
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.reload_waves import WaveMember

STEP_S = 0.05
BOUND_S = 8.0
# Requests are sent to a runner until this time before its version is out of date.
USE_MARGIN_S = 0.9
USABLE_S = BOUND_S - USE_MARGIN_S
COPY_S = 48 * 49152 * 8 / 4.7e6
# Range of a host's transfer time over the time of the link alone.
LINK_FACTORS = (1.2, 1.5)
IDLE_LOAD_S = 0.5
# Time from the load order until a runner's last request ends, with full batches.
DRAIN_RANGE_S = (0.6, 2.6)
# Delay of the list of the other runners' versions.
LIST_LAG_S = 1.2
DOMAINS = 3
FIRST_VERSION = 1
# Worth of an answer to a retried request, and of a request that is refused twice.
LATE_WORTH, TWICE_REFUSED_WORTH = 0.25, -0.3
# Callers retry within this time, whatever retry time the answer names.
MAX_RETURN_S = 2.0


@frozen(kw_only=True)
class Case:
    """Namings, faults and load of one simulation."""

    name: str
    hosts: int
    named_at: tuple[float, ...]
    origin_away: tuple[float, float] | None = None
    partition: tuple[float, float] | None = None
    utilization: float = 0.8
    origin_copy_s: float = 1.6
    is_seeded: bool = False
    seed: int = 1

    @property
    def end_s(self) -> float:
        """Return the end of the simulation, in seconds."""
        origin_back_s = self.origin_away[1] if self.origin_away else 0.0
        return max(
            self.named_at[-1] + 2 * BOUND_S,
            origin_back_s + BOUND_S,
            self.partition[1] if self.partition else 0.0,
        )


@define(kw_only=True, eq=False)
class Host:
    """One host and the runner on it."""

    number: int
    domain: int
    copy_s: float
    rank: int = 0
    loaded_version: int = FIRST_VERSION
    shares: dict[int, float] = Factory(dict)
    ordered_at: float = -math.inf
    loaded_at: float = -math.inf
    next_version: int = 0
    fetching: set[int] = Factory(set)
    transfer_started_at: dict[int, float] = Factory(dict)

    @property
    def name(self) -> str:
        """Return the runner's name."""
        return f"r{self.number}"

    def is_loading(self, now: float) -> bool:
        """Return whether the runner drains or loads after an order."""
        return now < self.loaded_at


class VersionPolicy(Protocol):
    """Policy that decides what a host fetches and when its runner is ordered to load."""

    def choose_fetch(self, sim: "VersionSimulation", host: Host) -> int | None:
        """Return the version to fetch; chunks of other versions are dropped."""

    def choose_load(self, sim: "VersionSimulation", host: Host) -> int | None:
        """Return the version that the runner is to load now."""


@define(eq=False, slots=False)
class VersionSimulation:
    """Simulation of one case with one policy."""

    case: Case
    policy: VersionPolicy
    has_return_time: bool = False
    keeps_chunks: bool = False
    now: float = 0.0
    worth: float = 0.0
    demand: float = 0.0
    idle_s: float = 0.0
    loads: int = 0
    min_usable_share: float = 1.0
    hosts: list[Host] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.case.seed)
        self.hosts = [
            Host(number=n, domain=n % DOMAINS, copy_s=COPY_S * self.rng.uniform(*LINK_FACTORS))
            for n in range(self.case.hosts)
        ]
        by_domain = sorted(self.hosts, key=lambda host: (host.domain, host.number))
        for index, host in enumerate(by_domain):
            host.rank = index
        self.origin = OriginUptime()
        # Share of each version in each part of the fleet: the rest, and the cut-off failure domain.
        self.fleet_shares: dict[int, list[float]] = {}
        self.pending_lists: list[tuple[float, dict[int, int]]] = []
        self.listed_versions: dict[int, int] = {}
        self.returning_load: dict[int, float] = {}

    def named_versions(self) -> list[int]:
        """Return the versions that have been named."""
        named_at = self.case.named_at
        return [FIRST_VERSION + 1 + n for n, at in enumerate(named_at) if at <= self.now]

    def outdated_s(self, version: int, at: float | None = None) -> float:
        """Return the time since a newer version was named, in seconds."""
        now = self.now if at is None else at
        index = version - FIRST_VERSION
        named_next_at = self.case.named_at[index] if index < len(self.case.named_at) else math.inf
        return now - named_next_at if named_next_at <= now else -math.inf

    def is_usable(self, host: Host) -> bool:
        """Return whether a request may start on a runner now."""
        return not host.is_loading(self.now) and self.outdated_s(host.loaded_version) < USABLE_S

    def is_origin_away(self) -> bool:
        """Return whether the origin is unavailable."""
        origin_away = self.case.origin_away
        return origin_away is not None and origin_away[0] <= self.now < origin_away[1]

    def members(self, observer: Host) -> dict[str, WaveMember]:
        """Return the runners as one agent sees them: its own state is current."""
        seen = {**self.listed_versions, observer.number: observer.loaded_version}
        return {
            host.name: WaveMember(
                failure_domain=str(host.domain),
                version=seen.get(host.number, FIRST_VERSION),
                is_reloading=True,
            )
            for host in self.hosts
        }

    def is_partitioned(self, domain: int) -> bool:
        """Return whether a failure domain is cut off; only the last one can be."""
        partition = self.case.partition
        return (
            domain == DOMAINS - 1
            and partition is not None
            and partition[0] <= self.now < partition[1]
        )

    def fleet_share(self, host: Host, version: int) -> float:
        """Return the share of a version that the host can reach."""
        parts = self.fleet_shares.get(version, [0.0, 0.0])
        return parts[self.is_partitioned(host.domain)]

    def run(self) -> "VersionSimulation":
        """Run the simulation to its end."""
        for step in range(round(self.case.end_s / STEP_S)):
            self.now = step * STEP_S
            self._update_list()
            self.origin.on_read(self.now, is_answered=not self.is_origin_away())
            self._transfer_chunks()
            for host in self.hosts:
                self._run_host(host)
            self._serve_requests(step)
        return self

    def _update_list(self) -> None:
        """Publish the runners' versions to the hosts with a delay; a loading runner shows 0."""
        seen = {h.number: 0 if h.is_loading(self.now) else h.loaded_version for h in self.hosts}
        self.pending_lists.append((self.now, seen))
        while self.pending_lists and self.pending_lists[0][0] <= self.now - LIST_LAG_S:
            self.listed_versions = self.pending_lists.pop(0)[1]

    def _transfer_chunks(self) -> None:
        fetched_versions: dict[int, set[int]] = {}
        for host in self.hosts:
            versions = self.policy.choose_fetch(self, host)
            versions = versions if isinstance(versions, set) else {versions} if versions else set()
            fetched_versions[host.number] = versions
            self._drop_others(host, versions)
        named_versions = self.named_versions()
        for version in named_versions:
            parts = self.fleet_shares.setdefault(version, [0.0, 0.0])
            if not self.is_partitioned(DOMAINS - 1):
                parts[1] = parts[0] = max(parts)
        requested = {
            v
            for h, vs in fetched_versions.items()
            for v in vs
            if not self.is_partitioned(self.hosts[h].domain)
        }
        if self.case.is_seeded and named_versions:
            requested.add(named_versions[-1])
        requested = {v for v in requested if self.fleet_shares[v][0] < 1}
        if requested and not self.is_origin_away():
            step_share = STEP_S / self.case.origin_copy_s / len(requested)
            for version in requested:
                self.fleet_shares[version][0] = min(1.0, self.fleet_shares[version][0] + step_share)
                for host in self.hosts:
                    if version not in fetched_versions[host.number] and not self.is_partitioned(
                        host.domain
                    ):
                        held_share = host.shares.get(version, 0.0)
                        host.shares[version] = min(1.0, held_share + step_share / len(self.hosts))
        for host in self.hosts:
            missing_versions = [
                v
                for v in fetched_versions[host.number]
                if host.shares.get(v, 0.0) < self.fleet_share(host, v)
            ]
            for version in missing_versions:
                held_share = host.shares.get(version, 0.0)
                step_share = STEP_S / host.copy_s / len(missing_versions)
                host.shares[version] = min(self.fleet_share(host, version), held_share + step_share)

    def _drop_others(self, host: Host, versions: set[int]) -> None:
        """Drop versions that are no longer fetched, as an ended transfer keeps no chunks."""
        ended, host.fetching = host.fetching - versions, versions
        for old in ended:
            is_seed = self.case.is_seeded and old == max(self.named_versions(), default=0)
            if is_seed or host.shares.get(old, 0.0) >= 1 or self.keeps_chunks:
                continue
            host.shares[old] = 0.0
            if not any(other.shares.get(old) for other in self.hosts):
                self.fleet_shares[old] = [0.0, 0.0]

    def _run_host(self, host: Host) -> None:
        if host.is_loading(self.now):
            return
        if host.next_version:
            host.loaded_version, host.next_version = host.next_version, 0
        version = self.policy.choose_load(self, host)
        if version is None or version <= host.loaded_version or host.shares.get(version, 0.0) < 1:
            return
        unused_s = max(0.0, self.outdated_s(host.loaded_version) - USABLE_S)
        drain_s = min(1.0, self.case.utilization) * self.rng.uniform(*DRAIN_RANGE_S)
        host.next_version, host.ordered_at = version, self.now
        host.loaded_at = self.now + max(0.0, drain_s - unused_s) + IDLE_LOAD_S
        self.loads += 1

    def _serve_requests(self, step: int) -> None:
        usable = [host for host in self.hosts if self.is_usable(host)]
        share = len(usable) / len(self.hosts)
        self.min_usable_share = min(self.min_usable_share, share)
        new_load = self.case.utilization * STEP_S
        self.demand += new_load
        self.idle_s += 0.0 if usable else STEP_S
        capacity = share * STEP_S
        served = min(new_load, capacity)
        returning = self.returning_load.pop(step, 0.0)
        retried = min(returning, capacity - served)
        self.worth += served + LATE_WORTH * retried + TWICE_REFUSED_WORTH * (returning - retried)
        refused = new_load - served
        if refused > 0:
            self._schedule_returns(step, refused)

    def _schedule_returns(self, step: int, refused: float) -> None:
        pause_s = 0.6
        if self.has_return_time and not any(self.is_usable(h) for h in self.hosts):
            return_times = [h.loaded_at for h in self.hosts if h.is_loading(self.now)]
            pause_s = min(return_times, default=self.now + MAX_RETURN_S) - self.now
        pauses = [min(MAX_RETURN_S, pause_s * x) for x in (0.8, 1.0, 1.2)]
        if self.has_return_time:
            pauses = [min(MAX_RETURN_S, pause_s + x) for x in (0.1, 0.4, 0.7)]
        for pause in pauses:
            at = step + max(1, math.ceil(pause / STEP_S))
            self.returning_load[at] = self.returning_load.get(at, 0.0) + refused / len(pauses)
