"""Checks of the promises that allow for the faults that are active at the time.

Mixed answers, duplicate executions and false "not run" outcomes are never excused. An answer may
break only during a fault of its entry host or, with an error event, of a backend server. A time
bound restarts at the end of a fault that excuses it.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import attrs
from attrs import define, field

from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.promises import (
    LEAVE_BOUND_S,
    TICKET_BOUND_S,
    FleetRecord,
    LeavingHost,
    Shutdown,
    Violation,
    violations,
)
from wasabilb_standins.soak._faults import CALLS, HOST_LISTS, TICKETS
from wasabilb_standins.soak._history import InjectedFault, LeavingPeriod, RunningProcess
from wasabilb_standins.soak._keep_alive_callers import NOT_CONNECTED

DEADLINE_S = 15.0
# Time to send and read an answer at the deadline on a busy machine.
ANSWER_SLACK_S = 1.0
UNAUTHORIZED = 401
# A new process accepts no work before it has the newest ticket, so it accepts no withdrawn key.
RESTARTS = frozenset({"kill", "kill-and-restart", "terminate", "terminate-twice"})


@define(kw_only=True, eq=False)
class Evidence:
    """Input of the checks.

    Parameters
    ----------
    record : FleetRecord
        Observations of the fleet.
    entries : dict of str to str
        Addresses for callers by name of the entry host.
    backends : tuple of str
        Names of the backend servers.
    running : dict of str to RunningProcess
        Process of each host at the end of the run.
    injected_faults, leaving
        Injected faults, and times during which backend servers were leaving.
    shutdowns : list of Shutdown
        Graceful shutdowns.
    key_changes : list of tuple
        Publication time, and whether the probed key is valid from then on.
    probes : list of CallRecord
        Calls with the probed key.
    checked : Counter
        Number of checked cases by promise, updated by the checks.
    """

    record: FleetRecord
    entries: dict[str, str]
    backends: tuple[str, ...] = ()
    running: dict[str, RunningProcess] = field(factory=dict)
    injected_faults: list[InjectedFault] = field(factory=list)
    leaving: list[LeavingPeriod] = field(factory=list)
    shutdowns: list[Shutdown] = field(factory=list)
    key_changes: list[tuple[float, bool]] = field(factory=list)
    probes: list[CallRecord] = field(factory=list)
    checked: Counter[int] = field(factory=Counter)

    def entry_name(self, rec: CallRecord) -> str:
        """Return the name of the entry host of a call."""
        return next(name for name, address in self.entries.items() if address == rec.entry)

    def faults_during(
        self, begin: float, end: float, *, hosts: Iterable[str], excuses: str = ""
    ) -> list[InjectedFault]:
        """Return the faults of these hosts in an interval, if given only those with an excuse."""
        names = set(hosts)
        return [
            fault
            for fault in self.injected_faults
            if fault.host in names
            and fault.overlaps(begin, end)
            and (not excuses or excuses in fault.excuses)
        ]

    def is_cut_by_shutdown(self, rec: CallRecord, entry: str) -> bool:
        """Return whether a shutdown of its entry host broke a call or prevented its connection."""
        if rec.problem.startswith(NOT_CONNECTED):
            # The fault ends when the next process is ready.
            faults = self.faults_during(rec.start, rec.end, hosts=[entry])
            return any(fault.kind == "terminate" for fault in faults)
        # Calls that break in a shutdown are checked under promise 6.
        return any(
            shutdown.host == entry and rec.start <= shutdown.ended and rec.end >= shutdown.at
            for shutdown in self.shutdowns
        )

    def bound_start(
        self,
        at: float,
        host: str,
        bound_s: float,
        *,
        excuse: str = TICKETS,
        ignored: frozenset[str] = frozenset(),
    ) -> float:
        """Return the start of a time bound, delayed by faults of a host or of the platform.

        Only faults with the excuse delay it, and none of the kinds in `ignored`.
        """
        faults = [f for f in self.injected_faults if excuse in f.excuses and f.kind not in ignored]
        for fault in sorted(faults, key=lambda fault: fault.begin):
            if fault.host in ("", host) and fault.overlaps(at, at + bound_s):
                at = max(at, fault.end + fault.after_s)
        return at


Check = Callable[[Evidence], Iterator[Violation]]
CHECKS: list[Check] = []


def register_check(function: Check) -> Check:
    """Register a check that every run makes."""
    CHECKS.append(function)
    return function


def soak_violations(evidence: Evidence) -> list[Violation]:
    """Return all broken promises in the evidence, ordered by number."""
    # Two checks may find the same violation.
    found = dict.fromkeys(violation for each in CHECKS for violation in each(evidence))
    return sorted(found, key=lambda violation: violation.promise)


@register_check
def check_unexcused(evidence: Evidence) -> Iterator[Violation]:
    """Check contents, "not run" outcomes and single execution of every call."""
    rec = evidence.record
    evidence.checked[1] += sum(bool(call.version) for call in rec.calls)
    evidence.checked[2] += len(rec.calls)
    evidence.checked[3] += sum(call.outcome == "not-run" for call in rec.calls)
    evidence.checked[4] += len(rec.executions)
    yield from violations(
        FleetRecord(calls=rec.calls, executions=rec.executions, engine_runs=rec.engine_runs)
    )


@register_check
def check_answers(evidence: Evidence) -> Iterator[Violation]:
    """Check that no answer breaks without a fault, or without an error event."""
    for rec in evidence.record.calls:
        entry, name = evidence.entry_name(rec), f"{rec.kind} {rec.number} through {rec.entry}"
        if evidence.faults_during(rec.start, rec.end, hosts=[entry], excuses=CALLS):
            continue
        if rec.end - rec.start > DEADLINE_S + ANSWER_SLACK_S:
            detail = f"{name} had its final answer {rec.end - rec.start:.1f} s after its start"
            yield Violation(promise=2, detail=detail)
        if rec.verdict != "broken" or evidence.is_cut_by_shutdown(rec, entry):
            continue
        if not rec.error_event:
            yield Violation(promise=2, detail=f"{name} was cut off: {rec.problem}")
        elif not evidence.faults_during(
            rec.start, rec.end, hosts=["", *evidence.backends], excuses=CALLS
        ):
            detail = f"{name} broke without a fault: {rec.error_event[:200]}"
            yield Violation(promise=2, detail=detail)


@register_check
def check_late_work(evidence: Evidence) -> Iterator[Violation]:
    """Check that a leaving backend server gets no work after the bound."""
    for period in evidence.leaving:
        at = period.begin
        # An agent that received a signal needs no ticket to leave.
        if period.cause == "ticket":
            at = evidence.bound_start(at, period.host, LEAVE_BOUND_S)
        elif period.cause == "host list":
            at = evidence.bound_start(at, period.host, LEAVE_BOUND_S, excuse=HOST_LISTS)
        evidence.checked[5] += 1
        yield from violations(
            FleetRecord(
                leaving_hosts=(LeavingHost(host=period.host, at=at),),
                executions=tuple(r for r in evidence.record.executions if r.at < period.end),
                engine_runs=tuple(
                    r for r in evidence.record.engine_runs if r.received < period.end
                ),
            )
        )


@register_check
def check_shutdowns(evidence: Evidence) -> Iterator[Violation]:
    """Check in logs and callers' records that no graceful shutdown cuts a request off."""
    backends = ["", *evidence.backends]
    for shutdown in evidence.shutdowns:
        evidence.checked[6] += 1
        has_fault = evidence.faults_during(
            shutdown.at, shutdown.ended, hosts=[shutdown.host], excuses=CALLS
        )
        calls = [
            rec
            for rec in evidence.record.calls
            if rec.verdict == "broken"
            and not rec.problem.startswith(NOT_CONNECTED)
            and not evidence.faults_during(
                rec.start, rec.end, hosts=[evidence.entry_name(rec), *backends], excuses=CALLS
            )
        ]
        adjusted = attrs.evolve(shutdown, cut_off=0) if has_fault else shutdown
        yield from violations(FleetRecord(calls=tuple(calls), shutdowns=(adjusted,)))


