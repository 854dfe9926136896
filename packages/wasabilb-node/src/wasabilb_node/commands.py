"""Command-line programs: `fire` binds the arguments, usage errors are reported in one line."""

import contextlib
import difflib
import functools
import inspect
import io
import os
import sys
import textwrap
from collections.abc import Callable, Mapping, Sequence

import fire
from attrs import frozen
from fire import docstrings

Command = Callable[..., int | None]

EXIT_FAILED = 1
EXIT_USAGE = 2
_HELP = ("-h", "--help")
_WIDTH = 80


class CommandError(Exception):
    """An invalid flag, file or value; the message names it and what was expected."""


@frozen(kw_only=True)
class Program:
    """A program and its commands.

    Parameters
    ----------
    name : str
        Name of the executable.
    summary : str
        One-line description.
    commands : mapping of str to callable
        Commands by name; the name "" stands for a program without subcommands. Each takes its flags
        as keyword-only arguments, returns its exit status or None for success, and has a NumPy
        docstring whose parameter types are shown in the help as value names.
    """

    name: str
    summary: str
    commands: Mapping[str, Command]

    def run(self, argv: Sequence[str]) -> int:
        """Run the command that the arguments name and return its exit status."""
        prog = self.name
        try:
            name, rest = self._split(argv)
            if name is None:
                print(self.help_text())
                return 0
            prog = f"{self.name} {name}".rstrip()
            command = self.commands[name]
            if any(arg in _HELP for arg in rest):
                print(command_help(command, prog=prog))
                return 0
            return bind(command, rest, prog=prog)() or 0
        except CommandError as exc:
            print(f"{prog}: {' '.join(str(exc).split())}", file=sys.stderr)
            return EXIT_USAGE
        except BrokenPipeError:
            # The reader of a pipe has exited, as with `| head`; the interpreter would raise
            # again when it flushes at exit.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
            return 0
        except OSError as exc:
            # For example, a listener's address is in use.
            print(f"{prog}: {exc}", file=sys.stderr)
            return EXIT_FAILED
        except KeyboardInterrupt:
            return 130

    def help_text(self) -> str:
        """Return the help of the program."""
        width = max(map(len, self.commands))
        lines = [
            f"usage: {self.name} COMMAND [ARGUMENT...]",
            "",
            self.summary,
            "",
            "commands:",
            *(f"  {name:{width}}  {_summary(cmd)}" for name, cmd in self.commands.items()),
            "",
            f"{self.name} COMMAND --help shows the arguments of a command.",
            "Exit status: 0 success, 1 failure, 2 wrong flag, file or value.",
        ]
        return "\n".join(lines)

    def _split(self, argv: Sequence[str]) -> tuple[str | None, Sequence[str]]:
        if "" in self.commands:
            return "", argv
        if not argv or argv[0] in _HELP:
            return None, ()
        if argv[0] not in self.commands:
            noun = "flag" if argv[0].startswith("-") else "command"
            raise CommandError(
                f"unknown {noun} {argv[0]!r}{_suggestion(argv[0], list(self.commands))}"
            )
        return argv[0], argv[1:]


def command_help(command: Command, *, prog: str) -> str:
    """Return the help of one command."""
    info = docstrings.parse(inspect.getdoc(command))
    values = {arg.name: (arg.type or "VALUE", arg.description or "") for arg in info.args or ()}
    usage, rows = [prog], []
    for name, param in inspect.signature(command).parameters.items():
        value, text = values.get(name, ("VALUE", ""))
        label = f"{value}..." if param.kind is param.VAR_POSITIONAL else f"{_flag(name)} {value}"
        is_required = param.default is param.empty
        usage.append(label if is_required else f"[{label}]")
        rows.append((label, text))
    width = max((len(label) for label, _ in rows), default=0)
    lines = ["usage: " + " ".join(usage), "", info.summary or ""]
    for paragraph in (info.description or "").split("\n\n"):
        lines += ["", *textwrap.wrap(paragraph, _WIDTH)] if paragraph else []
    lines += [""] if rows else []
    for label, text in rows:
        wrapped = textwrap.wrap(text, _WIDTH - width - 4) or [""]
        lines.append(f"  {label:{width}}  {wrapped[0]}")
        lines += [" " * (width + 4) + line for line in wrapped[1:]]
    return "\n".join(lines)


def bind(command: Command, argv: Sequence[str], *, prog: str) -> Callable[[], int | None]:
    """Return the command with the arguments bound, ready to be called.

    `fire` calls a recorder of the same signature. The command itself runs afterwards, so fire's
    error output can be suppressed without suppressing that of the command.

    Raises
    ------
    CommandError
        When a flag is unknown, repeated or has no value, or there are surplus arguments.
    """
    _check_flags(command, argv, prog=prog)
    bound: list[Callable[[], int | None]] = []

    @functools.wraps(command)
    def record(*args: str, **kwargs: str) -> None:
        bound.append(functools.partial(command, *args, **kwargs))

    # Values stay strings: fire would convert a file name such as 1 to a number.
    fire.decorators.SetParseFn(str)(record)
    with contextlib.redirect_stderr(io.StringIO()):
        try:
            fire.Fire(record, command=list(argv), name=prog)
        except fire.core.FireExit as exc:
            reason = exc.trace.elements[-1].ErrorAsStr() if exc.trace.HasError() else "no command"
            raise CommandError(f"{reason}; see {prog} --help") from None
    return bound[0]


def _check_flags(command: Command, argv: Sequence[str], *, prog: str) -> None:
    """Reject what fire would guess at: abbreviated flags, flags without a value, separators."""
    params = inspect.signature(command).parameters
    flags = [_flag(n) for n, p in params.items() if p.kind is not p.VAR_POSITIONAL]
    seen: set[str] = set()
    position = 0
    while position < len(argv):
        arg, position = argv[position], position + 1
        if not arg.startswith("-"):
            continue
        flag, has_value, _ = arg.partition("=")
        if flag not in flags:
            raise CommandError(
                f"unknown flag {flag!r}{_suggestion(flag, flags)}; see {prog} --help"
            )
        if flag in seen:
            raise CommandError(f"{flag} is given twice, expected once")
        seen.add(flag)
        if not has_value:
            if position == len(argv) or argv[position].startswith("-"):
                raise CommandError(f"{flag} has no value; see {prog} --help")
            position += 1
    for name, param in params.items():
        is_required = param.kind is param.KEYWORD_ONLY and param.default is param.empty
        if is_required and _flag(name) not in seen:
            raise CommandError(f"{_flag(name)} is missing; see {prog} --help")


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def _summary(command: Command) -> str:
    return (inspect.getdoc(command) or "").split("\n")[0]


def _suggestion(text: str, known: list[str]) -> str:
    near = difflib.get_close_matches(text, known, n=1)
    return f", did you mean {near[0]!r}" if near else f"; known: {', '.join(known)}"
