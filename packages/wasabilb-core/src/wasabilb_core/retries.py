"""Extra attempts: their budget, hedging, moving slow streams and backoff."""

import math
import random
from collections import deque

from wasabilb_core.registry import Registry

# Extra work as a share of the accepted work; the target is under 3 %.
MAX_EXTRA_SHARE = 0.03
# Unused allowance is kept for so much work only, so that a calm hour cannot pay for a storm.
MAX_BALANCE = 50.0
OVERLOAD_PAUSE_S = 5.0
DELAY_WINDOW = 512
MIN_DELAY_SAMPLES = 32


class RetryBudget:
    """Allows extra work in proportion to accepted work and none during an overload.

    The balance starts at zero, so extra work never exceeds the share. Source of the scheme:
    the retry budget of the Finagle library and Beyer et al., "Site Reliability Engineering", 2016,
    chapter 21.

    Parameters
    ----------
    share : float
        Extra work per unit of accepted work.
    max_balance : float
        Highest allowance that is kept, in units of work.
    """

    def __init__(self, *, share: float = MAX_EXTRA_SHARE, max_balance: float = MAX_BALANCE) -> None:
        self._share = share
        self._max_balance = max_balance
        self._balance = 0.0
        self._paused_until = -math.inf

    @property
    def balance(self) -> float:
        """Return the extra work that may be spent now; negative after forced spending."""
        return self._balance

    def on_request(self, work: float = 1.0) -> None:
        """Note accepted work."""
        self._balance = min(self._max_balance, self._balance + self._share * work)

    def on_overload(self, now: float) -> None:
        """Note a refusal for overload; optional extra work stops for `OVERLOAD_PAUSE_S`."""
        self._paused_until = now + OVERLOAD_PAUSE_S

    def spend(self, now: float, work: float = 1.0) -> bool:
        """Take the allowance for optional extra work, or return False."""
        if now < self._paused_until or work > self._balance:
            return False
        self._balance -= work
        return True

    def charge(self, work: float = 1.0) -> None:
        """Charge a resume after a lost runner; optional extra work pays it back first."""
        self._balance = max(-self._max_balance, self._balance - work)


class DelayQuantile:
    """A quantile of the newest first-byte times, renewed every few observations.

    Parameters
    ----------
    quantile : float
        Share of the times below the delay.
    min_delay_s : float
        Shortest delay in seconds.
    """

    def __init__(self, *, quantile: float, min_delay_s: float) -> None:
        self._quantile = quantile
        self._min_delay_s = min_delay_s
        self._waits: deque[float] = deque(maxlen=DELAY_WINDOW)
        self._delay_s = math.inf
        self._new_samples = 0

    @property
    def value(self) -> float:
        """Return the delay in seconds, infinite until there are enough observations."""
        return self._delay_s

    def observe(self, wait_s: float) -> None:
        """Learn from one first-byte time in seconds."""
        self._waits.append(wait_s)
        self._new_samples += 1
        if self._new_samples >= MIN_DELAY_SAMPLES:
            ordered = sorted(self._waits)
            index = min(len(ordered) - 1, int(self._quantile * len(ordered)))
            self._delay_s = max(self._min_delay_s, ordered[index])
            self._new_samples = 0


class HedgePolicy:
    """Says when a second attempt may start: late by the observed quantile, and repeatable.

    Source: Dean and Barroso, "The tail at scale", Communications of the ACM 56(2), 2013.

    Parameters
    ----------
    budget : RetryBudget
        Pays for the second attempt.
    quantile : float
        Share of first-byte times below the delay.
    min_delay_s : float
        Shortest delay in seconds.
    """

    def __init__(
        self, *, budget: RetryBudget, quantile: float = 0.98, min_delay_s: float = 0.02
    ) -> None:
        self._budget = budget
        self._delay = DelayQuantile(quantile=quantile, min_delay_s=min_delay_s)

    def observe(self, wait_s: float) -> None:
        """Learn from the first-byte time of a request that was not hedged."""
        self._delay.observe(wait_s)

    def delay_s(self) -> float | None:
        """Return the delay in seconds after which a hedge is worth it, None while unknown."""
        return None if math.isinf(self._delay.value) else self._delay.value

    def may_hedge(
        self, *, is_repeatable: bool, waited_s: float, now: float, work: float = 1.0
    ) -> bool:
        """Take the allowance for a second attempt of a request that waits for its first byte."""
        if not is_repeatable or waited_s < self._delay.value:
            return False
        return self._budget.spend(now, work)


