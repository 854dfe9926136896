"""Types that all routing policies share, the registry and the baseline policies."""

import math
import random
from collections.abc import Iterable, Sequence

from attrs import field, frozen

from wasabilb_core.registry import Registry


@frozen(kw_only=True)
class RunnerView:
    """What an entry host knows of one candidate. Leaving hosts are left out by the caller.

    Parameters
    ----------
    host : str
        Name of the host.
    in_flight : int
        Requests of this entry host that have been sent there and have not ended.
    reported_running, reported_queued : int
        Requests of all entry hosts, from the newest load report.
    slots : int
        Requests that the engine runs at the same time.
    report_age_s : float
        Age of the load report in seconds.
    pace : float
        How many times longer than usual the host takes for its work at this time.
    distance_s : float
        One-way delay to the host, and what its use costs otherwise, in seconds.
    completion_interval_s : float
        Mean time in seconds after which a full engine ends one of its requests.
    prompts_s : float
        Time in seconds to read the prompts that were sent there and are not read yet.
    is_for_long : bool
        Whether long answers are preferred there.
    is_easing : bool
        Whether it is to load a version soon and should get less to do.
    token_s : float
        Time in seconds between two tokens of an answer in a full batch at the usual pace.
    """

    host: str
    in_flight: int = 0
    reported_running: int = 0
    reported_queued: int = 0
    slots: int = 1
    report_age_s: float = 0.0
    pace: float = 1.0
    distance_s: float = 0.0
    completion_interval_s: float = 0.0
    prompts_s: float = 0.0
    is_for_long: bool = False
    is_easing: bool = False
    token_s: float = 0.0


def _to_hosts(hosts: Iterable[str]) -> frozenset[str]:
    return frozenset(hosts)


@frozen(kw_only=True)
class RouteRequest:
    """What routing may know of a request.

    Parameters
    ----------
    predicted_tokens : float
        Tokens that the request is expected to produce.
    prefix_hashes : tuple of int
        Hash of each prefix of the prompt, the shortest prefix first.
    is_short : bool
        Whether the request belongs to the shortest size class.
    left_s : float
        Seconds until the answer must have ended.
    excluded : frozenset of str
        Hosts that must not be chosen, for example those of failed attempts.
    """

    predicted_tokens: float = 0.0
    prefix_hashes: tuple[int, ...] = ()
    is_short: bool = False
    left_s: float = math.inf
    excluded: frozenset[str] = field(default=frozenset(), converter=_to_hosts)


class RoutingPolicy:
    """Chooses a runner for each request and learns from what the entry host observes."""

    def choose(
        self,
        request: RouteRequest,
        runners: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return one of the runners that is not excluded, or None when there is none."""
        allowed = [runner for runner in runners if runner.host not in request.excluded]
        return self._pick(request, allowed, now, rng) if allowed else None

    def on_sent(self, host: str, request: RouteRequest, now: float) -> None:
        """Note that a request was sent to a host."""

    def on_first_byte(self, host: str, wait_s: float, now: float) -> None:
        """Note the time in seconds from sending a request to the first byte of its answer."""

    def on_progress(self, host: str, gap_s: float, now: float) -> None:
        """Note the time in seconds between two pieces of one answer."""

    def on_done(self, host: str, ok: bool, now: float, *, waited_s: float | None = None) -> None:
        """Note that a request has ended or has been taken away from a host.

        Parameters
        ----------
        host : str
            The host it was sent to.
        ok : bool
            False when the host failed it or was too slow.
        now : float
            Current time in seconds.
        waited_s : float or None
            Seconds since it was sent when no byte has arrived, otherwise None. Without it a
            request that ended in the queue would count as one that still waits.
        """

    def on_cache_event(self, host: str, prefix_hash: int, is_held: bool, now: float) -> None:
        """Note that an engine stored or evicted a prefix; events may be late or missing."""

    def slowdown(self, host: str, now: float) -> float:
        """Return how many times slower than its peers a host is, 1.0 when not known to be."""
        return 1.0

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        raise NotImplementedError


ROUTING: Registry[RoutingPolicy] = Registry(kind="routing policy")


@ROUTING.register("round_robin")
class RoundRobin(RoutingPolicy):
    """Baseline: the runners in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        self._turn += 1
        return runners[self._turn % len(runners)]


@ROUTING.register("random")
class RandomChoice(RoutingPolicy):
    """Baseline: any runner."""

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return rng.choice(runners)


@ROUTING.register("least_in_flight")
class LeastInFlight(RoutingPolicy):
    """Baseline: the runner with the fewest requests of this entry host, ties at random."""

    def _pick(
        self, request: RouteRequest, runners: list[RunnerView], now: float, rng: random.Random
    ) -> RunnerView:
        return min(runners, key=lambda runner: (runner.in_flight, rng.random()))
