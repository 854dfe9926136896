"""HTTP client that reads manifests and chunks from the weight store."""

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import MAX_MANIFEST_BYTES, Manifest, parse_manifest
from wasabilb_core.tickets import Variant

from wasabilb_agent._http_stream import ExchangeStoppedError, new_client, stream_exchange

MANIFEST_TIMEOUT_S = 10.0
# The planner cancels unusually slow requests; this bound covers those that it cannot see.
CHUNK_TIMEOUT_S = 600.0
# Further requests wait in the client.
MAX_REQUESTS = 10
HTTP_OK, HTTP_NOT_FOUND = 200, 404


class StoreClient:
    """Client of the weight store.

    Parameters
    ----------
    url : str
        Base URL of the store.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._http = new_client(max_clients=MAX_REQUESTS)

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant; one that names another variant is refused."""
        path = f"/v1/manifests/{variant.model}/{variant.version}"
        query = f"?adapter={variant.adapter}" if variant.adapter else ""
        body = await self._get(path + query, MANIFEST_TIMEOUT_S, MAX_MANIFEST_BYTES)
        if isinstance(body, Failure):
            return body
        result = parse_manifest(body.unwrap())
        if isinstance(result, Success) and result.unwrap().variant != variant:
            detail = f"the manifest of {variant} names {result.unwrap().variant}"
            return Failure(Error(kind=ErrorKind.BAD_MANIFEST, detail=detail))
        return result

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified; `NOT_FOUND` when the store does not have it."""
        path = f"/v1/chunks/{manifest.chunks[index]}"
        return await self._get(path, CHUNK_TIMEOUT_S, manifest.chunk_length(index))

    def close(self) -> None:
        """Release the client."""
        self._http.close()

    async def _get(self, path: str, timeout_s: float, max_bytes: int) -> Result[bytes, Error]:
        body = bytearray()

        async def on_bytes(data: bytes) -> None:
            if len(body) + len(data) > max_bytes:
                raise ExchangeStoppedError
            body.extend(data)

        try:
            result = await stream_exchange(
                http=self._http,
                url=self._url + path,
                method="GET",
                headers=HTTPHeaders(),
                body=None,
                timeout_s=timeout_s,
                on_head=lambda status, headers: None,
                on_bytes=on_bytes,
            )
        except ExchangeStoppedError:
            return _failure(path, f"more than {max_bytes} bytes")
        if isinstance(result, Failure):
            return _failure(path, result.failure().detail)
        status = result.unwrap()
        if status == HTTP_OK:
            return Success(bytes(body))
        kind = ErrorKind.NOT_FOUND if status == HTTP_NOT_FOUND else ErrorKind.PLATFORM_UNAVAILABLE
        return _failure(path, f"status {status}", kind)


def _failure(
    path: str, reason: str, kind: ErrorKind = ErrorKind.PLATFORM_UNAVAILABLE
) -> Failure[Error]:
    return Failure(Error(kind=kind, detail=f"store {path.partition('?')[0]}: {reason}"))
