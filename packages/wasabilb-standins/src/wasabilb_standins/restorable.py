"""Restore of a stand-in from an older copy of what was written to it."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

from attrs import field, frozen
from attrs.validators import ge

from wasabilb_standins.base import ErrorAnswer, Handler

# Header of all answers: how often the service has come back from a copy.
ERA_HEADER = "Era"

W = TypeVar("W")


@frozen(kw_only=True)
class Restore:
    """An absence of the service, and the copy from which it comes back.

    Parameters
    ----------
    away_s : float
        Duration of the absence, seconds.
    copy_age_s : float
        Age of the copy at the beginning of the absence, seconds.
    rewrite_s : float
        Time after the return within which each writer has written again what was lost, seconds.
    seed : int
        Seed of the moments at which the writers do so.
    """

    away_s: float = field(default=0.0, converter=float, validator=ge(0.0))
    copy_age_s: float = field(default=0.0, converter=float, validator=ge(0.0))
    rewrite_s: float = field(default=0.0, converter=float, validator=ge(0.0))
    seed: int = field(default=0, converter=int)

    def rewrite_delays_s(self, count: int) -> list[float]:
        """Return the delays after the return at which `count` writes are made again, in order."""
        rng = random.Random(self.seed)
        return sorted(rng.uniform(0.0, self.rewrite_s) for _ in range(count))


class Restorable(Protocol):
    """Stand-in that can play a restore."""

    def set_faults(self, **changes: Any) -> None:
        """Change the given faults."""

    async def play_restore(self, restore: Restore) -> None:
        """Play an absence, the return from the copy and the repeated writes."""


async def play_restore(
    standin: Restorable,
    restore: Restore,
    *,
    restore_copy: Callable[[], Sequence[W]],
    write: Callable[[W], object],
) -> None:
    """Play a restore of a stand-in.

    Parameters
    ----------
    restore_copy : callable
        Restores the copy and returns the writes that it lacks, in their order.
    write : callable
        Makes one of these writes again.
    """
    standin.set_faults(down="drop")
    await asyncio.sleep(restore.away_s)
    lost = restore_copy()
    standin.set_faults(down="")
    waited_s = 0.0
    for lost_write, delay_s in zip(lost, restore.rewrite_delays_s(len(lost)), strict=True):
        await asyncio.sleep(delay_s - waited_s)
        waited_s = delay_s
        write(lost_write)


class EraHandler(Handler):
    """Base class of handlers whose answers tell the era, also those that refuse."""

    standin: Any

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> "asyncio.Future[None]":
        """Send the answer; a service that is down does not tell its era."""
        if not self.standin.faults.down:
            self.set_header(ERA_HEADER, str(self.standin.era))
        return super().finish(chunk)


class RestoreHandler(Handler):
    """`POST /restore` with fields of `Restore`, for tests; answers when the restore has ended."""

    is_control = True
    standin: Any

    async def post(self) -> None:
        """Play the restore."""
        try:
            restore = Restore(**self.json_body())
        except (TypeError, ValueError) as exc:
            raise ErrorAnswer(400, f"wrong restore: {exc}") from None
        await self.standin.play_restore(restore)
        self.write(self.standin.record())
