"""The model runner beside an agent, as far as loading weights needs it."""

from enum import Enum, unique
from typing import Protocol

from attrs import frozen
from returns.result import Result
from wasabilb_core.errors import Error
from wasabilb_core.runner_directory import HeldWeights


@frozen(kw_only=True)
class RunnerState(HeldWeights):
    """What a model runner reports of itself, with the weights that are loaded.

    Parameters
    ----------
    born_ms : int
        Wall time of its start in milliseconds, which names the incarnation.
    model : str
        Model that it holds; empty for none.
    is_busy : bool
        Whether an order is in progress.
    orders : int
        Orders that it has begun since its start.
    running, waiting : int
        Requests.
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
    """How a runner answered an order."""

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

    async def staged_chunk(self, model: str, index: int) -> Result[bytes | None, Error]:
        """Return a staged chunk, None when there is none."""

    async def load(
        self, model: str, version: int, *, fence: int, orders: int
    ) -> Result[OrderAnswer, Error]:
        """Order the runner to load what is staged, once it has begun so many orders before."""
