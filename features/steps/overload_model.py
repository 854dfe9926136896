"""Simulation of batching runners and the entry processes before them, without a network.

Routing and overload decisions use the code of the core.
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
PASS_TOKENS, PASS_PREFILL_TOKENS = 5, 2048
# A larger model with slower steps and fewer slots.
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
REPORT_INTERVAL_S, NOTICE_DELAY_S, DISPATCH_INTERVAL_S = 0.1, 0.012, 0.05
PROCESSES = 7


class Job:
    """One request and its outcome."""

    def __init__(self, arrived, rng):
        self.arrived = arrived
        self.prompt_tokens = min(3880, int(rng.lognormvariate(6.4, 0.8)) + 40)
        self.answer_tokens = min(260, 5 * max(1, int(rng.lognormvariate(2.6, 0.9))))
        self.predicted_tokens = self.answer_tokens * rng.lognormvariate(0.0, 0.5)
        self.prompt_left = self.prompt_tokens
        self.produced_tokens = 0
        self.first_token_at = self.ended_at = None
        self.refused_at = self.retry_after_s = None
        self.has_run = False
        # Statistics of the process that sent it, and the runner.
        self.sent_to = None


class Engine:
    """Engine that batches requests: a pass prefills prompts and decodes five tokens per answer."""

    def __init__(self, pace, spec):
        self.pace, self.spec = pace, spec
        self.running, self.waiting = [], []
        self.done = []

    def load(self):
        return len(self.running), len(self.waiting)

    def step(self, now):
        """Run one pass and return when it ends."""
        while self.waiting and len(self.running) < self.spec.slots:
            self.running.append(self.waiting.pop(0))
        decoding = [job for job in self.running if job.prompt_left <= 0]
        pass_s, room = 0.0, PASS_PREFILL_TOKENS
        for job in self.running:
            if job.prompt_left > 0 and room > 0:
                prefilled = min(job.prompt_left, room)
                pass_s += self.spec.prefill_s(prefilled)
                job.prompt_left -= prefilled
                room -= prefilled
                job.has_run = True
        if decoding:
            pass_s += PASS_TOKENS * (
                self.spec.step_s + len(decoding) * self.spec.step_per_sequence_s
            )
        end = now + max(0.005, pass_s * self.pace)
        for job in decoding:
            job.first_token_at = job.first_token_at or end
            job.produced_tokens += PASS_TOKENS
            if job.produced_tokens >= job.answer_tokens:
                job.ended_at = end
        is_done = [
            job.ended_at is not None or end >= job.arrived + DEADLINE_S for job in self.running
        ]
        self.done = [job for job, done in zip(self.running, is_done, strict=True) if done]
        self.running = [job for job, done in zip(self.running, is_done, strict=True) if not done]
        return end


class FleetModel:
    """Runners and entry processes whose decisions use the code of the core."""

    def __init__(
        self,
        *,
        paces,
        seed,
        policy,
        has_notices=True,
        load_spans=(),
        engine=ENGINE,
        processes=PROCESSES,
        report_interval_s=REPORT_INTERVAL_S,
        objective_s=OBJECTIVE_S,
        routing="batch_backlog",
        first_report_at=0.0,
        assumes_load=True,
    ):
        self.rng = random.Random(seed)
        self.engine, self.processes, self.report_interval_s = engine, processes, report_interval_s
        self.objective_s = objective_s
        # Time of the first reports, and whether a load is assumed until then.
        self.first_report_at, self.assumes_load = first_report_at, assumes_load
        # Sets of runners, each with the start and end of a span without requests.
        self.load_spans = load_spans
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
        self.process_stats = [RunnerStats() for _ in range(processes)]
        self.held = [HeldRequests() for _ in range(processes)]
        self.held_jobs = [{} for _ in range(processes)]
        self.routing = ROUTING.create(routing).unwrap()
        self.policy, self.has_notices = policy, has_notices
        self.events, self.sequence, self.jobs = [], 0, []

    def schedule(self, when, call, *args):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, call, args))

    def run(self, rate, seconds, stop):
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(rate)
            self.schedule(
                now, self.on_arrival, Job(now, self.rng), self.rng.randrange(self.processes)
            )
        for n in range(int(stop / self.report_interval_s)):
            self.schedule(self.first_report_at + n * self.report_interval_s, self.send_reports)
        for n in range(int(stop / DISPATCH_INTERVAL_S)):
            self.schedule(n * DISPATCH_INTERVAL_S, self.dispatch)
        for name in self.engines:
            self.schedule(0.0, self.step, name)
        while self.events and self.events[0][0] < stop:
            now, _, call, args = heapq.heappop(self.events)
            call(now, *args)
        return self.jobs

    def step(self, now, name):
        end = self.engines[name].step(now)
        for job in self.engines[name].done:
            self.schedule(end, self.on_ended, *job.sent_to)
        self.schedule(end, self.step, name)

    def on_ended(self, now, stats, runner):
        stats.on_ended(runner)

    def send_reports(self, now):
        for name, engine in self.engines.items():
            running, waiting = engine.load()
            # Reports arrive after the network delay with the load from before it.
            for stats in self.process_stats:
                load = LoadReport(
                    running=running,
                    waiting=waiting,
                    at=now,
                    slots=self.engine.slots,
                    pace=engine.pace,
                )
                self.schedule(now + 0.004, self.on_report, stats, name, load)

    def on_report(self, now, stats, name, load):
        stats.on_report(self.runners[name], attrs.evolve(load, at=now))

    def views(self, process, now):
        views = [
            self.process_stats[process].view(runner, now=now, engine=self.engine, access_cost_s=0.0)
            for runner in self.runners.values()
            if not any(runner.id in ids and at <= now < to for ids, at, to in self.load_spans)
        ]
        if not self.assumes_load:
            return views
        return [assume_load(view, sharing_processes=self.processes) for view in views]

    def request(self, job, now):
        by_end = self.policy != "wait"
        return RouteRequest(
            predicted_tokens=job.predicted_tokens if by_end else 0.0,
            is_short=job.predicted_tokens < 1.3 * self.engine.usual_answer_tokens,
            left_s=job.arrived + DEADLINE_S - now,
        )

    def on_arrival(self, now, job, process, is_resubmitted=False):
        if not is_resubmitted:
            self.jobs.append(job)
        request, views = self.request(job, now), self.views(process, now)
        best = self.routing.choose(request, views, now, self.rng)
        if best is None:
            self.on_no_runner(now, job, process, is_resubmitted)
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
        timing = {
            "prefill_s": best.pace * self.engine.prefill_s(job.prompt_tokens),
            "step_s": self.engine.step_s,
            "left_s": job.arrived + self.objective_s - now,
        }
        is_on_time = begins_on_time(wait_s=expected_wait_s(best), **timing)
        if not is_on_time and begins_on_time(wait_s=0.0, **timing):
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
        self.sequence += 1
        deadline = job.arrived + DEADLINE_S
        self.held[process].hold(
            self.sequence, is_resubmitted=is_resubmitted, now=now, deadline=deadline
        )
        self.held_jobs[process][self.sequence] = job

    def on_no_runner(self, now, job, process, is_resubmitted):
        self.refuse(now, job, 1.0, is_resubmitted)

    def refuse(self, now, job, after_s, is_resubmitted):
        job.refused_at, job.retry_after_s = now, after_s
        if self.load_spans and not is_resubmitted:
            after_s = min(after_s * self.rng.uniform(0.8, 1.2), DEADLINE_S / 3)
            self.schedule(now + after_s, self.resubmit, job, self.rng.randrange(self.processes))

    def resubmit(self, now, job, process):
        job.refused_at = None
        self.on_arrival(now, job, process, is_resubmitted=True)

    def has_room(self, view):
        return view.reported_running + view.reported_queued + SPARE_SLOTS < view.slots

    def dispatch(self, now):
        for process, held in enumerate(self.held):
            for late in held.expired(now):
                held.remove(late.key)
                self.refuse(now, self.held_jobs[process].pop(late.key), 1.0, late.is_resubmitted)
            in_order = self.policy == "in order"
            for candidate in held.in_order() if in_order else held.sendable(now):
                job = self.held_jobs[process][candidate.key]
                views = self.views(process, now)
                best = self.routing.choose(self.request(job, now), views, now, self.rng)
                if self.has_room(best):
                    held.remove(candidate.key)
                    held.on_sent(now)
                    self.send(now, self.held_jobs[process].pop(candidate.key), process, best.host)
                    break

    def send(self, now, job, process, name):
        runner, prefill_s = self.runners[name], self.engine.prefill_s(job.prompt_tokens)
        self.process_stats[process].on_sent(runner, now, prefill_s)
        job.sent_to = self.process_stats[process], runner
        if self.has_notices:
            for stats in self.process_stats:
                if stats is not self.process_stats[process]:
                    self.schedule(now + NOTICE_DELAY_S, self.on_notice, stats, runner, prefill_s)
        self.deliver(now, job, process, name)

    def deliver(self, now, job, process, name):
        self.engines[name].waiting.append(job)

    def on_notice(self, now, stats, runner, prefill_s):
        stats.on_peer_sent(runner, now, prefill_s)
