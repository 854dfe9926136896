"""Merged timeline and drill report of a local fleet, written by the operators' commands."""

import asyncio
import shutil
import subprocess
import sys
import xml.etree.ElementTree
from pathlib import Path
from typing import Any

from wasabilb_standins.fleet import LocalFleet

BROWSER = "chromium"
COMMAND_TIMEOUT_S = 20.0


async def write_reports(*, fleet: LocalFleet, folder: Path, ticket: int) -> None:
    """Write `timeline.txt`, `drill-N.html` and `drill-N.txt` into a folder.

    Raises
    ------
    RuntimeError
        If a command fails.
    xml.etree.ElementTree.ParseError
        If the page is malformed.
    """
    logs = [str(fleet.folder / f"{name}.log") for name in fleet.hosts]
    command = [sys.executable, "-m", "wasabilb_entry"]
    with (folder / "timeline.txt").open("wb") as out:
        await _run([*command, "timeline", *logs], stdout=out)
    options = [f"--ticket={ticket}", f"--status={fleet.entry_hosts[0].admin}", f"--out={folder}"]
    await _run([*command, "drill", *logs, *options], stdout=subprocess.DEVNULL)
    await _check_report_page(folder / f"drill-{ticket}.html")


async def _check_report_page(path: Path) -> None:
    """Check that the page is well formed; take a screenshot if a browser is installed."""
    page = path.read_text(encoding="utf-8")
    xml.etree.ElementTree.fromstring(page[page.index("<body>") : page.index("</html>")])
    browser = shutil.which(BROWSER)
    if browser:
        screenshot = f"--screenshot={path.with_suffix('.png').resolve()}"
        options = ["--headless", "--disable-gpu", "--window-size=820,1400", screenshot]
        try:
            await _run([browser, *options, path.resolve().as_uri()], stdout=subprocess.DEVNULL)
        except (RuntimeError, TimeoutError) as exc:
            # A browser may refuse to start, for example as root; the page is already checked.
            print(f"no picture of the report: {exc}")


async def _run(command: list[str], *, stdout: Any) -> None:
    process = await asyncio.create_subprocess_exec(*command, stdout=stdout)
    try:
        status = await asyncio.wait_for(process.wait(), COMMAND_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if status:
        raise RuntimeError(f"{' '.join(command[:4])} ended with status {status}")
