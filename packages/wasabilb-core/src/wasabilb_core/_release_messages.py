"""Release messages between the owners of a service's keys, and the generation of owners."""

from collections.abc import Iterable

from attrs import frozen

from wasabilb_core._once_types import Record
from wasabilb_core.fleet import FleetState


@frozen(kw_only=True)
class Release:
    """Request to another owner to release all generations below one.

    Parameters
    ----------
    service : str
        Plain service.
    generation : int
        Generation that the requester is to use.
    host, incarnation : str, int
        The requesting agent.
    sent_now : float
        Monotonic time of the requester; the answer repeats it to determine its age.
    held_incarnation : int
        Receiver's incarnation whose records the requester holds for this generation; 0 for none.
    """

    service: str
    generation: int
    host: str
    incarnation: int
    sent_now: float
    held_incarnation: int = 0


@frozen(kw_only=True)
class Released:
    """Promise that this incarnation never again claims a key under generations below one.

    Parameters
    ----------
    service : str
        Plain service.
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
        Keys up to this time that are absent from the records may have been claimed too.
    opaque_age_s : float
        Opaque keys claimed before this age may be absent from the records.
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
    """Owners of callers' own keys according to the newest ticket on a service.

    Parameters
    ----------
    number : int
        Number of the ticket.
    owners : tuple of str
        Hosts that own keys.
    retired : tuple of str
        Earlier owners that may still exist.
    gone : frozenset of str
        Hosts that tickets declare destroyed.
    opaque_key_window_s : float
        Seconds within which callers may repeat a key without a time; 0 refuses such keys.
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

    `earlier_owners` are hosts that the ticket may omit, `OnceOwnership.required_releases()`.
    """
    spec = fleet.service(service)
    if spec is None:
        return None
    listed = {*spec.owners, *spec.retired_once_hosts, *earlier_owners}
    gone = {h for h in listed if fleet.number_of(f"host:{h}") and fleet.host(h) is None}
    return Generation(
        number=fleet.number_of(f"service:{service}"),
        owners=tuple(spec.owners),
        retired=tuple(spec.retired_once_hosts),
        gone=frozenset(gone),
        opaque_key_window_s=spec.opaque_key_window_s,
    )
