"""Discrete-event simulation of entry hosts and runners with the real policies of `wasabilb_core`.

Runners produce one token per running job and step; entry hosts do not see each other's requests;
load reports arrive late. Network faults and processes are not simulated. The module also holds the
helpers that the benches share: quantiles, tables and target rows.
"""

import heapq
import itertools
import json
import math
import random
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from attrs import define, field, frozen
from returns.result import Failure
from wasabilb_core.admission import Admission, AdmissionRequest
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.queueing import QUEUES, Job
from wasabilb_core.retries import MovePolicy, RetryBudget, WithdrawPolicy
from wasabilb_core.routing import ROUTING, RouteRequest, RunnerView
from wasabilb_core.size_predictor import SizePredictor

# Cost of reading one prompt token relative to producing one token.
PREFILL_STEPS = 0.02
MAX_SHORT_TOKENS = 128.0


@frozen(kw_only=True)
class Options:
    """Size and policies of a simulated fleet; times in seconds."""

    seed: int = 1
    runners: int = 5
    entries: int = 7
    slots: int = 8
    step_s: float = 0.036
    message_delay_s: float = 0.0015
    report_interval_s: float = 0.5
    report_delay_s: float = 1.5
    routing: str = "peer_compared"
    queue: str = "short_first"
    queue_options: dict[str, Any] = field(factory=dict)
    has_moves: bool = True
    admission: bool = False
    cache_blocks: int = 0

    @property
    def tokens_per_s(self) -> float:
        """Return the tokens per second of all runners with full batches."""
        return self.runners * self.slots / self.step_s


@define(kw_only=True, eq=False)
class Request:
    """One request and its result; sizes in tokens, times in seconds."""

    id: int
    account: str
    answer_tokens: int
    prompt_tokens: int
    max_tokens: int
    arrived: float
    entry: int
    is_straggler: bool = False
    prefixes: tuple[int, ...] = ()
    deadline: float | None = None
    produced: int = 0
    attempts: int = 0
    first_token_at: float | None = None
    done_at: float | None = None
    wait_s: float = 0.0
    cached_share: float = 0.0
    error: Error | None = None
    tried_hosts: frozenset[str] = frozenset()


@define(kw_only=True, eq=False)
class Attempt:
    """One attempt of a request on one runner."""

    request: Request
    entry: "Entry"
    agent: "Agent"
    job: Job
    sent_at: float
    last_token_at: float | None = None
    queued_at: float = 0.0
    is_over: bool = False
    is_withdrawal_requested: bool = False
    prefill_steps: int = 0


class FleetSimulation:
    """Virtual clock, runners and entry hosts."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.now = 0.0
        self.rng = random.Random(options.seed)
        self.executed_steps = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()
        self.agents = {f"r{n}": Agent(self, f"r{n}") for n in range(options.runners)}
        self.entries = [Entry(self) for _ in range(options.entries)]
        self.on_request_end: Callable[[Request], None] = lambda request: None

    def schedule(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay."""
        event = (self.now + delay_s, next(self._sequence), callback, args)
        heapq.heappush(self._events, event)

    def run(self, requests: Iterable[Request], end_at: float) -> None:
        """Submit all requests at their arrival times and run until `end_at`."""
        for request in requests:
            self.schedule(request.arrived - self.now, self.entries[request.entry].submit, request)
        while self._events and self._events[0][0] <= end_at:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)


