"""HTTP client that reads manifests and chunks from the weight store."""

from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.manifest import MAX_CHUNK_BYTES, Manifest, parse_manifest
from wasabilb_core.tickets import Variant

MANIFEST_TIMEOUT_S = 10.0
# The planner cancels unusually slow requests; this bound covers those that it cannot see.
CHUNK_TIMEOUT_S = 600.0
CONNECT_TIMEOUT_S = 3.0
HTTP_NOT_FOUND = 404


class StoreClient:
    """Client of the weight store.

    Parameters
    ----------
    url : str
        Base URL of the store.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._http = AsyncHTTPClient(force_instance=True, max_body_size=MAX_CHUNK_BYTES)

    async def manifest(self, variant: Variant) -> Result[Manifest, Error]:
        """Return the manifest of a variant; one that names another variant is refused."""
        path = f"/v1/manifests/{variant.model}/{variant.version}"
        query = f"?adapter={variant.adapter}" if variant.adapter else ""
        body = await self._get(path + query, MANIFEST_TIMEOUT_S)
        if isinstance(body, Failure):
            return body
        result = parse_manifest(body.unwrap())
        if isinstance(result, Success) and result.unwrap().variant != variant:
            detail = f"the manifest of {variant} names {result.unwrap().variant}"
            return Failure(Error(kind=ErrorKind.BAD_MANIFEST, detail=detail))
        return result

    async def chunk(self, manifest: Manifest, index: int) -> Result[bytes, Error]:
        """Return a chunk, unverified; `NOT_FOUND` when the store does not have it."""
        return await self._get(f"/v1/chunks/{manifest.chunks[index]}", CHUNK_TIMEOUT_S)

    def close(self) -> None:
        """Release the client."""
        self._http.close()

    async def _get(self, path: str, timeout_s: float) -> Result[bytes, Error]:
        try:
            response = await self._http.fetch(
                self._url + path, connect_timeout=CONNECT_TIMEOUT_S, request_timeout=timeout_s
            )
        except (HTTPClientError, OSError, ValueError) as exc:
            is_missing = isinstance(exc, HTTPClientError) and exc.code == HTTP_NOT_FOUND
            kind = ErrorKind.NOT_FOUND if is_missing else ErrorKind.PLATFORM_UNAVAILABLE
            return Failure(Error(kind=kind, detail=f"store {path.partition('?')[0]}: {exc}"))
        return Success(response.body)
