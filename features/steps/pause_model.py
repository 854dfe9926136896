"""A model of runners that refuse requests and name a time, before entry processes.

The runners batch as in the model of full runners. At drawn times some of them want no requests for
a while, and each one does when its queue is full. The decisions are those of the product.
"""

from overload_model import DEADLINE_S, OBJECTIVE_S, Fleet
from wasabilb_core.overload import HeldLimit
from wasabilb_core.retry_after import NO_RUNNER_RETRY_S
from wasabilb_entry.forwarder import RETRY_SPREAD_S

# One way between an entry process and a runner.
HOP_S = 0.002
# Requests that wait at a runner when it turns others away, and the time that it then names.
QUEUE = 6
FULL_S = 1.0
ATTEMPTS = 2


class PausingFleet(Fleet):
    """Runners that name times.

    Parameters
    ----------
    pauses : list of tuple
        Names of runners, and from when to when they want no request.
    hears : bool
        Whether the entry processes keep to the named times, as the product does, or leave a runner
        out for a moment, as for one that is full.
    """

    def __init__(self, *, pauses, hears, is_plain=False, **options):
        policy = "send all" if is_plain else "manage"
        super().__init__(policy=policy, tells=not is_plain, **options)
        self.hears, self.is_plain = hears, is_plain
        self.quiet_until = dict.fromkeys(self.engines, 0.0)
        self.tried, self.full = {}, 0
        # Arrivals after half a second within a time, by process, runner and end of the time.
        self.reached, self.told = {}, {}
        for names, start, end in pauses:
            for name in names:
                self.at(start, self.begin_pause, name, end)

    def report(self, now):
        if not self.is_plain:
            super().report(now)

    def begin_pause(self, now, name, end):
        self.quiet_until[name] = max(end, self.quiet_until[name])

    def views(self, process, now):
        book = self.books[process]
        tried = self.tried.get(self.placing, ())
        return [
            view
            for view in super().views(process, now)
            if book.is_usable(self.runners[view.host], now) and view.host not in tried
        ]

    def arrive(self, now, job, process, is_resubmitted=False):
        self.placing = job
        super().arrive(now, job, process, is_resubmitted)
        self.placing = None

    placing = None

    def has_room(self, view):
        return view is not None and super().has_room(view)

    def no_runner(self, now, job, process, is_resubmitted):
        pauses, held = self.books[process].pauses, self.held[process]
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
        elif requested_pause_s is None or not self.hears:
            after_s = NO_RUNNER_RETRY_S * self.rng.uniform(0.8, 1.2)
            self.refuse(now, job, after_s, is_resubmitted)
        else:
            after_s = requested_pause_s + self.rng.uniform(0.0, RETRY_SPREAD_S)
            self.refuse(now, job, after_s, is_resubmitted)

    def refuse(self, now, job, after_s, is_resubmitted):
        job.refused, job.back_after = now, after_s
        left_s = job.arrived + DEADLINE_S - now
        if not is_resubmitted and left_s > OBJECTIVE_S:
            wait_s = min(after_s, left_s / 3)
            self.at(now + wait_s, self.come_back, job, self.rng.randrange(self.processes))
        else:
            job.is_lost = True

    def come_back(self, now, job, process):
        self.tried.pop(job, None)
        job.refused = None
        job.is_back = True
        self.arrive(now, job, process, is_resubmitted=True)

    def take(self, now, job, process, name):
        self.at(now + HOP_S, self.reach, job, process, name)

    def reach(self, now, job, process, name):
        """Let a request arrive at a runner."""
        engine = self.engines[name]
        end = self.told.get((process, name))
        if end is not None and end[0] + 0.5 < now < end[1]:
            key = (process, name, end[1])
            self.reached[key] = self.reached.get(key, 0) + 1
        if now >= self.quiet_until[name] and len(engine.waiting) >= QUEUE:
            self.quiet_until[name] = now + FULL_S
            self.full += 1
        if now < self.quiet_until[name]:
            if end is None or end[1] <= now:
                self.told[process, name] = (now, self.quiet_until[name])
            seconds = self.quiet_until[name] - now
            self.at(now + HOP_S, self.turned_away, job, process, name, seconds)
            return
        engine.waiting.append(job)

    def turned_away(self, now, job, process, name, seconds):
        """Let the entry process hear of the refusal and try another runner."""
        book, runner = self.books[process], self.runners[name]
        book.on_ended(runner)
        book.pauses.on_full(runner, now)
        if self.hears:
            book.pauses.on_pause(runner, seconds, now, spread=self.rng.random())
        tried = self.tried.setdefault(job, set())
        tried.add(name)
        is_back = getattr(job, "is_back", False)
        self.placing = job
        best = self.routing.choose(self.request(job, now), self.views(process, now), now, self.rng)
        self.placing = None
        if best is not None and len(tried) < ATTEMPTS:
            self.send(now, job, process, best.host)
        else:
            self.no_runner(now, job, process, is_back)


def summary(fleet, start, end):
    """Return what callers that came in a span of time got."""
    jobs = [job for job in fleet.jobs if start <= job.arrived < end]
    whole = [job for job in jobs if job.ended is not None]
    return {
        "callers": len(jobs),
        "in_time": sum(job.first - job.arrived <= OBJECTIVE_S for job in whole),
        "answered": len(whole),
        "lost": sum(getattr(job, "is_lost", False) for job in jobs),
        "reached": sum(fleet.reached.values()),
        "full": fleet.full,
        "over_two": sum(count > 2 for count in fleet.reached.values()),
    }
