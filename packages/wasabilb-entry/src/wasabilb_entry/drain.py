"""The planned stop of an entry process that forwards requests to runners."""

import asyncio

from attrs import define
from wasabilb_core.drain_schedule import DrainSchedule
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

from wasabilb_entry.caller_connection import CallerServer
from wasabilb_entry.forwarder import Forwarder

# The balancer takes a process out of rotation after two failed checks, one per second, and opens
# connections to it until then.
BALANCER_REMOVAL_S = 2.6
# Interval at which a drain checks for unfinished requests.
DRAIN_CHECK_S = 0.05
# Time for the final answers when a second signal ends the drain, seconds.
FORCED_END_S = 0.1


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
        """Finish the requests in progress and those that the balancer still sends.

        Requests that cannot end in time get a final answer shortly before the end, also when the
        drain is cancelled.
        """
        schedule = DrainSchedule(started_at=now(), grace_s=grace_s, removal_s=BALANCER_REMOVAL_S)
        self.log.event("drain_started", in_flight=self.forwarder.in_progress)
        self.forwarder.on_drain(schedule)
        ends_at = schedule.ends_at
        try:
            await asyncio.sleep(schedule.leaves_at - now())
            self.callers.stop_accepting()
            self.callers.end_keep_alive()
            await self._wait_until(schedule.answer_by)
        except asyncio.CancelledError:
            ends_at = min(ends_at, now() + FORCED_END_S)
            raise
        finally:
            cut_off = self.forwarder.in_progress
            self.callers.end_keep_alive()
            self.forwarder.end_requests()
            await self._wait_until(ends_at)
            self.log.event("drain_done", cut_off=cut_off, after_s=now() - schedule.started_at)

    async def _wait_until(self, moment: float) -> None:
        """Wait until no connection is left, at most until the given time."""
        while now() < moment:
            self.callers.close_idle()
            if not self.forwarder.in_progress and not self.callers.connections:
                return
            await asyncio.sleep(min(DRAIN_CHECK_S, max(0.0, moment - now())))
