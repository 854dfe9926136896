"""The decoded published state: catalog, runners and named versions of the weights."""

import math
from collections.abc import Callable

from wasabilb_core.catalog import Catalog, EngineSpec, WeightTarget
from wasabilb_core.named_versions import NamedVersions, Naming
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.runner_directory import EXPIRY_GRACE_S, Runner, RunnerDirectory
from wasabilb_core.runner_presence import PresenceState
from wasabilb_core.state_position import StatePosition

from wasabilb_node._unusable_items import UnusableItems
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.published_source import PublishedDecoder, Unusable
from wasabilb_node.version_ages import VersionAges


class PublishedView:
    """Decodes published items into the current view and logs each change.

    Parameters
    ----------
    items : PublishedState
        The published items.
    decoder : PublishedDecoder
        Decodes published items.
    log : EventLog
        Receives one event per change.
    on_catalog : callable or None
        Called with each accepted catalog.
    on_runner_gone : callable or None
        Called with the id of each permanently removed runner.
    """

    def __init__(
        self,
        *,
        items: PublishedState,
        decoder: PublishedDecoder,
        log: EventLog,
        on_catalog: Callable[[Catalog], None] | None = None,
        on_runner_gone: Callable[[str], None] | None = None,
    ) -> None:
        self.catalog: Catalog | None = None
        self.directory = RunnerDirectory()
        self._items = items
        self._decoder = decoder
        self._log = log
        self._unusable_items = UnusableItems(log=log)
        self._on_catalog_accepted = on_catalog
        self._on_runner_gone = on_runner_gone
        self.version_ages = VersionAges()
        # Called with the model of each version of weights that is named.
        self.on_weights_named: list[Callable[[str], None]] = []
        # Called with each runner that may no longer receive requests.
        self.on_runner_leaving: list[Callable[[Runner], None]] = []

    @property
    def revision(self) -> int:
        """Return the revision up to which the published state is complete in its era."""
        return self._items.position.revision

    @property
    def position(self) -> StatePosition:
        """Return the position up to which the published state is complete."""
        return self._items.position

    def engine(self, service: str) -> EngineSpec | None:
        """Return the engine parameters of a service, None for a plain or unknown service."""
        service_spec = self.catalog.services.get(service) if self.catalog is not None else None
        return service_spec.engine if service_spec is not None else None

    def named_versions(self, model: str) -> NamedVersions | None:
        """Return the named versions of a model, None before the first one."""
        return self.version_ages.named_versions(model)

    def outdated_s(self, model: str, version: int) -> float:
        """Return for how many seconds at most a version newer than this one has been named.

        Returns minus infinity when there is none.
        """
        named_versions = self.named_versions(model)
        return (
            named_versions.named_for_s(version, now())
            if named_versions is not None
            else float("-inf")
        )

    def apply_items(self, items: list[StateItem]) -> None:
        """Apply changed items, in order of their revisions."""
        for item in items:
            runner_id = self._decoder.runner_id(item.name)
            value = self._decoder.decode(item) if item.body is not None else None
            if isinstance(value, Unusable):
                self._on_unusable(item, value, runner_id)
            if isinstance(value, Catalog):
                self._on_catalog(value, item.revision)
            elif isinstance(value, WeightTarget):
                self._on_target(value, item.position)
            elif isinstance(value, Runner):
                self._on_runner(value, item.position)
            elif item.body is None and runner_id is not None:
                self._on_removed(runner_id, item.position)

    def on_runner_announced(self, runner: Runner, request_id: str) -> None:
        """Handle the announcement in an answer that its runner is leaving."""
        was_used = self.directory.may_receive(runner)
        is_gone = self.directory.on_leave_announced(runner)
        if was_used:
            self._on_leaving(runner, request=request_id, revision=self.revision)
        if is_gone:
            self._remove_runner(runner.id, "leaving and not listed")

    def on_platform_state(self, is_up: bool) -> None:
        """Record whether the platform answers; entries may expire while it does not."""
        if is_up:
            self.directory.on_platform_up(now())
        else:
            self.directory.on_platform_down()

    def on_era_began(self) -> None:
        """Treat removed entries as expired ones, as the store may have come back a moment ago."""
        self.directory.on_removal_distrust(EXPIRY_GRACE_S, now())

    def on_removal_distrust(self, seconds: float) -> None:
        """Record for how long a peer treats removed entries as possibly expired ones."""
        self.directory.on_removal_distrust(seconds, now())

    def on_removal_trust(self) -> None:
        """Record that a peer, which reads the platform, treats removed entries as gone."""
        self.directory.on_removal_trust(now())

    def removal_distrust_s(self) -> float:
        """Return for how many seconds removed entries are treated as possibly expired ones."""
        return self.directory.removal_distrust_s(now())

    def expire_runners(self) -> None:
        """Remove the runners whose entries were not republished, once removals are trusted.

        Runners whose copied entries last are used again.
        """
        for runner_id in self.directory.remove_expired(now()):
            self._remove_runner(runner_id, "entry was not republished")
        for runner_id in self.directory.confirm_lasting(now()):
            self._log.event("runner_back", runner=runner_id, was=PresenceState.UNCONFIRMED.value)

    def _on_catalog(self, catalog: Catalog, revision: int) -> None:
        if self.catalog is not None and catalog.version < self.catalog.version:
            return
        self.catalog = catalog
        self._log.event(
            "catalog_accepted",
            catalog=catalog.version,
            revision=revision,
            routes=len(catalog.routes),
            accounts=len(catalog.accounts),
        )
        if self._on_catalog_accepted is not None:
            self._on_catalog_accepted(catalog)

    def _on_target(self, target: WeightTarget, position: StatePosition) -> None:
        after = self._items.read_times.published_after(position)
        naming = Naming(position=position, after=after)
        age_s = self.version_ages.on_named(target.model, target.version, naming, now())
        self._log.event(
            "weights_named",
            model=target.model,
            version=target.version,
            revision=position.revision,
            age_ms=round(age_s * 1000) if age_s < math.inf else None,
        )
        for callback in self.on_weights_named:
            callback(target.model)

    def _on_runner(self, runner: Runner, position: StatePosition) -> None:
        previous, revision = self.directory.state(runner.id), position.revision
        self.directory.on_listed(runner, position, is_copied=self._items.is_copied(position))
        is_used = self.directory.state(runner.id).may_receive
        self._log.event(
            "runner_listed",
            runner=runner.id,
            service=runner.service,
            address=runner.address,
            is_leaving=runner.is_draining,
            state=self.directory.state(runner.id).value,
            revision=revision,
        )
        if previous.is_leaving and is_used:
            self._log.event("runner_back", runner=runner.id, was=previous.value, revision=revision)
        elif previous.may_receive and not is_used:
            self._on_leaving(runner, revision=revision)

    def _on_removed(self, runner_id: str, position: StatePosition) -> None:
        runner = self.directory.get(runner_id)
        if self.directory.on_removed(runner_id, now(), position) and runner is not None:
            self._on_entry_gone(runner, f"revision {position.revision}")

    def _on_unusable(self, item: StateItem, value: Unusable, runner_id: str | None) -> None:
        self._unusable_items.on_unusable(item, value.detail)
        runner = self.directory.get(runner_id) if runner_id is not None else None
        if runner is not None and self.directory.on_unusable(runner.id, item.position):
            self._on_entry_gone(runner, f"unusable entry of revision {item.revision}")

    def _on_entry_gone(self, runner: Runner, reason: str) -> None:
        self._remove_runner(runner.id, reason)
        for callback in self.on_runner_leaving:
            callback(runner)

    def _on_leaving(self, runner: Runner, *, revision: int, request: str | None = None) -> None:
        """Log that a runner receives no more requests and run the callbacks."""
        self._log.event(
            "runner_leaving",
            runner=runner.id,
            service=runner.service,
            address=runner.address,
            state=self.directory.state(runner.id).value,
            request=request,
            revision=revision,
        )
        for callback in self.on_runner_leaving:
            callback(runner)

    def _remove_runner(self, runner_id: str, reason: str) -> None:
        self._log.event("runner_gone", runner=runner_id, reason=reason)
        if self._on_runner_gone is not None:
            self._on_runner_gone(runner_id)
