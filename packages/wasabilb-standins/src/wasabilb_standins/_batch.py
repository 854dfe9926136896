"""Continuous batching in real time: a priority queue before a limited number of slots."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Any

from attrs import define, field
from wasabilb_core.tickets import Variant

from wasabilb_standins import oracle
from wasabilb_standins._prefix_cache import PrefixCache, block_hashes

# After a late wake-up the engine catches up by at most this many steps: a busy machine does not
# reduce the modelled token rate, and a long pause does not end in a burst.
MAX_LATE_STEPS = 5


@define(kw_only=True, eq=False)
class Answer:
    """Completion in the engine.

    Parameters
    ----------
    position : int
        Index of the next token; starts at `resume_from`.
    state : str
        `queued`, `running`, `finished`, `cancelled`, `lost` (connection closed), `died` (by a
        fault) or `refused` (model unloaded while queued).
    token_queue : asyncio.Queue
        Indices of the tokens to send; None marks the end.
    started : asyncio.Event
        Set when the answer has left the queue; `variant` is set if it runs.
    """

    id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    received: float
    position: int
    length: int
    state: str = "queued"
    variant: Variant | None = None
    admitted: float = 0.0
    ready: float = 0.0
    ended: float = 0.0
    token_queue: asyncio.Queue[int | None] = field(factory=asyncio.Queue)
    started: asyncio.Event = field(factory=asyncio.Event)

    def to_json(self) -> dict[str, Any]:
        """Return the entry of the record."""
        return {
            "id": self.id,
            "model": self.model,
            "adapter": self.adapter,
            "version": self.variant.version if self.variant else "",
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "priority": self.priority,
            "resume_from": self.resume_from,
            "tokens": self.position - self.resume_from,
            "state": self.state,
            "received": self.received,
            "admitted": self.admitted,
            "ended": self.ended,
        }


class Batch:
    """Generates all running answers in common steps of one token each.

    Parameters
    ----------
    slots : int
        Maximum number of running answers.
    token_s : float
        Step time with one running answer.
    batch_growth : float
        Relative growth of the step time for each further running answer.
    prefill_token_s : float
        Time per prompt token that is not in the cache.
    serving : callable
        Returns the variant that currently serves a model and adapter, or None.
    slow : callable
        Returns the current factor on all times; infinity means stalled.
    """

    def __init__(
        self,
        *,
        slots: int,
        token_s: float,
        batch_growth: float,
        prefill_token_s: float,
        cache: PrefixCache,
        serving: Callable[[str, str], Variant | None],
        slow: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._slots = slots
        self._token_s = token_s
        self._batch_growth = batch_growth
        self._prefill_token_s = prefill_token_s
        self._cache = cache
        self._serving = serving
        self._slow = slow
        self._clock = clock
        self._queue: list[tuple[int, int, Answer]] = []
        self._sequence = itertools.count()
        self._wake_event = asyncio.Event()
        self.running: list[Answer] = []
        self.max_running = 0

    @property
    def queued(self) -> int:
        """Return the number of answers waiting for a slot."""
        return sum(1 for _, _, answer in self._queue if answer.state == "queued")

    def submit(self, answer: Answer) -> None:
        """Queue an answer; lower priority numbers run first."""
        heapq.heappush(self._queue, (answer.priority, next(self._sequence), answer))
        self._wake_event.set()

    def end(self, answer: Answer, state: str) -> bool:
        """End an answer early and return whether it was still queued or running."""
        if answer.state not in ("queued", "running"):
            return False
        self._finish(answer, state)
        return True

    def wake(self) -> None:
        """Wake `run`, so that it applies changed faults."""
        self._wake_event.set()

    async def run(self) -> None:
        """Run steps until cancelled."""
        due = self._clock()
        while True:
            self._wake_event.clear()
            factor = self._slow()
            if factor == float("inf") or not (self.running or self._queue):
                await self._wake_event.wait()
                due = self._clock()
                continue
            self._admit(factor)
            growth = 1 + self._batch_growth * max(0, len(self.running) - 1)
            step = self._token_s * factor * growth
            due = max(due + step, self._clock() - MAX_LATE_STEPS * step)
            await asyncio.sleep(max(0.0, due - self._clock()))
            if self._slow() != float("inf"):
                self._emit()

    def _admit(self, factor: float) -> None:
        while self._queue and len(self.running) < self._slots:
            answer = heapq.heappop(self._queue)[2]
            if answer.state != "queued":
                continue
            variant = self._serving(answer.model, answer.adapter)
            if variant is None:
                self._finish(answer, "refused")
                continue
            now = self._clock()
            # A resumed answer has the tokens of earlier attempts as input too.
            tokens = self._cache.missing_tokens(variant, answer.prompt) + answer.resume_from
            answer.variant = variant
            answer.state = "running"
            answer.admitted = now
            answer.ready = now + tokens * self._prefill_token_s * factor
            answer.started.set()
            self.running.append(answer)
            self.max_running = max(self.max_running, len(self.running))

    def _emit(self) -> None:
        now = self._clock()
        for answer in list(self.running):
            if answer.ready > now:
                continue
            if answer.position == answer.resume_from and answer.variant:
                self._cache.store(answer.variant, block_hashes(answer.variant, answer.prompt))
            if answer.position < answer.length:
                answer.token_queue.put_nowait(answer.position)
                answer.position += 1
            if answer.position >= answer.length:
                self._finish(answer, "finished")

    def _finish(self, answer: Answer, state: str) -> None:
        answer.state = state
        answer.ended = self._clock()
        if answer in self.running:
            self.running.remove(answer)
        answer.token_queue.put_nowait(None)
        answer.started.set()


def new_answer(*, body: dict[str, Any], request_id: str, now: float) -> Answer:
    """Return the answer for a request body; an invalid body raises ValueError."""
    prompt, model = body.get("prompt"), body.get("model")
    numbers = [body.get("max_tokens", 16), body.get("priority", 0), body.get("resume_from", 0)]
    if not isinstance(prompt, str) or not isinstance(model, str):
        raise ValueError("model and prompt must be strings")
    if any(not isinstance(n, int) or isinstance(n, bool) for n in numbers):
        raise ValueError("max_tokens, priority and resume_from must be integers")
    max_tokens, priority, resume_from = numbers
    length = oracle.answer_length(prompt, max_tokens)
    if not 0 <= resume_from <= length:
        raise ValueError(f"resume_from is {resume_from}, the answer has {length} tokens")
    return Answer(
        id=request_id,
        model=model,
        adapter=body.get("adapter") or "",
        prompt=prompt,
        max_tokens=max_tokens,
        priority=priority,
        resume_from=resume_from,
        received=now,
        position=resume_from,
        length=length,
    )
