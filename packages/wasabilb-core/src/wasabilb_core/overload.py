"""Which model requests are sent, held back or refused while runners are full.

Answers the load of a few seconds in which more requests arrive than the runners can begin in time:
a roll-out, a lost failure domain, a burst. A request that is begun late is worth a fraction of one
that is begun in time, and takes as much of a runner. Sending everything in order of arrival lets
the runners' queues grow until every request is late. So a request is sent only while it is
expected to begin in time. The others are held for a free place, which serves them late without
delaying anybody, and refused at once when there are too many of them.
"""

import math
from collections import deque
from enum import Enum, unique

from attrs import define, frozen

# The expected wait leaves out what other entry processes have sent since the last report.
WAIT_FACTOR = 1.6
# Steps of the engine until the first token is with the caller: what is left of the pass under way,
# the pass in which the prompt is read, of 5 steps each, and the delay to the runner and back.
FIRST_STEPS = 11
# Prompts that join the batch before this one share the engine with it.
PROMPT_FACTOR = 1.3
# Longest time for which a request is held; those that come back after a refusal are lost for good
# when they are refused again, and are held longer, seconds.
HOLD_S = 1.2
HOLD_RETURNED_S = 2.2
# A long answer cannot be held; it is sent although it begins late while the wait is below this.
LONG_WAIT_S = 0.3
# Places that a runner must have free for a held request, so that requests that can still begin in
# time find room.
SPARE_PLACES = 2
# After a new request that could not begin in time, places are left to new ones for this time,
# seconds: they begin in time there, and a held request is late already. A new request arrives at
# an entry process each 0.1 to 0.2 s.
NEW_FIRST_S = 0.8
# Time that is left for the answer itself when a held request is given up, seconds.
ANSWER_S = 0.8
# Held requests that were sent are counted over this time; one a second is held in any case, so that
# the count can rise again.
RATE_WINDOW_S = 2.0
MIN_RATE = 1.0
MOST_COUNTED = 256
# Pause for callers who come back, as a part of the time in which held requests are served.
RETURN_FACTOR = 1.0
MIN_RETURN_S = 0.3


@unique
class Decision(Enum):
    """What is done with a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


def begins_on_time(*, wait_s: float, own_s: float, step_s: float, left_s: float) -> bool:
    """Return whether an answer is expected to begin within its latency objective.

    Parameters
    ----------
    wait_s : float
        Expected wait for a place in a batch.
    own_s : float
        Time to read the request's own prompt.
    step_s : float
        Time of one step of the engine.
    left_s : float
        What is left of the objective.
    """
    return WAIT_FACTOR * wait_s + PROMPT_FACTOR * own_s + FIRST_STEPS * step_s <= left_s


@frozen(kw_only=True)
class HeldLimit:
    """How many requests one process holds.

    Parameters
    ----------
    runners : int
        Runners that answer now.
    completion_interval_s : float
        Mean time after which a full runner ends a request.
    processes : float
        Entry processes that share the runners, one that also uses others as a part.
    lately : float
        Held requests a second that found a place, while others did not.
    """

    runners: int
    completion_interval_s: float
    processes: float
    lately: float = math.inf

    @property
    def rate(self) -> float:
        """Return the requests a second that this process can expect to send."""
        share = self.runners / max(self.completion_interval_s, 1e-3) / max(1.0, self.processes)
        return min(share, self.lately)

    def is_full(self, held: int) -> bool:
        """Return whether one more request could not be sent within `HOLD_S`."""
        return held + 1 > self.rate * HOLD_S

    def return_after_s(self, held: int) -> float:
        """Return when a refused caller should come back."""
        return max(MIN_RETURN_S, RETURN_FACTOR * (held + 1) / max(self.rate, 1e-3))


def decide(
    *,
    is_on_time: bool,
    has_room: bool,
    has_slack: bool,
    wait_s: float,
    is_returned: bool,
    held: int,
    limit: HeldLimit,
) -> Decision:
    """Return what is done with a new request.

    Parameters
    ----------
    is_on_time : bool
        Whether it is expected to begin within its objective when it is sent now.
    has_room : bool
        Whether a runner has more free places than requests on time are likely to need.
    has_slack : bool
        Whether its answer would still end by its deadline after it was held.
    wait_s : float
        Expected wait at the best runner now.
    is_returned : bool
        Whether its caller came back after a refusal, and will not do so again.
    held : int
        Requests that are held already.
    limit : HeldLimit
        How many may be held.
    """
    if is_on_time or (has_room and not held):
        return Decision.SEND
    if limit.rate <= 0:
        return Decision.REFUSE
    if not has_slack:
        return Decision.SEND if wait_s <= LONG_WAIT_S else Decision.REFUSE
    if limit.is_full(held) and not is_returned:
        return Decision.REFUSE
    return Decision.HOLD


@define(kw_only=True)
class Held:
    """One request that waits for a free place.

    Parameters
    ----------
    key : int
        Number of the request in this process.
    is_returned : bool
        Whether its caller came back after a refusal.
    held_at, give_up_at : float
        When it was held and when it is refused, seconds.
    """

    key: int
    is_returned: bool
    held_at: float
    give_up_at: float


class HeldRequests:
    """The requests of one service that wait for a free place.

    Those that came back after a refusal go first, then the oldest. While new requests do not begin
    in time, only those that came back are sent, as they would be lost.
    """

    def __init__(self) -> None:
        self._held: dict[int, Held] = {}
        self._sent: deque[float] = deque(maxlen=MOST_COUNTED)
        self._expired_at = -math.inf
        self._missed_at = -math.inf

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, key: int, *, is_returned: bool, now: float, deadline: float) -> Held:
        """Hold a request."""
        longest = HOLD_RETURNED_S if is_returned else HOLD_S
        held = Held(
            key=key,
            is_returned=is_returned,
            held_at=now,
            give_up_at=min(now + longest, deadline - ANSWER_S),
        )
        self._held[key] = held
        return held

    def in_order(self) -> list[Held]:
        """Return the requests in the order in which they are to be sent."""
        return sorted(self._held.values(), key=lambda held: (not held.is_returned, held.held_at))

    def on_missed(self, now: float) -> None:
        """Note a new request that could not be sent in time for its objective."""
        self._missed_at = now

    def sendable(self, now: float) -> list[Held]:
        """Return the requests that may take a free place now, in order."""
        is_new_first = now - self._missed_at < NEW_FIRST_S
        return [held for held in self.in_order() if held.is_returned or not is_new_first]

    def rate(self, now: float) -> float:
        """Return the held requests a second that are likely to find a place.

        Without a bound while none gives up, then as many as lately were sent.
        """
        if now - self._expired_at > RATE_WINDOW_S:
            return math.inf
        sent = sum(at > now - RATE_WINDOW_S for at in self._sent)
        return max(MIN_RATE, sent / RATE_WINDOW_S)

    def on_sent(self, now: float) -> None:
        """Count a held request that found a place."""
        self._sent.append(now)

    def remove(self, key: int) -> None:
        """Forget a request that is sent, refused or whose caller has left."""
        self._held.pop(key, None)

    def hopeless(self, earliest: float) -> list[Held]:
        """Return the requests that are given up before the earliest time of a free place."""
        return [held for held in self._held.values() if held.give_up_at < earliest]

    def expired(self, now: float) -> list[Held]:
        """Return the requests that have waited too long."""
        late = [held for held in self._held.values() if now >= held.give_up_at]
        if late:
            self._expired_at = now
        return late
