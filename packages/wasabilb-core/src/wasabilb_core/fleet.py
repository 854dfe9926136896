"""The fleet state: the merged declarations of all accepted tickets."""

from collections.abc import Iterable, Iterator

import xxhash
from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.ticket_order import ticket_era
from wasabilb_core.tickets import (
    AccountSpec,
    DeclaredSpec,
    HostSpec,
    HostState,
    ModelSpec,
    ServiceSpec,
    Ticket,
)

# Digests of superseded tickets reveal a reused number. 230 tickets a day reach this in 17 days.
MAX_STORED_DIGESTS = 4096


@frozen(kw_only=True)
class Declaration:
    """The newest declaration under one key, with the order of its ticket."""

    order: int
    value: DeclaredSpec


class FleetState:
    """Merges tickets to the same state for any order of arrival, with repeats or gaps.

    For each key the ticket that is last in the order of `ticket_order` wins. The merge is
    commutative, associative and idempotent, and a declaration is never replaced by an earlier one.
    """

    def __init__(self) -> None:
        self._declared: dict[str, Declaration] = {}
        self._tickets: dict[int, Ticket] = {}
        self._digests: dict[int, int] = {}
        self._digest = 0

    def apply(self, ticket: Ticket) -> Result[frozenset[str], Error]:
        """Merge a ticket and return the keys of the declarations that it changed.

        Fails with `TICKET_CONFLICT` when another text was accepted under the same number and era.
        """
        known = self._digests.get(ticket.order)
        if known is not None:
            if known == ticket.digest:
                return Success(frozenset())
            detail = f"ticket {ticket.number} was accepted with other content; publish a new number"
            return Failure(Error(kind=ErrorKind.TICKET_CONFLICT, detail=detail))
        changed = set()
        for key, value in ticket.body.declarations():
            current = self._declared.get(key)
            if current is None or current.order < ticket.order:
                self._declared[key] = Declaration(order=ticket.order, value=value)
                changed.add(key)
        self._store(ticket)
        return Success(frozenset(changed))

    def newest(self, *, before_era: int | None = None) -> int:
        """Return the order of the last accepted ticket, 0 before the first ticket.

        With an era, only tickets of earlier ones count.
        """
        if before_era is None:
            return max(self._digests, default=0)
        return max((o for o in self._digests if ticket_era(o) < before_era), default=0)

    def order_of(self, key: str) -> int:
        """Return the order of the ticket whose declaration of a key is in force, 0 for none."""
        declared = self._declared.get(key)
        return declared.order if declared else 0

    def model(self, name: str) -> ModelSpec | None:
        """Return a model deployment that is not removed."""
        value = self._value(f"model:{name}")
        return value if isinstance(value, ModelSpec) and not value.removed else None

    def models(self) -> list[ModelSpec]:
        """Return all model deployments that are not removed."""
        return [v for v in self._values() if isinstance(v, ModelSpec) and not v.removed]

    def service(self, name: str) -> ServiceSpec | None:
        """Return a plain service that is not removed."""
        value = self._value(f"service:{name}")
        return value if isinstance(value, ServiceSpec) and not value.removed else None

    def services(self) -> list[ServiceSpec]:
        """Return all plain services that are not removed."""
        return [v for v in self._values() if isinstance(v, ServiceSpec) and not v.removed]

    def host(self, name: str) -> HostSpec | None:
        """Return a declared host that is not gone."""
        value = self._value(f"host:{name}")
        is_host = isinstance(value, HostSpec) and value.state != HostState.GONE.value
        return value if is_host and isinstance(value, HostSpec) else None

    def hosts(self) -> list[HostSpec]:
        """Return all declared hosts that are not gone."""
        return [
            v for v in self._values() if isinstance(v, HostSpec) and v.state != HostState.GONE.value
        ]

    def account(self, name: str) -> AccountSpec | None:
        """Return an account that is not removed."""
        value = self._value(f"account:{name}")
        return value if isinstance(value, AccountSpec) and not value.removed else None

    def accounts(self) -> list[AccountSpec]:
        """Return all accounts that are not removed."""
        return [v for v in self._values() if isinstance(v, AccountSpec) and not v.removed]

    def models_on(self, host: str) -> list[ModelSpec]:
        """Return the deployments that a host has to serve."""
        return [model for model in self.models() if host in model.runners]

    def tickets(self) -> list[Ticket]:
        """Return the tickets with a declaration in force, in their order."""
        return [self._tickets[order] for order in sorted(self._tickets)]

    def orders(self) -> tuple[int, ...]:
        """Return the orders of the tickets with a declaration in force."""
        return tuple(sorted(self._tickets))

    def tickets_missing_from(self, orders: Iterable[int]) -> list[Ticket]:
        """Return the tickets with a declaration in force whose orders are not given."""
        known = set(orders)
        return [ticket for ticket in self.tickets() if ticket.order not in known]

    def digest(self) -> int:
        """Return a 64-bit digest of the state; equal states have equal digests."""
        return self._digest

    def digest_of(self, order: int) -> int | None:
        """Return the digest of the text accepted at a place in the order."""
        return self._digests.get(order)

    def _store(self, ticket: Ticket) -> None:
        self._digests[ticket.order] = ticket.digest
        while len(self._digests) > MAX_STORED_DIGESTS:
            oldest = min(order for order in self._digests if order not in self._tickets)
            del self._digests[oldest]
        self._tickets[ticket.order] = ticket
        live = {declared.order for declared in self._declared.values()}
        self._tickets = {n: t for n, t in self._tickets.items() if n in live}
        content = ",".join(f"{n}:{t.digest}" for n, t in sorted(self._tickets.items()))
        self._digest = xxhash.xxh3_64_intdigest(content.encode())

    def _value(self, key: str) -> DeclaredSpec | None:
        declared = self._declared.get(key)
        return declared.value if declared else None

    def _values(self) -> Iterator[DeclaredSpec]:
        for key in sorted(self._declared):
            yield self._declared[key].value
