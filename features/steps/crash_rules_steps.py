"""Steps about the decisions on suspected parts, and about what counts as a crash."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from crashing_part_steps import CrashingFleet
from crashing_runner import BAD_PART
from hypothesis import given as property_given
from hypothesis import strategies as st
from memory_links import run_virtual
from wasabilb_core import _answered_subjects, _crash_evidence, crashing_parts
from wasabilb_core.crash_reports import CrashReport
from wasabilb_core.crashing_parts import CrashingParts, PartDecision
from wasabilb_core.runner_directory import Runner
from wasabilb_entry.crash_detector import DOUBT_S, CrashDetector
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectError, ConnectRefusedError

RUNNER = Runner(id="r", born_ms=1, service="s", address="r:1", failure_domain="a")
CAUSES = {
    "the runner has ended": ConnectRefusedError("refused"),
    "the runner only closed the connection": None,
    "the link to the runner is cut": ConnectError("timed out"),
}


def crash_report(runner, *, started=(), waiting=(), probes=(), age_s=0.0):
    return CrashReport(
        runner=runner,
        born_ms=1,
        age_s=age_s,
        started=list(started),
        waiting=list(waiting),
        probes=list(probes),
    )


def evidence_of(reports, moment=10.0):
    """Return what is known of some parts after reports, and the parts blocked too early."""
    parts = CrashingParts()
    parts.on_answer_going_on([99], moment)
    for report in reports:
        parts.on_crash(report, moment)
    evidence = parts._evidence
    known = {
        part: (evidence.score(part), sorted(parts.crashed_runners(part))) for part in range(1, 6)
    }
    blocked = parts.blocked_parts(moment)
    return known, {p for p in blocked if known[p][0] < crashing_parts.BLOCKING_SCORE}


@when("reports of crashes come in any order, in parts and repeatedly")
def any_order(context):
    context.unequal = []
    some_parts = st.lists(st.integers(1, 5), max_size=3, unique=True)
    report = st.builds(
        crash_report,
        st.sampled_from(["a", "b", "c", "d"]),
        started=some_parts,
        waiting=some_parts,
        probes=some_parts,
    )

    @property_given(st.lists(report, max_size=6), st.integers(0, 2**32))
    def check(reports, seed):
        shuffled = reports + reports
        random.Random(seed).shuffle(shuffled)
        found, too_early = evidence_of(shuffled)
        if found != evidence_of(reports)[0] or too_early:
            context.unequal.append((reports, found, too_early))

    check()


@then("the evidence is the same, and no part is blocked with too little of it")
def same_decisions(context):
    assert not context.unequal, context.unequal[0]


@when("callers send {count:d} invented parts in requests that are with crashed runners")
def flood_parts(context, count):
    parts = context.parts = CrashingParts()
    parts.on_answer_going_on([99], 0.0)
    rng = random.Random(1)
    for number in range(count // 500):
        invented = [rng.getrandbits(64) for _ in range(500)]
        is_probe = number > 0
        report = crash_report(
            f"r-{number}", started=[*invented, BAD_PART], probes=[BAD_PART] if is_probe else []
        )
        parts.on_crash(report, float(number))
        parts.on_answer_going_on([rng.getrandbits(64) for _ in range(500)], float(number))
    context.moment = float(number)


@then("a bounded number of them is kept, and the part that crashes runners is blocked")
def bounded(context):
    parts = context.parts
    assert parts.suspected_count <= _crash_evidence.MAX_SUSPECTS
    assert len(parts._answered) <= _answered_subjects.MAX_CLEARED
    assert parts.blocked_parts(context.moment) == {BAD_PART}


@given("two parts that are in the prompts of all requests that crash runners")
def two_parts(context):
    parts = context.parts = CrashingParts()
    parts.on_answer_going_on([99], 0.0)
    for number in range(3):
        report = crash_report(f"r-{number}", started=[1, 2], probes=[1, 2] if number else [])
        parts.on_crash(report, float(number))


@then("requests with both are refused, and one with the {which} alone is a probe")
def check_both(context, which):
    part = {"first": 1, "second": 2}[which]
    assert context.parts.decide([1, 2], 3.0) is PartDecision.BLOCK
    assert context.parts.decide([part], 3.0) is PartDecision.PROBE


@when("the answer of the probe with the {which} goes on")
def probe_survives(context, which):
    context.parts.on_answer_going_on([{"first": 1, "second": 2}[which]], 3.0)


@then("requests with the {which} alone are {result}")
def check_alone(context, which, result):
    part = {"first": 1, "second": 2}[which]
    expected = {"sent": PartDecision.SEND, "refused": PartDecision.BLOCK}[result]
    assert context.parts.decide([part], 3.0) is expected


@when("runners crash under the same part, and no answer at all goes on")
def faulty_version(context):
    parts = context.parts = CrashingParts()
    for number in range(8):
        report = crash_report(f"r-{number}", started=[1], probes=[1] if number else [])
        parts.on_crash(report, float(number))


@then("the part is not blocked")
def not_blocked(context):
    assert not context.parts.blocked_parts(8.0)


@when("a blocked part is lifted and another crash is reported that was before")
def lifted_and_late(context):
    parts = context.parts = CrashingParts()
    parts.on_answer_going_on([99], 0.0)
    for number in range(2):
        report = crash_report(f"r-{number}", started=[1], probes=[1] if number else [])
        parts.on_crash(report, float(number))
    assert parts.lift(now=10.0) == [1]
    parts.on_crash(crash_report("r-2", started=[1], age_s=8.0), 10.5)


@when("another crash is reported that was after")
def later_crash(context):
    context.parts.on_crash(crash_report("r-3", started=[1], probes=[1], age_s=0.1), 11.0)


@then("a request with the part is {what}")
def check_part(context, what):
    expected = {"a probe": PartDecision.PROBE, "refused": PartDecision.BLOCK}[what]
    assert context.parts.decide([1], 11.0) is expected


class StubPool:
    """Pool whose connection attempts end as given."""

    def __init__(self, error):
        self.error, self.checks = error, 0

    async def check(self, address, *, timeout_s):
        self.checks += 1
        await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error


@when("the connections of {count:d} requests break because {cause}, and {then_what}")
def connections_break(context, count, cause, then_what):
    async def script():
        pool = StubPool(CAUSES[cause])
        is_used = "leaving" not in then_what
        detector = CrashDetector(pool=pool, may_receive=lambda runner: is_used)
        late = []
        found = await asyncio.gather(
            *(detector.has_crashed(RUNNER, lambda: late.append(now())) for _ in range(count))
        )
        if "agent" in then_what:
            await asyncio.sleep(0.2 if "soon" in then_what else DOUBT_S + 1)
            detector.on_runner_ended(RUNNER)
        return SimpleNamespace(found=found, late=late, checks=pool.checks)

    context.result = run_virtual(script)


@then("it counts as {what} for all of them, after {checks:d} connection attempt")
def check_counts(context, what, checks):
    found = {"a crash": True, "no crash": False}[what]
    result = context.result
    assert all(f or bool(result.late) is found for f in result.found), result
    assert (all(result.found) or len(result.late) == len(result.found)) is found, result
    assert result.checks == checks, result


@when("{count:d} requests with the part wait for their connection while the part is blocked")
def waiting_requests(context, count):
    async def script(fleet):
        (harness,) = fleet.harnesses
        acquire = harness.fleet.pool.acquire

        async def slow_acquire(address, **options):
            await asyncio.sleep(0.3)
            return await acquire(address, **options)

        harness.fleet.pool.acquire = slow_acquire
        waiting = [
            asyncio.ensure_future(fleet.send(harness, f"w-{n}", [1000, n, BAD_PART]))
            for n in range(count)
        ]
        await asyncio.sleep(0.1)
        parts = harness.guard.parts
        parts.on_answer_going_on([1000], now())
        for number in range(2):
            report = crash_report(f"x-{number}", started=[BAD_PART], probes=[BAD_PART])
            parts.on_crash(report, now())
        fleet.answers = await asyncio.gather(*waiting)

    context.fleet = CrashingFleet(runners=2, down_s=1.0)
    asyncio.run(context.fleet.play(1, script))


@then("none of them reaches a runner, and each is told that it has not run")
def none_reaches(context):
    assert not context.fleet.bad_arrivals
    for status, _, body, *_ in context.fleet.answers:
        assert status == 400 and b'"outcome": "not-run"' in body, (status, body)
