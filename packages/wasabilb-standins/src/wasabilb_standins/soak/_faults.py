"""Base class and registry of the faults."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from wasabilb_core.registry import Registry

if TYPE_CHECKING:
    from wasabilb_standins.soak._testbed import Testbed

ENTRY, RUNNER, SERVICE = "entry", "runner", "service"
ALL_ROLES = (ENTRY, RUNNER, SERVICE)
CALLS, TICKETS, HOST_LISTS = "calls", "tickets", "host lists"


class Fault:
    """Kind of fault.

    Parameters
    ----------
    roles : tuple of str
        Roles of hosts that it may affect; none for a fault of the platform.
    duration_range_s : tuple of float
        Range of its duration, in seconds.
    weight : float
        Relative frequency in plans.
    excuses : frozenset of str
        Failures that it excuses while it lasts: `CALLS` may break, `TICKETS` and
        `HOST_LISTS` may be late.
    after_s : float
        Duration of its consequences after its end, in seconds.
    """

    name: ClassVar[str] = ""
    roles: ClassVar[tuple[str, ...]] = ALL_ROLES
    duration_range_s: ClassVar[tuple[float, float]] = (0.5, 4.0)
    weight: ClassVar[float] = 1.0
    excuses: ClassVar[frozenset[str]] = frozenset({CALLS, TICKETS})
    after_s: ClassVar[float] = 0.0

    async def begin(self, testbed: "Testbed", host: Any) -> None:
        """Inject the fault; `host` is a `LocalHost`, None for a fault of the platform."""
        raise NotImplementedError

    async def end(self, testbed: "Testbed", host: Any) -> None:
        """End the fault."""


FAULTS: Registry[Fault] = Registry(kind="fault")


def fault(name: str) -> Callable[[type[Fault]], type[Fault]]:
    """Return a decorator that names and registers a fault."""

    def add(cls: type[Fault]) -> type[Fault]:
        cls.name = name
        FAULTS.register(name)(cls)
        return cls

    return add
