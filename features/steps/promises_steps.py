"""Steps about the checker of the promises."""

from attrs import evolve
from behave import given, then, when
from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.promises import (
    EngineRun,
    Execution,
    FleetRecord,
    LeavingHost,
    Shutdown,
    Sighting,
    violations,
)

BOOKING = CallRecord(
    kind="booking", entry="e1", number=1, key="k", body_digest="b", start=1.0, end=2.0, status=200
)
BOOKING = evolve(BOOKING, outcome="ran", verdict="whole", is_match=True)
COMPLETION = CallRecord(
    kind="short", entry="e1", number=2, prompt="p", start=1.0, end=9.0, version="draft@v1"
)
COMPLETION = evolve(
    COMPLETION, outcome="ran", verdict="whole", is_match=True, tokens=8, wanted_tokens=8, status=200
)
REFUSED = {"outcome": "not-run", "verdict": "refused", "is_match": None, "version": ""}
EXECUTION = Execution(host="s1", key="k", body_digest="b", at=1.5)
SEEN = (
    Sighting(process="e1", at=0.0, newest=1, digest="x"),
    Sighting(process="e1", at=5.0, newest=2, digest="y"),
    Sighting(process="e2", at=5.5, newest=2, digest="y"),
)
CLEAN = FleetRecord(
    calls=(BOOKING, COMPLETION),
    executions=(EXECUTION,),
    engine_runs=(EngineRun(host="r1", prompt="p", received=1.0, tokens=8),),
    leaving_hosts=(LeavingHost(host="r1", at=0.0), LeavingHost(host="s1", at=0.0)),
    shutdowns=(Shutdown(host="e1", entry="e1", at=3.0, ended=10.0),),
    sightings=SEEN,
    published={2: 0.0},
    processes=("e1", "e2"),
    until=20.0,
)
SHORT_ANSWER = evolve(COMPLETION, tokens=5, wanted_tokens=8, is_match=False)
BROKEN_ANSWER = evolve(COMPLETION, verdict="broken", tokens=5)
RERUN = evolve(EXECUTION, host="s2", at=1.7)
REPEAT = evolve(BOOKING, attempt=1, start=3.0, end=4.0, **REFUSED)
LATE_ENGINE = EngineRun(host="r1", prompt="q", received=3.1)
FAULTS = {
    "an answer mixes versions": {"calls": (BOOKING, evolve(COMPLETION, is_match=False))},
    "a part of another answer came": {
        "calls": (BOOKING, evolve(BROKEN_ANSWER, is_match=False, start=0.0, end=1.0))
    },
    "a short answer looks complete": {"calls": (BOOKING, SHORT_ANSWER)},
    "a booking told as ran did not run": {"executions": ()},
    "a booking told as not run ran": {"calls": (evolve(BOOKING, **REFUSED), COMPLETION)},
    "a booking ran before its repeat is refused": {"calls": (BOOKING, REPEAT, COMPLETION)},
    "a completion told as not run ran": {
        "calls": (BOOKING, evolve(COMPLETION, **REFUSED, tokens=8))
    },
    "a key ran on two hosts": {"executions": (EXECUTION, evolve(RERUN, body_digest="c"))},
    "a body ran under two keys": {"executions": (EXECUTION, evolve(RERUN, key="j"))},
    "a leaving service got a late call": {"executions": (evolve(EXECUTION, at=3.1),)},
    "a leaving engine got a late call": {"engine_runs": (LATE_ENGINE,)},
    "a shutdown ended with a request": {"shutdowns": (evolve(CLEAN.shutdowns[0], cut_off=1),)},
    "an answer broke during a shutdown": {"calls": (BOOKING, BROKEN_ANSWER)},
    "a process is late with a ticket": {"sightings": (*SEEN[:2], evolve(SEEN[2], at=7.1))},
    "a process never holds a ticket": {"sightings": SEEN[:2]},
    "a process goes back to an older ticket": {
        "sightings": (*SEEN, evolve(SEEN[0], at=6.0, digest=""))
    },
    "two processes differ at the same ticket": {
        "sightings": (*SEEN[:2], evolve(SEEN[2], digest="z"))
    },
}


@given("a record of one booking, one completion, one shutdown and one ticket in order")
def step_clean_record(context):
    context.record = CLEAN


@when("the record is changed so that {fault}")
def step_fault(context, fault):
    context.record = evolve(CLEAN, **FAULTS[fault])


@when("the record is changed to the very limit of what is allowed")
def step_limit(context):
    refused = evolve(BOOKING, start=0.1, end=0.2, **REFUSED)
    context.record = evolve(
        CLEAN,
        calls=(refused, BOOKING, evolve(BROKEN_ANSWER, start=0.0, end=2.9)),
        executions=(evolve(EXECUTION, at=3.0),),
        sightings=SEEN[:2],
        until=6.9,
    )


@then("the checker reports no promise")
def step_no_violation(context):
    assert violations(context.record) == [], violations(context.record)


@then("the checker reports promise {number:d}")
def step_violation(context, number):
    found = violations(context.record)
    assert {violation.promise for violation in found} == {number}, found
