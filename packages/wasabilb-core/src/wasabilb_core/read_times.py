"""Times at which the platform was read, which bound the age of what was published later."""

import math
from collections import deque

from wasabilb_core.state_position import StatePosition

# A new publication follows the newest answer; earlier ones serve those that are merged late.
MAX_ANSWERS = 8


class ReadTimes:
    """The newest answers of the platform, with the times at which they were requested.

    The platform's answers are linearizable, so an answer proves that nothing later than its
    position had been published when it was requested. When it arrived proves nothing, as an answer
    may be under way for long or wait in a process that is paused.
    """

    def __init__(self) -> None:
        self._answers: deque[tuple[StatePosition, float]] = deque(maxlen=MAX_ANSWERS)

    def on_answer(self, position: StatePosition, requested_at: float) -> None:
        """Record an answer that shows the state at a position.

        Parameters
        ----------
        position : StatePosition
            Newest position that the answer shows.
        requested_at : float
            When it was requested, seconds.
        """
        if self._answers:
            newest, at = self._answers[-1]
            if position < newest or requested_at < at:
                return
            if position == newest:
                self._answers.pop()
        self._answers.append((position, requested_at))

    def published_after(self, position: StatePosition) -> float:
        """Return the latest known time before the publication at a position, seconds.

        Returns minus infinity when it may have been published at any time.
        """
        times = (at for known, at in reversed(self._answers) if known < position)
        return next(times, -math.inf)
