"""The operator's catalog: the routes, services and client accounts of one version."""

import hashlib
from collections.abc import Mapping
from enum import Enum, unique
from functools import cached_property

from attrs import field, frozen

# Share of a prompt's prefill time by which it delays the batch that it joins.
PREFILL_OVERLAP = 1.0


@unique
class RequestKind(Enum):
    """Which requests on a route may be repeated."""

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
        Host name and path prefix that select it; the prefix begins and ends with a slash.
    targets : tuple of RouteTarget
        Services that answer it.
    kind : RequestKind
        Which requests may be repeated.
    timeout_s : float
        Longest time until the end of the answer, seconds.
    objective_s : float
        Latency objective, up to the first event for a stream, seconds.
    gap_objective_s : float
        Objective for the pause between two events of a stream, seconds.
    max_attempts : int
        Maximum number of runners to which one request may be sent.
    priority : int
        Priority among the routes; 0 is the most urgent.
    is_anonymous : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a stream may continue at another runner from the id of an event.
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
        """Return whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, distributed by weight; the same for the same id."""
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
    """Performance model of the engines of one service, as the operator publishes it.

    Parameters
    ----------
    model : str
        Name of the model that the engines run.
    slots : int
        Requests in one batch.
    step_s, step_per_sequence_s, step_per_token_s : float
        Time of a step that generates one token for each request of the batch: a fixed part, a part
        per request and a part per token of context, seconds.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    prefill_pair_s : float
        Time per pair of a prompt token and an earlier one, seconds.
    usual_prompt_tokens, usual_answer_tokens : float
        Mean sizes of the service's requests.
    layers : int
        Number of layers of the model.
    chunks : int
        Number of chunks of one version of the weights.
    chunk_bytes : int
        Size of a chunk, bytes.
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
        """Return the time to process a prompt, seconds."""
        return tokens / self.prefill_tokens_per_s + tokens**2 / 2 * self.prefill_pair_s

    @cached_property
    def completion_interval_s(self) -> float:
        """Return the mean interval at which a full engine completes requests, seconds.

        Each step generates one token for each of the `slots` requests of the batch. The prompts of
        requests that replace completed ones are processed in between.
        """
        context = self.slots * (self.usual_prompt_tokens + self.usual_answer_tokens / 2)
        step = self.step_s + self.slots * self.step_per_sequence_s + context * self.step_per_token_s
        prefill = self.prefill_s(self.usual_prompt_tokens)
        return step * self.usual_answer_tokens / self.slots + PREFILL_OVERLAP * prefill

    @cached_property
    def token_s(self) -> float:
        """Return the time between two tokens of an answer in a full batch, seconds.

        Each token waits for a step of the batch and for a part of the prefill of joining requests.
        """
        return self.completion_interval_s * self.slots / max(1.0, self.usual_answer_tokens)


@frozen(kw_only=True)
class OriginSpec:
    """Origin of the weights.

    Parameters
    ----------
    address : str
        `IP:PORT` of the origin.
    failure_domain : str
        Failure domain of the origin.
    bytes_per_s : float
        Bandwidth of its link, bytes per second.
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
        Connections that one runner accepts from all callers together.
    engine : EngineSpec or None
        Performance model of its engines; None for a plain service.
    origin : OriginSpec or None
        Given when the service distributes weights.
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
        `key_digest` of each of its keys; the keys themselves are not stored.
    priority : int or None
        Priority that overrides that of the route; None keeps the route's.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None


@frozen(kw_only=True)
class CallerLimits:
    """Limits of a caller's requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header and body, bytes.
    header_timeout_s, idle_timeout_s : float
        Longest time for the header of a request and between two requests, seconds.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def key_digest(key: str, salt: bytes) -> bytes:
    """Return the salted digest under which a key is stored and looked up.

    Keys are generated at random, so a fast hash is enough. The salt is random for each process, so
    digests are useless elsewhere and a lookup by digest leaks nothing to a caller.
    """
    return hashlib.blake2b(key.encode("utf-8", "replace"), key=salt, digest_size=32).digest()


@frozen(kw_only=True)
class Catalog:
    """Routes, services and client accounts of one version.

    Parameters
    ----------
    version : int
        Number of the version; a higher one replaces a lower one.
    accounts : tuple of ClientAccount
        Empty when callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: tuple[ClientAccount, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def account_for(self, digest: bytes) -> ClientAccount | None:
        """Return the account of a key digest."""
        return self._by_digest.get(digest)

    @property
    def origin(self) -> OriginSpec | None:
        """Return the origin of weights, if a service has one."""
        return next((s.origin for s in self.services.values() if s.origin is not None), None)

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return by_host

    @cached_property
    def _by_digest(self) -> dict[bytes, ClientAccount]:
        return {digest: account for account in self.accounts for digest in account.key_digests}


@frozen(kw_only=True)
class WeightTarget:
    """The version of a model's weights that all runners should hold."""

    model: str
    version: int
