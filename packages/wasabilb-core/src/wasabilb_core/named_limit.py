"""Parsing of the limit that a runner names for the requests of all entry processes together."""

from enum import Enum, unique

from attrs import frozen

from wasabilb_core._header_numbers import MAX_LOGGED_CHARS, decimal_values

# Largest accepted limit, requests per second: no known server takes as many, so that it has the
# effect of none.
MAX_LIMIT_PER_S = 1e6


@unique
class LimitReading(Enum):
    """Interpretation of the value."""

    EXACT = "exact"
    # A part of the value is no number or negative; the smallest readable number counts.
    PARTLY_READABLE = "partly-readable"
    UNREADABLE = "unreadable"


@frozen(kw_only=True)
class NamedLimit:
    """Limit that a runner names in an answer.

    Parameters
    ----------
    per_s : float or None
        Requests per second that the runner accepts from all entry processes together; 0 for none
        at all. None if the value is unreadable.
    reading : LimitReading
        Interpretation of the value.
    text : str
        Value, truncated.
    """

    per_s: float | None
    reading: LimitReading = LimitReading.EXACT
    text: str = ""


def named_limit(text: str | None) -> NamedLimit | None:
    """Parse requests per second; return None for an absent or empty value.

    Of several values, separated by commas, the smallest one counts. A negative one is unreadable.
    """
    values = decimal_values(text)
    if text is None or not values:
        return None
    readable = [value for value in values if value is not None and value >= 0]
    if not readable:
        reading = LimitReading.UNREADABLE
    elif len(readable) < len(values):
        reading = LimitReading.PARTLY_READABLE
    else:
        reading = LimitReading.EXACT
    per_s = min([*readable, MAX_LIMIT_PER_S]) if readable else None
    return NamedLimit(per_s=per_s, reading=reading, text=text[:MAX_LOGGED_CHARS])
