"""Reads the text and settings files named on the command line."""

from pathlib import Path
from typing import TypeVar

from returns.result import Failure
from wasabilb_core.settings import AgentSettings, EntrySettings, parse_settings

from wasabilb_node.commands import CommandError

SettingsT = TypeVar("SettingsT", EntrySettings, AgentSettings)
_MAX_TOML_BYTES = 2 << 20


def read_text(path: str, *, max_bytes: int = _MAX_TOML_BYTES) -> str:
    """Return the text of a small UTF-8 file.

    Raises
    ------
    CommandError
        When the file cannot be read, is too large or is not UTF-8.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise CommandError(f"{path}: expected at most {max_bytes} bytes")
        return data.decode()
    except OSError as exc:
        raise CommandError(f"{path}: {exc.strerror or exc}") from None
    except UnicodeDecodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        raise CommandError(f"{path}:{line}: expected UTF-8 text") from None


def load_settings(path: str, cls: type[SettingsT]) -> SettingsT:
    """Return the settings in a file.

    Raises
    ------
    CommandError
        With the first problem and the number of the others; `wasabilb check` lists all.
    """
    result = parse_settings(read_text(path), cls)
    if isinstance(result, Failure):
        first, *others = result.failure()
        more = f" (and {len(others)} more; see wasabilb check)" if others else ""
        raise CommandError(f"{path}: {first}{more}")
    return result.unwrap()
