"""Observer of a local fleet that collects the record for the check of the promises."""

import asyncio
import contextlib
import time
from collections.abc import Iterable

import attrs
from returns.result import Success
from wasabilb_core.ticket_order import ticket_order
from wasabilb_core.timeline import Event, parse_event

from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.fleet import LocalFleet, LocalHost, status_order
from wasabilb_standins.promises import (
    EngineRun,
    Execution,
    FleetRecord,
    LeavingHost,
    Shutdown,
    Sighting,
)

POLL_S = 0.25


class Observer:
    """Observer that polls entry processes and reads stand-ins and logs for its record.

    Parameters
    ----------
    fleet : LocalFleet
        Started fleet.
    """

    def __init__(self, *, fleet: LocalFleet) -> None:
        self._fleet = fleet
        # Events have wall-clock times, records of callers monotonic ones.
        self._wall_offset_s = time.time() - time.monotonic()
        self._started = time.monotonic()
        self.sightings: list[Sighting] = []
        self.leaving_hosts: list[LeavingHost] = []
        self.shutdowns: list[Shutdown] = []
        self.published: dict[int, float] = {}
        self.interrupted_hosts: set[str] = set()

    def publish(self, number: int, text: str) -> None:
        """Publish a ticket and record the time under its order."""
        self.published[ticket_order(self._fleet.config_service.era, number)] = time.monotonic()
        self._fleet.publish(text)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)

    async def poll(self) -> None:
        """Record the current ticket state of each entry process that answers."""
        for host in self._fleet.entry_hosts:
            # The state is at least as new as the request, so that the order of sightings is right.
            requested_at = time.monotonic()
            status = await self._fleet.status(host)
            if status is not None:
                self.sightings.append(
                    Sighting(
                        process=f"{host.name}/{status['incarnation']}",
                        at=requested_at,
                        newest=status_order(status),
                        digest=status["state_digest"],
                    )
                )

    def events(self, host: LocalHost) -> list[Event]:
        """Return the events in a host's log since this observer was created."""
        return [event for event in self._read_log(host) if self.at(event) >= self._started]

    def _read_log(self, host: LocalHost) -> list[Event]:
        path = self._fleet.folder / f"{host.name}.log"
        found: list[Event] = []
        with contextlib.suppress(FileNotFoundError):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                event = parse_event(line) if " event=" in line else None
                if isinstance(event, Success):
                    found.append(event.unwrap())
        return found

    def at(self, event: Event) -> float:
        """Return the monotonic time of an event, rounded up to its resolution of 1 ms."""
        return (event.timestamp.wall_ms + 1) / 1000 - self._wall_offset_s

    def record(self, calls: Iterable[CallRecord]) -> FleetRecord:
        """Return the observations since this observer was created."""
        events_by_host = [(host, self.events(host)) for host in self._fleet.hosts.values()]
        accepted = [
            Sighting(
                process=f"{host.name}/{event.incarnation}",
                at=self.at(event),
                newest=ticket_order(int(event.number("era")), int(event.fields["ticket"])),
            )
            for host, events in events_by_host
            for event in events
            if event.name == "ticket_accepted"
        ]
        # Merging an older ticket removes nothing, so each of these has the highest number so far.
        # A status counts too, as it may be newer than a ticket that is logged after its request.
        highest: dict[str, int] = {}
        running_maxima = []
        for sighting in sorted([*accepted, *self.sightings], key=lambda s: s.at):
            highest[sighting.process] = max(highest.get(sighting.process, 0), sighting.newest)
            if not sighting.digest:
                running_maxima.append(attrs.evolve(sighting, newest=highest[sighting.process]))
        # The bound of 7 s does not apply while a process is stopped, killed or cut off.
        uninterrupted = {
            f"{host.name}/{log[-1].incarnation}"
            for host in self._fleet.hosts.values()
            if host.name not in self.interrupted_hosts and (log := self._read_log(host))
        }
        return FleetRecord(
            calls=tuple(calls),
            executions=tuple(self._executions()),
            engine_runs=tuple(self._engine_runs()),
            leaving_hosts=tuple(self.leaving_hosts),
            shutdowns=tuple(self.shutdowns),
            sightings=tuple([*self.sightings, *running_maxima]),
            published=dict(self.published),
            processes=tuple(sorted(uninterrupted)),
            until=time.monotonic(),
        )

    def _executions(self) -> Iterable[Execution]:
        for host in self._fleet.hosts.values():
            for call in host.service.calls if host.service else ():
                if call["method"] == "POST" and call["at"] >= self._started:
                    yield Execution(
                        host=host.name, key=call["key"], body_digest=call["body"], at=call["at"]
                    )

    def _engine_runs(self) -> Iterable[EngineRun]:
        for host in self._fleet.runners:
            for answer in host.engine.answers if host.engine else ():
                if answer.received >= self._started:
                    yield EngineRun(
                        host=host.name,
                        prompt=answer.prompt,
                        received=answer.received,
                        tokens=answer.position - answer.resume_from,
                    )
