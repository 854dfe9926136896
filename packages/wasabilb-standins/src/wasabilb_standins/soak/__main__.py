"""Command of the soak test: `python -m wasabilb_standins.soak --seeds 1-50 --minutes 0.5`."""

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import fire

from wasabilb_standins.soak._plan import read_plan
from wasabilb_standins.soak._report import SoakResult, to_json, to_text
from wasabilb_standins.soak._run import run_plan, run_seed

EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130
MAX_MINUTES = 60.0


def read_seeds(text: str) -> list[int]:
    """Return the seeds of `7`, `1,5` or `1-50`."""
    seeds: list[int] = []
    for part in text.replace("(", "").replace(")", "").replace(" ", "").split(","):
        low, _, high = part.partition("-")
        seeds += range(int(low), int(high or low) + 1)
    return seeds


def _prepare_folder(folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("*.toml", "*.log", "*.err"):
        for old in folder.glob(name):
            old.unlink()
    return folder


async def _run_until_signal(run_coroutine: Coroutine[Any, Any, SoakResult]) -> SoakResult:
    # SIGTERM ends the run like an interrupt, so that no process is left running.
    task = asyncio.ensure_future(run_coroutine)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def _write_report(result: SoakResult, folder: Path) -> None:
    (folder / "report.txt").write_text(to_text(result), encoding="utf-8")
    (folder / "report.json").write_text(json.dumps(to_json(result), indent=1), encoding="utf-8")
    (folder / "plan.txt").write_text(result.plan.to_text(), encoding="utf-8")
    print(to_text(result), end="", flush=True)


def _run_all(
    seeds: list[int], plans: list[Path], seconds: float, folder: Path, size: dict[str, int]
) -> Iterator[tuple[str, bool]]:
    """Run all seeds, then all plans; yield the name of each and whether it kept the promises."""
    for seed in seeds:
        run_folder = _prepare_folder(folder / f"seed-{seed}")
        run_coroutine = run_seed(seed=seed, seconds=seconds, folder=run_folder, **size)
        result = asyncio.run(_run_until_signal(run_coroutine))
        _write_report(result, run_folder)
        yield str(seed), not result.violations
    for path in plans:
        run_folder = _prepare_folder(folder / path.stem)
        run_coroutine = run_plan(plan=read_plan(path), folder=run_folder, **size)
        result = asyncio.run(_run_until_signal(run_coroutine))
        _write_report(result, run_folder)
        yield path.name, not result.violations


def main(
    seeds: str = "",
    minutes: float = 0.5,
    plans: str = "",
    folder: str = "out/soak",
    entries: int = 3,
    runners: int = 4,
) -> None:
    """Run the soak and exit with 0 if every promise was kept, else with 1.

    Parameters
    ----------
    seeds : str
        Seeds to run in sequence: `7`, `1,5` or `1-50`.
    minutes : float
        Time per seed during which faults are injected.
    plans : str
        Plan file, or directory of plan files, to run after the seeds.
    folder : str
        Directory for settings, logs and reports, with one folder per run.
    entries, runners : int
        Numbers of processes; three more serve plain services.
    """
    try:
        seed_list = read_seeds(str(seeds)) if seeds else []
        seconds = 60.0 * float(minutes)
        if not 0 < seconds <= 60.0 * MAX_MINUTES or min(entries, runners) < 2:
            raise ValueError("out of range")
    except ValueError:
        print("soak: expected --seeds 1-50, --minutes up to 60, 2 entries and runners or more")
        sys.exit(EXIT_USAGE)
    plan_path = Path(plans)
    plan_files = sorted(plan_path.glob("*.txt")) if plan_path.is_dir() else [plan_path]
    size = {"entries": entries, "runners": runners}
    with contextlib.suppress(asyncio.CancelledError, KeyboardInterrupt):
        results = list(
            _run_all(seed_list, plan_files if plans else [], seconds, Path(str(folder)), size)
        )
        failed = [name for name, is_kept in results if not is_kept]
        print(f"soak: {len(results)} runs, failed: {', '.join(failed) or 'none'}")
        sys.exit(EXIT_BROKEN if failed else 0)
    print("soak: interrupted; all processes have ended", file=sys.stderr)
    sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    fire.Fire(main)
