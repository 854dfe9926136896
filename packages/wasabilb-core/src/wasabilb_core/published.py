"""State that the platform publishes as named items, replicated to every process.

Each item carries the revision of its last change, from one counter. Merging keeps the highest
revision of each item, so updates may come from the platform or from any peer, in any order and
more than once. A process that knows all items up to revision R requests the changes after R.
"""

from collections.abc import Iterable

from attrs import frozen


@frozen(kw_only=True)
class StateItem:
    """One published item.

    Parameters
    ----------
    name : str
        Its key.
    revision : int
        Revision of its last change.
    body : bytes or None
        Its content; None for a removed item.
    """

    name: str
    revision: int
    body: bytes | None


class PublishedState:
    """The newest known revision of each item, including removed ones."""

    def __init__(self) -> None:
        self._items: dict[str, StateItem] = {}
        self._revision = 0
        # Removals up to this revision may be unknown.
        self._removals_known_from = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which every item is known; 0 before the first snapshot."""
        return self._revision

    def on_snapshot(self, items: Iterable[StateItem], revision: int) -> list[StateItem]:
        """Merge a complete snapshot and return the changed items.

        Parameters
        ----------
        items : iterable of StateItem
            All existing items.
        revision : int
            Revision of the platform before the snapshot was read. Items that are missing from it
            and have no later change were removed.
        """
        listed = {item.name: item for item in items}
        removed = [
            StateItem(name=name, revision=revision, body=None)
            for name, item in self._items.items()
            if name not in listed and item.body is not None and item.revision <= revision
        ]
        changed = self._merge([*listed.values(), *removed], revision)
        self._removals_known_from = max(self._removals_known_from, revision)
        return changed

    def on_changes(
        self, items: Iterable[StateItem], *, after: int, revision: int
    ) -> list[StateItem]:
        """Merge all changes after one revision up to another and return the changed items.

        The known revision advances only when no change in between can be missing.
        """
        is_first = self._revision == 0
        changed = self._merge(items, revision if after <= self._revision else self._revision)
        if is_first:
            self._removals_known_from = self._revision
        return changed

    def changes_after(self, revision: int) -> list[StateItem]:
        """Return the items whose last change is newer than a revision."""
        return [item for item in self._items.values() if item.revision > revision]

    def complete_after(self, revision: int) -> int:
        """Return the revision after which `changes_after` includes all relevant removals.

        A reader without items has nothing to remove. One with items from before the start of this
        state may miss their removal.
        """
        return revision if revision == 0 else max(revision, self._removals_known_from)

    def _merge(self, items: Iterable[StateItem], revision: int) -> list[StateItem]:
        changed = []
        for item in items:
            current = self._items.get(item.name)
            if current is None or item.revision > current.revision:
                self._items[item.name] = item
                changed.append(item)
        self._revision = max(self._revision, revision)
        return sorted(changed, key=lambda item: item.revision)
