"""Exhaustive breadth-first search that returns the shortest counterexample."""

from collections.abc import Callable, Hashable, Iterable
from typing import Any, NamedTuple

Label = tuple[Any, ...]
Successors = Callable[[Any], Iterable[tuple[Label, Any]]]


class SearchResult(NamedTuple):
    """Result of one search; `trace` is empty if no state violates the invariant."""

    states: int
    depth: int
    problem: str
    trace: list[Label]


def search(
    start: Hashable, successors: Successors, problem_of: Callable[[Any], str]
) -> SearchResult:
    """Visit every reachable state and stop at the first one with a problem."""
    parents: dict[Hashable, tuple[Label, Hashable] | None] = {start: None}
    level, depth = [start], 0
    while level:
        next_level = []
        for state in level:
            for label, successor in successors(state):
                if successor in parents:
                    continue
                parents[successor] = (label, state)
                problem = problem_of(successor)
                if problem:
                    return SearchResult(
                        len(parents), depth + 1, problem, _trace(parents, successor)
                    )
                next_level.append(successor)
        level, depth = next_level, depth + bool(next_level)
    return SearchResult(len(parents), depth, "", [])


def _trace(parents: dict[Hashable, tuple[Label, Hashable] | None], state: Hashable) -> list[Label]:
    labels = []
    while (step := parents[state]) is not None:
        labels.append(step[0])
        state = step[1]
    return labels[::-1]
