"""Which of several named versions a host fetches, and which its runner loads.

Answers the load of versions that are named while the one before is on its way to the hosts. A
version takes about half of the time in which it must be in force to reach a host over its link, and
the origin may be gone before the newest one has left it. Going on with an older version brings a
runner something to answer with sooner; starting with the newest brings that one sooner. Both cost
the runner time in which it answers nobody, which is estimated for each way from what is known now.
"""

import math
from collections.abc import Iterable
from itertools import combinations

from attrs import frozen

# Before the bound on old versions no request is sent to a runner that may still hold the old one;
# what waits in a runner's queue meanwhile must begin in time, too, seconds.
VERSION_MARGIN_S = 0.9
# A load takes 0.4 s; the order and the report of its end take the rest, seconds.
IDLE_LOAD_S = 0.6
# Links bring a version in so many times the time of its bytes: 4.8 to 6.2 s for 4.0 s.
LINK_FACTOR = 1.3
# An estimate has to promise so much more time in service before a step in between is taken, so that
# small errors of the rates do not cost a load, seconds.
MIN_GAIN_S = 0.1
# An origin that has just failed is expected to be away for at least so long, seconds; later for as
# long as it has been away already. Its outages take 2 to 10 s.
MIN_AWAY_S = 3.0
# The part of a load's time that callers miss falls with the square of the load of the fleet: other
# runners take over what they have room for, and fewer requests have to end first.
UTILIZATION_EXPONENT = 2
# Versions in between that are weighed, the newest ones; each doubles the number of ways.
MAX_INTERMEDIATE_VERSIONS = 3
# A version of which less is here is not kept: it would hardly be whole before it is out of date.
MIN_KEPT_SHARE = 0.25
# A version that may serve for so much longer than what the runner holds is kept beside the newest
# one while that one can be cut off with its origin, seconds.
MIN_KEPT_SERVICE_S = 1.0


@frozen(kw_only=True)
class VersionCandidate:
    """One version that is newer than what a runner holds.

    Parameters
    ----------
    number : int
        The version.
    share : float
        Share of its chunks that are on the host.
    is_ready : bool
        Whether it is whole and staged beside the runner.
    outdated_s : float
        For how long a newer version has been named, seconds; minus infinity for the newest.
    near : float
        Share of its chunks that lie on this host or on a peer.
    """

    number: int
    share: float
    is_ready: bool
    outdated_s: float
    reachable_share: float = 1.0


@frozen(kw_only=True)
class StepInputs:
    """What is known besides the versions.

    Parameters
    ----------
    usable_s : float
        For how long requests may begin on a version after a newer one was named.
    copy_s : float
        Time in which this host gets a whole version.
    load_s : float
        Time that a load takes from a runner that answers: its running requests and the load.
    idle_load_s : float
        Time that a load takes a runner that answers nobody.
    use : float
        Share of the runner's places that are taken.
    away_s : float
        For how long the origin has not answered, 0 while it does.
    is_seeded : bool
        Whether chunks of the newest version come beside those of the one that is fetched.
    """

    usable_s: float
    copy_s: float
    load_s: float
    idle_load_s: float = IDLE_LOAD_S
    utilization: float = 1.0
    away_s: float = 0.0
    is_seeded: bool = False

    @property
    def missed_s(self) -> float:
        """Return the part of a load's time that callers miss, seconds."""
        return self.load_s * min(1.0, self.utilization) ** UTILIZATION_EXPONENT


@frozen(kw_only=True)
class LoadSteps:
    """The versions that a runner is to be brought through.

    Parameters
    ----------
    path : tuple of int
        Versions to load, in order; the last one is the newest.
    kept : int or None
        An older version that is fetched beside the newest one, because that one has not left its
        origin yet and could be cut off with it.
    idle_s : float
        Estimated time in which the runner answers nobody until it holds the newest.
    direct_s : float
        The same for loading the newest only.
    """

    path: tuple[int, ...]
    kept: int | None
    idle_s: float
    direct_s: float


