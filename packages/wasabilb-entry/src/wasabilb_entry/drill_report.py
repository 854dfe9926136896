"""The report of a drill: a text summary and a page with pictures."""

import sys
from collections.abc import Iterable
from pathlib import Path

from attrs import frozen
from jinja2 import Environment, PackageLoader
from returns.result import Failure
from wasabilb_core.status import Status
from wasabilb_node.commands import EXIT_FAILED, CommandError
from wasabilb_node.logs import iso_time

from wasabilb_entry.drill import Drill, analyse
from wasabilb_entry.drill_phases import Latency, LiveOutcome, Phase
from wasabilb_entry.timeline import read_logs

# Size of a picture in SVG units.
WIDTH, HEIGHT = 720, 160
# Parts of the time axis.
AXIS_PARTS = 6


@frozen(kw_only=True)
class Bar:
    """One rectangle of a picture."""

    x: float
    y: float
    width: float
    height: float
    kind: str


def write_drill(paths: list[str], *, ticket: str, address: str, out: str) -> int:
    """Write the report of one ticket to a directory or print its text; return the exit status.

    The report is written without the current state when `address` does not answer.

    Raises
    ------
    CommandError
        When the logs do not hold the ticket, or a file or an address cannot be used.
    """
    if not (ticket.isascii() and ticket.isdigit()):
        raise CommandError(f"--ticket: expected a number, got {ticket!r}")
    drill = analyse(read_logs(paths), str(int(ticket)))
    if drill is None:
        raise CommandError(f"--ticket: no `ticket_accepted` of {ticket} in {', '.join(paths)}")
    status = _read_status(address) if address else None
    exit_status = EXIT_FAILED if address and status is None else 0
    text = render_text(drill, status)
    if not out:
        print(text)
        return exit_status
    folder = Path(out)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, content in (("txt", text + "\n"), ("html", render_html(drill, status))):
            path = folder / f"drill-{drill.ticket}.{name}"
            path.write_text(content, encoding="utf-8")
            print(path)
    except OSError as exc:
        raise CommandError(f"--out: {exc.filename}: {exc.strerror or exc}") from None
    return exit_status


def render_text(drill: Drill, status: Status | None) -> str:
    """Return the text summary."""
    template = _environment().get_template("drill.txt")
    return template.render(drill=drill, status=status, headline=headline(drill)).rstrip()


def render_html(drill: Drill, status: Status | None) -> str:
    """Return the page; it needs no other file and runs no script."""
    return (
        _environment()
        .get_template("drill.html")
        .render(
            drill=drill,
            status=status,
            headline=headline(drill),
            width=WIDTH,
            height=HEIGHT,
            ready_points=_ready_points(drill),
            latency_lines=_latency_lines(drill),
            served_bars=_served_bars(drill),
            ticks=_axis_ticks(drill),
            marks=[_to_x(drill, phase.from_s) for phase in drill.phases[1:]],
        )
    )


def headline(drill: Drill) -> str:
    """Return the summary of the rollout in one sentence."""
    during = drill.phases[1]
    requests = sum(during.served.values())
    whole = during.served[LiveOutcome.WHOLE]
    live = f"{whole} of {requests} live requests were served whole meanwhile"
    live += f", {during.served[LiveOutcome.BROKEN]} broke"
    if not drill.hosts:
        return f"Ticket {drill.ticket} rolled out no version; {live}."
    count = f"{len(drill.ready)} of {len(drill.hosts)} hosts held the new version"
    when = f"after {during.to_s:.1f} s" if drill.is_complete else "by the end of the logs"
    return f"{count} {when}; {live}."


def _environment() -> Environment:
    # Host and account names come from logs, so the page escapes them.
    environment = Environment(
        loader=PackageLoader("wasabilb_entry"),
        autoescape=lambda name: bool(name and name.endswith(".html")),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
    )
    environment.filters["seconds"] = lambda value: "-" if value is None else f"{value:.1f} s"
    environment.filters["ms"] = lambda value: "-" if value is None else f"{value:.1f} ms"
    environment.filters["size"] = _format_size
    environment.filters["time"] = lambda value: iso_time(value / 1000)
    return environment


def _format_size(value: int) -> str:
    number = float(value)
    for unit in ("B", "KiB", "MiB", "GiB"):
        if number < 1024:
            return f"{number:.0f} {unit}" if unit == "B" else f"{number:.1f} {unit}"
        number /= 1024
    return f"{number:.1f} TiB"


def _to_x(drill: Drill, at_s: float) -> float:
    first, last = drill.buckets[0].from_s, drill.buckets[-1].to_s
    return round((at_s - first) / (last - first) * WIDTH, 1)


def _axis_ticks(drill: Drill) -> list[tuple[float, str]]:
    """Return positions and labels of the time axis, in seconds after the ticket."""
    first, last = drill.buckets[0].from_s, drill.buckets[-1].to_s
    times_s = [(last - first) * index / AXIS_PARTS + first for index in range(1, AXIS_PARTS)]
    return [(_to_x(drill, at_s), f"{at_s:+.0f} s") for at_s in times_s]


def _ready_points(drill: Drill) -> str:
    """Return the step line of the number of hosts that hold the new version."""
    points, height = [(0.0, float(HEIGHT))], float(HEIGHT)
    for number, host in enumerate(drill.ready, start=1):
        x = _to_x(drill, host.ready_s or 0.0)
        points.append((x, height))
        height = round(HEIGHT * (1 - number / len(drill.hosts)), 1)
        points.append((x, height))
    points.append((float(WIDTH), height))
    return _to_svg_points(points)


def _latency_lines(drill: Drill) -> list[tuple[str, str, float]]:
    """Return class, points and highest value of the lines of the time to the first byte."""
    measured = [bucket for bucket in drill.buckets if bucket.first_byte.p99_ms is not None]
    top = max((bucket.first_byte.p99_ms or 0.0 for bucket in measured), default=0.0) or 1.0

    def to_line(name: str) -> str:
        return _to_svg_points(
            (_to_x(drill, _middle(bucket)), HEIGHT * (1 - _value_ms(bucket.first_byte, name) / top))
            for bucket in measured
        )

    return [("p50", to_line("p50"), top), ("p99", to_line("p99"), top)]


def _served_bars(drill: Drill) -> list[Bar]:
    """Return the stacked bars of live requests over time."""
    top = max(max(sum(bucket.served.values()) for bucket in drill.buckets), 1)
    bars, width = [], WIDTH / len(drill.buckets)
    for index, bucket in enumerate(drill.buckets):
        y = float(HEIGHT)
        for kind, count in bucket.served.items():
            height = HEIGHT * count / top
            y -= height
            if count:
                bars.append(
                    Bar(
                        x=round(index * width, 1),
                        y=round(y, 1),
                        width=round(width - 1, 1),
                        height=round(height, 1),
                        kind=kind.value,
                    )
                )
    return bars


def _middle(bucket: Phase) -> float:
    return (bucket.from_s + bucket.to_s) / 2


def _value_ms(latency: Latency, name: str) -> float:
    return (latency.p50_ms if name == "p50" else latency.p99_ms) or 0.0


def _to_svg_points(points: Iterable[tuple[float, float]]) -> str:
    return " ".join(f"{x:.1f},{y:.1f}" for x, y in points)


def _read_status(address: str) -> Status | None:
    from wasabilb_entry.status import read_statuses

    result = read_statuses([address])[0].result
    if isinstance(result, Failure):
        print(f"--status: {address}: {result.failure()}", file=sys.stderr)
        return None
    return result.unwrap()
