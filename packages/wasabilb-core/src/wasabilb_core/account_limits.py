"""Limits per account over all entry hosts: token buckets whose shares move with demand.

Shares move as in escrow (O'Neil 1986) with the cumulative counters of Balegas et al., "Extending
eventually consistent cloud databases for enforcing numeric invariants", SRDS 2015: a host lowers
its own share before it informs the receiver, and only the receiver's message can return it. The
sum of all shares therefore never exceeds the limit, even if messages are lost, late or repeated,
and the share of an unreachable host stays reserved.
"""

import math
import random
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.limit_buckets import LimitBucket, LimitBuckets
from wasabilb_core.retries import jittered_s

# Part of an equal share that a host never gives away. A new incarnation, which does not have its
# predecessor's counters yet, may use this much at once.
FLOOR_SHARE = 0.05
PEER_TIMEOUT_S = 3.0
# Smallest part of the limit that is moved, so that noise does not move shares.
MIN_MOVED_SHARE = 0.01


@frozen(kw_only=True)
class AccountUsage:
    """Demand of one account at one entry host and the shares that the host gave and received.

    Parameters
    ----------
    demand : float
        Cost per second of all requests, granted or not.
    share : float
        Cost per second that the host may grant now.
    given, received : mapping of str to float
        Sum of all shares given to and received from each peer since the host's first start.
    """

    demand: float
    share: float
    given: Mapping[str, float]
    received: Mapping[str, float]


@frozen(kw_only=True)
class Usage:
    """Message that an entry host sends to the others once per second."""

    host: str
    incarnation: int
    sequence: int
    accounts: Mapping[str, AccountUsage]


@define(kw_only=True)
class AccountBucket(LimitBucket):
    """State of one account at this entry host."""

    given: dict[str, float] = field(factory=dict)
    received: dict[str, float] = field(factory=dict)
    received_earlier: dict[str, float] = field(factory=dict)


@define(kw_only=True)
class PeerUsage:
    """Newest `Usage` of a peer with its time of receipt."""

    usage: Usage
    received_at: float


