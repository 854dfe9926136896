"""Interfaces to the platform that publishes state: read calls and the item decoder."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen
from returns.result import Result
from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.errors import Error
from wasabilb_core.published import StateItem
from wasabilb_core.runner_directory import Runner
from wasabilb_core.state_position import StatePosition


@frozen(kw_only=True)
class Snapshot:
    """All published items; changes after `revision` may be missing.

    `era` is that of the store, None if it named none.
    """

    items: tuple[StateItem, ...]
    revision: int
    era: int | None = None


@frozen(kw_only=True)
class Changes:
    """The items that changed after a revision, unless the history no longer reaches back to it.

    `era` is that of the store, None if it named none. In a later era than that of the revision the
    items are not all that changed.
    """

    items: tuple[StateItem, ...]
    revision: int
    is_history_lost: bool = False
    era: int | None = None


@frozen(kw_only=True)
class Unusable:
    """Content of a published item that cannot be used.

    Parameters
    ----------
    detail : str
        What is wrong, with the path of the value; short whatever the content is.
    """

    detail: str


class PublishedDecoder(Protocol):
    """Decodes published items into the types of the core."""

    def decode(self, item: StateItem) -> Catalog | Runner | WeightTarget | Unusable:
        """Return the decoded item, or why it cannot be used."""

    def runner_id(self, name: str) -> str | None:
        """Return the id of the runner that an item name refers to, if any."""


@frozen(kw_only=True)
class PublishedSource:
    """The read calls of the platform.

    Parameters
    ----------
    snapshot : callable
        Reads all items.
    changes : callable
        Waits for changes after a revision and returns them, none after a timeout.
    position : callable or None
        Returns at once the position up to which the platform has published; None if there is no
        such call.
    """

    snapshot: Callable[[], Awaitable[Result[Snapshot, Error]]]
    changes: Callable[[int], Awaitable[Result[Changes, Error]]]
    position: Callable[[], Awaitable[Result[StatePosition, Error]]] | None = None
