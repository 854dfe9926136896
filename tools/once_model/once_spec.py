"""Specification of at-most-once calls under one key, for two agents and any two entry hosts.

Time is reduced to its order relative to the key's creation. An incarnation that started after the
creation, or less than a release's lifetime before it, may not claim the key. When the key is
created while a restarted incarnation may claim it, every release by an earlier incarnation of that
agent has expired. Frames are not removed on arrival, so that each may arrive late, repeatedly, in
any order or never; at the bound on frames in transit one is lost. A paused process takes no step.
Steps that only remove possibilities are omitted: an agent may always answer "unknown", a release
may expire early, an answer may be lost.
"""

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from attrs import frozen

CLAIMED, STARTED, DONE, REFUSED, LOST = "claimed", "started", "done", "refused", "lost"
ANSWERS = {CLAIMED: "join", STARTED: "join", DONE: "ran", REFUSED: "refused", LOST: "unknown"}
# Start of the incarnation: early enough, less than a lifetime before the creation, or after it.
EARLY, LATE, AFTER = 0, 1, 2


class Agent(NamedTuple):
    """One agent; `record` is (state, generation), `held_release` is (incarnation, floor)."""

    ticket: int = 1
    floor: int = 0
    start_phase: int = EARLY
    blocked: bool = False
    record: tuple[str, int] | None = None
    lease: tuple[int, int] | None = None
    held_release: tuple[int, int] | None = None
    incarnation: int = 1
    up: bool = True


class State(NamedTuple):
    """One state; `entries` is the ticket of each entry host, `runs` the executions of the key."""

    agents: tuple[Agent, Agent] = (Agent(), Agent())
    entries: tuple[int, ...] = (1, 1)
    frames: frozenset[tuple[Any, ...]] = frozenset()
    created: bool = False
    runs: int = 0
    reported_not_run: bool = False


@frozen(kw_only=True)
class Setting:
    """Variant of the specification: owners per generation, bounds, and the defects to seed."""

    name: str
    owner: dict[int, int]
    needs_release: dict[tuple[int, int], bool]
    has_entries: bool = True
    max_crashes: int = 1
    max_frames: int = 1
    is_issued: bool = False
    is_gone: bool = False
    defects: frozenset[str] = frozenset()


def settings(**bounds: Any) -> list[Setting]:
    """Return one setting for each way in which ownership is declared."""
    two_owners = {(a, g): True for a in (0, 1) for g in (1, 2)}
    single_owner = {(0, 1): False, (1, 1): True, (0, 2): True, (1, 2): True}
    gone = {(0, 1): False, (1, 1): True, (0, 2): False, (1, 2): False}
    return [
        Setting(
            name="moved to a new owner", owner={1: 0, 2: 1}, needs_release=single_owner, **bounds
        ),
        Setting(
            name="moved between owners", owner={1: 0, 2: 1}, needs_release=two_owners, **bounds
        ),
        Setting(
            name="old owner gone", owner={1: 0, 2: 1}, needs_release=gone, is_gone=True, **bounds
        ),
        Setting(
            name="issued key",
            owner={1: 0, 2: 0},
            needs_release=single_owner,
            is_issued=True,
            **bounds,
        ),
    ]


def problem_of(state: State) -> str:
    """Return the violated invariant in this state, or an empty string."""
    if state.runs > 1:
        return "the call ran twice"
    return "told 'not run', but it ran" if state.reported_not_run and state.runs else ""


