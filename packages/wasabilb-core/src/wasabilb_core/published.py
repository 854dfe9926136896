"""State that the platform publishes under names, held alike by every process.

Each item carries the revision of its last change, from one counter. Merging keeps the highest
revision of each item, so updates may come from the platform or from any peer, in any order and
more than once. A process that knows everything up to revision R asks for what changed after R.
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
        Its content; None when it was removed.
    """

    name: str
    revision: int
    body: bytes | None


class PublishedState:
    """The newest known revision of each item, removed ones included."""

    def __init__(self) -> None:
        self._items: dict[str, StateItem] = {}
        self._revision = 0
        # Removals up to this revision may be unknown here.
        self._removals_known_from = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which every item is known; 0 before the first reading."""
        return self._revision

    def on_snapshot(self, items: Iterable[StateItem], revision: int) -> list[StateItem]:
        """Take a complete reading and return what changed.

        Parameters
        ----------
        items : iterable of Item
            Everything that exists.
        revision : int
            Revision of the platform before the reading began. Items that are missing from the
            reading and that changed no later were removed.
        """
        listed = {item.name: item for item in items}
        gone = [
            StateItem(name=name, revision=revision, body=None)
            for name, item in self._items.items()
            if name not in listed and item.body is not None and item.revision <= revision
        ]
        changed = self._merge([*listed.values(), *gone], revision)
        self._removals_known_from = max(self._removals_known_from, revision)
        return changed

    def on_changes(
        self, items: Iterable[StateItem], *, after: int, revision: int
    ) -> list[StateItem]:
        """Take all changes after one revision up to another and return what is new.

        The known revision moves on only when nothing between can be missing.
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
        """Return the revision after which `changes_after` lacks no removal that matters.

        A reader that knows nothing has nothing to remove. One that knows items from before the
        beginning of this state may miss their removal.
        """
        return revision if revision == 0 else max(revision, self._removals_known_from)

    def _merge(self, items: Iterable[StateItem], revision: int) -> list[StateItem]:
        changed = []
        for item in items:
            known = self._items.get(item.name)
            if known is None or item.revision > known.revision:
                self._items[item.name] = item
                changed.append(item)
        self._revision = max(self._revision, revision)
        return sorted(changed, key=lambda item: item.revision)
