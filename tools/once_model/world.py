"""Simulation of entry hosts and agents with the real core under a virtual clock, with a checker."""

import random
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from wasabilb_core import once
from wasabilb_core.once import CallerKey, Fingerprint, Key, Ledger, OnceRequest
from wasabilb_core.ownership import Generation, OnceOwnership, Release, Released, owner_of

EPOCH = 1_700_000_000.0
RESULT_NAMES = {
    once.Execute: "execute",
    once.Join: "join",
    once.Refused: "refused",
    once.Replay: "ran",
    once.Forgotten: "ran",
    once.Unknown: "unknown",
}
OWNERSHIP_PLANS = {
    "moved to a new owner": {
        1: Generation(number=1, owners=("h0",)),
        2: Generation(number=2, owners=("h1",), retired=("h0",), opaque_key_window_s=20.0),
    },
    "moved between owners": {
        1: Generation(number=1, owners=("h0", "h1"), opaque_key_window_s=20.0),
        2: Generation(number=2, owners=("h1",), retired=("h0",)),
        3: Generation(number=3, owners=("h0",), retired=("h1",), opaque_key_window_s=20.0),
    },
    "old owner gone": {
        1: Generation(number=1, owners=("h0",)),
        2: Generation(number=2, owners=("h1",), gone=frozenset({"h0"})),
    },
}


@frozen(kw_only=True)
class Frame:
    """One frame in transit to a host; a call's link ends with the agent's incarnation."""

    kind: str
    to: str
    message: Any
    sent_at: float
    link: int = 0


@define(kw_only=True)
class Process:
    """One agent incarnation; `paused_clocks` is true time and its clocks while it is paused."""

    host: str
    incarnation: int
    ownership: OnceOwnership
    ledger: Ledger
    mono_offset: float
    wall_offset: float = 0.0
    paused_clocks: tuple[float, float, float] | None = None
    is_up: bool = True


