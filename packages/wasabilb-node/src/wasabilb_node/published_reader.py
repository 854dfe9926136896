"""Reads the platform's published state and merges it, also over the eras of its store."""

import asyncio
import random
from collections.abc import Callable

from attrs import field, frozen
from returns.result import Failure, Result, Success
from wasabilb_core.errors import Error, unavailable
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import StatePosition

from wasabilb_node.clock import now
from wasabilb_node.published_source import PublishedSource

# Backoff of a reader whose call was refused or failed. Peers with access announce changes
# meanwhile, so a shorter backoff is not needed.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 0.8
# Changes within this time are read together. A roll-out to 76 runners makes some 30 changes a
# second.
BATCH_S = 0.1
# Interval at which the position of the platform is read, seconds. A watch proves nothing before it
# is answered, so a process takes a new publication for at most this much older than it is.
POSITION_INTERVAL_S = 0.5


@frozen(kw_only=True)
class Reading:
    """What one call to the platform changed, and the time to wait before the next one."""

    changed: list[StateItem] = field(factory=list)
    pause_s: float = 0.0


class PublishedReader:
    """Merges the platform's answers into the published state, one call at a time.

    Parameters
    ----------
    state : PublishedState
        The published state known so far.
    source : PublishedSource
        The platform.
    rng : random.Random
        Jitter of the pauses.
    """

    def __init__(
        self, *, state: PublishedState, source: PublishedSource, rng: random.Random
    ) -> None:
        self._state = state
        self._source = source
        self._rng = rng
        self._is_history_lost = False
        # Era that the newest answer named.
        self._named_era: int | None = None
        # Calls for changes in a row that the platform could not answer with changes.
        self._lost_histories = 0

    @property
    def needs_snapshot(self) -> bool:
        """Return whether the next call reads a snapshot."""
        return self._state.position.is_start or self._is_history_lost

    async def read(self) -> Result[Reading, Error]:
        """Read a snapshot or wait for changes, and return what changed.

        Fails when there is no answer, or one that is older than the known state.
        """
        if self.needs_snapshot:
            return await self._read_snapshot()
        return await self._read_changes()

    async def check_positions(self, is_reading: Callable[[], bool]) -> None:
        """Read the position of the platform at intervals, until cancelled.

        Parameters
        ----------
        is_reading : callable
            Returns whether this process reads the platform now.
        """
        while True:
            await asyncio.sleep(POSITION_INTERVAL_S)
            if is_reading() and self._source.position is not None and not self.needs_snapshot:
                requested_at = now()
                position = (await self._source.position()).value_or(None)
                # The watch processes failures and later eras.
                if position is not None and position.era == self._state.position.era:
                    self._state.read_times.on_answer(position, requested_at)

    async def _read_changes(self) -> Result[Reading, Error]:
        after = self._state.position
        requested_at = now()
        result = await self._source.changes(after.revision)
        if isinstance(result, Failure):
            return Failure(result.failure())
        changes = result.unwrap()
        self._named_era = changes.era
        if changes.is_history_lost and changes.era is None:
            return Success(self._on_history_lost())
        era = self._check_era(changes.era)
        if isinstance(era, Failure):
            return Failure(era.failure())
        # Revisions of a later era are given out again, so its changes after one are not all.
        if changes.is_history_lost or era.unwrap() != after.era:
            return Success(self._on_history_lost())
        self._lost_histories = 0
        position = StatePosition(era=after.era, revision=changes.revision)
        self._state.read_times.on_answer(position, requested_at)
        changed = self._state.on_changes(changes.items, after=after, position=position)
        pause_s = BATCH_S * self._rng.uniform(0.5, 1.5) if changes.items else 0.0
        return Success(Reading(changed=changed, pause_s=pause_s))

    async def _read_snapshot(self) -> Result[Reading, Error]:
        requested_at = now()
        result = await self._source.snapshot()
        if isinstance(result, Failure):
            return Failure(result.failure())
        snapshot = result.unwrap()
        era = self._check_era(snapshot.era)
        if isinstance(era, Failure):
            return Failure(era.failure())
        if not self._may_begin(era.unwrap()):
            return Success(self._on_history_lost())
        self._is_history_lost = False
        position = StatePosition(era=era.unwrap(), revision=snapshot.revision)
        self._state.read_times.on_answer(position, requested_at)
        return Success(Reading(changed=self._state.on_snapshot(snapshot.items, position)))

    def _may_begin(self, era: int) -> bool:
        """Return whether a snapshot of an era may be merged.

        Answers of earlier eras count as none, so that one answer with a wrong era must not end the
        reading for good: two answers in a row name a later era before it begins.
        """
        known, named, self._named_era = self._state.position, self._named_era, era
        return known.is_start or era in (known.era, named)

    def _on_history_lost(self) -> Reading:
        """Read a snapshot next, after a pause if the last one did not help."""
        self._is_history_lost = True
        self._lost_histories += 1
        if self._lost_histories == 1:
            return Reading()
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(self._lost_histories - 2, 8))
        return Reading(pause_s=pause_s * self._rng.uniform(0.5, 1.0))

    def _check_era(self, era: int | None) -> Result[int, Error]:
        """Return the era of an answer, unless it is known that the store is in a later one."""
        known = self._state.position.era
        if era is None and known:
            return unavailable(f"an answer without an era, {known} is known")
        if (era or 0) < known:
            return unavailable(f"an answer of era {era}, {known} is known")
        return Success(era or 0)
