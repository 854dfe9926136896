"""Check that the code reads every setting."""

import re
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs
from wasabilb_core.settings import AgentSettings, EntrySettings

ROOT = Path(__file__).resolve().parent.parent


def fields_of(kind: type, prefix: str = "") -> Iterator[tuple[str, str]]:
    """Yield the full name and the field name of each setting of a class and its sections."""
    for field in attrs.fields(attrs.resolve_types(kind)):
        name = f"{prefix}{field.name}"
        if isinstance(field.type, type) and attrs.has(field.type):
            yield from fields_of(field.type, f"{name}.")
        else:
            yield name, field.name


def main() -> int:
    """Print the settings that no code reads and return their number."""
    files = [
        path
        for path in (ROOT / "packages").glob("wasabilb-*/src/**/*.py")
        if "standins" not in str(path)
    ]
    text = "\n".join(path.read_text() for path in files)
    names = {
        name: field_name
        for kind in (EntrySettings, AgentSettings)
        for name, field_name in fields_of(kind)
    }
    unread_names = [
        name
        for name, field_name in names.items()
        if not re.search(rf"\.{field_name}\b|\"{field_name}\"", text)
    ]
    for name in sorted(unread_names):
        print(f"setting {name}: no code reads it")
    if not unread_names:
        print(f"settings: {len(names)} are read")
    return len(unread_names)


if __name__ == "__main__":
    sys.exit(main())
