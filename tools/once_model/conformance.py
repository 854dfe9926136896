"""Check that a trace of the real core for one key is a behaviour of the specification."""

from typing import Any

import attrs
from wasabilb_core.once import Key, KeyState, Record
from wasabilb_core.ownership import owner_of

from once_model.once_spec import OnceSpec, Setting, State
from once_model.world import World

Event = tuple[Any, ...]
_FINAL_STATES = {KeyState.DONE: "done", KeyState.REFUSED: "refused"}


def first_nonconforming_step(world: World, spec: OnceSpec, key: str) -> Event | None:
    """Return the first step that the specification does not allow, or None.

    All states of the specification that match the steps so far are followed in parallel, since the
    trace does not contain the time at which the key was created.
    """
    states = {State()}
    incarnations = [1, 1]
    for step in world.trace:
        event = _event_of(step, key)
        if step[0] == "crash":
            incarnations[int(step[1][1:])] += 1
        if step[0] == "answer" and step[2].to_incarnation != incarnations[1 - int(step[1][1:])]:
            # Only the promise of an answer to an earlier incarnation matters.
            event = ("promise", *event[1:3]) if event else None
        if event is None:
            continue
        next_states = {
            after
            for state in states
            for label, after in spec.successors(state)
            if _is_match(label, event)
        }
        if not next_states:
            return step
        states = next_states
    return None


def setting_of(world: World, key: Key, bounds: Setting) -> Setting:
    """Return the setting of the specification for this key."""
    owner = {n: int((owner_of(key, g) or "h0")[1:]) for n, g in world.plan.items()}
    return attrs.evolve(bounds, owner=owner)


def _event_of(step: Event, key: str) -> Event | None:
    kind = step[0]
    if kind == "create":
        return ("create",) if step[1] == key else None
    index = int(step[1][1:])
    if kind in ("call", "cancel"):
        _, _, text, generation, answer = step
        return (kind, index, generation, answer) if text == key and answer != "unknown" else None
    if kind in ("start", "finish"):
        return (kind, index) if step[2] == key else None
    if kind in ("answer", "accept"):
        answer = step[2]
        records = [record for record in answer.records if record.text == key]
        state = _record_state(records[0]) if records else None
        observed = (answer.generation, answer.has_records, state)
        if kind == "answer":
            return ("answer", index, *observed)
        return ("accept", index, answer.incarnation, answer.to_incarnation, *observed)
    return (kind, index, *step[2:])


def _is_match(label: Event, event: Event) -> bool:
    if event[0] == "promise":
        return label[0] == "answer" and (label[1], label[4]) == event[1:]
    if label[0] != event[0]:
        return False
    if label[0] == "create":
        return True
    if label[0] == "answer":
        _, index, _, _, floor, has_records, state = label
        return (index, floor, has_records, _spec_state(state)) == event[1:]
    if label[0] == "accept":
        _, index, _, incarnation, to, floor, has_records, record, _ = label
        state = _spec_state(record and record[0])
        return (index, incarnation, to, floor, has_records, state) == event[1:]
    return label == event


def _record_state(record: Record) -> str:
    return _FINAL_STATES.get(record.state, "open")


def _spec_state(state: str | None) -> str | None:
    return state if state in (None, "done", "refused") else "open"
