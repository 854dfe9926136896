"""Exchanges tickets with peers: pushes new ones and repairs losses by comparing digests."""

from collections.abc import Callable, Collection

from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.metric_names import Metric
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import Ticket
from wasabilb_wire.messages import Ping, TicketPush, TicketSummary, TicketWant

from wasabilb_node.clock import now, wall_ms
from wasabilb_node.hlc_encoding import from_wire, to_wire
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics

# Refused tickets arrive again with every summary; each text is logged only once.
MAX_LOGGED_REFUSALS = 1024
# The reasons of a refusal name keys and values of the ticket.
MAX_DETAIL_CHARS = 500


class TicketExchange:
    """Accepts tickets from any source and forwards new ones to all peers.

    Parameters
    ----------
    on_changed : callable
        Called with the keys of the objects that a ticket changed.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        spread: TicketSpread,
        links: LinkManager,
        log: EventLog,
        metrics: Metrics,
        on_changed: Callable[[frozenset[str]], None],
    ) -> None:
        self._fleet = fleet
        self._spread = spread
        self._links = links
        self._log = log
        self._metrics = metrics
        self._on_changed = on_changed
        self._logged_refusals: set[int] = set()
        self._newest_pings: dict[Peer, Ping] = {}
        links.set_handler(Ping, self.on_ping)
        links.set_handler(TicketSummary, self.on_ticket_summary)
        links.set_handler(TicketWant, self.on_ticket_want)
        links.set_handler(TicketPush, self.on_ticket_push)
        links.on_link_up.append(self.on_link_up)
        links.on_link_down.append(self.on_link_down)

    def accept_ticket(self, text: str, *, source: str, sender: Peer | None, era: int = 0) -> None:
        """Merge a ticket of an era and forward it if it is new."""
        result = self._spread.on_ticket(text, era=era)
        if isinstance(result, Failure):
            error = result.failure()
            self._metrics.count(Metric.TICKETS_REFUSED)
            if (
                hash(text) not in self._logged_refusals
                and len(self._logged_refusals) < MAX_LOGGED_REFUSALS
            ):
                self._logged_refusals.add(hash(text))
                self._log.event(
                    "ticket_refused", source=source, detail=error.detail[:MAX_DETAIL_CHARS]
                )
            return
        accepted = result.unwrap()
        if accepted is None:
            return
        ticket = accepted.ticket
        self._log.event("ticket_accepted", ticket=ticket.number, source=source, era=ticket.era)
        self._links.broadcast(self._to_push(ticket), skip=sender)
        self._on_changed(accepted.changed)

    def has_state_of(self, addresses: Collection[str]) -> bool:
        """Return whether all peers with these addresses have sent their state."""
        return set(addresses) <= {peer.hello.address for peer in self._newest_pings}

    @property
    def has_peer_state(self) -> bool:
        """Return whether any linked peer has sent its state."""
        return bool(self._newest_pings)

    def is_up_to_date(self) -> bool:
        """Return whether no linked peer reports a ticket that this process lacks."""
        own = (self._fleet.digest(), self._fleet.newest())
        return all(
            ping.state_digest == own[0] or ping.newest < own[1]
            for ping in self._newest_pings.values()
        )

    def to_ping(self) -> Ping:
        """Return the heartbeat with the digest of the fleet state."""
        return Ping(
            state_digest=self._fleet.digest(),
            newest=self._fleet.newest(),
            wall_ms=wall_ms(),
            hlc=to_wire(self._log.timestamp()),
            sent_now=now(),
        )

    def on_link_up(self, peer: Peer) -> None:
        """Send the state digest to a new peer immediately."""
        peer.send(self.to_ping())

    def on_link_down(self, peer: Peer) -> None:
        """Discard the state of a disconnected peer."""
        self._newest_pings.pop(peer, None)

    def on_ping(self, peer: Peer, ping: Ping) -> None:
        """Start a repair if the peer's state differs."""
        self._log.receive(from_wire(ping.hlc))
        peer.remote_now = max(peer.remote_now, ping.sent_now)
        self._newest_pings[peer] = ping
        if ping.state_digest != self._fleet.digest():
            peer.send(TicketSummary(numbers=list(self._fleet.orders())))

    def on_ticket_summary(self, peer: Peer, summary: TicketSummary) -> None:
        """Send the tickets that the peer lacks and request those that this process lacks."""
        reply = self._spread.on_summary(summary.numbers)
        self._push(peer, [ticket.order for ticket in reply.push])
        if reply.want:
            peer.send(TicketWant(numbers=reply.want))

    def on_ticket_want(self, peer: Peer, want: TicketWant) -> None:
        """Send the tickets that a peer requests."""
        self._push(peer, want.numbers)

    def on_ticket_push(self, peer: Peer, push: TicketPush) -> None:
        """Accept a ticket from a peer."""
        self._log.receive(from_wire(push.hlc))
        self.accept_ticket(push.text, source=peer.host, sender=peer, era=push.era)

    def _push(self, peer: Peer, orders: list[int]) -> None:
        wanted = set(orders)
        for ticket in self._fleet.tickets():
            if ticket.order in wanted:
                peer.send(self._to_push(ticket))

    def _to_push(self, ticket: Ticket) -> TicketPush:
        return TicketPush(
            number=ticket.number,
            text=ticket.text,
            hlc=to_wire(self._log.timestamp()),
            era=ticket.era,
        )
