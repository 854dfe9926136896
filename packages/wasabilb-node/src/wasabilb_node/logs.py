"""Structured logging: one key=value line per event, on standard error or in a file."""

import logging
import re
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from logfmter import Logfmter
from wasabilb_core.events import EVENTS
from wasabilb_core.hlc import HybridClock, Timestamp
from wasabilb_core.settings import LogSettings

LOGGER_NAME = "wasabilb"
# Printable ASCII without the space, the quote, the equals sign and the backslash.
_UNQUOTED = re.compile(r"[!#-<>-\[\]-~]*")
# Bearer tokens can reach a log through the message of a library's exception. White space may be
# escaped once or several times.
_BEARER_TOKEN = re.compile(r"(?i)(bearer(?:\s|\\+[nrt])+)[^\s\"'\\]+")


def configure_logging(settings: LogSettings) -> logging.Handler:
    """Send all log records to one handler and return it.

    Raises
    ------
    OSError
        When the log file cannot be opened.
    """
    handler: logging.Handler = logging.StreamHandler()
    if settings.path:
        handler = logging.FileHandler(settings.path, encoding="utf-8", errors="backslashreplace")
    handler.setFormatter(LineFormatter())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(settings.level.upper())
    return handler


class LineFormatter(Logfmter):
    """Formats events and plain records as logfmt and redacts bearer tokens."""

    def __init__(self) -> None:
        super().__init__(
            keys=["ts", "level", "logger"],
            mapping={"ts": "asctime", "level": "levelname", "logger": "name"},
        )

    @classmethod
    def format_value(cls, value: object) -> str:
        """Return a value as text; strings, the most frequent type, take a short cut."""
        return cls.format_string(value) if type(value) is str else str(super().format_value(value))

    @classmethod
    def format_string(cls, value: str) -> str:
        """Return a value quoted where needed.

        Most values need no quotes; the library's search for each control character would take
        most of the formatting time.
        """
        return value if _UNQUOTED.fullmatch(value) else str(super().format_string(value))

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        if isinstance(record.msg, dict):
            line = self.format_params(record.msg)
        else:
            line = super().format(record)
        return _BEARER_TOKEN.sub(r"\1[removed]", line)

    def formatTime(  # noqa: N802 - the name is that of the standard library
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the wall time of a record in the format of events."""
        return iso_time(record.created)


def iso_time(wall_s: float) -> str:
    """Return a wall time as ISO 8601 in UTC with milliseconds."""
    return datetime.fromtimestamp(wall_s, UTC).isoformat(timespec="milliseconds")[:-6] + "Z"


class EventLog:
    """Writes the events of one process.

    Parameters
    ----------
    process : str
        Process identifier.
    role : str
        `entry` or `agent`.
    host, failure_domain : str
        Location of the process.
    incarnation : str
        Incarnation of the process in hex.
    logger : logging.Logger or None
        Receives the records; the logger `wasabilb` by default.
    wall, monotonic : callable
        Clocks in seconds; tests pass their own.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        host: str,
        failure_domain: str,
        incarnation: str,
        logger: logging.Logger | None = None,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._common_fields = {
            "process": process,
            "role": role,
            "hostname": host,
            "failure_domain": failure_domain,
            "incarnation": incarnation,
        }
        self._logger = logger or logging.getLogger(LOGGER_NAME)
        self._wall = wall
        self._monotonic = monotonic
        self._clock = HybridClock()

    def event(self, name: str, /, *, level: int = logging.INFO, **fields: object) -> None:
        """Write one event.

        Fields that are not in the table of events are omitted and reported by `log_field_refused`,
        because an error in a log call must not end a request. The table holds no field that may
        carry a secret; `tools/check_events.py` verifies that. Fields that are None are omitted.
        """
        if not self._logger.isEnabledFor(level):
            return
        spec = EVENTS.get(name)
        allowed = spec.fields if spec else ()
        unknown_fields = [f for f in fields if f not in allowed]
        known_fields = (
            {f: v for f, v in fields.items() if f in allowed} if unknown_fields else fields
        )
        if spec is not None:
            self._write(name, level, known_fields)
        if spec is None or unknown_fields:
            names = {"in_event": name, "field": ",".join(unknown_fields) or "event"}
            self._write("log_field_refused", logging.ERROR, names)

    def timestamp(self) -> Timestamp:
        """Return the timestamp for a message to another process."""
        return self._clock.tick(self._wall_ms())

    def receive(self, timestamp: Timestamp) -> None:
        """Advance the clock by the timestamp of a message from another process."""
        self._clock.receive(timestamp, self._wall_ms())

    def _wall_ms(self) -> int:
        return int(self._wall() * 1000)

    def _write(self, name: str, level: int, fields: dict[str, Any]) -> None:
        wall = self._wall()
        line: dict[str, object] = {
            "ts": iso_time(wall),
            "mono": f"{self._monotonic():.6f}",
            "hlc": str(self._clock.tick(int(wall * 1000))),
            "level": logging.getLevelName(level),
            "event": name,
            **self._common_fields,
        }
        for field, value in fields.items():
            if value is not None:
                line[field] = round(value, 3) if isinstance(value, float) else value
        self._logger.log(level, line)
