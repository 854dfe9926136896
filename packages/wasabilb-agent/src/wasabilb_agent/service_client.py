"""HTTP client of the plain service beside the agent."""

from returns.result import Result
from tornado.httputil import HTTPHeaders
from wasabilb_core.errors import Error
from wasabilb_wire.messages import Call, Header

from wasabilb_agent._http_stream import OnBytes, OnHead, new_client, stream_exchange

_BODY_METHODS = ("POST", "PUT", "PATCH")
# Hop-by-hop headers (RFC 9110, section 7.6.1) belong to one connection.
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "upgrade", "content-length"}
)


class ServiceClient:
    """Client of one plain service that sends each call once, without retries.

    Parameters
    ----------
    url : str
        Base URL of the service.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._http = new_client()

    async def call(
        self, *, call: Call, timeout_s: float, on_head: OnHead, on_bytes: OnBytes
    ) -> Result[int, Error]:
        """Send a call, stream its response and return its status; see `stream_exchange`."""
        headers = HTTPHeaders()
        for header in call.headers:
            headers.add(header.name, header.value)
        return await stream_exchange(
            http=self._http,
            url=self._url + call.path,
            method=call.method,
            headers=headers,
            body=call.body if call.body or call.method in _BODY_METHODS else None,
            timeout_s=timeout_s,
            on_head=lambda status, received: on_head(status, _end_to_end(received)),
            on_bytes=on_bytes,
        )

    def close(self) -> None:
        """Release the client."""
        self._http.close()


def _end_to_end(headers: list[Header]) -> list[Header]:
    return [header for header in headers if header.name.lower() not in _HOP_HEADERS]
