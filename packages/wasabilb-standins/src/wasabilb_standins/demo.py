"""Demo: a rollout of a new model version under live traffic, on one machine.

`python -m wasabilb_standins.demo [--seed N] [--seconds S] [--folder DIR]` starts stand-ins for the
platform, 3 entry processes and 9 agents, sends mixed traffic, publishes a ticket with a new
version, brings the configuration service back from a copy without it and checks every answer. The
exit status is 0 if every promise was kept, 1 if not, 2 if an option is invalid, and 130 after an
interrupt.
"""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

import fire

from wasabilb_standins import demo_summary
from wasabilb_standins.callers import Callers
from wasabilb_standins.demo_progress import DemoProgress
from wasabilb_standins.demo_reports import write_reports
from wasabilb_standins.demo_summary import DemoResult
from wasabilb_standins.fleet import FleetShape, LocalFleet
from wasabilb_standins.observer import Observer
from wasabilb_standins.promises import violations
from wasabilb_standins.restorable import Restore, play_restore

# Rates are scaled for a rollout of seconds: until all runners have a version, the link of the
# origin can carry about four copies of it and the link of each machine about two.
MODEL_BYTES = 4 << 20
STORE_BYTES_PER_S = 2.0e6
HOST_BYTES_PER_S = 1.0e6
# Link between two regions, 12 Mbit/s.
REGION_BYTES_PER_S = 1.5e6
OLD_VERSION, NEW_VERSION = "v1", "v2"
RATE_PER_S = 25.0
MIX = {
    "short": 6.0,
    "long": 0.5,
    "chat": 1.5,
    "booking": 1.0,
    "issued": 1.0,
    "get": 1.0,
    "portal": 1.0,
}
# Share of the time before the new ticket, as baseline for the latencies during the rollout.
BEFORE_SHARE = 0.25
AFTER_S = 3.0
MAX_ROLLOUT_S = 55.0
# The operator publishes again what the copy lacks.
AWAY_S, REWRITE_S = 2.0, 1.0
MIN_SECONDS, MAX_SECONDS = 8.0, 60.0
POLL_S = 0.05
EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


