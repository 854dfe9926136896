"""Release messages between the owners of caller keys, and the generation of owners."""

from collections.abc import Iterable

from attrs import frozen

from wasabilb_core._once_types import Record
from wasabilb_core.fleet import FleetState


@frozen(kw_only=True)
class Release:
    """Request to another owner to release all generations below `generation`.

    Parameters
    ----------
    service : str
        Service whose keys are released.
    generation : int
        Generation that the requester will use.
    host, incarnation : str, int
        The requesting agent.
    sent_now : float
        Monotonic time of the requester, repeated in the answer, so that the requester can
        determine the answer's age.
    held_incarnation : int
        Incarnation of the receiver from which the requester already has the records for this
        generation; 0 for none.
    """

    service: str
    generation: int
    host: str
    incarnation: int
    sent_now: float
    held_incarnation: int = 0


@frozen(kw_only=True)
class Released:
    """Promise that this incarnation claims no more keys in generations below `generation`.

    Parameters
    ----------
    service : str
        Service whose keys are released.
    generation : int
        The promise covers all generations below this one.
    host, incarnation : str, int
        The releasing agent.
    to_incarnation : int
        Incarnation of the requester.
    sent_now : float
        Repeated from the request.
    uptime_s : float
        Age of the releasing incarnation, which has no record of claims by earlier incarnations.
    has_records : bool
        Whether the records are included; otherwise the requester holds them already.
    records : tuple of Record
        Keys claimed under the released generations.
    watermark_ms : int
        Keys created up to this time may have been claimed even if absent from the records; -1
        for none.
    opaque_age_s : float
        Opaque keys (without a time) claimed at least this many seconds ago may be absent from
        the records.
    """

    service: str
    generation: int
    host: str
    incarnation: int
    to_incarnation: int
    sent_now: float
    uptime_s: float
    has_records: bool = False
    records: tuple[Record, ...] = ()
    watermark_ms: int = -1
    opaque_age_s: float = 0.0


@frozen(kw_only=True)
class Generation:
    """Owners of caller keys according to the newest ticket on a service.

    Parameters
    ----------
    number : int
        Number of the ticket.
    owners : tuple of str
        Hosts that own caller keys.
    retired : tuple of str
        Earlier owners that may still exist.
    gone : frozenset of str
        Hosts that tickets declare gone, i.e. destroyed.
    opaque_key_window_s : float
        Seconds within which callers may repeat an opaque key; 0 refuses such keys.
    """

    number: int
    owners: tuple[str, ...]
    retired: tuple[str, ...] = ()
    gone: frozenset[str] = frozenset()
    opaque_key_window_s: float = 0.0


def generation_of(
    fleet: FleetState, service: str, earlier_owners: Iterable[str] = ()
) -> Generation | None:
    """Return the generation of a service, or None while no ticket declares it.

    `earlier_owners` are `OnceOwnership.required_releases()`, which the ticket may omit.
    """
    spec = fleet.service(service)
    if spec is None:
        return None
    listed = {*spec.owners, *spec.retired_once_hosts, *earlier_owners}
    gone = {h for h in listed if fleet.order_of(f"host:{h}") and fleet.host(h) is None}
    return Generation(
        number=fleet.order_of(f"service:{service}"),
        owners=tuple(spec.owners),
        retired=tuple(spec.retired_once_hosts),
        gone=frozenset(gone),
        opaque_key_window_s=spec.opaque_key_window_s,
    )