def plan_load_steps(
    versions: Iterable[VersionCandidate], *, held_outdated_s: float, facts: StepInputs
) -> LoadSteps | None:
    """Return the way that leaves a runner without service for the shortest time.

    Parameters
    ----------
    versions : iterable of VersionCandidate
        The named versions that are newer than what the runner holds.
    held_outdated_s : float
        For how long what it holds has been outdated, seconds; infinite when it holds nothing.
    facts : StepInputs
        Rates and times.
    """
    known = sorted(versions, key=lambda version: version.number)
    if not known:
        return None
    newest = known[-1]
    left_s = facts.usable_s - held_outdated_s
    direct_s = _idle_s((newest,), left_s, facts)
    idle_s, intermediate = _best_intermediate(known, left_s, facts)
    if idle_s + MIN_GAIN_S <= direct_s:
        path = (*(version.number for version in intermediate), newest.number)
        return LoadSteps(path=path, kept=None, idle_s=idle_s, direct_s=direct_s)
    first = next((version for version in intermediate if not version.is_ready), None)
    is_kept = (
        first is not None
        and newest.reachable_share < 1.0
        and first.share >= MIN_KEPT_SHARE
        and held_outdated_s - first.outdated_s >= MIN_KEPT_SERVICE_S
    )
    kept = first.number if is_kept and first is not None else None
    return LoadSteps(path=(newest.number,), kept=kept, idle_s=direct_s, direct_s=direct_s)


def _best_intermediate(
    known: list[VersionCandidate], left_s: float, facts: StepInputs
) -> tuple[float, tuple[VersionCandidate, ...]]:
    """Return the time without service on the best way through older versions, and those."""
    usable = [v for v in known[:-1] if facts.usable_s - v.outdated_s > facts.idle_load_s]
    usable = usable[-MAX_INTERMEDIATE_VERSIONS:]
    candidates = [
        (_idle_s((*intermediate, known[-1]), left_s, facts), intermediate)
        for count in range(1, len(usable) + 1)
        for intermediate in combinations(usable, count)
    ]
    found = [candidate for candidate in candidates if candidate[0] < math.inf]
    return min(found, key=lambda candidate: candidate[0], default=(math.inf, ()))


def _idle_s(path: tuple[VersionCandidate, ...], left_s: float, facts: StepInputs) -> float:
    """Return the time without service on the way through some versions, infinite for a useless one.

    A load that begins while the runner answers may be put off until what it holds is out of date,
    so that it costs its own time only.
    """
    idle_s, service_end_s, link_s = 0.0, max(0.0, left_s), 0.0
    for version in path:
        link_s += 0.0 if version.is_ready else (1.0 - version.share) * facts.copy_s
        ready_s = max(link_s, _origin_ready_s(version, facts))
        is_serving = ready_s < service_end_s
        load_time_s = facts.load_s if is_serving else facts.idle_load_s
        missed_s = facts.missed_s if is_serving else ready_s - service_end_s + facts.idle_load_s
        service_start_s = max(service_end_s, ready_s + load_time_s)
        service_end_s = facts.usable_s - version.outdated_s
        if service_end_s - service_start_s < min(load_time_s, missed_s):
            return math.inf
        idle_s += missed_s
    return idle_s


def _origin_ready_s(version: VersionCandidate, facts: StepInputs) -> float:
    """Return when what only the origin has of a version can be here."""
    if version.reachable_share >= 1.0 or version.is_ready or not facts.away_s:
        return 0.0
    return max(MIN_AWAY_S, facts.away_s) + (1.0 - version.reachable_share) * facts.copy_s


def versions_to_fetch(
    versions: Iterable[VersionCandidate], steps: LoadSteps, facts: StepInputs
) -> set[int]:
    """Return the versions whose chunks a host fetches now."""
    if steps.kept is not None:
        return {steps.kept} if facts.is_seeded else {steps.kept, steps.path[-1]}
    is_ready = {version.number: version.is_ready for version in versions}
    return {next((number for number in steps.path if not is_ready[number]), steps.path[-1])}


def version_to_load(versions: Iterable[VersionCandidate], steps: LoadSteps) -> int | None:
    """Return the version that the runner loads next, if it is there."""
    ready = {version.number for version in versions if version.is_ready}
    return steps.path[0] if steps.path[0] in ready else None


def newest_usable(versions: Iterable[VersionCandidate], facts: StepInputs) -> int | None:
    """Return the newest whole version that can still be loaded somewhere, None for none."""
    ready = [
        version.number
        for version in versions
        if version.is_ready and facts.usable_s - version.outdated_s > facts.idle_load_s
    ]
    return max(ready, default=None)
