"""Guard of one request at the product's own interface against crashes of backend servers."""

import asyncio
import math

from attrs import define
from wasabilb_core.crashing_parts import PROBE_S, SURVIVED_S
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_node.clock import now

from wasabilb_entry.agent_attempts import Attempt
from wasabilb_entry.prompt_guard import BLOCKED_KINDS, CrashedAttempt, PromptGuard
from wasabilb_entry.requests import CallerRequest, RequestFailedError

# Interval between checks whether the probe of a subject has ended, seconds.
PROBE_CHECK_S = 0.05
# Longest time for which a request waits for the probes of others, seconds: for one that tells no
# result, and for the next one.
PROBE_WAIT_S = 2 * PROBE_S


@define(kw_only=True, eq=False)
class RequestGuard:
    """Keeps the attempts of a request within what the guard allows, and tells it their ends.

    Parameters
    ----------
    guard : PromptGuard
        Knows what crashes backend servers.
    req : CallerRequest
        The request.
    subjects : tuple of int
        What of it may crash backend servers.
    """

    guard: PromptGuard
    req: CallerRequest
    subjects: tuple[int, ...]
    _wait_until: float = math.inf

    def begin(self) -> frozenset[int] | None:
        """Record that the request is being sent and return the subjects that it probes.

        None if it must not be sent.
        """
        return self.guard.begin(self.subjects)

    async def wait(self, *, has_begun: bool = False, may_have_run: bool = False) -> None:
        """Wait a moment, as another request probes a subject of this one.

        Parameters
        ----------
        has_begun : bool
            Whether the caller has a part of the answer, which a refusal would end.
        may_have_run : bool
            Whether an attempt of the request may have run.

        Raises
        ------
        RequestFailedError
            If a subject crashes backend servers, or the probes of others take too long.
        """
        error = self.guard.refusal(self.subjects)
        moment = now()
        self._wait_until = min(self._wait_until, moment + PROBE_WAIT_S, self.req.deadline)
        is_blocked = error is not None and error.kind in BLOCKED_KINDS
        is_too_long = not has_begun and moment + PROBE_CHECK_S > self._wait_until
        if is_blocked or is_too_long:
            if error is None:
                # The probe ended in this moment.
                error = Error(kind=ErrorKind.PROMPT_PROBED, detail="the request was probed")
            if may_have_run:
                error = Error(kind=ErrorKind.OUTCOME_UNKNOWN, detail=error.detail)
            raise RequestFailedError(error)
        await asyncio.sleep(PROBE_CHECK_S)

    def may_hedge(self) -> bool:
        """Return whether the request may be with two backend servers at once."""
        return self.guard.may_hedge(self.subjects)

    def on_unsent(self, probed: frozenset[int]) -> None:
        """Record that a request that was to be sent was not."""
        self.guard.on_probe_ended(probed)

    def on_data(self, attempt: Attempt, moment: float) -> None:
        """Clear the subjects once the answer has gone on for long enough."""
        if attempt.head_at is not None and moment - attempt.head_at >= SURVIVED_S:
            attempt.head_at = math.inf
            self.on_survived()

    def on_survived(self) -> None:
        """Clear the subjects, as a backend server has survived the request."""
        self.guard.on_answer_going_on(self.subjects)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Report the end of an attempt."""
        probed, attempt.probed = attempt.probed, frozenset()
        if not attempt.crash_ms or not self.subjects:
            self.guard.on_probe_ended(probed)
            return
        self.guard.on_crash(
            CrashedAttempt(
                request_id=self.req.id,
                runner_id=attempt.host,
                born_ms=attempt.crash_ms,
                parts=self.subjects,
                probed=probed,
                progress=attempt.progress,
            ),
            now(),
        )