HEDGING: Registry[HedgePolicy | None] = Registry(kind="hedging policy")


@HEDGING.register("budgeted")
def budgeted(*, budget: RetryBudget) -> HedgePolicy | None:
    """Return the policy whose second attempts a budget pays for."""
    return HedgePolicy(budget=budget)


@HEDGING.register("none")
def no_hedging(*, budget: RetryBudget) -> HedgePolicy | None:
    """Return None: baseline without second attempts, moves and withdrawals."""
    return None


class WithdrawPolicy:
    """Says when to ask an agent to give back a call that has not started, to send it elsewhere.

    The agent's queue answers by `cancel`, so the call has not run and no work is repeated. The
    same idea as work stealing, started by the sender.

    Parameters
    ----------
    quantile : float
        Share of first-byte times below the delay.
    min_delay_s : float
        Shortest delay in seconds.
    max_attempts : int
        Attempts after which a request stays where it is.
    """

    def __init__(
        self, *, quantile: float = 0.8, min_delay_s: float = 0.1, max_attempts: int = 4
    ) -> None:
        self._delay = DelayQuantile(quantile=quantile, min_delay_s=min_delay_s)
        self._max_attempts = max_attempts

    def observe(self, wait_s: float) -> None:
        """Learn from a first-byte time in seconds."""
        self._delay.observe(wait_s)

    def may_withdraw(self, *, waited_s: float, attempts: int, is_requested: bool) -> bool:
        """Return whether to ask for a call that waits for its first byte; once per attempt."""
        return not is_requested and attempts < self._max_attempts and waited_s >= self._delay.value


class MovePolicy:
    """Says when a stream on a slowed host is resumed elsewhere, where that pays.

    The extra work of a move is reading the prompt and the produced tokens again.

    Parameters
    ----------
    budget : RetryBudget
        Pays for the move, in tokens of decoding.
    prefill_per_token : float
        Cost of reading one token relative to producing one.
    min_slowdown : float
        Slowdown relative to peers from which a move is considered.
    """

    def __init__(
        self, *, budget: RetryBudget, prefill_per_token: float = 0.02, min_slowdown: float = 3.0
    ) -> None:
        self._budget = budget
        self._prefill_per_token = prefill_per_token
        self._min_slowdown = min_slowdown

    def may_move(
        self, *, slowdown: float, prompt_tokens: int, produced: int, remaining: float, now: float
    ) -> bool:
        """Take the allowance for a move when the saved time exceeds its cost."""
        if slowdown < self._min_slowdown:
            return False
        work = 1.0 + self._prefill_per_token * (prompt_tokens + produced)
        if remaining * (slowdown - 1.0) <= 2.0 * work:
            return False
        return self._budget.spend(now, work)


def backoff_s(
    attempt: int, rng: random.Random, *, base_s: float = 0.05, cap_s: float = 5.0
) -> float:
    """Return the pause in seconds before an attempt, counted from 1, with full jitter.

    Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    """
    ceiling = min(cap_s, base_s * 2.0 ** min(attempt - 1, 30))
    return rng.uniform(0.0, ceiling)


def jittered_s(pause_s: float, rng: random.Random) -> float:
    """Return a time in seconds between one and two times `pause_s`, so that callers spread out."""
    return pause_s * rng.uniform(1.0, 2.0)
