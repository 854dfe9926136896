"""Runners of one model as the agent beside one of them sees them."""

from wasabilb_core.reload_waves import WaveMember
from wasabilb_core.runner_directory import Runner
from wasabilb_core.tickets import HostRole, HostSpec, Variant
from wasabilb_node.links import LinkManager
from wasabilb_node.published_view import PublishedView

# The version that runners hold before the operator names one.
FIRST_VERSION = 1


class ModelFleet:
    """Versions, runners and hosts of one model.

    Parameters
    ----------
    published : PublishedView
        Catalog, runners and named versions.
    links : LinkManager
        Links to peers.
    service : str
        Service of the runner on this host.
    runner_address : str
        `IP:PORT` of that runner.
    regions : dict of str
        Region of each failure domain.
    links_port : int
        Port on which all agents accept links.
    """

    def __init__(
        self,
        *,
        published: PublishedView,
        links: LinkManager,
        service: str,
        runner_address: str,
        regions: dict[str, str],
        links_port: int,
    ) -> None:
        self._published = published
        self._links = links
        self._service = service
        self._runner_address = runner_address
        self._regions = regions
        self._links_port = links_port
        self._own_runner: Runner | None = None
        # Incarnations of runners that have held a version.
        self._loaded: set[tuple[str, int]] = set()

    @property
    def model(self) -> str:
        """Return the model's name, empty before the catalog is known."""
        engine = self._published.engine(self._service)
        return engine.model if engine is not None else ""

    def variant(self, version: int) -> Variant:
        """Return the variant of a version of the model."""
        return Variant(model=self.model, adapter="", version=str(version))

    def versions_above(self, held: int) -> list[int]:
        """Return the versions newer than the held one, in order."""
        named_versions = self._published.named_versions(self.model)
        known = [
            FIRST_VERSION,
            *(named_versions.newer_than(FIRST_VERSION) if named_versions is not None else []),
        ]
        return [version for version in known if version > held]

    @property
    def layers(self) -> int:
        """Return the number of the model's layers."""
        engine = self._published.engine(self._service)
        return engine.layers if engine is not None else 1

    @property
    def origin_address(self) -> str:
        """Return the address of the origin of weights, empty while it is unknown."""
        catalog = self._published.catalog
        return catalog.origin.address if catalog is not None and catalog.origin is not None else ""

    @property
    def origin_bytes_per_s(self) -> float:
        """Return the rate of the origin's link, 0 while it is unknown."""
        catalog = self._published.catalog
        return catalog.origin.bytes_per_s if catalog is not None and catalog.origin else 0.0

    @property
    def service(self) -> str:
        """Return the service of the runner."""
        return self._service

    def own_runner(self) -> Runner | None:
        """Return the listed runner on this host.

        Its last entry is kept while none is listed: entries expire while the platform is down, and
        the agent polls the runner itself.
        """
        runners = [r for r in self._published.directory if r.address == self._runner_address]
        self._own_runner = max(runners, key=lambda runner: runner.born_ms, default=self._own_runner)
        return self._own_runner

    def members(self) -> dict[str, WaveMember]:
        """Return the model's listed runners that may receive requests, by id."""
        runners = self._published.directory.routable(self._service)
        complete = {runner.id for runner in runners if runner.has_all_layers(self.layers)}
        incarnations = {(runner.id, runner.born_ms) for runner in runners}
        self._loaded = {key for key in incarnations if key[0] in complete or key in self._loaded}
        return {
            runner.id: WaveMember(
                failure_domain=runner.failure_domain,
                version=runner.version if runner.id in complete else 0,
                is_reloading=(runner.id, runner.born_ms) in self._loaded,
            )
            for runner in runners
        }

    def hosts(self) -> list[HostSpec]:
        """Return the hosts beside listed runners, and those whose agents are already linked.

        A new host's agent runs about a second before its runner is listed.
        """
        specs_by_name = {
            peer.host: HostSpec(
                name=peer.host,
                role=HostRole.BACKEND.value,
                address=peer.hello.address,
                region=peer.hello.region,
                failure_domain=peer.hello.failure_domain,
            )
            for peer in self._links.peers(role="agent")
        }
        for runner in self._published.directory:
            if runner.service != self._service:
                continue
            ip = runner.address.rpartition(":")[0]
            specs_by_name[ip] = HostSpec(
                name=ip,
                role=HostRole.BACKEND.value,
                address=f"{ip}:{self._links_port}",
                region=self._regions.get(runner.failure_domain, ""),
                failure_domain=runner.failure_domain,
            )
        return list(specs_by_name.values())
