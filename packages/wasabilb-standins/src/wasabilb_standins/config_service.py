"""Stand-in for the configuration service: published tickets, read-only for the system."""

import asyncio
import contextlib
import time
import tomllib
from collections import Counter
from typing import Any

from attrs import field, frozen
from attrs.validators import in_, instance_of
from tornado.web import Finish
from wasabilb_core.tickets import MAX_TICKET_BYTES, ticket_digest

from wasabilb_standins.base import STANDINS, ErrorAnswer, Handler, Standin
from wasabilb_standins.restorable import EraHandler, Restore, RestoreHandler, play_restore

MAX_WATCH_S = 60.0


@frozen(kw_only=True)
class ConfigSettings:
    """Behaviour of the service without faults.

    Parameters
    ----------
    reads_per_s : int
        Maximum reads in one second, over all callers; more are answered with 429. A call counts as
        one read, a pending watch as one read in each further second.
    """

    reads_per_s: int = 2000


@frozen(kw_only=True)
class ConfigFaults:
    """Faults of the service.

    Parameters
    ----------
    down : str
        `503` answers with this status, `drop` closes the connection; `stop()` refuses connections.
    stale_tickets : int
        Number of latest publications that are not shown.
    delay_s : float
        Delay of each call.
    stall : bool
        Send nothing.
    """

    down: str = field(default="", converter=str, validator=in_(("", "503", "drop")))
    stale_tickets: int = field(default=0, validator=instance_of(int))
    delay_s: float = field(default=0.0, converter=float)
    stall: bool = field(default=False, validator=instance_of(bool))


@frozen(kw_only=True)
class Publication:
    """One published text.

    Parameters
    ----------
    era : int
        Era in which it was published; a copy keeps it.
    at : float
        Monotonic time of the publication, seconds.
    """

    number: int
    text: str
    era: int
    at: float


@STANDINS.register("config_service")
class ConfigService(Standin[ConfigSettings, ConfigFaults]):
    """Configuration service; tests call `publish` and `play_restore`."""

    settings_type = ConfigSettings
    faults_type = ConfigFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.published: list[Publication] = []
        self.era = 0
        self._started = time.monotonic()
        self.reads: Counter[int] = Counter()
        self.calls: Counter[str] = Counter()
        self.refused = 0
        self.pending_watches = 0

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return the service's paths."""
        return [
            (r"/v1/index", IndexHandler),
            (r"/v1/tickets/(\d+)", TicketHandler),
            (r"/v1/watch", WatchHandler),
            (r"/publish", PublishHandler),
            (r"/restore", RestoreHandler),
        ]

    def publish(self, text: str, number: int | None = None) -> int:
        """Publish a ticket under its number; by default the number is read from the text."""
        if len(text.encode()) > MAX_TICKET_BYTES:
            raise ValueError(f"a ticket has at most {MAX_TICKET_BYTES} bytes")
        if number is None:
            found = tomllib.loads(text).get("number")
            if not isinstance(found, int):
                raise ValueError("the text has no ticket number")
            number = found
        self.published.append(
            Publication(number=number, text=text, era=self.era, at=time.monotonic())
        )
        self.notify()
        return number

    def restore(self, copied_at: float) -> list[Publication]:
        """Return to the copy of a moment in a new era; return the publications that it lacks."""
        lost = [published for published in self.published if published.at > copied_at]
        self.published = [published for published in self.published if published not in lost]
        self.era += 1
        self.notify()
        return lost

    async def play_restore(self, restore: Restore) -> None:
        """Play an absence, the return from the copy and the repeated publications."""
        copied_at = time.monotonic() - restore.copy_age_s
        await play_restore(
            self,
            restore,
            restore_copy=lambda: self.restore(copied_at),
            write=lambda lost: self.publish(lost.text, lost.number),
        )

    def shown(self) -> dict[int, Publication]:
        """Return the currently shown publications by number."""
        shown_count = len(self.published) - self.faults.stale_tickets
        return {shown.number: shown for shown in self.published[: max(0, shown_count)]}

    def tickets(self) -> dict[int, str]:
        """Return the currently shown texts by number."""
        return {number: shown.text for number, shown in self.shown().items()}

    def index(self) -> dict[str, Any]:
        """Return the answer to `/v1/index`, with the digests of `ticket_digest` in hex."""
        shown = self.shown()
        return {
            "era": self.era,
            "newest": max(shown, default=0),
            "tickets": [
                {
                    "number": number,
                    "digest": f"{ticket_digest(published.text):016x}",
                    "era": published.era,
                }
                for number, published in sorted(shown.items())
            ],
        }

    def count_read(self, path: str) -> bool:
        """Count a read in the current second and return whether it is within the limit."""
        second = self.second()
        if self.reads[second] >= self.settings.reads_per_s:
            self.refused += 1
            return False
        self.reads[second] += 1
        self.calls[path] += 1
        return True

    def second(self) -> int:
        """Return the number of the current second since the start."""
        return int(time.monotonic() - self._started)

    def time_to_next_second_s(self) -> float:
        """Return the seconds until the number of the current second changes."""
        return self.second() + 1 - (time.monotonic() - self._started)

    def record(self) -> dict[str, Any]:
        """Return the reads per second since the start, and the calls by kind."""
        return {
            "reads_per_second": [self.reads[n] for n in range(self.second() + 1)],
            "reads": sum(self.reads.values()),
            "calls": dict(self.calls),
            "refused": self.refused,
            "pending_watches": self.pending_watches,
        }


