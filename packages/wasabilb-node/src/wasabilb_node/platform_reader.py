"""Loops that read tickets and the host list while a process is an elected reader."""

import asyncio
import random
from collections.abc import Collection

from returns.result import Failure
from wasabilb_core.fleet import FleetState
from wasabilb_core.membership import Membership
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_wire.messages import HostList

from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager
from wasabilb_node.logs import EventLog
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
        membership: Membership,
        links: LinkManager,
        log: EventLog,
        watch_timeout_s: float,
        seeds: Collection[str],
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._spread = spread
        self._fleet = fleet
        self._membership = membership
        self._links = links
        self._log = log
        self._watch_timeout_s = watch_timeout_s
        self._seeds = seeds
        self._error_logged_at: dict[str, float] = {}
        self._rng = random.Random(links.identity.incarnation)
        self._was_reader = False
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
            if self._membership.on_host_list(as_of=hosts.as_of, leaving=hosts.leaving):
                message = HostList(as_of=hosts.as_of, leaving=list(hosts.leaving))
                self._links.broadcast(message)

    async def _read_tickets_once(self) -> bool:
        if self.is_synced:
            index = await self._client.watch(
                after=self._fleet.newest(), timeout_s=self._watch_timeout_s
            )
        else:
            index = await self._client.index()
        if isinstance(index, Failure):
            self._log_error("configuration service", index.failure().detail)
            return False
        self._log_recovery("configuration service")
        self._log_unusable("configuration service", index.unwrap().unusable)
        is_complete = True
        numbers = self._spread.numbers_to_read(index.unwrap().digests, self._rng)
        conflicts = set(numbers) - set(self._spread.unknown_numbers(numbers))
        for number in numbers:
            if not self._spread.is_reader(self._links.linked_hosts()):
                # The first tickets named other hosts as readers; they send the rest.
                return False
            if self._spread.unknown_numbers([number]) == [] and number not in conflicts:
                continue
            text = await self._client.ticket(number)
            if isinstance(text, Failure):
                self._log_error("configuration service", text.failure().detail)
                is_complete = False
                continue
            self._exchange.accept_ticket(text.unwrap(), source="service", sender=None)
        self.is_synced = is_complete
        return is_complete

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
