"""Keeps published state alike in all processes: read from the platform, passed on by peers."""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.errors import Error
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.reader_role import ReaderRole
from wasabilb_core.ticket_spread import in_reader_order
from wasabilb_wire.messages import NodeBeat, Published, PublishedItem, PublishedWant

from wasabilb_node.clock import now
from wasabilb_node.item_packing import ItemPacker, unpack
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.published_source import PublishedSource
from wasabilb_node.told_peers import ToldPeers

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
# A process that starts waits so long, or up to twice as long, for a peer's state before it reads
# the platform; links to peers are up after some 10 ms, seconds.
START_WAIT_S = 0.5
START_CHECK_S = 0.02
# Interval in which a process looks whether it is to read, seconds.
DUTY_CHECK_S = 0.4
# An agent reads the platform itself after it has had no link to an entry process for this time,
# seconds; entry processes dial it again at least every 2 s.
AGENT_WAIT_S = 2.5
# Peers that started since a process fell behind do not know all that it missed. It reads the
# platform itself when no other peer has told it for this time, seconds.
GAP_WAIT_S = 1.2
# Changes that follow each other so soon are read, and told to peers, together, seconds. A roll-out
# to 76 runners makes some 30 changes a second.
COLLECT_S = 0.1
SPREAD_S = 0.05


