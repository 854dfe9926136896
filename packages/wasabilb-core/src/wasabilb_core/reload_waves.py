"""Waves in which the runners of a model reload, so that the others keep answering.

A runner that is ordered to load a version accepts no new requests, finishes the running ones and
then loads. If all did so at once, no runner would answer for the time of the longest request. The
runners of a model are therefore split into waves that follow each other within the time in which a
version must be in force. Each agent computes the same waves from the platform's list.
"""

from collections.abc import Mapping

from attrs import frozen

# With three waves two thirds of the runners answer at any time. With more, each wave would have
# less time than the longest requests take.
WAVES = 3
# Latest time of the order to each wave whose weights are present, as a fraction of the time in
# which a version must be in force. The rest after the last one is for the order itself and for
# processes that learn of the version late.
LATEST_ORDER_FRACTIONS = (0.0, 0.70, 0.84)
# Time from which entry processes prefer other runners, so that fewer requests delay the load, as a
# fraction of the same time.
EASE_FROM_FRACTIONS = (0.40, 0.60, 0.74)


@frozen(kw_only=True)
class WaveMember:
    """One runner of the model.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the runner.
    version : int
        Version that it holds, 0 for none.
    is_reloading : bool
        Whether it holds no version because it is changing it, and not because it is new.
    """

    failure_domain: str
    version: int
    is_reloading: bool = False


def waves_of(members: Mapping[str, WaveMember]) -> dict[str, int]:
    """Return the wave of each runner; each failure domain is spread over the waves."""
    ordered = sorted(members, key=lambda name: (members[name].failure_domain, name))
    return {name: position % WAVES for position, name in enumerate(ordered)}


def share_in_service(*, outdated_s: float, bound_s: float) -> float:
    """Return the share of the runners that the waves leave in service.

    Wave sizes differ by one runner at most. Restarts and faults are not included.

    Parameters
    ----------
    outdated_s : float
        Time for which the oldest version that a runner held when it was ordered, or still holds,
        has been outdated, seconds.
    bound_s : float
        Time within which a named version must be in force, seconds.
    """
    due = sum(outdated_s >= latest * bound_s for latest in LATEST_ORDER_FRACTIONS[1:])
    return (WAVES - 1 - due) / WAVES


def may_reload(
    *,
    name: str,
    members: Mapping[str, WaveMember],
    version: int,
    named_s: float,
    bound_s: float,
) -> bool:
    """Return whether a runner whose weights are ready may be ordered to load them now.

    Parameters
    ----------
    name : str
        The runner.
    members : mapping
        All runners of the model by name.
    version : int
        Version to load.
    named_s : float
        Time since the version was named, seconds.
    bound_s : float
        Time within which it must be in force, seconds.
    """
    own = members.get(name)
    if own is None or own.version == 0:
        # A runner without weights answers no requests, so its load costs nothing.
        return True
    waves = waves_of(members)
    # A wave that holds a newer version than others waits until those have reloaded, so that
    # versions in quick succession do not take two waves out of service at once.
    is_other_wave_first = any(
        0 < member.version < own.version or (member.version == 0 and member.is_reloading)
        for other, member in members.items()
        if waves[other] != waves[name]
    )
    latest = max(
        LATEST_ORDER_FRACTIONS[waves[name]],
        LATEST_ORDER_FRACTIONS[1] if is_other_wave_first else 0.0,
    )
    if named_s >= latest * bound_s:
        return True
    return not is_other_wave_first and all(
        member.version >= version or (member.version == 0 and not member.is_reloading)
        for other, member in members.items()
        if waves[other] < waves[name]
    )


def is_easing(
    *, name: str, members: Mapping[str, WaveMember], named_s: float, bound_s: float
) -> bool:
    """Return whether a runner that still holds an older version should get fewer requests."""
    return named_s >= EASE_FROM_FRACTIONS[waves_of(members).get(name, 0)] * bound_s
