"""Check that imports between packages follow their layering."""

import ast
import sys
from pathlib import Path

ALLOWED_IMPORTS: dict[str, frozenset[str]] = {
    "wasabilb_core": frozenset(),
    "wasabilb_wire": frozenset({"wasabilb_core"}),
    "wasabilb_node": frozenset({"wasabilb_core", "wasabilb_wire"}),
    "wasabilb_entry": frozenset({"wasabilb_core", "wasabilb_wire", "wasabilb_node"}),
    "wasabilb_agent": frozenset({"wasabilb_core", "wasabilb_wire", "wasabilb_node"}),
    "wasabilb_standins": frozenset({"wasabilb_core"}),
}
# The core takes time and randomness as arguments and performs no I/O.
CORE_FORBIDDEN = frozenset(
    {"asyncio", "socket", "tornado", "capnp", "time", "os", "subprocess", "threading", "logging"}
)


def imported_roots(tree: ast.AST) -> list[tuple[int, str]]:
    """Return the line and top-level module of each import in a module."""
    roots: list[tuple[int, str]] = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            roots.extend((node.lineno, alias.name.split(".")[0]) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            roots.append((node.lineno, node.module.split(".")[0]))
    return roots


def violations(root: Path) -> list[str]:
    """Return one line for each import that violates the layering."""
    problems: list[str] = []
    for package, allowed in ALLOWED_IMPORTS.items():
        for path in sorted(root.glob(f"packages/*/src/{package}/**/*.py")):
            for line, name in imported_roots(ast.parse(path.read_text(encoding="utf-8"))):
                is_layer_violation = (
                    name in ALLOWED_IMPORTS and name != package and name not in allowed
                )
                is_forbidden_in_core = package == "wasabilb_core" and name in CORE_FORBIDDEN
                if is_layer_violation or is_forbidden_in_core:
                    problems.append(f"{path.relative_to(root)}:{line}: {package} imports {name}")
    return problems


def main() -> int:
    """Print all violations and return the exit status."""
    problems = violations(Path(__file__).resolve().parent.parent)
    print("\n".join(problems) if problems else "imports: layering holds")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
