"""Link targets of each process, computed from the fleet state alone."""

from wasabilb_core._subsets import even_subset
from wasabilb_core.fleet import FleetState
from wasabilb_core.rendezvous import subset
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import HostSpec

# Largest number of entry hosts that form a full mesh, which costs a host at most as much as its
# links to agents.
MAX_MESH_HOSTS = 16
# Share of an entry host's subset that is in its own failure domain.
NEAR_SHARE = 0.75


def entry_link_targets(
    *, host: HostSpec, fleet: FleetState, spread: TicketSpread, subset_size: int, peer_count: int
) -> dict[str, str]:
    """Return the names and addresses of the hosts that an entry host connects to.

    A subset of each deployment limits the links of an entry host, a few random peers in its
    failure domain give a graph of logarithmic diameter, and one peer in each other failure domain
    transfers tickets between the domains.
    """
    names: set[str] = set(spread.readers_and_standbys())
    for model in fleet.models():
        names.update(_members(host, fleet, model.name, model.runners, subset_size))
    for service in fleet.services():
        names.update(_members(host, fleet, service.name, service.hosts, subset_size))
    entry_hosts = [h for h in fleet.hosts() if h.is_entry and h.name != host.name]
    is_small = len(entry_hosts) < MAX_MESH_HOSTS
    by_domain: dict[str, list[str]] = {}
    for other in entry_hosts:
        by_domain.setdefault(other.failure_domain, []).append(other.name)
    for domain, members in by_domain.items():
        size = peer_count if domain == host.failure_domain else 1
        size = len(members) if is_small else size
        names.update(subset(f"{host.name}:peers", members, size))
    return _addresses(fleet, names - {host.name})


def agent_link_targets(*, host: HostSpec, fleet: FleetState, peer_count: int) -> dict[str, str]:
    """Return the entry hosts that an agent without any link connects to."""
    entry_hosts = [
        other.name
        for other in fleet.hosts()
        if other.is_entry and other.failure_domain == host.failure_domain
    ]
    return _addresses(fleet, set(subset(f"{host.name}:peers", entry_hosts, peer_count)))


def _members(
    host: HostSpec, fleet: FleetState, deployment: str, hosts: list[str], size: int
) -> list[str]:
    """Return the subset of a deployment that an entry host routes to.

    Most are in its own failure domain, so that it continues to work when the domain is cut off and
    answers rarely cross a region link. The others allow load to move between domains.
    """
    near_hosts: list[str] = []
    others: list[str] = []
    for name in hosts:
        spec = fleet.host(name)
        if spec is not None:
            is_near = spec.failure_domain == host.failure_domain
            (near_hosts if is_near else others).append(name)
    key = f"{host.name}:{deployment}"
    near_subset = _even_subset(
        host, fleet, near_hosts, max(round(size * NEAR_SHARE), size - len(others))
    )
    return near_subset + subset(key, others, size - len(near_subset))


def _even_subset(host: HostSpec, fleet: FleetState, hosts: list[str], size: int) -> list[str]:
    """Return a subset of the hosts that all entry hosts of the domain together cover evenly."""
    peers = sorted(
        other.name
        for other in fleet.hosts()
        if other.is_entry and other.failure_domain == host.failure_domain
    )
    index = peers.index(host.name) if host.name in peers else 0
    return even_subset(hosts, size, index)


def _addresses(fleet: FleetState, names: set[str]) -> dict[str, str]:
    addresses = {}
    for name in sorted(names):
        spec = fleet.host(name)
        if spec is not None:
            addresses[name] = spec.address
    return addresses