class Agent:
    """Simulated agent: the run queue of the policy and an engine with slots."""

    def __init__(self, sim: FleetSimulation, host: str) -> None:
        self.sim, self.host, options = sim, host, sim.options
        self.queue = QUEUES.create(
            options.queue, slots=options.slots, rng=sim.rng, **options.queue_options
        ).unwrap()
        self.slow_factor = 1.0
        self.is_down = False
        self.running: dict[str, Attempt] = {}
        self.attempts: dict[str, Attempt] = {}
        self.last_report = (0, 0, 0.0)
        self.cached_prefixes: dict[int, float] = {}
        self.max_running = 0
        self._is_stepping = False
        sim.schedule(sim.rng.random() * options.report_interval_s, self._send_report)

    def receive(self, attempt: Attempt) -> None:
        """Queue an attempt, or refuse it when the runner is down or the queue is full."""
        if attempt.is_over:
            return
        attempt.queued_at = self.sim.now
        self.attempts[attempt.job.id] = attempt
        result = self.queue.push(attempt.job, self.sim.now)
        if self.is_down or isinstance(result, Failure):
            self.queue.cancel(attempt.job.id)
            error = result.failure() if isinstance(result, Failure) else None
            self._send_refusal(attempt, error)
        self.start_jobs()

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt from the queue or the engine."""
        if not self.queue.cancel(attempt.job.id) and self.running.pop(attempt.job.id, None):
            self.queue.on_done(attempt.job.id, self.sim.now)
        self.attempts.pop(attempt.job.id, None)
        self.start_jobs()

    def withdraw(self, attempt: Attempt) -> None:
        """Return an attempt to its entry host if it has not started."""
        if self.queue.cancel(attempt.job.id):
            del self.attempts[attempt.job.id]
            self.sim.schedule(self.sim.options.message_delay_s, attempt.entry.on_withdrawn, attempt)

    def fail_all(self) -> None:
        """Drop all jobs, as an engine restart does."""
        for attempt in list(self.attempts.values()):
            self.cancel(attempt)
            self._send_refusal(attempt, None)

    def start_jobs(self) -> None:
        """Start jobs until the queue policy returns none."""
        now = self.sim.now
        for job in self.queue.remove_expired(now):
            self._send_refusal(self.attempts[job.id], None)
        while (job := self.queue.pop(now, len(self.running))) is not None:
            attempt = self.running[job.id] = self.attempts[job.id]
            attempt.request.wait_s += now - attempt.queued_at
            attempt.prefill_steps = self._start_prefill(attempt)
            if attempt.entry.admission is not None:
                attempt.entry.admission.on_wait(now - attempt.queued_at, now)
        self.max_running = max(self.max_running, len(self.running))
        if self.running and not self._is_stepping:
            self._is_stepping = True
            self.sim.schedule(self.sim.options.step_s * self.slow_factor, self._run_step)

    def _start_prefill(self, attempt: Attempt) -> int:
        """Return the steps for the uncached part of the prompt, and update the cache."""
        request, blocks = attempt.request, self.sim.options.cache_blocks
        cached_tokens = 0.0
        if blocks and request.prefixes:
            cached_count = sum(prefix in self.cached_prefixes for prefix in request.prefixes)
            cached_tokens = request.prompt_tokens * cached_count / len(request.prefixes)
            request.cached_share = cached_count / len(request.prefixes)
            for prefix in request.prefixes:
                self.cached_prefixes.pop(prefix, None)
                self.cached_prefixes[prefix] = self.sim.now
                self._send_cache_event(prefix, True)
            while len(self.cached_prefixes) > blocks:
                oldest = next(iter(self.cached_prefixes))
                del self.cached_prefixes[oldest]
                self._send_cache_event(oldest, False)
        return max(
            1,
            math.ceil(
                PREFILL_STEPS * (request.prompt_tokens - cached_tokens + attempt.job.produced)
            ),
        )

    def _send_cache_event(self, prefix: int, is_cached: bool) -> None:
        """Send a cache event to the entry hosts with a delay; a fifth of the events is lost."""
        rng = self.sim.rng
        for entry in self.sim.entries:
            if rng.random() < 0.8:
                callback = entry.routing.on_cache_event
                self.sim.schedule(
                    rng.uniform(0.5, 3.0), callback, self.host, prefix, is_cached, 0.0
                )

    def _run_step(self) -> None:
        self._is_stepping = False
        tokens_by_entry: dict[Entry, list[tuple[Attempt, int, bool]]] = {}
        for job_id, attempt in list(self.running.items()):
            self.sim.executed_steps += 1.0
            if attempt.prefill_steps > 0:
                attempt.prefill_steps -= 1
                continue
            produced = attempt.job.produced + 1
            preempt = self.queue.on_progress(job_id, produced, self.sim.now)
            is_complete = produced >= attempt.request.answer_tokens
            tokens_by_entry.setdefault(attempt.entry, []).append((attempt, produced, is_complete))
            if is_complete:
                del self.running[job_id], self.attempts[job_id]
                self.queue.on_done(job_id, self.sim.now)
            elif preempt is not None:
                del self.running[job_id]
                attempt.queued_at = self.sim.now
                self.queue.push(attempt.job, self.sim.now)
        for entry, tokens in tokens_by_entry.items():
            self.sim.schedule(self.sim.options.message_delay_s, entry.on_tokens, tokens)
        self.start_jobs()

    def _send_refusal(self, attempt: Attempt, error: Error | None) -> None:
        self.attempts.pop(attempt.job.id, None)
        self.sim.schedule(
            self.sim.options.message_delay_s, attempt.entry.on_refused, attempt, error
        )

    def _send_report(self) -> None:
        options = self.sim.options
        report = (len(self.running), self.queue.waiting, self.sim.now)
        self.sim.schedule(options.report_delay_s, self._on_report, report)
        self.sim.schedule(options.report_interval_s, self._send_report)

    def _on_report(self, report: tuple[int, int, float]) -> None:
        self.last_report = report


class Entry:
    """One entry host with its own view of the runners."""

    def __init__(self, sim: FleetSimulation) -> None:
        self.sim = sim
        self.routing = ROUTING.create(sim.options.routing).unwrap()
        self.predictor = SizePredictor()
        self.retry_budget = RetryBudget()
        self.move_policy = MovePolicy(budget=self.retry_budget, prefill_per_token=PREFILL_STEPS)
        self.admission = Admission(rng=sim.rng) if sim.options.admission else None
        self.active: dict[str, Attempt] = {}
        self.withdraw_policy = WithdrawPolicy()
        self.moved_count = 0
        self.withdrawn_count = 0
        if sim.options.has_moves:
            sim.schedule(sim.rng.random() * 0.05, self._check_attempts)

    def submit(self, request: Request) -> None:
        """Admit a request and send it to a runner."""
        now, step_s = self.sim.now, self.sim.options.step_s
        predicted = self._predict(request)
        if self.admission is not None:
            admission_request = AdmissionRequest(
                account=request.account, deadline=request.deadline, expected_s=predicted * step_s
            )
            admitted = self.admission.admit(admission_request, now)
            if isinstance(admitted, Failure):
                self._end_request(request, admitted.failure())
                return
        self.retry_budget.on_request(predicted)
        self._send(request, predicted, frozenset())

    def on_tokens(self, tokens: list[tuple[Attempt, int, bool]]) -> None:
        """Process the tokens of one step of one runner."""
        now = self.sim.now
        for attempt, produced, is_complete in tokens:
            if attempt.is_over:
                continue
            request, host = attempt.request, attempt.agent.host
            if attempt.last_token_at is None:
                self.routing.on_first_byte(host, now - attempt.sent_at, now)
                self.withdraw_policy.observe(now - attempt.sent_at)
                request.first_token_at = request.first_token_at or now
            else:
                self.routing.on_progress(host, now - attempt.last_token_at, now)
            attempt.last_token_at, request.produced = now, produced
            if is_complete:
                request.done_at = now
                self.predictor.observe(
                    request.account,
                    "model",
                    request.prompt_tokens,
                    request.max_tokens,
                    request.answer_tokens,
                )
                self._close_attempt(attempt, True)
                self._end_request(request, None, was_admitted=True)

    def on_refused(self, attempt: Attempt, error: Error | None) -> None:
        """Retry an overloaded attempt on another runner, or end the request with an error."""
        if not attempt.is_over:
            self._close_attempt(attempt, error is not None)
            request = attempt.request
            request.tried_hosts |= {attempt.agent.host}
            can_retry = error is not None and error.kind is ErrorKind.OVERLOADED
            if can_retry and len(request.tried_hosts) < min(3, len(self.sim.agents)):
                self._send(request, attempt.job.predicted_tokens, request.tried_hosts)
                return
            request.tried_hosts = frozenset()
            if self.admission is not None:
                if error is None:
                    kind, detail = ErrorKind.BACKEND_UNREACHABLE, "the runner is down"
                    error = self.admission.refusal(kind, detail, self.sim.now)
                else:
                    self.admission.on_overload(self.sim.now)
            self._end_request(attempt.request, error, was_admitted=True)

    def on_withdrawn(self, attempt: Attempt) -> None:
        """Send a withdrawn request to another runner."""
        if not attempt.is_over:
            self._close_attempt(attempt, True)
            self.withdrawn_count += 1
            self._send(
                attempt.request, attempt.job.predicted_tokens, frozenset({attempt.agent.host})
            )

    def _predict(self, request: Request) -> float:
        return self.predictor.predict(
            request.account, "model", request.prompt_tokens, request.max_tokens
        )

    def _send(self, request: Request, predicted: float, excluded: frozenset[str]) -> None:
        now, rng = self.sim.now, self.sim.rng
        route_request = RouteRequest(
            predicted_tokens=predicted,
            prefix_hashes=request.prefixes,
            is_short=predicted <= MAX_SHORT_TOKENS,
            excluded=excluded,
        )
        chosen = self.routing.choose(route_request, self._views(), now, rng)
        assert chosen is not None
        agent = self.sim.agents[chosen.host]
        request.attempts += 1
        job = Job(
            id=f"{request.id}.{request.attempts}",
            account=request.account,
            predicted_tokens=predicted,
            produced=request.produced,
            deadline=request.deadline,
            arrived=request.arrived if request.produced == 0 else now,
        )
        attempt = Attempt(request=request, entry=self, agent=agent, job=job, sent_at=now)
        self.active[job.id] = attempt
        self.routing.on_sent(chosen.host, route_request, now)
        self.sim.schedule(self.sim.options.message_delay_s, agent.receive, attempt)

    def _views(self) -> list[RunnerView]:
        counts = dict.fromkeys(self.sim.agents, 0)
        for attempt in self.active.values():
            counts[attempt.agent.host] += 1
        return [
            RunnerView(
                host=host,
                in_flight=counts[host],
                reported_running=agent.last_report[0],
                reported_queued=agent.last_report[1],
                slots=self.sim.options.slots,
                report_age_s=self.sim.now - agent.last_report[2],
            )
            for host, agent in self.sim.agents.items()
        ]

    def _check_attempts(self) -> None:
        """Move streams off slow runners and withdraw waiting attempts, as the policies permit."""
        now = self.sim.now
        for attempt in list(self.active.values()):
            request = attempt.request
            predicted = max(attempt.job.predicted_tokens, request.produced + 1.0)
            if self.move_policy.may_move(
                slowdown=self.routing.slowdown(attempt.agent.host, now),
                prompt_tokens=request.prompt_tokens,
                produced=request.produced,
                remaining=predicted - request.produced,
                now=now,
            ):
                self.moved_count += 1
                self._close_attempt(attempt, False)
                self.sim.schedule(self.sim.options.message_delay_s, attempt.agent.cancel, attempt)
                self._send(request, predicted, frozenset({attempt.agent.host}))
            elif attempt.last_token_at is None and self.withdraw_policy.may_withdraw(
                waited_s=now - attempt.sent_at,
                attempts=request.attempts,
                is_requested=attempt.is_withdrawal_requested,
            ):
                attempt.is_withdrawal_requested = True
                self.sim.schedule(self.sim.options.message_delay_s, attempt.agent.withdraw, attempt)
        self.sim.schedule(0.05, self._check_attempts)

    def _close_attempt(self, attempt: Attempt, ok: bool) -> None:
        attempt.is_over = True
        del self.active[attempt.job.id]
        waited_s = self.sim.now - attempt.sent_at if attempt.last_token_at is None else None
        self.routing.on_done(attempt.agent.host, ok, self.sim.now, waited_s=waited_s)

    def _end_request(
        self, request: Request, error: Error | None, *, was_admitted: bool = False
    ) -> None:
        request.error = error
        if was_admitted and self.admission is not None:
            ok = request.done_at is not None
            self.admission.on_done(request.account, self.sim.now, ok=ok)
        self.sim.on_request_end(request)


@frozen(kw_only=True)
class Traffic:
    """Arrivals; `load` is relative to the capacity, `stragglers` a share of the requests."""

    load: float = 0.7
    seconds: float = 300.0
    stragglers: float = 0.0
    accounts: int = 10
    long_tokens: tuple[int, int] = (1500, 3000)


def generate_requests(options: Options, traffic: Traffic) -> list[Request]:
    """Return Poisson arrivals that depend on the seed and not on the policies."""
    rng = random.Random(options.seed * 7919 + 1)
    mean_long = sum(traffic.long_tokens) / 2
    # A short answer has 20 to 100 tokens; its prompt of 50 to 400 tokens adds a few steps.
    mean = (
        (1 - traffic.stragglers) * 60 + traffic.stragglers * mean_long + PREFILL_STEPS * 225 + 0.5
    )
    rate = traffic.load * options.tokens_per_s / mean
    arrivals: list[Request] = []
    now = rng.expovariate(rate)
    while now < traffic.seconds:
        is_straggler = rng.random() < traffic.stragglers
        answer_tokens = rng.randint(*traffic.long_tokens) if is_straggler else rng.randint(20, 100)
        account = min(int(rng.paretovariate(0.8)), traffic.accounts)
        limit = 4096 if is_straggler else rng.choice((256, 4096))
        arrivals.append(
            Request(
                id=len(arrivals),
                account=f"a{account}",
                answer_tokens=answer_tokens,
                prompt_tokens=rng.randint(50, 400),
                max_tokens=limit,
                arrived=now,
                entry=rng.randrange(options.entries),
                is_straggler=is_straggler,
            )
        )
        now += rng.expovariate(rate)
    return arrivals


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return a quantile by nearest rank, or NaN without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else math.nan


def required_steps(done: Iterable[Request]) -> float:
    """Return the steps of the answers when each runs once without a cache."""
    return sum(r.answer_tokens + max(1, math.ceil(PREFILL_STEPS * r.prompt_tokens)) for r in done)


def write_report(name: str, settings: dict[str, Any], rows: list[dict[str, Any]]) -> None:
    """Print the rows as a table and write them to out/NAME.json."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    print(f"{name}: {' '.join(f'{key}={value}' for key, value in settings.items())}")
    for line in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)))
    path = Path("out") / f"{name}.json"
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps({"settings": settings, "rows": rows}, indent=1) + "\n")


def _format_cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def target_row(matter: str, figure: float, target: float, baseline: str) -> dict[str, Any]:
    """Return a row that compares a figure with its target; smaller is better."""
    met = "met" if figure <= target else "MISSED"
    return {"matter": matter, "figure": figure, "target": target, "met": met, "base": baseline}
