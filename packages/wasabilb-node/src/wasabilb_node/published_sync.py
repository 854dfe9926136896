"""Keeps published state alike in all processes: read from the platform, passed on by peers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen
from returns.result import Failure, Result
from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.directory import Runner
from wasabilb_core.errors import Error
from wasabilb_core.published import Item, PublishedState
from wasabilb_core.spread import readers_of
from wasabilb_wire.messages import NodeBeat, Published, PublishedItem, PublishedWant

from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog

# A reader that is turned away or finds the platform down tries again after this time. Peers that
# are served tell of changes meanwhile, so that a short pause is not needed.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 0.8
# A process waits this long for its own reading before it asks a peer that knows more, so that
# each change is not sent twice to everybody.
ASK_AFTER_S = 0.3
# Another peer is asked when no answer came in this time.
ASK_TIMEOUT_S = 0.6
# An answer is sent in frames of at most this size; a frame has a bound of 2 MiB.
MAX_ANSWER_BYTES = 1 << 20
# Entry processes of one failure domain that read the platform. Any one may be turned away or be
# replaced while the others are served; each more costs calls and hears no sooner.
READERS_PER_DOMAIN = 3


@frozen(kw_only=True)
class Snapshot:
    """Everything that the platform publishes, read from `revision` on."""

    items: tuple[Item, ...]
    revision: int


@frozen(kw_only=True)
class Changes:
    """What changed after a revision; the history may end before that."""

    items: tuple[Item, ...]
    revision: int
    is_history_lost: bool = False


class PublishedDecoder(Protocol):
    """Reads published items into types of the product."""

    def decode(self, item: Item) -> Catalog | Runner | WeightTarget | None:
        """Return what an item says, None for what cannot be used."""

    def runner_id(self, name: str) -> str | None:
        """Return the runner that an item's name stands for, if it does."""


@frozen(kw_only=True)
class PublishedSource:
    """The platform's reading calls.

    Parameters
    ----------
    snapshot : callable
        Reads everything.
    changes : callable
        Waits for changes after a revision and returns them, none after a while.
    """

    snapshot: Callable[[], Awaitable[Result[Snapshot, Error]]]
    changes: Callable[[int], Awaitable[Result[Changes, Error]]]


