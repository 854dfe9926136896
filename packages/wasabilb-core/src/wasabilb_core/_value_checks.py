"""Checks of single values in tickets and settings.

A check returns a message about an invalid value, or None. A value of the wrong type passes,
because the type check already reports it.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

Check = Callable[[Any], str | None]

# Names occur in paths, headers, keys and log lines, so they contain no separator of any of these.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")


# Longest value that a message shows, in characters and, for an integer, in bits.
MAX_SHOWN_CHARS = 80
MAX_SHOWN_BITS = 128


def shown(value: object) -> str:
    """Return a short form of a value for a message, whatever its size."""
    if isinstance(value, int) and value.bit_length() > MAX_SHOWN_BITS:
        # Python refuses to convert an integer of more than some thousand digits to text.
        return f"an integer of {value.bit_length()} bits"
    if isinstance(value, str):
        return ascii(value[:MAX_SHOWN_CHARS])
    if value is None or isinstance(value, bool | int | float):
        return str(value)
    return f"a value of type {type(value).__name__}"


def matches(
    pattern: re.Pattern[str], expected: str, *, allow_empty: bool = False, is_secret: bool = False
) -> Check:
    """Return a check that a string matches a pattern."""

    def check(value: Any) -> str | None:
        if not isinstance(value, str) or (allow_empty and not value) or pattern.fullmatch(value):
            return None
        return f"expected {expected}" + ("" if is_secret else f", got {value[:80]!r}")

    return check


def one_of(values: tuple[str, ...]) -> Check:
    """Return a check that a string is one of the given values."""

    def check(value: Any) -> str | None:
        if not isinstance(value, str) or value in values:
            return None
        return f"expected one of {', '.join(values)}, got {value[:80]!r}"

    return check


def above(bound: float, *, inclusive: bool = False) -> Check:
    """Return a check that a number is finite and above a bound, or equal to it if `inclusive`."""

    def check(value: Any) -> str | None:
        if not isinstance(value, int | float) or isinstance(value, bool):
            return None
        if bound < value < float("inf") or (inclusive and value == bound):
            return None
        expected = f"a number {'of at least' if inclusive else 'above'} {bound:g}"
        return f"expected {expected}, got {shown(value)}"

    return check


def check_address(value: Any) -> str | None:
    """Return a message about an invalid `IP:PORT` address, or None."""
    if not isinstance(value, str):
        return None
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        is_valid = _is_port(port)
    except ValueError:
        is_valid = False
    return None if is_valid else f"expected IP:PORT, got {value[:80]!r}"


def is_dialable(address: str) -> bool:
    """Return whether a text is the `IP:PORT` of one IPv4 host, in the usual form of both parts.

    Connections to backend servers are IPv4, and a host name would be resolved on the event loop.
    """
    text, _, port = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    is_host = not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)
    return is_host and _is_port(port) and port == str(int(port))


def _is_port(text: str) -> bool:
    # Python refuses to convert thousands of digits to a number.
    return text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) < 65536


def between(low: float, high: float) -> Check:
    """Return a check that a number lies strictly between two bounds."""

    def check(value: Any) -> str | None:
        if not isinstance(value, int | float) or isinstance(value, bool) or low < value < high:
            return None
        return f"expected a number strictly between {low:g} and {high:g}, got {shown(value)}"

    return check


def optional(check: Check) -> Check:
    """Return a check that also accepts an empty string."""
    return lambda value: None if value == "" else check(value)


def check_url(value: Any) -> str | None:
    """Return a message about an HTTP URL that is invalid or has more than a path, or None."""
    if not isinstance(value, str):
        return None
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
        has_only_path = not (parts.query or parts.fragment or parts.username)
    except ValueError:
        is_valid = has_only_path = False
    if is_valid and has_only_path:
        return None
    return f"expected http(s)://HOST[:PORT][/PATH], got {value[:80]!r}"


def check_host_port(value: Any) -> str | None:
    """Return a message about an invalid `HOST:PORT` address, or None."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if host and _is_port(port) and not re.search(r"[\s/@]", host):
        return None
    return f"expected HOST:PORT, got {value[:80]!r}"


def is_loopback(address: str) -> bool:
    """Return whether an `IP:PORT` address is a loopback address."""
    try:
        return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
    except ValueError:
        return False
