"""Fleet under test with its traffic, and the record of what was done to it."""

import asyncio
import time
from pathlib import Path
from typing import Any

from wasabilb_core.ticket_order import ticket_order

from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.config_service import Publication
from wasabilb_standins.fleet import FleetShape, LocalFleet, LocalHost
from wasabilb_standins.observer import Observer
from wasabilb_standins.promises import Shutdown
from wasabilb_standins.soak._checks import DEADLINE_S, Evidence
from wasabilb_standins.soak._history import InjectedFault, LeavingPeriod, RunningProcess
from wasabilb_standins.soak._keep_alive_callers import KeepAliveCallers

MODEL = "draft"
RATE_PER_S = 12.0
MIX = {"short": 4.0, "long": 1.0, "chat": 1.0, "booking": 2.0, "issued": 2.0, "get": 1.0}
REPEAT_SHARE = 0.2
START_TIMEOUT_S = 30.0
POLL_S = 0.2
PROBE_INTERVAL_S = 0.5


def new_shape(entries: int, runners: int) -> FleetShape:
    """Return a fleet in three failure domains with a relay before each host."""
    services = {"bookings": 2, "portal": 1}
    names = [f"entry-{n + 1}" for n in range(entries)]
    names += [f"runner-{n + 1}" for n in range(runners)]
    names += [f"{name}-{n + 1}" for name, count in services.items() for n in range(count)]
    return FleetShape(
        entry_hosts=entries,
        runners=runners,
        services=services,
        engine={"models": f"{MODEL}@v1", "token_s": 0.008, "load_s": 0.1, "report_lag_s": 0.05},
        service={"work_s": 0.1},
        store={"size": 1 << 19, "chunk_size": 1 << 14},
        relayed=tuple(names),
    )


