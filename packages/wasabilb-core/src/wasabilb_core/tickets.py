"""Change tickets: numbered declarations of the complete new state of what they change."""

from collections.abc import Iterator
from enum import Enum, unique
from typing import TypeAlias

import attrs
import xxhash
from attrs import field, frozen
from returns.result import Failure, Result, Success

from wasabilb_core import _ticket_checks
from wasabilb_core.ticket_order import MAX_ERA, ticket_order
from wasabilb_core.toml_check import Problem, line_of, read_toml, structure

MAX_TICKET_BYTES = 1 << 20


@unique
class HostRole(Enum):
    """What runs on a host."""

    ENTRY = "entry"
    BACKEND = "backend"


@unique
class HostState(Enum):
    """State of a host that a ticket declares."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@frozen(kw_only=True)
class Variant:
    """The weights that answer a request: model, adapter and version."""

    model: str
    adapter: str
    version: str

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{adapter}@{self.version}"


@frozen(kw_only=True)
class ModelSpec:
    """One model deployment.

    Parameters
    ----------
    name : str
        Name that callers request.
    version : str
        Version that the runners have to hold.
    runners : list of str
        Hosts whose engines serve the model.
    adapter : str
        Adapter on top of the model; empty for none.
    while_loading : str
        Version that may still answer until a runner holds `version`; empty for none.
    manifest_digest : str
        SHA-256 of the manifest in hex; empty accepts the store's manifest.
    removed : bool
        Whether the deployment ends with this ticket.
    """

    name: str
    version: str
    runners: list[str]
    adapter: str = ""
    while_loading: str = ""
    manifest_digest: str = ""
    removed: bool = False

    @property
    def variant(self) -> Variant:
        """Return the variant that the runners have to hold."""
        return Variant(model=self.name, adapter=self.adapter, version=self.version)

    @property
    def fallback(self) -> Variant | None:
        """Return the variant that may still answer during the rollout."""
        if not self.while_loading:
            return None
        return attrs.evolve(self.variant, version=self.while_loading)


@frozen(kw_only=True)
class OnceCall:
    """A method and path prefix whose calls run at most once.

    Parameters
    ----------
    method : str
        `POST`, `PUT`, `PATCH`, `DELETE` or `GET`.
    path : str
        Path below `/services/NAME`, including all paths below it.
    """

    method: str
    path: str

    def is_match(self, method: str, path: str) -> bool:
        """Return whether this rule covers a call."""
        prefix = self.path.rstrip("/")
        return method == self.method and (path == prefix or path.startswith(prefix + "/"))


@frozen(kw_only=True)
class ServiceSpec:
    """One plain service.

    Parameters
    ----------
    name : str
        Name in the callers' path, `/services/NAME/`.
    hosts : list of str
        Backend servers that run the service.
    once_calls : list of OnceCall
        Calls that run at most once.
    once_hosts : list of str
        Hosts that own keys chosen by callers; empty means `hosts`.
    retired_once_hosts : list of str
        Earlier owners that are not known to be destroyed.
    opaque_key_window_s : float
        Seconds within which callers may repeat an opaque key (without a time); 0 refuses such keys.
    removed : bool
        Whether the service ends with this ticket.
    """

    name: str
    hosts: list[str]
    once_calls: list[OnceCall] = field(factory=list)
    once_hosts: list[str] = field(factory=list)
    retired_once_hosts: list[str] = field(factory=list)
    opaque_key_window_s: float = 0.0
    removed: bool = False

    @property
    def owners(self) -> list[str]:
        """Return the hosts that own keys chosen by callers."""
        return self.once_hosts or self.hosts

    def is_once(self, method: str, path: str) -> bool:
        """Return whether a call runs at most once."""
        return any(call.is_match(method, path) for call in self.once_calls)


@frozen(kw_only=True)
class HostSpec:
    """One host.

    Parameters
    ----------
    name : str
        Name of the host, unique in the fleet.
    role : str
        `entry` or `backend`.
    address : str
        Address of its process of the system, `IP:PORT`.
    region, failure_domain : str
        Location of the host.
    state : str
        `joining`, `live`, `leaving` or `gone`.
    fences_orders : bool
        Whether its engine refuses orders with an old fencing token.
    checks_orderer : bool
        Whether its engine or service authenticates the sender of an order.
    """

    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    state: str = "live"
    fences_orders: bool = True
    checks_orderer: bool = True

    @property
    def is_backend(self) -> bool:
        """Return whether a backend server runs on the host."""
        return self.role == HostRole.BACKEND.value

    @property
    def is_entry(self) -> bool:
        """Return whether an entry process runs on the host."""
        return self.role == HostRole.ENTRY.value

    @property
    def takes_work(self) -> bool:
        """Return whether the host may receive new work under the ticket."""
        return self.state in (HostState.JOINING.value, HostState.LIVE.value)


@frozen(kw_only=True)
class AccountSpec:
    """One client account.

    Parameters
    ----------
    name : str
        Name of the account.
    key_hash : str
        `scrypt$SALT$HASH` of the account's key, in hex.
    weight : float
        Share in weighted fair queueing.
    requests_per_s : float
        Rate limit over all entry hosts together.
    burst : float
        Requests that may arrive at once over all entry hosts together.
    removed : bool
        Whether the account ends with this ticket.
    """

    name: str
    key_hash: str
    weight: float = 1.0
    requests_per_s: float = 100.0
    burst: float = 100.0
    removed: bool = False


DeclaredSpec: TypeAlias = ModelSpec | ServiceSpec | HostSpec | AccountSpec


@frozen(kw_only=True)
class TicketBody:
    """The TOML content of a ticket.

    Parameters
    ----------
    number : int
        Number of the ticket, above 0; never reused.
    title : str
        One-line description for operators.
    models : list of ModelSpec
        Model deployments that the ticket declares.
    services : list of ServiceSpec
        Plain services that the ticket declares.
    hosts : list of HostSpec
        Hosts that the ticket declares.
    accounts : list of AccountSpec
        Client accounts that the ticket declares.
    """

    number: int
    title: str = ""
    models: list[ModelSpec] = field(factory=list)
    services: list[ServiceSpec] = field(factory=list)
    hosts: list[HostSpec] = field(factory=list)
    accounts: list[AccountSpec] = field(factory=list)

    def declarations(self) -> Iterator[tuple[str, DeclaredSpec]]:
        """Yield the key and the new state of each declaration of the ticket."""
        for model in self.models:
            yield f"model:{model.name}", model
        for service in self.services:
            yield f"service:{service.name}", service
        for host in self.hosts:
            yield f"host:{host.name}", host
        for account in self.accounts:
            yield f"account:{account.name}", account


@frozen(kw_only=True)
class Ticket:
    """A valid ticket and its text.

    Parameters
    ----------
    body : TicketBody
        Parsed content.
    text : str
        The TOML text as published.
    digest : int
        64-bit digest of the text, to distinguish tickets with the same number.
    era : int
        Era of the configuration service in which it was published.
    """

    body: TicketBody
    text: str
    digest: int
    era: int = 0

    @property
    def number(self) -> int:
        """Return the ticket's number."""
        return self.body.number

    @property
    def order(self) -> int:
        """Return the ticket's place in the order of all tickets."""
        return ticket_order(self.era, self.body.number)