class ConfigHandler(EraHandler):
    """Base class of handlers whose calls are counted and subject to faults."""

    standin: ConfigService

    async def admit(self, path: str) -> None:
        """Apply the faults and the read limit."""
        faults = self.standin.faults
        if faults.delay_s:
            await self.wait_or_finish(asyncio.sleep(faults.delay_s))
        self.check_available()
        if not self.standin.count_read(path):
            raise ErrorAnswer(429, "too many reads", retry_after_s=1)

    def check_available(self) -> None:
        """Refuse the request or drop its connection if the service is down."""
        if self.standin.faults.down == "503":
            raise ErrorAnswer(503, "the service is down")
        if self.standin.faults.down == "drop":
            self.cut()
            raise Finish()


class IndexHandler(ConfigHandler):
    """`GET /v1/index`."""

    async def get(self) -> None:
        """Return ticket numbers and digests."""
        await self.admit("index")
        self.write(self.standin.index())


class TicketHandler(ConfigHandler):
    """`GET /v1/tickets/N`."""

    async def get(self, number: str) -> None:
        """Return the text of a ticket."""
        await self.admit("tickets")
        text = self.standin.tickets().get(int(number))
        if text is None:
            raise ErrorAnswer(404, "no such ticket")
        self.set_header("Content-Type", "application/toml")
        self.write(text)


class WatchHandler(ConfigHandler):
    """`GET /v1/watch?after=N&era=E&timeout=S`."""

    async def get(self) -> None:
        """Return the index when a number above `after` is shown or the timeout has passed.

        A position that the service does not have is answered with 410, also while a watch waits.
        """
        after = int(self.get_query_argument("after", "0"))
        era = int(self.get_query_argument("era", str(self.standin.era)))
        timeout_s = min(float(self.get_query_argument("timeout", "30")), MAX_WATCH_S)
        await self.admit("watch")
        service = self.standin
        service.pending_watches += 1
        try:
            await self._wait_for_newer(after, era, time.monotonic() + timeout_s)
        finally:
            service.pending_watches -= 1
        self.write(service.index())

    def _check_position(self, after: int, era: int) -> None:
        service = self.standin
        # A stale service shows less than it has, so that only a restore takes a position away.
        newest = max((published.number for published in service.published), default=0)
        if era != service.era or (service.era and after > newest):
            raise ErrorAnswer(410, "no such position after a restore", era=service.era)

    async def _wait_for_newer(self, after: int, era: int, due: float) -> None:
        service = self.standin
        counted_second = service.second()
        self._check_position(after, era)
        while service.index()["newest"] <= after and time.monotonic() < due:
            wait_s = min(service.time_to_next_second_s(), due - time.monotonic())
            with contextlib.suppress(TimeoutError):
                await self.wait_or_finish(
                    asyncio.wait_for(service.wait_for_change(), max(0.0, wait_s))
                )
            self.check_available()
            self._check_position(after, era)
            for second in range(counted_second + 1, service.second() + 1):
                service.reads[second] += 1
            counted_second = service.second()


class PublishHandler(Handler):
    """`POST /publish[?number=N]`, for tests."""

    is_control = True
    standin: ConfigService

    async def post(self) -> None:
        """Publish the body."""
        number = self.get_query_argument("number", "")
        try:
            text = self.request.body.decode()
            self.write({"number": self.standin.publish(text, int(number) if number else None)})
        except ValueError as exc:
            raise ErrorAnswer(400, str(exc)) from None