class PublishedSync:
    """Follows published state and tells listeners of each change once.

    One entry process of each failure domain reads the platform (`wasabilb_core.reader_role`); the
    others hear of changes from their peers.

    Parameters
    ----------
    state : PublishedState
        What is known.
    source : PublishedSource
        The platform.
    links : LinkManager
        Peers that hold the same state.
    roster : Roster
        The known entry processes.
    on_change : callable
        Called with the changed items, in order of their revisions.
    on_platform : callable
        Called with whether the platform answers this process or a linked one that reads it, when
        that changes.
    on_distrust, distrust_s : callable
        Take and return for how many seconds removed entries may only have expired in an outage.
    is_seed : bool
        Whether others learn from this process at their start. Other entry processes wait for a
        peer's state before they read the platform themselves.
    """

    def __init__(
        self,
        *,
        state: PublishedState,
        source: PublishedSource,
        links: LinkManager,
        roster: EntryRoster,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[list[StateItem]], None],
        on_platform: Callable[[bool], None],
        on_distrust: Callable[[float], None],
        distrust_s: Callable[[], float],
        is_seed: bool = False,
    ) -> None:
        self._state = state
        self._source = source
        self._links = links
        self._roster = roster
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._on_platform = on_platform
        self._on_distrust = on_distrust
        self._distrust_s = distrust_s
        self._is_seed = is_seed
        self._is_entry = links.identity.role == "entry"
        self._duty = ReaderRole()
        self._is_up: bool | None = None
        self._is_away = False
        # Whether the newest call succeeded and this process has not left reading to others since.
        self._is_reading = False
        self._is_history_lost = False
        self._unlinked_since = now()
        self._started_at = now()
        self._asked_at = float("-inf")
        self._behind_since: float | None = None
        self._gap_since: float | None = None
        self._spread_at = float("-inf")
        self._is_spreading = False
        self._reading_peers: set[Peer] = set()
        self._told = ToldPeers(links=links, roster=roster)
        self._packer = ItemPacker()
        links.on(NodeBeat, self._on_beat)
        links.on(PublishedWant, self._on_want)
        links.on(Published, self._on_published)
        links.on_up.append(self._greet)
        links.on_down.append(self._on_link_down)

    async def run(self) -> None:
        """Read the platform until cancelled, while it is this process's duty."""
        await self._wait_for_peers()
        retry_s = FIRST_RETRY_S
        while True:
            if not self._is_due():
                if self._is_reading or self._is_up is False:
                    self._is_reading = False
                    self._set_platform(True)
                await asyncio.sleep(DUTY_CHECK_S)
                continue
            error = await self._read_once()
            was_reading, self._is_reading = self._is_reading, error is None
            if was_reading is not self._is_reading:
                self._spread_later()
            if error is None:
                retry_s = FIRST_RETRY_S
                continue
            self._set_platform(False, error.detail)
            # Jitter keeps processes that were cut off together from calling in step.
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    def beat(self) -> None:
        """Tell all peers what is known here; called once a heartbeat."""
        self._roster.tick(now())
        message = self._beat(self._roster.take_updates())
        self._links.send_each(message, self._told.due(message))
        self._told.on_sent()

    def tell(self) -> None:
        """Tell peers of a change at once; changes that follow each other are told together."""
        self._spread_later()

    def _greet(self, peer: Peer) -> None:
        # A process that has just started learns of published state without waiting for a beat.
        peer.send(self._beat(self._roster.places()))

    def _spread_later(self) -> None:
        if self._is_spreading:
            return
        self._is_spreading = True
        delay_s = max(0.0, self._spread_at + SPREAD_S - now())
        asyncio.get_running_loop().call_later(delay_s, self._spread)

    def _spread(self) -> None:
        self._is_spreading = False
        self._spread_at = now()
        news = self._roster.take_updates()
        peers = self._links.peers() if news else self._told.at_once()
        self._links.send_each(self._beat(news), peers)

    def _beat(self, entries: list[EntryPlace]) -> NodeBeat:
        return NodeBeat(
            revision=self._state.revision,
            entries=entries,
            reads_platform=self._is_reading,
            distrust_ms=self._distrust_ms(),
        )

    def _distrust_ms(self) -> int:
        return round(self._distrust_s() * 1000)

    async def _wait_for_peers(self) -> None:
        """Wait at the start until a peer has told its state, for a while.

        Agents do not wait: nobody links with the agent of a new host before its runner is listed,
        and the weights take seconds from then on.
        """
        is_first = self._is_seed or not self._is_entry
        wait_s = 0.0 if is_first else START_WAIT_S * self._rng.uniform(1.0, 2.0)
        until = self._started_at + wait_s
        while self._state.revision == 0 and now() < until:
            await asyncio.sleep(START_CHECK_S)

    def _is_due(self) -> bool:
        """Return whether this process reads the platform now."""
        if self._state.revision == 0:
            return True
        if self._gap_since is not None and now() - self._gap_since >= GAP_WAIT_S:
            return True
        entries = self._links.peers(role="entry")
        if not self._is_entry:
            if entries:
                self._unlinked_since = now()
            return now() - self._unlinked_since >= AGENT_WAIT_S
        own = self._links.identity
        reads = {
            peer.hello.address: peer in self._reading_peers
            for peer in entries
            if peer.hello.failure_domain == own.failure_domain
        }
        order = in_reader_order(own.failure_domain, {*reads, own.address})
        return self._duty.is_active([reads[a] for a in order[: order.index(own.address)]], now())

    async def _read_once(self) -> Error | None:
        if self._state.revision == 0 or self._is_history_lost:
            return await self._read_snapshot()
        after = self._state.revision
        changed = await self._source.changes(after)
        if isinstance(changed, Failure):
            error: Error = changed.failure()
            return error
        changes = changed.unwrap()
        self._set_platform(True)
        if changes.is_history_lost:
            self._is_history_lost = True
            return None
        self._gap_since = None
        self._apply(self._state.on_changes(changes.items, after=after, revision=changes.revision))
        if changes.items:
            # What follows soon is read with one call.
            await asyncio.sleep(COLLECT_S * self._rng.uniform(0.5, 1.5))
        return None

    async def _read_snapshot(self) -> Error | None:
        found = await self._source.snapshot()
        if isinstance(found, Failure):
            error: Error = found.failure()
            return error
        snapshot = found.unwrap()
        self._set_platform(True)
        self._is_history_lost = False
        self._gap_since = None
        self._apply(self._state.on_snapshot(snapshot.items, snapshot.revision))
        return None

    def _set_platform(self, is_up: bool, detail: str = "") -> None:
        if self._is_up is is_up:
            return
        self._is_up = is_up
        if is_up:
            self._log.event("platform_up", service="configuration")
        else:
            self._log.event("platform_down", service="configuration", detail=detail)
        self._check_platform()

    def _check_platform(self) -> None:
        """Tell whether the platform is away for this process and those it hears, if it changed."""
        is_away = self._is_up is False and not self._reading_peers
        if is_away is not self._is_away:
            self._is_away = is_away
            self._on_platform(not is_away)

    def _on_link_down(self, peer: Peer) -> None:
        self._reading_peers.discard(peer)
        self._check_platform()

    def _apply(self, changed: list[StateItem]) -> None:
        self._behind_since = None
        if changed:
            self._on_change(changed)

    def _on_beat(self, peer: Peer, beat: NodeBeat) -> None:
        if self._roster.on_announcements(beat.entries, now()):
            self._spread_later()
        if beat.reads_platform:
            self._reading_peers.add(peer)
        else:
            self._reading_peers.discard(peer)
        if beat.distrust_ms:
            self._on_distrust(beat.distrust_ms / 1000)
        self._check_platform()
        if beat.revision > self._state.revision:
            self._on_ahead(peer)

    def _on_ahead(self, peer: Peer) -> None:
        """Ask a peer that knows more, unless this process is about to learn it otherwise."""
        moment = now()
        if self._behind_since is None:
            self._behind_since = moment
        is_patient = self._is_reading or self._is_start_of(peer)
        if is_patient and moment - self._behind_since < ASK_AFTER_S:
            return
        if moment - self._asked_at >= ASK_TIMEOUT_S:
            self._asked_at = moment
            peer.send(PublishedWant(after=self._state.revision))

    def _is_start_of(self, peer: Peer) -> bool:
        """Return whether this process knows nothing yet and a nearer peer may tell it all.

        The whole state is large and the links between regions are narrow.
        """
        own = self._links.identity.failure_domain
        return self._state.revision == 0 and peer.hello.failure_domain != own

    def _on_want(self, peer: Peer, want: PublishedWant) -> None:
        items = sorted(self._state.changes_after(want.after), key=lambda item: item.revision)
        batch: list[PublishedItem] = []
        after, size = self._state.complete_after(want.after), 0
        distrust_ms = self._distrust_ms()
        for item in items:
            packed = self._packer.pack(item)
            if batch and size + len(packed.body) > MAX_ANSWER_BYTES:
                revision = batch[-1].revision
                peer.send(
                    Published(after=after, revision=revision, items=batch, distrust_ms=distrust_ms)
                )
                after, batch, size = max(after, batch[-1].revision), [], 0
            batch.append(packed)
            size += len(packed.body)
        revision = self._state.revision
        peer.send(Published(after=after, revision=revision, items=batch, distrust_ms=distrust_ms))

    def _on_published(self, peer: Peer, message: Published) -> None:
        if message.distrust_ms:
            # Before the items, as an entry that has only expired must not end its runner.
            self._on_distrust(message.distrust_ms / 1000)
        items = [unpack(found) for found in message.items]
        changed = self._state.on_changes(items, after=message.after, revision=message.revision)
        if changed:
            self._log.event(
                "published_from_peer",
                peer=peer.host,
                revision=message.revision,
                items=len(changed),
            )
        if message.revision <= self._state.revision:
            self._asked_at, self._gap_since = float("-inf"), None
        elif self._gap_since is None:
            self._gap_since = now()
        self._apply(changed)
