"""Registry of named policy implementations that settings select."""

import difflib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind

T = TypeVar("T")


class Registry(Generic[T]):
    """Mapping from names to factories of one kind of policy.

    Parameters
    ----------
    kind : str
        Kind of the entries, for error messages.
    """

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, Callable[..., T]] = {}

    def register(self, name: str) -> Callable[[Callable[..., T]], Callable[..., T]]:
        """Return a decorator that adds a factory under a name."""

        def add(factory: Callable[..., T]) -> Callable[..., T]:
            if name in self._factories:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return add

    def create(self, name: str, **options: Any) -> Result[T, Error]:
        """Create the entry with this name, or fail with the closest known name."""
        factory = self._factories.get(name)
        if factory is None:
            near = difflib.get_close_matches(name, self._factories, n=1)
            hint = f", did you mean {near[0]!r}" if near else ""
            known = ", ".join(self.names())
            return Failure(
                Error(
                    kind=ErrorKind.BAD_SETTINGS,
                    detail=f"unknown {self._kind} {name!r}{hint}; known: {known}",
                )
            )
        return Success(factory(**options))

    def names(self) -> tuple[str, ...]:
        """Return the known names in sorted order."""
        return tuple(sorted(self._factories))
