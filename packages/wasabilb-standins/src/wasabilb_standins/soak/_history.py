"""What was done to a fleet, and which processes it ended with."""

from attrs import define, frozen


@define(kw_only=True, eq=False)
class InjectedFault:
    """One injected fault.

    Parameters
    ----------
    host : str
        Host that it concerned; empty for the whole platform.
    begin, end : float
        Monotonic seconds; `end` is infinite while it lasts.
    excuses, after_s
        See `Fault`.
    """

    kind: str
    host: str
    begin: float
    end: float = float("inf")
    excuses: frozenset[str] = frozenset()
    after_s: float = 0.0

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether it or its consequences fall into a time."""
        return self.begin <= end and self.end + self.after_s >= begin


@define(kw_only=True, eq=False)
class LeavingPeriod:
    """A time in which a backend server was leaving."""

    host: str
    begin: float
    cause: str
    end: float = float("inf")


@frozen(kw_only=True)
class RunningProcess:
    """A process at the end: its name among the sightings, and since when it runs."""

    process: str
    since: float