class Testbed:
    """Fleet under test with its traffic and the record of its faults.

    Parameters
    ----------
    folder : Path
        Directory for settings and logs.
    seed : int
        Seed of the traffic.
    entries, runners : int
        Numbers of processes; three more run plain services.
    """

    def __init__(self, *, folder: Path, seed: int, entries: int = 3, runners: int = 4) -> None:
        self.fleet = LocalFleet(shape=new_shape(entries, runners), folder=folder)
        self.observer = Observer(fleet=self.fleet)
        self.callers = self._new_callers("salon-1", seed)
        # The prober sends calls to every entry host with a key that tickets withdraw.
        self.probed_account = "salon-3"
        self.prober = self._new_callers(self.probed_account, seed)
        self.injected_faults: list[InjectedFault] = []
        self.leaving: list[LeavingPeriod] = []
        self.shutdowns: list[Shutdown] = []
        # Process ids that received SIGTERM.
        self.draining_pids: set[int] = set()
        # Publication time, and whether the key of the probed account is valid from then on.
        self.key_changes: list[tuple[float, bool]] = []
        self.probe_tasks: set[asyncio.Future[CallRecord]] = set()
        self.flood_tasks: dict[tuple[str, str], list[asyncio.Future[None]]] = {}
        self.ticket_number = 0
        self.ticket_order = 0
        self.versions = ["v1"]

    def _new_callers(self, account: str, seed: int) -> KeepAliveCallers:
        return KeepAliveCallers(
            entries=[host.callers for host in self.fleet.entry_hosts],
            account_key=self.fleet.account_keys[account],
            rate_per_s=RATE_PER_S,
            mix=MIX,
            model=MODEL,
            deadline_ms=int(DEADLINE_S * 1000),
            booking_repeats=2,
            repeat_share=REPEAT_SHARE,
            long_tokens=(150, 400),
            seed=seed,
        )

    async def start(self) -> None:
        """Start all processes and wait until they serve."""
        await self.fleet.start()
        self.publish(self.fleet.ticket(self._next_ticket_number(), version=self.versions[-1]))
        await self.settle(START_TIMEOUT_S)
        # Owners execute callers' own keys only when no earlier owner can have executed them.
        async with asyncio.timeout(START_TIMEOUT_S):
            while (await self.callers.call("booking")).outcome != "ran":
                await asyncio.sleep(POLL_S)

    async def probe_keys(self) -> None:
        """Send calls with the probed account's key to each entry host until cancelled."""
        while True:
            for host in self.fleet.entry_hosts:
                probe_task = asyncio.ensure_future(self.prober.call("get", entry=host.callers))
                self.probe_tasks.add(probe_task)
                probe_task.add_done_callback(self.probe_tasks.discard)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all tasks, processes and stand-ins."""
        for probe_task in self.probe_tasks:
            probe_task.cancel()
        for flood_task in [task for flood in self.flood_tasks.values() for task in flood]:
            flood_task.cancel()
        self.callers.close()
        self.prober.close()
        await self.fleet.stop()

    async def settle(self, limit_s: float) -> None:
        """Wait until the newest ticket is applied everywhere, at most `limit_s` in total."""
        async with asyncio.timeout(limit_s):
            await self.fleet.wait_in_force(self.ticket_order)
            await self.fleet.wait_version(self.versions[-1])
            await self.fleet.wait_services()

    def publish(self, text: str) -> None:
        """Publish the ticket of the newest number."""
        self._publish(self.ticket_number, text)

    async def republish(self, lost: list[Publication], delays_s: list[float]) -> None:
        """Publish lost tickets again, with the given delays after the return of the service."""
        returned_at = time.monotonic()
        for publication, delay_s in zip(lost, delays_s, strict=True):
            await asyncio.sleep(max(0.0, returned_at + delay_s - time.monotonic()))
            self._publish(publication.number, publication.text)

    def _publish(self, number: int, text: str) -> None:
        order = ticket_order(self.fleet.config_service.era, number)
        self.ticket_order = max(self.ticket_order, order)
        self.observer.publish(number, text)

    def publish_rollout(self) -> None:
        """Publish a ticket with a new version of the model."""
        ticket_number = self._next_ticket_number()
        before, version = self.versions[-1], f"v{ticket_number}"
        self.versions.append(version)
        self.publish(self.fleet.model_ticket(ticket_number, version=version, while_loading=before))

    def publish_tables(self, **changes: Any) -> None:
        """Publish a ticket that contains only the given tables."""
        empty: dict[str, Any] = {"models": [], "services": [], "hosts": [], "accounts": []}
        ticket_number = self._next_ticket_number()
        text = self.fleet.ticket(ticket_number, version=self.versions[-1], **{**empty, **changes})
        self.publish(text)

    def record_leaving(self, host: LocalHost, at: float, *, cause: str) -> None:
        """Record that a backend server begins to leave."""
        if host.role != "entry":
            self.leaving.append(LeavingPeriod(host=host.name, begin=at, cause=cause))

    def record_return(self, host: LocalHost, at: float, *, cause: str) -> None:
        """Record that a backend server has stopped leaving."""
        for period in self.leaving:
            if (period.host, period.cause) == (host.name, cause):
                period.end = min(period.end, at)

    async def ensure_running(self, host: LocalHost) -> None:
        """Start a host's process unless it is running, and wait until it is ready or linked."""
        if host.process is not None and host.process.poll() is not None:
            self.fleet.start_process(host)
        ready = "process_ready" if host.role == "entry" else "link_up"
        limit = time.monotonic() + START_TIMEOUT_S
        while (process := host.process) and process.poll() is None and time.monotonic() < limit:
            events = self.observer.events(host)
            if any(e.process == str(process.pid) and e.name == ready for e in events):
                return
            await asyncio.sleep(POLL_S)

    def evidence(self) -> Evidence:
        """Return all observations and faults so far."""
        running = {}
        for host in self.fleet.hosts.values():
            pid = str(host.process.pid) if host.process and host.process.poll() is None else ""
            events = [event for event in self.observer.events(host) if event.process == pid]
            if events:
                running[host.name] = RunningProcess(
                    process=f"{host.name}/{events[-1].incarnation}",
                    since=self.observer.at(events[0]),
                )
        return Evidence(
            record=self.observer.record(self.callers.records),
            entries={host.name: host.callers for host in self.fleet.entry_hosts},
            backends=tuple(h.name for h in self.fleet.hosts.values() if h.role != "entry"),
            running=running,
            injected_faults=self.injected_faults,
            leaving=self.leaving,
            shutdowns=self.shutdowns,
            key_changes=self.key_changes,
            probes=self.prober.records,
        )

    def _next_ticket_number(self) -> int:
        self.ticket_number += 1
        return self.ticket_number
