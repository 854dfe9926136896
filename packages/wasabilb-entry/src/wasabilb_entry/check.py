"""The command `check`: reads settings and tickets offline and reports all mistakes."""

import importlib
import sys
from collections.abc import Iterator
from typing import Any

from returns.result import Failure, Success
from wasabilb_core.settings import (
    AgentSettings,
    EntrySettings,
    PolicySettings,
    parse_settings,
    plaintext_warnings,
)
from wasabilb_core.tickets import Ticket, parse_ticket
from wasabilb_core.toml_check import Problem, line_of, read_toml
from wasabilb_node.commands import EXIT_USAGE, CommandError
from wasabilb_node.input_files import read_text

# Policies register themselves on import.
_POLICIES = {
    "routing": ("wasabilb_core.routing", "ROUTING"),
    "queueing": ("wasabilb_core.queueing", "QUEUES"),
    "chunks": ("wasabilb_core.distribution", "CHUNK_POLICIES"),
    "hedging": ("wasabilb_core.retries", "HEDGING"),
}


def check_files(paths: list[str]) -> int:
    """Check files, print one line for each mistake and return the exit status."""
    tickets: dict[int, tuple[str, Ticket]] = {}
    is_valid = True
    for path in paths:
        try:
            text = read_text(path)
        except CommandError as exc:
            print(exc, file=sys.stderr)
            is_valid = False
            continue
        problems = list(_problems(path, text, tickets))
        for problem in problems:
            location = f"{path}:{problem.line}" if problem.line else path
            setting = f"{problem.path}: " if problem.path else ""
            print(f"{location}: {setting}{problem.message}", file=sys.stderr)
        is_valid = is_valid and not problems
    return 0 if is_valid else EXIT_USAGE


def kind_of(data: dict[str, Any]) -> str:
    """Return `ticket`, `entry` or `agent` by the keys of a parsed file, or an empty string."""
    if "number" in data or any(isinstance(data.get(name), list) for name in _TICKET_LISTS):
        return "ticket"
    if not data.keys() & _SETTINGS_KEYS:
        return ""
    is_agent = "callers" not in data and data.keys() & {"engine", "service", "weights"}
    return "agent" if is_agent else "entry"


_TICKET_LISTS = ("models", "services", "hosts", "accounts")
_SETTINGS_KEYS = {"host", "region", "failure_domain", "listen", "platform", "callers", "engine"}


def _problems(path: str, text: str, tickets: dict[int, tuple[str, Ticket]]) -> Iterator[Problem]:
    data = read_toml(text)
    if isinstance(data, Failure):
        yield from data.failure()
        return
    kind = kind_of(data.unwrap())
    if kind == "ticket":
        yield from _ticket_problems(path, text, tickets)
    elif kind:
        yield from _settings_problems(
            path, text, EntrySettings if kind == "entry" else AgentSettings
        )
    else:
        expected = "expected a ticket (`number`) or settings (`host`, `listen`)"
        yield Problem(path="", line=0, message=expected)


def _ticket_problems(
    path: str, text: str, tickets: dict[int, tuple[str, Ticket]]
) -> Iterator[Problem]:
    result = parse_ticket(text)
    if isinstance(result, Failure):
        yield from result.failure()
        return
    ticket = result.unwrap()
    other, first_ticket = tickets.setdefault(ticket.number, (path, ticket))
    if first_ticket.digest != ticket.digest:
        message = f"{ticket.number} is used with other content in {other}, expected a new number"
        yield Problem(path="number", line=line_of(text, "number"), message=message)
        return
    print(f"{path}: ticket {ticket.number} is valid")


def _settings_problems(
    path: str, text: str, cls: type[EntrySettings] | type[AgentSettings]
) -> Iterator[Problem]:
    result: Any = parse_settings(text, cls)
    if isinstance(result, Success):
        settings = result.unwrap()
        problems = list(_policy_problems(text, settings.policy))
        if not problems:
            role = "an entry process" if cls is EntrySettings else "an agent"
            print(f"{path}: settings of {role} are valid")
        for warning in plaintext_warnings(settings):
            print(f"{path}: warning: {warning}", file=sys.stderr)
        yield from problems
    else:
        yield from result.failure()


def _policy_problems(text: str, policy: PolicySettings) -> Iterator[Problem]:
    for name, (module, attribute) in _POLICIES.items():
        try:
            registry = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError:
            continue
        value = getattr(policy, name)
        if value not in registry.names():
            setting = f"policy.{name}"
            message = f"unknown {value!r}; known: {', '.join(registry.names())}"
            yield Problem(path=setting, line=line_of(text, setting), message=message)
