"""Read-only client of the configuration service and the host list."""

import json
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from wasabilb_core.errors import Error, unavailable
from wasabilb_core.metric_names import Metric
from wasabilb_core.ticket_order import MAX_ERA, MAX_NUMBER, ticket_number, ticket_order
from wasabilb_core.tickets import MAX_TICKET_BYTES

from wasabilb_node.metrics import Metrics

CALL_TIMEOUT_S = 5.0
MAX_INDEX_BYTES = 4 << 20
# The number of a host list has 64 bits on the links.
MAX_AS_OF = (1 << 64) - 1

_MALFORMED = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)


@frozen(kw_only=True)
class TicketIndex:
    """The tickets of the configuration service, which is also a position to watch from.

    Parameters
    ----------
    era : int
        Era of the service.
    newest : int
        Highest number that it shows.
    digests : dict of int to int
        Digest of each ticket by its order.
    """

    era: int
    newest: int
    digests: dict[int, int]


@frozen(kw_only=True)
class ListedHosts:
    """The platform's host list at one moment.

    Parameters
    ----------
    era, as_of : int
        Era of the list and its sequence number in it.
    leaving : tuple of str
        Hosts that are not live.
    written_live : tuple of str
        Live hosts whose state was written in this era.
    """

    era: int
    as_of: int
    leaving: tuple[str, ...]
    written_live: tuple[str, ...]


class PlatformClient:
    """Calls the platform over HTTP.

    Parameters
    ----------
    config_service, host_list : str
        Base URLs; empty when the deployment has none.
    """

    def __init__(self, *, config_service: str, host_list: str, metrics: Metrics) -> None:
        self._config_service = config_service.rstrip("/")
        self._host_list = host_list.rstrip("/")
        self._metrics = metrics
        self._http = AsyncHTTPClient(force_instance=True)

    @property
    def has_host_list(self) -> bool:
        """Return whether the deployment has a host list."""
        return bool(self._host_list)

    async def index(self) -> Result[TicketIndex, Error]:
        """Return the index of the configuration service."""
        return _to_index(await self._get(f"{self._config_service}/v1/index", CALL_TIMEOUT_S))

    async def watch(self, *, after: TicketIndex, timeout_s: float) -> Result[TicketIndex, Error]:
        """Wait for a number that `after` does not have or the timeout, then return the index.

        Fails if the service no longer has this position, because it came back from a copy.
        """
        query = f"after={after.newest}&era={after.era}&timeout={timeout_s}"
        url = f"{self._config_service}/v1/watch?{query}"
        return _to_index(await self._get(url, timeout_s + CALL_TIMEOUT_S))

    async def ticket(self, number: int) -> Result[str, Error]:
        """Return the text of a ticket."""
        body = await self._get(f"{self._config_service}/v1/tickets/{number}", CALL_TIMEOUT_S)
        if isinstance(body, Failure):
            return body
        raw = body.unwrap()
        if len(raw) > MAX_TICKET_BYTES:
            return unavailable(f"ticket {number} has {len(raw)} bytes")
        try:
            return Success(raw.decode())
        except UnicodeDecodeError as exc:
            return unavailable(f"ticket {number} is not UTF-8: {exc.reason}")

    async def hosts(self) -> Result[ListedHosts, Error]:
        """Return the host list."""
        body = await self._get(f"{self._host_list}/v1/hosts", CALL_TIMEOUT_S)
        if isinstance(body, Failure):
            return body
        try:
            data = json.loads(body.unwrap())
            return Success(_to_hosts(data))
        except _MALFORMED as exc:
            return unavailable(f"host list is malformed: {type(exc).__name__}")

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    async def _get(self, url: str, timeout_s: float) -> Result[bytes, Error]:
        if url.startswith(self._config_service):
            self._metrics.count(Metric.PLATFORM_READS)
        try:
            response = await self._http.fetch(
                url, connect_timeout=CALL_TIMEOUT_S, request_timeout=timeout_s
            )
        except (HTTPClientError, OSError) as exc:
            return unavailable(f"{url}: {exc}")
        if len(response.body) > MAX_INDEX_BYTES:
            return unavailable(f"{url}: {len(response.body)} bytes, at most {MAX_INDEX_BYTES}")
        return Success(response.body)


def _to_index(body: Result[bytes, Error]) -> Result[TicketIndex, Error]:
    if isinstance(body, Failure):
        return body
    try:
        data: Any = json.loads(body.unwrap())
        digests = {
            ticket_order(_to_era(ticket), _bounded(ticket["number"], MAX_NUMBER)): int(
                ticket["digest"], 16
            )
            for ticket in data["tickets"]
        }
        newest = max(map(ticket_number, digests), default=0)
        return Success(TicketIndex(era=_to_era(data), newest=newest, digests=digests))
    except _MALFORMED as exc:
        return unavailable(f"index is malformed: {type(exc).__name__}")


def _to_hosts(data: dict[str, Any]) -> ListedHosts:
    era = _to_era(data)
    live = [host for host in data["hosts"] if host["state"] == "live"]
    return ListedHosts(
        era=era,
        as_of=_bounded(data["as_of"], MAX_AS_OF),
        leaving=tuple(str(host["name"]) for host in data["hosts"] if host["state"] != "live"),
        written_live=tuple(str(host["name"]) for host in live if _to_era(host) == era),
    )


def _to_era(data: dict[str, Any]) -> int:
    return _bounded(data.get("era", 0), MAX_ERA)


def _bounded(value: Any, limit: int) -> int:
    number = int(value)
    if not 0 <= number <= limit:
        raise ValueError(f"{number} is not between 0 and {limit}")
    return number
