"""Steps about the plans and checks of the soak."""

import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when
from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.observer import Observer
from wasabilb_standins.promises import (
    EngineRun,
    Execution,
    FleetRecord,
    Shutdown,
    Sighting,
    violations,
)
from wasabilb_standins.soak import _run  # noqa: F401, fills the registry
from wasabilb_standins.soak._checks import Evidence, soak_violations
from wasabilb_standins.soak._faults import FAULTS
from wasabilb_standins.soak._history import InjectedFault, LeavingPeriod, RunningProcess
from wasabilb_standins.soak._keep_alive_callers import NOT_CONNECTED
from wasabilb_standins.soak._plan import draw_plan, read_plan

HOSTS = {"entry-1": "entry", "entry-2": "entry", "runner-1": "runner", "bookings-1": "service"}
CALL = CallRecord(
    kind="short", entry="a1", number=1, prompt="p", start=10.0, end=12.0, version="draft@v1"
)
CALL = evolve(CALL, verdict="whole", is_match=True, tokens=8, wanted_tokens=8, status=200)
CUT = evolve(CALL, verdict="broken", tokens=3, problem="the connection was closed")
WITH_ERROR_EVENT = evolve(CUT, error_event='{"title": "no runner"}')
LATE = evolve(CALL, end=27.0)
REFUSED = evolve(CUT, status=0, version="", is_match=None, problem=f"{NOT_CONNECTED}: refused")
RUN = Execution(host="bookings-1", key="k", body_digest="b", at=11.0)
ENGINE_RUN = EngineRun(host="runner-1", prompt="q", received=14.0)
SHUTDOWN = Shutdown(host="entry-1", entry="a1", at=9.0, ended=12.5)
STATUS_SIGHTING = Sighting(process="entry-1/1", at=18.0, newest=2)
PROBE = CallRecord(kind="get", entry="a1", number=1, start=18.0, end=18.1, verdict="whole")
DENIED = evolve(PROBE, verdict="refused", status=401)


def impaired(kind, host):
    """Return a fault of a kind that lasts from 9 s to 12 s."""
    fault = FAULTS.create(kind).unwrap()
    return InjectedFault(
        kind=kind,
        host=host,
        begin=9.0,
        end=12.0,
        excuses=fault.excuses,
        after_s=fault.after_s,
    )


def changed(*faults, call=CALL, record=None, **changes):
    """Return a function that adds faults and records to the evidence."""

    def change(evidence):
        return evolve(
            evidence,
            record=evolve(evidence.record, calls=(call,), **(record or {})),
            injected_faults=[impaired(kind, host) for kind, host in faults],
            **changes,
        )

    return change


LEAVES = {"leaving": [LeavingPeriod(host="runner-1", begin=9.0, cause="signal")]}
BY_TICKET = {"leaving": [LeavingPeriod(host="runner-1", begin=9.0, cause="ticket")]}
BY_LIST = {"leaving": [LeavingPeriod(host="runner-1", begin=9.0, cause="host list")]}
RETURNED = {"leaving": [LeavingPeriod(host="runner-1", begin=9.0, end=13.0, cause="ticket")]}
WORKED = {"engine_runs": (ENGINE_RUN,)}
TWICE = {"executions": (RUN, evolve(RUN, at=11.5))}
TICKET = {"published": {2: 10.0}, "sightings": (STATUS_SIGHTING,), "until": 30.0}
RUNNING_ENTRY = {"running": {"entry-1": RunningProcess(process="entry-1/1", since=0.0)}}
KEY_WITHDRAWN, KEY_RETURNED = {"key_changes": [(10.0, False)]}, {"key_changes": [(10.0, True)]}
EARLY_PROBE = evolve(PROBE, start=16.0, end=16.1)
CHANGES = {
    "nothing": changed(),
    "a cut while nothing is impaired": changed(call=CUT),
    "a cut while its entry host is paused": changed(("pause", "entry-1"), call=CUT),
    "a cut while another entry host is paused": changed(("pause", "entry-2"), call=CUT),
    "a cut while its entry host is flooded": changed(("flood-callers", "entry-1"), call=CUT),
    "a cut while a runner is killed": changed(("kill", "runner-1"), call=CUT),
    "an error event while a runner is killed": changed(("kill", "runner-1"), call=WITH_ERROR_EVENT),
    "an error event while nothing is impaired": changed(call=WITH_ERROR_EVENT),
    "an error event while the store is down": changed(("store-down", ""), call=WITH_ERROR_EVENT),
    "an answer 17 s after the start while a runner is killed": changed(
        ("kill", "runner-1"), call=LATE
    ),
    "a second execution while all hosts are paused": changed(
        *(("pause", host) for host in HOSTS), record=TWICE
    ),
    "late work on a leaving runner that is paused": changed(
        ("pause", "runner-1"), record=WORKED, **LEAVES
    ),
    "late work on a runner that leaves by ticket": changed(record=WORKED, **BY_TICKET),
    "late work on a runner that leaves by the host list": changed(record=WORKED, **BY_LIST),
    "the same while the host list comes back from a copy": changed(
        ("host-list-restored", ""), record=WORKED, **BY_LIST
    ),
    "the same while the configuration service does": changed(
        ("config-restored", ""), record=WORKED, **BY_LIST
    ),
    "late work on a runner that has returned": changed(record=WORKED, **RETURNED),
    "a cut while its entry host shuts down": changed(
        ("terminate", "entry-1"), call=CUT, shutdowns=[SHUTDOWN]
    ),
    "a refused connection while its entry host shuts down": changed(
        ("terminate", "entry-1"), call=REFUSED, shutdowns=[SHUTDOWN]
    ),
    "a cut while a runner shuts down": changed(
        ("terminate", "runner-1"),
        call=CUT,
        shutdowns=[Shutdown(host="runner-1", at=9.0, ended=10.5)],
    ),
    "a shutdown that cuts a request off": changed(shutdowns=[evolve(SHUTDOWN, cut_off=1)]),
    "a shutdown that is killed on its way": changed(
        ("kill", "entry-1"), shutdowns=[evolve(SHUTDOWN, cut_off=1)]
    ),
    "a ticket 8 s after its publication": changed(record=TICKET, **RUNNING_ENTRY),
    "a ticket 8 s after its publication, of a host paused 2 s": changed(
        ("pause", "entry-1"), record=TICKET, **RUNNING_ENTRY
    ),
    "a withdrawn key that works after 8 s": changed(probes=[PROBE], **KEY_WITHDRAWN),
    "a withdrawn key that works on a restarted host": changed(
        ("kill", "entry-1"), probes=[PROBE], **KEY_WITHDRAWN
    ),
    "a withdrawn key that works after 6 s": changed(probes=[EARLY_PROBE], **KEY_WITHDRAWN),
    "a returned key that is refused after 8 s": changed(probes=[DENIED], **KEY_RETURNED),
}


