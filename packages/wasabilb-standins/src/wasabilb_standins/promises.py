"""Check of the seven promises against a record from callers, services, engines and hosts.

The promises and their numbers are those of section 2 of `docs/design.md`. A record can prove that a
promise was broken, but not that it always holds.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from attrs import field, frozen
from wasabilb_core.ticket_order import ticket_era, ticket_number

from wasabilb_standins.call_records import CallRecord

LEAVE_BOUND_S = 3.0
TICKET_BOUND_S = 7.0
# Sightings of different processes within this time count as simultaneous.
SAME_MOMENT_S = 2.0


@frozen(kw_only=True)
class Execution:
    """Execution of a call that may run at most once; `at` is its start, in monotonic time."""

    host: str
    key: str
    body_digest: str
    at: float


@frozen(kw_only=True)
class EngineRun:
    """Request that an engine received; `tokens` is the number of generated tokens."""

    host: str
    prompt: str
    received: float
    tokens: int = 0


@frozen(kw_only=True)
class LeavingHost:
    """Leaving backend server; `at` is when its agent or a ticket announced it."""

    host: str
    at: float


@frozen(kw_only=True)
class Shutdown:
    """Graceful shutdown, from the signal to the end of the process.

    Parameters
    ----------
    entry : str
        Address for callers of an entry host; empty for an agent.
    cut_off : int
        Requests in progress at the end, as logged by the process.
    """

    host: str
    at: float
    ended: float
    entry: str = ""
    cut_off: int = 0


@frozen(kw_only=True)
class Sighting:
    """Ticket state of one incarnation of a process at a moment.

    Parameters
    ----------
    newest : int
        Order of the newest ticket that it held; in the first era its number.
    digest : str
        Digest of its state; empty if unknown.
    """

    process: str
    at: float
    newest: int
    digest: str = ""


@frozen(kw_only=True)
class FleetRecord:
    """Observations of a fleet; all times are monotonic seconds of one clock.

    Parameters
    ----------
    calls : tuple of CallRecord
        Attempts of the callers.
    published : dict
        Publication time by the ticket's order.
    processes : tuple of str
        Processes that ran from before the first publication until `until`.
    until : float
        End of the record; 0 disables the check of ticket deadlines.
    """

    calls: tuple[CallRecord, ...] = ()
    executions: tuple[Execution, ...] = ()
    engine_runs: tuple[EngineRun, ...] = ()
    leaving_hosts: tuple[LeavingHost, ...] = ()
    shutdowns: tuple[Shutdown, ...] = ()
    sightings: tuple[Sighting, ...] = ()
    published: dict[int, float] = field(factory=dict)
    processes: tuple[str, ...] = ()
    until: float = 0.0


@frozen(kw_only=True)
class Violation:
    """Broken promise, with its number in section 2 of the design."""

    promise: int
    detail: str


def violations(record: FleetRecord) -> list[Violation]:
    """Return all broken promises in a record, ordered by number."""
    checks = (
        _check_contents,
        _check_not_run,
        _check_duplicates,
        _check_late_work,
        _check_shutdowns,
        _check_tickets,
    )
    found = [violation for check in checks for violation in check(record)]
    return sorted(found, key=lambda violation: violation.promise)


def ticket_name(order: int) -> str:
    """Return the name of a ticket in reports."""
    era = f" of era {ticket_era(order)}" if ticket_era(order) else ""
    return f"ticket {ticket_number(order)}{era}"


def _check_contents(record: FleetRecord) -> Iterator[Violation]:
    for rec in record.calls:
        name = f"{rec.kind} {rec.number} through {rec.entry}"
        if rec.verdict == "whole" and rec.tokens < rec.wanted_tokens:
            detail = f"{name} ended as whole after {rec.tokens} of {rec.wanted_tokens} tokens"
            yield Violation(promise=2, detail=detail)
        elif rec.is_match is False and rec.version:
            yield Violation(promise=1, detail=f"{name} differs from the answer of {rec.version}")
        elif rec.is_match is False:
            yield Violation(promise=2, detail=f"{name} is not the answer to this request")


def _check_not_run(record: FleetRecord) -> Iterator[Violation]:
    ran_at: dict[str, list[float]] = defaultdict(list)
    for run in record.executions:
        ran_at[run.body_digest].append(run.at)
    prompt_runs: dict[str, list[EngineRun]] = defaultdict(list)
    for engine_run in record.engine_runs:
        prompt_runs[engine_run.prompt].append(engine_run)
    attempts: dict[str, list[CallRecord]] = defaultdict(list)
    for rec in sorted(record.calls, key=lambda rec: rec.start):
        if rec.body_digest:
            attempts[rec.body_digest].append(rec)
        elif rec.outcome == "not-run" and any(
            run.tokens for run in prompt_runs.get(rec.prompt, ())
        ):
            yield Violation(promise=3, detail=f"{rec.kind} {rec.number} ran despite not-run")
    for digest, calls in attempts.items():
        for index, rec in enumerate(calls):
            # An execution after the start of the next attempt belongs to that attempt.
            limit = calls[index + 1].start if index + 1 < len(calls) else float("inf")
            if rec.outcome == "not-run" and any(at < limit for at in ran_at[digest]):
                yield Violation(promise=3, detail=f"{rec.kind} {rec.number} ran despite not-run")
            if rec.outcome == "ran" and not ran_at[digest]:
                yield Violation(promise=2, detail=f"{rec.kind} {rec.number} did not run")


def _check_duplicates(record: FleetRecord) -> Iterator[Violation]:
    by_key: dict[str, list[str]] = defaultdict(list)
    by_body: dict[str, list[str]] = defaultdict(list)
    for run in record.executions:
        by_key[run.key].append(run.host)
        by_body[run.body_digest].append(run.host)
    for kind, found in (("key", by_key), ("body", by_body)):
        for name, hosts in found.items():
            if name and len(hosts) > 1:
                detail = f"{kind} {name[:40]} ran {len(hosts)} times, on {', '.join(hosts)}"
                yield Violation(promise=4, detail=detail)


def _check_late_work(record: FleetRecord) -> Iterator[Violation]:
    work = [(run.host, run.at) for run in record.executions]
    work += [(run.host, run.received) for run in record.engine_runs]
    for leaving in record.leaving_hosts:
        limit = leaving.at + LEAVE_BOUND_S
        late = [at - leaving.at for host, at in work if host == leaving.host and at > limit]
        if late:
            detail = f"{leaving.host} got {len(late)} calls up to {max(late):.1f} s after leaving"
            yield Violation(promise=5, detail=detail)


def _check_shutdowns(record: FleetRecord) -> Iterator[Violation]:
    for shutdown in record.shutdowns:
        if shutdown.cut_off:
            detail = f"{shutdown.host} ended with {shutdown.cut_off} requests in progress"
            yield Violation(promise=6, detail=detail)
        for rec in record.calls:
            is_same_entry = shutdown.entry in ("", rec.entry)
            is_during = rec.start <= shutdown.ended and rec.end >= shutdown.at
            if rec.verdict == "broken" and is_same_entry and is_during:
                detail = f"{rec.kind} {rec.number} was cut off as {shutdown.host} shut down"
                detail += f": {rec.problem or rec.error_event or 'no error reported'}"
                yield Violation(promise=6, detail=detail)


def _check_tickets(record: FleetRecord) -> Iterator[Violation]:
    by_process: dict[str, list[Sighting]] = defaultdict(list)
    for sighting in sorted(record.sightings, key=lambda sighting: sighting.at):
        by_process[sighting.process].append(sighting)
    for process, history in by_process.items():
        highest = 0
        for sighting in history:
            if sighting.newest < highest:
                before, after = ticket_name(highest), ticket_name(sighting.newest)
                detail = f"{process} reverted from {before} to {after}"
                yield Violation(promise=7, detail=detail)
            highest = max(highest, sighting.newest)
    for order, at in record.published.items():
        limit = at + TICKET_BOUND_S
        for process in record.processes if record.until >= limit else ():
            history = by_process[process]
            if not any(s.newest >= order and s.at <= limit for s in history):
                name = ticket_name(order)
                detail = f"{process} did not hold {name} within {TICKET_BOUND_S:.0f} s"
                yield Violation(promise=7, detail=detail)
    yield from _check_states(by_process.values())


def _check_states(processes: Iterable[list[Sighting]]) -> Iterator[Violation]:
    last_sightings = [history[-1] for history in processes if history]
    latest = max((sighting.at for sighting in last_sightings), default=0.0)
    # A process with an earlier last sighting has ended.
    final_states = [s for s in last_sightings if s.digest and s.at >= latest - SAME_MOMENT_S]
    newest = max((sighting.newest for sighting in final_states), default=0)
    digests = {sighting.digest for sighting in final_states if sighting.newest == newest}
    if len(digests) > 1:
        detail = f"{len(digests)} different states at {ticket_name(newest)} at the end"
        yield Violation(promise=7, detail=detail)
