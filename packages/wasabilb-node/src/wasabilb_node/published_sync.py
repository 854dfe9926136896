"""Replicates published state: readers fetch it from the platform and peers forward it."""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.errors import Error
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.reader_role import ReaderRole
from wasabilb_core.state_position import START, StatePosition
from wasabilb_core.ticket_spread import in_reader_order
from wasabilb_wire.messages import NodeBeat, Published, PublishedWant

from wasabilb_node.clock import now
from wasabilb_node.item_compression import ItemPacker, unpack
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.published_batches import to_batches
from wasabilb_node.published_reader import FIRST_RETRY_S, MAX_RETRY_S, PublishedReader
from wasabilb_node.published_source import PublishedSource
from wasabilb_node.update_recipients import UpdateRecipients
from wasabilb_node.version_ages import VersionAges

# A process waits this long for its own read before it requests changes from a peer that is ahead,
# so that each change is not sent to every process twice.
REQUEST_DELAY_S = 0.3
# Another peer gets the request if none answered within this time.
REQUEST_TIMEOUT_S = 0.6
# A starting process waits this long, or up to twice as long, for a peer's state before it reads the
# platform; links to peers are up after some 10 ms.
STARTUP_WAIT_S = 0.5
STARTUP_CHECK_S = 0.02
ROLE_CHECK_S = 0.4
# An agent reads the platform itself after this time without a link to an entry process; entry
# processes redial it at least every 2 s.
AGENT_UNLINKED_WAIT_S = 2.5
# Time for which a heartbeat of a peer that trusts removals counts, seconds: two heartbeats.
TRUST_S = 2.0
# Peers that started after a process fell behind do not have all the changes that it missed. It
# reads the platform itself if no other peer has sent them within this time.
GAP_WAIT_S = 1.2
# Changes within this time are announced to peers together.
ANNOUNCE_INTERVAL_S = 0.05