class OnceSpec:
    """Steps of the protocol; a label is the step, the agent that takes it and the observation."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self._defects = setting.defects

    def successors(self, state: State) -> Iterator[tuple[tuple[Any, ...], State]]:
        """Yield every step that is possible in a state."""
        if not state.created:
            yield from self._creation_steps(state)
        yield from self._entry_steps(state)
        for index in (0, 1):
            if state.agents[index].up:
                yield from self._lifecycle_steps(state, index)
                yield from self._call_steps(state, index)
                yield from self._release_steps(state, index)

    def _creation_steps(self, state: State) -> Iterator[tuple[tuple[Any, ...], State]]:
        # A first incarnation that may not claim has a subset of the steps of one that may.
        phase_choices = [(EARLY, LATE) if a.incarnation > 1 else (EARLY,) for a in state.agents]
        for start_phases in product(*phase_choices):
            agents = []
            frames = state.frames
            for index in (0, 1):
                agent, other = state.agents[index], state.agents[1 - index]
                lease = agent.lease
                if start_phases[1 - index] == EARLY and "permanent release" not in self._defects:
                    current = other.incarnation
                    lease = lease if lease and lease[0] == current else None
                    frames = frozenset(
                        f
                        for f in frames
                        if f[0] != "released" or f[1] != 1 - index or f[2] == current
                    )
                agents.append(agent._replace(start_phase=start_phases[index], lease=lease))
            yield ("create", *start_phases), state._replace(
                created=True, agents=(agents[0], agents[1]), frames=frames
            )

    def _entry_steps(self, state: State) -> Iterator[tuple[tuple[Any, ...], State]]:
        for index, ticket in enumerate(state.entries if self.setting.has_entries else ()):
            for seen in (1, 2):  # 2 after 1: the ticket arrives; 1 after 2: restart with old state.
                if seen != ticket:
                    entries = list(state.entries)
                    entries[index] = seen
                    # Entry hosts are interchangeable; sorting merges equivalent states.
                    yield ("entry", index, seen), state._replace(entries=tuple(sorted(entries)))
            for kind in ("call", "cancel"):
                # An agent ignores the sender of a frame.
                frame = (kind, ticket)
                if state.created and frame not in state.frames:
                    yield ("send", *frame), state._replace(frames=state.frames | {frame})

    def _lifecycle_steps(self, state: State, index: int) -> Iterator[tuple[tuple[Any, ...], State]]:
        agent = state.agents[index]
        for seen in range(agent.ticket + 1, 3):
            if seen == 2 and self.setting.is_gone and state.agents[0].up:
                continue
            # AFTER stands for destroyed after the creation: the ticket is newer than both.
            was_alive = state.created and state.agents[0].start_phase == AFTER
            is_barred = self.setting.is_gone and seen == 2 and was_alive
            blocked = agent.blocked or (is_barred and "gone" not in self._defects)
            after = agent._replace(ticket=seen, blocked=blocked)
            yield ("ticket", index, seen), _put(state, index, after)
        if self.setting.is_gone and index == 0:
            start_phase = AFTER if state.created else agent.start_phase
            yield ("destroy", 0), _put(state, 0, agent._replace(up=False, start_phase=start_phase))
        if sum(a.incarnation - 1 for a in state.agents) < self.setting.max_crashes:
            start_phase = AFTER if state.created and "no barrier" not in self._defects else EARLY
            after = _put(
                state, index, Agent(start_phase=start_phase, incarnation=agent.incarnation + 1)
            )
            # Answers to the earlier incarnation have no effect.
            frames = frozenset(f for f in state.frames if f[0] != "released" or f[1] == index)
            yield ("crash", index), after._replace(frames=frames)

    def _call_steps(self, state: State, index: int) -> Iterator[tuple[tuple[Any, ...], State]]:
        agent = state.agents[index]
        if state.created:
            for kind in ("call", "cancel"):
                for generation in (1, 2):
                    if self._may_arrive(state, kind, generation):
                        yield from self._attempt_steps(state, index, kind, generation)
        if agent.record is None:
            return
        kind, generation = agent.record
        if kind == CLAIMED:
            started = _put(state, index, agent._replace(record=(STARTED, generation)))
            yield ("start", index), started._replace(runs=state.runs + 1)
        if kind == STARTED:
            yield ("finish", index), _put(state, index, agent._replace(record=(DONE, generation)))

    def _may_arrive(self, state: State, kind: str, generation: int) -> bool:
        return not self.setting.has_entries or (kind, generation) in state.frames

    def _attempt_steps(
        self, state: State, index: int, kind: str, generation: int
    ) -> Iterator[tuple[tuple[Any, ...], State]]:
        agent, label = state.agents[index], (kind, index, generation)
        record = agent.record
        if record is not None and record[0] == CLAIMED and kind == "cancel":
            refused = _put(state, index, agent._replace(record=(REFUSED, record[1])))
            yield (*label, "refused"), refused._replace(reported_not_run=True)
        elif record is not None and not ("no join" in self._defects and record[0] == STARTED):
            answer = ANSWERS[record[0]]
            reported_not_run = state.reported_not_run or answer == "refused"
            yield (*label, answer), state._replace(reported_not_run=reported_not_run)
        else:
            reported_not_run = state.reported_not_run or "refusal is not run" in self._defects
            if reported_not_run != state.reported_not_run:
                yield (*label, "unknown"), state._replace(reported_not_run=reported_not_run)
            if self._may_claim(agent, index, generation):
                claim = CLAIMED if kind == "call" else REFUSED
                record_state = (
                    None if "no tombstone" in self._defects and kind == "cancel" else claim
                )
                after = agent._replace(
                    record=(record_state, agent.ticket) if record_state else None
                )
                reported_not_run = state.reported_not_run or kind == "cancel"
                answer = "execute" if kind == "call" else "refused"
                yield (*label, answer), _put(state, index, after)._replace(
                    reported_not_run=reported_not_run
                )

    def _may_claim(self, agent: Agent, index: int, generation: int) -> bool:
        if self.setting.is_issued:
            return index == 0 and agent.incarnation == 1
        is_owner = self.setting.owner.get(agent.ticket) == index and generation == agent.ticket
        is_above_floor = agent.floor <= agent.ticket or "no floor" in self._defects
        needs_release = self.setting.needs_release.get((index, agent.ticket), True)
        is_released = (
            not needs_release
            or "no release" in self._defects
            or (agent.lease is not None and agent.lease[1] >= agent.ticket)
        )
        is_started_early = agent.start_phase == EARLY and not agent.blocked
        return is_owner and is_above_floor and is_released and is_started_early

    def _release_steps(self, state: State, index: int) -> Iterator[tuple[tuple[Any, ...], State]]:
        agent, peer = state.agents[index], 1 - index
        for request in self._release_requests(state.agents[peer], peer):
            yield from self._answer_steps(state, index, request)
        for frame in state.frames:
            if frame[0] == "released" and frame[1] == peer:
                yield ("accept", index, *frame[1:]), _put(
                    state, index, self._accepted(agent, frame)
                )

    def _release_requests(self, requester: Agent, index: int) -> Iterator[tuple[int, int, int]]:
        """Yield the requests that may be in transit; answers to old incarnations are ignored."""
        generations = [g for g in (1, 2) if self.setting.needs_release[(index, g)]]
        if self.setting.is_issued or not generations:
            return
        for generation in (g for g in (1, 2) if g >= generations[0]):
            yield requester.incarnation, generation, 0
            if requester.held_release:
                yield requester.incarnation, generation, requester.held_release[0]

    def _answer_steps(
        self, state: State, index: int, request: tuple[int, int, int]
    ) -> Iterator[tuple[tuple[Any, ...], State]]:
        requester, generation, held_incarnation = request
        agent = state.agents[index]
        floor = max(agent.floor, agent.ticket, generation)
        has_records = held_incarnation != agent.incarnation
        record = agent.record if agent.record and agent.record[1] < floor else None
        if not has_records or "no records" in self._defects:
            record = None
        answer = (
            "released", index, agent.incarnation, requester, floor,
            has_records, record, has_records and agent.start_phase == AFTER,
        )  # fmt: skip
        after = _put(state, index, agent._replace(floor=floor))
        label = ("answer", index, requester, generation, floor, has_records, record and record[0])
        earlier = [f for f in state.frames if f[0] == "released" and f[1] == index and f != answer]
        if len(earlier) < self.setting.max_frames:
            yield label, after._replace(frames=state.frames | {answer})
        else:
            for lost in earlier:
                yield label, after._replace(frames=(state.frames - {lost}) | {answer})

    def _accepted(self, agent: Agent, frame: tuple[Any, ...]) -> Agent:
        _, _, incarnation, to, floor, has_records, record, is_after = frame
        if to != agent.incarnation or floor < max(agent.ticket, 1):
            return agent
        if has_records:
            if agent.record is None and record is not None:
                kind = record[0] if record[0] in (DONE, REFUSED, LOST) else LOST
                agent = agent._replace(record=(kind, record[1]))
            blocked = agent.blocked or (is_after and "no uptime" not in self._defects)
            agent = agent._replace(blocked=blocked, held_release=(incarnation, floor))
        elif (
            not agent.held_release
            or agent.held_release[0] != incarnation
            or agent.held_release[1] < agent.ticket
        ):
            return agent
        covered_floor = floor if "floor beyond records" in self._defects else agent.held_release[1]
        if agent.lease is not None and agent.lease[1] > covered_floor:
            return agent
        return agent._replace(lease=(incarnation, covered_floor))


def _put(state: State, index: int, agent: Agent) -> State:
    agents = (agent, state.agents[1]) if index == 0 else (state.agents[0], agent)
    return state._replace(agents=agents)
