"""Checked reading of JSON that another program wrote.

A value that is missing, of another type or out of its range raises `InvalidFieldError`, which names
its path. What is read is finite, within its range and can be encoded in messages and log lines.
"""

import json
from collections.abc import Iterator
from typing import Any, TypeGuard

from attrs import frozen

from wasabilb_core._value_checks import is_dialable, shown

# Deeper than any content that is read here, and well below the depth at which parsers and Python's
# recursion fail.
MAX_DEPTH = 32
_TOO_DEEP = f"nested more than {MAX_DEPTH} deep"
# Longest text value, bytes; names travel in headers, messages and log lines.
MAX_TEXT_BYTES = 4096


class InvalidFieldError(ValueError):
    """A value of a JSON text cannot be used; the message names its path."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}" if path else problem)


@frozen(kw_only=True)
class NumberRange:
    """The range of a number, with both ends."""

    low: float
    high: float

    def __contains__(self, value: float) -> bool:
        return self.low <= value <= self.high

    def __str__(self) -> str:
        return f"from {self.low} to {self.high}"


def parse_json(data: bytes, *, max_bytes: int) -> Any:
    """Return the value of a JSON text in UTF-8.

    Raises
    ------
    InvalidFieldError
        When the text is too long, nested more than `MAX_DEPTH` deep, not JSON by RFC 8259 or has an
        object with a repeated name.
    """
    if len(data) > max_bytes:
        raise InvalidFieldError("", f"{len(data)} bytes, expected at most {max_bytes}")
    try:
        value = json.loads(
            data.decode(), parse_constant=_refuse_constant, object_pairs_hook=_to_object
        )
    except InvalidFieldError:
        raise
    except RecursionError:
        raise InvalidFieldError("", _TOO_DEEP) from None
    except ValueError as exc:
        raise InvalidFieldError("", f"not JSON: {type(exc).__name__}") from None
    if not _is_shallow(value):
        # The parser's own limit depends on the build of Python, and all processes must agree.
        raise InvalidFieldError("", _TOO_DEEP)
    return value


def _is_shallow(value: Any) -> bool:
    """Return whether objects and lists are nested at most `MAX_DEPTH` deep."""
    level = [value] if type(value) in (dict, list) else []
    for _ in range(MAX_DEPTH):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if type(outer) is dict else outer)
            if type(inner) in (dict, list)
        ]
        if not level:
            return True
    return False


def _is_text(value: object, max_bytes: int) -> TypeGuard[str]:
    """Return whether a value is a text that headers, messages and log lines can hold.

    Characters that are not printable include line breaks and lone surrogates; the latter cannot be
    encoded.
    """
    if not isinstance(value, str) or not value.isprintable():
        return False
    return 0 < (len(value) if value.isascii() else len(value.encode())) <= max_bytes


def _refuse_constant(text: str) -> None:
    raise InvalidFieldError("", f"{text} is not a JSON number")


def _to_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise InvalidFieldError("", "an object has a repeated name")
    return fields


class JsonObject:
    """Reads the fields of one JSON object.

    A field whose value is null counts as absent. An absent field raises `InvalidFieldError` unless
    a default is given.

    Parameters
    ----------
    raw : object
        The parsed value.
    path : str
        Its path in the text, empty for the whole.
    """

    def __init__(self, raw: object, *, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise InvalidFieldError(path, "expected an object")
        self._fields: dict[str, Any] = raw
        self._path = path

    def __bool__(self) -> bool:
        """Return whether the object has any field."""
        return bool(self._fields)

    def path_of(self, name: str) -> str:
        """Return the path of a field."""
        return f"{self._path}.{name}" if self._path else name

    def error(self, name: str, problem: str) -> InvalidFieldError:
        """Return the error that a field has a problem."""
        return InvalidFieldError(self.path_of(name), problem)

    def has(self, name: str) -> bool:
        """Return whether a field is present."""
        return self._fields.get(name) is not None

    def text(
        self, name: str, *, default: str | None = None, max_bytes: int = MAX_TEXT_BYTES
    ) -> str:
        """Return a non-empty text of printable characters."""
        value: object = self._fields.get(name)
        if value is None:
            return str(self._value(name, default))
        if not _is_text(value, max_bytes):
            expected = f"expected a printable text of 1 to {max_bytes} bytes"
            raise self.error(name, f"{expected}, got {shown(value)}")
        return value

    def texts(self, name: str) -> "list[str]":
        """Return a list of such texts, empty if the field is absent; errors do not show them."""
        values = self.list(name, default=[])
        for index, value in enumerate(values):
            if not _is_text(value, MAX_TEXT_BYTES):
                raise self.error(f"{name}[{index}]", "expected a printable text")
        return values

    def address(self, name: str) -> str:
        """Return an `IP:PORT` to which a connection can be opened."""
        value = self.text(name)
        if not is_dialable(value):
            raise self.error(name, f"expected the IP:PORT of an IPv4 host, got {shown(value)}")
        return value

    def whole(self, name: str, allowed: NumberRange, *, default: int | None = None) -> int:
        """Return a whole number in a range."""
        value = self._value(name, default)
        # Python accepts a boolean as an integer.
        if type(value) is not int or value not in allowed:
            raise self.error(name, f"expected a whole number {allowed}, got {shown(value)}")
        return value

    def number(self, name: str, allowed: NumberRange, *, default: float | None = None) -> float:
        """Return a finite number in a range."""
        value = self._value(name, default)
        if type(value) not in (int, float) or value not in allowed:
            raise self.error(name, f"expected a number {allowed}, got {shown(value)}")
        return float(value)

    def flag(self, name: str, *, default: bool | None = None) -> bool:
        """Return a boolean."""
        value = self._value(name, default)
        if not isinstance(value, bool):
            raise self.error(name, f"expected true or false, got {shown(value)}")
        return value

    def object(self, name: str) -> "JsonObject":
        """Return an object, one without fields if the field is absent."""
        return JsonObject(self._value(name, {}), path=self.path_of(name))

    def objects(self, name: str, *, is_required: bool = False) -> Iterator["JsonObject"]:
        """Return the objects of a list, none if the field is absent and not required."""
        for index, value in enumerate(self.list(name, default=None if is_required else [])):
            yield JsonObject(value, path=f"{self.path_of(name)}[{index}]")

    def list(self, name: str, *, default: "list[Any] | None" = None) -> "list[Any]":
        """Return a list of any values."""
        value = self._value(name, default)
        if not isinstance(value, list):
            raise self.error(name, "expected a list")
        return value

    def _value(self, name: str, default: Any) -> Any:
        value = self._fields.get(name)
        if value is not None:
            return value
        if default is None:
            raise self.error(name, "is missing")
        return default
