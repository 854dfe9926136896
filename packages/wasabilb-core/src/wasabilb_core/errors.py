"""The closed list of error kinds and the one table from kind to answer."""

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
    """Every kind of error that the system reports."""

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
    BAD_FRAME = "bad-frame"
    BAD_SETTINGS = "bad-settings"
    BAD_TICKET = "bad-ticket"
    TICKET_CONFLICT = "ticket-conflict"
    BAD_MANIFEST = "bad-manifest"
    BAD_CHUNK = "bad-chunk"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    INTERNAL = "internal"


@frozen(kw_only=True)
class Answer:
    """What a caller is told for one kind of error.

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


def _answer(status: int, title: str, outcome: Outcome, retry_helps: bool) -> Answer:
    return Answer(status=status, title=title, outcome=outcome, retry_helps=retry_helps)


_NOT = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _answer(400, "The request is malformed", _NOT, False),
    ErrorKind.BAD_KEY: _answer(400, "The idempotency key cannot be used", _NOT, False),
    ErrorKind.UNAUTHENTICATED: _answer(401, "The account key is missing or wrong", _NOT, False),
    ErrorKind.FORBIDDEN: _answer(403, "The account may not do this", _NOT, False),
    ErrorKind.NOT_FOUND: _answer(404, "No such model, service or path", _NOT, False),
    ErrorKind.METHOD_NOT_ALLOWED: _answer(405, "The method is not allowed here", _NOT, False),
    ErrorKind.TOO_LARGE: _answer(413, "The request is too large", _NOT, False),
    ErrorKind.KEY_REUSED: _answer(422, "The key was used for another request", _NOT, False),
    ErrorKind.ACCOUNT_LIMIT: _answer(429, "The account is over its limit", _NOT, True),
    ErrorKind.OVERLOADED: _answer(503, "The system is overloaded", _NOT, True),
    ErrorKind.DEADLINE_UNREACHABLE: _answer(503, "The deadline cannot be met", _NOT, True),
    ErrorKind.DEADLINE_PASSED: _answer(504, "The deadline has passed", _UNKNOWN, True),
    ErrorKind.NO_BACKEND: _answer(503, "No backend server can take the request", _NOT, True),
    ErrorKind.NOT_READY: _answer(503, "The entry host is not ready", _NOT, True),
    ErrorKind.DRAINING: _answer(503, "The host is draining", _NOT, True),
    ErrorKind.STALE_GENERATION: _answer(503, "The hosts disagree on a ticket", _NOT, True),
    ErrorKind.VERSION_MISMATCH: _answer(503, "The runner changed its version", _NOT, True),
    ErrorKind.CANCELLED: _answer(499, "The request was cancelled", _UNKNOWN, False),
    ErrorKind.REFUSED_BY_KEY: _answer(409, "The key was refused before", _NOT, False),
    ErrorKind.OUTCOME_UNKNOWN: _answer(502, "It is unknown whether the call ran", _UNKNOWN, False),
    ErrorKind.ANSWER_FORGOTTEN: _answer(
        409, "The call ran; its answer is no longer kept", Outcome.RAN, False
    ),
    ErrorKind.STREAM_BROKEN: _answer(502, "The answer was cut off", _UNKNOWN, True),
    ErrorKind.BACKEND_ERROR: _answer(502, "The backend server failed", _UNKNOWN, True),
    ErrorKind.BACKEND_UNREACHABLE: _answer(502, "The backend server is down", _NOT, True),
    ErrorKind.BAD_FRAME: _answer(502, "A message between hosts is malformed", _UNKNOWN, True),
    ErrorKind.BAD_SETTINGS: _answer(500, "The settings are wrong", _NOT, False),
    ErrorKind.BAD_TICKET: _answer(500, "The ticket is wrong", _NOT, False),
    ErrorKind.TICKET_CONFLICT: _answer(500, "The ticket number has other content", _NOT, False),
    ErrorKind.BAD_MANIFEST: _answer(502, "The manifest is wrong", _NOT, True),
    ErrorKind.BAD_CHUNK: _answer(502, "The chunk does not match its digest", _NOT, True),
    ErrorKind.PLATFORM_UNAVAILABLE: _answer(503, "The platform does not answer", _NOT, True),
    ErrorKind.INTERNAL: _answer(500, "The host failed", _UNKNOWN, True),
}


@frozen(kw_only=True)
class Error:
    """One error with what the receiver needs to act on it.

    Parameters
    ----------
    kind : ErrorKind
        Entry of the closed list.
    detail : str
        One line for a person; never holds a secret.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    is_earliest : bool
        Whether no earlier retry can succeed.
    outcome : Outcome or None
        Replaces the outcome of the table where the reporter knows better.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    is_earliest: bool = False
    outcome: Outcome | None = None

    @property
    def answer(self) -> Answer:
        """Return the row of the table for this kind."""
        return ANSWERS[self.kind]

    @property
    def told_outcome(self) -> Outcome:
        """Return the outcome that the caller is told."""
        return self.outcome if self.outcome is not None else self.answer.outcome


def unavailable(detail: str) -> Failure[Error]:
    """Return the failure of a call to a service of the platform that gave no usable answer."""
    return Failure(Error(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=detail))
