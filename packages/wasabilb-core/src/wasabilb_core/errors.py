"""Error kinds and the table that maps each kind to an answer."""

from enum import Enum, unique

from attrs import frozen
from returns.result import Failure


@unique
class Outcome(Enum):
    """Whether the work of a request has run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@unique
class ErrorKind(Enum):
    """Closed list of the kinds of errors that the system reports."""

    BAD_REQUEST = "bad-request"
    BAD_KEY = "bad-key"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    TOO_LARGE = "too-large"
    KEY_REUSED = "key-reused"
    ACCOUNT_LIMIT = "account-limit"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    NO_BACKEND = "no-backend"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    STALE_GENERATION = "stale-generation"
    VERSION_MISMATCH = "version-mismatch"
    CANCELLED = "cancelled"
    REFUSED_BY_KEY = "refused-by-key"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_FORGOTTEN = "answer-forgotten"
    STREAM_BROKEN = "stream-broken"
    BACKEND_ERROR = "backend-error"
    BACKEND_UNREACHABLE = "backend-unreachable"
    PROMPT_BLOCKED = "prompt-blocked"
    PROMPT_PROBED = "prompt-probed"
    REQUEST_BLOCKED = "request-blocked"
    REQUEST_PROBED = "request-probed"
    BAD_FRAME = "bad-frame"
    BAD_SETTINGS = "bad-settings"
    BAD_TICKET = "bad-ticket"
    TICKET_CONFLICT = "ticket-conflict"
    BAD_MANIFEST = "bad-manifest"
    BAD_CHUNK = "bad-chunk"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    INTERNAL = "internal"


@frozen(kw_only=True)
class ErrorAnswer:
    """Answer to the caller for one kind of error.

    Parameters
    ----------
    status : int
        HTTP status code (RFC 9110).
    title : str
        Title of the problem document (RFC 9457).
    outcome : Outcome
        Whether the request can have run, unless the error itself says otherwise.
    retry_helps : bool
        Whether the same request may succeed later.
    """

    status: int
    title: str
    outcome: Outcome
    retry_helps: bool


def _row(status: int, title: str, outcome: Outcome, retry_helps: bool) -> ErrorAnswer:
    return ErrorAnswer(status=status, title=title, outcome=outcome, retry_helps=retry_helps)


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: _row(400, "The request is malformed", _NOT_RUN, False),
    ErrorKind.BAD_KEY: _row(400, "The idempotency key cannot be used", _NOT_RUN, False),
    ErrorKind.UNAUTHENTICATED: _row(401, "The account key is missing or wrong", _NOT_RUN, False),
    ErrorKind.FORBIDDEN: _row(403, "The account may not do this", _NOT_RUN, False),
    ErrorKind.NOT_FOUND: _row(404, "No such model, service or path", _NOT_RUN, False),
    ErrorKind.METHOD_NOT_ALLOWED: _row(405, "The method is not allowed here", _NOT_RUN, False),
    ErrorKind.TOO_LARGE: _row(413, "The request is too large", _NOT_RUN, False),
    ErrorKind.KEY_REUSED: _row(422, "The key was used for another request", _NOT_RUN, False),
    ErrorKind.ACCOUNT_LIMIT: _row(429, "The account is over its limit", _NOT_RUN, True),
    ErrorKind.OVERLOADED: _row(503, "The system is overloaded", _NOT_RUN, True),
    ErrorKind.DEADLINE_UNREACHABLE: _row(503, "The deadline cannot be met", _NOT_RUN, True),
    ErrorKind.DEADLINE_PASSED: _row(504, "The deadline has passed", _UNKNOWN, True),
    ErrorKind.NO_BACKEND: _row(503, "No backend server can take the request", _NOT_RUN, True),
    ErrorKind.NOT_READY: _row(503, "The entry host is not ready", _NOT_RUN, True),
    ErrorKind.DRAINING: _row(503, "The host is draining", _NOT_RUN, True),
    ErrorKind.STALE_GENERATION: _row(503, "The hosts disagree on a ticket", _NOT_RUN, True),
    ErrorKind.VERSION_MISMATCH: _row(503, "The runner changed its version", _NOT_RUN, True),
    ErrorKind.CANCELLED: _row(499, "The request was cancelled", _UNKNOWN, False),
    ErrorKind.REFUSED_BY_KEY: _row(409, "The key was refused before", _NOT_RUN, False),
    ErrorKind.OUTCOME_UNKNOWN: _row(502, "It is unknown whether the call ran", _UNKNOWN, False),
    ErrorKind.ANSWER_FORGOTTEN: _row(
        409, "The call ran; its answer is no longer kept", Outcome.RAN, False
    ),
    ErrorKind.STREAM_BROKEN: _row(502, "The answer was cut off", _UNKNOWN, True),
    ErrorKind.BACKEND_ERROR: _row(502, "The backend server failed", _UNKNOWN, True),
    ErrorKind.BACKEND_UNREACHABLE: _row(502, "The backend server is down", _NOT_RUN, True),
    ErrorKind.PROMPT_BLOCKED: _row(400, "The prompt crashes backend servers", _NOT_RUN, False),
    ErrorKind.PROMPT_PROBED: _row(503, "A part of the prompt is being probed", _NOT_RUN, True),
    ErrorKind.REQUEST_BLOCKED: _row(400, "The request crashes backend servers", _NOT_RUN, False),
    ErrorKind.REQUEST_PROBED: _row(503, "The same request is being probed", _NOT_RUN, True),
    ErrorKind.BAD_FRAME: _row(502, "A message between hosts is malformed", _UNKNOWN, True),
    ErrorKind.BAD_SETTINGS: _row(500, "The settings are wrong", _NOT_RUN, False),
    ErrorKind.BAD_TICKET: _row(500, "The ticket is wrong", _NOT_RUN, False),
    ErrorKind.TICKET_CONFLICT: _row(500, "The ticket number has other content", _NOT_RUN, False),
    ErrorKind.BAD_MANIFEST: _row(502, "The manifest is wrong", _NOT_RUN, True),
    ErrorKind.BAD_CHUNK: _row(502, "The chunk does not match its digest", _NOT_RUN, True),
    ErrorKind.PLATFORM_UNAVAILABLE: _row(503, "The platform does not answer", _NOT_RUN, True),
    ErrorKind.INTERNAL: _row(500, "The host failed", _UNKNOWN, True),
}


@frozen(kw_only=True)
class Error:
    """Error with the data that the receiver needs to act on it.

    Parameters
    ----------
    kind : ErrorKind
        Entry of the closed list.
    detail : str
        One line for a person, without secrets.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    is_earliest : bool
        Whether no earlier retry can succeed.
    outcome : Outcome or None
        Replaces the outcome of the table if the reporter has a more precise one.
    is_silence : bool
        Whether nothing came in time, which a sound server may do as well.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    is_earliest: bool = False
    outcome: Outcome | None = None
    is_silence: bool = False

    @property
    def answer(self) -> ErrorAnswer:
        """Return the row of the table for this kind."""
        return ERROR_ANSWERS[self.kind]

    @property
    def effective_outcome(self) -> Outcome:
        """Return the outcome that is reported to the caller."""
        return self.outcome if self.outcome is not None else self.answer.outcome


def unavailable(detail: str, *, is_silence: bool = False) -> Failure[Error]:
    """Return the failure of a call to a platform service without a usable answer."""
    return Failure(Error(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=detail, is_silence=is_silence))
