"""Run queue that prefers short jobs, with reserved slots, preemption and fair shares."""

import math
import random
from collections.abc import Iterator

from attrs import frozen

from wasabilb_core._queue_base import MAX_JOBS, QUEUES, Job, Preempt, QueuePolicy
from wasabilb_core.errors import Error, ErrorKind

# Averaging time of the load of short jobs; a shorter one follows single bursts.
RESERVE_TAU_S = 20.0
# Reserved slots are two thirds utilized on average, so that short jobs rarely wait for them.
RESERVE_MARGIN = 1.5


@frozen(kw_only=True)
class ShortFirstOptions:
    """Settings of `short_first`.

    Parameters
    ----------
    bounds : tuple of float
        Maximum predicted tokens of each size class except the last, ascending.
    reserved, max_reserved : float
        Minimum and maximum share of the slots reserved for the shortest class.
    max_stretch : float
        Bound on the time of a job in the system relative to its run time alone.
    prefill_per_token : float
        Cost of prefilling one token on resume relative to producing one.
    patience_s : float
        Wait of a short job before a long one is preempted; most slots become free without it.
    max_preempts : int
        Maximum preemptions of a job, so that it spends more time running than resuming.
    due_part : float
        Share of `max_stretch` at which a job is no longer preempted and goes first; the rest is
        the margin for the wait that remains.
    """

    bounds: tuple[float, ...] = (128.0, 768.0)
    reserved: float = 0.25
    max_reserved: float = 0.75
    patience_s: float = 0.35
    max_stretch: float = 4.0
    prefill_per_token: float = 0.02
    max_preempts: int = 8
    due_part: float = 0.5


