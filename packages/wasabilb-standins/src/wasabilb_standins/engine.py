"""Stand-in for an inference engine: completions, orders, weights, reports and cache events.

`max_tokens` counts positions of the whole answer, so a resumed request repeats it unchanged. An
answer has the version that is serving when it gets a slot; the headers contain it.

Weights: `PUT /engine/weights/DIGEST` for each chunk, then `POST /engine/weights/commit` with
`{model, adapter, version, digests}`, then the order `load`. `unload` also releases the weights.
"""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Iterable
from typing import Any

from wasabilb_core.tickets import Variant

from wasabilb_standins import _engine_handlers as handlers
from wasabilb_standins import oracle
from wasabilb_standins._batch import Answer, Batch, new_answer
from wasabilb_standins._engine_settings import EngineFaults, EngineSettings
from wasabilb_standins._engine_weights import Deployments, EngineWeights
from wasabilb_standins._prefix_cache import PrefixCache
from wasabilb_standins.base import STANDINS, ErrorAnswer, Handler
from wasabilb_standins.crashes import CrashingStandin

MAX_RECORDED = 100_000
# The sampling interval limits the accuracy of a lagging report.
SAMPLES_PER_LAG = 10


@STANDINS.register("engine")
class Engine(CrashingStandin[EngineSettings, EngineFaults]):
    """Inference engine; see the module and `EngineSettings`."""

    settings_type = EngineSettings
    faults_type = EngineFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        cfg = self.settings
        self.weights = EngineWeights()
        self.cache = PrefixCache(capacity=cfg.cache_blocks, clock=time.monotonic)
        self.deployments = Deployments(
            weights=self.weights,
            load_s=lambda: cfg.load_s * self.faults.slow,
            on_change=self._sample,
        )
        self.batch = Batch(
            slots=cfg.slots,
            token_s=cfg.token_s,
            batch_growth=cfg.batch_growth,
            prefill_token_s=cfg.prefill_token_s,
            cache=self.cache,
            serving=self.deployments.serving,
            slow=lambda: float("inf") if self.faults.stall else self.faults.slow,
            clock=time.monotonic,
        )
        self.answers: deque[Answer] = deque(maxlen=MAX_RECORDED)
        self.orders: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED)
        self._open_answers: dict[str, Answer] = {}
        self._request_numbers = itertools.count(1)
        self._samples: deque[tuple[float, dict[str, Any]]] = deque()
        self._tasks: list[asyncio.Task[None]] = []
        for text in filter(None, cfg.models.split(",")):
            self.deployments.preload(oracle.parse_variant(text.strip()))
        self._sample()

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return the engine's paths."""
        return [
            (r"/v1/completions", handlers.CompletionsHandler),
            (r"/engine/cancel", handlers.CancelHandler),
            (r"/engine/report", handlers.ReportHandler),
            (r"/engine/orders", handlers.OrdersHandler),
            (r"/engine/weights/commit", handlers.CommitHandler),
            (r"/engine/weights/([0-9a-f]{64})", handlers.WeightsHandler),
            (r"/engine/cache-events", handlers.CacheEventsHandler),
            (r"/engine/kv/(export|import)", handlers.KvHandler),
        ]

    async def on_start(self) -> None:
        """Start the batch and the sampling of reports."""
        self._tasks = [
            asyncio.ensure_future(self.batch.run()),
            asyncio.ensure_future(self._sample_regularly()),
        ]

    async def on_stop(self) -> None:
        """Stop the batch and all loads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.deployments.stop()

    def notify(self) -> None:
        """Wake the batch as well, so that it applies changed faults."""
        super().notify()
        self.batch.wake()

    def submit(self, body: dict[str, Any]) -> Answer:
        """Queue a completion."""
        request_id = str(body.get("id") or f"engine-{next(self._request_numbers)}")
        if request_id in self._open_answers:
            raise ErrorAnswer(409, f"request {request_id} is in progress")
        try:
            answer = new_answer(body=body, request_id=request_id, now=time.monotonic())
        except ValueError as exc:
            raise ErrorAnswer(400, str(exc)) from None
        if self.deployments.serving(answer.model, answer.adapter) is None:
            raise ErrorAnswer(404, "the model is not loaded")
        self.answers.append(answer)
        self._open_answers[request_id] = answer
        self.batch.submit(answer)
        return answer

    def cancel(self, request_id: str, state: str = "cancelled") -> bool:
        """End a queued or running answer and return whether there was one."""
        answer = self._open_answers.get(request_id)
        return answer is not None and self.batch.end(answer, state)

    def release(self, answer: Answer) -> None:
        """Remove an answer whose connection is finished, and end it if it is still open."""
        self.batch.end(answer, "lost")
        self._open_answers.pop(answer.id, None)

    def is_death_due(self, sent: int) -> bool:
        """Return whether the connection is to die after this many tokens, and count it if so."""
        faults = self.faults
        if faults.die_after_tokens is None or sent < faults.die_after_tokens:
            return False
        if faults.die_answers == 0:
            return False
        if faults.die_answers > 0:
            self.set_faults(die_answers=faults.die_answers - 1)
        return True

    def report(self, *, is_fresh: bool) -> dict[str, Any]:
        """Return the state of `report_lag_s` ago; a fresh report has the current models."""
        if not self.settings.report_lag_s:
            self._sample()
        limit = time.monotonic() - self.settings.report_lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= limit:
            self._samples.popleft()
        report = dict(self._samples[0][1])
        if is_fresh:
            report.update(self._model_state())
        return report

    def record(self) -> dict[str, Any]:
        """Return the executions and orders."""
        return {
            "executions": [answer.to_json() for answer in self.answers],
            "orders": list(self.orders),
            "max_running": self.batch.max_running,
        }

    def _model_state(self) -> dict[str, Any]:
        return {
            "models": self.deployments.to_json(),
            "held": self.weights.to_json(),
            "role": self.deployments.role,
            "highest_fence": self.deployments.highest_fence,
        }

    def _sample(self) -> None:
        state = self._model_state()
        state["slots"] = self.settings.slots
        state["running"] = len(self.batch.running)
        state["queued"] = self.batch.queued
        state["cache_blocks"] = len(self.cache)
        state["fencing"] = self.settings.fencing
        self._samples.append((time.monotonic(), state))

    async def _sample_regularly(self) -> None:
        while True:
            self._sample()
            self.report(is_fresh=False)
            await asyncio.sleep(max(0.01, self.settings.report_lag_s / SAMPLES_PER_LAG))


def variants_text(variants: Iterable[Variant]) -> str:
    """Return variants as a value of the setting `models`."""
    return ",".join(str(variant) for variant in variants)
