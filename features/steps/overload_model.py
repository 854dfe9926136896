"""A model of runners that batch requests and of the entry processes before them, without a network.

The decisions are those of the product.
"""

import heapq
import random

import attrs
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.overload import (
    HOLD_S,
    SPARE_SLOTS,
    Decision,
    HeldLimit,
    HeldRequests,
    begins_on_time,
    decide_request,
)
from wasabilb_core.routing import ROUTING, RouteRequest, answer_end_s, expected_wait_s
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_stats import LoadReport, RunnerStats
from wasabilb_core.unreported_load import assume_load

ENGINE = EngineSpec(
    model="m",
    slots=16,
    step_s=0.00887,
    step_per_sequence_s=0.0000388,
    step_per_token_s=0.0000000227,
    prefill_tokens_per_s=19100.0,
    prefill_pair_s=0.00000000147,
    usual_prompt_tokens=977.0,
    usual_answer_tokens=94.0,
)
STRIDE, PREFILL_CHUNK = 5, 2048
# A larger model on slower steps, with fewer places.
SLOW_ENGINE = attrs.evolve(
    ENGINE,
    slots=8,
    step_s=0.0133,
    step_per_sequence_s=0.0000582,
    step_per_token_s=0.0000000341,
    prefill_tokens_per_s=12700.0,
    prefill_pair_s=0.00000000221,
    usual_answer_tokens=74.0,
)
OBJECTIVE_S, DEADLINE_S = 0.4, 6.0
LATE_WORTH = 0.25
REPORT_S, NOTICE_S, LOOK_S = 0.1, 0.012, 0.05
PROCESSES = 7


class Job:
    """One request and what became of it."""

    def __init__(self, arrived, rng):
        self.arrived = arrived
        self.prompt = min(3880, int(rng.lognormvariate(6.4, 0.8)) + 40)
        self.tokens = min(260, 5 * max(1, int(rng.lognormvariate(2.6, 0.9))))
        self.hint = self.tokens * rng.lognormvariate(0.0, 0.5)
        self.left = self.prompt
        self.made = 0
        self.first = self.ended = None
        self.refused = self.back_after = None
        self.ran = False
        # The process that sent it, and the runner.
        self.sent = None


class Engine:
    """Batches requests: a pass reads prompts and makes five tokens for each answer."""

    def __init__(self, pace, spec):
        self.pace, self.spec = pace, spec
        self.running, self.waiting = [], []
        self.over = []

    def load(self):
        return len(self.running), len(self.waiting)

    def step(self, now):
        """Run one pass and return when it ends."""
        while self.waiting and len(self.running) < self.spec.slots:
            self.running.append(self.waiting.pop(0))
        writers = [job for job in self.running if job.left <= 0]
        took, room = 0.0, PREFILL_CHUNK
        for job in self.running:
            if job.left > 0 and room > 0:
                read = min(job.left, room)
                took += self.spec.prefill_s(read)
                job.left -= read
                room -= read
                job.ran = True
        if writers:
            took += STRIDE * (self.spec.step_s + len(writers) * self.spec.step_per_sequence_s)
        end = now + max(0.005, took * self.pace)
        for job in writers:
            job.first = job.first or end
            job.made += STRIDE
            if job.made >= job.tokens:
                job.ended = end
        is_over = [job.ended is not None or end >= job.arrived + DEADLINE_S for job in self.running]
        self.over = [job for job, over in zip(self.running, is_over, strict=True) if over]
        self.running = [job for job, over in zip(self.running, is_over, strict=True) if not over]
        return end


