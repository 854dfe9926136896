"""Which of several named versions a host fetches, and which its runner loads.

Answers the load of versions that are named while the one before is on its way to the hosts. A
version takes about half of the time in which it must be in force to reach a host over its link. A
host that starts over with each newer one leaves its runner, for seconds, without a version that may
still answer requests. So a host finishes a version that it mostly has and that will be of use, and
its runner takes that step before the newest one.
"""

from collections.abc import Iterable

from attrs import frozen

# Share of a version's chunks from which it is finished before a newer one is begun. Below it, the
# newer one is whole before runners that hold the oldest one have to stop.
FINISH_FROM = 0.25
# A load takes 0.4 s, after up to 3 s of running requests, and requests are sent to a runner until
# 0.9 s before the bound. A version is fetched and loaded only while it can answer for about as long
# as its step takes; parts of the bound since a newer one was named.
FETCH_UNTIL = 0.45
LOAD_UNTIL = 0.65
# A version of which so much is there is finished as long as it can still be loaded: the rest takes
# less than a second.
NEARLY_WHOLE = 0.8


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
    """

    number: int
    share: float
    is_ready: bool
    outdated_s: float


def version_to_fetch(versions: Iterable[NamedVersion], *, bound_s: float) -> int | None:
    """Return the version whose chunks a host fetches now, None when there is none.

    Parameters
    ----------
    versions : iterable of NamedVersion
        The named versions that are newer than what the runner holds.
    bound_s : float
        Time within which a named version must be in force, seconds.
    """
    known = sorted(versions, key=lambda version: version.number)
    if not known:
        return None
    unfinished = [
        version.number
        for version in known[:-1]
        if version.share >= FINISH_FROM
        and not version.is_ready
        and version.outdated_s < _fetch_until(version.share) * bound_s
    ]
    return unfinished[-1] if unfinished else known[-1].number


def _fetch_until(share: float) -> float:
    return LOAD_UNTIL if share >= NEARLY_WHOLE else FETCH_UNTIL


def version_to_load(versions: Iterable[NamedVersion], *, bound_s: float) -> int | None:
    """Return the newest version that the runner can load and that is still of use."""
    ready = [
        version.number
        for version in versions
        if version.is_ready and version.outdated_s < LOAD_UNTIL * bound_s
    ]
    return max(ready, default=None)