class PublishedSync:
    """Follows published state and tells listeners of each change once.

    Parameters
    ----------
    state : PublishedState
        What is known.
    source : PublishedSource
        The platform.
    links : LinkManager
        Peers that hold the same state.
    on_change : callable
        Called with the changed items, in order of their revisions.
    on_platform : callable
        Called with whether the platform answers this process or a linked one that reads it, when
        that changes. A process that alone cannot reach it hears of all changes from the others.
    may_read : bool
        Whether this process is one of those that read the platform. The others read it once at
        their start, and then only while no linked process can read it.
    own_entry : str
        Link address of this entry process, which peers tell each other; empty for others.
    """

    def __init__(
        self,
        *,
        state: PublishedState,
        source: PublishedSource,
        links: LinkManager,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[list[Item]], None],
        on_platform: Callable[[bool], None],
        may_read: bool,
        own_entry: str = "",
    ) -> None:
        self._state = state
        self._source = source
        self._links = links
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._on_platform = on_platform
        self._may_read = may_read
        self._own_entry = own_entry
        self._is_up: bool | None = None
        self._is_heard: bool | None = None
        # Whether the newest call succeeded and this process has not left reading to others since.
        self._is_reading = False
        self._is_read = False
        self._asked_at = float("-inf")
        self._behind_since: float | None = None
        self._told_entries: list[str] = []
        self._reading_peers: set[Peer] = set()
        self.known_entries: set[str] = set()
        links.on(NodeBeat, self._on_beat)
        links.on(PublishedWant, self._on_want)
        links.on(Published, self._on_published)
        links.on_down.append(self._on_link_down)

    async def run(self) -> None:
        """Read the platform until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            if self._is_up is not None and self._leaves_reading():
                self._is_reading = False
                self._set_platform(True)
                await asyncio.sleep(ASK_TIMEOUT_S)
                continue
            error = await self._read_once()
            self._is_reading = error is None
            if error is None:
                retry_s = FIRST_RETRY_S
                continue
            self._set_platform(False, error.detail)
            # Jitter keeps processes that were cut off together from calling in step.
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    def beat(self) -> None:
        """Tell all peers what is known here; called once a heartbeat and after each change.

        The addresses of entry processes are sent again only when one was added.
        """
        entries = self._entries()
        is_news = entries != self._told_entries
        self._told_entries = entries
        self._links.broadcast(self._beat(entries if is_news else []))

    def greet(self, peer: Peer) -> None:
        """Tell a new peer everything that beats say."""
        peer.send(self._beat(self._entries()))

    def _entries(self) -> list[str]:
        return sorted({*self.known_entries, self._own_entry} - {""})

    def _beat(self, entries: list[str]) -> NodeBeat:
        return NodeBeat(
            revision=self._state.revision, entries=entries, reads_platform=self._is_reading
        )

    def _leaves_reading(self) -> bool:
        """Return whether others read the platform for this process.

        Of two that stand in for readers that cannot, the first one by name goes on.
        """
        own = self._links.identity.host
        peers = self._links.peers(role="entry")
        domains = {peer.host: peer.hello.failure_domain for peer in peers}
        if self._may_read:
            domains[own] = self._links.identity.failure_domain
        readers = readers_of(domains, READERS_PER_DOMAIN)
        return own not in readers and any(
            peer in self._reading_peers and (peer.host in readers or peer.host < own)
            for peer in peers
        )

    async def _read_once(self) -> Error | None:
        if not self._is_read:
            found = await self._source.snapshot()
            if isinstance(found, Failure):
                unread: Error = found.failure()
                return unread
            snapshot = found.unwrap()
            self._set_platform(True)
            self._is_read = True
            self._apply(self._state.on_snapshot(snapshot.items, snapshot.revision))
            return None
        after = self._state.revision
        changed = await self._source.changes(after)
        if isinstance(changed, Failure):
            # Entries may expire while the platform is away and its history may end meanwhile.
            self._is_read = False
            error: Error = changed.failure()
            return error
        changes = changed.unwrap()
        self._set_platform(True)
        if changes.is_history_lost:
            self._is_read = False
            return None
        self._apply(self._state.on_changes(changes.items, after=after, revision=changes.revision))
        return None

    def _set_platform(self, is_up: bool, detail: str = "") -> None:
        if self._is_up is is_up:
            return
        self._is_up = is_up
        if is_up:
            self._log.event("platform_up", service="configuration")
        else:
            self._log.event("platform_down", service="configuration", detail=detail)
        self._tell_platform()

    def _tell_platform(self) -> None:
        """Tell whether the platform is heard at all, if that has changed."""
        is_heard = self._is_up is True or bool(self._reading_peers)
        if self._is_up is not None and is_heard is not self._is_heard:
            self._is_heard = is_heard
            self._on_platform(is_heard)

    def _on_link_down(self, peer: Peer) -> None:
        self._reading_peers.discard(peer)
        self._tell_platform()

    def _apply(self, changed: list[Item]) -> None:
        self._behind_since = None
        if changed:
            self._on_change(changed)

    def _on_beat(self, peer: Peer, beat: NodeBeat) -> None:
        self.known_entries.update(beat.entries)
        if beat.reads_platform:
            self._reading_peers.add(peer)
        else:
            self._reading_peers.discard(peer)
        self._tell_platform()
        if beat.revision <= self._state.revision:
            return
        moment = now()
        if self._behind_since is None:
            self._behind_since = moment
        if self._is_reading and moment - self._behind_since < ASK_AFTER_S:
            return
        if moment - self._asked_at >= ASK_TIMEOUT_S:
            self._asked_at = moment
            peer.send(PublishedWant(after=self._state.revision))

    def _on_want(self, peer: Peer, want: PublishedWant) -> None:
        items = sorted(self._state.changes_after(want.after), key=lambda item: item.revision)
        batch: list[PublishedItem] = []
        after, size = want.after, 0
        for item in items:
            body = item.body or b""
            if batch and size + len(body) > MAX_ANSWER_BYTES:
                peer.send(Published(after=after, revision=batch[-1].revision, items=batch))
                after, batch, size = batch[-1].revision, [], 0
            batch.append(
                PublishedItem(
                    name=item.name,
                    revision=item.revision,
                    is_removed=item.body is None,
                    body=body,
                )
            )
            size += len(body)
        peer.send(Published(after=after, revision=self._state.revision, items=batch))

    def _on_published(self, peer: Peer, message: Published) -> None:
        self._asked_at = float("-inf")
        items = [
            Item(name=i.name, revision=i.revision, body=None if i.is_removed else i.body)
            for i in message.items
        ]
        changed = self._state.on_changes(items, after=message.after, revision=message.revision)
        if changed:
            self._log.event(
                "published_from_peer",
                peer=peer.host,
                revision=message.revision,
                items=len(changed),
            )
        self._apply(changed)
