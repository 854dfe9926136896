"""Limits that runners name for the requests of all entry processes together.

A limit belongs to one incarnation of a runner. It starts and changes with an answer that names it
and ends with one that does not. Entry processes tell each other what they hear, as one that has no
part of a limit gets no answers; the newest answer that any of them received counts.
"""

import math
from collections.abc import Iterable, Iterator
from enum import Enum, unique

from attrs import define, frozen

from wasabilb_core.lent_limits import LentLimits
from wasabilb_core.named_limit import NamedLimit
from wasabilb_core.runner_directory import Runner

# Smallest limit in force, requests per second: a runner that names 0 gets a request now and then,
# since only its answers tell when the limit ends.
MIN_LIMIT_PER_S = 1 / 30
# Time for which the end of a limit is told, seconds; several messages may be lost.
ENDED_TOLD_S = 10.0
# Interval at which an unreadable value of one runner is told again, seconds: all its answers may
# have it.
UNREADABLE_REPEAT_S = 60.0
# Time for which the limit of a runner that is gone is kept, seconds: its entry may be listed again,
# at the latest after an outage of the platform.
GONE_KEPT_S = 60.0


@unique
class LimitChange(Enum):
    """Effect of an answer, or of what a peer heard, on the limit of a runner."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"
    UNREADABLE = "unreadable"


@frozen(kw_only=True)
class LimitNews:
    """What an entry process tells its peers of a runner's limit.

    Parameters
    ----------
    runner : str
        Identifier of the runner.
    born_ms : int
        Its incarnation.
    per_s : float
        Requests per second; negative if the limit has ended.
    age_s : float
        Time since the newest answer that said so, seconds.
    """

    runner: str
    born_ms: int
    per_s: float
    age_s: float


@define(kw_only=True)
class _KnownLimit:
    """Newest knowledge of the limit of one incarnation; `per_s` is None once it has ended."""

    runner: str
    born_ms: int
    heard_at: float
    per_s: float | None = None
    named_at: float = -math.inf
    gone_at: float = math.inf

    @property
    def name(self) -> str:
        return _name(self.runner, self.born_ms)


class RunnerLimits:
    """Tracks the limits that runners name and the requests that may be sent within them.

    Parameters
    ----------
    host : str
        Address of this entry process.

    Attributes
    ----------
    lent : LentLimits
        This process's part in the limits.
    """

    def __init__(self, *, host: str) -> None:
        self.lent = LentLimits(host=host)
        self._known: dict[str, _KnownLimit] = {}
        # Times at which unreadable values were last told, by incarnation.
        self._unreadable_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.lent)

    def on_answer(self, runner: Runner, limit: NamedLimit | None, now: float) -> LimitChange | None:
        """Apply an answer of a runner and return what it changes, None for nothing.

        An unreadable value is no limit, but does not end one. It is returned once in
        `UNREADABLE_REPEAT_S`.
        """
        if limit is not None and limit.per_s is None:
            return self._on_unreadable(_name(runner.id, runner.born_ms), now)
        for known in self._known.values():
            if known.runner == runner.id and known.born_ms != runner.born_ms:
                known.gone_at = min(known.gone_at, now)
        per_s = None if limit is None else limit.per_s
        change = self._on_heard(runner.id, runner.born_ms, per_s, now, now)
        answered = self._known.get(_name(runner.id, runner.born_ms))
        if answered is not None:
            answered.gone_at = math.inf
        return change

    def on_news(self, news: LimitNews, now: float) -> LimitChange | None:
        """Apply what a peer heard and return what it changes, None for nothing."""
        if not (math.isfinite(news.per_s) and news.age_s >= 0):
            return None
        per_s = news.per_s if news.per_s >= 0 else None
        return self._on_heard(news.runner, news.born_ms, per_s, now - news.age_s, now)

    def news(self, now: float) -> list[LimitNews]:
        """Return what to tell peers, and drop what no longer matters."""
        for known in list(self._known.values()):
            is_told = known.per_s is not None or now - known.heard_at <= ENDED_TOLD_S
            if not is_told or now - known.gone_at > GONE_KEPT_S:
                self.lent.remove(known.name)
                del self._known[known.name]
        return [
            LimitNews(
                runner=known.runner,
                born_ms=known.born_ms,
                per_s=-1.0 if known.per_s is None else known.per_s,
                age_s=now - known.heard_at,
            )
            for known in self._known.values()
        ]

    def per_s(self, runner: Runner) -> float | None:
        """Return the limit of a runner in requests per second, None without one."""
        known = self._limit_of(runner)
        return known.per_s if known is not None else None

    def on_demand(self, runners: Iterable[Runner], now: float) -> None:
        """Record a request that any of some runners could serve."""
        for known in self._limits_of(runners):
            self.lent.on_demand(known.name, now)

    def permits(self, runner: Runner) -> float:
        """Return the requests that may be sent to a runner now, infinite without a limit."""
        known = self._limit_of(runner)
        return math.inf if known is None else self.lent.permits(known.name)

    def wait_s(self, runner: Runner, now: float) -> float:
        """Return the expected seconds until a request may be sent to a runner."""
        known = self._limit_of(runner)
        if known is None or self.lent.permits(known.name) >= 1:
            return 0.0
        return self.lent.pause_s(known.name, 1.0, now)

    def on_placed(self, runner: Runner, now: float) -> None:
        """Use a permit for a request that is about to be sent."""
        known = self._limit_of(runner)
        if known is not None:
            self.lent.take(known.name, now)

    def confirm(self, runner: Runner, placed_at: float, now: float) -> bool:
        """Return whether a request that was placed before may still be sent.

        A limit that was named after it was placed needs a permit now.
        """
        known = self._limit_of(runner)
        if known is None or known.named_at <= placed_at:
            return True
        return self.lent.take(known.name, now)

    def on_unsent(self, runner: Runner, placed_at: float) -> None:
        """Return the permit of a request that was placed and not sent."""
        known = self._limit_of(runner)
        if known is not None and known.named_at <= placed_at:
            self.lent.put_back(known.name)

    def forget(self, runner_id: str, now: float) -> None:
        """Note that a runner is gone; its entry may be listed again."""
        for known in self._known.values():
            if known.runner == runner_id:
                known.gone_at = now

    def _on_unreadable(self, name: str, now: float) -> LimitChange | None:
        if now - self._unreadable_at.get(name, -math.inf) < UNREADABLE_REPEAT_S:
            return None
        self._unreadable_at = {
            n: at for n, at in self._unreadable_at.items() if now - at < UNREADABLE_REPEAT_S
        }
        self._unreadable_at[name] = now
        return LimitChange.UNREADABLE

    def _on_heard(
        self, runner: str, born_ms: int, per_s: float | None, heard_at: float, now: float
    ) -> LimitChange | None:
        name = _name(runner, born_ms)
        known = self._known.get(name)
        if known is None:
            if per_s is None:
                return None
            known = _KnownLimit(runner=runner, born_ms=born_ms, heard_at=-math.inf)
            self._known[name] = known
        if heard_at <= known.heard_at:
            return None
        before, known.per_s, known.heard_at = known.per_s, per_s, heard_at
        if per_s is None:
            self.lent.remove(name)
            return LimitChange.ENDED if before is not None else None
        if before is None:
            known.named_at = now
        self.lent.set_limit(name, max(per_s, MIN_LIMIT_PER_S), now)
        if before == per_s:
            return None
        return LimitChange.NAMED if before is None else LimitChange.CHANGED

    def _limit_of(self, runner: Runner) -> _KnownLimit | None:
        known = self._known.get(_name(runner.id, runner.born_ms)) if self._known else None
        return known if known is not None and known.per_s is not None else None

    def _limits_of(self, runners: Iterable[Runner]) -> Iterator[_KnownLimit]:
        for runner in runners if self._known else ():
            known = self._limit_of(runner)
            if known is not None:
                yield known


def _name(runner_id: str, born_ms: int) -> str:
    return f"{runner_id}@{born_ms}"
