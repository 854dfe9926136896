"""Parts of one entry host in limits that all entry hosts keep together.

How unused parts reach other hosts differs: shares of account limits move (`account_limits`), whole
requests of the much smaller limits of runners are lent (`lent_limits`).
"""

import math
from collections.abc import Iterable
from typing import Generic, TypeVar

from attrs import define

# Time over which demand is averaged, seconds.
DEMAND_TAU_S = 2.0
# Time in which parts of a limit follow the demand, seconds.
REBALANCE_S = 3.0


@define(kw_only=True)
class LimitBucket:
    """This host's part in one limit.

    Parameters
    ----------
    limit : float
        Cost per second over all hosts.
    burst : float
        Cost over all hosts that may be granted at once.
    tokens : float
        Cost that this host may grant now.
    demand, demand_at : float
        Cost per second of all requests, granted or not, and when it was last updated.
    """

    limit: float
    burst: float
    tokens: float = 0.0
    filled_at: float = -math.inf
    demand: float = 0.0
    demand_at: float = -math.inf

    def demand_now(self, now: float) -> float:
        """Return the demand of the last seconds, cost per second."""
        if self.demand_at == -math.inf:
            return 0.0
        return self.demand * math.exp(-max(0.0, now - self.demand_at) / DEMAND_TAU_S)

    def on_demand(self, cost: float, now: float) -> None:
        """Record a request, whether it is granted or not."""
        self.demand = self.demand_now(now) + cost / DEMAND_TAU_S
        self.demand_at = now


BucketT = TypeVar("BucketT", bound=LimitBucket)


class LimitBuckets(Generic[BucketT]):
    """Buckets of all limits at one entry host, each with an equal part.

    Parameters
    ----------
    host : str
        This entry host.
    hosts : iterable of str
        All entry hosts, including this one.
    """

    def __init__(self, *, host: str, hosts: Iterable[str]) -> None:
        self._host = host
        self._hosts = frozenset(hosts) | {host}
        self._buckets: dict[str, BucketT] = {}

    def share(self, name: str) -> float:
        """Return the cost per second that this host may grant now."""
        return self._buckets[name].limit / len(self._hosts)

    def remove(self, name: str) -> None:
        """Remove a limit."""
        self._buckets.pop(name, None)

    def pause_s(self, name: str, cost: float, now: float) -> float:
        """Return the seconds after which a refused request of `cost` should be repeated."""
        bucket = self._buckets[name]
        share = max(self.share(name), 1e-9)
        pause_s = max(0.0, cost - bucket.tokens) / share
        # Recently refused requests are repeated too, which takes the time of the excess demand.
        pause_s += DEMAND_TAU_S * max(0.0, bucket.demand_now(now) / share - 1.0)
        # A small part grows with the demand just recorded, so the pause is limited.
        return min(pause_s, max(REBALANCE_S, cost / max(bucket.limit, 1e-9)))
