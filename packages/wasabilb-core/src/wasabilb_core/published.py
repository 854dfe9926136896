"""State that the platform publishes as named items, replicated to every process.

Each item carries the position of its last change. Merging is a join: it keeps the newest
publication of each item, so updates may come from the platform or from any peer, in any order and
more than once. A process that knows all items up to a position requests the changes after it.

The store may come back from a copy in a later era, without what was written since. A later era
replaces what is known, except for content with a version of its own: an item whose content has a
higher version than the copy shows is retained until it is published again.
"""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from wasabilb_core.read_times import ReadTimes
from wasabilb_core.state_position import START, StatePosition


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
    era : int
        Era of the store in which it was read.
    """

    name: str
    revision: int
    body: bytes | None
    era: int = 0

    @property
    def position(self) -> StatePosition:
        """Return the position of its last change."""
        return StatePosition(era=self.era, revision=self.revision)


@define(kw_only=True)
class _PartialList:
    """Batches of a peer's list of all that exists in an era, up to a position."""

    era: int
    upto: StatePosition
    # A broken answer is sent again, and peers may retain different publications of an item.
    items: dict[tuple[str, StatePosition], StateItem] = field(factory=dict)


class PublishedState:
    """The newest known publication of each item, including removed ones.

    Parameters
    ----------
    content_version : callable or None
        Returns the version that the content of an item names, 0 for content without one or that
        cannot be used.
    """

    def __init__(self, *, content_version: Callable[[StateItem], int] | None = None) -> None:
        self._content_version = content_version or (lambda item: 0)
        self._items: dict[str, StateItem] = {}
        self._versions: dict[str, int] = {}
        self._position = START
        # Publications of this era up to this position may have been made before it began.
        self._era_began = START
        # Removals up to this position may be unknown.
        self._removals_known_from = START
        self._partial_list: _PartialList | None = None
        # When this process itself read the platform.
        self.read_times = ReadTimes()

    @property
    def position(self) -> StatePosition:
        """Return the position up to which every item is known."""
        return self._position

    @property
    def revision(self) -> int:
        """Return the revision of `position`; 0 before the first snapshot."""
        return self._position.revision

    def is_copied(self, position: StatePosition) -> bool:
        """Return whether a publication may be older than the era in which it was read."""
        return position <= self._era_began

    def retained(self) -> list[StateItem]:
        """Return the items whose content is newer than what the store shows in this era."""
        return [
            item
            for item in self._items.values()
            if item.era < self._position.era and item.body is not None
        ]

    def on_snapshot(self, items: Iterable[StateItem], position: StatePosition) -> list[StateItem]:
        """Merge a complete snapshot and return the changed items.

        Parameters
        ----------
        items : iterable of StateItem
            All existing items.
        position : StatePosition
            Position of the platform before the snapshot was read. Items that are missing from it
            and have no later change were removed. A snapshot of an earlier era changes nothing.
        """
        if position.era < self._position.era:
            return []
        listed = list(items)
        # A peer also sends what it retains of earlier eras, which does not exist in this one.
        names = {item.name for item in listed if item.era == position.era}
        removed = [
            StateItem(name=name, revision=position.revision, era=position.era, body=None)
            for name, item in self._items.items()
            if name not in names and item.body is not None and item.position <= position
        ]
        self._partial_list = None
        if position.era > self._position.era:
            self._era_began = position
        self._position = max(self._position, position)
        self._removals_known_from = max(self._removals_known_from, position)
        return self._merge([*listed, *removed])

    def on_changes(
        self,
        items: Iterable[StateItem],
        *,
        after: StatePosition,
        position: StatePosition,
        is_last: bool = True,
    ) -> list[StateItem]:
        """Merge all changes after one position up to another and return the changed items.

        The known position advances only when no change in between can be missing. Changes after a
        position of an earlier era are a list of all that exists in the later one, and are merged
        when the last of them has arrived.

        Parameters
        ----------
        is_last : bool
            Whether the changes are all that the sender knows, and not one of several batches.
        """
        if after.era < position.era or self._continues_list(after, position):
            return self._on_list(items, after, position, is_last=is_last)
        is_first = self._position.is_start
        if after <= self._position:
            self._position = max(self._position, position)
        if is_first:
            self._removals_known_from = self._position
        return self._merge(items)

    def changes_after(self, position: StatePosition) -> tuple[list[StateItem], StatePosition]:
        """Return the changes for a peer that knows all items up to a position.

        Returns
        -------
        list of StateItem
            The items whose last change is later, in order.
        StatePosition
            Position after which they include all relevant removals. If it is of an earlier era
            than that of this state, they are a list: an item that it lacks was removed. It is later
            than the requested one if removals from before the start of this state may be missing.
        """
        begin = position
        if not position.is_start and position.era == self._position.era:
            is_known = position >= self._removals_known_from
            # A build that knows eras receives a list instead of changes that lack removals.
            if not is_known and position.era:
                begin = position = START
            elif not is_known:
                begin = self._removals_known_from
        items = [item for item in self._items.values() if item.position > position]
        return sorted(items, key=lambda item: item.position), begin

    def _continues_list(self, after: StatePosition, position: StatePosition) -> bool:
        partial = self._partial_list
        return partial is not None and partial.era == position.era and after == partial.upto

    def _on_list(
        self,
        items: Iterable[StateItem],
        after: StatePosition,
        position: StatePosition,
        *,
        is_last: bool,
    ) -> list[StateItem]:
        """Collect the batches of a list, and merge it as a snapshot when all have arrived."""
        if position.era < self._position.era:
            return self._merge(items)
        if after.era < position.era:
            self._partial_list = _PartialList(era=position.era, upto=after)
        partial = self._partial_list
        if partial is None:
            return []
        partial.items |= {(item.name, item.position): item for item in items}
        partial.upto = max(partial.upto, position)
        return self.on_snapshot(partial.items.values(), position) if is_last else []

    def _merge(self, items: Iterable[StateItem]) -> list[StateItem]:
        changed = []
        for item in items:
            current = self._items.get(item.name)
            if current is not None and current.position == item.position:
                continue
            version = self._content_version(item) if item.body is not None else 0
            if version == 0 and item.era < self._position.era:
                # The later era replaces content without a version.
                continue
            held = self._versions.get(item.name, 0)
            if current is None or (version, item.position) > (held, current.position):
                self._items[item.name], self._versions[item.name] = item, version
                changed.append(item)
        return sorted(changed, key=lambda item: item.position)
