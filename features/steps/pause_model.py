"""Simulation of runners that refuse requests and name a time, behind entry processes.

The runners batch as in `overload_model`. Some of them request a pause at given times, and each
one does when its queue is full. Decisions use the code of the core.
"""

from overload_model import DEADLINE_S, OBJECTIVE_S, FleetModel
from wasabilb_core.overload import HeldLimit
from wasabilb_core.retry_after import NO_RUNNER_RETRY_S
from wasabilb_entry.forwarder import RETRY_SPREAD_S

# One-way delay between an entry process and a runner.
NETWORK_DELAY_S = 0.002
# Waiting requests at which a runner refuses others, and the pause that it then names.
MAX_WAITING = 6
FULL_PAUSE_S = 1.0
MAX_ATTEMPTS = 2


class PausingFleetModel(FleetModel):
    """Fleet whose runners name pauses.

    Parameters
    ----------
    pauses : list of tuple
        Names of runners, and start and end of their pause.
    keeps_pauses : bool
        Whether the entry processes respect the named pauses, as the core does, or only back off
        briefly, as from a full runner.
    """

    def __init__(self, *, pauses, keeps_pauses, is_plain=False, **options):
        policy = "send all" if is_plain else "manage"
        super().__init__(policy=policy, has_notices=not is_plain, **options)
        self.keeps_pauses, self.is_plain = keeps_pauses, is_plain
        self.paused_until = dict.fromkeys(self.engines, 0.0)
        self.tried, self.full_count = {}, 0
        # Arrivals from half a second after a refusal, by process, runner and end of the pause.
        self.early_arrivals, self.requested_spans = {}, {}
        for names, start, end in pauses:
            for name in names:
                self.schedule(start, self.begin_pause, name, end)

    def send_reports(self, now):
        if not self.is_plain:
            super().send_reports(now)

    def begin_pause(self, now, name, end):
        self.paused_until[name] = max(end, self.paused_until[name])

    def views(self, process, now):
        stats = self.process_stats[process]
        tried = self.tried.get(self.placed_job, ())
        return [
            view
            for view in super().views(process, now)
            if stats.is_usable(self.runners[view.host], now) and view.host not in tried
        ]

    def on_arrival(self, now, job, process, is_resubmitted=False):
        self.placed_job = job
        super().on_arrival(now, job, process, is_resubmitted)
        self.placed_job = None

    placed_job = None

    def has_room(self, view):
        return view is not None and super().has_room(view)

    def on_no_runner(self, now, job, process, is_resubmitted):
        pauses, held = self.process_stats[process].pauses, self.held[process]
        requested_pause_s = pauses.requested_pause_s(self.runners.values(), now)
        ramping_count = pauses.ramping_count(self.runners.values(), now)
        limit = HeldLimit(
            runners=ramping_count,
            completion_interval_s=self.engine.completion_interval_s,
            processes=self.processes,
            recent_rate=held.rate(now),
        )
        is_first = job not in self.tried and not self.is_plain
        if ramping_count and is_first and (is_resubmitted or not limit.is_full(len(held))):
            self.hold(now, job, process, is_resubmitted)
        elif requested_pause_s is None or not self.keeps_pauses:
            after_s = NO_RUNNER_RETRY_S * self.rng.uniform(0.8, 1.2)
            self.refuse(now, job, after_s, is_resubmitted)
        else:
            after_s = requested_pause_s + self.rng.uniform(0.0, RETRY_SPREAD_S)
            self.refuse(now, job, after_s, is_resubmitted)

    def refuse(self, now, job, after_s, is_resubmitted):
        job.refused_at, job.retry_after_s = now, after_s
        left_s = job.arrived + DEADLINE_S - now
        if not is_resubmitted and left_s > OBJECTIVE_S:
            wait_s = min(after_s, left_s / 3)
            self.schedule(now + wait_s, self.resubmit, job, self.rng.randrange(self.processes))
        else:
            job.is_lost = True

    def resubmit(self, now, job, process):
        self.tried.pop(job, None)
        job.refused_at = None
        job.is_resubmitted = True
        self.on_arrival(now, job, process, is_resubmitted=True)

    def deliver(self, now, job, process, name):
        self.schedule(now + NETWORK_DELAY_S, self.on_runner_arrival, job, process, name)

    def on_runner_arrival(self, now, job, process, name):
        """Accept or refuse a request at a runner."""
        engine = self.engines[name]
        end = self.requested_spans.get((process, name))
        if end is not None and end[0] + 0.5 < now < end[1]:
            key = (process, name, end[1])
            self.early_arrivals[key] = self.early_arrivals.get(key, 0) + 1
        if now >= self.paused_until[name] and len(engine.waiting) >= MAX_WAITING:
            self.paused_until[name] = now + FULL_PAUSE_S
            self.full_count += 1
        if now < self.paused_until[name]:
            if end is None or end[1] <= now:
                self.requested_spans[process, name] = (now, self.paused_until[name])
            seconds = self.paused_until[name] - now
            self.schedule(now + NETWORK_DELAY_S, self.on_refused, job, process, name, seconds)
            return
        engine.waiting.append(job)

    def on_refused(self, now, job, process, name, seconds):
        """Report the refusal to the entry process and try another runner."""
        stats, runner = self.process_stats[process], self.runners[name]
        stats.on_ended(runner)
        stats.pauses.on_full(runner, now)
        if self.keeps_pauses:
            stats.pauses.on_pause(runner, seconds, now, spread=self.rng.random())
        tried = self.tried.setdefault(job, set())
        tried.add(name)
        is_resubmitted = getattr(job, "is_resubmitted", False)
        self.placed_job = job
        best = self.routing.choose(self.request(job, now), self.views(process, now), now, self.rng)
        self.placed_job = None
        if best is not None and len(tried) < MAX_ATTEMPTS:
            self.send(now, job, process, best.host)
        else:
            self.on_no_runner(now, job, process, is_resubmitted)


def summary(fleet, start, end):
    """Return the results of the callers that arrived in a span of time."""
    jobs = [job for job in fleet.jobs if start <= job.arrived < end]
    whole = [job for job in jobs if job.ended_at is not None]
    return {
        "callers": len(jobs),
        "in_time": sum(job.first_token_at - job.arrived <= OBJECTIVE_S for job in whole),
        "answered": len(whole),
        "lost": sum(getattr(job, "is_lost", False) for job in jobs),
        "early": sum(fleet.early_arrivals.values()),
        "full": fleet.full_count,
        "over_two": sum(count > 2 for count in fleet.early_arrivals.values()),
    }
