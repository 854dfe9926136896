"""Which of several named versions a host fetches, and which its runner loads.

Versions may be named while their predecessor is still being transferred. The transfer to a host
takes about half of the time within which a version must be in force, and the origin may fail before
it has sent the newest one. Continuing with an older version lets a runner answer sooner; starting
with the newest one brings that one sooner. Both cost time during which the runner is out of
service, which is estimated for each path from the current state.
"""

import math
from collections.abc import Iterable
from itertools import combinations

from attrs import frozen

# Time before the limit on old versions from which no request is sent to a runner that may still
# hold the old one, as requests in the runner's queue must begin in time, too.
VERSION_MARGIN_S = 0.5
# A load takes 0.4 s; the order and the report of its completion take the rest.
IDLE_LOAD_S = 0.6
# Ratio of the transfer time of a version to the time of its bytes: 4.8 to 6.2 s for 4.0 s.
LINK_FACTOR = 1.3
# Minimum estimated gain in service time for an intermediate step, so that small errors of the rates
# do not cost a load.
MIN_GAIN_S = 0.1
# Minimum expected time to the end of an outage of the origin; an outage that has lasted longer is
# expected to last as long again. Outages take 2 to 10 s.
MIN_AWAY_S = 3.0
# The part of a load's time that callers notice falls with the square of the fleet's utilization:
# other runners take over what they have room for, and fewer requests have to end first.
UTILIZATION_EXPONENT = 2
# Newest intermediate versions that are considered; each doubles the number of paths.
MAX_INTERMEDIATE_VERSIONS = 3
# A version with a smaller share is not kept, as it would hardly be complete before it is outdated.
MIN_KEPT_SHARE = 0.25
# Minimum additional time for which a version may serve, compared with the runner's, to be kept
# beside the newest one while that one can be lost with its origin.
MIN_KEPT_SERVICE_S = 1.0


@frozen(kw_only=True)
class VersionCandidate:
    """A named version that is newer than that of a runner.

    Parameters
    ----------
    number : int
        The version.
    share : float
        Share of its chunks that are on the host.
    is_ready : bool
        Whether it is complete and staged beside the runner.
    outdated_s : float
        Time since a newer version was named, seconds; minus infinity for the newest.
    reachable_share : float
        Share of its chunks that are on this host or on a peer.
    """

    number: int
    share: float
    is_ready: bool
    outdated_s: float
    reachable_share: float = 1.0


@frozen(kw_only=True)
class StepInputs:
    """Rates and times for the planning of load steps.

    Parameters
    ----------
    usable_s : float
        Time after the naming of a newer version during which requests may begin on a version.
    copy_s : float
        Time that this host needs to fetch a complete version.
    load_s : float
        Time for which a load takes an answering runner out of service, with its running requests.
    idle_load_s : float
        Time of a load on a runner that is out of service.
    utilization : float
        Share of the runner's slots that are in use.
    away_s : float
        Duration of the current outage of the origin, 0 for none.
    is_seeded : bool
        Whether chunks of the newest version arrive beside those of the fetched one.
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
        """Return the part of a load's time that callers notice, seconds."""
        return self.load_s * min(1.0, self.utilization) ** UTILIZATION_EXPONENT


@frozen(kw_only=True)
class LoadSteps:
    """Planned versions of a runner up to the newest one.

    Parameters
    ----------
    path : tuple of int
        Versions to load, in order; the last one is the newest.
    kept : int or None
        An older version that is fetched beside the newest one, because that one has not left its
        origin completely and could be lost with it.
    idle_s : float
        Estimated time out of service until the runner holds the newest version.
    direct_s : float
        The same when only the newest version is loaded.
    """

    path: tuple[int, ...]
    kept: int | None
    idle_s: float
    direct_s: float


