"""Requests, records and results of the at-most-once ledger."""

from enum import Enum, unique
from typing import Protocol, TypeAlias

from attrs import frozen

from wasabilb_core._once_keys import Fingerprint, Key
from wasabilb_core.errors import Error, ErrorKind, Outcome


@frozen(kw_only=True)
class OnceRequest:
    """One attempt at an at-most-once call.

    Parameters
    ----------
    key : IssuedKey or CallerKey
        Key of the call.
    fingerprint : Fingerprint
        Fingerprint of the request.
    generation : int
        Service generation that the entry host used for routing.
    entry_wall : float
        Wall clock of the entry host when it sent the frame, seconds since the epoch.
    sent_after : float or None
        Newest monotonic time of this agent incarnation that the entry host had received on the
        link when it sent the frame; it bounds the frame's age without any wall clock. None if the
        link does not provide it; then only the agent's wall clock is used.
    """

    key: Key
    fingerprint: Fingerprint
    generation: int
    entry_wall: float
    sent_after: float | None = None


@unique
class KeyState(Enum):
    """State of a key in the ledger."""

    CLAIMED = "claimed"
    STARTED = "started"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Record:
    """Record of a claimed key that one owner sends to another.

    Parameters
    ----------
    text, account, digest : str
        Key and fingerprint.
    created_ms : int or None
        Time of the key; None for an opaque key.
    generation : int
        Service generation under which the key was claimed.
    state : KeyState
        State at the time of the release.
    """

    text: str
    account: str
    digest: str
    created_ms: int | None
    generation: int
    state: KeyState


@frozen
class Execute:
    """The key is claimed for this attempt; call `Ledger.start` right before sending."""


@frozen
class Join:
    """An attempt under the key is running; its answer also answers this attempt."""


@frozen
class Replay:
    """The call ran and its answer is kept."""

    answer: bytes


@frozen
class Refused:
    """The request has not run and will not run under this key."""

    error: Error


@frozen
class Unknown:
    """It is unknown whether the call ran; this attempt does not execute it."""

    error: Error


@frozen
class Forgotten:
    """The call ran; its answer is no longer kept."""

    error: Error


ClaimResult: TypeAlias = Execute | Join | Replay | Refused | Unknown | Forgotten


class ClaimPolicy(Protocol):
    """Protocol that decides whether this process may be the first to claim a caller key."""

    def may_execute(self, request: OnceRequest, now: float, wall_now: float) -> Error | None:
        """Return None if the claim is allowed, otherwise the reason."""

    def on_opaque_evicted(self, claimed_at: float) -> None:
        """Record that the ledger evicted an opaque key that was claimed at this time."""


def unknown_error(kind: ErrorKind, detail: str, retry_after_s: float | None = None) -> Error:
    """Return an error with the outcome "unknown", regardless of the default for its kind.

    A refusal of this attempt does not exclude other attempts under the same key.
    """
    return Error(kind=kind, detail=detail, retry_after_s=retry_after_s, outcome=Outcome.UNKNOWN)