class Demo:
    """Run of the demo.

    Parameters
    ----------
    folder : Path
        Directory for settings, logs and reports.
    seed : int
        Seed of the traffic and of the weights.
    seconds : float
        Minimum duration of live traffic.
    """

    def __init__(self, *, folder: Path, seed: int, seconds: float) -> None:
        self._folder = folder
        self._seconds = seconds
        self._seed = seed
        self._fleet = LocalFleet(
            shape=FleetShape(
                engine={"models": f"draft@{OLD_VERSION}"},
                service={"work_s": 0.01},
                store={"size": MODEL_BYTES, "bytes_per_s": STORE_BYTES_PER_S, "seed": seed},
                region_link_bytes_per_s=REGION_BYTES_PER_S,
                agent_settings={
                    "weights": {
                        "link_bytes_per_s": HOST_BYTES_PER_S,
                        "region_link_bytes_per_s": REGION_BYTES_PER_S,
                    }
                },
            ),
            folder=folder / "hosts",
        )
        self._progress = DemoProgress(fleet=self._fleet, version=NEW_VERSION)
        self._callers: Callers | None = None

    async def run(self) -> DemoResult:
        """Run the demo; all processes and stand-ins have ended when it returns or raises."""
        try:
            with self._progress:
                result = await self._run()
            await write_reports(fleet=self._fleet, folder=self._folder, ticket=2)
            return result
        finally:
            await self._fleet.stop()

    async def _run(self) -> DemoResult:
        fleet, print_line = self._fleet, self._progress.print_line
        print_line(f"starting {len(fleet.hosts)} processes over {len(fleet.shape.regions)} regions")
        await fleet.start()
        observer = Observer(fleet=fleet)
        observer.publish(1, fleet.ticket(1, version=OLD_VERSION))
        await fleet.wait_in_force(1)
        await fleet.wait_version(OLD_VERSION)
        await fleet.wait_services()
        print_line("ticket 1 is in force on all hosts; live traffic starts")
        callers = self._new_callers()
        observer_task = asyncio.ensure_future(observer.run())
        callers_task = asyncio.ensure_future(callers.run(MAX_SECONDS + MAX_ROLLOUT_S))
        progress_task = asyncio.ensure_future(self._progress.run(callers))
        try:
            started = time.monotonic()
            await asyncio.sleep(self._seconds * BEFORE_SHARE)
            print_line(
                f"ticket 2 is published: draft@{NEW_VERSION}, {MODEL_BYTES >> 20} MiB of weights"
            )
            copied_at = time.monotonic()
            store_bytes = fleet.store.record()["total"]
            observer.publish(
                2, fleet.model_ticket(2, version=NEW_VERSION, while_loading=OLD_VERSION)
            )
            ready_at = await self._wait_for_rollout(observer.published[2])
            store_bytes = fleet.store.record()["total"] - store_bytes
            republished = await self._play_restore(observer, copied_at)
            remaining_s = started + self._seconds - time.monotonic()
            await asyncio.sleep(max(AFTER_S, remaining_s))
            callers.is_stopping = True
            print_line("live traffic ends; waiting for the last answers")
            await callers_task
            await observer.poll()
        finally:
            for task in (observer_task, callers_task, progress_task):
                task.cancel()
            await asyncio.gather(observer_task, callers_task, progress_task, return_exceptions=True)
        record = observer.record(callers.records)
        return DemoResult(
            record=record,
            violations=tuple(violations(record)),
            ready_at=ready_at,
            runners=len(fleet.runners),
            origin_copies=store_bytes / MODEL_BYTES,
            lower_bound_s=self._lower_bound_s(),
            republished=republished,
            seed=self._seed,
        )

    def _new_callers(self) -> Callers:
        return Callers(
            entries=[host.callers for host in self._fleet.entry_hosts],
            rate_per_s=RATE_PER_S,
            mix=MIX,
            account_key=next(iter(self._fleet.account_keys.values())),
            repeat_share=0.3,
            seed=self._seed,
        )

    async def _wait_for_rollout(self, published: float) -> dict[str, float]:
        """Wait until all engines serve the new version; return the seconds that each took."""
        ready: dict[str, float] = {}
        while len(ready) < len(self._fleet.runners):
            for host in self._fleet.runners:
                variant = host.engine and host.engine.deployments.serving("draft", "")
                if host.name not in ready and variant and variant.version == NEW_VERSION:
                    ready[host.name] = time.monotonic() - published
            if time.monotonic() - published > MAX_ROLLOUT_S:
                self._progress.print_line(f"the rollout is incomplete after {MAX_ROLLOUT_S:.0f} s")
                break
            await asyncio.sleep(POLL_S)
        return ready

    async def _play_restore(self, observer: Observer, copied_at: float) -> int:
        """Bring the configuration service back from a copy; return the order of the last ticket."""
        service = self._fleet.config_service
        self._progress.print_line("the configuration service goes away for a moment")
        await play_restore(
            service,
            Restore(away_s=AWAY_S, rewrite_s=REWRITE_S, seed=self._seed),
            restore_copy=lambda: service.restore(copied_at),
            write=lambda lost: observer.publish(lost.number, lost.text),
        )
        self._progress.print_line("it is back from a copy, and ticket 2 is published again")
        republished = max(observer.published)
        await self._fleet.wait_in_force(republished)
        return republished

    def _lower_bound_s(self) -> float:
        """Return the minimum time in which any scheme can load the version on all engines."""
        slowest = min(STORE_BYTES_PER_S, REGION_BYTES_PER_S, HOST_BYTES_PER_S)
        load_s = max(h.engine.settings.load_s for h in self._fleet.runners if h.engine)
        return MODEL_BYTES / slowest + load_s


async def _run_until_signal(demo: Demo) -> DemoResult:
    # SIGTERM ends the demo like an interrupt, so that no process is left running.
    task = asyncio.ensure_future(demo.run())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def main(seed: int = 1, seconds: float = 30.0, folder: str = "out/demo") -> None:
    """Run the demo and exit with its status.

    Parameters
    ----------
    seed : int
        Seed of the traffic and of the weights.
    seconds : float
        Minimum duration of live traffic, 8 to 60.
    folder : str
        Directory for settings, logs and reports; those of an earlier demo are replaced.
    """
    is_number = all(isinstance(v, int | float) and not isinstance(v, bool) for v in (seed, seconds))
    if not is_number or not MIN_SECONDS <= seconds <= MAX_SECONDS:
        expected = f"--seed N and --seconds from {MIN_SECONDS:.0f} to {MAX_SECONDS:.0f}"
        print(f"demo: expected {expected}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    target = Path(str(folder))
    try:
        target.mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        print(f"demo: --folder: {target}: {exc.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    for name in ("*.toml", "*.log", "*.err"):
        for old in (target / "hosts").glob(name):
            old.unlink()
    with contextlib.suppress(asyncio.CancelledError, KeyboardInterrupt):
        result = asyncio.run(
            _run_until_signal(Demo(folder=target, seed=int(seed), seconds=float(seconds)))
        )
        text = demo_summary.render(result, folder=target)
        print(text)
        (target / "summary.txt").write_text(text + "\n", encoding="utf-8")
        sys.exit(0 if result.has_kept_promises else EXIT_BROKEN)
    print("demo: interrupted; all processes have ended", file=sys.stderr)
    sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    fire.Fire(main)
