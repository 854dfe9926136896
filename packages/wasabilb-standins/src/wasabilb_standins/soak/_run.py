"""One run: a fleet, its traffic and a plan of faults."""

import asyncio
import time
from collections import Counter
from pathlib import Path

from wasabilb_standins.promises import TICKET_BOUND_S, Violation
from wasabilb_standins.soak import (  # noqa: F401, they fill the registry
    _changes,
    _link_faults,
    _platform_faults,
    _process_faults,
)
from wasabilb_standins.soak._checks import findings
from wasabilb_standins.soak._faults import FAULTS
from wasabilb_standins.soak._ground import Ground
from wasabilb_standins.soak._history import Impairment
from wasabilb_standins.soak._plan import Plan, Step, draw_plan
from wasabilb_standins.soak._report import SoakResult, counted, trace, worst_recovery

# Traffic after the last fault, in which the bounds on tickets run out.
TAIL_S = TICKET_BOUND_S + 1.0
# A restarted process is in order within seconds; this ends a run in which the fleet never is.
SETTLE_LIMIT_S = 30.0


async def run_seed(*, seed: int, seconds: float, folder: Path, **size: int) -> SoakResult:
    """Draw the plan of a seed and run it, see `run_plan`."""
    ground = Ground(folder=folder, seed=seed, **size)
    hosts = {host.name: host.role for host in ground.fleet.hosts.values()}
    return await _run(ground, draw_plan(seed=seed, seconds=seconds, hosts=hosts))


async def run_plan(*, plan: Plan, folder: Path, **size: int) -> SoakResult:
    """Run a plan; all processes and stand-ins are gone when it returns or raises.

    Parameters
    ----------
    plan : Plan
        Faults to inject.
    folder : Path
        For settings and logs.
    **size : int
        Numbers of `entries` and `runners`; three more processes serve plain services.
    """
    return await _run(Ground(folder=folder, seed=plan.seed, **size), plan)


async def _run(ground: Ground, plan: Plan) -> SoakResult:
    try:
        await ground.start()
        started = time.monotonic()
        settled_s, unsettled = await _play(ground, plan)
        evidence = ground.evidence()
        found = [*unsettled, *findings(evidence)]
    finally:
        await ground.stop()
    return SoakResult(
        processes=len(ground.fleet.hosts),
        plan=plan,
        faults=dict(Counter(fault.kind for fault in ground.impairments)),
        requests=counted(ground.callers.records),
        connections={"opened": ground.callers.connections, "reused": ground.callers.reused},
        settled_s=settled_s,
        checked=dict(evidence.checked),
        recovery_s=worst_recovery(
            ground.impairments,
            ground.callers.records,
            evidence.entries,
        ),
        violations=tuple(found),
        trace=trace(ground.impairments, ground.callers.records, started),
    )


async def _play(ground: Ground, plan: Plan) -> tuple[float, list[Violation]]:
    """Play the plan under traffic; return the seconds until the fleet is in order after it."""
    watching = asyncio.ensure_future(ground.observer.run())
    probing = asyncio.ensure_future(ground.probe_keys())
    sending = asyncio.ensure_future(ground.callers.run(10 * plan.seconds + 100.0))
    unsettled = []
    try:
        await asyncio.gather(*(_inject(ground, step) for step in plan.steps))
        ended = time.monotonic()
        try:
            await ground.settle(SETTLE_LIMIT_S)
        except TimeoutError as exc:
            detail = f"not in order {SETTLE_LIMIT_S:.0f} s after the last fault: {exc}"
            unsettled.append(Violation(promise=7, detail=detail))
        settled_s = time.monotonic() - ended
        await asyncio.sleep(max(0.0, TAIL_S - settled_s))
        ground.callers.is_stopping = True
        await sending
        await ground.observer.poll()
    finally:
        for task in (watching, probing, sending):
            task.cancel()
        await asyncio.gather(watching, probing, sending, return_exceptions=True)
    return round(settled_s, 2), unsettled


async def _inject(ground: Ground, step: Step) -> None:
    await asyncio.sleep(step.at_s)
    fault = FAULTS.create(step.kind).unwrap()
    host = ground.fleet.hosts.get(step.host)
    done = Impairment(
        kind=step.kind,
        host=step.host,
        begin=time.monotonic(),
        excuses=fault.excuses,
        after_s=fault.after_s,
    )
    ground.impairments.append(done)
    await fault.begin(ground, host)
    await asyncio.sleep(step.lasts_s)
    await fault.end(ground, host)
    done.end = time.monotonic()
