"""Entry processes in memory before runners that crash, on a virtual clock.

The processes decide with the code of the product: `PromptGuard`, `CrashingParts` and
`CrashExchange`. Only links, runners, callers and the check of a broken connection are simulated.
"""

import asyncio
import random
from types import SimpleNamespace

from attrs import define, field
from forwarding_harness import RecordingLog
from memory_links import Network, run_virtual
from wasabilb_core.attempts import AnswerProgress, AttemptEnd
from wasabilb_core.crash_subjects import is_whole_request, request_subject
from wasabilb_core.crashing_parts import SURVIVED_S, CrashingParts
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.errors import ErrorKind
from wasabilb_core.peering import entry_peers, is_hub
from wasabilb_core.runner_directory import Runner
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.prompt_guard import GuardedAttempt, PromptGuard
from wasabilb_node.clock import now
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import RunnerReport

NETWORK_DELAY_S = 0.002
# Time until a runner begins an answer, from it until the runner crashes on it, and its length.
WAIT_S = (0.05, 0.3)
CRASH_DELAY_S = 0.06
ANSWER_S = 1.0
DOWN_S = 2.5
# Time until agents have reported a runner that does not answer.
AGENT_DELAY_S = (0.02, 0.2)
MAX_ATTEMPTS = 2
SYSTEM_PART, BAD_PART, OTHER_BAD_PART = 1, 0xBAD, 0xBEEF
# Digests above those that number the other requests.
BAD_REQUEST, STATUS_REQUEST = request_subject(1 << 40), request_subject(2 << 40)
THINGS = 60


