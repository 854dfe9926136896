"""Read-only client of the configuration service and the host list."""

import re

from attrs import frozen
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from wasabilb_core.errors import Error, unavailable
from wasabilb_core.json_fields import InvalidFieldError, JsonObject, NumberRange, parse_json
from wasabilb_core.metric_names import Metric
from wasabilb_core.tickets import MAX_TICKET_BYTES
from wasabilb_wire.codec import MAX_LIST_ITEMS

from wasabilb_node.metrics import Metrics

CALL_TIMEOUT_S = 5.0
MAX_INDEX_BYTES = 4 << 20
# Numbers of tickets and host lists; messages hold them in 64 bits.
NUMBERS = NumberRange(low=0, high=(1 << 62) - 1)
# The list of leaving hosts fits a frame with names of this size, as tickets allow.
MAX_HOST_NAME_BYTES = 63
_DIGEST = re.compile(r"[0-9a-fA-F]{1,16}")


@frozen(kw_only=True)
class TicketIndex:
    """The digests of all tickets of the configuration service, by number.

    `unusable` counts the entries that are left out.
    """

    digests: dict[int, int]
    unusable: int = 0


@frozen(kw_only=True)
class ListedHosts:
    """The platform's host list at one moment; `unusable` counts the entries that are left out."""

    as_of: int
    leaving: tuple[str, ...]
    unusable: int = 0


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

    async def watch(self, *, after: int, timeout_s: float) -> Result[TicketIndex, Error]:
        """Wait for a ticket above `after` or the timeout, then return the index."""
        url = f"{self._config_service}/v1/watch?after={after}&timeout={timeout_s}"
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
        return _to_hosts(body.unwrap())

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


def _to_hosts(body: bytes) -> Result[ListedHosts, Error]:
    try:
        data = JsonObject(parse_json(body, max_bytes=MAX_INDEX_BYTES))
        as_of = data.whole("as_of", NUMBERS)
        states = [_host_state(entry) for entry in data.list("hosts")]
    except InvalidFieldError as exc:
        return unavailable(f"host list is malformed: {exc}")
    leaving = tuple(pair[0] for pair in states if pair is not None and pair[1] != "live")
    if len(leaving) > MAX_LIST_ITEMS:
        return unavailable(f"host list has {len(leaving)} leaving hosts")
    return Success(ListedHosts(as_of=as_of, leaving=leaving, unusable=states.count(None)))


def _host_state(entry: object) -> tuple[str, str] | None:
    """Return the name and state of a listed host, None for an unusable entry."""
    try:
        host = JsonObject(entry)
        return host.text("name", max_bytes=MAX_HOST_NAME_BYTES), host.text("state")
    except InvalidFieldError:
        return None


def _to_index(body: Result[bytes, Error]) -> Result[TicketIndex, Error]:
    if isinstance(body, Failure):
        return body
    try:
        data = JsonObject(parse_json(body.unwrap(), max_bytes=MAX_INDEX_BYTES))
        found = [_number_and_digest(entry) for entry in data.list("tickets")]
    except InvalidFieldError as exc:
        return unavailable(f"index is malformed: {exc}")
    digests = dict(pair for pair in found if pair is not None)
    return Success(TicketIndex(digests=digests, unusable=found.count(None)))


def _number_and_digest(entry: object) -> tuple[int, int] | None:
    """Return the number and digest of a listed ticket, None for an unusable entry."""
    try:
        ticket = JsonObject(entry)
        number, digest = ticket.whole("number", NUMBERS), ticket.text("digest")
    except InvalidFieldError:
        return None
    return (number, int(digest, 16)) if _DIGEST.fullmatch(digest) else None
