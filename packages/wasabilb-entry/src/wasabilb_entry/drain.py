"""The planned stop of an entry process that forwards requests to runners."""

import asyncio

from attrs import define
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_entry.caller_connection import CallerServer
from wasabilb_entry.forwarder import Forwarder

# The balancer takes a process out of rotation after two failed checks, one per second, and opens
# connections to it until then.
BALANCER_REMOVAL_S = 2.6
# Interval at which a drain checks for unfinished requests.
DRAIN_CHECK_S = 0.05


@define(kw_only=True)
class Drain:
    """Ends the connections and requests of callers within a grace period.

    Parameters
    ----------
    callers : CallerServer
        Connections of callers.
    forwarder : Forwarder
        Requests in progress.
    log : EventLog
        Receives the start and the end.
    """

    callers: CallerServer
    forwarder: Forwarder
    log: EventLog

    async def run(self, grace_s: float) -> None:
        """Finish the requests in progress and those that the balancer still sends."""
        self.log.event("drain_started", in_flight=self.forwarder.in_progress)
        started_at = now()
        await asyncio.sleep(BALANCER_REMOVAL_S)
        self.callers.stop_accepting()
        self.callers.end_keep_alive()
        drain_deadline = started_at + grace_s * 0.95
        while now() < drain_deadline:
            self.callers.close_idle()
            if not self.forwarder.in_progress and not self.callers.connections:
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        self.log.event("drain_done", cut_off=self.forwarder.in_progress, after_s=now() - started_at)
