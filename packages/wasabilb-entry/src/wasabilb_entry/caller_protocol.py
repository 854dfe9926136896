"""Header conventions of a deployment."""

from typing import Protocol

from tornado.httputil import HTTPHeaders
from wasabilb_core.forwarding_metadata import AnswerMetadata, ForwardMetadata, RequestMetadata
from wasabilb_node.http_client import AnswerHead

# Headers that concern one connection only (RFC 9110, 7.6.1) and framing, which each side sets.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


class CallerProtocol(Protocol):
    """Reads and writes the headers of one deployment."""

    def read_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata of a caller's request."""

    def write_request(self, headers: HTTPHeaders, metadata: ForwardMetadata) -> HTTPHeaders:
        """Return the headers for a runner, derived from those of the caller."""

    def read_answer(self, head: AnswerHead, now: float) -> AnswerMetadata:
        """Return the metadata in the head of a runner's answer."""

    def label_answer(self, headers: HTTPHeaders, request_id: str) -> None:
        """Add the request's identifier to an answer that this process generates."""


def end_to_end(headers: HTTPHeaders) -> HTTPHeaders:
    """Return a copy without the headers that concern one connection only."""
    connection_headers = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in CONNECTION_HEADERS and name.lower() not in connection_headers:
            forwarded.add(name, value)
    return forwarded
