"""Decisions after an attempt at a runner ended without a complete answer."""

from enum import Enum, unique

from attrs import frozen

from wasabilb_core.catalog import Route
from wasabilb_core.errors import ErrorKind

# An attempt with less time left would be refused by the runner or end at the deadline: one round
# trip between regions plus the shortest request.
MIN_ATTEMPT_S = 0.03


@unique
class AttemptEnd(Enum):
    """Result of an attempt."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    # The runner chosen for it could not be used any more when the connection was open.
    WITHHELD = "withheld"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    OUTDATED = "outdated"
    # The runner did not begin in time to take over from one that could go on.
    LATE = "late"
    MOVED = "moved"
    DEADLINE = "deadline"
    # The process ends before the answer.
    CUT_OFF = "cut-off"
    CALLER_GONE = "caller-gone"

    @property
    def has_reached_runner(self) -> bool:
        """Return whether bytes of the request may have reached the runner."""
        return self not in (AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD)

    @property
    def is_not_run(self) -> bool:
        """Return whether it is certain that the runner did not and will not run the request."""
        return self in (AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD, AttemptEnd.REFUSED)


@unique
class StopReason(Enum):
    """Why a request that has not been answered is sent to no further runner."""

    TIME_UP = "time-up"
    CALLER_GONE = "caller-gone"
    PROCESS_ENDS = "process-ends"
    NOT_REPEATABLE = "not-repeatable"
    ATTEMPTS_USED = "attempts-used"
    CONNECTIONS_FAILED = "connections-failed"
    BUDGET_USED = "budget-used"


@unique
class AnswerProgress(Enum):
    """How far the answer of an attempt has come.

    `WAITING`: nothing has arrived; `STARTED`: the head, and no whole event or body; `BEGUN`: at
    least one event.
    """

    WAITING = "waiting"
    STARTED = "started"
    BEGUN = "begun"


@frozen(kw_only=True)
class AttemptHistory:
    """Summary of a request's earlier attempts.

    Parameters
    ----------
    sent : int
        Attempts whose bytes were written to a runner.
    refused : int
        Sent attempts that the runner certainly did not and will not run.
    unsent : int
        Attempts that failed before anything was written.
    not_run_in_row : int
        Newest attempts that certainly did not run.
    may_have_run : bool
        Whether any attempt may have run.
    """

    sent: int = 0
    refused: int = 0
    unsent: int = 0
    not_run_in_row: int = 0
    may_have_run: bool = False

    @property
    def runs(self) -> int:
        """Return the attempts that may have run."""
        return self.sent - self.refused

    def with_attempt(self, end: AttemptEnd) -> "AttemptHistory":
        """Return the history with one more attempt."""
        sent = end.has_reached_runner
        return AttemptHistory(
            sent=self.sent + sent,
            refused=self.refused + (sent and end.is_not_run),
            unsent=self.unsent + (not sent),
            not_run_in_row=self.not_run_in_row + 1 if end.is_not_run else 0,
            may_have_run=self.may_have_run or not end.is_not_run,
        )


# Pause before a begun answer is sent on after its second refusal in a row, seconds, doubled with
# each further one: about the time until a request of a batch ends. The longest leaves several
# attempts within the 2 s after which callers abandon a silent stream.
RESUME_PAUSE_S = 0.1
MAX_RESUME_PAUSE_S = 0.8

# Failed connections cost a runner no work; the bound only prevents an endless loop.
MAX_UNSENT = 6


def stop_reason(
    route: Route,
    history: AttemptHistory,
    end: AttemptEnd,
    time_left_s: float,
    *,
    has_begun: bool = False,
) -> StopReason | None:
    """Return why no other runner may be tried, None if one may; the budget is checked separately.

    A request that may have run is sent again only if its route is repeatable. An answer of which
    the caller holds a part cannot be refused any more, so attempts that certainly did not run do
    not end it. They also leave a run for a request that may have run and has no answer yet.
    """
    if end is AttemptEnd.CALLER_GONE:
        return StopReason.CALLER_GONE
    if end is AttemptEnd.CUT_OFF:
        return StopReason.PROCESS_ENDS
    if end is AttemptEnd.DEADLINE or time_left_s < MIN_ATTEMPT_S:
        return StopReason.TIME_UP
    if history.may_have_run and not route.is_repeatable:
        return StopReason.NOT_REPEATABLE
    if has_begun:
        return StopReason.ATTEMPTS_USED if history.runs >= route.max_attempts else None
    attempts = max(history.runs, history.refused) if history.may_have_run else history.sent
    if attempts >= route.max_attempts:
        return StopReason.ATTEMPTS_USED
    return StopReason.CONNECTIONS_FAILED if history.unsent >= MAX_UNSENT else None


def resume_pause_s(history: AttemptHistory, *, spread: float) -> float:
    """Return the pause before a begun answer is sent to the next runner, seconds.

    The first refusal is followed by another runner at once. Further ones show that the service is
    full, and are followed by exponential backoff.

    Parameters
    ----------
    spread : float
        Random number from 0 to 1 that spreads streams that were refused together.
    """
    if history.not_run_in_row < 2:
        return 0.0
    ceiling = min(MAX_RESUME_PAUSE_S, RESUME_PAUSE_S * 2.0 ** (history.not_run_in_row - 2))
    return ceiling * (1.0 + spread) / 2


def final_error(history: AttemptHistory, end: AttemptEnd | None) -> ErrorKind:
    """Return the error for the caller after all attempts failed.

    A status that guarantees "not run" is used only if no attempt may have run.
    """
    if not history.may_have_run:
        return ErrorKind.NO_BACKEND if history.unsent else ErrorKind.OVERLOADED
    if end in (AttemptEnd.DEADLINE, AttemptEnd.SILENT):
        return ErrorKind.DEADLINE_PASSED
    return ErrorKind.OUTCOME_UNKNOWN
