"""Times of a planned stop, and which requests may still be taken during one."""

from collections import deque
from collections.abc import Hashable

from attrs import define, field, frozen

from wasabilb_core._batch_backlog import ANSWER_LENGTH_FACTOR

# Share of the grace period that may pass before the process stops accepting connections, for grace
# periods that are short beside the balancer's interval.
MAX_REMOVAL_SHARE = 0.5
# Share of the grace period after which requests in progress get their final answer, and after which
# the process ends. The time between them is for writing these answers.
FINAL_ANSWER_SHARE = 0.94
END_SHARE = 0.97
# Factor on a predicted run time, as a request that is refused is served elsewhere and one that is
# cut off may not be repeated.
PREDICTION_FACTOR = 1.25
# Shortest pause before a refused caller returns, seconds.
MIN_RETRY_S = 0.05
# Newest run times that count for a prediction.
MAX_RUN_TIMES = 64


def assumed_answer_tokens(
    *, max_tokens: int, hinted_tokens: float | None, is_repeatable: bool
) -> float:
    """Return the tokens for which a request that comes during a stop must have time, 0 if unknown.

    Few answers are longer than twice what their callers expect; such a stream goes on elsewhere if
    it may be repeated. What may not be repeated must have time for the longest answer.
    """
    if hinted_tokens is None or not is_repeatable:
        return max_tokens
    hinted = ANSWER_LENGTH_FACTOR * hinted_tokens
    return min(max_tokens, hinted) if max_tokens else hinted


@frozen(kw_only=True)
class DrainSchedule:
    """Times of the planned stop of one process.

    Parameters
    ----------
    started_at : float
        When the stop began, seconds on the process's clock.
    grace_s : float
        Time until the process is killed.
    removal_s : float
        Time until the balancer opens no more connections to the process.
    """

    started_at: float
    grace_s: float
    removal_s: float

    @property
    def leaves_at(self) -> float:
        """Return when the process stops accepting connections."""
        return self.started_at + min(self.removal_s, MAX_REMOVAL_SHARE * self.grace_s)

    @property
    def answer_by(self) -> float:
        """Return when requests in progress get their final answer."""
        return self.started_at + FINAL_ANSWER_SHARE * self.grace_s

    @property
    def ends_at(self) -> float:
        """Return when the process ends."""
        return self.started_at + END_SHARE * self.grace_s

    def admits(self, *, now: float, deadline: float, run_s: float | None) -> bool:
        """Return whether a request that has arrived now can end in time.

        Parameters
        ----------
        deadline : float
            The request's own time limit, seconds on the process's clock.
        run_s : float or None
            Predicted time to its end, None if unknown.
        """
        if deadline <= self.answer_by:
            return True
        return run_s is not None and now + PREDICTION_FACTOR * run_s <= self.answer_by

    def retry_after_s(self, now: float) -> float:
        """Return the pause after which a refused caller reaches another process."""
        return max(MIN_RETRY_S, self.leaves_at - now)


@define(kw_only=True)
class RunTimes:
    """Newest times from the arrival of a request to the end of its answer, by kind of request."""

    _times: dict[Hashable, deque[float]] = field(factory=dict)

    def observe(self, kind: Hashable, seconds: float) -> None:
        """Record the time of one answered request."""
        self._times.setdefault(kind, deque(maxlen=MAX_RUN_TIMES)).append(seconds)

    def longest_s(self, kind: Hashable) -> float | None:
        """Return the longest recent time, None if there is none."""
        times = self._times.get(kind)
        return max(times) if times else None
