"""Crashes of runners and the parts of prompts that were there, indexed by part."""

import math
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from wasabilb_core.crash_reports import CrashReport

# Time for which a crash counts, seconds: several times the pause between requests of a rare kind.
CRASH_KEPT_S = 600.0
# Crashes that are kept; a fleet has 600 runners, and a part is known after a few of them.
MAX_CRASHES = 256
# Suspected parts that are kept. Callers decide how many parts their prompts have.
MAX_SUSPECTS = 4096
# Weights of a crash for a part whose answer had started, and for any other part that was there.
STARTED_WEIGHT = 2
WAITING_WEIGHT = 1


@frozen(kw_only=True)
class RunnerIncarnation:
    """One incarnation of a runner, as reports name it."""

    runner: str
    born_ms: int


@define(kw_only=True, eq=False)
class Crash:
    """One crash, with what all reports on it tell."""

    incarnation: RunnerIncarnation
    at: float
    started: set[int] = field(factory=set)
    waiting: set[int] = field(factory=set)
    probes: set[int] = field(factory=set)
    # Parts that were there and are not suspected any more; a repeated report changes nothing.
    dismissed: set[int] = field(factory=set)

    @property
    def parts(self) -> set[int]:
        """Return all parts that were there."""
        return self.started | self.waiting

    def weight(self, part: int) -> int:
        """Return the weight of the crash as evidence against a part."""
        return STARTED_WEIGHT if part in self.started else WAITING_WEIGHT

    def to_report(self, now: float) -> CrashReport:
        """Return the crash as a report."""
        return CrashReport(
            runner=self.incarnation.runner,
            born_ms=self.incarnation.born_ms,
            age_s=max(0.0, now - self.at),
            started=sorted(self.started),
            waiting=sorted(self.waiting - self.started),
            probes=sorted(self.probes),
        )


class CrashEvidence:
    """Crashes by incarnation and by part; bounded in number and time."""

    def __init__(self) -> None:
        self._crashes: dict[RunnerIncarnation, Crash] = {}
        self._by_part: dict[int, dict[RunnerIncarnation, Crash]] = {}

    def __contains__(self, part: int) -> bool:
        return part in self._by_part

    def __len__(self) -> int:
        return len(self._by_part)

    def __iter__(self) -> Iterator[Crash]:
        return iter(self._crashes.values())

    def crashes(self, part: int) -> list[Crash]:
        """Return the crashes under a part."""
        return list(self._by_part.get(part, {}).values())

    def score(self, part: int) -> int:
        """Return the summed weight of the crashes under a part."""
        return sum(crash.weight(part) for crash in self.crashes(part))

    def add(self, report: CrashReport, ignored: Iterable[int], now: float) -> list[int]:
        """Merge a report and return the parts about which it tells something new."""
        key = RunnerIncarnation(runner=report.runner, born_ms=report.born_ms)
        at = now - report.age_s
        if not math.isfinite(at) or at > now or now - at > CRASH_KEPT_S:
            return []
        left_out = set(ignored)
        crash = self._crashes.get(key)
        if crash is None:
            crash = self._crashes[key] = Crash(incarnation=key, at=at)
        crash.at = min(crash.at, at)
        changed: list[int] = []
        for own, told in (
            (crash.started, report.started),
            (crash.waiting, report.waiting),
            (crash.probes, set(report.probes) & {*report.started, *report.waiting}),
        ):
            new = set(told) - left_out - own - crash.dismissed
            own |= new
            changed += new
        for part in changed:
            self._by_part.setdefault(part, {})[key] = crash
        self._drop_excess(now)
        return [part for part in dict.fromkeys(changed) if part in self._by_part]

    def remove_part(self, part: int) -> bool:
        """Remove a part from all crashes; return whether it was suspected."""
        crashes = self._by_part.pop(part, {})
        for crash in crashes.values():
            crash.dismissed.add(part)
            for parts in (crash.started, crash.waiting, crash.probes):
                parts.discard(part)
        return bool(crashes)

    def expire(self, now: float) -> None:
        """Remove the crashes that no longer count."""
        for crash in [c for c in self._crashes.values() if now - c.at > CRASH_KEPT_S]:
            self._remove_crash(crash)

    def is_explained(self, part: int, other: int) -> bool:
        """Return whether another part was in all crashes under a part, and in further ones."""
        crashes = self._by_part.get(part, {}).keys()
        return bool(crashes) and crashes < self._by_part.get(other, {}).keys()

    def parts_by_score(self, least: int) -> list[int]:
        """Return the suspected parts with at least some score."""
        return [part for part in self._by_part if self.score(part) >= least]

    def companions(self, part: int) -> frozenset[int]:
        """Return the other suspected parts that were in all crashes under a part."""
        found = [crash.parts for crash in self.crashes(part)]
        return frozenset(set.intersection(*found) - {part}) if found else frozenset()

    def _drop_excess(self, now: float) -> None:
        if len(self._crashes) > MAX_CRASHES:
            self.expire(now)
        for crash in list(self._crashes.values())[: max(0, len(self._crashes) - MAX_CRASHES)]:
            self._remove_crash(crash)
        if len(self._by_part) > MAX_SUSPECTS:
            # A part that crashes runners is in several crashes, an invented one only in one.
            by_score = sorted(self._by_part, key=self.score)
            for part in by_score[: len(self._by_part) - MAX_SUSPECTS]:
                self.remove_part(part)

    def _remove_crash(self, crash: Crash) -> None:
        del self._crashes[crash.incarnation]
        for part in crash.parts | crash.probes:
            crashes = self._by_part.get(part, {})
            crashes.pop(crash.incarnation, None)
            if not crashes:
                self._by_part.pop(part, None)
