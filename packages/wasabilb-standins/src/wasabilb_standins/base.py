"""What all HTTP stand-ins share: start and stop, faults, records and JSON handlers."""

import asyncio
import json
from collections.abc import Awaitable
from typing import Any, ClassVar, Generic, TypeVar

import attrs
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from wasabilb_core.registry import Registry

S = TypeVar("S")
F = TypeVar("F", bound=attrs.AttrsInstance)
T = TypeVar("T")

# Weights arrive in chunks of at most 1 MiB; tests may use larger bodies elsewhere.
MAX_BODY_BYTES = 16 << 20


class ErrorAnswer(tornado.web.HTTPError):
    """An answer with an error status and a JSON body."""

    def __init__(self, status: int, error: str, **fields: Any) -> None:
        super().__init__(status)
        self.payload = {"error": error, **fields}


class Standin(Generic[S, F]):
    """One HTTP server on a loopback port with settings, faults and a record.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 takes an ephemeral one, which a restart keeps.
    **options
        Fields of `settings_type`.
    """

    settings_type: ClassVar[type[Any]]
    faults_type: ClassVar[type[Any]]

    def __init__(self, *, address: str = "127.0.0.1", port: int = 0, **options: Any) -> None:
        self.address = address
        self.port = port
        self.settings: S = self.settings_type(**options)
        self.faults: F = self.faults_type()
        self.handlers: set[Handler] = set()
        self._server: HTTPServer | None = None
        self._change_event: asyncio.Event = asyncio.Event()

    async def start(self) -> None:
        """Listen; after it returns, connections are accepted."""
        app = tornado.web.Application(
            [
                (r"/fault", FaultHandler, {"standin": self}),
                (r"/record", RecordHandler, {"standin": self}),
                *((path, cls, {"standin": self}) for path, cls in self.routes()),
            ],
            log_function=lambda handler: None,
        )
        sockets = bind_sockets(self.port, self.address)
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(app, max_buffer_size=MAX_BODY_BYTES * 2)
        self._server.add_sockets(sockets)
        await self.on_start()

    async def stop(self) -> None:
        """Stop listening and close all connections at once, as a killed process would."""
        if self._server is None:
            return
        self._server.stop()
        await self.on_stop()
        for handler in list(self.handlers):
            handler.cut()
        await self._server.close_all_connections()
        self._server = None

    @property
    def url(self) -> str:
        """Return the base address, without a slash at the end."""
        return f"http://{self.address}:{self.port}"

    def set_faults(self, **changes: Any) -> None:
        """Change some faults; an unknown name or a wrong type raises."""
        self.faults = attrs.evolve(self.faults, **changes)  # type: ignore[misc]
        self.notify()

    def clear_faults(self) -> None:
        """Switch all faults off."""
        self.faults = self.faults_type()
        self.notify()

    def on_fault(self, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out `POST /fault` and return all faults; a wrong body raises ValueError."""
        if body.pop("reset", False):
            self.clear_faults()
        try:
            self.set_faults(**body)
        except TypeError as exc:
            raise ValueError(exc.args[0]) from None
        return attrs.asdict(self.faults)

    def notify(self) -> None:
        """Wake everything that waits in `changed`."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change of faults or of watched state."""
        await self._change_event.wait()

    def routes(self) -> list[tuple[str, type["Handler"]]]:
        """Return the paths of this stand-in and their handlers."""
        raise NotImplementedError

    def record(self) -> dict[str, Any]:
        """Return what was done so far, for checks."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Start background tasks."""

    async def on_stop(self) -> None:
        """End background tasks."""


STANDINS: Registry[Standin[Any, Any]] = Registry(kind="stand-in")


class Handler(tornado.web.RequestHandler):
    """A handler whose waits end when the connection closes or the stand-in stops."""

    standin: Any
    is_control: ClassVar[bool] = False

    def initialize(self, standin: Any) -> None:
        """Remember the stand-in that owns the handler."""
        self.standin = standin
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def prepare(self) -> None:
        """Hold the request while the stand-in stalls."""
        self.standin.handlers.add(self)
        while not self.is_control and getattr(self.standin.faults, "stall", None) is True:
            await self.wait_or_finish(self.standin.wait_for_change())

    def on_finish(self) -> None:
        """Forget the request."""
        self.standin.handlers.discard(self)

    def on_connection_close(self) -> None:
        """End all waits of the request."""
        if not self.closed.done():
            self.closed.set_result(None)
        self.standin.handlers.discard(self)

    async def wait_or_finish(self, awaitable: Awaitable[T]) -> T:
        """Wait for a result, or end the request when its connection is closed first."""
        task = asyncio.ensure_future(awaitable)
        try:
            if not task.done():
                both: set[asyncio.Future[Any]] = {task, self.closed}
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise tornado.web.Finish()
            return task.result()
        except StreamClosedError:
            raise tornado.web.Finish() from None
        finally:
            task.cancel()

    async def wait_for_close(self) -> None:
        """Send nothing until the caller closes the connection."""
        await self.wait_or_finish(asyncio.Event().wait())

    def cut(self) -> None:
        """Close the connection without an answer or an end."""
        self.on_connection_close()
        if not self._finished:
            self.detach().close()

    def json_body(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as exc:
            raise ErrorAnswer(400, f"the body is not JSON: {exc}") from None
        if not isinstance(body, dict):
            raise ErrorAnswer(400, "the body is not a JSON object")
        return body

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error as JSON."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        payload = exc.payload if isinstance(exc, ErrorAnswer) else {"error": str(exc)}
        if "retry_after_s" in payload:
            self.set_header("Retry-After", str(payload["retry_after_s"]))
        self.finish(payload)

    def log_exception(self, *args: Any) -> None:
        """Log unexpected exceptions only; refusals are answers."""
        if not isinstance(args[1], tornado.web.HTTPError):
            super().log_exception(*args)


class FaultHandler(Handler):
    """Changes the faults that the JSON object names; `{"reset": true}` clears the others."""

    is_control = True

    async def post(self) -> None:
        """Apply the change and answer all faults."""
        try:
            self.write(self.standin.on_fault(self.json_body()))
        except ValueError as exc:
            raise ErrorAnswer(400, f"wrong fault: {exc.args[0]}") from None


class RecordHandler(Handler):
    """Answers the record of the stand-in."""

    is_control = True

    async def get(self) -> None:
        """Answer the record as JSON."""
        self.write(self.standin.record())
