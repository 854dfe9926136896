"""Hosts that take part in the transfer of a variant, and the links between them."""

from collections.abc import Callable, Iterable
from typing import Protocol

from wasabilb_core.distribution import Overlay
from wasabilb_core.fleet import FleetState
from wasabilb_core.settings import AgentSettings
from wasabilb_core.tickets import HostSpec, Variant
from wasabilb_node.links import LinkManager


class TransferParticipants(Protocol):
    """Hosts that take part in the transfer of a variant."""

    def hosts(self, variant: Variant) -> list[HostSpec]:
        """Return the hosts that receive a variant, this one included."""

    def overlay(self, variant: Variant, key: str) -> Overlay:
        """Return the links between the hosts, the same on all hosts for the same key."""

    def pinned_digest(self, variant: Variant) -> str:
        """Return the required manifest digest, empty for none."""

    def addresses(self, names: Iterable[str]) -> dict[str, str]:
        """Return the addresses of hosts."""

    def open_links(self, names: Iterable[str]) -> None:
        """Open the missing links to hosts."""


class ListedParticipants:
    """Agents beside the runners that the platform lists.

    Parameters
    ----------
    own_host : HostSpec
        This host.
    listed_hosts : callable
        Returns the hosts beside the model's listed runners.
    links : LinkManager
        Links to peers.
    """

    def __init__(
        self, *, own_host: HostSpec, listed_hosts: Callable[[], list[HostSpec]], links: LinkManager
    ) -> None:
        self._own_host = own_host
        self._listed_hosts = listed_hosts
        self._links = links

    def hosts(self, variant: Variant) -> list[HostSpec]:
        """Return the listed hosts and this one."""
        specs_by_name = {spec.name: spec for spec in self._listed_hosts()}
        specs_by_name[self._own_host.name] = self._own_host
        return [specs_by_name[name] for name in sorted(specs_by_name)]

    def overlay(self, variant: Variant, key: str) -> Overlay:
        """Return the links between the hosts."""
        return Overlay(key=key, hosts=self.hosts(variant), store_region=self._own_host.region)

    def pinned_digest(self, variant: Variant) -> str:
        """Return no digest: the platform names versions only."""
        return ""

    def addresses(self, names: Iterable[str]) -> dict[str, str]:
        """Return the addresses of listed hosts."""
        wanted = set(names)
        return {spec.name: spec.address for spec in self._listed_hosts() if spec.name in wanted}

    def open_links(self, names: Iterable[str]) -> None:
        """Open the missing links to listed hosts."""
        _open_links(self, self._links, names)


def _open_links(hosts: TransferParticipants, links: LinkManager, names: Iterable[str]) -> None:
    """Dial the hosts to which no link is open."""
    missing = set(names) - links.linked_hosts()
    for name, address in hosts.addresses(missing).items() if missing else ():
        links.add_target(name, address)


class TicketParticipants:
    """Hosts that the tickets in force name for a transfer.

    Parameters
    ----------
    cfg : AgentSettings
        Describes this host and names the store's region.
    fleet : FleetState
        The tickets in force.
    links : LinkManager
        Links to peers.
    """

    def __init__(self, *, cfg: AgentSettings, fleet: FleetState, links: LinkManager) -> None:
        self._cfg = cfg
        self._fleet = fleet
        self._links = links

    def hosts(self, variant: Variant) -> list[HostSpec]:
        """Return the hosts that the tickets name for the model, this one included."""
        model = self._fleet.model(variant.model)
        names = set(model.runners if model is not None else ()) | {self._cfg.host}
        specs = [spec for name in sorted(names) if (spec := self._fleet.host(name)) is not None]
        if not any(spec.name == self._cfg.host for spec in specs):
            specs.append(
                HostSpec(
                    name=self._cfg.host,
                    role="backend",
                    address=self._cfg.listen,
                    region=self._cfg.region,
                    failure_domain=self._cfg.failure_domain,
                )
            )
        return specs

    def overlay(self, variant: Variant, key: str) -> Overlay:
        """Return the links between the hosts, the same on all hosts for the same key."""
        return Overlay(
            key=key, hosts=self.hosts(variant), store_region=self._cfg.platform.store_region
        )

    def pinned_digest(self, variant: Variant) -> str:
        """Return the manifest digest that the ticket pins, empty for none."""
        model = self._fleet.model(variant.model)
        return model.manifest_digest if model is not None else ""

    def addresses(self, names: Iterable[str]) -> dict[str, str]:
        """Return the addresses of the hosts that the tickets name."""
        specs = [self._fleet.host(name) for name in sorted(names)]
        return {spec.name: spec.address for spec in specs if spec is not None}

    def open_links(self, names: Iterable[str]) -> None:
        """Open the missing links to hosts."""
        _open_links(self, self._links, names)
