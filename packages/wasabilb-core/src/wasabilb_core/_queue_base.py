"""Types shared by all run queue policies, the policy registry and the first-come baseline."""

import math
import random
from collections.abc import Collection, Iterator

from attrs import define, frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.registry import Registry
from wasabilb_core.retries import jittered_s

MAX_JOBS = 256
# Tokens per second of one slot, until the engine's rate has been observed.
INITIAL_TOKEN_RATE = 25.0
RATE_GAIN = 0.02
# A job may wait for this share of its own run time even above `max_wait_s`.
ALLOWED_WAIT_SHARE = 0.1
MIN_RETRY_S = 0.2
MAX_RETRY_S = 30.0


@define(kw_only=True)
class Job:
    """A call in the run queue; times in seconds on the agent's monotonic clock.

    Parameters
    ----------
    id : str
        Unique within the agent.
    account : str
        Account charged for the job.
    weight : float
        The account's share in weighted fair queueing.
    predicted_tokens : float
        Expected size of the whole answer; updated while the job runs.
    produced : int
        Tokens produced so far, which is the position to resume from.
    deadline : float or None
        Time at which the answer is no longer of use.
    priority : int
        0 high, 1 normal, 2 low; orders jobs within one account.
    arrived : float
        Time of arrival at the agent, less the time that the call waited at other agents before it
        was withdrawn; otherwise each move would restart its wait.
    """

    id: str
    account: str
    weight: float = 1.0
    predicted_tokens: float = 1.0
    produced: int = 0
    deadline: float | None = None
    priority: int = 1
    arrived: float = 0.0

    @property
    def remaining_tokens(self) -> float:
        """Return the expected number of remaining tokens, at least one."""
        return max(1.0, self.predicted_tokens - self.produced)


@frozen(kw_only=True)
class Preempt:
    """Order to cancel a running job in the engine and to push it again after confirmation."""

    job_id: str
    position: int


