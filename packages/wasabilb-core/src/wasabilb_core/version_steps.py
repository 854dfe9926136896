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
WARM_S = 0.6
# Links bring a version in so many times the time of its bytes: 4.8 to 6.2 s for 4.0 s.
LINK_FACTOR = 1.3
# An estimate has to promise so much more time in service before a step in between is taken, so that
# small errors of the rates do not cost a load, seconds.
LEAST_GAIN_S = 0.1
# An origin that has just failed is expected to be away for at least so long, seconds; later for as
# long as it has been away already. Its outages take 2 to 10 s.
LEAST_AWAY_S = 3.0
# The part of a load's time that callers miss falls with the square of the load of the fleet: other
# runners take over what they have room for, and fewer requests have to end first.
USE_POWER = 2
# Versions in between that are weighed, the newest ones; each doubles the number of ways.
MOST_MIDDLE = 3
# A version of which less is here is not kept: it would hardly be whole before it is out of date.
KEPT_FROM_SHARE = 0.25
# A version that may serve for so much longer than what the runner holds is kept beside the newest
# one while that one can be cut off with its origin, seconds.
KEPT_FROM_S = 1.0


@frozen(kw_only=True)
class NamedVersion:
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
    near: float = 1.0


@frozen(kw_only=True)
class StepFacts:
    """What is known besides the versions.

    Parameters
    ----------
    usable_s : float
        For how long requests may begin on a version after a newer one was named.
    copy_s : float
        Time in which this host gets a whole version.
    load_s : float
        Time that a load takes from a runner that answers: its running requests and the load.
    warm_s : float
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
    warm_s: float = WARM_S
    use: float = 1.0
    away_s: float = 0.0
    is_seeded: bool = False

    @property
    def missed_s(self) -> float:
        """Return the part of a load's time that callers miss, seconds."""
        return self.load_s * min(1.0, self.use) ** USE_POWER


@frozen(kw_only=True)
class Steps:
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


def steps_to_newest(
    versions: Iterable[NamedVersion], *, held_outdated_s: float, facts: StepFacts
) -> Steps | None:
    """Return the way that leaves a runner without service for the shortest time.

    Parameters
    ----------
    versions : iterable of NamedVersion
        The named versions that are newer than what the runner holds.
    held_outdated_s : float
        For how long what it holds has been outdated, seconds; infinite when it holds nothing.
    facts : StepFacts
        Rates and times.
    """
    known = sorted(versions, key=lambda version: version.number)
    if not known:
        return None
    newest = known[-1]
    left_s = facts.usable_s - held_outdated_s
    direct_s = _idle_s((newest,), left_s, facts)
    idle_s, middle = _best_middle(known, left_s, facts)
    if idle_s + LEAST_GAIN_S <= direct_s:
        path = (*(version.number for version in middle), newest.number)
        return Steps(path=path, kept=None, idle_s=idle_s, direct_s=direct_s)
    first = next((version for version in middle if not version.is_ready), None)
    is_kept = (
        first is not None
        and newest.near < 1.0
        and first.share >= KEPT_FROM_SHARE
        and held_outdated_s - first.outdated_s >= KEPT_FROM_S
    )
    kept = first.number if is_kept and first is not None else None
    return Steps(path=(newest.number,), kept=kept, idle_s=direct_s, direct_s=direct_s)


def _best_middle(
    known: list[NamedVersion], left_s: float, facts: StepFacts
) -> tuple[float, tuple[NamedVersion, ...]]:
    """Return the time without service on the best way through older versions, and those."""
    of_use = [v for v in known[:-1] if facts.usable_s - v.outdated_s > facts.warm_s]
    of_use = of_use[-MOST_MIDDLE:]
    ways = [
        (_idle_s((*middle, known[-1]), left_s, facts), middle)
        for count in range(1, len(of_use) + 1)
        for middle in combinations(of_use, count)
    ]
    found = [way for way in ways if way[0] < math.inf]
    return min(found, key=lambda way: way[0], default=(math.inf, ()))


def _idle_s(path: tuple[NamedVersion, ...], left_s: float, facts: StepFacts) -> float:
    """Return the time without service on the way through some versions, infinite for a useless one.

    A load that begins while the runner answers may be put off until what it holds is out of date,
    so that it costs its own time only.
    """
    idle_s, ends_s, link_s = 0.0, max(0.0, left_s), 0.0
    for version in path:
        link_s += 0.0 if version.is_ready else (1.0 - version.share) * facts.copy_s
        ready_s = max(link_s, _origin_s(version, facts))
        is_serving = ready_s < ends_s
        taken_s = facts.load_s if is_serving else facts.warm_s
        missed_s = facts.missed_s if is_serving else ready_s - ends_s + facts.warm_s
        serves_from_s = max(ends_s, ready_s + taken_s)
        ends_s = facts.usable_s - version.outdated_s
        if ends_s - serves_from_s < min(taken_s, missed_s):
            return math.inf
        idle_s += missed_s
    return idle_s


def _origin_s(version: NamedVersion, facts: StepFacts) -> float:
    """Return when what only the origin has of a version can be here."""
    if version.near >= 1.0 or version.is_ready or not facts.away_s:
        return 0.0
    return max(LEAST_AWAY_S, facts.away_s) + (1.0 - version.near) * facts.copy_s


def versions_to_fetch(versions: Iterable[NamedVersion], steps: Steps, facts: StepFacts) -> set[int]:
    """Return the versions whose chunks a host fetches now."""
    if steps.kept is not None:
        return {steps.kept} if facts.is_seeded else {steps.kept, steps.path[-1]}
    is_ready = {version.number: version.is_ready for version in versions}
    return {next((number for number in steps.path if not is_ready[number]), steps.path[-1])}


def version_to_load(versions: Iterable[NamedVersion], steps: Steps) -> int | None:
    """Return the version that the runner loads next, if it is there."""
    ready = {version.number for version in versions if version.is_ready}
    return steps.path[0] if steps.path[0] in ready else None


def newest_of_use(versions: Iterable[NamedVersion], facts: StepFacts) -> int | None:
    """Return the newest whole version that can still be loaded somewhere, None for none."""
    ready = [
        version.number
        for version in versions
        if version.is_ready and facts.usable_s - version.outdated_s > facts.warm_s
    ]
    return max(ready, default=None)
