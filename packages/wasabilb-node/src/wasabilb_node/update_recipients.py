"""Selects the peers to notify of a change immediately, and the heartbeats that can be skipped."""

from collections.abc import Collection

from attrs import evolve, frozen
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.peering import hubs, immediate_notifiers
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_wire.messages import NodeBeat

from wasabilb_node.links import LinkManager, Peer


@frozen(kw_only=True)
class _SentHeartbeat:
    """A heartbeat to a peer, and whether nothing was sent in the interval before it."""

    beat: NodeBeat
    bytes_sent: int
    was_idle: bool


class UpdateRecipients:
    """Tracks what was sent to each peer and selects the recipients of updates.

    Parameters
    ----------
    links : LinkManager
        Links to peers.
    roster : EntryRoster
        The known entry processes.
    """

    def __init__(self, *, links: LinkManager, roster: EntryRoster) -> None:
        self._links = links
        self._roster = roster
        self._is_entry = links.identity.role == "entry"
        # For the newest heartbeat, and for the one about to be sent.
        self._sent: dict[Peer, _SentHeartbeat] = {}
        self._planned: dict[Peer, _SentHeartbeat] = {}
        # Derived from the roster at this version.
        self._roster_version = -1
        self._near_hubs: list[str] = []
        self._is_notifier: dict[str, bool] = {}

    def change_recipients(self) -> list[Peer]:
        """Return the peers to notify of a change before the next heartbeat.

        In a large fleet hubs notify the entry processes, and a few of these notify each agent.
        """
        peers = self._links.peers()
        places = self._roster.places()
        if not self._is_entry or len(places) <= MAX_MESH_HOSTS:
            return peers
        own = self._links.identity
        if self._roster_version != self._roster.version:
            self._roster_version = self._roster.version
            self._near_hubs = hubs(places, own.failure_domain)
            self._is_notifier = {}
        is_hub = own.address in self._near_hubs
        entries = [peer for peer in peers if peer.hello.role == "entry"]
        agents = [peer for peer in peers if peer.hello.role != "entry"]
        return [
            *(peer for peer in entries if is_hub or peer.hello.address in self._near_hubs),
            *(peer for peer in agents if self._is_notifier_of(peer, places)),
        ]

    def heartbeat_recipients(self, beat: NodeBeat) -> list[Peer]:
        """Return the peers that need a heartbeat; called once per interval, before it is sent.

        An agent's reports to entry processes also show that it is alive: near ones receive them in
        each interval, others in every second one.
        """
        self._planned = {peer: self._next_heartbeat(peer, beat) for peer in self._links.peers()}
        return [
            peer
            for peer, heartbeat in self._planned.items()
            if not self._is_redundant(peer, heartbeat)
        ]

    def on_heartbeats_sent(self) -> None:
        """Record that the heartbeats were sent."""
        self._sent = {
            peer: evolve(heartbeat, bytes_sent=peer.link.bytes_sent)
            for peer, heartbeat in self._planned.items()
        }

    def _next_heartbeat(self, peer: Peer, beat: NodeBeat) -> _SentHeartbeat:
        last = self._sent.get(peer)
        sent = peer.link.bytes_sent
        return _SentHeartbeat(
            beat=beat, bytes_sent=sent, was_idle=last is None or sent == last.bytes_sent
        )

    def _is_redundant(self, peer: Peer, heartbeat: _SentHeartbeat) -> bool:
        last = self._sent.get(peer)
        if (
            self._is_entry
            or peer.hello.role != "entry"
            or last is None
            or last.beat != heartbeat.beat
        ):
            return False
        return not (heartbeat.was_idle and last.was_idle)

    def _is_notifier_of(self, agent: Peer, places: Collection[EntryPlace]) -> bool:
        """Return whether this process is one of those that notify an agent of each change."""
        is_notifier = self._is_notifier.get(agent.host)
        if is_notifier is None:
            own = self._links.identity.address
            is_notifier = own in immediate_notifiers(places, agent.host, agent.hello.failure_domain)
            self._is_notifier[agent.host] = is_notifier
        return is_notifier
