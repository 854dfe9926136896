"""Baseline chunk policies: all hosts from the store, and a fixed tree."""

from wasabilb_core._overlay import Overlay
from wasabilb_core._transfer_view import ORIGIN, ChunkRequest, TransferView
from wasabilb_core.rendezvous import rank

TREE_WIDTH = 2


def _in_order_request(
    view: TransferView, source: str, offered: int, limit: int, now: float
) -> ChunkRequest | None:
    """Return the next missing chunk in order from one source."""
    chunk_source = view.source(source)
    available = view.missing & offered
    if (
        chunk_source is None
        or not available
        or chunk_source.in_flight >= limit
        or now < chunk_source.avoid_until
    ):
        return None
    return ChunkRequest(index=(available & -available).bit_length() - 1, source=source)


class OriginOnly:
    """Fetches every chunk from the store on every host."""

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return no hosts, as peers are not used."""
        return ()

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the next chunk in order."""
        return _in_order_request(view, ORIGIN, view.all_chunks, 1, now)

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return False, as peers are not used."""
        return False


class FixedTree:
    """A binary tree in a fixed order of all hosts; the root fetches from the store.

    A host whose parent is lost fetches from the store.
    """

    def __init__(self) -> None:
        self._overlay: Overlay | None = None
        self._own_position = 0
        self._order: list[str] = []

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the parent and the children."""
        position = self._tree_position(view)
        parent = [self._order[(position - 1) // TREE_WIDTH]] if position else []
        first = position * TREE_WIDTH + 1
        return tuple([*parent, *self._order[first : first + TREE_WIDTH]])

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the next chunk in order from the parent."""
        position = self._tree_position(view)
        parent = self._order[(position - 1) // TREE_WIDTH] if position else ORIGIN
        known = view.source(parent)
        is_lost = known is not None and not known.is_linked
        if parent == ORIGIN or is_lost:
            return _in_order_request(view, ORIGIN, view.all_chunks, 2, now)
        return _in_order_request(view, parent, known.have if known else 0, 2, now)

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether the peer is a child."""
        first = self._tree_position(view) * TREE_WIDTH + 1
        return peer in self._order[first : first + TREE_WIDTH]

    def _tree_position(self, view: TransferView) -> int:
        if self._overlay is not view.overlay:
            self._overlay = view.overlay
            self._order = rank(f"{view.overlay.key}:tree", view.overlay.hosts)
            self._own_position = self._order.index(view.host.name)
        return self._own_position
