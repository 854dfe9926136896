"""The operators' commands, `wasabilb`.

Modules that only one command needs are imported by that command, so that the others start fast.
"""

import importlib
import secrets
import sys
from collections.abc import Sequence

from wasabilb_core.account_keys import MIN_KEY_CHARS, SALT_BYTES, hash_key
from wasabilb_core.settings import EntrySettings
from wasabilb_node.commands import CommandError, Program
from wasabilb_node.input_files import load_settings


def entry(*, settings: str) -> None:
    """Run the entry process of this host until it is told to stop.

    Parameters
    ----------
    settings : FILE
        TOML file with the settings of an entry process.
    """
    loaded = load_settings(settings, EntrySettings)
    importlib.import_module("wasabilb_entry.process").run(loaded)


def check(*files: str) -> int:
    """Check settings and tickets without contacting any host.

    The content of a file decides whether it is checked as a ticket, as settings of an entry
    process or as settings of an agent. All mistakes are reported with their file, line and path.

    Parameters
    ----------
    files : FILE
        TOML files.
    """
    from wasabilb_entry.check import check_files

    return check_files(_require_any(files, "FILE"))


def status(*addresses: str) -> int:
    """Show the status that processes report.

    The exit status is 1 if a process did not answer.

    Parameters
    ----------
    addresses : ADDRESS
        HOST:PORT of the operators' listeners, as in [admin] listen.
    """
    from wasabilb_entry.status import show_status

    return show_status(_require_any(addresses, "ADDRESS"))


def lift(*addresses: str, part: str = "") -> int:
    """Let one request find out whether blocked parts of prompts still crash runners.

    The processes tell all others, so one address is enough. One more crash blocks a part again.

    Parameters
    ----------
    addresses : ADDRESS
        HOST:PORT of the operators' listeners, as in [admin] listen.
    part : PART
        The part, in hexadecimal as in the log; all of them if it is missing.
    """
    from wasabilb_entry.lift import lift_parts

    return lift_parts(_require_any(addresses, "ADDRESS"), part=part)


def timeline(
    *logs: str, request: str = "", ticket: str = "", host: str = "", since: str = ""
) -> None:
    """Merge the logs of all processes into one timeline.

    The order follows the hybrid logical clock, so an event comes after all events that it
    depends on, even if the clocks of the hosts disagree.

    Parameters
    ----------
    logs : LOG
        Log files.
    request : ID
        Show only events of this request.
    ticket : NUMBER
        Show only events of this ticket.
    host : NAME
        Show only events that this host wrote or that are about it.
    since : TIME
        Show only events from this time on: ISO 8601, or 90s, 15m, 2h before the last event.
    """
    from wasabilb_entry.timeline import show_timeline

    filters = {"request": request, "ticket": ticket, "host": host, "since": since}
    show_timeline(_require_any(logs, "LOG"), **filters)


def drill(*logs: str, ticket: str, status: str = "", out: str = "") -> int:
    """Report how the rollout of a ticket went, for clients who follow it.

    The report shows when each host held the new version, how many bytes came from the origin,
    how many live requests were served whole, refused and broken, and their latency before, during
    and after the rollout.

    Parameters
    ----------
    logs : LOG
        Log files of all entry hosts and agents.
    ticket : NUMBER
        Number of the ticket.
    status : ADDRESS
        HOST:PORT of an operators' listener, to add the current state of the hosts.
    out : DIR
        Directory for drill-NUMBER.html and drill-NUMBER.txt; without it the text goes to
        standard output.
    """
    from wasabilb_entry.drill_report import write_drill

    return write_drill(_require_any(logs, "LOG"), ticket=ticket, address=status, out=out)


def key_hash() -> None:
    """Read an account's key from standard input and print its hash for a ticket.

    The key is one line. It is neither shown nor stored. Use a random key of at least 128 bits: the
    hash is cheap to compute and does not protect a key that can be guessed.
    """
    if sys.stdin.isatty():
        import getpass

        key = getpass.getpass("account key: ")
    else:
        key = sys.stdin.readline().rstrip("\r\n")
    if len(key) < MIN_KEY_CHARS or not key.isascii() or not key.isprintable() or " " in key:
        expected = f"at least {MIN_KEY_CHARS} printable ASCII characters without spaces"
        raise CommandError(f"standard input: expected a key of {expected}")
    print(hash_key(key, secrets.token_bytes(SALT_BYTES)))


PROGRAM = Program(
    name="wasabilb",
    summary="Runs the entry process of wasabilb and the operators' commands.",
    commands={
        "entry": entry,
        "check": check,
        "status": status,
        "lift": lift,
        "timeline": timeline,
        "drill": drill,
        "key-hash": key_hash,
    },
)


def main(argv: Sequence[str] | None = None) -> None:
    """Run the program and exit with its status."""
    sys.exit(PROGRAM.run(sys.argv[1:] if argv is None else argv))


def _require_any(values: tuple[str, ...], name: str) -> list[str]:
    if not values:
        raise CommandError(f"expected at least one {name}")
    return list(values)
