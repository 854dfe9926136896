"""Decimal numbers in header values that runners send."""

import re

# Longest part of a value that is kept for the log, enough for a number.
MAX_LOGGED_CHARS = 40

_DECIMAL = re.compile(r"-?[0-9]+(\.[0-9]+)?", re.ASCII)


def decimal_values(text: str | None) -> list[float | None]:
    """Return the numbers of a value, empty for an absent one and None for each unreadable part.

    A repeated header arrives as one value whose parts are separated by commas. Exponents, infinite
    numbers and digits of other scripts are unreadable.
    """
    if text is None or not text.strip():
        return []
    parts = [part.strip() for part in text.split(",")]
    return [float(part) if _DECIMAL.fullmatch(part) else None for part in parts]
