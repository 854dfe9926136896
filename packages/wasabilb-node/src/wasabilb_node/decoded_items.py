"""Decodes each published item once, and tells the version that its content names."""

from typing import TypeAlias

from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.published import StateItem
from wasabilb_core.runner_directory import Runner

from wasabilb_node.published_source import PublishedDecoder, Unusable

Decoded: TypeAlias = Catalog | Runner | WeightTarget | Unusable


class DecodedItems:
    """Decoder that keeps the value of the newest item of each name.

    An item is decoded when it is merged and used when it is applied.

    Parameters
    ----------
    decoder : PublishedDecoder
        Decodes published items.
    """

    def __init__(self, *, decoder: PublishedDecoder) -> None:
        self._decoder = decoder
        self._last: dict[str, tuple[StateItem, Decoded]] = {}

    def decode(self, item: StateItem) -> Decoded:
        """Return the decoded item, or why it cannot be used."""
        last = self._last.get(item.name)
        if last is None or last[0] is not item:
            last = self._last[item.name] = item, self._decode_new(item)
        return last[1]

    def runner_id(self, name: str) -> str | None:
        """Return the id of the runner that an item name refers to, if any."""
        return self._decoder.runner_id(name)

    def content_version(self, item: StateItem) -> int:
        """Return the version of a catalog or of named weights, 0 for any other item."""
        if item.body is None:
            self._last.pop(item.name, None)
            return 0
        value = self.decode(item)
        return value.version if isinstance(value, (Catalog, WeightTarget)) else 0

    def _decode_new(self, item: StateItem) -> Decoded:
        try:
            return self._decoder.decode(item)
        except Exception as exc:
            # The other changes that arrived with this one must still be applied.
            return Unusable(detail=f"the decoder failed: {type(exc).__name__}")
