"""What the ledger takes and answers."""

from enum import Enum, unique
from typing import Protocol, TypeAlias

from attrs import frozen

from wasabilb_core._once_keys import Fingerprint, Key
from wasabilb_core.errors import Error, ErrorKind, Outcome


@frozen(kw_only=True)
class OnceRequest:
    """One attempt at a call that runs at most once.

    Parameters
    ----------
    key : IssuedKey or CallerKey
        Key of the call.
    fingerprint : Fingerprint
        What the key stands for.
    generation : int
        Service generation that the entry host routed by.
    entry_wall : float
        Wall clock of the entry host when it sent the frame, seconds since the epoch.
    sent_after : float or None
        Newest monotonic time of this agent incarnation that the entry host had received on the
        link when it sent the frame; it bounds the frame's age without any wall clock. None where
        the link does not carry it; then the agent's wall clock is relied on alone.
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
    """What one owner tells another about a key that it has claimed.

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
    """The key is claimed for this attempt; call `Ledger.start` directly before sending."""


@frozen
class Join:
    """An attempt under the key is running; its answer is this attempt's answer too."""


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
    """It is unknown whether the call ran; this attempt executes nothing."""

    error: Error


@frozen
class Forgotten:
    """The call ran; its answer is no longer kept."""

    error: Error


ClaimResult: TypeAlias = Execute | Join | Replay | Refused | Unknown | Forgotten


class ClaimPolicy(Protocol):
    """Decides whether this process may be the first to claim a caller's own key."""

    def may_execute(self, request: OnceRequest, now: float, wall_now: float) -> Error | None:
        """Return None when the claim is allowed, otherwise why it is not."""

    def on_opaque_evicted(self, claimed_at: float) -> None:
        """Take note that the ledger dropped an opaque key that was claimed at this time."""


def unknown_error(kind: ErrorKind, detail: str, retry_after_s: float | None = None) -> Error:
    """Return an error whose outcome is "unknown" whatever the table says of its kind.

    A refusal of this attempt says nothing about other attempts under the same key.
    """
    return Error(kind=kind, detail=detail, retry_after_s=retry_after_s, outcome=Outcome.UNKNOWN)
