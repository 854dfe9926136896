"""The registry of faults, and what a fault may use."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from wasabilb_core.registry import Registry

if TYPE_CHECKING:
    from wasabilb_standins.soak._testbed import Testbed

ENTRY, RUNNER, SERVICE = "entry", "runner", "service"
ALL_ROLES = (ENTRY, RUNNER, SERVICE)
CALLS, TICKETS = "calls", "tickets"


class Fault:
    """One kind of fault.

    Parameters
    ----------
    roles : tuple of str
        Roles of hosts that it may concern; none for a fault of the platform.
    lasts_s : tuple of float
        Range of the seconds from its beginning to its end.
    weight : float
        How often it is drawn, in relation to the others.
    excuses : frozenset of str
        What may go wrong while it lasts: `CALLS` may break, `TICKETS` may be late.
    after_s : float
        Seconds after its end for which its consequences last.
    """

    name: ClassVar[str] = ""
    roles: ClassVar[tuple[str, ...]] = ALL_ROLES
    lasts_s: ClassVar[tuple[float, float]] = (0.5, 4.0)
    weight: ClassVar[float] = 1.0
    excuses: ClassVar[frozenset[str]] = frozenset({CALLS, TICKETS})
    after_s: ClassVar[float] = 0.0

    async def begin(self, testbed: "Testbed", host: Any) -> None:
        """Inject the fault; `host` is a `LocalHost`, None for a fault of the platform."""
        raise NotImplementedError

    async def end(self, testbed: "Testbed", host: Any) -> None:
        """Take the fault back."""


FAULTS: Registry[Fault] = Registry(kind="fault")


def fault(name: str) -> Callable[[type[Fault]], type[Fault]]:
    """Return a decorator that names a fault and adds it to the registry."""

    def add(cls: type[Fault]) -> type[Fault]:
        cls.name = name
        FAULTS.register(name)(cls)
        return cls

    return add