class Fleet:
    """Runners and entry processes; decisions are those of the product."""

    def __init__(
        self,
        *,
        paces,
        seed,
        policy,
        tells=True,
        reloads=(),
        engine=ENGINE,
        processes=PROCESSES,
        report_s=REPORT_S,
        objective_s=OBJECTIVE_S,
        routing="batch_backlog",
        reports_from=0.0,
        assumes=True,
    ):
        self.rng = random.Random(seed)
        self.engine, self.processes, self.report_s = engine, processes, report_s
        self.objective_s = objective_s
        # When the first reports arrive, and whether a load is assumed until then.
        self.reports_from, self.assumes = reports_from, assumes
        # Which runners accept nothing from one time to another one.
        self.reloads = reloads
        self.engines = {f"r-{n}": Engine(pace, engine) for n, pace in enumerate(paces)}
        self.runners = {
            name: Runner(
                id=name,
                born_ms=1,
                service="s",
                address="x:1",
                failure_domain="a",
                slots=engine.slots,
            )
            for name in self.engines
        }
        self.books = [RunnerStats() for _ in range(processes)]
        self.held = [HeldRequests() for _ in range(processes)]
        self.waiting = [{} for _ in range(processes)]
        self.routing = ROUTING.create(routing).unwrap()
        self.policy, self.tells = policy, tells
        self.events, self.order, self.jobs = [], 0, []

    def at(self, when, call, *args):
        self.order += 1
        heapq.heappush(self.events, (when, self.order, call, args))

    def play(self, rate, seconds, stop):
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(rate)
            self.at(now, self.arrive, Job(now, self.rng), self.rng.randrange(self.processes))
        for n in range(int(stop / self.report_s)):
            self.at(self.reports_from + n * self.report_s, self.report)
        for n in range(int(stop / LOOK_S)):
            self.at(n * LOOK_S, self.look)
        for name in self.engines:
            self.at(0.0, self.step, name)
        while self.events and self.events[0][0] < stop:
            now, _, call, args = heapq.heappop(self.events)
            call(now, *args)
        return self.jobs

    def step(self, now, name):
        end = self.engines[name].step(now)
        for job in self.engines[name].over:
            self.at(end, self.end, *job.sent)
        self.at(end, self.step, name)

    def end(self, now, book, runner):
        book.on_ended(runner)

    def report(self, now):
        for name, engine in self.engines.items():
            running, waiting = engine.load()
            # The report lags; it is told as it was and arrives a network delay later.
            for book in self.books:
                load = LoadReport(
                    running=running,
                    waiting=waiting,
                    at=now,
                    slots=self.engine.slots,
                    pace=engine.pace,
                )
                self.at(now + 0.004, self.take_report, book, name, load)

    def take_report(self, now, book, name, load):
        book.on_report(self.runners[name], attrs.evolve(load, at=now))

    def views(self, process, now):
        views = [
            self.books[process].view(runner, now=now, engine=self.engine, distance_s=0.0)
            for runner in self.runners.values()
            if not any(runner.id in ids and at <= now < to for ids, at, to in self.reloads)
        ]
        if not self.assumes:
            return views
        return [assume_load(view, sharing_processes=self.processes) for view in views]

    def request(self, job, now):
        by_end = self.policy != "wait"
        return RouteRequest(
            predicted_tokens=job.hint if by_end else 0.0,
            is_short=job.hint < 1.3 * self.engine.usual_answer_tokens,
            left_s=job.arrived + DEADLINE_S - now,
        )

    def arrive(self, now, job, process, is_resubmitted=False):
        if not is_resubmitted:
            self.jobs.append(job)
        request, views = self.request(job, now), self.views(process, now)
        best = self.routing.choose(request, views, now, self.rng)
        if best is None:
            self.no_runner(now, job, process, is_resubmitted)
            return
        if self.policy == "send all":
            self.send(now, job, process, best.host)
            return
        held = self.held[process]
        limit = HeldLimit(
            runners=len(views),
            completion_interval_s=self.engine.completion_interval_s,
            processes=self.processes,
            recent_rate=held.rate(now),
        )
        own = {
            "prefill_s": best.pace * self.engine.prefill_s(job.prompt),
            "step_s": self.engine.step_s,
            "left_s": job.arrived + self.objective_s - now,
        }
        is_on_time = begins_on_time(wait_s=expected_wait_s(best), **own)
        if not is_on_time and begins_on_time(wait_s=0.0, **own):
            held.on_objective_missed(now)
        decision = decide_request(
            is_on_time=is_on_time,
            has_room=self.has_room(best),
            has_slack=HOLD_S + answer_end_s(best, request) < request.left_s,
            wait_s=expected_wait_s(best),
            is_resubmitted=is_resubmitted,
            held=len(held),
            limit=limit,
        )
        if decision is Decision.SEND:
            self.send(now, job, process, best.host)
        elif decision is Decision.REFUSE:
            self.refuse(now, job, limit.retry_after_s(len(held)), is_resubmitted)
        else:
            self.hold(now, job, process, is_resubmitted)

    def hold(self, now, job, process, is_resubmitted):
        self.order += 1
        deadline = job.arrived + DEADLINE_S
        self.held[process].hold(
            self.order, is_resubmitted=is_resubmitted, now=now, deadline=deadline
        )
        self.waiting[process][self.order] = job

    def no_runner(self, now, job, process, is_resubmitted):
        self.refuse(now, job, 1.0, is_resubmitted)

    def refuse(self, now, job, after_s, is_resubmitted):
        job.refused, job.back_after = now, after_s
        if self.reloads and not is_resubmitted:
            after_s = min(after_s * self.rng.uniform(0.8, 1.2), DEADLINE_S / 3)
            self.at(now + after_s, self.come_back, job, self.rng.randrange(self.processes))

    def come_back(self, now, job, process):
        job.refused = None
        self.arrive(now, job, process, is_resubmitted=True)

    def has_room(self, view):
        return view.reported_running + view.reported_queued + SPARE_SLOTS < view.slots

    def look(self, now):
        for process, held in enumerate(self.held):
            for late in held.expired(now):
                held.remove(late.key)
                self.refuse(now, self.waiting[process].pop(late.key), 1.0, late.is_resubmitted)
            in_order = self.policy == "in order"
            for first in held.in_order() if in_order else held.sendable(now):
                job = self.waiting[process][first.key]
                views = self.views(process, now)
                best = self.routing.choose(self.request(job, now), views, now, self.rng)
                if self.has_room(best):
                    held.remove(first.key)
                    held.on_sent(now)
                    self.send(now, self.waiting[process].pop(first.key), process, best.host)
                    break

    def send(self, now, job, process, name):
        runner, need_s = self.runners[name], self.engine.prefill_s(job.prompt)
        self.books[process].on_sent(runner, now, need_s)
        job.sent = self.books[process], runner
        if self.tells:
            for book in self.books:
                if book is not self.books[process]:
                    self.at(now + NOTICE_S, self.tell, book, runner, need_s)
        self.take(now, job, process, name)

    def take(self, now, job, process, name):
        self.engines[name].waiting.append(job)

    def tell(self, now, book, runner, need_s):
        book.on_peer_sent(runner, now, need_s)
