"""Overload control: which model requests are sent, held or refused while runners are full.

It covers a few seconds in which more requests arrive than the runners can start in time, for
example during a rollout, after the loss of a failure domain or in a burst. A request that starts
late has a fraction of the value of one that starts in time, at the same cost. If all were sent in
order of arrival, the runners' queues would grow until every request is late. A request is therefore
sent only if it is expected to start in time. Others are held until a slot is free, which serves
them late without delaying others, and refused at once if too many are held.
"""

import math
from collections import deque
from enum import Enum, unique

from attrs import define, frozen

# Factor for requests that other entry processes sent since the last report, which the expected wait
# does not include.
WAIT_FACTOR = 1.6
# Engine steps until the first token reaches the caller: the rest of the current pass and the
# prefill pass, of 5 steps each, and the round trip to the runner.
FIRST_TOKEN_STEPS = 11
# Factor for prompts that join the batch earlier and share the engine with this one.
PREFILL_FACTOR = 1.3
# Maximum time for which a request is held, seconds. It is longer for resubmitted requests, which
# are lost if they are refused again.
HOLD_S = 1.2
HOLD_RESUBMITTED_S = 2.2
# Maximum wait at which a long answer is sent although it starts late, seconds; it cannot be held.
MAX_LONG_WAIT_S = 0.3
# Free slots beyond which a runner accepts a held request, so that requests that can still start in
# time get a slot.
SPARE_SLOTS = 2
# Time for which free slots are left to new requests after one that could not start in time,
# seconds: new ones start in time there, whereas a held request is late already. A new request
# arrives at an entry process every 0.1 to 0.2 s.
NEW_REQUEST_PRIORITY_S = 0.8
# Time left for the answer itself when a held request is refused, seconds.
MIN_ANSWER_S = 0.8
# Window for counting held requests that were sent, seconds. At least one a second is held, so that
# the count can rise again.
RATE_WINDOW_S = 2.0
MIN_RATE = 1.0
MAX_COUNTED = 256
# Pause before a retry, as a share of the time needed to serve the held requests.
RETRY_FACTOR = 1.0
MIN_RETRY_S = 0.3


