"""Check the fault matrix: every cell has a scenario, a reason, or a line about what is open.

`--results FILE` compares the scenarios with behave's JSON output, `--features` prints the feature
files to run, and `--write` updates the Markdown view.
"""

import argparse
import itertools
import json
import re
import sys
import tomllib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import field, frozen

ROOT = Path(__file__).resolve().parent.parent
TABLE = "docs/fault-matrix.toml"
VIEW = "docs/fault-matrix.md"
KINDS = ("scenario", "none", "open")
# behave appends the number of the example to the title of an outline's scenario.
_EXAMPLE = re.compile(r" -- @\d+\.\d+.*$")
_PLACEHOLDER = re.compile(r"<(\w+)>")


@frozen(kw_only=True)
class Cell:
    """One fault, or pair of faults, at one step; `text` is the scenario, reason or line."""

    flow: str
    step: str
    fault: str
    kind: str
    text: str

    @property
    def name(self) -> str:
        """Return the cell's position in the table."""
        return f"{self.flow} / {self.step} / {self.fault}"


@frozen(kw_only=True)
class Matrix:
    """Cells, and problems of the table itself."""

    cells: tuple[Cell, ...]
    problems: list[str] = field(factory=list)


def read_matrix(table: dict[str, Any]) -> Matrix:
    """Expand the entries of the table into cells."""
    expected = {
        (flow, step, fault)
        for flow, steps in table["flows"].items()
        for step in steps
        for fault in table["faults"]
    }
    cells: dict[tuple[str, str, str], Cell] = {}
    problems = []
    for entry in table["cells"]:
        given_kinds = [kind for kind in KINDS if str(entry.get(kind, "")).strip()]
        steps = entry.get("steps", table["flows"].get(entry["flow"], ()))
        for position in itertools.product([entry["flow"]], steps, entry["faults"]):
            if position not in expected or position in cells:
                problem = "is given twice" if position in cells else "is no cell of the table"
                problems.append(f"{' / '.join(position)}: {problem}")
            if len(given_kinds) != 1:
                problems.append(f"{' / '.join(position)}: needs exactly one of {', '.join(KINDS)}")
            kind = given_kinds[0] if given_kinds else "open"
            cells[position] = to_cell(position, kind, entry.get(kind, ""))
    problems += [
        f"{' / '.join(position)}: has no entry" for position in sorted(expected - set(cells))
    ]
    pair_cells = []
    for pair in table.get("pairs", ()):
        given_kinds = [kind for kind in KINDS if str(pair.get(kind, "")).strip()]
        position = ("pairs", pair["step"], " + ".join(pair["faults"]))
        if len(given_kinds) != 1 or not set(pair["faults"]) <= set(table["faults"]):
            problems.append(f"{' / '.join(position)}: needs one verdict and known faults")
            continue
        pair_cells.append(to_cell(position, given_kinds[0], pair[given_kinds[0]]))
    flows, faults = list(table["flows"]), list(table["faults"])
    ordered_cells = [
        cells[position]
        for flow in flows
        for position in itertools.product([flow], table["flows"][flow], faults)
        if position in cells
    ]
    return Matrix(cells=(*ordered_cells, *pair_cells), problems=problems)


def to_cell(position: tuple[str, str, str], kind: str, text: str) -> Cell:
    """Return a cell; replace {step} and {fault} in its text."""
    flow, step, fault = position
    text = text.replace("{step}", step).replace("{fault}", fault)
    return Cell(flow=flow, step=step, fault=fault, kind=kind, text=text)


def scenarios_in(path: Path) -> Iterator[str]:
    """Yield the scenario titles of a feature file, with one title per example of an outline."""
    title, is_outline, header = "", False, []
    for raw in path.read_text(encoding="utf-8").splitlines():
        line = raw.strip()
        if line.startswith("Scenario"):
            title = line.partition(":")[2].strip()
            is_outline, header = line.startswith("Scenario Outline"), []
            if not is_outline:
                yield title
        elif line.startswith("Examples"):
            header = []
        elif is_outline and line.startswith("|"):
            row = [cell.strip() for cell in line.strip("|").split("|")]
            if header:
                values = dict(zip(header, row, strict=True))
                yield _PLACEHOLDER.sub(lambda m: values.get(m[1], m[0]), title)  # noqa: B023
            header = header or row


