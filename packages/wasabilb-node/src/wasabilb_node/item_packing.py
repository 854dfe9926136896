"""Published items in the form in which processes send them to each other."""

import zlib

from wasabilb_core.published import StateItem
from wasabilb_wire.messages import PublishedItem

# Bodies from this size on are compressed, bytes. A catalog of 1,400 routes has 0.4 MB of text; the
# reader of a failure domain sends it to some 25 peers over a link of 20 Mbit/s.
PACKED_FROM = 1024
# The fastest level takes 5 ms for such a catalog and leaves a tenth of it.
LEVEL = 1
# Longest body, bytes; the platform's own bound is 1 MiB.
MAX_BODY_BYTES = 4 << 20


class ItemPacker:
    """Packs items, each revision once."""

    def __init__(self) -> None:
        self._packed: dict[str, PublishedItem] = {}

    def pack(self, item: StateItem) -> PublishedItem:
        """Return the message form of an item."""
        found = self._packed.get(item.name)
        if found is None or found.revision != item.revision:
            found = self._packed[item.name] = _pack(item)
        return found


def _pack(item: StateItem) -> PublishedItem:
    body = item.body or b""
    is_packed = len(body) >= PACKED_FROM
    return PublishedItem(
        name=item.name,
        revision=item.revision,
        is_removed=item.body is None,
        body=zlib.compress(body, LEVEL) if is_packed else body,
        is_packed=is_packed,
    )


def unpack(found: PublishedItem) -> StateItem:
    """Return the item of a message.

    Raises
    ------
    ValueError
        When the body cannot be unpacked or is too long; the link is closed.
    """
    body: bytes | None = None if found.is_removed else found.body
    if body is not None and found.is_packed:
        unpacker = zlib.decompressobj()
        try:
            body = unpacker.decompress(body, MAX_BODY_BYTES)
        except zlib.error as exc:
            raise ValueError(f"item {found.name}: {exc}") from exc
        if not unpacker.eof:
            raise ValueError(f"item {found.name} is cut off or above {MAX_BODY_BYTES} bytes")
    return StateItem(name=found.name, revision=found.revision, body=body)
