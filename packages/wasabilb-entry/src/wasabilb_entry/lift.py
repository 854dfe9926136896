"""The command `lift`: lets a probe find out whether parts of prompts still crash runners."""

import json
import sys
from urllib.error import URLError
from urllib.request import Request, urlopen

from wasabilb_core.settings import check_host_port
from wasabilb_node.commands import EXIT_FAILED, CommandError

from wasabilb_entry.lift_interface import LIFT_PATH, part_number

_TIMEOUT_S = 3.0


def lift_parts(addresses: list[str], *, part: str) -> int:
    """Ask processes to lift blocked parts, print what they lifted and return the exit status."""
    try:
        part_number(part)
    except ValueError:
        raise CommandError(f"--part: expected a hexadecimal number, not {part!r}") from None
    status = 0
    for address in addresses:
        message = check_host_port(address)
        if message:
            raise CommandError(message)
        req = Request(f"http://{address}{LIFT_PATH}?part={part}", method="POST")
        try:
            with urlopen(req, timeout=_TIMEOUT_S) as answer:
                lifted = json.load(answer)["lifted"]
        except (URLError, OSError, ValueError, KeyError, TypeError) as exc:
            print(f"{address}: no answer from {LIFT_PATH}: {exc}", file=sys.stderr)
            status = EXIT_FAILED
            continue
        print(f"{address}: lifted {', '.join(lifted) or 'nothing'}")
    return status
