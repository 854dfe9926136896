"""What a process asks of the platform that publishes state, and how it reads the items."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen
from returns.result import Result
from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.errors import Error
from wasabilb_core.published import StateItem
from wasabilb_core.runner_directory import Runner


@frozen(kw_only=True)
class Snapshot:
    """Everything that the platform publishes, read from `revision` on."""

    items: tuple[StateItem, ...]
    revision: int


@frozen(kw_only=True)
class Changes:
    """What changed after a revision; the history may end before that."""

    items: tuple[StateItem, ...]
    revision: int
    is_history_lost: bool = False


class PublishedDecoder(Protocol):
    """Reads published items into types of the product."""

    def decode(self, item: StateItem) -> Catalog | Runner | WeightTarget | None:
        """Return what an item says, None for what cannot be used."""

    def runner_id(self, name: str) -> str | None:
        """Return the runner that an item's name stands for, if it does."""


@frozen(kw_only=True)
class PublishedSource:
    """The platform's reading calls.

    Parameters
    ----------
    snapshot : callable
        Reads everything.
    changes : callable
        Waits for changes after a revision and returns them, none after a while.
    """

    snapshot: Callable[[], Awaitable[Result[Snapshot, Error]]]
    changes: Callable[[int], Awaitable[Result[Changes, Error]]]
