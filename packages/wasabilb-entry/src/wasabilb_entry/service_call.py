"""A caller's request to a plain service, and where it may be sent."""

from attrs import define, frozen
from wasabilb_core.once import Key
from wasabilb_wire.messages import Header


@frozen(kw_only=True)
class ServiceCall:
    """A caller's request to a plain service."""

    service: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    key_text: str = ""
    key_created: str | None = None


@define(kw_only=True)
class ServiceTarget:
    """Host and key of a call."""

    host: str
    key: Key | None = None
    is_fresh: bool = False
    generation: int = 0

    def to_headers(self, call: ServiceCall) -> list[Header]:
        """Return the caller's headers with the key, for services that check it too."""
        if self.key is None:
            return call.headers
        return [*call.headers, Header(name="Idempotency-Key", value=self.key.text)]