@unique
class Decision(Enum):
    """Action for a new request."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


def begins_on_time(*, wait_s: float, prefill_s: float, step_s: float, left_s: float) -> bool:
    """Return whether an answer is expected to start within its latency objective.

    Parameters
    ----------
    wait_s : float
        Expected wait for a slot in a batch.
    prefill_s : float
        Prefill time of the request's own prompt.
    step_s : float
        Time of one engine step.
    left_s : float
        Time left of the objective.
    """
    return WAIT_FACTOR * wait_s + PREFILL_FACTOR * prefill_s + FIRST_TOKEN_STEPS * step_s <= left_s


@frozen(kw_only=True)
class HeldLimit:
    """Limit on the number of requests that one process holds.

    Parameters
    ----------
    runners : int
        Number of runners that accept requests.
    completion_interval_s : float
        Mean time between two completions of a full runner.
    processes : float
        Entry processes that share the runners; one that also uses other runners counts partly.
    recent_rate : float
        Held requests per second that recently got a slot, infinite while none expired.
    """

    runners: int
    completion_interval_s: float
    processes: float
    recent_rate: float = math.inf

    @property
    def rate(self) -> float:
        """Return the requests per second that this process can expect to send."""
        share = self.runners / max(self.completion_interval_s, 1e-3) / max(1.0, self.processes)
        return min(share, self.recent_rate)

    def is_full(self, held: int) -> bool:
        """Return whether one more request could not be sent within `HOLD_S`."""
        return held + 1 > self.rate * HOLD_S

    def retry_after_s(self, held: int) -> float:
        """Return the seconds after which a refused caller should retry."""
        return max(MIN_RETRY_S, RETRY_FACTOR * (held + 1) / max(self.rate, 1e-3))


def decide_request(
    *,
    is_on_time: bool,
    has_room: bool,
    has_slack: bool,
    wait_s: float,
    is_resubmitted: bool,
    held: int,
    limit: HeldLimit,
) -> Decision:
    """Return the action for a new request.

    Parameters
    ----------
    is_on_time : bool
        Whether it is expected to start within its objective if sent now.
    has_room : bool
        Whether a runner has more free slots than requests on time are likely to need.
    has_slack : bool
        Whether its answer would still end by its deadline after it was held.
    wait_s : float
        Expected wait on the best runner now.
    is_resubmitted : bool
        Whether its caller retries after a refusal, which it does only once.
    held : int
        Number of held requests.
    limit : HeldLimit
        Limit on held requests.
    """
    if is_on_time or (has_room and not held):
        return Decision.SEND
    if limit.rate <= 0:
        return Decision.REFUSE
    if not has_slack:
        return Decision.SEND if wait_s <= MAX_LONG_WAIT_S else Decision.REFUSE
    if limit.is_full(held) and not is_resubmitted:
        return Decision.REFUSE
    return Decision.HOLD


@define(kw_only=True)
class HeldRequest:
    """A request that waits for a free slot.

    Parameters
    ----------
    key : int
        Number of the request in this process.
    is_resubmitted : bool
        Whether its caller retries after a refusal.
    held_at, expires_at : float
        Start of the wait and time of the refusal, seconds.
    """

    key: int
    is_resubmitted: bool
    held_at: float
    expires_at: float


class HeldRequests:
    """Requests of one service that wait for a free slot.

    Resubmitted requests go first, then the oldest. While new requests do not start in time, only
    resubmitted ones are sent, as they would otherwise be lost.
    """

    def __init__(self) -> None:
        self._held: dict[int, HeldRequest] = {}
        self._sent: deque[float] = deque(maxlen=MAX_COUNTED)
        self._expired_at = -math.inf
        self._objective_missed_at = -math.inf

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, key: int, *, is_resubmitted: bool, now: float, deadline: float) -> HeldRequest:
        """Hold a request."""
        max_hold_s = HOLD_RESUBMITTED_S if is_resubmitted else HOLD_S
        held = HeldRequest(
            key=key,
            is_resubmitted=is_resubmitted,
            held_at=now,
            expires_at=min(now + max_hold_s, deadline - MIN_ANSWER_S),
        )
        self._held[key] = held
        return held

    def in_order(self) -> list[HeldRequest]:
        """Return the requests in sending order."""
        return sorted(self._held.values(), key=lambda held: (not held.is_resubmitted, held.held_at))

    def on_objective_missed(self, now: float) -> None:
        """Record a new request that could not be sent in time for its objective."""
        self._objective_missed_at = now

    def sendable(self, now: float) -> list[HeldRequest]:
        """Return the requests that may take a free slot now, in sending order."""
        is_new_first = now - self._objective_missed_at < NEW_REQUEST_PRIORITY_S
        return [held for held in self.in_order() if held.is_resubmitted or not is_new_first]

    def rate(self, now: float) -> float:
        """Return the held requests per second that are likely to get a slot.

        It is infinite while none expires, otherwise the rate at which they were recently sent.
        """
        if now - self._expired_at > RATE_WINDOW_S:
            return math.inf
        sent = sum(at > now - RATE_WINDOW_S for at in self._sent)
        return max(MIN_RATE, sent / RATE_WINDOW_S)

    def on_sent(self, now: float) -> None:
        """Count a held request that got a slot."""
        self._sent.append(now)

    def remove(self, key: int) -> None:
        """Remove a request that is sent, refused or whose caller disconnected."""
        self._held.pop(key, None)

    def expiring_before(self, earliest: float) -> list[HeldRequest]:
        """Return the requests that expire before the earliest time of a free slot."""
        return [held for held in self._held.values() if held.expires_at < earliest]

    def expired(self, now: float) -> list[HeldRequest]:
        """Return the requests that waited too long."""
        expired_requests = [held for held in self._held.values() if now >= held.expires_at]
        if expired_requests:
            self._expired_at = now
        return expired_requests
