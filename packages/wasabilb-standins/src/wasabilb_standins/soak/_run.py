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
from wasabilb_standins.soak._plan import Step, draw_plan
from wasabilb_standins.soak._report import SoakResult, counted, trace, worst_recovery

# Traffic after the last fault, in which the bounds on tickets run out.
TAIL_S = TICKET_BOUND_S + 1.0
# A restarted process is in order within seconds; this ends a run in which the fleet never is.
SETTLE_LIMIT_S = 30.0


async def run(
    *, seed: int, seconds: float, folder: Path, entries: int = 3, runners: int = 4
) -> SoakResult:
    """Run a seed's plan; all processes and stand-ins are gone when it returns or raises.

    Parameters
    ----------
    seed : int
        Seed of the plan and of the traffic.
    seconds : float
        Time within which faults are injected.
    folder : Path
        For settings and logs.
    entries, runners : int
        Numbers of processes; three more serve plain services.
    """
    ground = Ground(folder=folder, seed=seed, entries=entries, runners=runners)
    plan = draw_plan(
        seed=seed, seconds=seconds, hosts={h.name: h.role for h in ground.fleet.hosts.values()}
    )
    try:
        await ground.start()
        started = time.monotonic()
        settled_s, unsettled = await _play(ground, plan, seconds)
        evidence = ground.evidence()
        found = [*unsettled, *findings(evidence)]
    finally:
        await ground.stop()
    return SoakResult(
        seed=seed,
        seconds=seconds,
        processes=len(ground.fleet.hosts),
        plan=tuple(plan),
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


async def _play(ground: Ground, plan: list[Step], seconds: float) -> tuple[float, list[Violation]]:
    """Play the plan under traffic; return the seconds until the fleet is in order after it."""
    watching = asyncio.ensure_future(ground.observer.run())
    probing = asyncio.ensure_future(ground.probe_keys())
    sending = asyncio.ensure_future(ground.callers.run(10 * seconds + 100.0))
    unsettled = []
    try:
        await asyncio.gather(*(_inject(ground, step) for step in plan))
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
