"""Crashes of runners and the subjects that were there, indexed by subject."""

import math
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from wasabilb_core.crash_reports import CrashReport, crash_report
from wasabilb_core.crash_subjects import is_whole_request, request_digest

# Time for which a crash counts, seconds: several times the pause between requests of a rare kind.
CRASH_KEPT_S = 600.0
# Crashes that are kept; a fleet has 600 runners, and a part is known after a few of them.
MAX_CRASHES = 256
# Suspects that are kept. Callers decide how many parts their prompts have.
MAX_SUSPECTS = 4096
# Suspects that are kept when there are more; not each further one sorts them again.
KEPT_SUSPECTS = 3584
# Weights of a crash for a subject whose answer had started, and for any other one that was there.
STARTED_WEIGHT = 2
WAITING_WEIGHT = 1
# Weight for a whole request that was sent as a probe: plain services answer at the end only, so
# that the answer does not tell whether its request had begun.
PROBE_WEIGHT = 2
UNKNOWN_REQUEST = 0


@frozen(kw_only=True)
class RunnerIncarnation:
    """One incarnation of a runner, as reports name it."""

    runner: str
    born_ms: int


@define(kw_only=True, eq=False)
class _Sighting:
    """Subjects of one request that was with a runner when it crashed."""

    started: set[int] = field(factory=set)
    waiting: set[int] = field(factory=set)
    probes: set[int] = field(factory=set)

    def __contains__(self, subject: int) -> bool:
        return subject in self.started or subject in self.waiting

    def merge(self, other: "_Sighting") -> None:
        self.started |= other.started
        self.waiting |= other.waiting
        self.probes |= other.probes

    def weight(self, subject: int) -> int:
        if subject in self.started:
            return STARTED_WEIGHT
        if is_whole_request(subject) and subject in self.probes:
            return PROBE_WEIGHT
        return WAITING_WEIGHT


@define(kw_only=True, eq=False)
class Crash:
    """One crash, with what all reports on it tell."""

    incarnation: RunnerIncarnation
    at: float
    # By the digest of the request while it is suspected. One that is not suspected any more is no
    # cause, so that its repeats tell about the parts.
    sightings: dict[int, _Sighting] = field(factory=dict)
    # Subjects that were there and are not suspected any more; a repeated report changes nothing.
    dismissed: set[int] = field(factory=set)

    @property
    def subjects(self) -> set[int]:
        """Return all subjects that were there."""
        return set().union(*(s.started | s.waiting for s in self.sightings.values()))

    def is_probe_of(self, subject: int) -> bool:
        """Return whether a probe of a subject was there."""
        return any(subject in sighting.probes for sighting in self.sightings.values())

    def has_request(self, part: int, digest: int) -> bool:
        """Return whether a request with a known digest and a part was there."""
        return digest != UNKNOWN_REQUEST and part in self.sightings.get(digest, ())

    def weights(self, subject: int) -> dict[int, int]:
        """Return the weight of the crash as evidence against a subject, by request."""
        return {
            request: sighting.weight(subject)
            for request, sighting in self.sightings.items()
            if subject in sighting
        }

    def add(self, report: CrashReport, left_out: set[int]) -> set[int]:
        """Merge a report and return the subjects about which it tells something new."""
        started, waiting = set(report.started_subjects), set(report.waiting_subjects)
        request = request_digest((started | waiting) - left_out - self.dismissed)
        sighting = self.sightings.get(request, _Sighting())
        changed: set[int] = set()
        for own, told in (
            (sighting.started, started),
            (sighting.waiting, waiting),
            (sighting.probes, set(report.probed_subjects) & (started | waiting)),
        ):
            new = told - left_out - own - self.dismissed
            own |= new
            changed |= new
        if changed:
            self.sightings[request] = sighting
        return changed

    def dismiss(self, subject: int) -> None:
        """Remove a subject for good."""
        self.dismissed.add(subject)
        own = (
            self.sightings.pop(request_digest([subject]), None)
            if is_whole_request(subject)
            else None
        )
        if own is not None:
            self.sightings.setdefault(UNKNOWN_REQUEST, _Sighting()).merge(own)
        for sighting in self.sightings.values():
            for subjects in (sighting.started, sighting.waiting, sighting.probes):
                subjects.discard(subject)
        self.sightings = {r: s for r, s in self.sightings.items() if s.started or s.waiting}

    def to_reports(self, now: float) -> list[CrashReport]:
        """Return the crash as reports, one for each request."""
        return [
            crash_report(
                runner=self.incarnation.runner,
                born_ms=self.incarnation.born_ms,
                age_s=max(0.0, now - self.at),
                request=request,
                started=sighting.started,
                waiting=sighting.waiting - sighting.started,
                probes=sighting.probes,
            )
            for request, sighting in self.sightings.items()
        ]


