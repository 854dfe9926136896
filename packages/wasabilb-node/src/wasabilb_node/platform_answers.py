"""Reads the answers of the configuration service and of the host list."""

import re

from attrs import frozen
from returns.result import Result, Success
from wasabilb_core.errors import Error, unavailable
from wasabilb_core.json_fields import InvalidFieldError, JsonObject, NumberRange, parse_json
from wasabilb_core.ticket_order import MAX_ERA, MAX_NUMBER, ticket_number, ticket_order

MAX_ANSWER_BYTES = 4 << 20
ERAS = NumberRange(low=0, high=MAX_ERA)
TICKET_NUMBERS = NumberRange(low=0, high=MAX_NUMBER)
# The number of a host list, in messages 64 bits.
LIST_NUMBERS = NumberRange(low=0, high=(1 << 63) - 1)
# Names of this length, as in tickets, and this number of leaving hosts fit the lists of a message,
# and are more than the 2,400 hosts planned.
MAX_HOST_NAME_BYTES = 63
MAX_LEAVING_HOSTS = 4096

_DIGEST = re.compile(r"[0-9a-fA-F]{1,16}")


@frozen(kw_only=True)
class TicketIndex:
    """The tickets of the configuration service, which is also a position to watch from.

    Parameters
    ----------
    era : int
        Era of the service.
    newest : int
        Highest number that it shows.
    digests : dict of int to int
        Digest of each ticket by its order.
    unusable : int
        Number of entries that are left out.
    """

    era: int
    newest: int
    digests: dict[int, int]
    unusable: int = 0


@frozen(kw_only=True)
class ListedHosts:
    """The platform's host list at one moment.

    Parameters
    ----------
    era, as_of : int
        Era of the list and its sequence number in it.
    leaving : tuple of str
        Hosts that are not live.
    written_live : tuple of str
        Live hosts whose state was written in this era.
    unusable : int
        Number of entries that are left out.
    """

    era: int
    as_of: int
    leaving: tuple[str, ...]
    written_live: tuple[str, ...]
    unusable: int = 0


def to_hosts(body: bytes) -> Result[ListedHosts, Error]:
    """Return the host list in an answer, or fail with `PLATFORM_UNAVAILABLE`."""
    try:
        data = JsonObject(parse_json(body, max_bytes=MAX_ANSWER_BYTES))
        era, as_of = _era(data), data.whole("as_of", LIST_NUMBERS)
        hosts = [_listed_host(entry) for entry in data.list("hosts")]
    except InvalidFieldError as exc:
        return unavailable(f"host list is malformed: {exc}")
    usable = [host for host in hosts if host is not None]
    leaving = tuple(name for name, state, _ in usable if state != "live")
    if len(leaving) > MAX_LEAVING_HOSTS:
        return unavailable(f"host list has {len(leaving)} leaving hosts")
    return Success(
        ListedHosts(
            era=era,
            as_of=as_of,
            leaving=leaving,
            written_live=tuple(
                name for name, state, written in usable if state == "live" and written == era
            ),
            unusable=len(hosts) - len(usable),
        )
    )


def to_index(body: bytes) -> Result[TicketIndex, Error]:
    """Return the index of tickets in an answer, or fail with `PLATFORM_UNAVAILABLE`."""
    try:
        data = JsonObject(parse_json(body, max_bytes=MAX_ANSWER_BYTES))
        era, found = _era(data), [_order_and_digest(entry) for entry in data.list("tickets")]
    except InvalidFieldError as exc:
        return unavailable(f"index is malformed: {exc}")
    digests = dict(pair for pair in found if pair is not None)
    newest = max(map(ticket_number, digests), default=0)
    return Success(TicketIndex(era=era, newest=newest, digests=digests, unusable=found.count(None)))


def _listed_host(entry: object) -> tuple[str, str, int] | None:
    """Return the name, state and era of a listed host, None for an unusable entry."""
    try:
        host = JsonObject(entry)
        name = host.text("name", max_bytes=MAX_HOST_NAME_BYTES)
        return name, host.text("state"), _era(host)
    except InvalidFieldError:
        return None


def _order_and_digest(entry: object) -> tuple[int, int] | None:
    """Return the order and digest of a listed ticket, None for an unusable entry."""
    try:
        ticket = JsonObject(entry)
        order = ticket_order(_era(ticket), ticket.whole("number", TICKET_NUMBERS))
        digest = ticket.text("digest")
    except InvalidFieldError:
        return None
    return (order, int(digest, 16)) if _DIGEST.fullmatch(digest) else None


def _era(fields: JsonObject) -> int:
    return fields.whole("era", ERAS, default=0)