def plan_load_steps(
    versions: Iterable[VersionCandidate], *, held_outdated_s: float, inputs: StepInputs
) -> LoadSteps | None:
    """Return the load steps with the shortest time out of service.

    Parameters
    ----------
    versions : iterable of VersionCandidate
        The named versions that are newer than that of the runner.
    held_outdated_s : float
        Time for which the runner's version has been outdated, seconds; infinite without a version.
    inputs : StepInputs
        Rates and times.
    """
    ordered = sorted(versions, key=lambda version: version.number)
    if not ordered:
        return None
    newest = ordered[-1]
    remaining_s = inputs.usable_s - held_outdated_s
    direct_s = _idle_s((newest,), remaining_s, inputs)
    idle_s, intermediate = _best_intermediate(ordered, remaining_s, inputs)
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
    ordered: list[VersionCandidate], remaining_s: float, inputs: StepInputs
) -> tuple[float, tuple[VersionCandidate, ...]]:
    """Return the time out of service of the best path through older versions, and those."""
    usable = [v for v in ordered[:-1] if inputs.usable_s - v.outdated_s > inputs.idle_load_s]
    usable = usable[-MAX_INTERMEDIATE_VERSIONS:]
    candidates = [
        (_idle_s((*intermediate, ordered[-1]), remaining_s, inputs), intermediate)
        for count in range(1, len(usable) + 1)
        for intermediate in combinations(usable, count)
    ]
    viable = [candidate for candidate in candidates if candidate[0] < math.inf]
    return min(viable, key=lambda candidate: candidate[0], default=(math.inf, ()))


def _idle_s(path: tuple[VersionCandidate, ...], remaining_s: float, inputs: StepInputs) -> float:
    """Return the time out of service on a path through versions, infinite for a useless one.

    A load that begins while the runner answers may be delayed until its version is outdated, so
    that it costs only its own time.
    """
    idle_s, service_end_s, link_s = 0.0, max(0.0, remaining_s), 0.0
    for version in path:
        link_s += 0.0 if version.is_ready else (1.0 - version.share) * inputs.copy_s
        ready_s = max(link_s, _origin_ready_s(version, inputs))
        is_serving = ready_s < service_end_s
        load_time_s = inputs.load_s if is_serving else inputs.idle_load_s
        missed_s = inputs.missed_s if is_serving else ready_s - service_end_s + inputs.idle_load_s
        service_start_s = max(service_end_s, ready_s + load_time_s)
        service_end_s = inputs.usable_s - version.outdated_s
        if service_end_s - service_start_s < min(load_time_s, missed_s):
            return math.inf
        idle_s += missed_s
    return idle_s


def _origin_ready_s(version: VersionCandidate, inputs: StepInputs) -> float:
    """Return the time until chunks that only the origin has can be here, seconds."""
    if version.reachable_share >= 1.0 or version.is_ready or not inputs.away_s:
        return 0.0
    return max(MIN_AWAY_S, inputs.away_s) + (1.0 - version.reachable_share) * inputs.copy_s


def versions_to_fetch(
    versions: Iterable[VersionCandidate], steps: LoadSteps, inputs: StepInputs
) -> set[int]:
    """Return the versions whose chunks a host fetches now."""
    if steps.kept is not None:
        return {steps.kept} if inputs.is_seeded else {steps.kept, steps.path[-1]}
    is_ready = {version.number: version.is_ready for version in versions}
    return {next((number for number in steps.path if not is_ready[number]), steps.path[-1])}


def version_to_load(versions: Iterable[VersionCandidate], steps: LoadSteps) -> int | None:
    """Return the version that the runner loads next, if it is ready."""
    ready = {version.number for version in versions if version.is_ready}
    return steps.path[0] if steps.path[0] in ready else None


def newest_usable(versions: Iterable[VersionCandidate], inputs: StepInputs) -> int | None:
    """Return the newest ready version that a runner can still load, None for none."""
    ready = [
        version.number
        for version in versions
        if version.is_ready and inputs.usable_s - version.outdated_s > inputs.idle_load_s
    ]
    return max(ready, default=None)
