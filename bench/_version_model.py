"""Hosts, links, an origin, runners' loads and callers under a virtual clock, in steps of 50 ms.

Weights flow as shares of a version: the origin sends each part of a version into the fleet once,
and a host has at most what lies in its part of the fleet. Callers are a flow, too; those that are
refused come back once. Figures of the deployment `flakevault`: 48 chunks of 48 KB, host links of
4.7 Mbit/s, an origin of 9 to 15 Mbit/s, a load of 0.4 s after the running requests.
"""

import math
import random
from typing import Protocol

from attrs import Factory, define, field, frozen
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.reload_waves import WaveMember

STEP_S = 0.05
BOUND_S = 8.0
# Requests are sent to a runner until so long before its version is out of date.
MARGIN_S = 0.9
USED_S = BOUND_S - MARGIN_S
COPY_S = 48 * 49152 * 8 / 4.7e6
# What hosts took for a version on the bench over the time of the link alone.
LINK_FACTORS = (1.2, 1.5)
IDLE_LOAD_S = 0.5
# A runner's last request ends so long after the order, at full batches.
DRAIN_S = (0.6, 2.6)
# The list tells other runners' versions late.
LIST_LAG_S = 1.2
DOMAINS = 3
FIRST = 1
# Worth of an answer to a caller who came back, and of one who was refused twice.
LATE_WORTH, TWICE_REFUSED = 0.25, -0.3
# Callers come back within this time, whatever they are told.
LONGEST_RETURN_S = 2.0


@frozen(kw_only=True)
class Case:
    """What happens in one play."""

    name: str
    hosts: int
    named: tuple[float, ...]
    away: tuple[float, float] | None = None
    cut: tuple[float, float] | None = None
    utilization: float = 0.8
    origin_copy_s: float = 1.6
    is_seeded: bool = False
    seed: int = 1

    @property
    def end_s(self) -> float:
        """Return the time to which the play goes on, seconds."""
        back = self.away[1] if self.away else 0.0
        return max(self.named[-1] + 2 * BOUND_S, back + BOUND_S, self.cut[1] if self.cut else 0.0)


@define(kw_only=True, eq=False)
class Host:
    """One host and the runner on it."""

    number: int
    domain: int
    copy_s: float
    rank: int = 0
    held: int = FIRST
    shares: dict[int, float] = Factory(dict)
    order_at: float = -math.inf
    back_at: float = -math.inf
    loading: int = 0
    fetching: set[int] = Factory(set)
    begun: dict[int, float] = Factory(dict)

    @property
    def name(self) -> str:
        """Return the runner's name."""
        return f"r{self.number}"

    def is_away(self, now: float) -> bool:
        """Return whether the runner carries out an order."""
        return now < self.back_at


class Decider(Protocol):
    """What a host fetches and when its runner is ordered to load."""

    def fetch(self, world: "World", host: Host) -> int | None:
        """Return the version whose chunks the host fetches; those of others are dropped."""

    def load(self, world: "World", host: Host) -> int | None:
        """Return the version that the runner is ordered to load now."""


