"""The base of all processes that use published state: identity, log, links and that state."""

import os
import random
from collections.abc import Callable

from attrs import frozen
from wasabilb_core.catalog import Catalog
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.published import PublishedState, StateItem

from wasabilb_node.clock import now
from wasabilb_node.decoded_items import DecodedItems
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.links import Identity, LinkManager
from wasabilb_node.logs import EventLog
from wasabilb_node.published_source import PublishedDecoder, PublishedSource
from wasabilb_node.published_sync import PublishedSync
from wasabilb_node.published_view import PublishedView

# A third of the time after which a silent link is replaced.
HEARTBEAT_S = 0.8


@frozen(kw_only=True)
class NodePlace:
    """Identity and location of a process.

    Parameters
    ----------
    name : str
        Name of the host in the log.
    host : str
        Name under which peers know the host.
    role : str
        `entry` or `agent`.
    region, failure_domain : str
        Location of the host.
    address : str
        `IP:PORT` on which it accepts links.
    """

    name: str
    host: str
    role: str
    region: str
    failure_domain: str
    address: str

    @property
    def is_entry(self) -> bool:
        """Return whether it is an entry process, which is announced to others."""
        return self.role == "entry"


class PublishedNode:
    """Links to peers and the published state that they replicate.

    Entry processes may read the platform and announce each change to peers immediately.

    Parameters
    ----------
    place : NodePlace
        This process.
    decoder : PublishedDecoder
        Decodes published items.
    source : callable
        Returns the read calls of the platform for a connection pool.
    pool : ConnectionPool
        Connections to the platform.
    on_catalog : callable or None
        Called with each accepted catalog.
    on_runner_gone : callable or None
        Called with the id of each permanently removed runner.
    is_seed : bool
        Whether starting processes get their state from this one.
    """

    def __init__(
        self,
        *,
        place: NodePlace,
        decoder: PublishedDecoder,
        source: Callable[[ConnectionPool], PublishedSource],
        pool: ConnectionPool,
        on_catalog: Callable[[Catalog], None] | None = None,
        on_runner_gone: Callable[[str], None] | None = None,
        is_seed: bool = False,
    ) -> None:
        self._place = place
        incarnation = int.from_bytes(os.urandom(8))
        self.rng = random.Random(incarnation)
        self.log = EventLog(
            process=place.name,
            role=place.role,
            host=place.name,
            failure_domain=place.failure_domain,
            incarnation=f"{incarnation:016x}",
        )
        self.links = LinkManager(
            identity=Identity(
                host=place.host,
                role=place.role,
                region=place.region,
                failure_domain=place.failure_domain,
                incarnation=incarnation,
                address=place.address,
            ),
            log=self.log,
            heartbeat_s=HEARTBEAT_S,
        )
        own = EntryPlace(address=place.address, failure_domain=place.failure_domain)
        self.roster = EntryRoster(own=own if place.is_entry else None, now=now())
        decoded_items = DecodedItems(decoder=decoder)
        items = PublishedState(content_version=decoded_items.content_version)
        self.published = PublishedView(
            items=items,
            decoder=decoded_items,
            log=self.log,
            on_catalog=on_catalog,
            on_runner_gone=on_runner_gone,
        )
        self.sync = PublishedSync(
            state=items,
            source=source(pool),
            links=self.links,
            log=self.log,
            rng=self.rng,
            roster=self.roster,
            version_ages=self.published.version_ages,
            on_change=self._on_change,
            on_era_began=self.published.on_era_began,
            on_platform_state=self._on_platform_state,
            on_removal_distrust=self.published.on_removal_distrust,
            on_removal_trust=self.published.on_removal_trust,
            removal_distrust_s=self.published.removal_distrust_s,
            is_seed=is_seed,
        )
        # Called after each change, before it is announced to peers.
        self.on_changed: list[Callable[[], None]] = []

    def tick(self, targets: dict[str, str]) -> None:
        """Maintain the links to peers and send heartbeats; called once per heartbeat.

        Parameters
        ----------
        targets : dict of str
            Names and addresses of the peers.
        """
        self.links.set_targets(targets)
        self.links.tick()
        if self._place.is_entry:
            self.links.close_unwanted()
        self.sync.send_heartbeats()
        self.published.expire_runners()

    def _on_change(self, items: list[StateItem]) -> None:
        self.published.apply_items(items)
        for callback in self.on_changed:
            callback()
        self._announce_change()

    def _on_platform_state(self, is_up: bool) -> None:
        self.published.on_platform_state(is_up)
        # Peers that do not read the platform must learn of this before any expired entry.
        self._announce_change()

    def _announce_change(self) -> None:
        if self._place.is_entry:
            self.sync.announce_change()
