"""Check that events and their fields in the code are in the table of events."""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

from wasabilb_core.events import COMMON_FIELDS, EVENTS, is_secret_field

SHIPPED = ("core", "wire", "node", "entry", "agent")


def event_calls(tree: ast.AST) -> Iterator[ast.Call]:
    """Yield the calls of methods named `event`."""
    for node in ast.walk(tree):
        is_method = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
        if is_method and node.func.attr == "event":
            yield node


def call_problems(call: ast.Call) -> Iterator[str]:
    """Yield the problems of one call."""
    name = call.args[0].value if call.args and isinstance(call.args[0], ast.Constant) else None
    if not isinstance(name, str):
        yield "the name of an event must be a string literal, so that it can be found in the code"
        return
    if name not in EVENTS:
        yield f"event {name!r} is not in wasabilb_core/events.py"
        return
    for keyword in call.keywords:
        if keyword.arg not in (None, "level", *EVENTS[name].fields):
            yield f"event {name!r} has no field {keyword.arg!r} in wasabilb_core/events.py"


def table_problems() -> Iterator[str]:
    """Yield the problems of the table itself."""
    for name, spec in EVENTS.items():
        for field in spec.fields:
            if field in COMMON_FIELDS:
                yield f"wasabilb_core/events.py: {name}: {field} is a common field"
            if is_secret_field(field):
                yield f"wasabilb_core/events.py: {name}: {field} may hold a secret"


def problems(root: Path) -> list[str]:
    """Return one line for each problem of the shipped packages and the table."""
    all_problems = list(table_problems())
    for package in SHIPPED:
        for path in sorted(root.glob(f"packages/wasabilb-{package}/src/**/*.py")):
            for call in event_calls(ast.parse(path.read_text(encoding="utf-8"))):
                location = f"{path.relative_to(root)}:{call.lineno}"
                all_problems.extend(f"{location}: {message}" for message in call_problems(call))
    return all_problems


def main() -> int:
    """Print all problems and return the exit status."""
    all_problems = problems(Path(__file__).resolve().parent.parent)
    print("\n".join(all_problems) if all_problems else "events: code and table agree")
    return 1 if all_problems else 0


if __name__ == "__main__":
    sys.exit(main())