@register_check
def check_tickets(evidence: Evidence) -> Iterator[Violation]:
    """Check that all processes hold each ticket in time, never revert, and agree at the end."""
    rec = evidence.record
    yield from violations(FleetRecord(sightings=rec.sightings))
    for host, running in evidence.running.items():
        evidence.checked[7] += len(rec.published)
        yield from violations(
            FleetRecord(
                sightings=tuple(
                    attrs.evolve(s, digest="")
                    for s in rec.sightings
                    if s.process == running.process
                ),
                published={
                    number: evidence.bound_start(max(at, running.since), host, TICKET_BOUND_S)
                    for number, at in rec.published.items()
                },
                processes=(running.process,),
                until=rec.until,
            )
        )


@register_check
def check_keys(evidence: Evidence) -> Iterator[Violation]:
    """Check that a withdrawn key is refused in time, also after restarts, and then works again."""
    for index, (at, is_valid) in enumerate(evidence.key_changes):
        end = ([at for at, _ in evidence.key_changes[index + 1 :]] or [float("inf")])[0]
        for rec in evidence.probes:
            entry = evidence.entry_name(rec)
            ignored = frozenset() if is_valid else RESTARTS
            limit = (
                evidence.bound_start(at, entry, TICKET_BOUND_S, ignored=ignored) + TICKET_BOUND_S
            )
            if not limit < rec.start < rec.end < end:
                continue
            evidence.checked[7] += 1
            if is_valid and rec.status == UNAUTHORIZED:
                detail = f"{entry} refused a key {rec.start - at:.1f} s after it was declared"
                yield Violation(promise=7, detail=detail)
            if not is_valid and rec.verdict == "whole":
                detail = f"{entry} accepted a key {rec.start - at:.1f} s after it was withdrawn"
                yield Violation(promise=7, detail=detail)
