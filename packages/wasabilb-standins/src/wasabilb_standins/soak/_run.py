"""Run of the soak test: a fleet, its traffic and a plan of faults."""

import asyncio
import time
from collections import Counter
from pathlib import Path

from wasabilb_standins.promises import TICKET_BOUND_S, Violation
from wasabilb_standins.soak import (  # noqa: F401, register the faults
    _changes,
    _link_faults,
    _platform_faults,
    _process_faults,
)
from wasabilb_standins.soak._checks import soak_violations
from wasabilb_standins.soak._faults import FAULTS
from wasabilb_standins.soak._history import InjectedFault
from wasabilb_standins.soak._plan import Plan, Step, draw_plan
from wasabilb_standins.soak._report import SoakResult, count_verdicts, trace_lines, worst_recovery
from wasabilb_standins.soak._testbed import Testbed

# Duration of traffic after the last fault, until the bounds on tickets have passed.
FINAL_TRAFFIC_S = TICKET_BOUND_S + 1.0
# A fleet settles seconds after a restart; this ends a run in which it never does.
SETTLE_TIMEOUT_S = 30.0


async def run_seed(*, seed: int, seconds: float, folder: Path, **size: int) -> SoakResult:
    """Draw the plan of a seed and run it, see `run_plan`."""
    testbed = Testbed(folder=folder, seed=seed, **size)
    hosts = {host.name: host.role for host in testbed.fleet.hosts.values()}
    return await _run(testbed, draw_plan(seed=seed, seconds=seconds, hosts=hosts))


async def run_plan(*, plan: Plan, folder: Path, **size: int) -> SoakResult:
    """Run a plan; all processes and stand-ins have ended when it returns or raises.

    Parameters
    ----------
    plan : Plan
        Faults to inject.
    folder : Path
        Directory for settings and logs.
    **size : int
        Numbers of `entries` and `runners`; three more processes run plain services.
    """
    return await _run(Testbed(folder=folder, seed=plan.seed, **size), plan)


async def _run(testbed: Testbed, plan: Plan) -> SoakResult:
    try:
        await testbed.start()
        started = time.monotonic()
        settled_s, unsettled = await _run_with_traffic(testbed, plan)
        evidence = testbed.evidence()
        all_violations = [*unsettled, *soak_violations(evidence)]
    finally:
        await testbed.stop()
    return SoakResult(
        processes=len(testbed.fleet.hosts),
        plan=plan,
        faults=dict(Counter(fault.kind for fault in testbed.injected_faults)),
        requests=count_verdicts(testbed.callers.records),
        connections={"opened": testbed.callers.connections, "reused": testbed.callers.reused},
        settled_s=settled_s,
        checked=dict(evidence.checked),
        recovery_s=worst_recovery(
            testbed.injected_faults,
            testbed.callers.records,
            evidence.entries,
        ),
        violations=tuple(all_violations),
        trace=trace_lines(testbed.injected_faults, testbed.callers.records, started),
    )


async def _run_with_traffic(testbed: Testbed, plan: Plan) -> tuple[float, list[Violation]]:
    """Inject the plan's faults under traffic; return the seconds until the fleet has settled."""
    observer_task = asyncio.ensure_future(testbed.observer.run())
    probe_task = asyncio.ensure_future(testbed.probe_keys())
    callers_task = asyncio.ensure_future(testbed.callers.run(10 * plan.seconds + 100.0))
    unsettled = []
    try:
        await asyncio.gather(*(_inject_step(testbed, step) for step in plan.steps))
        ended = time.monotonic()
        try:
            await testbed.settle(SETTLE_TIMEOUT_S)
        except TimeoutError as exc:
            detail = f"not settled {SETTLE_TIMEOUT_S:.0f} s after the last fault: {exc}"
            unsettled.append(Violation(promise=7, detail=detail))
        settled_s = time.monotonic() - ended
        await asyncio.sleep(max(0.0, FINAL_TRAFFIC_S - settled_s))
        testbed.callers.is_stopping = True
        await callers_task
        await testbed.observer.poll()
    finally:
        for task in (observer_task, probe_task, callers_task):
            task.cancel()
        await asyncio.gather(observer_task, probe_task, callers_task, return_exceptions=True)
    return round(settled_s, 2), unsettled


async def _inject_step(testbed: Testbed, step: Step) -> None:
    await asyncio.sleep(step.start_s)
    fault = FAULTS.create(step.kind).unwrap()
    host = testbed.fleet.hosts.get(step.host)
    injected = InjectedFault(
        kind=step.kind,
        host=step.host,
        begin=time.monotonic(),
        excuses=fault.excuses,
        after_s=fault.after_s,
    )
    testbed.injected_faults.append(injected)
    await fault.begin(testbed, host)
    await asyncio.sleep(step.duration_s)
    await fault.end(testbed, host)
    injected.end = time.monotonic()
