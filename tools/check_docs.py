"""Check that tables and examples of the pages match the code; `--write` updates the tables.

A page holds a generated block between `<!-- generated: NAME -->` and `<!-- end -->`. Fenced TOML
examples must be valid tickets or settings. The operations pages must list every metric and event,
and each relative link must lead to a file.
"""

import inspect
import json
import re
import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import attrs
from returns.result import Failure
from wasabilb_core import status, tickets
from wasabilb_core.errors import ERROR_ANSWERS
from wasabilb_core.events import COMMON_FIELDS, EVENTS
from wasabilb_core.metric_names import METRICS
from wasabilb_core.registry import Registry
from wasabilb_core.settings import AgentSettings, EntrySettings, parse_settings, sections_of
from wasabilb_core.toml_check import read_toml
from wasabilb_entry.check import kind_of
from wasabilb_entry.cli import PROGRAM
from wasabilb_node.commands import command_help

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("settings", "tickets", "api")
BLOCKS: Registry[str] = Registry(kind="generated block")
_BLOCK = re.compile(r"(<!-- generated: ([\w-]+) -->\n).*?(<!-- end -->)", re.S)
_LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")
_UNITS = {
    "_bytes_per_s": "bytes/s",
    "_calls_per_s": "calls/s",
    "requests_per_s": "requests/s",
    "_bytes": "bytes",
    "_s": "s",
}


