"""One entry process and one runner on a virtual clock, with network delays."""

import heapq
import itertools
import random

from attrs import evolve
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_pauses import EARLY_END_AFTER_S, RunnerPauses

RUNNER = Runner(
    id="r",
    born_ms=1,
    service="s",
    address="x:1",
    failure_domain="a",
    slots=16,
    version=1,
    layer_to=1,
)
# Half a second in which a request may still be in transit.
TRANSIT_S = 0.5


class EntryProcess:
    """Entry process that follows the pause rules and records the arrivals at the runner."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.pauses = RunnerPauses()
        self.runner = RUNNER
        self.now, self.events, self.sequence = 0.0, [], itertools.count()
        self.arrivals, self.refusals = [], []

    def schedule(self, delay_s, call, *args):
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), call, args))

    def random_delay_s(self):
        return self.rng.uniform(0.0, 0.2)

    def place(self, response):
        """Send a request if that is allowed, at once or some time after its placement."""
        limited = self.pauses.is_blocked(self.runner, self.now)
        if self.pauses.may_send(self.runner, self.now) or (self.rng.random() < 0.5 and not limited):
            self.schedule(self.rng.choice((0.0, 0.6)), self.send, self.runner, response)

    def send(self, runner, response):
        if not self.pauses.has_requested_pause(runner, self.now):
            self.pauses.on_sent(runner, self.now)
            self.schedule(self.random_delay_s(), self.on_arrival, runner, response)

    def on_arrival(self, runner, response):
        self.arrivals.append((runner.born_ms, self.now))
        if isinstance(response, float):
            self.refusals.append((runner.born_ms, self.now, response))
        self.schedule(self.random_delay_s(), self.on_response, runner, response)

    def on_response(self, runner, response):
        if isinstance(response, float):
            self.pauses.on_pause(runner, response, self.now, spread=self.rng.random())
        if response != "answer":
            self.pauses.on_full(runner, self.now)
        else:
            self.pauses.on_success(runner)

    def apply_action(self, action):
        if action == "fails":
            self.pauses.on_failure(self.runner, self.now)
        elif action == "is gone":
            self.pauses.forget(self.runner.id, self.now)
        elif action == "serves":
            self.pauses.on_serving(self.runner, self.now)
        elif action == "later incarnation":
            self.runner = evolve(RUNNER, born_ms=self.runner.born_ms + 1)
        elif action == "first incarnation":
            self.runner = RUNNER
        else:
            self.place(action)

    def run(self, steps):
        delay_s = 0.0
        for step_s, action in steps:
            delay_s += step_s
            self.schedule(delay_s, self.apply_action, action)
        while self.events:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def early_arrivals(self):
        """Return the arrivals in the spans in which none is allowed."""
        return [
            (at - named_at, seconds)
            for born_ms, named_at, seconds in self.refusals
            for other_ms, at in self.arrivals
            if born_ms == other_ms
            and named_at + TRANSIT_S < at < named_at + min(seconds, EARLY_END_AFTER_S)
        ]
