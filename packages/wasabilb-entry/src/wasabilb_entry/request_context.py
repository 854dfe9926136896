"""State of one request that is forwarded, over all its attempts."""

import asyncio

from attrs import define, field
from wasabilb_core.attempts import AttemptEnd, AttemptHistory
from wasabilb_core.catalog import ClientAccount, Route
from wasabilb_core.forwarding_metadata import RequestMetadata
from wasabilb_node.clock import now

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.fleet_view import Placement
from wasabilb_entry.gone_callbacks import GoneCallbacks
from wasabilb_entry.relay import BufferedAnswer, Relay
from wasabilb_entry.runner_attempt import RunnerAttempt


@define(kw_only=True, eq=False)
class RequestContext:
    """State of one request in progress."""

    req: ReceivedRequest
    metadata: RequestMetadata
    route: Route
    service: str
    account: ClientAccount | None
    deadline: float
    relay: Relay
    gone: GoneCallbacks
    # What the request has that may crash runners; see `wasabilb_core.crash_subjects`.
    subjects: tuple[int, ...] = ()
    history: AttemptHistory = field(factory=AttemptHistory)
    tried: set[str] = field(factory=set)
    failed_answer: BufferedAnswer | None = None
    placement: Placement | None = None
    held_s: float = 0.0
    last_end: AttemptEnd | None = None
    # Attempts under way, two while one is to take over from the other.
    attempts: set[RunnerAttempt] = field(factory=set)
    # Whether a repeated send was charged to the budget and has not reached a runner yet.
    is_resend_paid: bool = False
    # The attempt that is to take over from the current one, or has done so.
    handover: "asyncio.Task[AttemptEnd] | None" = None
    # What a begun answer waits for, empty while it does not wait.
    waiting_for: str = ""

    @property
    def left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now()