def markdown_table(header: str, rows: Iterable[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    names = header.split("|")
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    lines += ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def unit_of(name: str) -> str:
    """Return the unit given by the suffix of a name."""
    return next((unit for end, unit in _UNITS.items() if name.endswith(end)), "")


def default_of(field: attrs.Attribute) -> str:
    """Return the default of a field as TOML."""
    if field.default is attrs.NOTHING:
        return "required"
    value = field.default
    return f"`{json.dumps(value.factory() if isinstance(value, attrs.Factory) else value)}`"


def type_of(field: attrs.Attribute) -> str:
    """Return the TOML name of a field's type."""
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    kind = str(field.type)
    if kind.startswith("list["):
        return "array of strings" if kind == "list[str]" else "array of tables"
    return names.get(field.type, kind)


def parameter_meanings(cls: type) -> dict[str, str]:
    """Return the meaning of each parameter in a NumPy docstring."""
    _, _, text = (inspect.getdoc(cls) or "").partition("Parameters\n----------\n")
    meanings: dict[str, str] = {}
    for names, meaning in re.findall(r"^(\S.*?) : .*\n((?: {4}.*\n?)+)", text, re.M):
        meanings.update(dict.fromkeys(names.split(", "), " ".join(meaning.split())))
    return meanings


def class_table(cls: type) -> str:
    """Return the table of a documented class; raise KeyError for a field without a meaning."""
    meanings = parameter_meanings(cls)
    rows = [
        (f"`{f.name}`", type_of(f), default_of(f), unit_of(f.name), meanings[f.name])
        for f in attrs.fields(cls)
    ]
    return markdown_table("field|type|default|unit|meaning", rows)


@BLOCKS.register("settings")
def settings_block() -> str:
    """Return all settings, one table for each section."""
    both = (EntrySettings, AgentSettings)
    names = list(dict.fromkeys(name for cls in both for name, _ in sections_of(cls)))
    parts = ["### Top level\n", _settings_table(EntrySettings, is_top=True)]
    for name in names:
        kinds = [dict(sections_of(cls)).get(name) for cls in both]
        roles = [role for role, kind in zip(("entry", "agent"), kinds, strict=True) if kind]
        parts.append(f"### `[{name}]` ({' and '.join(roles)})\n")
        section_classes = list(dict.fromkeys(kind for kind in kinds if kind))
        for kind in section_classes:
            if len(section_classes) > 1:
                parts.append(f"{'Entry process' if kind is kinds[0] else 'Agent'}:\n")
            parts.append(f"{(inspect.getdoc(kind) or '').strip()}\n")
            parts.append(_settings_table(kind))
    return "\n".join(parts)


def _settings_table(cls: type, *, is_top: bool = False) -> str:
    rows = [
        (f"`{f.name}`", type_of(f), default_of(f), unit_of(f.name), f.metadata["meaning"])
        for f in attrs.fields(cls)
        if not is_top or "meaning" in f.metadata
    ]
    return markdown_table("setting|type|default|unit|meaning", rows)


@BLOCKS.register("ticket-fields")
def ticket_block() -> str:
    """Return the fields of a ticket."""
    classes_by_header = {
        "Top level": tickets.TicketBody,
        "`[[models]]`": tickets.ModelSpec,
        "`[[services]]`": tickets.ServiceSpec,
        "`[[services.once_calls]]`": tickets.OnceCall,
        "`[[hosts]]`": tickets.HostSpec,
        "`[[accounts]]`": tickets.AccountSpec,
    }
    return "\n".join(
        f"### {header}\n\n{class_table(cls)}" for header, cls in classes_by_header.items()
    )


@BLOCKS.register("errors")
def errors_block() -> str:
    """Return the table of errors."""
    rows = [
        (
            f"`{k.value}`",
            str(a.status),
            a.title,
            f"`{a.outcome.value}`",
            "yes" if a.retry_helps else "no",
        )
        for k, a in ERROR_ANSWERS.items()
    ]
    return markdown_table("kind|status|title|outcome|a retry may help", rows)


@BLOCKS.register("events")
def events_block() -> str:
    """Return the fields of all events and the table of events."""
    common = markdown_table(
        "common field|meaning", [(f"`{n}`", m) for n, m in COMMON_FIELDS.items()]
    )
    rows = [
        (f"`{name}`", spec.meaning, ", ".join(f"`{field}`" for field in spec.fields))
        for name, spec in EVENTS.items()
    ]
    return f"{common}\n{markdown_table('event|written when|fields', rows)}"


@BLOCKS.register("metrics")
def metrics_block() -> str:
    """Return the table of metrics."""
    rows = [(f"`{m.value}`", s.kind.value, s.unit, s.roles, s.meaning) for m, s in METRICS.items()]
    return markdown_table("metric|kind|unit|sent by|meaning", rows)


@BLOCKS.register("commands")
def commands_block() -> str:
    """Return the help of all commands."""
    helps = [command_help(cmd, prog=f"wasabilb {name}") for name, cmd in PROGRAM.commands.items()]
    return "\n".join(f"```text\n{text}\n```\n" for text in helps)


@BLOCKS.register("status")
def status_block() -> str:
    """Return the fields of the status document."""
    parts = {"Document": status.Status, "`hosts`": status.HostStatus, "`links`": status.LinkStatus}
    return "\n".join(f"{header}:\n\n{class_table(cls)}" for header, cls in parts.items())


def update_blocks(text: str) -> str:
    """Return a page with all generated blocks updated."""

    def replace(match: re.Match[str]) -> str:
        return f"{match.group(1)}{BLOCKS.create(match.group(2)).unwrap()}{match.group(3)}"

    return _BLOCK.sub(replace, text)


def example_problems(text: str) -> Iterator[str]:
    """Yield the problems of the TOML examples of a page."""
    parsers: dict[str, Callable[[str], object]] = {
        "ticket": tickets.parse_ticket,
        "entry": lambda example: parse_settings(example, EntrySettings),
        "agent": lambda example: parse_settings(example, AgentSettings),
    }
    for match in re.finditer(r"```toml\n(.*?)```", text, re.S):
        example, line = match.group(1), text[: match.start()].count("\n") + 1
        parser = parsers.get(kind_of(read_toml(example).value_or({})))
        result = parser(example) if parser else Failure(("neither ticket nor settings",))
        if isinstance(result, Failure):
            yield from (f"{line}: example: {problem}" for problem in result.failure())


def link_problems(root: Path) -> Iterator[str]:
    """Yield the broken relative links of README.md and docs/."""
    for path in (root / "README.md", *sorted((root / "docs").rglob("*.md"))):
        # Code is removed, since `Registry[T](kind=...)` looks like a link.
        text = re.sub(r"```.*?```|`[^`\n]*`", "", path.read_text(encoding="utf-8"), flags=re.S)
        for target in _LINK.findall(text):
            if "://" not in target and not (path.parent / target).exists():
                yield f"{path.relative_to(root)}: no file for the link {target}"


def operations_problems(root: Path) -> Iterator[str]:
    """Yield metrics and events that the operations pages lack, or list without a definition."""
    rows = {"alarms": {m.value for m in METRICS}, "log-events": set(EVENTS)}
    for page, names in rows.items():
        text = (root / "docs" / "operations" / f"{page}.md").read_text(encoding="utf-8")
        documented_names = set(re.findall(r"^\| `(\w+)` \|", text, re.M))
        for name in sorted(names ^ documented_names):
            fault = "is not named" if name in names else "is in no table of the code"
            yield f"docs/operations/{page}.md: {name} {fault}"


def main() -> int:
    """Check or update all pages and return the exit status."""
    problems, used_blocks = [*link_problems(ROOT), *operations_problems(ROOT)], set()
    for page in PAGES:
        path = ROOT / "docs" / f"{page}.md"
        text = path.read_text(encoding="utf-8")
        current = update_blocks(text)
        if "--write" in sys.argv[1:]:
            path.write_text(current, encoding="utf-8")
        elif current != text:
            problems.append(f"docs/{page}.md: a table is out of date, run `make docs`")
        problems.extend(f"docs/{page}.md:{problem}" for problem in example_problems(text))
        used_blocks |= {match.group(2) for match in _BLOCK.finditer(text)}
    problems.extend(
        f"docs: no page holds the block {n!r}" for n in set(BLOCKS.names()) - used_blocks
    )
    for path in sorted((ROOT / "docs" / "operations").glob("*.md")):
        text = path.read_text(encoding="utf-8")
        problems.extend(f"{path.relative_to(ROOT)}:{problem}" for problem in example_problems(text))
    print("\n".join(problems) if problems else "docs: tables and examples agree with the code")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
