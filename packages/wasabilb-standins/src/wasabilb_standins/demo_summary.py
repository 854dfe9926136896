"""Results of the demo and the text of its summary."""

from pathlib import Path

from attrs import frozen

from wasabilb_standins.call_records import CallRecord, percentiles
from wasabilb_standins.promises import FleetRecord, Violation

# Targets from section 2 of the design.
MAX_RATIO = 1.15
MAX_ORIGIN_COPIES = 1.2
MAX_IN_FORCE_S = 7.0
MAX_LATENCY_RATIO = 1.2
MAX_SHOWN_VIOLATIONS = 20


@frozen(kw_only=True)
class DemoResult:
    """Results of the demo; `ready_at` has the seconds after ticket 2 by runner.

    Parameters
    ----------
    lower_bound_s : float
        Minimum time that the links need to bring the version to all runners.
    origin_copies : float
        Bytes read from the store for ticket 2, in copies of the version.
    republished : int
        Order of ticket 2 as it was published again after a restore of the configuration service.
    """

    record: FleetRecord
    violations: tuple[Violation, ...]
    ready_at: dict[str, float]
    runners: int
    origin_copies: float
    lower_bound_s: float
    republished: int
    seed: int

    @property
    def wrong_count(self) -> int:
        """Return the number of answers that differ from the engine's answer for their version."""
        return sum(rec.is_match is False for rec in self.record.calls)

    @property
    def broken_count(self) -> int:
        """Return the number of answers that were cut off or missing."""
        return sum(rec.verdict == "broken" for rec in self.record.calls)

    @property
    def is_complete(self) -> bool:
        """Return whether all runners serve the new version."""
        return len(self.ready_at) == self.runners

    @property
    def unexplained_count(self) -> int:
        """Return the number of calls with outcome unknown, except bookings with own keys.

        A host may answer so if it cannot determine whether a caller's own key was used before. No
        fault in the demo makes the outcome of any other call unknown.
        """
        refused = [rec for rec in self.record.calls if rec.verdict == "refused"]
        return sum(rec.outcome != "not-run" and rec.kind != "booking" for rec in refused)

    @property
    def has_kept_promises(self) -> bool:
        """Return whether every promise was kept."""
        faults = (
            len(self.violations) + self.broken_count + self.wrong_count + self.unexplained_count
        )
        return not faults and self.is_complete

    def in_force_s(self, order: int) -> tuple[float | None, int]:
        """Return the seconds until the last process held a ticket, and the number of processes."""
        first_held_at: dict[str, float] = {}
        for sighting in sorted(self.record.sightings, key=lambda s: s.at):
            if sighting.newest >= order:
                first_held_at.setdefault(sighting.process, sighting.at)
        duration_s = (
            max(first_held_at.values()) - self.record.published[order] if first_held_at else None
        )
        return duration_s, len(first_held_at)


def render(result: DemoResult, *, folder: Path) -> str:
    """Return the summary as text."""
    lines = ["", f"Demo, seed {result.seed}", *_rollout_lines(result), "", *_live_lines(result), ""]
    if result.violations:
        shown = result.violations[:MAX_SHOWN_VIOLATIONS]
        lines += [f"  promise {v.promise} broken: {v.detail}" for v in shown]
        more = len(result.violations) - len(shown)
        lines += [f"  and {more} more"] if more else []
    kept = "Every promise held." if result.has_kept_promises else "NOT every promise held."
    reports = f"{folder}/drill-2.html, {folder}/drill-2.txt, {folder}/timeline.txt"
    return "\n".join([*lines, kept, f"Reports: {reports}"])


def _rollout_lines(result: DemoResult) -> list[str]:
    lines = [
        _row(title, _in_force_text(result, order), f"at most {MAX_IN_FORCE_S:.0f} s")
        for title, order in (
            ("ticket 2 in force after", 2),
            ("published again after a restore", result.republished),
        )
    ]
    if result.is_complete:
        all_s = max(result.ready_at.values())
        lines += [
            _row(f"all {result.runners} replicas after", f"{all_s:.2f} s", ""),
            _row(
                "ratio to the links' lower bound",
                f"{all_s / result.lower_bound_s:.2f} (bound {result.lower_bound_s:.2f} s)",
                f"at most {MAX_RATIO}",
            ),
        ]
    else:
        found = f"{len(result.ready_at)} of {result.runners}"
        lines.append(_row("replicas with the new version", found, str(result.runners)))
    copies = f"{result.origin_copies:.2f} copies"
    return [*lines, _row("read from the origin", copies, f"at most {MAX_ORIGIN_COPIES}")]


def _in_force_text(result: DemoResult, order: int) -> str:
    in_force, process_count = result.in_force_s(order)
    if in_force is None:
        return "never"
    return f"{in_force:.2f} s on {process_count} processes"


def _live_lines(result: DemoResult) -> list[str]:
    calls = result.record.calls
    refused = [rec for rec in calls if rec.verdict == "refused"]
    not_run = sum(rec.outcome == "not-run" for rec in refused)
    unknown = len(refused) - not_run
    duplicates = sum(violation.promise == 4 for violation in result.violations)
    whole = sum(rec.verdict == "whole" for rec in calls)
    before, during = _short_latencies(result)
    return [
        _row("requests sent", str(len(calls)), ""),
        _row("answered whole", str(whole), ""),
        _row("refused as not run", str(not_run), ""),
        _row(
            "refused as unknown, own keys", str(unknown - result.unexplained_count), "no duplicate"
        ),
        _row("refused as unknown, others", str(result.unexplained_count), "0"),
        _row("broken", str(result.broken_count), "0"),
        _row("wrong content", str(result.wrong_count), "0"),
        _row("duplicate executions", str(duplicates), "0"),
        _row("short requests before, p50 / p99", _format_latencies(before), ""),
        _row(
            "short requests during, p50 / p99",
            _format_latencies(during),
            _format_latency_target(before),
        ),
    ]


def _short_latencies(result: DemoResult) -> tuple[dict[str, float], dict[str, float]]:
    """Return latency percentiles of short requests before and during the rollout."""
    published = result.record.published[2]
    rollout_end = published + max(result.ready_at.values(), default=float("inf"))

    def latency_percentiles(calls: list[CallRecord]) -> dict[str, float]:
        return percentiles([rec.end - rec.start for rec in calls]) if calls else {}

    kinds = ("short", "chat")
    short = [rec for rec in result.record.calls if rec.kind in kinds and rec.verdict == "whole"]
    return (
        latency_percentiles([rec for rec in short if rec.end < published]),
        latency_percentiles(
            [rec for rec in short if rec.end >= published and rec.start <= rollout_end]
        ),
    )


def _format_latencies(found: dict[str, float]) -> str:
    if not found:
        return "none"
    return f"{found['p50'] * 1000:.0f} ms / {found['p99'] * 1000:.0f} ms"


def _format_latency_target(before: dict[str, float]) -> str:
    if not before:
        return ""
    return f"p99 at most {before['p99'] * 1000 * MAX_LATENCY_RATIO:.0f} ms"


def _row(name: str, value: str, target: str) -> str:
    return f"  {name:34} {value:28} {'target: ' + target if target else ''}".rstrip()
