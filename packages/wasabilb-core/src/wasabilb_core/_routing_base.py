"""Types shared by all routing policies, the policy registry and the baseline policies."""

import math
import random
from collections.abc import Iterable, Sequence

from attrs import field, frozen

from wasabilb_core.registry import Registry


@frozen(kw_only=True)
class RunnerView:
    """State of one candidate as seen by an entry host. The caller omits leaving hosts.

    Parameters
    ----------
    host : str
        Name of the host.
    in_flight : int
        Requests that this entry host has sent to the runner and that have not ended.
    reported_running, reported_queued : int
        Requests of all entry hosts in the newest load report.
    slots : int
        Maximum number of concurrent requests of the engine.
    report_age_s : float
        Age of the load report in seconds.
    pace : float
        Slowdown: current duration of work on the host relative to the usual one, above 1 if slower.
    access_cost_s : float
        One-way delay to the host plus other costs, in seconds.
    completion_interval_s : float
        Mean time in seconds between two completions of a full engine.
    prefill_backlog_s : float
        Prefill time in seconds of the prompts that are sent but not yet processed.
    is_preferred_for_long : bool
        Whether the runner is preferred for long answers.
    is_easing : bool
        Whether the runner is about to load a version and should receive fewer requests.
    token_s : float
        Time in seconds between two tokens of an answer in a full batch at pace 1.
    """

    host: str
    in_flight: int = 0
    reported_running: int = 0
    reported_queued: int = 0
    slots: int = 1
    report_age_s: float = 0.0
    pace: float = 1.0
    access_cost_s: float = 0.0
    completion_interval_s: float = 0.0
    prefill_backlog_s: float = 0.0
    is_preferred_for_long: bool = False
    is_easing: bool = False
    token_s: float = 0.0


def _to_hosts(hosts: Iterable[str]) -> frozenset[str]:
    return frozenset(hosts)


@frozen(kw_only=True)
class RouteRequest:
    """Properties of a request that routing depends on.

    Parameters
    ----------
    predicted_tokens : float
        Expected number of tokens in the answer.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, shortest first.
    is_short : bool
        Whether the request belongs to the shortest size class.
    left_s : float
        Seconds until the request's deadline.
    excluded : frozenset of str
        Hosts that must not be chosen, such as those of failed attempts.
    """

    predicted_tokens: float = 0.0
    prefix_hashes: tuple[int, ...] = ()
    is_short: bool = False
    left_s: float = math.inf
    excluded: frozenset[str] = field(default=frozenset(), converter=_to_hosts)


class RoutingPolicy:
    """Chooses a runner for each request from views and the observations of the entry host."""

    def choose(
        self,
        request: RouteRequest,
        runners: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return one of the runners that are not excluded, or None if there is none."""
        allowed = [runner for runner in runners if runner.host not in request.excluded]
        return self._pick(request, allowed, now, rng) if allowed else None

    def on_sent(self, host: str, request: RouteRequest, now: float) -> None:
        """Record that a request was sent to a host."""

    def on_first_byte(self, host: str, waited_s: float, now: float) -> None:
        """Record the time in seconds from sending a request to the first byte of its answer."""

    def on_progress(self, host: str, gap_s: float, now: float) -> None:
        """Record the time in seconds between two tokens of one answer."""

    def on_done(self, host: str, ok: bool, now: float, *, waited_s: float | None = None) -> None:
        """Record that a request ended or was withdrawn from a host.

        Parameters
        ----------
        host : str
            Host that received the request.
        ok : bool
            False if the request failed on the host or the host was too slow.
        now : float
            Current time in seconds.
        waited_s : float or None
            Seconds since sending if no byte has arrived, otherwise None. It identifies the
            request to remove from those that count as waiting.
        """

    def on_cache_event(self, host: str, prefix_hash: int, is_cached: bool, now: float) -> None:
        """Record that an engine stored or evicted a prefix; events may be late or missing."""

    def slowdown(self, host: str, now: float) -> float:
        """Return the host's slowdown relative to its peers, 1.0 if none is known."""
        return 1.0

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        raise NotImplementedError


ROUTING: Registry[RoutingPolicy] = Registry(kind="routing policy")


@ROUTING.register("round_robin")
class RoundRobin(RoutingPolicy):
    """Baseline that takes the runners in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        self._turn += 1
        return runners[self._turn % len(runners)]


@ROUTING.register("random")
class RandomChoice(RoutingPolicy):
    """Baseline that takes a random runner."""

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return rng.choice(runners)


@ROUTING.register("least_in_flight")
class LeastInFlight(RoutingPolicy):
    """Baseline that takes the runner with the fewest requests of this entry host."""

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return min(runners, key=lambda runner: (runner.in_flight, rng.random()))
