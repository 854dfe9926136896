"""Entries of the at-most-once ledger and the results that follow from their states."""

from attrs import define

from wasabilb_core._once_keys import Fingerprint, Key
from wasabilb_core._once_types import (
    ClaimResult,
    Forgotten,
    Join,
    KeyState,
    Record,
    Refused,
    Replay,
    Unknown,
    unknown_error,
)
from wasabilb_core.errors import Error, ErrorKind

RUNNING_STATES = (KeyState.CLAIMED, KeyState.STARTED)

EntryId = tuple[str, str]


@define(kw_only=True)
class Entry:
    """One claimed key; `order_ms` decides which finished entry is evicted first."""

    key: Key
    digest: str
    state: KeyState
    order_ms: int
    claimed_at: float
    generation: int
    answer: bytes | None = None


def entry_id_of(key: Key, fp: Fingerprint) -> EntryId:
    """Return the ledger's identifier of a key; accounts never share an entry."""
    return (fp.account, key.text)


def refused_error() -> Error:
    """Return the error that confirms that a request has not run and will not run."""
    return Error(kind=ErrorKind.REFUSED_BY_KEY, detail="the key was refused; nothing has run")


def state_for_new_owner(record: Record) -> KeyState:
    """Return the state for the new owner, which cannot observe a running call's end."""
    return KeyState.UNKNOWN if record.state in RUNNING_STATES else record.state


def result_of(entry: Entry, fp: Fingerprint) -> ClaimResult:
    """Return the result of a later attempt under a claimed key."""
    if entry.digest != fp.digest:
        detail = "the key stands for another request of this account"
        return Refused(Error(kind=ErrorKind.KEY_REUSED, detail=detail))
    if entry.state in RUNNING_STATES:
        return Join()
    if entry.state is KeyState.REFUSED:
        return Refused(refused_error())
    if entry.state is KeyState.UNKNOWN:
        detail = "the call was sent and its answer was lost"
        return Unknown(unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail))
    if entry.answer is None:
        return Forgotten(
            Error(kind=ErrorKind.ANSWER_FORGOTTEN, detail="the call ran; its answer was dropped")
        )
    return Replay(entry.answer)
