"""Small limits that all entry hosts keep together, of which whole requests are lent.

Each host accrues an equal part of a limit and passes it on to a collector, which all hosts choose
alike. A collector lends whole requests, as permits, to the hosts that want them, in proportion to
their demand. In a large fleet, the collector of each failure domain passes everything on to one of
them and borrows what the hosts of its domain want.

Only permits and parts of them that exist are moved, each over one connection and at most once, so
that lost messages and ended processes lose some, and none is used twice. Hosts that cannot reach
each other go on with what they accrue themselves. The permits that exist are bounded too: those
that hosts hold and do not use return to the collector.
"""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from wasabilb_core.limit_buckets import LimitBucket, LimitBuckets
from wasabilb_core.rendezvous import owner

# Interval at which hosts pass on what they accrued and what they want, seconds.
EXCHANGE_S = 0.2
# Smallest accrued part that is passed on at once, and the time after which any part is, seconds.
MIN_PASSED = 0.25
MAX_PASSED_S = 1.0
# Requests per second from which a host wants permits: one in the last 5 s.
MIN_DEMAND_PER_S = 0.05
# Time for whose demand a host holds permits, seconds, about one exchange in each direction.
STOCK_S = 0.25
# Time after which a permit that was not used is passed on, seconds.
MAX_IDLE_S = 3.0
# Permits that may exist at once: a number for any limit, as hosts with few requests use theirs
# late, and the requests of a time, seconds.
MOST_PERMITS = 3.0
MOST_S = 1.9
# A host that was frozen does not accrue for longer than this, seconds.
MAX_ACCRUAL_S = 2.0
# Silence after which what a host said of its wants no longer counts, seconds; hosts repeat it.
MAX_SILENCE_S = 3.0
# Time for which a report may have crossed a grant, seconds: a round trip between regions and one
# exchange.
CROSSING_S = 0.4
# Largest number of permits that a host asks for in one message; it repeats what it still wants.
MAX_WANTED = 256


@frozen(kw_only=True)
class PermitTransfer:
    """What one host passes to another of one limit.

    Parameters
    ----------
    name : str
        The limit.
    permits : float
        Permits that the receiver may use from now on, and the sender no longer.
    wanted : int
        Permits that the sender and those behind it want; 0 in messages of a collector to a host.
    held : int
        Whole permits that the sender and those behind it hold.
    hosts : int
        Number of these hosts.
    demand : float
        Requests per second of those of them that want permits.
    """

    name: str
    permits: float = 0.0
    wanted: int = 0
    held: int = 0
    hosts: int = 0
    demand: float = 0.0


@define(kw_only=True)
class _Borrower:
    """A host that gets its permits here."""

    wanted: int = 0
    held: int = 0
    hosts: int = 1
    demand: float = 0.0
    heard_at: float = -math.inf
    waiting_since: float = math.inf
    # When it was lent the newest permits, which its last report may not include.
    lent: deque[float] = field(factory=deque)

    def held_now(self, now: float) -> int:
        """Return the permits that it and those behind it hold."""
        while len(self.lent) > 1 and now - self.lent[0] > CROSSING_S:
            self.lent.popleft()
        return self.held + sum(now - at <= CROSSING_S for at in self.lent)


@define(kw_only=True)
class _LentBucket(LimitBucket):
    """Permits of one limit at this host; `tokens` are those that it may use.

    Parameters
    ----------
    pool : float
        Permits and parts of them to lend or to pass on.
    borrowed : int
        Permits of the pool that the collector lent.
    used_at : float
        When this host last used or got a permit.
    waiting_since : float
        When this host last lent itself a permit or began to want one.
    """

    pool: float = 0.0
    borrowed: int = 0
    used_at: float = -math.inf
    waiting_since: float = math.inf
    borrowers: dict[str, _Borrower] = field(factory=dict)
    passed_at: float = -math.inf
    told: PermitTransfer | None = None