class AccountLimiter(LimitBuckets[AccountBucket]):
    """One entry host's part in the limits of all accounts.

    Parameters
    ----------
    host : str
        This entry host.
    hosts : iterable of str
        All entry hosts in the newest ticket, including this one.
    incarnation : int
        Number that grows with each start of the process on this host.
    rng : random.Random
        Adds jitter to the retry times of refused callers.
    is_first_start : bool
        Whether no earlier incarnation can have given shares away; only for tests and new fleets.
    """

    def __init__(
        self,
        *,
        host: str,
        hosts: Iterable[str],
        incarnation: int,
        rng: random.Random,
        is_first_start: bool = False,
    ) -> None:
        super().__init__(host=host, hosts=hosts)
        self._incarnation = incarnation
        self._rng = rng
        self._sequence = 0
        self._peers: dict[str, PeerUsage] = {}
        self._awaited_peers = set() if is_first_start else set(self._hosts - {host})

    def set_hosts(self, hosts: Iterable[str], peers: Iterable[str] | None = None) -> None:
        """Apply the entry hosts of a newer ticket; a removed host's share returns to the others.

        Parameters
        ----------
        hosts : iterable of str
            All entry hosts, which divide each limit.
        peers : iterable of str or None
            Hosts that exchange shares with this one directly; None for all.
        """
        known = self._hosts
        self._hosts = frozenset(hosts) | {self._host}
        partners = self._hosts if peers is None else self._hosts & frozenset(peers)
        if known == {self._host} and not self._peers:
            # An earlier incarnation may have given shares to the hosts in the first ticket.
            self._awaited_peers = set(partners - {self._host})
        self._awaited_peers &= partners
        self._peers = {name: peer for name, peer in self._peers.items() if name in self._hosts}
        for bucket in self._buckets.values():
            bucket.given = {n: v for n, v in bucket.given.items() if n in self._hosts}
            bucket.received = {n: v for n, v in bucket.received.items() if n in self._hosts}
            bucket.received_earlier = {
                n: v for n, v in bucket.received_earlier.items() if n in self._hosts
            }

    @property
    def has_all_peer_usage(self) -> bool:
        """Return whether all peers that an earlier incarnation may have given to sent usage."""
        return not self._awaited_peers

    def set_account(self, name: str, requests_per_s: float, burst: float) -> None:
        """Set an account's limit from a ticket; shares scale with a changed limit."""
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = AccountBucket(limit=requests_per_s, burst=burst)
            return
        bucket.limit, bucket.burst = requests_per_s, burst

    def remove_account(self, name: str) -> None:
        """Remove an account; its requests are refused from now on."""
        self.remove(name)

    def take(self, account: str, cost: float, now: float) -> Result[None, Error]:
        """Grant a request of `cost`, or refuse it with a retry time."""
        bucket = self._buckets.get(account)
        if bucket is None:
            detail = f"account {account} has no limit in any ticket"
            return Failure(Error(kind=ErrorKind.FORBIDDEN, detail=detail))
        bucket.on_demand(cost, now)
        share = self.share(account)
        depth = self._bucket_depth(bucket, share)
        if bucket.filled_at == -math.inf:
            # One request may pass before the peers' usage arrives; a restart adds no more.
            bucket.tokens = 1.0 if self._awaited_peers else depth
        elapsed = max(0.0, now - bucket.filled_at) if bucket.filled_at > -math.inf else 0.0
        bucket.tokens = min(max(depth, cost), bucket.tokens + share * elapsed)
        bucket.filled_at = now
        if bucket.tokens >= cost:
            bucket.tokens -= cost
            return Success(None)
        pause_s = self.pause_s(account, cost, now)
        detail = f"account {account} may use {bucket.limit:g} a second over all entry hosts"
        retry = jittered_s(pause_s, self._rng)
        return Failure(Error(kind=ErrorKind.ACCOUNT_LIMIT, detail=detail, retry_after_s=retry))

    def share(self, account: str) -> float:
        """Return the cost per second that this host may grant now."""
        bucket = self._buckets[account]
        base = bucket.limit / len(self._hosts)
        if self._awaited_peers:
            # An earlier incarnation may have given all above the floor to an awaited peer, but
            # shares given to this incarnation can be used.
            received_now = sum(bucket.received.values()) - sum(bucket.received_earlier.values())
            return FLOOR_SHARE * base + received_now * bucket.limit
        moved = sum(bucket.received.values()) - sum(bucket.given.values())
        return max(0.0, base + moved * bucket.limit)

    def on_usage(self, peer: str, usage: Usage, now: float) -> None:
        """Merge a peer's message; repeated and reordered messages have no effect."""
        if peer not in self._hosts or peer == self._host:
            return
        known = self._peers.get(peer)
        if known is not None:
            newest = (known.usage.incarnation, known.usage.sequence)
            if (usage.incarnation, usage.sequence) <= newest:
                return
        self._peers[peer] = PeerUsage(usage=usage, received_at=now)
        for name, other in usage.accounts.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.received_earlier.setdefault(peer, other.given.get(self._host, 0.0))
                _merge_counter(bucket.received, peer, other.given.get(self._host, 0.0))
                _merge_counter(bucket.given, peer, other.received.get(self._host, 0.0))
        self._awaited_peers.discard(peer)

    def usage(self, now: float) -> Usage:
        """Give away excess shares and return the message for all peers."""
        self._sequence += 1
        if not self._awaited_peers:
            for name, bucket in self._buckets.items():
                self._give_excess(name, bucket, now)
        return Usage(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            accounts={
                name: AccountUsage(
                    demand=bucket.demand_now(now),
                    share=self.share(name),
                    given=dict(bucket.given),
                    received=dict(bucket.received),
                )
                for name, bucket in self._buckets.items()
            },
        )

    def _give_excess(self, name: str, bucket: AccountBucket, now: float) -> None:
        """Move this host's excess to reachable hosts in proportion to their deficits."""
        shares, demands = {self._host: self.share(name)}, {self._host: bucket.demand_now(now)}
        for peer, known in self._peers.items():
            other = known.usage.accounts.get(name)
            if other is not None and now - known.received_at <= PEER_TIMEOUT_S:
                shares[peer] = self._peer_share(other, bucket, peer)
                demands[peer] = other.demand
        targets = _target_shares(shares, demands, bucket.limit, len(self._hosts))
        excess = shares[self._host] - targets[self._host]
        deficits = {p: targets[p] - shares[p] for p in shares if targets[p] > shares[p]}
        total = sum(deficits.values())
        if excess <= MIN_MOVED_SHARE * bucket.limit or total <= 0.0:
            return
        for peer, deficit in deficits.items():
            part = min(excess, total) * deficit / total / bucket.limit
            bucket.given[peer] = bucket.given.get(peer, 0.0) + part

    def _peer_share(self, other: AccountUsage, bucket: AccountBucket, peer: str) -> float:
        """Return a peer's share including gifts of this host that it has not yet confirmed."""
        pending = bucket.given.get(peer, 0.0) - other.received.get(self._host, 0.0)
        return other.share + max(0.0, pending) * bucket.limit

    def _bucket_depth(self, bucket: AccountBucket, share: float) -> float:
        return max(1.0, bucket.burst * share / max(bucket.limit, 1e-9))


def _target_shares(
    shares: Mapping[str, float], demands: Mapping[str, float], limit: float, host_count: int
) -> dict[str, float]:
    """Divide the total share of the reachable hosts by demand, above a floor for each."""
    held = sum(shares.values())
    floor = min(FLOOR_SHARE * limit / host_count, held / len(shares))
    # Without requests, equal demand is assumed, so that an idle account's shares even out.
    idle = 0.02 * limit / host_count
    total = sum(demands.values()) + idle * len(shares)
    spare = held - floor * len(shares)
    return {host: floor + spare * (demands[host] + idle) / total for host in shares}


def _merge_counter(counters: dict[str, float], peer: str, value: float) -> None:
    if value > counters.get(peer, 0.0):
        counters[peer] = value
