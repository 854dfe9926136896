"""Extra attempts: retry budget, hedging, moves of slow streams and backoff."""

import math
import random
from collections import deque

from wasabilb_core.registry import Registry

# Extra work as a share of the accepted work; the target is below 3 %.
MAX_EXTRA_SHARE = 0.03
# Limit on the unused allowance, so that a quiet hour cannot pay for a retry storm.
MAX_BALANCE = 50.0
OVERLOAD_PAUSE_S = 5.0
DELAY_WINDOW = 512
MIN_DELAY_SAMPLES = 32


class RetryBudget:
    """Budget for extra work in proportion to accepted work, with none during an overload.

    The balance starts at zero, so extra work never exceeds the share. Source: the retry budget of
    the Finagle library and Beyer et al., "Site Reliability Engineering", 2016, chapter 21.

    Parameters
    ----------
    share : float
        Extra work per unit of accepted work.
    max_balance : float
        Maximum unused allowance, in units of work.
    """

    def __init__(self, *, share: float = MAX_EXTRA_SHARE, max_balance: float = MAX_BALANCE) -> None:
        self._share = share
        self._max_balance = max_balance
        self._balance = 0.0
        self._paused_until = -math.inf

    @property
    def balance(self) -> float:
        """Return the extra work that may be spent now; it may be negative after `charge`."""
        return self._balance

    def on_request(self, work: float = 1.0) -> None:
        """Record accepted work."""
        self._balance = min(self._max_balance, self._balance + self._share * work)

    def on_overload(self, now: float) -> None:
        """Record an overload refusal, which stops optional extra work for `OVERLOAD_PAUSE_S`."""
        self._paused_until = now + OVERLOAD_PAUSE_S

    def spend(self, now: float, work: float = 1.0) -> bool:
        """Spend the allowance for optional extra work, or return False if it is too small."""
        if now < self._paused_until or work > self._balance:
            return False
        self._balance -= work
        return True

    def charge(self, work: float = 1.0) -> None:
        """Charge a resume after a lost runner, which reduces later optional extra work."""
        self._balance = max(-self._max_balance, self._balance - work)


class DelayQuantile:
    """Quantile of the newest first-byte times, updated every `MIN_DELAY_SAMPLES` observations.

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
        """Return the delay in seconds, infinite until there are enough samples."""
        return self._delay_s

    def observe(self, wait_s: float) -> None:
        """Record one first-byte time in seconds."""
        self._waits.append(wait_s)
        self._new_samples += 1
        if self._new_samples >= MIN_DELAY_SAMPLES:
            ordered = sorted(self._waits)
            index = min(len(ordered) - 1, int(self._quantile * len(ordered)))
            self._delay_s = max(self._min_delay_s, ordered[index])
            self._new_samples = 0


class HedgePolicy:
    """Hedging policy: a repeatable request may get a second attempt after a quantile of the waits.

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
        """Record the first-byte time of a request that was not hedged."""
        self._delay.observe(wait_s)

    def delay_s(self) -> float | None:
        """Return the delay in seconds after which hedging pays off, None while unknown."""
        return None if math.isinf(self._delay.value) else self._delay.value

    def may_hedge(
        self, *, is_repeatable: bool, waited_s: float, now: float, work: float = 1.0
    ) -> bool:
        """Spend the allowance for a second attempt, or return False if none may start."""
        if not is_repeatable or waited_s < self._delay.value:
            return False
        return self._budget.spend(now, work)


HEDGING: Registry[HedgePolicy | None] = Registry(kind="hedging policy")


@HEDGING.register("budgeted")
def budgeted(*, budget: RetryBudget) -> HedgePolicy | None:
    """Return a hedging policy with a budget for second attempts."""
    return HedgePolicy(budget=budget)


@HEDGING.register("none")
def no_hedging(*, budget: RetryBudget) -> HedgePolicy | None:
    """Return None, the baseline without second attempts, moves and withdrawals."""
    return None


class WithdrawPolicy:
    """Policy for withdrawing a call that has not started from an agent, to send it elsewhere.

    The agent confirms by `cancel` of its queue that the call has not run, so no work is repeated.
    This is work stealing started by the sender.

    Parameters
    ----------
    quantile : float
        Share of first-byte times below the delay.
    min_delay_s : float
        Shortest delay in seconds.
    max_attempts : int
        Number of attempts after which a request is no longer withdrawn.
    """

    def __init__(
        self, *, quantile: float = 0.8, min_delay_s: float = 0.1, max_attempts: int = 4
    ) -> None:
        self._delay = DelayQuantile(quantile=quantile, min_delay_s=min_delay_s)
        self._max_attempts = max_attempts

    def observe(self, wait_s: float) -> None:
        """Record a first-byte time in seconds."""
        self._delay.observe(wait_s)

    def may_withdraw(self, *, waited_s: float, attempts: int, is_requested: bool) -> bool:
        """Return whether to withdraw a call that waits for its first byte; once per attempt."""
        return not is_requested and attempts < self._max_attempts and waited_s >= self._delay.value


class MovePolicy:
    """Policy for resuming a stream of a slowed host elsewhere if that pays off.

    The extra work of a move is another prefill of the prompt and the produced tokens.

    Parameters
    ----------
    budget : RetryBudget
        Pays for the move, in tokens of decoding.
    prefill_per_token : float
        Cost of prefilling one token relative to producing one.
    min_slowdown : float
        Minimum slowdown relative to peers for a move.
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
        """Spend the allowance for a move if the saved time exceeds its cost."""
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
    """Return a random time between one and two times `pause_s`, to spread out callers."""
    return pause_s * rng.uniform(1.0, 2.0)