@QUEUES.register("short_first")
class ShortFirst(QueuePolicy):
    """Serves size classes of predicted tokens in order; accounts in a class share by weight.

    Size classes with demotion follow the multi-level feedback queue (Corbato 1962); the account
    counters follow Sheng et al., "Fairness in serving large language models", OSDI 2024.

    Parameters
    ----------
    options : ShortFirstOptions
        Settings of the policy.
    """

    def __init__(
        self,
        *,
        slots: int,
        rng: random.Random,
        max_jobs: int = MAX_JOBS,
        max_wait_s: float = math.inf,
        options: ShortFirstOptions | None = None,
    ) -> None:
        super().__init__(slots=slots, rng=rng, max_jobs=max_jobs, max_wait_s=max_wait_s)
        self._options = options or ShortFirstOptions()
        self._short_rate = 0.0
        self._short_at = -math.inf
        self._charged: dict[str, float] = {}
        self._preempts: dict[str, int] = {}
        self._was_last_due = False
        self._preempting: set[str] = set()

    def size_class(self, job: Job) -> int:
        """Return the size class by the larger of produced and predicted tokens, 0 for shortest."""
        size = max(job.predicted_tokens, float(job.produced))
        return sum(size > bound for bound in self._options.bounds)

    def stretch(self, job: Job, now: float) -> float:
        """Return the time in the system relative to the run time alone, if it started now."""
        run_s = max(job.predicted_tokens, float(job.produced), 1.0) / max(self._token_rate, 1e-3)
        left_s = job.remaining_tokens / max(self._token_rate, 1e-3)
        return (now - job.arrived + left_s) / run_s

    def _refusal(self, job: Job, now: float) -> Error | None:
        # Dynamic thresholds (Choudhury and Hahne 1998): one account can fill at most two thirds of
        # the queue, which leaves room for the others.
        used = sum(other.account == job.account for other in self._waiting.values())
        if used >= 2.0 * max(1.0, job.weight) * (self._max_jobs - len(self._waiting)):
            detail = f"account {job.account} has {used} waiting jobs"
            return self._error(ErrorKind.OVERLOADED, detail, self.expected_wait_s(now, job))
        return super()._refusal(job, now)

    def reserved_slots(self, now: float) -> int:
        """Return the slots reserved for the shortest class, adapted to its load.

        With a fixed quarter, short jobs waited as soon as their load exceeded a quarter.
        """
        if self._slots < 2:
            return 0
        rate = self._short_rate * self._decay(now)
        needed = RESERVE_MARGIN * rate / max(self._token_rate, 1e-3)
        min_slots = max(1, round(self._slots * self._options.reserved))
        max_slots = max(1, math.floor(self._slots * self._options.max_reserved))
        return min(max_slots, max(min_slots, math.ceil(needed)))

    def _select_next(self, now: float) -> Job | None:
        longer = [job for job in self._running.values() if self.size_class(job) > 0]
        unpreemptible = sum(not self._may_preempt(job, now) for job in longer)
        may_start_due = unpreemptible < self._slots - self.reserved_slots(now)
        due = self._due_job(now) if may_start_due and not self._was_last_due else None
        self._was_last_due = due is not None
        if due is not None:
            return due
        # Preemptible long jobs may borrow all reserved slots but one, which stays free so that a
        # short job can start without waiting for a preemption.
        may_start = len(longer) < max(1, self._slots - 1)
        # A preempted job resumes only if a further slot is free; otherwise the next short job
        # preempts it again, and each resume costs another prefill of its tokens.
        may_resume = may_start and len(self._running) < max(1, self._slots - 1)
        waiting = [
            job
            for job in self._waiting.values()
            if self.size_class(job) == 0 or (may_resume if job.id in self._preempts else may_start)
        ]
        return min(waiting, key=self._sort_key, default=None)

    def _due_job(self, now: float) -> Job | None:
        """Return the long job with the largest stretch, if that reached the bound.

        At most every second start is a due job, so that due jobs cannot starve short ones.
        """
        longer = [job for job in self._waiting.values() if self.size_class(job) > 0]
        worst = max(longer, key=lambda job: self.stretch(job, now), default=None)
        if (
            worst is None
            or self.stretch(worst, now) < self._options.due_part * self._options.max_stretch
        ):
            return None
        return worst

    def _sort_key(self, job: Job) -> tuple[int, float, int, float]:
        charged = self._charged.get(job.account, 0.0)
        return (self.size_class(job), charged, job.priority, job.arrived)

    def _jobs_ahead(self, job: Job | None) -> Iterator[Job]:
        limit = self.size_class(job) if job is not None else len(self._options.bounds)
        return (other for other in self._waiting.values() if self.size_class(other) <= limit)

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._short_at) / RESERVE_TAU_S)

    def _on_pushed(self, job: Job, now: float) -> None:
        """Raise the counter of an idle account, so that it cannot accumulate credit."""
        if self.size_class(job) == 0:
            self._short_rate *= self._decay(now) if self._short_at > -math.inf else 0.0
            self._short_rate += job.remaining_tokens / RESERVE_TAU_S
            self._short_at = now
        self._preempting.discard(job.id)
        active = self._active_accounts(excluded_id=job.id)
        if job.account not in active:
            floor = min((self._charged.get(name, 0.0) for name in active), default=0.0)
            self._charged[job.account] = max(self._charged.get(job.account, 0.0), floor)

    def _on_started(self, job: Job, now: float) -> None:
        # Charged at the start by expected size; otherwise an account could start many jobs before
        # the first one is charged.
        self._charge(job, job.remaining_tokens)

    def _on_produced(self, job: Job, tokens: int) -> None:
        overrun = job.produced + tokens - max(job.predicted_tokens, float(job.produced))
        if overrun > 0.0:
            self._charge(job, overrun)
            # A job past its prediction is expected to double its size (heavy tail), but it changes
            # its class only when it exceeds the bound; else half of the short jobs would.
            done = float(job.produced + tokens)
            bound = next((b for b in self._options.bounds if b >= done), math.inf)
            job.predicted_tokens = max(done, min(2.0 * done, bound))
            self._charge(job, job.predicted_tokens - job.produced - tokens)

    def _on_ended(self, job: Job) -> None:
        self._charge(job, -max(0.0, job.predicted_tokens - job.produced))
        self._preempts.pop(job.id, None)
        self._preempting.discard(job.id)
        active = self._active_accounts(excluded_id="")
        if not active:
            self._charged.clear()

    def _charge(self, job: Job, tokens: float) -> None:
        charged = self._charged.get(job.account, 0.0)
        self._charged[job.account] = charged + tokens / max(job.weight, 1e-6)

    def _active_accounts(self, excluded_id: str) -> set[str]:
        jobs = [*self._waiting.values(), *self._running.values()]
        return {job.account for job in jobs if job.id != excluded_id}

    def _preempt(self, job: Job, now: float) -> Preempt | None:
        """Return an order if a short job waits for a slot and this job is the cheapest to resume.

        With reserved slots alone, short jobs waited 10 s at p99 when their load exceeded them.
        """
        # Called for each token, so the cheapest condition comes first.
        if not self._waiting or len(self._running) < self._slots or self.size_class(job) == 0:
            return None
        if len(self._preempting) >= self._count_overdue(now) or not self._may_preempt(job, now):
            return None
        longer = (other for other in self._running.values() if self._may_preempt(other, now))
        victim = min(longer, key=lambda other: (other.produced, other.id))
        if victim.id != job.id:
            return None
        self._preempts[job.id] = self._preempts.get(job.id, 0) + 1
        self._preempting.add(job.id)
        self._charge(job, -job.remaining_tokens)
        return Preempt(job_id=job.id, position=job.produced)

    def _may_preempt(self, job: Job, now: float) -> bool:
        """Return whether preemption pays off: the prefill costs less than the remaining work."""
        options = self._options
        if self.size_class(job) == 0 or job.id in self._preempting:
            return False
        if self._preempts.get(job.id, 0) >= options.max_preempts:
            return False
        resume_cost = 1.0 + options.prefill_per_token * job.produced
        if job.remaining_tokens <= 2.0 * resume_cost:
            return False
        return self.stretch(job, now) < options.due_part * options.max_stretch

    def _count_overdue(self, now: float) -> int:
        return sum(
            self.size_class(job) == 0 and now - job.arrived >= self._options.patience_s
            for job in self._waiting.values()
        )