def missing_scenarios(matrix: Matrix, root: Path) -> list[str]:
    """Return a line for each cell whose scenario does not exist."""
    titles: dict[str, set[str]] = {}
    problems = []
    for cell in matrix.cells:
        if cell.kind != "scenario":
            continue
        name, _, title = cell.text.partition(": ")
        path = root / "features" / name
        if name not in titles:
            titles[name] = set(scenarios_in(path)) if path.is_file() else set()
        if title not in titles[name]:
            problems.append(f"{cell.name}: no scenario {title!r} in features/{name}")
    return problems


def scenario_statuses(results: list[dict[str, Any]]) -> dict[str, str]:
    """Return the worst status of each scenario in behave's JSON output."""
    status_by_scenario: dict[str, str] = {}
    for feature in results:
        name = Path(str(feature["location"]).rpartition(":")[0]).name
        for element in feature.get("elements", ()):
            if element["type"] != "scenario":
                continue
            key = f"{name}: {_EXAMPLE.sub('', element['name'])}"
            if status_by_scenario.get(key, "passed") == "passed":
                status_by_scenario[key] = element["status"]
    return status_by_scenario


def unpassed_scenarios(matrix: Matrix, status_by_scenario: dict[str, str]) -> list[str]:
    """Return a line for each cell whose scenario did not run and pass."""
    return [
        f"{cell.name}: {cell.text!r} is {status_by_scenario.get(cell.text, 'not run')}"
        for cell in matrix.cells
        if cell.kind == "scenario" and status_by_scenario.get(cell.text) != "passed"
    ]


def to_view(table: dict[str, Any], matrix: Matrix) -> str:
    """Return the Markdown view."""
    lines = ["# Fault matrix", "", f"Generated from `{TABLE}` by `tools/check_matrix.py --write`."]
    lines += ["", "Faults:", ""]
    lines += [f"* `{name}`: {text}" for name, text in table["faults"].items()]
    for flow, group in itertools.groupby(matrix.cells, key=lambda cell: cell.flow):
        lines += [
            "",
            f"## {flow}",
            "",
            "| step | fault | kind | scenario, reason or what is open |",
        ]
        lines.append("|---|---|---|---|")
        lines += [f"| {c.step} | {c.fault} | {c.kind} | {c.text} |" for c in group]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Check, print totals, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--results", type=Path, help="behave's JSON output")
    parser.add_argument("--features", action="store_true", help="print the files to run")
    parser.add_argument("--write", action="store_true", help="renew the Markdown view")
    args = parser.parse_args()
    table = tomllib.loads((ROOT / TABLE).read_text(encoding="utf-8"))
    matrix = read_matrix(table)
    named = {cell.text for cell in matrix.cells if cell.kind == "scenario"}
    if args.features:
        print(*sorted({f"features/{text.partition(':')[0]}" for text in named}))
        return 0
    view = to_view(table, matrix)
    if args.write:
        (ROOT / VIEW).write_text(view, encoding="utf-8")
    problems = matrix.problems + missing_scenarios(matrix, ROOT)
    if not (ROOT / VIEW).is_file() or (ROOT / VIEW).read_text(encoding="utf-8") != view:
        problems.append(f"{VIEW} is out of date; renew it with --write")
    if args.results is not None:
        problems += unpassed_scenarios(
            matrix, scenario_statuses(json.loads(args.results.read_text()))
        )
    print("\n".join(problems) if problems else "matrix: every cell has its entry")
    totals = Counter(cell.kind for cell in matrix.cells)
    counts = ", ".join(f"{kind} {totals[kind]}" for kind in KINDS)
    run = "run" if args.results is not None else "named"
    print(f"cells {len(matrix.cells)}: {counts}; scenarios {run} {len(named)}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
