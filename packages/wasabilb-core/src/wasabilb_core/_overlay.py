"""Links between the hosts of one transfer, within and across regions."""

from collections.abc import Iterable, Mapping, Sequence
from functools import cached_property

from wasabilb_core.rendezvous import rank
from wasabilb_core.tickets import HostSpec

# Cycles in each region; each gives a host two links.
CYCLES_PER_REGION = 4
# Their upload rate limits how fast chunks spread at first. A small number keeps the probability
# low that two of them fetch the same chunk.
FETCHERS_PER_REGION = 4


class Overlay:
    """The links between the hosts of one transfer; all hosts compute the same links.

    Within a region the links are the union of `CYCLES_PER_REGION` cycles in pseudo-random order.
    Such a graph is connected, and with high probability an expander with a diameter logarithmic in
    the number of hosts (Law and Siu, "Distributed construction of random expander networks",
    INFOCOM 2003). The first cycle is ordered by failure domain, so that each domain stays connected
    when it is cut off from the others.

    Parameters
    ----------
    key : str
        Name of the transfer, on which fetchers and cycles depend.
    hosts : iterable of HostSpec
        Hosts that receive the weights, from the ticket.
    store_region : str
        Region of the store.
    """

    def __init__(self, *, key: str, hosts: Iterable[HostSpec], store_region: str) -> None:
        self.key = key
        self.hosts: Mapping[str, HostSpec] = {host.name: host for host in hosts}
        self._store_region = store_region
        self._cycles: dict[tuple[str, int], tuple[list[str], dict[str, int]]] = {}

    @cached_property
    def fetch_order(self) -> dict[str, list[str]]:
        """Return the hosts of each region in the order in which they become fetchers.

        Neighbours in this order are in different failure domains where there are several.
        """
        regions: dict[str, dict[str, list[str]]] = {}
        for name in rank(f"{self.key}:fetch", self.hosts):
            host = self.hosts[name]
            regions.setdefault(host.region, {}).setdefault(host.failure_domain, []).append(name)
        return {region: _interleave(list(regions[region].values())) for region in sorted(regions)}

    @cached_property
    def store_region(self) -> str:
        """Return the region whose hosts fetch from the store: the store's, if it has a host."""
        if self._store_region in self.fetch_order or not self.fetch_order:
            return self._store_region
        return rank(f"{self.key}:store", self.fetch_order)[0]

    def fetchers(self, region: str) -> list[str]:
        """Return the hosts that import chunks into a region."""
        return self.fetch_order.get(region, [])[:FETCHERS_PER_REGION]

    def neighbours(self, host: str) -> tuple[str, ...]:
        """Return the hosts to link with; the relation is symmetric."""
        if host not in self.hosts:
            return ()
        region = self.hosts[host].region
        linked: set[str] = set()
        for number in range(CYCLES_PER_REGION):
            cycle, positions = self._cycle(region, number)
            position = positions[host]
            linked.add(cycle[position - 1])
            linked.add(cycle[(position + 1) % len(cycle)])
        own = self.fetchers(region)
        if host in own:
            linked.update(own)
            linked.update(self._remote_fetchers(own.index(host), region))
        return tuple(sorted(linked - {host}))

    def source_region(self, index: int, region: str) -> str:
        """Return the region from which a chunk enters another region.

        A chunk leaves the store's region once and passes through the others in an order of its own.
        All region links share the load, and the store's region uploads one copy instead of one for
        each other region.
        """
        others = [name for name in self.fetch_order if name != self.store_region]
        chain = [self.store_region, *rank(f"{self.key}:{index}", others)]
        return chain[max(0, chain.index(region) - 1)]

    def _remote_fetchers(self, position: int, region: str) -> Iterable[str]:
        for other in self.fetch_order:
            theirs = self.fetchers(other)
            if other == region or not theirs:
                continue
            own_count = len(self.fetchers(region))
            for number, name in enumerate(theirs):
                low, high = (position, number) if region < other else (number, position)
                size = max(own_count, len(theirs))
                if (high - low) % size in (0, 1) or own_count != len(theirs):
                    yield name

    def _cycle(self, region: str, number: int) -> tuple[list[str], dict[str, int]]:
        cycle = self._cycles.get((region, number))
        if cycle is None:
            order = rank(f"{self.key}:cycle:{number}", self.fetch_order[region])
            if number == 0:
                order.sort(key=lambda name: self.hosts[name].failure_domain)
            cycle = (order, {name: position for position, name in enumerate(order)})
            self._cycles[(region, number)] = cycle
        return cycle


def _interleave(groups: Sequence[list[str]]) -> list[str]:
    longest = max(map(len, groups), default=0)
    return [
        group[position] for position in range(longest) for group in groups if position < len(group)
    ]
