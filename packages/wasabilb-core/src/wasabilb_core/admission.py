"""Admission at an entry host: deadlines, an adaptive concurrency limit and fair shares."""

import math
import random
from collections import deque

from attrs import define, frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.retries import jittered_s

MIN_RETRY_S = 0.2
# Without completions the pause would grow without bound, and callers must detect the end of an
# outage in reasonable time.
MAX_RETRY_S = 10.0
# Window of the completion and refusal rates.
RATE_WINDOW_S = 5.0

# An entry host observes about one start a second; single waits are noise.
WAIT_GAIN = 0.2


@frozen(kw_only=True)
class AdmissionRequest:
    """Properties of a request that admission depends on.

    Parameters
    ----------
    account : str
        Account charged for the request.
    weight : float
        The account's share.
    deadline : float or None
        Time at which the answer is no longer of use.
    expected_s : float
        Expected wait and run time on the best runner, in seconds.
    """

    account: str
    weight: float = 1.0
    deadline: float | None = None
    expected_s: float = 0.0


@frozen(kw_only=True)
class AdmissionOptions:
    """Settings of `Admission`.

    Parameters
    ----------
    min_limit, max_limit : int
        Bounds of the concurrency limit.
    target_wait_s : float
        Target wait in the agents' queues.
    interval_s : float
        Time between two changes of the limit.
    increase, decrease : float
        Additive increase in requests and multiplicative decrease.
    headroom : float
        Part of the limit that accounts above their fair share must leave free.
    """

    min_limit: int = 4
    max_limit: int = 1024
    target_wait_s: float = 0.5
    interval_s: float = 0.5
    increase: float = 0.5
    decrease: float = 0.9
    headroom: float = 0.1


@define(kw_only=True)
class AccountLoad:
    """Requests in flight and weight of one account."""

    in_flight: int = 0
    weight: float = 1.0
    last_request_at: float = -math.inf


class Admission:
    """Adaptive concurrency limit that accepts a request or refuses it with a retry time.

    The limit rises by a step per interval while the average wait in the agents' queues is below the
    target and falls by a factor otherwise: additive increase with multiplicative decrease makes the
    entry hosts converge to equal shares (Chiu and Jain, "Analysis of the increase and decrease
    algorithms", 1989). The agents refuse by their exact queues; the limit bounds their load.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the retry times of refused callers.
    options : AdmissionOptions
        Settings.
    """

    def __init__(self, *, rng: random.Random, options: AdmissionOptions | None = None) -> None:
        self._rng = rng
        self._options = options or AdmissionOptions()
        self._limit = float(self._options.max_limit)
        self._in_flight = 0
        self._accounts: dict[str, AccountLoad] = {}
        self._wait_s = 0.0
        self._adjusted_at = -math.inf
        self._completions: deque[float] = deque()
        self._refusals: deque[float] = deque()

    @property
    def limit(self) -> int:
        """Return the number of requests that may be in flight now."""
        return int(self._limit)

    @property
    def in_flight(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return self._in_flight

    def admit(self, request: AdmissionRequest, now: float) -> Result[None, Error]:
        """Admit a request until `on_done` is called for it, or refuse it."""
        load = self._accounts.setdefault(request.account, AccountLoad())
        load.weight, load.last_request_at = request.weight, now
        if request.deadline is not None and now + request.expected_s > request.deadline:
            kind = ErrorKind.DEADLINE_UNREACHABLE
            if now >= request.deadline:
                kind = ErrorKind.DEADLINE_PASSED
            left_s = request.deadline - now
            detail = f"needs about {request.expected_s:.2f} s, {left_s:.2f} s are left"
            return self._refuse(kind, detail, now)
        if self._in_flight >= self.limit:
            return self._refuse(ErrorKind.OVERLOADED, "the entry host is at its limit", now)
        open_limit = self._limit * (1.0 - self._options.headroom)
        if self._in_flight >= open_limit and load.in_flight >= self._fair_share(load, now):
            detail = f"account {request.account} is above its fair share"
            return self._refuse(ErrorKind.OVERLOADED, detail, now)
        load.in_flight += 1
        self._in_flight += 1
        return Success(None)

    def on_wait(self, wait_s: float, now: float) -> None:
        """Record the time in seconds that a request waited in an agent's queue."""
        self._wait_s += (wait_s - self._wait_s) * WAIT_GAIN
        if now - self._adjusted_at >= self._options.interval_s:
            self._adjust_limit(self._wait_s > self._options.target_wait_s)
            self._adjusted_at = now

    def on_overload(self, now: float) -> None:
        """Record that an agent refused a request because its queue was full or too long."""
        if now - self._adjusted_at >= self._options.interval_s:
            self._adjust_limit(True)
            self._adjusted_at = now

    def on_done(self, account: str, now: float, *, ok: bool = True) -> None:
        """Record the end of an admitted request; `ok` is False if it was not answered."""
        if ok:
            _record(self._completions, now)
        load = self._accounts.get(account)
        if load is None or load.in_flight == 0:
            return
        load.in_flight -= 1
        self._in_flight -= 1
        if load.in_flight == 0 and now - load.last_request_at > RATE_WINDOW_S:
            del self._accounts[account]

    def _adjust_limit(self, is_overloaded: bool) -> None:
        opts = self._options
        if is_overloaded:
            # A limit far above the requests in flight has no effect, so the decrease starts lower.
            # The factor 2 leaves room for random variation on a small host.
            base = min(self._limit, 2.0 * max(self._in_flight, opts.min_limit))
            self._limit = max(float(opts.min_limit), base * opts.decrease)
        elif self._in_flight >= 0.7 * self._limit:
            self._limit = min(float(opts.max_limit), self._limit + opts.increase)

    def _fair_share(self, load: AccountLoad, now: float) -> float:
        active = [
            other.weight
            for other in self._accounts.values()
            if other.in_flight or now - other.last_request_at <= RATE_WINDOW_S
        ]
        return self._limit * load.weight / max(sum(active), 1e-9)

    def refusal(self, kind: ErrorKind, detail: str, now: float) -> Error:
        """Return an error with a pause long enough to serve the refused requests of the window.

        Jitter of up to the length of the pause keeps callers from retrying together.
        """
        _record(self._refusals, now)
        _trim(self._completions, now)
        served = max(1, len(self._completions))
        pause_s = min(MAX_RETRY_S, max(MIN_RETRY_S, RATE_WINDOW_S * len(self._refusals) / served))
        return Error(kind=kind, detail=detail, retry_after_s=jittered_s(pause_s, self._rng))

    def _refuse(self, kind: ErrorKind, detail: str, now: float) -> Result[None, Error]:
        return Failure(self.refusal(kind, detail, now))


def _record(times: deque[float], now: float) -> None:
    times.append(now)
    _trim(times, now)


def _trim(times: deque[float], now: float) -> None:
    while times and times[0] < now - RATE_WINDOW_S:
        times.popleft()
