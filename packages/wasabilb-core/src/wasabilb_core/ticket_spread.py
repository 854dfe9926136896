"""Ticket dissemination: reads of the configuration service and exchange between peers."""

import math
import random
from collections.abc import Collection, Mapping

from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.fleet import FleetState
from wasabilb_core.rendezvous import rank
from wasabilb_core.ticket_order import ticket_era, ticket_number, ticket_order
from wasabilb_core.tickets import Ticket, parse_ticket

# Number of standby readers, which are linked in advance so that they detect the loss of a reader.
STANDBY_READERS = 2
# Number of newest tickets that a starting reader reads in order before the others.
NEWEST_FIRST = 4
# After a restore lost tickets are published again one after another. Within this time the series is
# taken as a whole, and a single new ticket is still in force everywhere within 7 s.
REPUBLICATION_HOLD_S = 3.0


@frozen(kw_only=True)
class AcceptedTicket:
    """A newly accepted ticket and the keys of the declarations that it changed."""

    ticket: Ticket
    changed: frozenset[str]


@frozen(kw_only=True)
class SummaryReply:
    """Tickets to push to a peer that sent the orders of its own, and orders to request."""

    push: list[Ticket]
    want: list[int]


def in_reader_order(failure_domain: str, hosts: Collection[str]) -> list[str]:
    """Return the hosts of a failure domain in the order in which they become readers."""
    return rank(f"reader:{failure_domain}", hosts)


class TicketSpread:
    """Decides which tickets this process reads, accepts and passes on.

    Parameters
    ----------
    host, failure_domain : str
        Host and failure domain of this process.
    fleet : FleetState
        State into which accepted tickets are merged.
    readers_per_domain : int
        Number of hosts that read the configuration service in each failure domain.
    service_calls_per_s : float
        Limit of calls of the whole system to the configuration service, per second.
    """

    def __init__(
        self,
        *,
        host: str,
        failure_domain: str,
        fleet: FleetState,
        readers_per_domain: int,
        service_calls_per_s: float,
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._readers_per_domain = readers_per_domain
        self._service_calls_per_s = service_calls_per_s
        self._reported_conflicts: set[int] = set()
        self._held_since: dict[int, float] = {}

    def reader_candidates(self) -> list[str]:
        """Return the entry hosts of this failure domain in reader order."""
        entry_hosts = [
            host.name
            for host in self._fleet.hosts()
            if host.is_entry and host.takes_work and host.failure_domain == self._failure_domain
        ]
        return in_reader_order(self._failure_domain, entry_hosts)

    def readers_and_standbys(self) -> list[str]:
        """Return the readers and standby readers, to which every entry host keeps links."""
        return self.reader_candidates()[: self._readers_per_domain + STANDBY_READERS]

    def is_reader(self, linked: Collection[str]) -> bool:
        """Return whether this process reads the configuration service now.

        Parameters
        ----------
        linked : collection of str
            Hosts with a working link.
        """
        candidates = self.reader_candidates()
        if not candidates:
            return True
        preferred = self.readers_and_standbys()
        reachable = [host for host in preferred if host in linked or host == self._host]
        if not reachable:
            return self._host in candidates
        return self._host in reachable[: self._readers_per_domain]

    def poll_interval_s(self) -> float:
        """Return the minimum interval between two calls of this process to the service, seconds.

        Every entry host may have to read by itself in a partition within its failure domain, so
        the budget is divided by all entry hosts. Watches are long, so this limit delays a reader
        only after errors.
        """
        entry_hosts = sum(1 for host in self._fleet.hosts() if host.is_entry)
        return max(entry_hosts, 1) / self._service_calls_per_s

    def on_ticket(self, text: str, *, era: int = 0) -> Result[AcceptedTicket | None, Error]:
        """Check and merge a ticket of an era; return None when it was known before."""
        parsed = parse_ticket(text, era=era)
        if isinstance(parsed, Failure):
            problems = parsed.failure()
            detail = "; ".join(str(problem) for problem in problems)
            return Failure(Error(kind=ErrorKind.BAD_TICKET, detail=detail))
        ticket = parsed.unwrap()
        is_known = self._fleet.digest_of(ticket.order) == ticket.digest
        changed = self._fleet.apply(ticket)
        if isinstance(changed, Failure):
            return Failure(changed.failure())
        return Success(
            None if is_known else AcceptedTicket(ticket=ticket, changed=changed.unwrap())
        )

    def unknown_orders(self, orders: Collection[int]) -> list[int]:
        """Return the orders at which this process has not accepted a ticket."""
        return [order for order in orders if self._fleet.digest_of(order) is None]

    def orders_to_read(
        self, digests: Mapping[int, int], rng: random.Random, now: float
    ) -> list[int]:
        """Return the orders of the tickets to read from the configuration service, newest first.

        The newest tickets determine most of the state, so that a starting reader with thousands of
        unread tickets is up to date after a few reads. The others follow in random order, so that
        processes that start together read different tickets and push them to each other. A ticket
        whose digest differs from the accepted one is read once, so that the conflict is reported.
        A ticket that may be a lost one published again waits for those that followed it, at most
        `REPUBLICATION_HOLD_S`: alone it would bring an older state back.

        Parameters
        ----------
        digests : mapping of int to int
            Order and digest of each published ticket.
        rng : random.Random
            Source of the random order.
        now : float
            Monotonic time, seconds.
        """
        unread = []
        held = self._republished(digests)
        self._held_since = {order: self._held_since.get(order, now) for order in held}
        for order in sorted(digests, reverse=True):
            known = self._fleet.digest_of(order)
            is_conflict = known is not None and known != digests[order]
            if is_conflict and digests[order] in self._reported_conflicts:
                continue
            if is_conflict:
                self._reported_conflicts.add(digests[order])
            if (known is None and not self._is_held(order, now)) or is_conflict:
                unread.append(order)
        rest = unread[NEWEST_FIRST:]
        rng.shuffle(rest)
        return unread[:NEWEST_FIRST] + rest

    def hold_s(self, now: float) -> float | None:
        """Return the seconds until a ticket is no longer held back, None if none is."""
        ends = [at + REPUBLICATION_HOLD_S - now for at in self._held_since.values()]
        return min((end_s for end_s in ends if end_s > 0.0), default=None)

    def on_summary(self, orders: Collection[int]) -> SummaryReply:
        """Return the tickets that a peer lacks and the orders of those that this process lacks."""
        return SummaryReply(
            push=self._fleet.tickets_missing_from(orders), want=self.unknown_orders(orders)
        )

    def _is_held(self, order: int, now: float) -> bool:
        return now - self._held_since.get(order, -math.inf) < REPUBLICATION_HOLD_S

    def _republished(self, digests: Mapping[int, int]) -> list[int]:
        """Return the orders of lost tickets that may be back before those that followed them."""
        republished = []
        for era in {ticket_era(order) for order in digests} - {0}:
            lost = self._fleet.newest(before_era=era)
            if ticket_order(era, ticket_number(lost)) in digests:
                continue
            for order in digests:
                if not ticket_order(era, 0) < order < ticket_order(era, ticket_number(lost)):
                    continue
                earlier_order = ticket_order(ticket_era(lost), ticket_number(order))
                if self._fleet.digest_of(earlier_order) in (None, digests[order]):
                    republished.append(order)
        return republished
