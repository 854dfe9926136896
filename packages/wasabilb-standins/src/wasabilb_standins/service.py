"""Stand-in for a plain service; it counts executions, so that duplicates are visible."""

import asyncio
import hashlib
import time
from collections import Counter, deque
from typing import Any

from attrs import field, frozen
from attrs.validators import in_
from tornado.web import Finish

from wasabilb_standins.base import STANDINS, Handler
from wasabilb_standins.crashes import CrashFaults, CrashingStandin, crash_if_due

MAX_RECORDED = 100_000
_FAULT_MOMENTS = ("", "before", "after")


@frozen(kw_only=True)
class ServiceSettings:
    """Behaviour of a service without faults.

    Parameters
    ----------
    name : str
        Name that its answers contain.
    work_s : float
        Duration of an execution, until its answer.
    """

    name: str = "service"
    work_s: float = 0.0


@frozen(kw_only=True)
class ServiceFaults(CrashFaults):
    """Faults of a service; `crash_text` is looked for in the path and the body.

    Parameters
    ----------
    slow : float
        Factor on `work_s`.
    delay_s : float
        Delay before each execution.
    stall : str
        `before` or `after` the execution: send nothing until the caller closes the connection.
    drop : str
        `before` or `after` the execution: close the connection without an answer.
    status : int
        Status of the answers after an execution, instead of 200.
    """

    slow: float = field(default=1.0, converter=float)
    delay_s: float = field(default=0.0, converter=float)
    stall: str = field(default="", validator=in_(_FAULT_MOMENTS))
    drop: str = field(default="", validator=in_(_FAULT_MOMENTS))
    status: int = 200


@STANDINS.register("service")
class Service(CrashingStandin[ServiceSettings, ServiceFaults]):
    """Plain service; an execution is counted when it starts."""

    settings_type = ServiceSettings
    faults_type = ServiceFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.by_key: Counter[str] = Counter()
        self.by_body: Counter[str] = Counter()
        self.calls: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED)
        self.total = 0

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return one handler for all paths."""
        return [(r"/.*", ServiceHandler)]

    def execute(self, *, method: str, path: str, key: str, body: bytes) -> dict[str, Any]:
        """Count an execution and return the answer."""
        digest = hashlib.sha256(body).hexdigest()
        self.total += 1
        self.by_body[digest] += 1
        if key:
            self.by_key[key] += 1
        self.calls.append(
            {"method": method, "path": path, "key": key, "body": digest, "at": time.monotonic()}
        )
        return {
            "service": self.settings.name,
            "method": method,
            "path": path,
            "key": key,
            "body": digest,
            "execution": self.total,
            "executions_of_key": self.by_key[key] if key else 0,
            "executions_of_body": self.by_body[digest],
        }

    def record(self) -> dict[str, Any]:
        """Return the numbers of executions by key, by SHA-256 of the body and in total."""
        return {
            "total": self.total,
            "by_key": dict(self.by_key),
            "by_body": dict(self.by_body),
            "calls": list(self.calls),
        }


class ServiceHandler(Handler):
    """Requests with any method and path."""

    standin: Service

    async def _respond(self) -> None:
        service = self.standin
        await self._apply_fault("before")
        if service.faults.delay_s:
            await self.wait_or_finish(asyncio.sleep(service.faults.delay_s))
        answer = service.execute(
            method=str(self.request.method),
            path=self.request.uri or "",
            key=self.request.headers.get("Idempotency-Key", ""),
            body=self.request.body,
        )
        await crash_if_due(self, f"{self.request.uri} {self.request.body.decode(errors='replace')}")
        # An execution that has started continues after its caller has disconnected.
        await asyncio.sleep(service.settings.work_s * service.faults.slow)
        await self._apply_fault("after")
        self.set_status(service.faults.status)
        if not self.closed.done():
            self.write(answer)

    async def _apply_fault(self, moment: str) -> None:
        faults = self.standin.faults
        if faults.stall == moment:
            await self.wait_for_close()
        if faults.drop == moment:
            self.cut()
            raise Finish()

    get = head = post = put = patch = delete = options = _respond
