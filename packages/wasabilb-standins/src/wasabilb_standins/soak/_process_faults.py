"""Faults of processes by signals, which only processes started by this soak receive."""

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from wasabilb_standins.promises import Shutdown
from wasabilb_standins.soak._faults import TICKETS, Fault, fault

if TYPE_CHECKING:
    from wasabilb_standins.fleet import LocalHost
    from wasabilb_standins.soak._testbed import Testbed


# Time between the two signals, shorter than any drain.
SECOND_SIGNAL_DELAY_S = 0.5


@fault("kill")
class Kill(Fault):
    """SIGKILL, and a restart some time later."""

    weight = 3.0

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Kill the process."""
        testbed.fleet.signal(host, signal.SIGKILL)
        await testbed.fleet.wait_ended(host)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Restart the process and wait until it serves."""
        await testbed.ensure_running(host)


@fault("kill-and-restart")
class KillAndRestart(Kill):
    """SIGKILL and an immediate restart, before others detect that the process has ended."""

    duration_range_s = (0.0, 0.01)


@fault("terminate-twice")
class TerminateTwice(Kill):
    """Two SIGTERM, the second of which ends the drain and cuts off open requests."""

    weight = 1.0

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Start a drain and abort it."""
        testbed.fleet.signal(host, signal.SIGTERM)
        await asyncio.sleep(SECOND_SIGNAL_DELAY_S)
        testbed.fleet.signal(host, signal.SIGTERM)
        await testbed.fleet.wait_ended(host)


@fault("pause")
class Pause(Fault):
    """SIGSTOP, then SIGCONT: the process resumes late, with expired timers."""

    weight = 3.0
    duration_range_s = (0.3, 6.0)
    # Peers close links as silent after 3.2 s and then need to reconnect.
    after_s = 4.0

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Stop the process."""
        testbed.fleet.signal(host, signal.SIGSTOP)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Resume the process."""
        testbed.fleet.signal(host, signal.SIGCONT)


@fault("terminate")
class Terminate(Fault):
    """SIGTERM, the complete graceful shutdown under load, and a restart."""

    weight = 4.0
    duration_range_s = (0.0, 1.0)
    # No answer may break, but the next process has to read the tickets first.
    excuses = frozenset({TICKETS})

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Send SIGTERM and wait until the process has ended."""
        signalled_at = time.monotonic()
        process = host.process
        # A second signal ends a process at once, see `terminate-twice`.
        if process is None or process.poll() is not None or process.pid in testbed.draining_pids:
            return
        testbed.draining_pids.add(process.pid)
        testbed.fleet.signal(host, signal.SIGTERM)
        testbed.record_leaving(host, signalled_at, cause="signal")
        await testbed.fleet.wait_ended(host)
        events = [e for e in testbed.observer.events(host) if e.process == str(process.pid)]
        cut_off = [int(e.number("cut_off")) for e in events if e.name == "drain_done"]
        # A process that receives the signal before its first log line is not listening yet.
        was_serving = any(event.name == "process_started" for event in events)
        ended = time.monotonic()
        testbed.record_return(host, ended, cause="signal")
        # Without `drain_done` the process did not complete its drain.
        testbed.shutdowns.append(
            Shutdown(
                host=host.name,
                entry=host.callers,
                at=signalled_at,
                ended=ended,
                cut_off=cut_off[-1] if cut_off else int(was_serving),
            )
        )

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Restart the process."""
        await testbed.ensure_running(host)
