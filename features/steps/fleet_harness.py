"""Harness with one fleet of real processes that several scenarios share."""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

from attrs import evolve
from wasabilb_standins.callers import Callers
from wasabilb_standins.fleet import FleetShape, LocalFleet
from wasabilb_standins.observer import Observer
from wasabilb_standins.promises import LeavingHost, Shutdown, violations

SHAPE = FleetShape(
    entry_hosts=3,
    runners=4,
    services={"bookings": 2, "portal": 1},
    engine={"models": "draft@v0", "token_s": 0.01, "load_s": 0.1, "report_lag_s": 0.05},
    service={"work_s": 0.3},
    store={"size": 1 << 18, "chunk_size": 1 << 14},
    agent_settings={"timeouts": {"progress_s": 1.0}},
    entry_settings={"timeouts": {"progress_s": 1.0}},
    relayed=("runner-1", "runner-2", "runner-3", "runner-4"),
)
# The engine of this runner accepts orders without a check of their fencing numbers.
UNFENCED_RUNNER = "runner-3"
DEADLINE_MS = 15_000


class FleetHarness:
    """The shared fleet, and the calls and observations of the current scenario."""

    def __init__(self):
        self._loop_runner = asyncio.Runner()
        self.loop = self._loop_runner.get_loop()
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = LocalFleet(shape=SHAPE, folder=Path(self._folder.name))
        engine = self.fleet.hosts[UNFENCED_RUNNER].engine
        engine.settings = evolve(engine.settings, fencing=False)
        self.number = 0
        self.versions = ["v0"]
        # Processes that were told to end since the fleet was put in order.
        self.ending = []
        self.sent = []

    def run(self, awaitable, timeout_s=120.0):
        """Run in the event loop in which the stand-ins keep running between steps."""
        return self.loop.run_until_complete(asyncio.wait_for(awaitable, timeout_s))

    def close(self):
        """Stop the fleet and remove its files."""
        self.loop.run_until_complete(self.fleet.stop())
        self._loop_runner.close()
        self._folder.cleanup()

    async def reset(self):
        """Restore the whole fleet and discard the state of earlier scenarios."""
        fleet = self.fleet
        if self.number == 0:
            await fleet.start()
        for standin in (fleet.config_service, fleet.store):
            standin.clear_faults()
        fleet.store.pacer.bytes_per_s = 0.0
        for host in fleet.hosts.values():
            for standin in filter(None, (host.engine, host.service)):
                standin.clear_faults()
            fleet.signal(host, signal.SIGCONT)
        # A process that was told to end may still run now and end during the next scenario.
        ending, self.ending = self.ending, []
        await self.until(
            lambda: all(process.poll() is not None for process in ending), "processes end"
        )
        for host in fleet.hosts.values():
            if host.process.poll() is not None:
                fleet.start_process(host)
        self.observer = Observer(fleet=fleet)
        self.publish(self.versions[-1])
        await self.settle()
        self.observer = Observer(fleet=fleet)
        entries = [host.callers for host in fleet.entry_hosts]
        key = next(iter(fleet.account_keys.values()))
        self.callers = Callers(
            entries=entries,
            account_key=key,
            deadline_ms=DEADLINE_MS,
            booking_repeats=2,
            # Longer than the 3 s in which a leaving process may still receive calls.
            long_tokens=(450, 450),
            seed=self.number,
        )
        self.sent = []

    async def settle(self):
        """Wait until the newest ticket is applied on all hosts."""
        await self.fleet.wait_in_force(self.number)
        await self.fleet.wait_version(self.versions[-1])
        await self.fleet.wait_services()

    def publish(self, version="", **changes):
        """Publish the next ticket, with a new version unless one is given."""
        self.number += 1
        if not version:
            version = f"v{self.number}"
        before = self.versions[-1] if self.versions[-1] != version else ""
        self.versions.append(version)
        text = self.fleet.ticket(self.number, version=version, while_loading=before, **changes)
        self.observer.publish(self.number, text)
        return text

    def send(self, kind, count=1, *, entry=None):
        """Start calls in the background, spread over the entry hosts unless one is given."""
        hosts = [entry] if entry else self.fleet.entry_hosts
        for turn in range(count):
            address = hosts[turn % len(hosts)].callers
            work = self.callers.call(kind, entry=address)
            self.sent.append(self.loop.create_task(work))

    async def answers(self):
        """Wait for all calls in the background and return their records."""
        records = await asyncio.gather(*self.sent)
        self.sent = []
        return records

    async def until(self, is_reached, what, timeout_s=30.0):
        """Wait until a condition holds; the limit only ends a scenario that hangs."""
        limit = time.monotonic() + timeout_s
        while not is_reached():
            assert time.monotonic() < limit, f"not within {timeout_s} s: {what}"
            await asyncio.sleep(0.01)

    def running(self, host):
        """Return the running answers of a host's engine."""
        return [a for a in host.engine.answers if a.state == "running" and a.position > 10]

    async def busiest_runner(self):
        """Wait until all streams run and return the runner with the most of them."""
        runners, wanted = self.fleet.runners, len(self.sent)
        await self.until(
            lambda: sum(len(self.running(host)) for host in runners) >= wanted, "all streams run"
        )
        return max(runners, key=lambda host: len(self.running(host)))

    def resumed_prompts(self, host, prompts):
        """Return the prompts of a runner that another runner resumed after a first part."""
        others = [other for other in self.fleet.runners if other is not host]
        resumed = {a.prompt for h in others for a in h.engine.answers if a.resume_from > 0}
        return resumed & prompts

    def interrupt(self, host, number):
        """Send a signal to a process and exempt it from the bounds."""
        self.observer.interrupted_hosts.add(host.name)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ending.append(host.process)
        self.fleet.signal(host, number)

    async def shut_down(self, host):
        """Shut a process down gracefully, record the shutdown and return the exit status."""
        at = time.monotonic()
        self.interrupt(host, signal.SIGTERM)
        status = await self.fleet.wait_ended(host)
        events = self.events(host, "drain_done")
        self.observer.shutdowns.append(
            Shutdown(
                host=host.name,
                entry=host.callers,
                at=at,
                ended=time.monotonic(),
                cut_off=int(events[-1].number("cut_off")) if events else 1,
            )
        )
        return status

    def to_leaving(self, host):
        """Return a record that a host leaves from now on."""
        return LeavingHost(host=host.name, at=time.monotonic())

    def events(self, host, name):
        """Return a host's events of one name in this scenario."""
        return [event for event in self.observer.events(host) if event.name == name]

    def violations(self):
        """Return the broken promises in the record of this scenario."""
        self.run(self.observer.poll())
        return violations(self.observer.record(self.callers.records))


def check_whole(records):
    """Check that all answers are complete, correct and in time."""
    for rec in records:
        assert rec.verdict == "whole" and rec.is_match, rec
        assert rec.end - rec.start < DEADLINE_MS / 1000, rec


async def connect(address):
    """Open a connection to `IP:PORT`."""
    ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(ip, int(port))