def parse_ticket(text: str, *, era: int = 0) -> Result[Ticket, tuple[Problem, ...]]:
    """Parse and check a ticket of an era, or fail with every problem in it."""
    size = len(text.encode())
    if size > MAX_TICKET_BYTES:
        message = f"{size} bytes, expected at most {MAX_TICKET_BYTES}"
        return Failure((Problem(path="", line=0, message=message),))
    if not 0 <= era <= MAX_ERA:
        message = f"era {era}, expected 0 to {MAX_ERA}"
        return Failure((Problem(path="", line=0, message=message),))
    data = read_toml(text)
    if not isinstance(data, Success):
        return Failure(data.failure())
    body = structure(text, data.unwrap(), TicketBody)
    problems = [] if isinstance(body, Success) else list(body.failure())
    if isinstance(body, Success):
        problems = [
            Problem(path=path, line=line_of(text, path), message=message)
            for path, message in _ticket_checks.body_problems(body.unwrap())
        ]
    else:
        # Single values are also checked in the raw data, so that one wrong type hides no other
        # mistake.
        reported_paths = {problem.path for problem in problems}
        problems.extend(
            Problem(path=path, line=line_of(text, path), message=message)
            for path, message in _ticket_checks.raw_problems(data.unwrap())
            if path not in reported_paths
        )
    if problems:
        return Failure(tuple(sorted(problems, key=lambda problem: (problem.line, problem.path))))
    return Success(Ticket(body=body.unwrap(), text=text, digest=ticket_digest(text), era=era))


def ticket_digest(text: str) -> int:
    """Return the 64-bit digest of a ticket's text."""
    return xxhash.xxh3_64_intdigest(text.encode())
