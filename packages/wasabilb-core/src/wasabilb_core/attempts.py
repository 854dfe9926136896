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
    # The runner requested a pause just before this request was sent.
    WITHHELD = "withheld"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    OUTDATED = "outdated"
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
    unsent : int
        Attempts that failed before anything was written.
    may_have_run : bool
        Whether any attempt may have run.
    """

    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def with_attempt(self, end: AttemptEnd) -> "AttemptHistory":
        """Return the history with one more attempt."""
        sent = end.has_reached_runner
        return AttemptHistory(
            sent=self.sent + sent,
            unsent=self.unsent + (not sent),
            may_have_run=self.may_have_run or not end.is_not_run,
        )


# Failed connections cost a runner no work; the bound only prevents an endless loop.
MAX_UNSENT = 6


def may_retry(route: Route, history: AttemptHistory, end: AttemptEnd, time_left_s: float) -> bool:
    """Return whether another runner may be tried; the retry budget is checked separately.

    A request that may have run is sent again only if its route is repeatable.
    """
    is_over = end in (
        AttemptEnd.ANSWERED,
        AttemptEnd.DEADLINE,
        AttemptEnd.CUT_OFF,
        AttemptEnd.CALLER_GONE,
    )
    if is_over:
        return False
    if time_left_s < MIN_ATTEMPT_S or history.sent >= route.max_attempts:
        return False
    if history.may_have_run and not route.is_repeatable:
        return False
    return history.unsent < MAX_UNSENT


def final_error(history: AttemptHistory, end: AttemptEnd | None) -> ErrorKind:
    """Return the error for the caller after all attempts failed.

    A status that guarantees "not run" is used only if no attempt may have run.
    """
    if not history.may_have_run:
        return ErrorKind.NO_BACKEND if history.unsent else ErrorKind.OVERLOADED
    if end in (AttemptEnd.DEADLINE, AttemptEnd.SILENT):
        return ErrorKind.DEADLINE_PASSED
    return ErrorKind.OUTCOME_UNKNOWN