@then("seed {seed:d} gives the same plan twice, and seed {other:d} another one")
def step_same_plan(context, seed, other):
    def plan(number):
        return draw_plan(seed=number, seconds=30.0, hosts=HOSTS)

    assert plan(seed).steps and plan(seed) == plan(seed) != plan(other)


@then("the plan of seed {seed:d} is the same after it was written and read")
def step_read_plan(context, seed):
    plan = evolve(draw_plan(seed=seed, seconds=30.0, hosts=HOSTS), cause="a cut, not traced")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "plan.txt"
        path.write_text(plan.to_text(), encoding="utf-8")
        assert read_plan(path) == plan


@then("the plans of seeds {first:d} to {last:d} hold every kind of fault")
def step_all_kinds(context, first, last):
    plans = [draw_plan(seed=n, seconds=18.0, hosts=HOSTS) for n in range(first, last + 1)]
    assert {step.kind for plan in plans for step in plan.steps} == set(FAULTS.names())


@given("a process logged ticket 1 at {first:g} s and ticket 2 at {second:g} s")
def step_logged(context, first, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    host = SimpleNamespace(name="entry-1", service=None, engine=None)
    fleet = SimpleNamespace(hosts={"entry-1": host}, runners=[], folder=Path(folder.name))
    with patch(
        "wasabilb_standins.observer.time", SimpleNamespace(time=lambda: 0.0, monotonic=float)
    ):
        context.observer = Observer(fleet=fleet)
    lines = [
        f"ts=x mono=0 hlc={round(at * 1000) - 1}.0 level=INFO event=ticket_accepted process=7"
        f" role=entry hostname=entry-1 failure_domain=d incarnation=5 ticket={number} source=s"
        for number, at in ((1, first), (2, second))
    ]
    (fleet.folder / "entry-1.log").write_text("\n".join(lines) + "\n", encoding="utf-8")


@when("a status that was requested at {asked:g} s shows ticket {newest:d}")
def step_status(context, asked, newest):
    seen = Sighting(process="entry-1/5", at=asked, newest=newest, digest="x")
    context.observer.sightings.append(seen)
    found = violations(context.observer.record([]))
    context.verdict = "went back" if found else "only advanced"


@then("the process {verdict}")
def step_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@given("a run without faults in which one call was answered")
def step_clean(context):
    context.evidence = Evidence(
        record=FleetRecord(calls=(CALL,)),
        entries={"entry-1": "a1", "entry-2": "a2"},
        backends=("runner-1", "bookings-1"),
    )
    assert soak_violations(context.evidence) == []


@when("{what} happens")
def step_change(context, what):
    context.evidence = CHANGES[what](context.evidence)


@then("the soak reports {promises}")
def step_reports(context, promises):
    found = soak_violations(context.evidence)
    expected = {int(number) for number in promises.split(" and ") if number.isdigit()}
    assert expected or promises == "nothing", promises
    assert {violation.promise for violation in found} == expected, found