@define(eq=False, slots=False)
class World:
    """One play of a case by one decider."""

    case: Case
    decider: Decider
    has_return_time: bool = False
    keeps: bool = False
    now: float = 0.0
    worth: float = 0.0
    owed: float = 0.0
    idle_s: float = 0.0
    loads: int = 0
    least: float = 1.0
    hosts: list[Host] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.case.seed)
        self.hosts = [
            Host(number=n, domain=n % DOMAINS, copy_s=COPY_S * self.rng.uniform(*LINK_FACTORS))
            for n in range(self.case.hosts)
        ]
        by_domain = sorted(self.hosts, key=lambda host: (host.domain, host.number))
        for place, host in enumerate(by_domain):
            host.rank = place
        self.origin = OriginUptime()
        # Share of each version that lies in the fleet, by part of the fleet.
        self.there: dict[int, list[float]] = {}
        self.lists: list[tuple[float, dict[int, int]]] = []
        self.listed: dict[int, int] = {}
        self.returns: dict[int, float] = {}

    def numbers(self) -> list[int]:
        """Return the versions that are named by now."""
        named = self.case.named
        return [FIRST + 1 + n for n, at in enumerate(named) if at <= self.now]

    def outdated_s(self, version: int, at: float | None = None) -> float:
        """Return for how long a newer version has been named."""
        now = self.now if at is None else at
        place = version - FIRST
        newer = self.case.named[place] if place < len(self.case.named) else math.inf
        return now - newer if newer <= now else -math.inf

    def is_usable(self, host: Host) -> bool:
        """Return whether a request may begin at a runner now."""
        return not host.is_away(self.now) and self.outdated_s(host.held) < USED_S

    def is_origin_away(self) -> bool:
        """Return whether the origin answers nobody."""
        away = self.case.away
        return away is not None and away[0] <= self.now < away[1]

    def members(self, own: Host) -> dict[str, WaveMember]:
        """Return the runners as the agent of one of them knows them: its own state is fresh."""
        seen = {**self.listed, own.number: own.held}
        return {
            host.name: WaveMember(
                failure_domain=str(host.domain),
                version=seen.get(host.number, FIRST),
                is_reloading=True,
            )
            for host in self.hosts
        }

    def is_cut(self, domain: int) -> bool:
        """Return whether a failure domain is cut off; the last one may be."""
        cut = self.case.cut
        return domain == DOMAINS - 1 and cut is not None and cut[0] <= self.now < cut[1]

    def in_fleet(self, host: Host, version: int) -> float:
        """Return the share of a version that lies within the host's reach."""
        parts = self.there.get(version, [0.0, 0.0])
        return parts[self.is_cut(host.domain)]

    def play(self) -> "World":
        """Play to the end."""
        for step in range(round(self.case.end_s / STEP_S)):
            self.now = step * STEP_S
            self._list()
            self.origin.on_read(self.now, is_answered=not self.is_origin_away())
            self._flow()
            for host in self.hosts:
                self._run(host)
            self._serve(step)
        return self

    def _list(self) -> None:
        """Let the hosts see the runners' versions as they were some time ago; 0 while they load."""
        seen = {h.number: 0 if h.is_away(self.now) else h.held for h in self.hosts}
        self.lists.append((self.now, seen))
        while self.lists and self.lists[0][0] <= self.now - LIST_LAG_S:
            self.listed = self.lists.pop(0)[1]

    def _flow(self) -> None:
        wanted: dict[int, set[int]] = {}
        for host in self.hosts:
            found = self.decider.fetch(self, host)
            found = found if isinstance(found, set) else {found} if found else set()
            wanted[host.number] = found
            self._drop_others(host, found)
        numbers = self.numbers()
        for version in numbers:
            parts = self.there.setdefault(version, [0.0, 0.0])
            if not self.is_cut(DOMAINS - 1):
                parts[1] = parts[0] = max(parts)
        asked = {v for h, vs in wanted.items() for v in vs if not self.is_cut(self.hosts[h].domain)}
        if self.case.is_seeded and numbers:
            asked.add(numbers[-1])
        asked = {v for v in asked if self.there[v][0] < 1}
        if asked and not self.is_origin_away():
            part = STEP_S / self.case.origin_copy_s / len(asked)
            for version in asked:
                self.there[version][0] = min(1.0, self.there[version][0] + part)
                for host in self.hosts:
                    if version not in wanted[host.number] and not self.is_cut(host.domain):
                        had = host.shares.get(version, 0.0)
                        host.shares[version] = min(1.0, had + part / len(self.hosts))
        for host in self.hosts:
            lacks = [
                v for v in wanted[host.number] if host.shares.get(v, 0.0) < self.in_fleet(host, v)
            ]
            for version in lacks:
                had = host.shares.get(version, 0.0)
                part = STEP_S / host.copy_s / len(lacks)
                host.shares[version] = min(self.in_fleet(host, version), had + part)

    def _drop_others(self, host: Host, versions: set[int]) -> None:
        """Drop what is not fetched any more, as a transfer that ends keeps no chunks."""
        ended, host.fetching = host.fetching - versions, versions
        for old in ended:
            is_seed = self.case.is_seeded and old == max(self.numbers(), default=0)
            if is_seed or host.shares.get(old, 0.0) >= 1 or self.keeps:
                continue
            host.shares[old] = 0.0
            if not any(other.shares.get(old) for other in self.hosts):
                self.there[old] = [0.0, 0.0]

    def _run(self, host: Host) -> None:
        if host.is_away(self.now):
            return
        if host.loading:
            host.held, host.loading = host.loading, 0
        version = self.decider.load(self, host)
        if version is None or version <= host.held or host.shares.get(version, 0.0) < 1:
            return
        unused_s = max(0.0, self.outdated_s(host.held) - USED_S)
        drain_s = min(1.0, self.case.utilization) * self.rng.uniform(*DRAIN_S)
        host.loading, host.order_at = version, self.now
        host.back_at = self.now + max(0.0, drain_s - unused_s) + IDLE_LOAD_S
        self.loads += 1

    def _serve(self, step: int) -> None:
        usable = [host for host in self.hosts if self.is_usable(host)]
        share = len(usable) / len(self.hosts)
        self.least = min(self.least, share)
        new = self.case.utilization * STEP_S
        self.owed += new
        self.idle_s += 0.0 if usable else STEP_S
        room = share * STEP_S
        served = min(new, room)
        back = self.returns.pop(step, 0.0)
        late = min(back, room - served)
        self.worth += served + LATE_WORTH * late + TWICE_REFUSED * (back - late)
        refused = new - served
        if refused > 0:
            self._refuse(step, refused)

    def _refuse(self, step: int, refused: float) -> None:
        pause_s = 0.6
        if self.has_return_time and not any(self.is_usable(h) for h in self.hosts):
            backs = [h.back_at for h in self.hosts if h.is_away(self.now)]
            pause_s = min(backs, default=self.now + LONGEST_RETURN_S) - self.now
        pauses = [min(LONGEST_RETURN_S, pause_s * x) for x in (0.8, 1.0, 1.2)]
        if self.has_return_time:
            pauses = [min(LONGEST_RETURN_S, pause_s + x) for x in (0.1, 0.4, 0.7)]
        for pause in pauses:
            at = step + max(1, math.ceil(pause / STEP_S))
            self.returns[at] = self.returns.get(at, 0.0) + refused / len(pauses)
