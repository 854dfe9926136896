"""Parsing of the pause that a runner requests when it refuses a request."""

from enum import Enum, unique

from attrs import frozen

from wasabilb_core._header_numbers import MAX_LOGGED_CHARS, decimal_values

# Longest accepted pause, seconds: partitions between regions last up to an hour, and no known event
# takes longer. Larger numbers are likely in another unit.
MAX_PAUSE_S = 3600.0
# Pause for an unreadable value, seconds; the same as after repeated failures.
UNREADABLE_PAUSE_S = 3.0


@unique
class PauseReading(Enum):
    """Interpretation of the value."""

    EXACT = "exact"
    # Zero or negative: the runner requests no pause.
    OVER = "over"
    LIMITED = "limited"
    UNREADABLE = "unreadable"


@frozen(kw_only=True)
class RequestedPause:
    """Pause that a runner requests when it refuses a request.

    Parameters
    ----------
    seconds : float
        Length of the pause from the answer on; 0 for none.
    reading : PauseReading
        Interpretation of the value.
    text : str
        Value, truncated.
    """

    seconds: float
    reading: PauseReading = PauseReading.EXACT
    text: str = ""


def requested_pause(text: str | None) -> RequestedPause | None:
    """Parse seconds with an optional fraction; return None for an empty value.

    A date is not converted, as the clocks of hosts differ; it counts as unreadable. Of several
    values, separated by commas, the longest one counts.
    """
    found = decimal_values(text)
    if text is None or not found:
        return None
    longest = max(UNREADABLE_PAUSE_S if value is None else value for value in found)
    if None in found and longest <= UNREADABLE_PAUSE_S:
        reading = PauseReading.UNREADABLE
    elif longest > MAX_PAUSE_S:
        reading = PauseReading.LIMITED
    else:
        reading = PauseReading.EXACT if longest > 0 else PauseReading.OVER
    seconds = min(MAX_PAUSE_S, max(0.0, longest))
    return RequestedPause(seconds=seconds, reading=reading, text=text[:MAX_LOGGED_CHARS])
