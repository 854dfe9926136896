"""State of one model request over its attempts, and the errors after which it may move."""

from attrs import define, field, frozen
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.routing import RouteRequest
from wasabilb_core.stream_cursor import StreamCursor
from wasabilb_core.tickets import Variant

from wasabilb_entry.attempt_watch import MovableRequest
from wasabilb_entry.prompts import ModelPrompt
from wasabilb_entry.request_guard import RequestGuard
from wasabilb_entry.requests import CallerRequest, RequestRecord

# Errors after which another runner may succeed and no part of the answer is in doubt.
MOVABLE = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.NOT_READY,
        ErrorKind.DRAINING,
        ErrorKind.VERSION_MISMATCH,
        ErrorKind.STREAM_BROKEN,
        ErrorKind.BACKEND_ERROR,
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.BAD_FRAME,
    }
)
OVERLOADS = frozenset({ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE})
REFUSALS = OVERLOADS | {ErrorKind.NOT_READY, ErrorKind.DRAINING, ErrorKind.VERSION_MISMATCH}


@frozen(kw_only=True)
class AnswerPart:
    """Tokens that arrived together, or the end of the answer when `reason` is set."""

    texts: list[str] = field(factory=list)
    reason: str = ""


@define(kw_only=True)
class RequestState:
    """State of one model request over its attempts."""

    req: CallerRequest
    prompt: ModelPrompt
    record: RequestRecord
    route: RouteRequest
    movable: MovableRequest
    cursor: StreamCursor
    guard: RequestGuard
    pinned_variant: Variant | None = None
    excluded: set[str] = field(factory=set)
    # Hosts that refused to go on with the answer, and the number of such refusals.
    refused: set[str] = field(factory=set)
    refusals: int = 0
    avoided_host: str = ""
    last_error: Error | None = None
    may_have_run: bool = False

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has a part of the answer."""
        return self.cursor.position > 0

    @property
    def counted_attempts(self) -> int:
        """Return the attempts that count against the limit."""
        return self.record.attempts - self.movable.moves - self.refusals

    def is_refusal(self, error: Error) -> bool:
        """Return whether a runner certainly did not go on with an answer that has begun."""
        return (
            self.has_begun and error.kind in MOVABLE and error.effective_outcome is Outcome.NOT_RUN
        )
