"""The interface by which operators lift blocked parts, shared by both kinds of entry process."""

import json
from collections.abc import Callable

LIFT_PATH = "/blocked-parts/lift"


def part_number(text: str) -> int | None:
    """Return the number of a part as the log names it, None for an empty text.

    Raises
    ------
    ValueError
        When it is not hexadecimal.
    """
    return int(text, 16) if text else None


def lift_answer(text: str, lift: Callable[[int | None], list[int]]) -> tuple[int, bytes]:
    """Lift a part that an operator names, or all, and return status and body of the answer."""
    try:
        part = part_number(text)
    except ValueError:
        return 400, b'{"error": "part: expected a hexadecimal number"}'
    return 200, json.dumps({"lifted": [f"{lifted:x}" for lifted in lift(part)]}).encode()