class LentLimits(LimitBuckets[_LentBucket]):
    """One entry host's part in limits of which whole requests are lent.

    Parameters
    ----------
    host : str
        This entry host.
    """

    def __init__(self, *, host: str) -> None:
        super().__init__(host=host, hosts=())
        self._collectors: tuple[str, ...] = (host,)

    def __contains__(self, name: object) -> bool:
        return name in self._buckets

    def __len__(self) -> int:
        return len(self._buckets)

    def set_hosts(self, hosts: Iterable[str], collectors: Iterable[str]) -> None:
        """Apply the known hosts.

        Parameters
        ----------
        hosts : iterable of str
            All entry hosts, which divide each limit; without those known to have ended.
        collectors : iterable of str
            Reachable hosts that may be the collector of this one, including this one if it may be.
        """
        self._hosts = frozenset(hosts) | {self._host}
        self._collectors = tuple(collectors) or (self._host,)

    def set_limit(self, name: str, per_s: float, now: float) -> None:
        """Set a limit in requests per second; a new one starts without permits."""
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = _LentBucket(limit=per_s, burst=_burst(per_s), filled_at=now)
            return
        bucket.limit, bucket.burst = per_s, _burst(per_s)

    def collector(self, name: str) -> str:
        """Return the host to which this one passes on what it does not want; itself for none."""
        return owner(name, self._collectors) or self._host

    def on_demand(self, name: str, now: float) -> None:
        """Record that a request could be sent within a limit."""
        self._buckets[name].on_demand(1.0, now)

    def permits(self, name: str) -> int:
        """Return the requests that this host may send now."""
        return int(self._buckets[name].tokens)

    def take(self, name: str, now: float) -> bool:
        """Use a permit; False if this host has none."""
        bucket = self._buckets[name]
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        bucket.used_at = now
        return True

    def put_back(self, name: str) -> None:
        """Return the permit of a request that was not sent."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1.0

    def on_host_lost(self, host: str) -> None:
        """Forget what a host wanted, and tell it everything again once it is reachable."""
        for bucket in self._buckets.values():
            bucket.borrowers.pop(host, None)
            bucket.told = None

    def on_transfer(self, host: str, transfer: PermitTransfer, now: float) -> None:
        """Accept permits of another host, and what it wants."""
        bucket = self._buckets.get(transfer.name)
        if bucket is None or not math.isfinite(transfer.permits + transfer.demand):
            return
        if transfer.hosts:
            borrower = bucket.borrowers.setdefault(host, _Borrower())
            borrower.wanted, borrower.held = transfer.wanted, transfer.held
            borrower.hosts, borrower.heard_at = transfer.hosts, now
            borrower.demand = transfer.demand
            borrower.waiting_since = min(borrower.waiting_since, now)
        elif transfer.permits >= 1.0:
            # The collector counts these as held already.
            bucket.borrowed += int(transfer.permits)
        bucket.pool += max(0.0, transfer.permits)

    def exchange(self, now: float) -> list[tuple[str, PermitTransfer]]:
        """Accrue and lend permits, and return what to pass to which host."""
        found: list[tuple[str, PermitTransfer]] = []
        for name, bucket in self._buckets.items():
            self._accrue(name, bucket, now)
            for host in self._lend(name, bucket, now):
                found.append((host, PermitTransfer(name=name, permits=1.0)))
            upwards = self._pass_on(name, bucket, now)
            if upwards is not None:
                found.append((self.collector(name), upwards))
        return found

    def _accrue(self, name: str, bucket: _LentBucket, now: float) -> None:
        elapsed = min(max(0.0, now - bucket.filled_at), MAX_ACCRUAL_S)
        bucket.filled_at = now
        bucket.pool += self.share(name) * elapsed
        if now - bucket.used_at > MAX_IDLE_S and bucket.tokens >= 1.0:
            bucket.pool += bucket.tokens
            bucket.tokens = 0.0
            # It wants another one once a request has come.
            bucket.demand = 0.0
        silent = [h for h, b in bucket.borrowers.items() if now - b.heard_at > MAX_SILENCE_S]
        for host in silent:
            del bucket.borrowers[host]
        if self.collector(name) == self._host:
            left = self._max_permits(bucket) - self._held(bucket, now)
            bucket.pool = min(bucket.pool, max(1.0, left))

    def _lend(self, name: str, bucket: _LentBucket, now: float) -> list[str]:
        """Lend whole permits and return the hosts that get one, once for each permit."""
        is_last_collector = self.collector(name) == self._host
        found = []
        while bucket.pool >= 1.0:
            # Only the last collector knows how many permits exist.
            if is_last_collector and self._held(bucket, now) + 1 > self._max_permits(bucket):
                break
            if not is_last_collector and not bucket.borrowed:
                break
            # The requests that came to a host since it was last lent a permit.
            requests = {
                host: borrower.demand * (now - borrower.waiting_since)
                for host, borrower in bucket.borrowers.items()
                if borrower.wanted > 0
            }
            if self._wanted_here(bucket, now) > 0:
                bucket.waiting_since = min(bucket.waiting_since, now)
                requests[self._host] = bucket.demand_now(now) * (now - bucket.waiting_since)
            if not requests:
                break
            host = max(requests, key=lambda h: (requests[h], h))
            bucket.pool -= 1.0
            bucket.borrowed = max(0, bucket.borrowed - 1)
            if host == self._host:
                bucket.tokens += 1.0
                bucket.used_at = bucket.waiting_since = now
                continue
            borrower = bucket.borrowers[host]
            borrower.wanted -= 1
            borrower.lent.append(now)
            borrower.waiting_since = now
            found.append(host)
        return found

    def _pass_on(self, name: str, bucket: _LentBucket, now: float) -> PermitTransfer | None:
        """Return what to pass to the collector, None for nothing."""
        collector = self.collector(name)
        if collector == self._host:
            bucket.told = None
            return None
        # Processes that know different hosts may each take the other for their collector.
        bucket.borrowers.pop(collector, None)
        wanted = self._wanted_here(bucket, now) + sum(b.wanted for b in bucket.borrowers.values())
        is_due = now - bucket.passed_at >= MAX_PASSED_S
        permits = bucket.pool if is_due or bucket.pool >= MIN_PASSED else 0.0
        told = PermitTransfer(
            name=name,
            wanted=min(wanted, MAX_WANTED),
            held=self._held(bucket, now),
            hosts=self._host_count(bucket),
        )
        if not is_due and told == bucket.told and not permits:
            return None
        bucket.pool -= permits
        bucket.borrowed = 0
        bucket.told, bucket.passed_at = told, now
        demands = [b.demand for b in bucket.borrowers.values() if b.wanted > 0]
        if self._wanted_here(bucket, now) > 0:
            demands.append(bucket.demand_now(now))
        return evolve(told, permits=permits, demand=sum(demands))

    def _wanted_here(self, bucket: _LentBucket, now: float) -> int:
        demand = bucket.demand_now(now)
        if demand < MIN_DEMAND_PER_S:
            return 0
        return max(0, 1 + int(demand * STOCK_S) - int(bucket.tokens))

    def _held(self, bucket: _LentBucket, now: float) -> int:
        return int(bucket.tokens) + sum(b.held_now(now) for b in bucket.borrowers.values())

    def _max_permits(self, bucket: _LentBucket) -> float:
        """Return the permits that may exist at this host and those behind it."""
        part = self._host_count(bucket) / len(self._hosts)
        return max(1.0, bucket.burst * part)

    def _host_count(self, bucket: _LentBucket) -> int:
        """Return the number of hosts that get their permits here, this one included."""
        return min(len(self._hosts), 1 + sum(b.hosts for b in bucket.borrowers.values()))


def _burst(per_s: float) -> float:
    """Return the permits of a limit that may exist at once."""
    return MOST_PERMITS + per_s * MOST_S
