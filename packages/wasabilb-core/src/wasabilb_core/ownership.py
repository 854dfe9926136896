"""Ownership of caller keys: which agent may claim a key first while tickets move ownership.

Every claim is bounded by time: its key was created at most `FUTURE_S` after the claim. A process
without a record of the claims of others up to some moment therefore answers "unknown" for keys
created up to that moment plus a margin. The moments are the start of the process, the start of an
incarnation that sent a release, and the destruction of an owner.

A release is valid for `RELEASE_LIFETIME_S` only, as in Gray and Cheriton, "Leases: an efficient
fault-tolerant mechanism for distributed file cache consistency", SOSP 1989. A releaser that
restarts with only older tickets has no record of its predecessor's promise. When it claims its
first key, the release has expired, and all keys claimed under it are older than the ones that it
may claim. So not even a late claim of a paused owner can conflict.
"""

import math

import attrs
from attrs import frozen

from wasabilb_core._once_keys import CallerKey, IssuedKey, Key
from wasabilb_core._once_types import OnceRequest, unknown_error
from wasabilb_core._release_messages import Generation, Release, Released, generation_of
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.once import Ledger
from wasabilb_core.rendezvous import owner

__all__ = [
    "CLOCK_MARGIN_S",
    "RELEASE_LIFETIME_S",
    "RENEW_S",
    "Generation",
    "OnceOwnership",
    "Release",
    "Released",
    "generation_of",
    "has_clock_agreement",
    "owner_of",
]

# A key may be dated this long after the wall clocks of entry host and agent, because callers'
# clocks are less accurate than the hosts'.
FUTURE_S = 1.0
# At each claim, at least one of the two wall clocks is assumed to be this close to true time.
CLOCK_ERROR_S = 0.5
# The latest key that an owner can have claimed before a moment is dated FUTURE_S + CLOCK_ERROR_S
# after it, and another owner's estimate of the moment is at most CLOCK_ERROR_S too early.
CLOCK_MARGIN_S = FUTURE_S + 2 * CLOCK_ERROR_S
# Three renewals can be lost before a release expires. A restart takes this time, since a new
# incarnation leaves all keys to the owners that hold a release of its predecessor.
RELEASE_LIFETIME_S = 10.0
RENEW_S = RELEASE_LIFETIME_S / 4
# A heartbeat is sent every second, and a link without traffic for 3 s is replaced.
MAX_FRAME_AGE_S = 3.0
# Monotonic clocks of two hosts run at the same rate within 1 %.
_RATE_ERROR = 1.01
# Key, account and digest take at most 295 bytes; with three integers and the pointers of the
# encoding a record stays below 400 bytes, so 4,096 records fit a frame of 2 MiB.
MAX_RECORDS = 4096


@frozen(kw_only=True)
class _Lease:
    floor: int
    until: float


