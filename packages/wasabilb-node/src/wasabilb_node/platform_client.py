"""Read-only client of the configuration service and the host list."""

from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient
from wasabilb_core.errors import Error, unavailable
from wasabilb_core.metric_names import Metric
from wasabilb_core.tickets import MAX_TICKET_BYTES

from wasabilb_node.http_client import LIBRARY_CALL_ERRORS, MAX_HEADER_BYTES
from wasabilb_node.metrics import Metrics
from wasabilb_node.platform_answers import (
    MAX_ANSWER_BYTES,
    ListedHosts,
    TicketIndex,
    to_hosts,
    to_index,
)

CALL_TIMEOUT_S = 5.0


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
        self._http = AsyncHTTPClient(
            force_instance=True, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_ANSWER_BYTES
        )

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
        return to_hosts(body.unwrap())

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
        except LIBRARY_CALL_ERRORS as exc:
            return unavailable(f"{url}: {exc}")
        if len(response.body) > MAX_ANSWER_BYTES:
            return unavailable(f"{url}: {len(response.body)} bytes, at most {MAX_ANSWER_BYTES}")
        return Success(response.body)


def _to_index(body: Result[bytes, Error]) -> Result[TicketIndex, Error]:
    return Failure(body.failure()) if isinstance(body, Failure) else to_index(body.unwrap())
