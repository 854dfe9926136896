"""Requests of callers, and the error that ends one."""

from attrs import define, field, frozen
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.tickets import AccountSpec
from wasabilb_node.clock import now


class RequestFailedError(Exception):
    """A request failed with an error of the closed list."""

    def __init__(self, error: Error) -> None:
        super().__init__(error.detail)
        self.error = error


def new_error(
    kind: ErrorKind,
    detail: str,
    *,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> RequestFailedError:
    """Return the exception for an error."""
    return RequestFailedError(
        Error(kind=kind, detail=detail, retry_after_s=retry_after_s, outcome=outcome)
    )


@frozen(kw_only=True)
class CallerRequest:
    """One authenticated request.

    Parameters
    ----------
    id : str
        Unique over all entry processes.
    account : AccountSpec
        Account that is charged.
    deadline : float
        Monotonic time after which the answer is of no use.
    priority : int
        0 high, 1 normal, 2 low.
    traceparent : str
        W3C trace context, passed through.
    subjects : tuple of int
        Number of the request as a whole, which its repeats have too; empty where not needed.
    """

    id: str
    account: AccountSpec
    deadline: float
    priority: int = 1
    traceparent: str = ""
    subjects: tuple[int, ...] = ()

    @property
    def left_s(self) -> float:
        """Return the time left in seconds."""
        return self.deadline - now()


@define(kw_only=True)
class RequestRecord:
    """Data that is logged when a request is done."""

    kind: str
    started_at: float = field(factory=now)
    model: str = ""
    version: str = ""
    variant: str = ""
    service: str = ""
    host: str = ""
    tokens: int = 0
    attempts: int = 0
    first_byte_at: float | None = None
    is_whole: bool = False
    error: Error | None = None
    status: int = 200

    @property
    def target(self) -> tuple[str, str, str]:
        """Return what answers: the interface with its model or service."""
        return self.kind, self.model, self.service

    def on_first_byte(self) -> None:
        """Record the time of the answer's first byte."""
        if self.first_byte_at is None:
            self.first_byte_at = now()
