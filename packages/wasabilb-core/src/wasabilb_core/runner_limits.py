"""Limits that runners name for the requests of all entry processes together."""

from enum import Enum, unique

from attrs import define

from wasabilb_core.named_limit import NamedLimit
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_presence import Incarnation


@unique
class LimitChange(Enum):
    """Effect of an answer on the limit of its runner."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"
    UNREADABLE = "unreadable"


@define(kw_only=True)
class _RunnerLimit:
    """Limit of one incarnation of a runner."""

    incarnation: Incarnation
    per_s: float


class RunnerLimits:
    """Tracks the limits that runners name, by identifier and incarnation."""

    def __init__(self) -> None:
        self._limits: dict[str, _RunnerLimit] = {}

    def on_answer(self, runner: Runner, limit: NamedLimit | None) -> LimitChange | None:
        """Apply an answer of a runner and return what it changes, None for nothing.

        An answer without a limit ends it. An unreadable one is no limit, but does not end one.
        """
        known = self.per_s(runner)
        if limit is None:
            return LimitChange.ENDED if self._limits.pop(runner.id, None) is not None else None
        if limit.per_s is None:
            return LimitChange.UNREADABLE
        if limit.per_s == known:
            return None
        self._limits[runner.id] = _RunnerLimit(incarnation=runner.incarnation, per_s=limit.per_s)
        return LimitChange.NAMED if known is None else LimitChange.CHANGED

    def per_s(self, runner: Runner) -> float | None:
        """Return the limit of a runner in requests per second, None without one."""
        known = self._limits.get(runner.id)
        if known is None or known.incarnation != runner.incarnation:
            return None
        return known.per_s

    def forget(self, runner_id: str) -> None:
        """Drop a runner that is gone."""
        self._limits.pop(runner_id, None)