class OnceOwnership:
    """Decides which caller keys of one service an agent incarnation may claim.

    Parameters
    ----------
    service, host : str
        Plain service and host of the agent.
    incarnation : int
        Incarnation of the agent process, positive.
    started_now : float
        Monotonic time of the start of the process. The clock must count suspended time.
    release_lifetime_s : float
        Validity of a release in seconds, the same on all hosts; infinity is safe only if a
        restarted process never has older tickets than its predecessor.
    """

    def __init__(
        self,
        *,
        service: str,
        host: str,
        incarnation: int,
        started_now: float,
        release_lifetime_s: float = RELEASE_LIFETIME_S,
    ) -> None:
        self._service = service
        self._host = host
        self._incarnation = incarnation
        self._started_at = started_now
        self._lifetime_s = release_lifetime_s
        guard = 0.0 if math.isinf(release_lifetime_s) else release_lifetime_s * _RATE_ERROR
        self._barrier = started_now + guard
        self._opaque_barrier = self._barrier
        self._opaque_evicted_at = -math.inf
        self._generation: Generation | None = None
        self._floor = 0
        self._other_owners: frozenset[str] = frozenset()
        self._leases: dict[str, _Lease] = {}
        self._held: dict[str, tuple[int, int]] = {}
        self._wall_offset: float | None = None

    @property
    def generation(self) -> int:
        """Return the number of the newest generation, 0 before the first."""
        return self._generation.number if self._generation else 0

    def on_generation(self, generation: Generation, now: float) -> None:
        """Apply the generation of the newest ticket; lower numbers are ignored.

        `now` must be read after the ticket has arrived, as it is used as the time of destruction of
        the hosts that the ticket declares gone.
        """
        if generation.number < self.generation:
            return
        before = self._generation.gone if self._generation else frozenset()
        if generation.gone - before:
            # The claims of a destroyed owner are unknown, but it claimed nothing after this moment.
            self._barrier = max(self._barrier, now)
            self._opaque_barrier = max(self._opaque_barrier, now)
        self._generation = generation
        # An earlier owner must release its keys even if the ticket omits it from the retired ones.
        listed = {*self._other_owners, *generation.owners, *generation.retired}
        self._other_owners = frozenset(listed - generation.gone - {self._host})

    def required_releases(self) -> frozenset[str]:
        """Return the hosts whose release this agent needs before it claims a caller key."""
        return self._other_owners

    def release_requests(self, now: float) -> list[tuple[str, Release]]:
        """Return the messages to send every `RENEW_S`, each with its target host."""
        if self._generation is None or self._host not in self._generation.owners:
            return []
        return [(host, self._release_request(host, now)) for host in sorted(self._other_owners)]

    def on_release(self, release: Release, ledger: Ledger, now: float) -> Released | None:
        """Release all generations below the requester's, and return the answer.

        The promise takes effect before the ticket arrives: until then this agent claims nothing.
        """
        if release.service != self._service:
            return None
        self._floor = max(self._floor, release.generation, self.generation)
        answer = Released(
            service=self._service,
            generation=self._floor,
            host=self._host,
            incarnation=self._incarnation,
            to_incarnation=release.incarnation,
            sent_now=release.sent_now,
            uptime_s=now - self._started_at,
        )
        if release.held_incarnation == self._incarnation:
            return answer
        return self._with_records(answer, ledger, now)

    def on_released(self, answer: Released, ledger: Ledger, now: float, wall_now: float) -> bool:
        """Apply a release; return whether it is valid for the newest generation.

        `now` must be read after the frame has arrived, as the releaser's age is computed from it.
        """
        is_for_me = (answer.service, answer.to_incarnation) == (self._service, self._incarnation)
        is_fresh = 0 <= now - answer.sent_now < self._lifetime_s
        if not is_for_me or not is_fresh or answer.generation < max(self.generation, 1):
            return False
        if answer.has_records:
            ledger.merge_records(answer.records, answer.watermark_ms, now, wall_now)
            self._barrier = max(self._barrier, now - answer.uptime_s)
            opaque_age = min(answer.uptime_s, answer.opaque_age_s)
            self._opaque_barrier = max(self._opaque_barrier, now - opaque_age)
            self._held[answer.host] = (answer.incarnation, answer.generation)
        elif self._held_incarnation(answer.host) != answer.incarnation:
            return False
        # Without records the promise covers only the generation of the held records: the releaser
        # may have moved to a later one since it sent them, and claimed keys in between.
        lease = _Lease(floor=self._held[answer.host][1], until=answer.sent_now + self._lifetime_s)
        known = self._leases.get(answer.host)
        is_better = known is None or (known.floor, known.until) < (lease.floor, lease.until)
        if is_better or (known is not None and now >= known.until):
            self._leases[answer.host] = lease
        return True

    def on_opaque_evicted(self, claimed_at: float) -> None:
        """Record that the ledger evicted an opaque key that was claimed at this time."""
        self._opaque_barrier = max(self._opaque_barrier, claimed_at)
        self._opaque_evicted_at = max(self._opaque_evicted_at, claimed_at)

    def may_execute(self, request: OnceRequest, now: float, wall_now: float) -> Error | None:
        """Return None if this agent may claim the key, otherwise the reason.

        All refusals are "unknown", as another attempt may have run elsewhere.
        """
        if isinstance(request.key, IssuedKey):
            return None
        self._check_clock_jump(now, wall_now)
        return (
            self._generation_error(request)
            or self._clock_error(request, now, wall_now)
            or self._release_error(now)
            or self._key_error(request, request.key, now, wall_now)
        )

    def _generation_error(self, request: OnceRequest) -> Error | None:
        generation = self._generation
        if generation is None or self._host in generation.gone:
            detail = "no ticket makes this agent an owner of keys"
            return unknown_error(ErrorKind.NOT_READY, detail, 1.0)
        if generation.number < self._floor:
            detail = f"generation {generation.number} is released"
            return unknown_error(ErrorKind.STALE_GENERATION, detail, 1.0)
        if request.generation != generation.number:
            detail = f"generation {request.generation} on entry host, {generation.number} here"
            return unknown_error(ErrorKind.STALE_GENERATION, detail, 1.0)
        if owner(request.key.text, generation.owners) != self._host:
            return unknown_error(ErrorKind.STALE_GENERATION, "another host owns the key", 1.0)
        return None

    def _clock_error(self, request: OnceRequest, now: float, wall_now: float) -> Error | None:
        age = 0.0 if request.sent_after is None else now - request.sent_after
        if has_clock_agreement(request.entry_wall, wall_now) and age <= MAX_FRAME_AGE_S:
            return None
        late = max(age, wall_now - request.entry_wall)
        detail = f"the clocks differ or the frame is late by {late:.1f} s"
        return unknown_error(ErrorKind.NOT_READY, detail, 1.0)

    def _release_error(self, now: float) -> Error | None:
        missing = [host for host in sorted(self._other_owners) if not self._has_lease(host, now)]
        if not missing:
            return None
        detail = f"no release of generations before {self.generation} from {', '.join(missing)}"
        return unknown_error(ErrorKind.NOT_READY, detail, RENEW_S)

    def _key_error(
        self, request: OnceRequest, key: CallerKey, now: float, wall_now: float
    ) -> Error | None:
        if key.created_ms is None:
            return self._opaque_error(now)
        created = key.created_ms / 1000
        if created > min(wall_now, request.entry_wall) + FUTURE_S:
            return unknown_error(ErrorKind.BAD_KEY, "the key's time lies in the future", 1.0)
        # Computed from the monotonic clock at each claim, so that a wall clock that was wrong at
        # the start and corrected later does not move the barrier.
        # The timestamp of a late frame can match a slow agent clock, so the frame's age is added.
        age = 0.0 if request.sent_after is None else max(0.0, now - request.sent_after)
        known_since = max(wall_now, request.entry_wall + age) - (now - self._barrier)
        if created <= known_since + CLOCK_MARGIN_S:
            detail = "an owner that is gone may have run a call under the key"
            return unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail)
        return None

    def _opaque_error(self, now: float) -> Error | None:
        window = self._generation.opaque_key_window_s if self._generation else 0.0
        if window <= 0:
            detail = "the service accepts UUIDv7 keys or keys with Idempotency-Key-Created"
            return unknown_error(ErrorKind.BAD_KEY, detail)
        if now <= self._opaque_barrier + window + CLOCK_MARGIN_S:
            detail = "the key may be a repeat of a call that is no longer recorded"
            return unknown_error(ErrorKind.OUTCOME_UNKNOWN, detail)
        return None

    def _check_clock_jump(self, now: float, wall_now: float) -> None:
        """Drop the releases if the clocks diverged, as the host may have been suspended."""
        offset = wall_now - now
        if self._wall_offset is not None and abs(offset - self._wall_offset) > CLOCK_MARGIN_S:
            self._leases.clear()
        self._wall_offset = offset

    def _has_lease(self, host: str, now: float) -> bool:
        lease = self._leases.get(host)
        return lease is not None and lease.floor >= self.generation and now < lease.until

    def _held_incarnation(self, host: str) -> int:
        incarnation, floor = self._held.get(host, (0, 0))
        return incarnation if floor >= self.generation else 0

    def _release_request(self, host: str, now: float) -> Release:
        return Release(
            service=self._service,
            generation=self.generation,
            host=self._host,
            incarnation=self._incarnation,
            sent_now=now,
            held_incarnation=self._held_incarnation(host),
        )

    def _with_records(self, answer: Released, ledger: Ledger, now: float) -> Released:
        records = ledger.caller_key_records(answer.generation)
        dropped, kept = records[:-MAX_RECORDS], records[-MAX_RECORDS:]
        watermark = max([ledger.caller_watermark_ms, *(r.created_ms or -1 for r in dropped)])
        has_all_opaque = all(record.created_ms is not None for record in dropped)
        return attrs.evolve(
            answer,
            has_records=True,
            records=tuple(kept),
            watermark_ms=watermark,
            opaque_age_s=now - self._opaque_evicted_at if has_all_opaque else 0.0,
        )


def has_clock_agreement(entry_wall: float, agent_wall: float) -> bool:
    """Return whether a frame is recent and the wall clocks agree within `CLOCK_MARGIN_S`."""
    return abs(agent_wall - entry_wall) <= CLOCK_MARGIN_S


def owner_of(key: Key, generation: Generation) -> str | None:
    """Return the host that receives every attempt under a key."""
    if isinstance(key, IssuedKey):
        return key.host
    return owner(key.text, generation.owners)
