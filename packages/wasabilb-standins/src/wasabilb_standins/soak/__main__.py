"""`python -m wasabilb_standins.soak --seeds 1-50 --minutes 0.5 [--folder DIR]`."""

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

import fire

from wasabilb_standins.soak._report import SoakResult, to_json, to_text
from wasabilb_standins.soak._run import run

EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130
MAX_MINUTES = 60.0


def read_seeds(text: str) -> list[int]:
    """Return the seeds of `7`, `1,5` or `1-50`."""
    seeds: list[int] = []
    for part in text.replace("(", "").replace(")", "").replace(" ", "").split(","):
        low, _, high = part.partition("-")
        seeds += range(int(low), int(high or low) + 1)
    return seeds


def _prepared(folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("*.toml", "*.log", "*.err"):
        for old in folder.glob(name):
            old.unlink()
    return folder


async def _run_until_signal(seed: int, seconds: float, folder: Path, **size: int) -> SoakResult:
    # SIGTERM ends the run as an interrupt does, so that no process is left behind.
    task = asyncio.ensure_future(run(seed=seed, seconds=seconds, folder=folder, **size))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def _runs(seeds: list[int], seconds: float, folder: Path, **size: int) -> Iterator[SoakResult]:
    for seed in seeds:
        place = _prepared(folder / f"seed-{seed}")
        result = asyncio.run(_run_until_signal(seed, seconds, place, **size))
        (place / "report.txt").write_text(to_text(result), encoding="utf-8")
        (place / "report.json").write_text(json.dumps(to_json(result), indent=1), encoding="utf-8")
        print(to_text(result), end="", flush=True)
        yield result


def main(
    seeds: str = "1",
    minutes: float = 0.5,
    folder: str = "out/soak",
    entries: int = 3,
    runners: int = 4,
) -> None:
    """Run the soak and exit with 0 when every promise held, 1 when one did not.

    Parameters
    ----------
    seeds : str
        Seeds to run one after the other: `7`, `1,5` or `1-50`.
    minutes : float
        Time of each seed within which faults are injected.
    folder : str
        Directory for settings, logs and reports, one folder for each seed.
    entries, runners : int
        Numbers of processes; three more serve plain services.
    """
    try:
        wanted = read_seeds(str(seeds))
        seconds = 60.0 * float(minutes)
        if not 0 < seconds <= 60.0 * MAX_MINUTES or min(entries, runners) < 2:
            raise ValueError("out of range")
    except ValueError:
        print("soak: expected --seeds 1-50, --minutes up to 60, 2 entries and runners or more")
        sys.exit(EXIT_USAGE)
    with contextlib.suppress(asyncio.CancelledError, KeyboardInterrupt):
        size = {"entries": entries, "runners": runners}
        results = list(_runs(wanted, seconds, Path(str(folder)), **size))
        failed = [str(result.seed) for result in results if result.violations]
        print(f"soak: {len(results)} seeds, failed: {', '.join(failed) or 'none'}")
        sys.exit(EXIT_BROKEN if failed else 0)
    print("soak: interrupted; all processes have ended", file=sys.stderr)
    sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    fire.Fire(main)
