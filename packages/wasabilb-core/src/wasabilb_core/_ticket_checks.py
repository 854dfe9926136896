"""Checks of a ticket's values and of the references between them."""

import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs

from wasabilb_core._value_checks import (
    NAME_PATTERN,
    Check,
    above,
    check_address,
    matches,
    one_of,
    shown,
)
from wasabilb_core.ticket_order import MAX_NUMBER

PathMessage = tuple[str, str]

VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
HASH_PATTERN = re.compile(r"scrypt\$[0-9a-f]{16,64}\$[0-9a-f]{64}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
METHODS = ("POST", "PUT", "PATCH", "DELETE", "GET")
ROLES = ("entry", "backend")
STATES = ("joining", "live", "leaving", "gone")


def body_problems(body: Any) -> Iterator[PathMessage]:
    """Yield the path and message of each mistake in a typed ticket body."""
    yield from raw_problems(attrs.asdict(body))


def raw_problems(data: dict[str, Any]) -> Iterator[PathMessage]:
    """Yield the mistakes in parsed TOML; values of a wrong type are skipped."""
    number = data.get("number")
    if type(number) is int and not 0 < number <= MAX_NUMBER:
        yield "number", f"expected 1 to {MAX_NUMBER}, got {shown(number)}"
    for section, rules in _RULES.items():
        items = data.get(section)
        items = items if isinstance(items, list) else []
        yield from _duplicate_names(section, items)
        for index, item in enumerate(items):
            if isinstance(item, dict):
                yield from _item_problems(f"{section}[{index}]", item, rules)
    yield from _reference_problems(data)


def _item_problems(path: str, item: dict[str, Any], rules: "Rules") -> Iterator[PathMessage]:
    for name, check in rules.items():
        values = item.get(name)
        is_list = isinstance(values, list)
        for index, value in enumerate(values if isinstance(values, list) else [values]):
            message = check(value) if value is not None else None
            if message:
                yield f"{path}.{name}" + (f"[{index}]" if is_list else ""), message
    calls = item.get("once_calls")
    for index, call in enumerate(calls if isinstance(calls, list) else []):
        if isinstance(call, dict):
            yield from _item_problems(f"{path}.once_calls[{index}]", call, _CALL_RULES)
    if item.get("while_loading") and item.get("while_loading") == item.get("version"):
        yield f"{path}.while_loading", "expected another version than `version`"


def _duplicate_names(section: str, items: list[Any]) -> Iterator[PathMessage]:
    names = [item.get("name") for item in items if isinstance(item, dict)]
    for name, count in Counter(name for name in names if isinstance(name, str)).items():
        if count > 1:
            index = len(names) - 1 - names[::-1].index(name)
            yield f"{section}[{index}].name", f"{name!r} occurs {count} times, expected once"


def _reference_problems(data: dict[str, Any]) -> Iterator[PathMessage]:
    """Yield backend references to hosts that the same ticket declares as entry hosts."""
    hosts = data.get("hosts")
    declared = {
        host.get("name"): host.get("role")
        for host in (hosts if isinstance(hosts, list) else [])
        if isinstance(host, dict) and isinstance(host.get("name"), str)
    }
    for section, key in (("models", "runners"), ("services", "hosts"), ("services", "once_hosts")):
        items = data.get(section)
        for index, item in enumerate(items if isinstance(items, list) else []):
            names = item.get(key) if isinstance(item, dict) else None
            for position, name in enumerate(names if isinstance(names, list) else []):
                if isinstance(name, str) and declared.get(name) == "entry":
                    path = f"{section}[{index}].{key}[{position}]"
                    yield path, f"{name!r} is an entry host, expected a backend server"


def _check_path(value: Any) -> str | None:
    if not isinstance(value, str) or (value.startswith("/") and "?" not in value):
        return None
    return f"expected a path that starts with '/', got {value[:80]!r}"


Rules = dict[str, Check]

_NAME = matches(NAME_PATTERN, "letters, digits, '-' or '_' (at most 63)")
_VERSION = matches(VERSION_PATTERN, "letters, digits, '.', '-' or '_' (at most 63)")
_OPTIONAL_VERSION = matches(
    VERSION_PATTERN, "letters, digits, '.', '-' or '_' (at most 63)", allow_empty=True
)
_CALL_RULES: Rules = {"method": one_of(METHODS), "path": _check_path}
_RULES: dict[str, Rules] = {
    "models": {
        "name": _NAME,
        "version": _VERSION,
        "adapter": _OPTIONAL_VERSION,
        "while_loading": _OPTIONAL_VERSION,
        "manifest_digest": matches(DIGEST_PATTERN, "a SHA-256 in hex", allow_empty=True),
        "runners": _NAME,
    },
    "services": {
        "name": _NAME,
        "hosts": _NAME,
        "once_hosts": _NAME,
        "retired_once_hosts": _NAME,
        "opaque_key_window_s": above(0, inclusive=True),
    },
    "hosts": {
        "name": _NAME,
        "role": one_of(ROLES),
        "state": one_of(STATES),
        "address": check_address,
        "region": _NAME,
        "failure_domain": _NAME,
    },
    "accounts": {
        "name": _NAME,
        "key_hash": matches(
            HASH_PATTERN, "scrypt$SALT$HASH in hex, see `wasabilb key-hash`", is_secret=True
        ),
        "weight": above(0),
        "requests_per_s": above(0),
        "burst": above(0),
    },
}