class CrashEvidence:
    """Crashes by incarnation and by subject; bounded in number and time."""

    def __init__(self) -> None:
        self._crashes: dict[RunnerIncarnation, Crash] = {}
        self._by_subject: dict[int, dict[RunnerIncarnation, Crash]] = {}
        # Include all subjects with several crashes, and all with a crash at their probe. In a mass
        # crash most requests have one crash, and no part has a probe.
        self._repeated: set[int] = set()
        self._probed: set[int] = set()

    def __contains__(self, subject: int) -> bool:
        return subject in self._by_subject

    def __len__(self) -> int:
        return len(self._by_subject)

    def __iter__(self) -> Iterator[Crash]:
        return iter(self._crashes.values())

    def crashes(self, subject: int) -> list[Crash]:
        """Return the crashes under a subject."""
        return list(self._by_subject.get(subject, {}).values())

    def score(self, subject: int) -> int:
        """Return the summed weight of the crashes under a subject.

        A part counts once for each request: repeats of one request tell nothing about its parts.
        """
        weights = [crash.weights(subject) for crash in self.crashes(subject)]
        if is_whole_request(subject):
            return sum(max(found.values()) for found in weights)
        total = 0
        counted: set[int] = set()
        for found in sorted(weights, key=lambda found: (len(found), sorted(found.items()))):
            left = [(weight, r) for r, weight in found.items() if r not in counted]
            if left:
                weight, request = max(left)
                total += weight
                counted |= {request} - {UNKNOWN_REQUEST}
        return total

    def add(self, report: CrashReport, ignored: Iterable[int], now: float) -> list[int]:
        """Merge a report and return the subjects about which it tells something new."""
        key = RunnerIncarnation(runner=report.runner, born_ms=report.born_ms)
        at = now - report.age_s
        if not math.isfinite(at) or at > now or now - at > CRASH_KEPT_S:
            return []
        crash = self._crashes.get(key)
        if crash is None:
            crash = self._crashes[key] = Crash(incarnation=key, at=at)
        crash.at = min(crash.at, at)
        changed = crash.add(report, set(ignored))
        for subject in changed:
            crashes = self._by_subject.setdefault(subject, {})
            crashes[key] = crash
            if len(crashes) > 1:
                self._repeated.add(subject)
        self._probed |= changed.intersection(report.probed_subjects)
        self._drop_excess(now)
        return sorted(subject for subject in changed if subject in self._by_subject)

    def remove(self, subject: int) -> bool:
        """Remove a subject from all crashes; return whether it was suspected."""
        crashes = self._by_subject.pop(subject, {})
        for crash in crashes.values():
            crash.dismiss(subject)
        return bool(crashes)

    def expire(self, now: float) -> None:
        """Remove the crashes that no longer count."""
        for crash in [c for c in self._crashes.values() if now - c.at > CRASH_KEPT_S]:
            self._remove_crash(crash)

    def is_explained(self, subject: int, other: int) -> bool:
        """Return whether another one was in all crashes under a subject, and in further ones."""
        crashes = self._by_subject.get(subject, {}).keys()
        return bool(crashes) and crashes < self._by_subject.get(other, {}).keys()

    def probed_by_score(self, least: int) -> list[int]:
        """Return the suspects with a crash at a probe and more than one in all, by their score."""
        self._repeated = {s for s in self._repeated if len(self._by_subject.get(s, ())) > 1}
        self._probed = {s for s in self._probed if s in self._by_subject}
        candidates = self._repeated & self._probed
        return [subject for subject in candidates if self.score(subject) >= least]

    def companions(self, part: int) -> frozenset[int]:
        """Return the other suspected parts that were in all crashes under a part."""
        return frozenset(s for s in self._in_all_crashes(part) if not is_whole_request(s))

    def has_single_request(self, part: int) -> bool:
        """Return whether one request, the closer cause, was in all crashes under a part."""
        return any(is_whole_request(subject) for subject in self._in_all_crashes(part))

    def rivals(self, request: int) -> frozenset[int]:
        """Return the other requests in all crashes under one with at least the same evidence."""
        score = self.score(request)
        return frozenset(
            other
            for other in self._in_all_crashes(request)
            if is_whole_request(other) and self.score(other) >= score
        )

    def _in_all_crashes(self, subject: int) -> set[int]:
        found = [crash.subjects for crash in self.crashes(subject)]
        return set.intersection(*found) - {subject} if found else set()

    def _drop_excess(self, now: float) -> None:
        if len(self._crashes) > MAX_CRASHES:
            self.expire(now)
        for crash in list(self._crashes.values())[: max(0, len(self._crashes) - MAX_CRASHES)]:
            self._remove_crash(crash)
        if len(self._by_subject) > MAX_SUSPECTS:
            # What crashes runners is in several crashes, an invented part only in one.
            by_score = sorted(self._by_subject, key=self.score)
            for subject in by_score[: len(self._by_subject) - KEPT_SUSPECTS]:
                self.remove(subject)

    def _remove_crash(self, crash: Crash) -> None:
        del self._crashes[crash.incarnation]
        for subject in crash.subjects:
            crashes = self._by_subject.get(subject, {})
            crashes.pop(crash.incarnation, None)
            if not crashes:
                self._by_subject.pop(subject, None)