class QueuePolicy:
    """The run queue in front of the engine's slots.

    A job is waiting from `push` until `pop`, `cancel` or `remove_expired`. A popped job is running
    until `on_done` or, after a `Preempt`, until it is pushed again with its position.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent jobs of the engine.
    rng : random.Random
        Adds jitter to the retry times of refused callers.
    max_jobs : int
        Maximum number of waiting jobs.
    max_wait_s : float
        Expected wait in seconds above which a job is refused, so that the entry host can try
        another runner or answer the caller at once.
    """

    def __init__(
        self,
        *,
        slots: int,
        rng: random.Random,
        max_jobs: int = MAX_JOBS,
        max_wait_s: float = math.inf,
    ) -> None:
        self._slots = slots
        self._rng = rng
        self._max_jobs = max_jobs
        self._max_wait_s = max_wait_s
        self._waiting: dict[str, Job] = {}
        self._running: dict[str, Job] = {}
        self._token_rate = INITIAL_TOKEN_RATE
        self._last_progress: dict[str, tuple[int, float]] = {}

    def push(self, job: Job, now: float) -> Result[None, Error]:
        """Accept a job, or refuse it if the queue is full or its deadline is too near.

        A running job that is pushed again after a `Preempt` is always accepted.
        """
        if job.id in self._waiting:
            return Failure(Error(kind=ErrorKind.BAD_REQUEST, detail=f"job {job.id} is queued"))
        is_resumed = self._running.pop(job.id, None) is not None
        self._last_progress.pop(job.id, None)
        if not is_resumed:
            refused = self._refusal(job, now)
            if refused is not None:
                return Failure(refused)
        self._waiting[job.id] = job
        self._on_pushed(job, now)
        return Success(None)

    def pop(self, now: float, running: int) -> Job | None:
        """Return the job to start next, or None if `running` leaves no free slot for a job."""
        if max(running, len(self._running)) >= self._slots or not self._waiting:
            return None
        job = self._select_next(now)
        if job is None:
            return None
        del self._waiting[job.id]
        self._running[job.id] = job
        self._last_progress[job.id] = (job.produced, now)
        self._on_started(job, now)
        return job

    def cancel(self, job_id: str) -> bool:
        """Remove a waiting job; False if it is not waiting and thus may have run."""
        return self._waiting.pop(job_id, None) is not None

    def on_progress(self, job_id: str, produced: int, now: float) -> Preempt | None:
        """Record the position of a running job; may order its preemption."""
        job = self._running.get(job_id)
        if job is None or produced <= job.produced:
            return None
        last, last_at = self._last_progress[job_id]
        if now > last_at:
            self._token_rate += ((produced - last) / (now - last_at) - self._token_rate) * RATE_GAIN
            self._last_progress[job_id] = (produced, now)
        self._on_produced(job, produced - job.produced)
        job.produced = produced
        return self._preempt(job, now)

    def on_done(self, job_id: str, now: float) -> None:
        """Record the end of a running job, for any reason."""
        job = self._running.pop(job_id, None)
        self._last_progress.pop(job_id, None)
        if job is not None:
            self._on_ended(job)

    def remove_expired(self, now: float) -> list[Job]:
        """Remove and return the waiting jobs whose deadline can no longer be met."""
        late = [
            job
            for job in self._waiting.values()
            if job.deadline is not None and now + self._min_run_s(job) > job.deadline
        ]
        for job in late:
            del self._waiting[job.id]
        return late

    def expected_wait_s(self, now: float, job: Job | None = None) -> float:
        """Return the expected wait in seconds of a job pushed now."""
        if len(self._running) < self._slots and not self._waiting:
            return 0.0
        ahead = sum(other.remaining_tokens for other in self._jobs_ahead(job))
        # On average, the first running job ends after the mean remaining work divided by their
        # number.
        running = sum(other.remaining_tokens for other in self._running.values())
        first_slot_tokens = running / max(1, len(self._running)) / max(1, len(self._running))
        return (first_slot_tokens + ahead / self._slots) / max(self._token_rate, 1e-3)

    @property
    def waiting(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._waiting)

    def jobs(self) -> Collection[Job]:
        """Return the waiting jobs in order of arrival."""
        return self._waiting.values()

    def _refusal(self, job: Job, now: float) -> Error | None:
        wait_s = self.expected_wait_s(now, job)
        if len(self._waiting) >= self._max_jobs:
            return self._error(ErrorKind.OVERLOADED, "the run queue is full", wait_s)
        if wait_s > max(self._max_wait_s, ALLOWED_WAIT_SHARE * self._min_run_s(job)):
            detail = f"the expected wait is {wait_s:.2f} s"
            return self._error(ErrorKind.OVERLOADED, detail, wait_s)
        if job.deadline is None:
            return None
        if now >= job.deadline:
            return self._error(ErrorKind.DEADLINE_PASSED, "the deadline has passed", wait_s)
        need_s = wait_s + self._min_run_s(job)
        if now + need_s > job.deadline:
            left_s = job.deadline - now
            detail = f"needs about {need_s:.2f} s, {left_s:.2f} s are left"
            return self._error(ErrorKind.DEADLINE_UNREACHABLE, detail, wait_s)
        return None

    def _error(self, kind: ErrorKind, detail: str, wait_s: float) -> Error:
        pause_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        return Error(kind=kind, detail=detail, retry_after_s=jittered_s(pause_s, self._rng))

    def _min_run_s(self, job: Job) -> float:
        return job.remaining_tokens / max(self._token_rate, 1e-3)

    def _select_next(self, now: float) -> Job | None:
        raise NotImplementedError

    def _jobs_ahead(self, job: Job | None) -> Iterator[Job]:
        return iter(self._waiting.values())

    def _on_pushed(self, job: Job, now: float) -> None: ...

    def _on_started(self, job: Job, now: float) -> None: ...

    def _on_produced(self, job: Job, tokens: int) -> None: ...

    def _on_ended(self, job: Job) -> None: ...

    def _preempt(self, job: Job, now: float) -> Preempt | None:
        return None


QUEUES: Registry[QueuePolicy] = Registry(kind="queue policy")


@QUEUES.register("fcfs")
class FirstComeFirstServed(QueuePolicy):
    """Baseline: jobs start in order of arrival and run to completion."""

    def _select_next(self, now: float) -> Job | None:
        return min(self._waiting.values(), key=lambda job: (job.arrived, math.inf), default=None)
