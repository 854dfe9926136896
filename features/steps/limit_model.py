"""Entry processes in memory that send requests to servers which name limits, on a virtual clock.

The processes decide with the code of the product: `RunnerPauses`, `RunnerLimits` and
`LimitExchange`. Only links, servers and callers are simulated.
"""

import asyncio
import random

from forwarding_harness import RecordingLog
from memory_links import Network, run_virtual
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.named_limit import named_limit
from wasabilb_core.peering import entry_peers
from wasabilb_core.runner_directory import Runner, RunnerDirectory
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_core.runner_pauses import RunnerPauses
from wasabilb_entry.limit_exchange import LimitExchange
from wasabilb_node.clock import now
from wasabilb_wire.codec import encode

NETWORK_DELAY_S = 0.002
ANSWER_S = 0.1


class ModelExchange(LimitExchange):
    """Exchange that stops when its process ends."""

    has_ended = False

    def _on_timer(self):
        if not self.has_ended:
            super()._on_timer()


class ModelProcess:
    """One entry process."""

    def __init__(self, fleet, place, places):
        self.fleet, self.place = fleet, place
        self.links = fleet.network.add(place.address, "entry", failure_domain=place.failure_domain)
        self.start(places)

    def start(self, places):
        """Start, also again after the process ended."""
        self.directory = RunnerDirectory()
        for runner in self.fleet.runners:
            self.directory.on_listed(runner)
        self.roster = EntryRoster(own=self.place, now=now())
        self.roster.on_announcements(places, now())
        self.limits = RunnerLimits(host=self.place.address)
        self.pauses = RunnerPauses(limits=self.limits)
        self.log = RecordingLog()
        self.links.on_link_up.clear()
        self.links.on_link_down.clear()
        self.exchange = ModelExchange(
            limits=self.limits,
            directory=self.directory,
            links=self.links,
            roster=self.roster,
            own=self.place,
            log=self.log,
        )

    def on_request(self):
        """Send a request to a runner that may receive one, and return whether there is one."""
        runners = self.fleet.runners
        self.limits.on_demand(runners, now())
        usable = [r for r in runners if self.pauses.may_send(r, now())]
        if not usable:
            return False
        runner = self.fleet.rng.choice(usable)
        self.pauses.on_sent(runner, now())
        loop = asyncio.get_running_loop()
        loop.call_later(NETWORK_DELAY_S, self.fleet.on_arrival, self, runner)
        return True

    def on_answer(self, runner, limit):
        if self.place.address in self.fleet.network.dead:
            return
        if self.limits.on_answer(runner, named_limit(limit), now()) is not None:
            self.exchange.on_changed()


class LimitFleet:
    """Entry processes of some failure domains, and servers that name limits.

    Parameters
    ----------
    limits : list of str
        Header value of each server; one that names nothing has none.
    weights : callable
        Returns the weight of a process in the demand, by its number and the time.
    """

    def __init__(self, *, processes, domains, limits, demand, weights, seed=1):
        self.rng = random.Random(seed)
        self.network = Network(seed=seed)
        self.domains, self.demand, self.weights = domains, demand, weights
        self.limits = {f"s{n}": limit for n, limit in enumerate(limits)}
        self.runners = [self.runner(name) for name in self.limits]
        self.arrivals, self.told_at = [], {}
        self.requests = self.refused = 0
        self.started_at = self.played_s = 0.0
        self.bytes_sent = self.messages_sent = 0
        self.processes = []
        self.places = [
            EntryPlace(address=f"e{n}", failure_domain=f"d{n % domains}") for n in range(processes)
        ]

    @staticmethod
    def runner(name, *, born_ms=1):
        return Runner(
            id=name, born_ms=born_ms, service="s", address=f"{name}:1", failure_domain="d0"
        )

    def start(self):
        """Start and link all processes; called within the loop."""
        transmit = self.network.transmit

        def counted(link, message):
            self.messages_sent += 1
            self.bytes_sent += len(encode(message))
            transmit(link, message)

        self.network.transmit = counted
        self.processes = [ModelProcess(self, place, self.places) for place in self.places]
        pairs = {
            tuple(sorted((place.address, peer)))
            for place in self.places
            for peer in entry_peers(place, self.places, lambda address: False)
        }
        for one, two in sorted(pairs):
            self.network.connect(one, two)

    def add_process(self):
        """Add a process that all others learn of."""
        number = len(self.places)
        place = EntryPlace(address=f"e{number}", failure_domain=f"d{number % self.domains}")
        self.places.append(place)
        for process in self.processes:
            process.roster.on_announcements([place], now())
        self.processes.append(ModelProcess(self, place, self.places))
        for peer in sorted(entry_peers(place, self.places, lambda address: False)):
            self.network.connect(place.address, peer)

    def kill(self, number):
        """End a process, whose host refuses connections from then on."""
        process = self.processes[number]
        process.exchange.has_ended = True
        self.network.end(process.place.address)

    def restart(self, number):
        """Start an ended process again, which has forgotten everything."""
        process = self.processes[number]
        self.network.dead.discard(process.place.address)
        process.start(self.places)
        self.told_at = {k: at for k, at in self.told_at.items() if k[0] is not process}
        for peer in sorted(entry_peers(process.place, self.places, lambda address: False)):
            self.network.connect(process.place.address, peer)

    def cut(self, number_sets):
        """Cut the links between sets of processes."""
        for own in number_sets:
            for one in own:
                for two in set().union(*number_sets) - set(own):
                    self.network.block(f"e{one}", f"e{two}")

    def on_arrival(self, process, runner):
        """Receive a request at a server and answer it."""
        self.arrivals.append((now(), process, runner))
        limit = self.limits[runner.id]
        asyncio.get_running_loop().call_later(ANSWER_S, self.on_answered, process, runner, limit)

    def on_answered(self, process, runner, limit):
        if limit is not None:
            self.told_at.setdefault((process, runner.id), now())
        process.on_answer(runner, limit)

    async def send_for(self, seconds):
        """Let callers send requests for a time."""
        end = now() + seconds
        while now() < end:
            await asyncio.sleep(self.rng.expovariate(self.demand))
            up = [p for p in self.processes if p.place.address not in self.network.dead]
            numbers = [self.processes.index(p) for p in up]
            weights = [self.weights(n, now()) for n in numbers]
            process = self.rng.choices(up, weights)[0]
            self.requests += 1
            self.refused += not process.on_request()

    def rate(self, runner_id, start, end):
        """Return the requests per second that a server got in a span of time."""
        return sum(start <= at < end and r.id == runner_id for at, _, r in self.arrivals) / (
            end - start
        )

    def counted(self, runner_id, *, told_s):
        """Return the times of requests from processes that had been told a while before."""
        return [
            at
            for at, process, runner in self.arrivals
            if runner.id == runner_id
            and at >= self.told_at.get((process, runner_id), float("inf")) + told_s
        ]


WEIGHTS = {
    "even": lambda number, at: 1.0,
    "one process": lambda number, at: float(number == 0),
    "one domain": lambda number, at: float(number % 3 == 0),
    "shifting": lambda number, at: 20.0 if number == int(at / 10) % 7 else 1.0,
}


def play(fleet, script):
    """Run a coroutine function that uses a fleet, on a virtual clock."""

    async def run():
        fleet.start()
        fleet.started_at = now()
        await script(fleet)
        fleet.played_s = now() - fleet.started_at

    run_virtual(run)
    return fleet