class LoopDetector:
    """Detector that knows which runners of the model have crashed."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def has_crashed(self, runner, on_crash):
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        return runner.id not in self.fleet.up

    def on_runner_ended(self, runner):
        """Nothing is in doubt in the model."""


class ModelExchange(CrashExchange):
    """Exchange that stops when its process ends."""

    has_ended = False

    def _on_timer(self):
        if not self.has_ended:
            super()._on_timer()

    def _on_notice(self, peer, notice):
        if not self.has_ended:
            super()._on_notice(peer, notice)


@define(kw_only=True, eq=False)
class ModelRequest:
    """One request of a caller over its attempts."""

    process: "ModelProcess"
    parts: tuple
    is_bad: bool
    number: int
    tried: set = field(factory=set)
    first_began: bool = False
    error: ErrorKind | None = None
    is_answered: bool = False
    sent_at: list = field(factory=list)


class ModelProcess:
    """One entry process."""

    def __init__(self, fleet, place):
        self.fleet, self.place = fleet, place
        self.links = fleet.network.add(place.address, "entry", failure_domain=place.failure_domain)
        self.start()

    def start(self):
        """Start, also again after the process ended."""
        roster = EntryRoster(own=self.place, now=now())
        roster.on_announcements(self.fleet.places, now())
        self.links.on_link_up.clear()
        self.log = RecordingLog()
        self.parts = CrashingParts()
        self.exchange = ModelExchange(
            parts=self.parts,
            links=self.links,
            has_full_mesh=lambda: len(roster) <= MAX_MESH_HOSTS,
            is_relay=lambda: is_hub(self.place, roster.places()),
            log=self.log,
            rng=random.Random(f"{self.fleet.seed} {self.place.address}"),
        )
        self.guard = PromptGuard(
            parts=self.parts,
            exchange=self.exchange,
            detector=LoopDetector(self.fleet),
            log=self.log,
        )


class CrashFleet:
    """Entry processes of some failure domains and runners that crash on parts of prompts."""

    def __init__(self, *, processes, domains=3, runners=9, sound=60.0, bad=4.0, seed=1):
        self.seed, self.rng = seed, random.Random(seed)
        self.network = Network(seed=seed)
        self.sound, self.bad = sound, bad
        self.bad_parts = {BAD_PART}
        # Whether answers come whole at their end.
        self.is_plain = False
        self.make_sound = self.usual_parts
        self.make_bad = lambda: (*self.usual_parts()[:2], BAD_PART)
        self.places = [
            EntryPlace(address=f"e{n}", failure_domain=f"d{n % domains}") for n in range(processes)
        ]
        self.runner_count, self.generation = runners, 0
        # Requests with each runner that is up, by its identifier: request and progress.
        self.up, self.runners_by_id = {}, {}
        self.requests, self.ended, self.bad_sends = [], [], []
        self.bytes_sent, self.messages_sent, self.tasks = 0, 0, []

    def usual_parts(self):
        """Return the parts of a sound prompt, popular ones more often."""
        things = [int(THINGS * self.rng.random() ** 2) for _ in range(2)]
        return (SYSTEM_PART, 100 + things[0], 200 + things[1])

    def start(self):
        """Start and link all; called within the loop."""
        transmit = self.network.transmit

        def counted(link, message):
            self.messages_sent += 1
            self.bytes_sent += len(encode(message))
            transmit(link, message)

        self.network.transmit = counted
        self.processes = [ModelProcess(self, place) for place in self.places]
        for process in self.processes:
            self.link(process)
        for number in range(self.runner_count):
            self.start_runner(number)
        self.started_at = now()

    def link(self, process):
        for peer in sorted(entry_peers(process.place, self.places, lambda address: False)):
            pair = self.network.links_by_host[process.place.address]
            if peer not in pair.linked_hosts():
                self.network.connect(process.place.address, peer)

    def start_runner(self, number):
        self.generation += 1
        runner = Runner(
            id=f"r{number}-{self.generation}",
            born_ms=self.generation,
            service="s",
            address=f"r{number}:1",
            failure_domain=f"d{number % 3}",
        )
        self.up[runner.id] = {}
        self.runners_by_id[runner.id] = runner

    def kill(self, number):
        """End a process."""
        process = self.processes[number]
        process.exchange.has_ended = True
        self.network.end(process.place.address)

    def restart(self, number):
        """Start an ended process again, which has forgotten everything."""
        process = self.processes[number]
        self.network.dead.discard(process.place.address)
        process.start()
        self.link(process)

    def crash(self, runner_id, *, is_bad=False):
        """End a runner; all processes with requests there see it."""
        requests = self.up.pop(runner_id, None)
        if requests is None:
            return
        runner = self.runners_by_id[runner_id]
        if is_bad:
            self.ended.append(now())
        loop = asyncio.get_running_loop()
        number = int(runner_id[1:].partition("-")[0])
        loop.call_later(DOWN_S, self.start_runner, number)
        report = RunnerReport(runner=runner.id, born_ms=runner.born_ms, is_reachable=False)
        for process in self.processes:
            delay_s = self.rng.uniform(*AGENT_DELAY_S)
            loop.call_later(delay_s, process.guard.on_report, runner, report)
        for end, _ in requests.values():
            if not end.done():
                loop.call_later(NETWORK_DELAY_S, _resolve, end, AttemptEnd.BROKEN)

    async def request(self, process, parts, is_bad):
        """Send a request of a caller until it is answered or given up."""
        if not any(map(is_whole_request, parts)):
            parts = (*parts, request_subject(len(self.requests) + 1))
        req = ModelRequest(process=process, parts=parts, is_bad=is_bad, number=len(self.requests))
        self.requests.append(req)
        while len(req.sent_at) < MAX_ATTEMPTS:
            error = process.guard.refusal(parts)
            usable = [name for name in self.up if name not in req.tried]
            if error is not None or not usable:
                req.error = error.kind if error is not None else ErrorKind.NO_BACKEND
                return
            probed = process.guard.begin(parts)
            assert probed is not None
            if await self.attempt(req, self.rng.choice(usable), probed):
                req.is_answered = True
                return

    async def attempt(self, req, runner_id, probed):
        req.sent_at.append(now())
        req.tried.add(runner_id)
        if req.is_bad:
            self.bad_sends.append(now())
        end = asyncio.get_running_loop().create_future()
        state = SimpleNamespace(progress=AnswerProgress.WAITING)
        if runner_id in self.up:
            self.up[runner_id][req.number] = (end, state)
        running = asyncio.ensure_future(self.run(req, runner_id, end, state))
        result = await end
        running.cancel()
        self.up.get(runner_id, {}).pop(req.number, None)
        await req.process.guard.on_attempt_ended(
            GuardedAttempt(
                request_id=f"q-{req.number}",
                runner=self.runners_by_id[runner_id],
                parts=req.parts,
                probed=probed,
                end=result,
                progress=state.progress,
                is_success=result is AttemptEnd.ANSWERED,
            )
        )
        return result is AttemptEnd.ANSWERED

    async def run(self, req, runner_id, end, state):
        await asyncio.sleep(self.rng.uniform(*WAIT_S))
        if not self.is_plain:
            state.progress = AnswerProgress.STARTED
        await asyncio.sleep(CRASH_DELAY_S)
        if self.bad_parts & set(req.parts):
            self.crash(runner_id, is_bad=True)
            return
        req.first_began = req.first_began or len(req.sent_at) == 1
        if self.is_plain:
            await asyncio.sleep(ANSWER_S)
        else:
            state.progress = AnswerProgress.BEGUN
            await asyncio.sleep(SURVIVED_S)
            req.process.guard.on_answer_going_on(req.parts)
            await asyncio.sleep(ANSWER_S - SURVIVED_S)
        _resolve(end, AttemptEnd.ANSWERED)

    async def send_for(self, seconds, *, has_bad=True):
        """Let callers send requests for a time."""
        end, rate = now() + seconds, self.sound + (self.bad if has_bad else 0.0)
        while now() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            up = [p for p in self.processes if p.place.address not in self.network.dead]
            is_bad = has_bad and self.rng.random() < self.bad / rate
            parts = self.make_bad() if is_bad else self.make_sound()
            task = asyncio.ensure_future(self.request(self.rng.choice(up), parts, is_bad))
            self.tasks.append(task)

    def sends_after(self, fifth=5, stable_s=3.0):
        """Return the sends with the bad part later than a time after the fifth crash."""
        if len(self.ended) < fifth:
            return 0
        return sum(at > self.ended[fifth - 1] + stable_s for at in self.bad_sends)

    def begun_share(self, since=0.0):
        """Return the share of sound requests that began at the first attempt."""
        sound = [
            r for r in self.requests if not r.is_bad and (not r.sent_at or r.sent_at[0] >= since)
        ]
        return sum(r.first_began for r in sound) / max(1, len(sound))

    def blocked(self):
        """Return the parts that some process refuses."""
        return set().union(*(p.parts.blocked_parts(now()) for p in self.processes))

    def refused(self, *kinds):
        """Return the sound requests that were not answered, with one of some errors."""
        return [r for r in self.requests if not r.is_bad and r.error in kinds]

    def blocked_ever(self):
        """Return the parts that some process refused at some time, in hexadecimal."""
        return {
            fields["part"]
            for process in self.processes
            for _, name, fields in process.log.timed
            if name == "part_blocked"
        }

    def blocked_delays(self, part=BAD_PART):
        """Return, for each process, the time from the first crash until it refused a part."""
        delays = []
        for process in self.processes:
            lines = [
                at
                for at, name, fields in process.log.timed
                if name == "part_blocked" and fields["part"] == f"{part:x}"
            ]
            delays.append(lines[0] - self.ended[0] if lines else float("inf"))
        return delays


def _resolve(fut, value):
    if not fut.done():
        fut.set_result(value)


def play(fleet, script):
    """Run a coroutine function that uses a fleet, on a virtual clock."""

    async def run():
        fleet.start()
        await script(fleet)
        fleet.blocked_at_end = fleet.blocked()
        fleet.played_s = now() - fleet.started_at

    run_virtual(run)
    return fleet
