"""Progress display of the demo: progress bars on a terminal, plain lines elsewhere."""

import asyncio
import time
from collections import Counter
from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from wasabilb_standins.callers import Callers
from wasabilb_standins.fleet import LocalFleet

INTERVAL_S = 0.5
# Interval of the lines that replace the bars without a terminal.
LINE_INTERVAL_S = 3.0


class DemoProgress:
    """Display of the progress of the rollout and of the live requests.

    Parameters
    ----------
    fleet : LocalFleet
        Fleet whose engines and store are displayed.
    version : str
        Version that is rolled out.
    """

    def __init__(self, *, fleet: LocalFleet, version: str) -> None:
        self._fleet = fleet
        self._version = version
        self._started = time.monotonic()
        self._console = Console(highlight=False)
        columns = (TextColumn("{task.description:10}"), BarColumn(), TextColumn("{task.fields[t]}"))
        self._bars = Progress(*columns, console=self._console, transient=True)
        size = self._fleet.store.settings.size
        runners = self._fleet.runners
        self._weights_bars = {
            h.name: self._bars.add_task(h.name, total=size, t=h.region) for h in runners
        }
        self._requests_bar = self._bars.add_task("requests", total=None, t="")

    def __enter__(self) -> "DemoProgress":
        if self._console.is_terminal:
            self._bars.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._bars.stop()

    def print_line(self, text: str) -> None:
        """Print one line with the time since the start."""
        line = f"{time.monotonic() - self._started:5.1f} s  {text}"
        # Without a flush, lines to a file or a pipe would be delayed.
        self._console.print(line, soft_wrap=True)
        self._console.file.flush()

    async def run(self, callers: Callers) -> None:
        """Update the display until cancelled."""
        printed_at, last_text = time.monotonic(), ""
        while True:
            counts = Counter(rec.verdict for rec in callers.records)
            line = ", ".join(f"{counts[name]} {name}" for name in ("whole", "refused", "broken"))
            self._bars.update(self._requests_bar, t=line)
            loaded = self._update_weights()
            text = f"new version on {loaded} of {len(self._weights_bars)} runners; requests: {line}"
            is_due = time.monotonic() - printed_at >= LINE_INTERVAL_S
            if not self._console.is_terminal and is_due and text != last_text:
                printed_at, last_text = time.monotonic(), text
                self.print_line(text)
            await asyncio.sleep(INTERVAL_S)

    def _update_weights(self) -> int:
        """Show the bytes that each engine holds; return how many serve the new version."""
        loaded = 0
        for host in self._fleet.runners:
            if host.engine is None:
                continue
            variant = host.engine.deployments.serving(self._fleet.shape.model, "")
            is_new = variant is not None and variant.version == self._version
            loaded += is_new
            held_bytes = int(host.engine.weights.to_json()["bytes"])
            status = f"{host.region}, serves {variant.version if variant else 'nothing'}"
            self._bars.update(self._weights_bars[host.name], completed=held_bytes, t=status)
        return loaded
