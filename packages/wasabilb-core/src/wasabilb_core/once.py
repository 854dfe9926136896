"""Ledger of at-most-once calls, kept by the agent that owns the idempotency keys.

A key is claimed at most once in the whole fleet, either to execute the call or to refuse it. All
definite answers follow from the claim; without a record of the claim the answer is "unknown".
"""

import heapq

from wasabilb_core._once_entries import (
    RUNNING_STATES,
    Entry,
    EntryId,
    entry_id_of,
    refused_error,
    result_of,
    state_for_new_owner,
)
from wasabilb_core._once_keys import (
    CallerKey,
    Fingerprint,
    IssuedKey,
    Key,
    fingerprint,
    issue_key,
    parse_key,
)
from wasabilb_core._once_types import (
    ClaimPolicy,
    ClaimResult,
    Execute,
    Forgotten,
    Join,
    KeyState,
    OnceRequest,
    Record,
    Refused,
    Replay,
    Unknown,
    unknown_error,
)
from wasabilb_core.errors import Error, ErrorKind

__all__ = [
    "CallerKey",
    "ClaimPolicy",
    "ClaimResult",
    "Execute",
    "Fingerprint",
    "Forgotten",
    "IssuedKey",
    "Join",
    "Key",
    "KeyState",
    "Ledger",
    "OnceRequest",
    "Record",
    "Refused",
    "Replay",
    "Unknown",
    "fingerprint",
    "issue_key",
    "parse_key",
    "unknown_error",
]

# An entry with a UUIDv7 key and an answer of 50 bytes takes 744 bytes: 24 MB of the 128 MB that a
# node may use.
MAX_ENTRIES = 32_768
MAX_ANSWER_BYTES = 16 << 20
# Evicting a forged key dated far in the future would block all issued keys up to its time.
ISSUED_FUTURE_S = 60.0


