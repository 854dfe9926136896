"""The operator's catalog: routes, services and client accounts that are in force together."""

import hashlib
from collections.abc import Mapping
from enum import Enum, unique
from functools import cached_property

from attrs import field, frozen

# Part of the time of a batch that goes into reading the prompts of others that join it.
PREFILL_OVERLAP = 1.0


@unique
class RequestKind(Enum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@frozen(kw_only=True)
class RouteTarget:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """Requests of one host name below one path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host, prefix : str
        What selects it; the prefix begins and ends with a slash.
    targets : tuple of RouteTarget
        Services that answer it.
    kind : RequestKind
        What may be repeated.
    timeout_s : float
        Longest time that a caller is kept waiting for the end of the answer, seconds.
    objective_s : float
        Latency objective, up to the first event for a stream, seconds.
    gap_objective_s : float
        Longest pause between two events of a stream that is still on time, seconds.
    max_attempts : int
        Most runners to which one request may be sent.
    priority : int
        Rank among the routes, 0 is the most urgent.
    is_anonymous : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a stream may go on at another runner from an event's id.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[RouteTarget, ...]
    kind: RequestKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run can be sent once more."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def service_for(self, request_id: str) -> str:
        """Return the service of one request, spread by weight; the same for the same id."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        digest = hashlib.blake2b(f"{self.name}\x00{request_id}".encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@frozen(kw_only=True)
class EngineSpec:
    """How the engines of one service work, as the operator publishes it.

    Parameters
    ----------
    model : str
        Name of the model that the engines run.
    slots : int
        Requests in one batch.
    step_s, step_per_sequence_s, step_per_token_s : float
        Time of a step that makes one token for each request of the batch: a fixed part, a part
        for each request and a part for each token of context, seconds.
    prefill_tokens_per_s : float
        Prompt tokens read in a second.
    prefill_pair_s : float
        Time for each pair of a prompt token and an earlier one, seconds.
    usual_prompt_tokens, usual_answer_tokens : float
        Mean sizes of the service's requests.
    layers : int
        Layers of the model.
    chunks : int
        Chunks of one version of the weights.
    chunk_bytes : int
        Size of a chunk.
    """

    model: str
    slots: int
    step_s: float
    step_per_sequence_s: float = 0.0
    step_per_token_s: float = 0.0
    prefill_tokens_per_s: float = 1e4
    prefill_pair_s: float = 0.0
    usual_prompt_tokens: float = 0.0
    usual_answer_tokens: float = 1.0
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0

    def prefill_s(self, tokens: float) -> float:
        """Return the time to read a prompt, seconds."""
        return tokens / self.prefill_tokens_per_s + tokens**2 / 2 * self.prefill_pair_s

    @cached_property
    def completion_interval_s(self) -> float:
        """Return the mean time after which a full engine ends one of its requests, seconds.

        A batch of `slots` requests makes a token for each in one step, and reads the prompts of the
        requests that take the places of ended ones.
        """
        context = self.slots * (self.usual_prompt_tokens + self.usual_answer_tokens / 2)
        step = self.step_s + self.slots * self.step_per_sequence_s + context * self.step_per_token_s
        prefill = self.prefill_s(self.usual_prompt_tokens)
        return step * self.usual_answer_tokens / self.slots + PREFILL_OVERLAP * prefill

    @cached_property
    def token_s(self) -> float:
        """Return the time between two tokens of an answer in a full batch, seconds.

        Each token waits for a step of the batch and for a part of the prompts that join it.
        """
        return self.completion_interval_s * self.slots / max(1.0, self.usual_answer_tokens)


@frozen(kw_only=True)
class OriginSpec:
    """Where the weights come from.

    Parameters
    ----------
    address : str
        `IP:PORT` of the origin.
    failure_domain : str
        Where it stands.
    bytes_per_s : float
        Bandwidth of its link.
    """

    address: str
    failure_domain: str
    bytes_per_s: float


@frozen(kw_only=True)
class Service:
    """One service behind the entry hosts.

    Parameters
    ----------
    max_connections : int
        Connections that one of its runners accepts from all callers together.
    engine : EngineSpec or None
        How its model engines work; None for a plain service.
    origin : OriginSpec or None
        Given when the service hands out weights.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    origin: OriginSpec | None = None


@frozen(kw_only=True)
class ClientAccount:
    """One client account.

    Parameters
    ----------
    key_digests : frozenset of bytes
        `key_digest` of each of its keys; the keys themselves are not held.
    priority : int or None
        Rank that takes precedence over a route's; None leaves the route's.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None


@frozen(kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header and body.
    header_timeout_s, idle_timeout_s : float
        Longest time for the header of a request and between two requests, seconds.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def key_digest(key: str, salt: bytes) -> bytes:
    """Return the salted digest under which a key is held and looked up.

    Keys are machine-made and random, so a fast hash is enough; the salt is random for each
    process, so digests are of no use elsewhere and a lookup by digest tells a caller nothing.
    """
    return hashlib.blake2b(key.encode("utf-8", "replace"), key=salt, digest_size=32).digest()


@frozen(kw_only=True)
class Catalog:
    """Routes, services and client accounts of one version.

    Parameters
    ----------
    version : int
        Number of the version; a greater one replaces a smaller one.
    accounts : tuple of ClientAccount
        Empty when callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: tuple[ClientAccount, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path among those of a host."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def account_for(self, digest: bytes) -> ClientAccount | None:
        """Return the account that holds the key of a digest."""
        return self._by_digest.get(digest)

    @property
    def origin(self) -> OriginSpec | None:
        """Return the origin of weights, if any service is one."""
        return next((s.origin for s in self.services.values() if s.origin is not None), None)

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), {})[route.prefix] = route
        return found

    @cached_property
    def _by_digest(self) -> dict[bytes, ClientAccount]:
        return {digest: account for account in self.accounts for digest in account.key_digests}


@frozen(kw_only=True)
class WeightTarget:
    """The version of a model's weights that the operator wants on all runners."""

    model: str
    version: int
