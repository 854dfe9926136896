"""Base classes of the HTTP stand-ins: life cycle, faults, records and JSON handlers."""

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

# Weights arrive in chunks of at most 1 MiB; tests may send larger bodies to other paths.
MAX_BODY_BYTES = 16 << 20


class ErrorAnswer(tornado.web.HTTPError):
    """Error status that is answered with a JSON body."""

    def __init__(self, status: int, error: str, **fields: Any) -> None:
        super().__init__(status)
        self.payload = {"error": error, **fields}


class Standin(Generic[S, F]):
    """HTTP server on a loopback port with settings, faults and a record.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects an ephemeral port, which a restart keeps.
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
        """Start the server; connections are accepted when this returns."""
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
        """Change the given faults; an unknown name or a wrong type raises an error."""
        self.faults = attrs.evolve(self.faults, **changes)  # type: ignore[misc]
        self.notify()

    def clear_faults(self) -> None:
        """Clear all faults."""
        self.faults = self.faults_type()
        self.notify()

    def on_fault(self, body: dict[str, Any]) -> dict[str, Any]:
        """Apply the body of `POST /fault`, return all faults; an invalid one raises ValueError."""
        if body.pop("reset", False):
            self.clear_faults()
        try:
            self.set_faults(**body)
        except TypeError as exc:
            raise ValueError(exc.args[0]) from None
        return attrs.asdict(self.faults)

    def notify(self) -> None:
        """Wake all tasks that wait in `wait_for_change`."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change of faults or of watched state."""
        await self._change_event.wait()

    def routes(self) -> list[tuple[str, type["Handler"]]]:
        """Return the paths of this stand-in and their handlers."""
        raise NotImplementedError

    def record(self) -> dict[str, Any]:
        """Return the recorded activity, for checks."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Start background tasks."""

    async def on_stop(self) -> None:
        """Stop background tasks."""


STANDINS: Registry[Standin[Any, Any]] = Registry(kind="stand-in")


class Handler(tornado.web.RequestHandler):
    """Request handler that stops waiting when its connection closes or the stand-in stops."""

    standin: Any
    is_control: ClassVar[bool] = False

    def initialize(self, standin: Any) -> None:
        """Store the stand-in that owns the handler."""
        self.standin = standin
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def prepare(self) -> None:
        """Delay the request while the stand-in is stalled."""
        self.standin.handlers.add(self)
        while not self.is_control and getattr(self.standin.faults, "stall", None) is True:
            await self.wait_or_finish(self.standin.wait_for_change())

    def on_finish(self) -> None:
        """Remove the request from the open ones."""
        self.standin.handlers.discard(self)

    def on_connection_close(self) -> None:
        """Cancel all waits of the request."""
        if not self.closed.done():
            self.closed.set_result(None)
        self.standin.handlers.discard(self)

    async def wait_or_finish(self, awaitable: Awaitable[T]) -> T:
        """Return a result, or finish the request if its connection closes first."""
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
        """Wait without sending until the caller closes the connection."""
        await self.wait_or_finish(asyncio.Event().wait())

    def cut(self) -> None:
        """Close the connection without an answer, or in the middle of one."""
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
        """Write an error as JSON."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        payload = exc.payload if isinstance(exc, ErrorAnswer) else {"error": str(exc)}
        if "retry_after_s" in payload:
            self.set_header("Retry-After", str(payload["retry_after_s"]))
        self.finish(payload)

    def log_exception(self, *args: Any) -> None:
        """Log unexpected exceptions only, as error answers are intended."""
        if not isinstance(args[1], tornado.web.HTTPError):
            super().log_exception(*args)


class FaultHandler(Handler):
    """`POST /fault`: change the named faults; `{"reset": true}` clears the others."""

    is_control = True

    async def post(self) -> None:
        """Apply the change and return all faults."""
        try:
            self.write(self.standin.on_fault(self.json_body()))
        except ValueError as exc:
            raise ErrorAnswer(400, f"wrong fault: {exc.args[0]}") from None


class RecordHandler(Handler):
    """`GET /record`: the record of the stand-in."""

    is_control = True

    async def get(self) -> None:
        """Return the record as JSON."""
        self.write(self.standin.record())
