"""Moves requests off runners that keep them waiting or are slower than their peers."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.retries import MovePolicy, RetryBudget, WithdrawPolicy
from wasabilb_core.routing import RoutingPolicy
from wasabilb_core.stream_cursor import StreamCursor
from wasabilb_node.clock import now

from wasabilb_entry.agent_attempts import Attempt

# A slow runner is detected after three usual gaps of about 36 ms; a longer interval adds to that.
CHECK_INTERVAL_S = 0.05
# Moves and withdrawals of one request; moves after a failure have a limit of their own.
MAX_MOVES = 3


@define(kw_only=True)
class MovableRequest:
    """Data of a request that decides whether it may move.

    Parameters
    ----------
    has_other_runner : callable
        Returns whether another runner of the same variant may continue the answer.
    """

    prompt_tokens: int
    predicted: float
    cursor: StreamCursor
    has_other_runner: Callable[[], bool]
    moves: int = field(default=0)


class AttemptWatch:
    """Checks the attempts in progress and ends those that should continue elsewhere.

    Parameters
    ----------
    routing : RoutingPolicy
        Compares the runners.
    budget : RetryBudget
        Charged for moves of streams; withdrawn calls have not run and cost nothing.
    """

    def __init__(self, *, routing: RoutingPolicy, budget: RetryBudget) -> None:
        self._routing = routing
        self._withdraw_policy = WithdrawPolicy()
        self._move_policy = MovePolicy(budget=budget)
        self._watched: dict[Attempt, MovableRequest] = {}

    def add(self, attempt: Attempt, movable: MovableRequest) -> None:
        """Watch an attempt until `remove`."""
        self._watched[attempt] = movable

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._watched.pop(attempt, None)

    def observe(self, wait_s: float) -> None:
        """Record a time to the first byte, in seconds."""
        self._withdraw_policy.observe(wait_s)

    async def run(self) -> None:
        """Check all attempts at intervals."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(now())

    def check(self, moment: float) -> None:
        """Move streams off slow runners and withdraw calls that have not started."""
        slowdowns: dict[str, float] = {}
        for attempt, movable in list(self._watched.items()):
            if attempt.is_over or attempt.error is not None or movable.moves >= MAX_MOVES:
                continue
            if attempt.host not in slowdowns:
                slowdowns[attempt.host] = self._routing.slowdown(attempt.host, moment)
            slowdown = slowdowns[attempt.host]
            if slowdown > 1.0 and self._may_move(movable, slowdown, moment):
                detail = f"the runner is {slowdown:.1f} times slower than its peers"
                attempt.end_for_move(Error(kind=ErrorKind.STREAM_BROKEN, detail=detail))
            elif not attempt.has_data and self._may_withdraw(attempt, movable, moment):
                attempt.request_withdrawal()

    def _may_move(self, movable: MovableRequest, slowdown: float, moment: float) -> bool:
        produced = movable.cursor.position
        # Evaluated last, because the policy charges the budget.
        return movable.has_other_runner() and self._move_policy.may_move(
            slowdown=slowdown,
            prompt_tokens=movable.prompt_tokens,
            produced=produced,
            remaining=max(movable.predicted, produced + 1.0) - produced,
            now=moment,
        )

    def _may_withdraw(self, attempt: Attempt, movable: MovableRequest, moment: float) -> bool:
        may_withdraw = self._withdraw_policy.may_withdraw(
            waited_s=moment - attempt.sent_at,
            attempts=movable.moves + 1,
            is_requested=attempt.is_withdrawal_requested,
        )
        return may_withdraw and movable.has_other_runner()