class PublishedSync:
    """Keeps published state up to date and reports each change once.

    One entry process of each failure domain reads the platform (`wasabilb_core.reader_role`); the
    others receive changes from their peers.

    Parameters
    ----------
    state : PublishedState
        The published state known so far.
    source : PublishedSource
        The platform.
    links : LinkManager
        Links to the peers that replicate the state.
    roster : EntryRoster
        The known entry processes.
    version_ages : VersionAges
        The ages of named versions.
    on_change : callable
        Called with the changed items, in order of their revisions.
    on_era_began : callable
        Called before `on_change` when this process has read the platform for the first time in an
        era of its store, which may have come back from a copy a moment ago.
    on_platform_state : callable
        Called with whether the platform answers this process or a linked one that reads it, when
        that changes.
    on_removal_distrust, removal_distrust_s : callable
        Set and return for how many seconds removed entries may only have expired in an outage.
    on_removal_trust : callable
        Called when a peer that reads the platform treats removed entries as gone.
    is_seed : bool
        Whether starting processes get their state from this one. Other entry processes wait for a
        peer's state before they read the platform themselves.
    """

    def __init__(
        self,
        *,
        state: PublishedState,
        source: PublishedSource,
        links: LinkManager,
        roster: EntryRoster,
        version_ages: VersionAges,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[list[StateItem]], None],
        on_era_began: Callable[[], None],
        on_platform_state: Callable[[bool], None],
        on_removal_distrust: Callable[[float], None],
        on_removal_trust: Callable[[], None],
        removal_distrust_s: Callable[[], float],
        is_seed: bool = False,
    ) -> None:
        self._state = state
        self._reader = PublishedReader(state=state, source=source, rng=rng)
        self._links = links
        self._roster = roster
        self._version_ages = version_ages
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._on_era_began = on_era_began
        self._on_platform_state = on_platform_state
        self._on_removal_distrust = on_removal_distrust
        self._on_removal_trust = on_removal_trust
        # Newest heartbeat of a peer that reads the platform and treats removed entries as gone.
        self._trusting_peer_at = float("-inf")
        self._removal_distrust_s = removal_distrust_s
        self._is_seed = is_seed
        self._is_entry = links.identity.role == "entry"
        self._reader_role = ReaderRole()
        self._is_platform_up: bool | None = None
        self._is_platform_unreachable = False
        # Whether the newest call succeeded and this process has remained a reader since.
        self._is_reading = False
        self._last_linked_at = now()
        self._started_at = now()
        self._requested_at = float("-inf")
        self._behind_since: float | None = None
        self._gap_since: float | None = None
        self._announced_at = float("-inf")
        self._is_announcing = False
        self._reading_peers: set[Peer] = set()
        self._recipients = UpdateRecipients(links=links, roster=roster)
        self._packer = ItemPacker()
        links.set_handler(NodeBeat, self._on_beat)
        links.set_handler(PublishedWant, self._on_want)
        links.set_handler(Published, self._on_published)
        links.on_link_up.append(self._on_link_up)
        links.on_link_down.append(self._on_link_down)

    async def run(self) -> None:
        """Read the platform until cancelled, whenever this process is a reader."""
        await self._wait_for_peers()
        checking = asyncio.ensure_future(self._reader.check_positions(lambda: self._is_reading))
        try:
            await self._read_until_cancelled()
        finally:
            checking.cancel()

    async def _read_until_cancelled(self) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            if not self._should_read():
                if self._is_reading or self._is_platform_up is False:
                    self._is_reading = False
                    self._set_platform_up(True)
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            error = await self._read_once()
            was_reading, self._is_reading = self._is_reading, error is None
            if was_reading is not self._is_reading:
                self._announce_later()
            if error is None:
                retry_s = FIRST_RETRY_S
                continue
            self._set_platform_up(False, error.detail)
            # Jitter keeps processes that were cut off together from calling in step.
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    def send_heartbeats(self) -> None:
        """Send heartbeats to the peers that need one; called once per heartbeat."""
        self._roster.tick(now())
        message = self._to_beat(self._roster.take_updates())
        self._links.multicast(message, self._recipients.heartbeat_recipients(message))
        self._recipients.on_heartbeats_sent()
        self._ask_for_ages()

    def announce_change(self) -> None:
        """Announce a change to peers immediately; changes in quick succession are combined."""
        self._announce_later()

    def _on_link_up(self, peer: Peer) -> None:
        # A process that has just started needs the newest revision before the next heartbeat.
        peer.send(self._to_beat(self._roster.places()))
        if peer.hello.role == "entry" and self._version_ages.should_ask(now()):
            peer.send(self._to_want(asks_ages=True))

    def _announce_later(self) -> None:
        if self._is_announcing:
            return
        self._is_announcing = True
        delay_s = max(0.0, self._announced_at + ANNOUNCE_INTERVAL_S - now())
        asyncio.get_running_loop().call_later(delay_s, self._announce)

    def _announce(self) -> None:
        self._is_announcing = False
        self._announced_at = now()
        updates = self._roster.take_updates()
        peers = self._links.peers() if updates else self._recipients.change_recipients()
        self._links.multicast(self._to_beat(updates), peers)

    def _to_beat(self, entries: list[EntryPlace]) -> NodeBeat:
        return NodeBeat(
            era=self._state.position.era,
            revision=self._state.position.revision,
            entries=entries,
            reads_platform=self._is_reading,
            distrust_ms=self._distrust_ms(),
        )

    def _to_want(self, *, asks_ages: bool = False) -> PublishedWant:
        # Rounded down, so that no age is too small.
        known, sent_ms = self._state.position, int(now() * 1000)
        return PublishedWant(
            after=known.revision, era=known.era, sent_ms=sent_ms, asks_ages=asks_ages
        )

    def _ask_for_ages(self) -> None:
        if self._version_ages.take_question(now()):
            self._links.multicast(self._to_want(asks_ages=True), self._links.peers(role="entry"))

    def _distrust_ms(self) -> int:
        return round(self._removal_distrust_s() * 1000)

    async def _wait_for_peers(self) -> None:
        """Wait at startup for a limited time until a peer has sent its state.

        Agents do not wait: no process links with the agent of a new host before its runner is
        listed, and the weights take seconds from then on.
        """
        skips_wait = self._is_seed or not self._is_entry
        wait_s = 0.0 if skips_wait else STARTUP_WAIT_S * self._rng.uniform(1.0, 2.0)
        until = self._started_at + wait_s
        while self._state.position.is_start and now() < until:
            await asyncio.sleep(STARTUP_CHECK_S)

    def _should_read(self) -> bool:
        """Return whether this process should read the platform now."""
        if self._state.position.is_start:
            return True
        if self._gap_since is not None and now() - self._gap_since >= GAP_WAIT_S:
            return True
        entries = self._links.peers(role="entry")
        if not self._is_entry:
            if entries:
                self._last_linked_at = now()
            return now() - self._last_linked_at >= AGENT_UNLINKED_WAIT_S
        own = self._links.identity
        reads = {
            peer.hello.address: peer in self._reading_peers
            for peer in entries
            if peer.hello.failure_domain == own.failure_domain
        }
        order = in_reader_order(own.failure_domain, {*reads, own.address})
        return self._reader_role.is_active(
            [reads[a] for a in order[: order.index(own.address)]], now()
        )

    async def _read_once(self) -> Error | None:
        before = self._state.position
        result = await self._reader.read()
        if isinstance(result, Failure):
            error: Error = result.failure()
            return error
        reading = result.unwrap()
        self._set_platform_up(True)
        self._gap_since = None
        if before.is_start or self._state.position.era > before.era:
            self._on_era_began()
        self._apply(before, reading.changed)
        await asyncio.sleep(reading.pause_s)
        return None

    def _set_platform_up(self, is_up: bool, detail: str = "") -> None:
        if self._is_platform_up is is_up:
            return
        self._is_platform_up = is_up
        if is_up:
            self._log.event("platform_up", service="configuration")
        else:
            self._log.event("platform_down", service="configuration", detail=detail)
        self._update_platform_state()

    def _update_platform_state(self) -> None:
        """Report whether this process or a linked one reaches the platform, if that changed."""
        is_unreachable = self._is_platform_up is False and not self._reading_peers
        if is_unreachable is not self._is_platform_unreachable:
            self._is_platform_unreachable = is_unreachable
            self._on_platform_state(not is_unreachable)

    def _on_link_down(self, peer: Peer) -> None:
        self._reading_peers.discard(peer)
        self._update_platform_state()

    def _apply(self, before: StatePosition, changed: list[StateItem]) -> None:
        """Report changed items and a later era."""
        position = self._state.position
        if position.era > before.era and not before.is_start:
            self._log.event(
                "store_era_changed",
                era=position.era,
                revision=position.revision,
                era_before=before.era,
                revision_before=before.revision,
                retained=len(self._state.retained()),
                removed=sum(item.body is None for item in changed),
            )
            self._announce_later()
        self._behind_since = None
        if changed:
            self._on_change(changed)
        self._ask_for_ages()

    def _on_beat(self, peer: Peer, beat: NodeBeat) -> None:
        if self._roster.on_announcements(beat.entries, now()):
            self._announce_later()
        if beat.reads_platform:
            self._reading_peers.add(peer)
        else:
            self._reading_peers.discard(peer)
        self._update_platform_state()
        is_same_era = beat.era == self._state.position.era
        if beat.reads_platform and not beat.distrust_ms and is_same_era:
            self._trusting_peer_at = now()
            self._on_removal_trust()
        self._on_peer_distrust(beat.distrust_ms, beat.era)
        position = StatePosition(era=beat.era, revision=beat.revision)
        if beat.reads_platform and self._version_ages.take_reader(peer.host, position, now()):
            peer.send(self._to_want(asks_ages=True))
        if position > self._state.position:
            self._on_peer_ahead(peer, position.era)

    def _on_peer_distrust(self, distrust_ms: int, era: int) -> None:
        """Take over that a peer treats removed entries as expired ones.

        It does not count while this process or another peer reads the platform and trusts
        removals: then only the peer was cut off from the platform, and no entry expired. What is
        trusted in one era tells nothing of another one.
        """
        known_era = self._state.position.era
        if era != known_era:
            if era > known_era and distrust_ms:
                self._on_removal_distrust(distrust_ms / 1000)
            return
        is_trusted_here = self._is_reading and self._is_platform_up and not self._distrust_ms()
        is_trusted = is_trusted_here or now() - self._trusting_peer_at < TRUST_S
        if distrust_ms and not is_trusted:
            self._on_removal_distrust(distrust_ms / 1000)

    def _on_peer_ahead(self, peer: Peer, era: int) -> None:
        """Request changes from a peer that is ahead, unless they will soon arrive otherwise."""
        moment = now()
        if self._behind_since is None:
            self._behind_since = moment
        is_waiting = self._is_reading or self._expects_nearer_peer(peer, era)
        if is_waiting and moment - self._behind_since < REQUEST_DELAY_S:
            return
        if moment - self._requested_at >= REQUEST_TIMEOUT_S:
            self._requested_at = moment
            peer.send(self._to_want())

    def _expects_nearer_peer(self, peer: Peer, era: int) -> bool:
        """Return whether this process lacks the complete state and a nearer peer may send it.

        The complete state is large and the links between regions are narrow.
        """
        known = self._state.position
        own = self._links.identity.failure_domain
        return (known.is_start or era > known.era) and peer.hello.failure_domain != own

    def _on_want(self, peer: Peer, want: PublishedWant) -> None:
        after = StatePosition(era=want.era, revision=want.after)
        for message in to_batches(
            self._state,
            after,
            packer=self._packer,
            distrust_ms=self._distrust_ms(),
            ages=self._version_ages.to_ages(START if want.asks_ages else after, now()),
            sent_ms=want.sent_ms,
        ):
            peer.send(message)

    def _on_published(self, peer: Peer, message: Published) -> None:
        # Before the items, as an entry that has only expired must not remove its runner.
        self._on_peer_distrust(message.distrust_ms, message.era)
        requested_at = message.sent_ms / 1000
        if 0 < requested_at <= now():
            self._version_ages.on_told(message.ages, requested_at)
        before = self._state.position
        position = StatePosition(era=message.era, revision=message.revision)
        changed = self._state.on_changes(
            [unpack(item) for item in message.items],
            after=StatePosition(era=message.after_era, revision=message.after),
            position=position,
            is_last=message.is_last,
        )
        if changed:
            self._log.event(
                "published_from_peer",
                peer=peer.host,
                revision=message.revision,
                items=len(changed),
            )
        if position <= self._state.position:
            self._requested_at, self._gap_since = float("-inf"), None
        elif self._gap_since is None and message.era == self._state.position.era:
            self._gap_since = now()
        self._apply(before, changed)
