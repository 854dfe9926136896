"""For how long a runner that refused a request wants no other one, as it says itself."""

import re
from enum import Enum, unique

from attrs import frozen

# Longest time that is kept without another word of the runner, seconds: regions lose each other for
# an hour, and nothing known takes longer. Larger numbers are likely in another unit.
MAX_PAUSE_S = 3600.0
# A runner that asks for a pause in words that cannot be read is left out for as long as one that
# failed again and again, seconds.
UNREADABLE_PAUSE_S = 3.0
# What is logged of a value; a number of seconds needs no more.
MAX_LOGGED_CHARS = 40

_SECONDS = re.compile(r"-?[0-9]+(\.[0-9]+)?", re.ASCII)


@unique
class PauseReading(Enum):
    """How the value was understood."""

    EXACT = "exact"
    # Zero or negative: the runner names no time.
    OVER = "over"
    LIMITED = "limited"
    UNREADABLE = "unreadable"


@frozen(kw_only=True)
class RequestedPause:
    """A runner's wish to receive no requests.

    Parameters
    ----------
    seconds : float
        How long, counted from the answer; 0 for no time.
    reading : PauseReading
        How the value was understood.
    text : str
        The value, shortened.
    """

    seconds: float
    reading: PauseReading = PauseReading.EXACT
    text: str = ""


def requested_pause(text: str | None) -> RequestedPause | None:
    """Read seconds with or without a fraction; None when nothing is said.

    A date is not converted, as the clocks of hosts differ; it counts as unreadable. Of several
    values, separated by commas, the longest time counts.
    """
    if text is None or not text.strip():
        return None
    found = [_parse_seconds(part.strip()) for part in text.split(",")]
    longest = max(UNREADABLE_PAUSE_S if value is None else value for value in found)
    if None in found and longest <= UNREADABLE_PAUSE_S:
        reading = PauseReading.UNREADABLE
    elif longest > MAX_PAUSE_S:
        reading = PauseReading.LIMITED
    else:
        reading = PauseReading.EXACT if longest > 0 else PauseReading.OVER
    seconds = min(MAX_PAUSE_S, max(0.0, longest))
    return RequestedPause(seconds=seconds, reading=reading, text=text[:MAX_LOGGED_CHARS])


def _parse_seconds(text: str) -> float | None:
    return float(text) if _SECONDS.fullmatch(text) else None