@define(kw_only=True)
class World:
    """All processes and the network; each method is one step, `trace` the observed events."""

    plan: dict[int, Generation]
    rng: random.Random
    max_entries: int = 64
    true_now: float = 0.0
    agents: dict[str, Process] = field(factory=dict)
    entries: list[int] = field(factory=lambda: [1, 1])
    keys: list[tuple[Key, Fingerprint]] = field(factory=list)
    frames: list[Frame] = field(factory=list)
    runs: dict[tuple[str, str], int] = field(factory=dict)
    reported_not_run: set[tuple[str, str]] = field(factory=set)
    trace: list[tuple[Any, ...]] = field(factory=list)
    problem: str = ""
    destroyed_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        for host in ("h0", "h1"):
            self._start_agent(host, 1, 1)
        self.advance(20.0)

    def advance(self, seconds: float) -> None:
        """Advance true time."""
        self.true_now += seconds

    def key(self, kind: str, age: float, entry: int) -> None:
        """Create a key; `age` is the error of the caller's clock in seconds."""
        created = int((EPOCH + self.true_now - age) * 1000)
        text = f"k{len(self.keys)}"
        new_key: Key = CallerKey(text=text, created_ms=created if kind == "timed" else None)
        if kind == "issued":
            agent = self.agents["h0"]
            new_key = once.issue_key("s", "h0", agent.incarnation, created, self.rng)
        self.keys.append((new_key, once.fingerprint("POST", f"/{entry}", b"", "account")))
        self.trace.append(("create", new_key.text))

    def send(self, kind: str, key: int, entry: int) -> None:
        """Send a call or a cancel from an entry host to the owner in its ticket."""
        if not self.keys:
            return
        call_key, fingerprint = self.keys[key % len(self.keys)]
        number = self.entries[entry % len(self.entries)]
        wall = EPOCH + self.true_now + (0.4 if entry % 2 else -0.4)
        to = owner_of(call_key, self.plan[number]) or "h0"
        request = OnceRequest(
            key=call_key,
            fingerprint=fingerprint,
            generation=number,
            entry_wall=wall,
            sent_after=self.true_now + self.agents[to].mono_offset - 0.5 * (entry % 2),
        )
        link = self.agents[to].incarnation
        self.frames.append(
            Frame(kind=kind, to=to, message=request, sent_at=self.true_now, link=link)
        )

    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a frame; with `keep` it stays in transit to arrive again."""
        if not self.frames:
            return
        index %= len(self.frames)
        frame = self.frames[index] if keep else self.frames.pop(index)
        agent = self.agents[frame.to]
        if agent.is_up and frame.link in (0, agent.incarnation):
            getattr(self, f"_on_{frame.kind}")(
                agent, frame.message, *self._read_clocks(agent, frame.sent_at)
            )

    def ticket(self, host: str, number: int) -> None:
        """Deliver a ticket to an agent."""
        agent = self.agents[host]
        if agent.is_up and self._is_published(number):
            if number > agent.ownership.generation:
                self.trace.append(("ticket", host, number))
            agent.ownership.on_generation(
                self.plan[number], self._read_clocks(agent, self.destroyed_at)[0]
            )

    def ticket_at_entry(self, entry: int, number: int) -> None:
        """Deliver a ticket to an entry host, or restart the entry host with an older one."""
        if self._is_published(number):
            self.entries[entry % len(self.entries)] = number

    def crash(self, host: str, number: int) -> None:
        """Restart an agent as a new incarnation, possibly with an older ticket."""
        agent = self.agents[host]
        if agent.is_up and self._is_published(number):
            self._start_agent(host, agent.incarnation + 1, number)

    def destroy(self, host: str) -> None:
        """Destroy a host, if the plan declares it gone."""
        is_declared = any(host in generation.gone for generation in self.plan.values())
        if is_declared and self.agents[host].is_up:
            self.agents[host].is_up = False
            self.destroyed_at = self.true_now
            self.trace.append(("destroy", host))

    def pause(self, host: str) -> None:
        """Pause a process after it has read its clocks for an arrived message."""
        agent = self.agents[host]
        agent.paused_clocks = agent.paused_clocks or (
            self.true_now,
            *self._read_clocks(agent, self.true_now),
        )

    def jump(self, host: str, seconds: float) -> None:
        """Set the error of an agent's wall clock; the entry hosts' clocks stay within 0.5 s."""
        self.agents[host].wall_offset = seconds

    def ask(self, host: str) -> None:
        """Send the release requests of an agent."""
        agent = self.agents[host]
        if agent.is_up:
            for to, release_request in agent.ownership.release_requests(
                self._read_clocks(agent, 0.0)[0]
            ):
                self.frames.append(
                    Frame(kind="release", to=to, message=release_request, sent_at=self.true_now)
                )

    def work(self, host: str, key: int, step: str) -> None:
        """Start a claimed call on an agent, or record its answer or its loss."""
        agent = self.agents[host]
        if not self.keys or not agent.is_up:
            return
        call_key, fingerprint = self.keys[key % len(self.keys)]
        if step == "start":
            if agent.ledger.start(call_key, fingerprint):
                self._record_run(host, call_key, fingerprint)
        elif step == "finish":
            was_running = isinstance(agent.ledger.query(call_key, fingerprint), once.Join)
            agent.ledger.finish(call_key, fingerprint, b"answer")
            if was_running and isinstance(agent.ledger.query(call_key, fingerprint), once.Replay):
                self.trace.append(("finish", host, call_key.text))
        else:
            agent.ledger.fail_unknown(call_key, fingerprint)

    def _start_agent(self, host: str, incarnation: int, number: int) -> None:
        offset = self.rng.uniform(0, 1e4)
        now = self.true_now + offset
        ownership = OnceOwnership(service="s", host=host, incarnation=incarnation, started_now=now)
        ledger = Ledger(
            service="s",
            host=host,
            incarnation=incarnation,
            claim_policy=ownership,
            max_entries=self.max_entries,
        )
        self.agents[host] = Process(
            host=host,
            incarnation=incarnation,
            ownership=ownership,
            ledger=ledger,
            mono_offset=offset,
        )
        ownership.on_generation(self.plan[number], now)
        if incarnation > 1:
            self.trace.append(("crash", host))
        if number > 1:
            self.trace.append(("ticket", host, number))

    def _read_clocks(self, agent: Process, known_at: float) -> tuple[float, float]:
        """Return the clocks, read after `known_at` and possibly long before the step."""
        paused_clocks, agent.paused_clocks = agent.paused_clocks, None
        if paused_clocks is not None and paused_clocks[0] >= known_at:
            return paused_clocks[1:]
        now = self.true_now
        return now + agent.mono_offset, EPOCH + now + agent.wall_offset

    def _is_published(self, number: int) -> bool:
        gone = self.plan[number].gone if number in self.plan else frozenset({"h0", "h1"})
        return number in self.plan and not any(self.agents[host].is_up for host in gone)

    def _on_call(self, agent: Process, request: OnceRequest, now: float, wall: float) -> None:
        self._record_result(agent, "call", request, agent.ledger.begin(request, now, wall))

    def _on_cancel(self, agent: Process, request: OnceRequest, now: float, wall: float) -> None:
        self._record_result(agent, "cancel", request, agent.ledger.cancel(request, now, wall))

    def _on_release(self, agent: Process, release: Release, now: float, _: float) -> None:
        answer = agent.ownership.on_release(release, agent.ledger, now)
        if answer is not None:
            self.trace.append(("answer", agent.host, answer))
            self.frames.append(
                Frame(kind="released", to=release.host, message=answer, sent_at=self.true_now)
            )

    def _on_released(self, agent: Process, answer: Released, now: float, wall: float) -> None:
        if agent.ownership.on_released(answer, agent.ledger, now, wall):
            self.trace.append(("accept", agent.host, answer))

    def _record_result(
        self, agent: Process, kind: str, request: OnceRequest, result: once.ClaimResult
    ) -> None:
        text = request.key.text
        self.trace.append((kind, agent.host, text, request.generation, RESULT_NAMES[type(result)]))
        if isinstance(result, once.Refused):
            self.reported_not_run.add((text, request.fingerprint.digest))
        self._check_invariants()

    def _record_run(self, host: str, key: Key, fingerprint: Fingerprint) -> None:
        self.trace.append(("start", host, key.text))
        run_key = (key.text, fingerprint.digest)
        self.runs[run_key] = self.runs.get(run_key, 0) + 1
        self._check_invariants()

    def _check_invariants(self) -> None:
        repeated = [run_key for run_key, count in self.runs.items() if count > 1]
        if repeated:
            self.problem = f"{repeated[0][0]} ran twice"
        elif self.reported_not_run & self.runs.keys():
            self.problem = f"{min(self.reported_not_run & self.runs.keys())[0]} ran, told 'not run'"


def random_run(plan: dict[int, Generation], seed: int, steps: int, exact: bool = False) -> World:
    """Run random steps; `exact` uses only correct clocks and keys that carry a time."""
    rng = random.Random(seed)
    max_entries = 64 if exact else rng.choice((2, 64))
    world = World(plan=plan, rng=rng, max_entries=max_entries)
    kinds = ("timed",) if exact else ("timed", "timed", "issued", "opaque")
    ages = (0.0,) if exact else (0.0, 0.0, 0.0, 4.0, -0.9, -30.0)

    def host() -> str:
        return rng.choice(("h0", "h1"))

    def number() -> int:
        return rng.choice(tuple(plan))

    def key() -> int:
        return max(0, len(world.keys) - 1 - rng.randrange(3))

    def frame() -> int:
        newest = len(world.frames) - 1
        recent = rng.random() < 0.8
        return max(0, newest - rng.randrange(4)) if recent else rng.randrange(newest + 2)

    def exchange() -> None:
        world.ask(host())
        for _ in range(rng.choice((0, 2))):
            world.deliver(-1, False)

    def work() -> None:
        worker = host()
        for index in range(len(world.keys)):
            world.work(worker, index, rng.choice(("start", "start", "start", "finish", "lose")))

    choices: list[tuple[float, Callable[[], None]]] = [
        (4, lambda: world.advance(rng.choice((0.1, 0.5, 1.0, 4.0, 13.0)))),
        (3, lambda: world.key(rng.choice(kinds), rng.choice(ages), 0)),
        (14, lambda: world.send(rng.choice(("call", "call", "cancel")), key(), rng.randrange(2))),
        (14, lambda: world.deliver(frame(), rng.random() < 0.2)),
        (2, lambda: world.ticket(host(), number())),
        (2, lambda: world.ticket_at_entry(rng.randrange(2), number())),
        (1.5, lambda: world.crash(host(), number())),
        (0.2, lambda: world.destroy("h0")),
        (1, lambda: world.pause(host())),
        (0 if exact else 1, lambda: world.jump(host(), rng.choice((0.0, 1.9, -1.9, -13.0, 100.0)))),
        (5, exchange),
        (8, work),
    ]
    for step in rng.choices([c for _, c in choices], [w for w, _ in choices], k=steps):
        step()
        if world.problem:
            break
    return world
