"""Routing by prompt prefix with bounded load per runner."""

import random
from collections import OrderedDict

from wasabilb_core._peer_compared import SLOWED_WEIGHT, PeerCompared
from wasabilb_core._routing_base import ROUTING, RouteRequest, RunnerView
from wasabilb_core.rendezvous import rank

# Share of load above the mean that affinity may cause: the paper's trade-off between moves and
# balance.
LOAD_MARGIN = 0.25
MAX_KNOWN_PREFIXES = 16384


@ROUTING.register("prefix_bounded")
class PrefixBounded(PeerCompared):
    """Chooses the runner with the longest cached prefix, else the owner by hash, if load permits.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
    Entry hosts agree on the hash owner without messages, so lost cache events cost little.
    """

    def __init__(self) -> None:
        super().__init__()
        self._hosts_by_prefix: OrderedDict[int, dict[str, float]] = OrderedDict()

    def on_sent(self, host: str, request: RouteRequest, now: float) -> None:
        """Record that the host will cache the prefixes of the request."""
        super().on_sent(host, request, now)
        for prefix_hash in request.prefix_hashes:
            self.on_cache_event(host, prefix_hash, True, now)

    def on_cache_event(self, host: str, prefix_hash: int, is_cached: bool, now: float) -> None:
        """Record that an engine stored or evicted a prefix."""
        hosts = self._hosts_by_prefix.setdefault(prefix_hash, {})
        self._hosts_by_prefix.move_to_end(prefix_hash)
        if is_cached:
            hosts[host] = now
        else:
            hosts.pop(host, None)
        while len(self._hosts_by_prefix) > MAX_KNOWN_PREFIXES:
            self._hosts_by_prefix.popitem(last=False)

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        probe = self._due_probe(request, runners, now)
        if probe is not None or not request.prefix_hashes:
            return probe if probe is not None else self._pick_least(runners, now, rng)
        loads = self._expected_loads(runners, now)
        healthy = [r for r in runners if self.weight(r.host, now) >= SLOWED_WEIGHT] or runners
        mean = sum(loads[r.host] for r in healthy) / len(healthy)
        slack = 1.0 / min(r.slots for r in healthy)
        below_bound = [r for r in healthy if loads[r.host] <= (1.0 + LOAD_MARGIN) * mean + slack]
        if not below_bound:
            return self._pick_least(runners, now, rng)
        return self._pick_by_prefix(request, below_bound, loads)

    def _pick_by_prefix(
        self, request: RouteRequest, runners: list[RunnerView], loads: dict[str, float]
    ) -> RunnerView:
        by_host = {runner.host: runner for runner in runners}
        for prefix_hash in reversed(request.prefix_hashes):
            known = [host for host in self._hosts_by_prefix.get(prefix_hash, ()) if host in by_host]
            if known:
                return by_host[min(known, key=lambda host: (loads[host], host))]
        return by_host[rank(str(request.prefix_hashes[0]), by_host)[0]]
