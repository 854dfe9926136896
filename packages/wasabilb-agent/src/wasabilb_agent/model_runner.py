"""Interface of the model runner beside an agent, for loading weights."""

from enum import Enum, unique
from typing import Protocol

from attrs import frozen
from returns.result import Result
from wasabilb_core.errors import Error
from wasabilb_core.runner_directory import HeldWeights


@frozen(kw_only=True)
class RunnerState(HeldWeights):
    """Report of a model runner: its state and the loaded weights.

    Parameters
    ----------
    born_ms : int
        Wall time of its start in milliseconds, which identifies the incarnation.
    model : str
        Model that it holds; empty for none.
    is_busy : bool
        Whether an order is in progress.
    orders : int
        Orders begun since its start.
    running, waiting : int
        Numbers of requests.
    memory_used, memory_total : int
        Memory for requests, in the engine's own units.
    pace : float
        1.0 at the usual speed, higher on a slowed host.
    """

    born_ms: int
    model: str
    is_busy: bool
    orders: int
    running: int = 0
    waiting: int = 0
    memory_used: int = 0
    memory_total: int = 0
    pace: float = 1.0


@unique
class OrderAnswer(Enum):
    """Answer of a runner to an order."""

    BEGUN = "begun"
    IN_EFFECT = "in-effect"
    CONFLICT = "conflict"
    REFUSED = "refused"


class ModelRunner(Protocol):
    """Calls to the runner on this host."""

    async def state(self) -> Result[RunnerState, Error]:
        """Return the newest state."""

    async def put_chunk(self, model: str, index: int, data: bytes) -> Result[None, Error]:
        """Stage a chunk beside the runner, in place of an earlier one."""

    async def staged_chunk(
        self, model: str, index: int, *, max_bytes: int
    ) -> Result[bytes | None, Error]:
        """Return a staged chunk, None when there is none; `TOO_LARGE` above `max_bytes`."""

    async def load(
        self, model: str, version: int, *, fence: int, orders: int, send_by: float
    ) -> Result[OrderAnswer, Error]:
        """Order the runner to load the staged version if it has begun `orders` orders so far.

        The order is not sent from `send_by` on, seconds on the process's clock, as what is known
        of the staged chunks is too old then.
        """
