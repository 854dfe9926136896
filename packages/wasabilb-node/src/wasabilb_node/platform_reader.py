"""Loops that read tickets and the host list while a process is an elected reader."""

import asyncio
import random
from collections.abc import Collection

from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.ticket_order import ticket_era, ticket_number
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import ticket_digest

from wasabilb_node.clock import now
from wasabilb_node.host_list_exchange import HostListExchange
from wasabilb_node.links import LinkManager
from wasabilb_node.logs import EventLog
from wasabilb_node.platform_answers import TicketIndex
from wasabilb_node.platform_client import PlatformClient
from wasabilb_node.ticket_exchange import TicketExchange

ROLE_CHECK_S = 0.5
SEED_CHECK_S = 0.05
# Without seeds only the service lists the hosts to link with, so reading must not wait for long.
SEED_WAIT_S = 1.0
HOST_LIST_INTERVAL_S = 1.0
ERROR_LOG_INTERVAL_S = 10.0
ERROR_RETRY_S = 1.0


class PlatformReader:
    """Reads tickets and the host list while the election makes this process a reader.

    Parameters
    ----------
    client : PlatformClient
        Access to the platform.
    exchange : TicketExchange
        Accepts the tickets that were read.
    host_lists : HostListExchange
        Accepts the host lists that were read.
    watch_timeout_s : float
        Timeout of one watch, in seconds.
    seeds : collection of str
        Addresses of the peers whose state a starting process awaits before it reads.
    """

    def __init__(
        self,
        *,
        client: PlatformClient,
        exchange: TicketExchange,
        spread: TicketSpread,
        fleet: FleetState,
        host_lists: HostListExchange,
        links: LinkManager,
        log: EventLog,
        watch_timeout_s: float,
        seeds: Collection[str],
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._spread = spread
        self._fleet = fleet
        self._host_lists = host_lists
        self._links = links
        self._log = log
        self._watch_timeout_s = watch_timeout_s
        self._seeds = seeds
        self._error_logged_at: dict[str, float] = {}
        self._rng = random.Random(links.identity.incarnation)
        self._was_reader = False
        # Position of the next watch. After a failure the index is read instead, as the service may
        # have come back from a copy that does not have the position.
        self._position: TicketIndex | None = None
        self._eras: dict[str, int] = {}
        self.is_synced = False

    async def run_tickets(self) -> None:
        """Read and watch the configuration service until cancelled.

        The states of the seeds are awaited first, at most for `SEED_WAIT_S`: they hold most tickets
        and show most starting processes that others are the readers.
        """
        started_at = now()
        while not self._exchange.has_state_of(self._seeds) and now() - started_at < SEED_WAIT_S:
            await asyncio.sleep(SEED_CHECK_S)
        while True:
            is_reader = self._spread.is_reader(self._links.linked_hosts())
            if is_reader != self._was_reader:
                self._was_reader = is_reader
                self._log.event("reader_changed", is_reader=is_reader)
            if not is_reader:
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            started_at = now()
            has_succeeded = await self._read_tickets_once()
            interval = self._spread.poll_interval_s()
            if not has_succeeded:
                # Jitter keeps the readers from retrying simultaneously after an outage.
                interval = max(interval, ERROR_RETRY_S * self._rng.uniform(0.5, 1.5))
            await asyncio.sleep(max(0.0, interval - (now() - started_at)))

    async def run_host_list(self) -> None:
        """Read the host list until cancelled."""
        while self._client.has_host_list:
            await asyncio.sleep(HOST_LIST_INTERVAL_S)
            if not self._spread.is_reader(self._links.linked_hosts()):
                continue
            listed = await self._client.hosts()
            if isinstance(listed, Failure):
                self._log_error("host list", listed.failure().detail)
                continue
            self._log_recovery("host list")
            hosts = listed.unwrap()
            self._log_unusable("host list", hosts.unusable)
            self._log_era("host list", hosts.era)
            self._host_lists.on_read(hosts)

    async def _read_tickets_once(self) -> bool:
        position, self._position = self._position, None
        if position is not None:
            hold_s = self._spread.hold_s(now())
            timeout_s = min(self._watch_timeout_s, hold_s or self._watch_timeout_s)
            read = await self._client.watch(after=position, timeout_s=timeout_s)
        else:
            read = await self._client.index()
        if isinstance(read, Failure):
            self._log_error("configuration service", read.failure().detail)
            return False
        self._log_recovery("configuration service")
        index = read.unwrap()
        self._log_unusable("configuration service", index.unusable)
        self._log_era("configuration service", index.era)
        is_complete = await self._read_tickets(index)
        self._position = index if is_complete else None
        self.is_synced = self.is_synced or is_complete
        return is_complete

    async def _read_tickets(self, index: TicketIndex) -> bool:
        """Read the tickets of an index that this process lacks; return whether it has all."""
        is_complete = True
        orders = self._spread.orders_to_read(index.digests, self._rng, now())
        conflicts = set(orders) - set(self._spread.unknown_orders(orders))
        for order in orders:
            if not self._spread.is_reader(self._links.linked_hosts()):
                # The first tickets named other hosts as readers; they send the rest.
                return False
            if self._spread.unknown_orders([order]) == [] and order not in conflicts:
                continue
            read = await self._client.ticket(ticket_number(order))
            if isinstance(read, Failure):
                self._log_error("configuration service", read.failure().detail)
                is_complete = False
                continue
            text = read.unwrap()
            if ticket_digest(text) != index.digests[order]:
                # The service came back from a copy since it sent the index.
                is_complete = False
                continue
            self._exchange.accept_ticket(text, source="service", sender=None, era=ticket_era(order))
        return is_complete

    def _log_era(self, service: str, era: int) -> None:
        known = self._eras.setdefault(service, era)
        if era > known:
            self._eras[service] = era
            self._log.event("platform_restored", service=service, era=era)

    def _log_error(self, service: str, detail: str) -> None:
        # The service can be down for hours; one line per interval is enough.
        if self._is_line_due(service):
            self._log.event("platform_down", service=service, detail=detail)

    def _log_unusable(self, service: str, entries: int) -> None:
        # They remain in each answer.
        if entries and self._is_line_due(f"{service} entries"):
            self._log.event("entries_unusable", service=service, entries=entries)

    def _is_line_due(self, name: str) -> bool:
        moment = now()
        is_due = moment - self._error_logged_at.get(name, float("-inf")) >= ERROR_LOG_INTERVAL_S
        if is_due:
            self._error_logged_at[name] = moment
        return is_due

    def _log_recovery(self, service: str) -> None:
        if self._error_logged_at.pop(service, None) is not None:
            self._log.event("platform_up", service=service)