class Ledger:
    """Record of the keys that one agent incarnation has claimed for one service.

    Parameters
    ----------
    service, host : str
        Plain service and host of the agent.
    incarnation : int
        Incarnation of the agent process.
    claim_policy : ClaimPolicy
        Decides on claims of caller keys, usually `OnceOwnership`.
    max_entries : int
        Maximum number of recorded keys; running calls are never evicted.
    max_answer_bytes : int
        Maximum total size of kept answers.
    """

    def __init__(
        self,
        *,
        service: str,
        host: str,
        incarnation: int,
        claim_policy: ClaimPolicy,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._service = service
        self._host = host
        self._incarnation = incarnation
        self._claim_policy = claim_policy
        self._max_entries = max_entries
        self._max_answer_bytes = max_answer_bytes
        self._entries: dict[EntryId, Entry] = {}
        self._evictable: list[tuple[int, EntryId]] = []
        self._answers: dict[EntryId, int] = {}
        self._answer_bytes = 0
        self._issued_watermark_ms = -1
        self._caller_watermark_ms = -1

    @property
    def caller_watermark_ms(self) -> int:
        """Return the time up to which absent caller keys may have been evicted; -1 for none."""
        return self._caller_watermark_ms

    @property
    def answer_bytes(self) -> int:
        """Return the total size of kept answers in bytes."""
        return self._answer_bytes

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, request: OnceRequest, now: float, wall_now: float) -> ClaimResult:
        """Claim the key for this attempt, or return the result of an earlier claim.

        Parameters
        ----------
        request : OnceRequest
            The attempt.
        now, wall_now : float
            Monotonic time and wall clock, read when the frame is processed, not when it was
            received, so that a process that was paused in between computes the frame's real age.
        """
        return self._claim_key(request, KeyState.CLAIMED, now, wall_now)

    def cancel(self, request: OnceRequest, now: float, wall_now: float) -> ClaimResult:
        """Refuse the key permanently unless its call has started.

        Never returns `Execute`. `Refused` confirms that the request has not run and will not run.
        """
        entry = self._entries.get(entry_id_of(request.key, request.fingerprint))
        is_same_request = entry is not None and entry.digest == request.fingerprint.digest
        if entry is not None and is_same_request and entry.state is KeyState.CLAIMED:
            self._set_final_state(request.key, request.fingerprint, KeyState.REFUSED)
        return self._claim_key(request, KeyState.REFUSED, now, wall_now)

    def start(self, key: Key, fp: Fingerprint) -> bool:
        """Return whether to send the claimed call to the service now; True at most once."""
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is None or entry.digest != fp.digest or entry.state is not KeyState.CLAIMED:
            return False
        entry.state = KeyState.STARTED
        return True

    def finish(self, key: Key, fp: Fingerprint, answer: bytes) -> None:
        """Record the answer of a started call."""
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is None or entry.state is not KeyState.STARTED:
            return
        self._set_final_state(key, fp, KeyState.DONE)
        if len(answer) <= self._max_answer_bytes:
            entry.answer = answer
            self._answers[entry_id_of(key, fp)] = len(answer)
            self._answer_bytes += len(answer)
        while self._answer_bytes > self._max_answer_bytes:
            self._drop_answer(next(iter(self._answers)))

    def fail_unknown(self, key: Key, fp: Fingerprint) -> None:
        """Record that a started call was lost after sending."""
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is not None and entry.state is KeyState.STARTED:
            self._set_final_state(key, fp, KeyState.UNKNOWN)

    def fail_not_run(self, key: Key, fp: Fingerprint) -> None:
        """Record that nothing of a claimed call was sent, for example after a failed connect."""
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is not None and entry.state in RUNNING_STATES:
            self._set_final_state(key, fp, KeyState.REFUSED)

    def query(self, key: Key, fp: Fingerprint) -> ClaimResult:
        """Return the state of the key without claiming it.

        An absent key is "unknown" because a frame may still be in transit; `cancel` resolves it.
        """
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is None:
            detail = "this agent has no record of the key"
            return Unknown(unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail))
        return result_of(entry, fp)

    def caller_key_records(self, below_generation: int) -> list[Record]:
        """Return the caller keys claimed below a generation, oldest first."""
        found = [
            (entry.order_ms, text, account, entry)
            for (account, text), entry in self._entries.items()
            if isinstance(entry.key, CallerKey) and entry.generation < below_generation
        ]
        found.sort(key=lambda item: item[:3])
        return [
            Record(
                text=text,
                account=account,
                digest=entry.digest,
                created_ms=entry.key.created_ms if isinstance(entry.key, CallerKey) else None,
                generation=entry.generation,
                state=entry.state,
            )
            for _, text, account, entry in found
        ]

    def merge_records(
        self, records: tuple[Record, ...], watermark_ms: int, now: float, wall_now: float
    ) -> None:
        """Merge another owner's records; records of this ledger take precedence."""
        self._caller_watermark_ms = max(self._caller_watermark_ms, watermark_ms)
        for record in records:
            fp = Fingerprint(account=record.account, digest=record.digest)
            key = CallerKey(text=record.text, created_ms=record.created_ms)
            if entry_id_of(key, fp) in self._entries:
                continue
            self._insert(key, fp, state_for_new_owner(record), record.generation, (now, wall_now))

    def _claim_key(
        self, request: OnceRequest, claim: KeyState, now: float, wall_now: float
    ) -> ClaimResult:
        key, fp = request.key, request.fingerprint
        entry = self._entries.get(entry_id_of(key, fp))
        if entry is not None:
            return result_of(entry, fp)
        error = self._claim_error(request, now, wall_now)
        if error is not None:
            return Unknown(error)
        self._insert(key, fp, claim, request.generation, (now, wall_now))
        if claim is KeyState.CLAIMED:
            return Execute()
        return Refused(refused_error())

    def _claim_error(self, request: OnceRequest, now: float, wall_now: float) -> Error | None:
        key = request.key
        if len(self._entries) >= self._max_entries and not self._evictable:
            return unknown_error(ErrorKind.OVERLOADED, "all recorded calls are running", 1.0)
        if isinstance(key, IssuedKey):
            if (key.service, key.host) != (self._service, self._host):
                detail = f"the key was issued for {key.service} on {key.host}"
                return unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail)
            if key.incarnation != self._incarnation:
                detail = "the agent incarnation that the key was issued for is gone"
                return unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail)
            if key.created_ms / 1000 > max(wall_now, request.entry_wall) + ISSUED_FUTURE_S:
                return unknown_error(ErrorKind.BAD_KEY, "the key's time lies in the future")
            may_be_evicted = key.created_ms <= self._issued_watermark_ms
        else:
            may_be_evicted = (
                key.created_ms is not None and key.created_ms <= self._caller_watermark_ms
            )
        if may_be_evicted:
            detail = "the key is older than the recorded keys"
            return unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail)
        if isinstance(key, CallerKey):
            return self._claim_policy.may_execute(request, now, wall_now)
        return None

    def _insert(
        self,
        key: Key,
        fp: Fingerprint,
        state: KeyState,
        generation: int,
        times: tuple[float, float],
    ) -> None:
        now, wall_now = times
        while len(self._entries) >= self._max_entries and self._evictable:
            self._evict()
        entry = Entry(
            key=key,
            digest=fp.digest,
            state=state,
            order_ms=key.created_ms if key.created_ms is not None else int(wall_now * 1000),
            claimed_at=now,
            generation=generation,
        )
        self._entries[entry_id_of(key, fp)] = entry
        if state not in RUNNING_STATES:
            heapq.heappush(self._evictable, (entry.order_ms, entry_id_of(key, fp)))

    def _evict(self) -> None:
        _, entry_id = heapq.heappop(self._evictable)
        entry = self._entries.pop(entry_id)
        self._drop_answer(entry_id)
        if isinstance(entry.key, IssuedKey):
            self._issued_watermark_ms = max(self._issued_watermark_ms, entry.key.created_ms)
        elif entry.key.created_ms is not None:
            self._caller_watermark_ms = max(self._caller_watermark_ms, entry.key.created_ms)
        else:
            self._claim_policy.on_opaque_evicted(entry.claimed_at)

    def _set_final_state(self, key: Key, fp: Fingerprint, state: KeyState) -> None:
        entry = self._entries[entry_id_of(key, fp)]
        entry.state = state
        heapq.heappush(self._evictable, (entry.order_ms, entry_id_of(key, fp)))

    def _drop_answer(self, entry_id: EntryId) -> None:
        self._answer_bytes -= self._answers.pop(entry_id, 0)
        entry = self._entries.get(entry_id)
        if entry is not None:
            entry.answer = None
