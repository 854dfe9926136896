"""Records of injected faults, leaving backend servers and the final processes of a run."""

from attrs import define, frozen


@define(kw_only=True, eq=False)
class InjectedFault:
    """Injected fault.

    Parameters
    ----------
    host : str
        Affected host; empty for the whole platform.
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
        """Return whether the fault or its consequences overlap an interval."""
        return self.begin <= end and self.end + self.after_s >= begin


@define(kw_only=True, eq=False)
class LeavingPeriod:
    """Time during which a backend server was leaving."""

    host: str
    begin: float
    cause: str
    end: float = float("inf")


@frozen(kw_only=True)
class RunningProcess:
    """Process at the end of a run: its name in the sightings, and its start time."""

    process: str
    since: float
