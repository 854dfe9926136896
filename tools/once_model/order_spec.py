"""Specification of load orders by two agent incarnations to one engine, under two tickets.

An agent sends one order at a time with its ticket's number as fencing token and reports a version
as ready after it has read it from the engine. Sent orders are never removed, so that a paused
agent's order may reach the engine late. Every answer of the engine names the version it used.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from attrs import frozen


class Orderer(NamedTuple):
    """One incarnation; `checked` is the ticket that it read directly before its next order."""

    ticket: int = 1
    checked: int = 0
    ready: int = 0
    up: bool = True


class State(NamedTuple):
    """Version and highest token of the engine, the orders, and the faults that occurred."""

    orderers: tuple[Orderer, ...] = (Orderer(), Orderer(up=False))
    orders: frozenset[int] = frozenset()
    engine_version: int = 0
    highest_token: int = 0
    mixed: bool = False
    reverted: bool = False


@frozen(kw_only=True)
class Setting:
    """Variant of the specification: whether the engine fences, and the defects to seed."""

    name: str
    has_fence: bool
    defects: frozenset[str] = frozenset()


def settings() -> list[Setting]:
    """Return the settings with and without fencing."""
    return [
        Setting(name="orders with fencing", has_fence=True),
        Setting(name="orders without fencing", has_fence=False),
    ]


class OrderSpec:
    """Steps of the protocol."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting

    def problem_of(self, state: State) -> str:
        """Return the violated invariant in this state, or an empty string."""
        if state.mixed:
            return "a call pinned to one version was answered by another"
        newest = max(o.ticket for o in state.orderers)
        if state.engine_version not in (0, newest) and not self._can_correct(state, newest):
            return "no agent corrects the engine's version"
        return "a fenced engine reverted" if state.reverted and self.setting.has_fence else ""

    def successors(self, state: State) -> Iterator[tuple[tuple[Any, ...], State]]:
        """Yield every step that is possible in a state."""
        for index, orderer in enumerate(state.orderers):
            if orderer.up:
                yield from self._agent_steps(state, index, orderer)
        for number in state.orders:
            is_old = number < state.highest_token and "token ignored" not in self.setting.defects
            if not (self.setting.has_fence and is_old):
                reverted = state.reverted or number < state.engine_version
                highest_token = max(state.highest_token, number)
                yield ("load", number), state._replace(
                    engine_version=number, highest_token=highest_token, reverted=reverted
                )

    def _agent_steps(
        self, state: State, index: int, orderer: Orderer
    ) -> Iterator[tuple[tuple[Any, ...], State]]:
        if orderer.ticket == 1:
            yield ("ticket", index), _put(state, index, orderer._replace(ticket=2, ready=0))
        if index == 0:
            successor = Orderer(ticket=1)
            yield ("replace", 0), state._replace(orderers=(orderer._replace(up=False), successor))
        if state.engine_version != orderer.ticket:
            yield ("check", index), _put(state, index, orderer._replace(checked=orderer.ticket))
        if orderer.checked:
            # A pause between the check and the order leaves the older number in `checked`.
            sent = _put(state, index, orderer._replace(checked=0))
            yield ("order", index), sent._replace(orders=state.orders | {orderer.checked})
        if state.engine_version == orderer.ticket and orderer.ready != orderer.ticket:
            yield ("ready", index), _put(state, index, orderer._replace(ready=orderer.ticket))
        if orderer.ready and state.engine_version:
            is_mixed = state.engine_version != orderer.ready
            if is_mixed and "answer unchecked" in self.setting.defects:
                yield ("answer", index), state._replace(mixed=True)

    def _can_correct(self, state: State, newest: int) -> bool:
        return "order once" not in self.setting.defects or newest not in state.orders


def _put(state: State, index: int, orderer: Orderer) -> State:
    orderers = list(state.orderers)
    orderers[index] = orderer
    return state._replace(orderers=tuple(orderers))
