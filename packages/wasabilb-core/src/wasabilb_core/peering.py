"""Selection of linked peers and followed runners, which bounds the work of a process.

Up to `MAX_MESH_HOSTS` entry processes form a full mesh. In a larger fleet the first few processes
of each failure domain, in an order that all processes compute alike, are its hubs. A process links
with the hubs of its own domain and the other processes there, or a few of them where there are
many. A hub also links with the first hub of each other domain. An update takes at most four hops,
and a domain that is cut off stays connected.

An entry process follows the runners of its own domain and a few others: it receives their load
reports and sends requests to them. Together the processes of a domain follow all runners.
"""

from collections.abc import Callable, Collection, Iterable

from wasabilb_core._subsets import even_subset
from wasabilb_core.entry_roster import EntryPlace
from wasabilb_core.rendezvous import subset
from wasabilb_core.runner_directory import Runner
from wasabilb_core.ticket_spread import in_reader_order
from wasabilb_core.topology import MAX_MESH_HOSTS

# Processes of a failure domain that are linked with all others there. Two of them may be replaced
# at the same time.
HUBS_PER_DOMAIN = 3
# Largest domain in which all processes are linked and notify each other of each request that they
# send. At a few requests per second each, that is below 100 messages per second, 1 % of a core.
MAX_NEAR_MESH = 24
# Other linked processes in a larger domain, which keep it connected when all its hubs stop at once.
NEAR_PEERS = 2
# Runners that a process follows in its own failure domain, and in all others. A process sends a few
# requests per second; the far runners take them when the near ones are full or gone.
NEAR_RUNNERS = 18
FAR_RUNNERS = 6
# Largest number of runners of a service at which every process follows all of them.
MAX_FOLLOWED_RUNNERS = NEAR_RUNNERS + FAR_RUNNERS


def hubs(places: Iterable[EntryPlace], failure_domain: str) -> list[str]:
    """Return the addresses of the hubs of a failure domain, in order."""
    return _addresses_in_reader_order(places, failure_domain)[:HUBS_PER_DOMAIN]


def entry_peers(
    own: EntryPlace, places: Collection[EntryPlace], is_down: Callable[[str], bool]
) -> set[str]:
    """Return the addresses of the entry processes that an entry process links with.

    Parameters
    ----------
    own : EntryPlace
        This process.
    places : collection of EntryPlace
        All known entry processes.
    is_down : callable
        Returns whether connections to an address have failed recently. The next process in order
        then takes its place.
    """
    others = {place.address for place in places} - {own.address}
    if len(others) < MAX_MESH_HOSTS:
        return others
    up = [p for p in places if p.address == own.address or not is_down(p.address)]
    near_hubs = hubs(up, own.failure_domain)
    near = [p.address for p in up if p.failure_domain == own.failure_domain]
    size = len(near) if len(near) <= MAX_NEAR_MESH else NEAR_PEERS
    peers = {*near_hubs, *subset(f"{own.address}:peers", set(near) - {own.address}, size)}
    if own.address in near_hubs or len(near) <= HUBS_PER_DOMAIN:
        domains = {place.failure_domain for place in up} - {own.failure_domain}
        for domain in domains:
            peers.update(hubs(up, domain)[:1])
    return peers - {own.address}


def is_hub(own: EntryPlace, places: Collection[EntryPlace]) -> bool:
    """Return whether a process passes news on between processes that are not linked."""
    return own.address in hubs(places, own.failure_domain)


def limit_collectors(
    own: EntryPlace, places: Collection[EntryPlace], is_linked: Callable[[str], bool]
) -> list[str]:
    """Return the reachable processes to one of which this one passes parts of runners' limits.

    It is one of them itself if others pass theirs to it. In a small fleet all processes choose
    from all. In a larger one, each chooses the first hub of its domain, and these choose from each
    other.
    """

    def is_reachable(address: str) -> bool:
        return address == own.address or is_linked(address)

    if len(places) <= MAX_MESH_HOSTS:
        return [place.address for place in places if is_reachable(place.address)]
    domains = {place.failure_domain for place in places}
    firsts = {domain: next(filter(is_reachable, hubs(places, domain)), None) for domain in domains}
    first = firsts[own.failure_domain]
    if first is not None and first != own.address:
        return [first]
    return [own.address, *(h for d, h in firsts.items() if h and d != own.failure_domain)]


def has_send_notices(places: Collection[EntryPlace], failure_domain: str) -> bool:
    """Return whether the processes of a failure domain notify each other of requests they send.

    Load reports of runners are some tenths of a second old. Without notices, several processes
    would choose the same runners in that time.
    """
    near = sum(place.failure_domain == failure_domain for place in places)
    return len(places) <= MAX_MESH_HOSTS or near <= MAX_NEAR_MESH


def immediate_notifiers(places: Iterable[EntryPlace], agent: str, failure_domain: str) -> list[str]:
    """Return the entry processes that notify an agent of each change at once.

    The others include changes in their next heartbeat.

    Parameters
    ----------
    places : iterable of EntryPlace
        All known entry processes.
    agent : str
        Name of the agent's host.
    failure_domain : str
        Failure domain of the agent.
    """
    near = [p.address for p in places if p.failure_domain == failure_domain]
    return subset(f"{agent}:tellers", near, HUBS_PER_DOMAIN)


def followed_runners(
    own: EntryPlace, places: Iterable[EntryPlace], runners: Collection[Runner]
) -> set[str]:
    """Return the ids of the runners of one service that an entry process follows."""
    if len(runners) <= MAX_FOLLOWED_RUNNERS:
        return {runner.id for runner in runners}
    near = [r.id for r in runners if r.failure_domain == own.failure_domain]
    far = [r.id for r in runners if r.failure_domain != own.failure_domain]
    peers = sorted(p.address for p in places if p.failure_domain == own.failure_domain)
    index = peers.index(own.address) if own.address in peers else 0
    size = max(NEAR_RUNNERS, MAX_FOLLOWED_RUNNERS - len(far))
    followed = even_subset(near, size, index)
    return {*followed, *subset(f"{own.address}:far", far, MAX_FOLLOWED_RUNNERS - len(followed))}


def _addresses_in_reader_order(places: Iterable[EntryPlace], failure_domain: str) -> list[str]:
    addresses = [place.address for place in places if place.failure_domain == failure_domain]
    return in_reader_order(failure_domain, addresses)
