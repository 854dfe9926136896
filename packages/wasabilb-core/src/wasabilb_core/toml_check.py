"""Conversion of TOML text to `attrs` classes, reporting all problems with their lines."""

import difflib
import re
import tomllib
from collections.abc import Callable
from typing import Any, TypeVar, get_origin

import attrs
import cattrs
from attrs import frozen
from cattrs.cols import list_structure_factory
from cattrs.errors import (
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn
from returns.result import Failure, Result, Success

from wasabilb_core._value_checks import shown

T = TypeVar("T")

_MISSING = "is missing"


@frozen(kw_only=True)
class Problem:
    """One mistake in a TOML text.

    Parameters
    ----------
    path : str
        Dotted path of the value, with list indexes in brackets.
    line : int
        Line in the text, from 1; 0 when it is not known.
    message : str
        What is wrong and what was expected.
    """

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        prefix = f"line {self.line}: " if self.line else ""
        return f"{prefix}{self.path}: {self.message}" if self.path else f"{prefix}{self.message}"


def read_toml(text: str) -> Result[dict[str, Any], tuple[Problem, ...]]:
    """Parse TOML text, or fail with the line of the syntax error."""
    try:
        return Success(tomllib.loads(text))
    except (ValueError, RecursionError) as exc:
        # Besides syntax errors: an integer of more digits than Python converts.
        match = re.search(r"line (\d+)", str(exc))
        line = int(match.group(1)) if match else 0
        return Failure((Problem(path="", line=line, message=f"TOML syntax: {exc}"),))


def line_of(text: str, path: str) -> int:
    """Return the line of the value at a dotted path, or of the nearest enclosing table."""
    lines = text.split("\n")
    line, table = 0, ""
    for part in re.findall(r"[^.\[\]]+|\[\d+\]", path):
        if part.startswith("["):
            line = _next_array_table(lines, line, int(part[1:-1]), line)
            continue
        line = _line_in_table(lines, line, table, part) or line
        table = f"{table}.{part}".lstrip(".")
    return line


def _line_in_table(lines: list[str], first: int, table: str, key: str) -> int:
    """Return the line of a key or sub-table in the table that starts at line `first`, or 0."""
    table_name = f"{table}.{key}".lstrip(".")
    assignment = re.compile(rf'\s*"?{re.escape(key)}"?\s*[.=]')
    is_own = True
    for number, line in enumerate(lines[first:], start=first + 1):
        header = re.match(r"\s*\[{1,2}([^\]]*)\]", line)
        if header is None:
            if is_own and assignment.match(line):
                return number
            continue
        name = re.sub(r'[\s"]', "", header.group(1))
        if name == table_name:
            return number
        # The same key in a later table is another value.
        if table and not name.startswith(f"{table}."):
            return 0
        is_own = False
    return 0


def _next_array_table(lines: list[str], first: int, index: int, fallback: int) -> int:
    """Return the line of header `index` of the array of tables that starts at line `first`."""
    if first == 0 or not lines[first - 1].lstrip().startswith("[["):
        return fallback
    header = lines[first - 1].strip()
    seen = -1
    for number in range(first - 1, len(lines)):
        seen += lines[number].strip() == header
        if seen == index:
            return number + 1
    return fallback


def _check_plain(value: Any, kind: type) -> Any:
    """Reject a value of another TOML type, as Python accepts a boolean as an integer."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"expected {_TYPE_NAMES[kind]}, got {_type_name(value)} {shown(value)}")
    return value


_TYPE_NAMES: dict[type, str] = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "a boolean",
}


def _type_name(value: Any) -> str:
    names = {dict: "a table", list: "an array", **_TYPE_NAMES}
    return names.get(type(value), type(value).__name__)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _check_plain)

    def list_hook(kind: Any) -> Callable[[Any, Any], Any]:
        return _type_checked(list, list_structure_factory(kind, converter))

    def table_hook(kind: Any) -> Callable[[Any, Any], Any]:
        hook = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True)
        return _type_checked(dict, hook)

    # cattrs accepts any iterable as a list, so "r1" would become the list of its characters.
    converter.register_structure_hook_factory(_is_list, list_hook)
    converter.register_structure_hook_factory(attrs.has, table_hook)
    return converter


def _is_list(kind: Any) -> bool:
    return get_origin(kind) is list


def _type_checked(kind: type, hook: Callable[[Any, Any], Any]) -> Callable[[Any, Any], Any]:
    """Return a hook that rejects values of another TOML type."""

    def check(value: Any, target: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {_type_name(kind())}, got {_type_name(value)}")
        return hook(value, target)

    return check


_CONVERTER = _make_converter()


def structure(text: str, data: dict[str, Any], kind: type[T]) -> Result[T, tuple[Problem, ...]]:
    """Build an `attrs` class from parsed TOML, or fail with every problem in it.

    Parameters
    ----------
    text : str
        The TOML text, for line numbers.
    data : dict
        The parsed TOML text.
    kind : type
        The `attrs` class to build.
    """
    try:
        return Success(_CONVERTER.structure(data, kind))
    except Exception as exc:
        problems = _without_secrets(_without_misspelled(_leaf_problems(exc, "")))
        return Failure(
            tuple(
                Problem(path=path, line=line_of(text, path), message=message)
                for path, message in problems
            )
        )


def _leaf_problems(exc: BaseException, path: str) -> list[tuple[str, str]]:
    """Return the path and message of each leaf of a cattrs exception group."""
    if isinstance(exc, cattrs.BaseValidationError):
        problems: list[tuple[str, str]] = []
        groups = (
            exc.group_exceptions()
            if isinstance(exc, cattrs.ClassValidationError | IterableValidationError)
            else ([], list(exc.exceptions))
        )
        for sub, note in groups[0]:
            part = (
                f"[{note.index}]" if isinstance(note, IterableValidationNote) else f".{note.name}"
            )
            problems.extend(_leaf_problems(sub, f"{path}{part}".lstrip(".")))
        for sub in groups[1]:
            problems.extend(_leaf_problems(sub, path))
        return problems
    if isinstance(exc, ForbiddenExtraKeysError):
        return [_unknown_key(exc, path, name) for name in sorted(exc.extra_fields)]
    if isinstance(exc, KeyError) and exc.args:
        return [(path, _MISSING)]
    return [(path, str(exc))]


def _without_misspelled(problems: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Drop the report of a missing key for which an unknown key is a probable misspelling."""
    suggested = set()
    for path, message in problems:
        hint = re.search(r"did you mean '(\w+)'", message)
        if hint:
            suggested.add(f"{path.rpartition('.')[0]}.{hint.group(1)}".lstrip("."))
    return [(path, text) for path, text in problems if text != _MISSING or path not in suggested]


def _without_secrets(problems: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Remove the value from a message about a hash, which may be the key by mistake."""
    return [
        (path, text.partition(", got ")[0] if path.endswith("key_hash") else text)
        for path, text in problems
    ]


def _unknown_key(exc: ForbiddenExtraKeysError, path: str, name: str) -> tuple[str, str]:
    known = [field.name for field in attrs.fields(exc.cl)]
    matches = difflib.get_close_matches(name, known, n=1)
    hint = f", did you mean {matches[0]!r}" if matches else f"; known: {', '.join(known)}"
    return (f"{path}.{name}".lstrip("."), f"unknown key{hint}")
