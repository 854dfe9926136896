"""HTTP handlers of the engine stand-in."""

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import tornado.web
from wasabilb_core.tickets import Variant

from wasabilb_standins import oracle
from wasabilb_standins._batch import Answer
from wasabilb_standins._prefix_cache import block_hashes
from wasabilb_standins.base import ErrorAnswer, Handler
from wasabilb_standins.crashes import crash_if_due

if TYPE_CHECKING:
    from wasabilb_standins.engine import Engine

# Interval at which a long poll checks for due events.
POLL_S = 0.02


def variant_from(body: dict[str, Any]) -> Variant:
    """Return the variant in a request body."""
    model, version = body.get("model"), body.get("version")
    if not isinstance(model, str) or not isinstance(version, str):
        raise ErrorAnswer(400, "model and version must be strings")
    return Variant(model=model, adapter=body.get("adapter") or "", version=version)


class EngineHandler(Handler):
    """Base class of the engine's handlers."""

    standin: "Engine"


class CompletionsHandler(EngineHandler):
    """`POST /v1/completions`."""

    async def post(self) -> None:
        """Send the answer as server-sent events or, without `stream`, as one JSON object."""
        body = self.json_body()
        answer = self.standin.submit(body)
        # Ends the answer and thereby the wait for its next token, without a task per token.
        self.closed.add_done_callback(lambda _: self.standin.release(answer))
        try:
            await self.wait_or_finish(answer.started.wait())
            if answer.variant is None:
                raise ErrorAnswer(409, answer.state)
            self.set_header("Engine-Model", answer.variant.model)
            self.set_header("Engine-Adapter", answer.variant.adapter)
            self.set_header("Engine-Version", answer.variant.version)
            if body.get("stream"):
                await self._send_stream(answer, answer.variant)
            else:
                await self._send_whole(answer, answer.variant)
        finally:
            self.standin.release(answer)

    async def _send_stream(self, answer: Answer, variant: Variant) -> None:
        self.set_header("Content-Type", "text/event-stream")
        await self._send("")
        await crash_if_due(self, answer.prompt)
        names = (variant.model, variant.adapter, variant.version)
        while (index := await self._next_token(answer)) is not None:
            text = oracle.token_text(*names, answer.prompt, index)
            event = {"index": index, "text": text, "model": names[0], "version": names[2]}
            await self._send(f"data: {json.dumps(event)}\n\n")
        end = {"index": answer.position, "finish_reason": self._finish_reason(answer)}
        self.finish(f"data: {json.dumps(end)}\n\ndata: [DONE]\n\n")

    async def _send_whole(self, answer: Answer, variant: Variant) -> None:
        await crash_if_due(self, answer.prompt)
        names = (variant.model, variant.adapter, variant.version)
        texts = []
        while (index := await self._next_token(answer)) is not None:
            texts.append(oracle.token_text(*names, answer.prompt, index))
        self.finish(
            {
                "index": answer.position,
                "text": "".join(texts),
                "model": variant.model,
                "version": variant.version,
                "finish_reason": self._finish_reason(answer),
            }
        )

    async def _next_token(self, answer: Answer) -> int | None:
        index = await answer.token_queue.get()
        if self.closed.done():
            raise tornado.web.Finish()
        sent = (answer.length if index is None else index) - answer.resume_from
        if self.standin.is_death_due(sent):
            self.standin.cancel(answer.id, "died")
            self.cut()
            raise tornado.web.Finish()
        while self.standin.faults.stall:
            await self.wait_or_finish(self.standin.wait_for_change())
        return index

    def _finish_reason(self, answer: Answer) -> str:
        if answer.state == "finished":
            return oracle.finish_reason(answer.prompt, answer.max_tokens)
        return answer.state

    async def _send(self, text: str) -> None:
        self.write(text)
        await self.wait_or_finish(self.flush())


class CancelHandler(EngineHandler):
    """`POST /engine/cancel`."""

    async def post(self) -> None:
        """Cancel a request by id and return whether it was queued or running."""
        self.write({"cancelled": self.standin.cancel(str(self.json_body().get("id")))})


class ReportHandler(EngineHandler):
    """`GET /engine/report`."""

    async def get(self) -> None:
        """Return the lagging report; with `fresh=1` its model state is current."""
        self.write(self.standin.report(is_fresh=self.get_query_argument("fresh", "") == "1"))


class OrdersHandler(EngineHandler):
    """`POST /engine/orders`."""

    async def post(self) -> None:
        """Accept an order with 202, or refuse it with 401, 409 or 503."""
        body = self.json_body()
        order_record = {**body, "received": time.monotonic(), "refused": ""}
        self.standin.orders.append(order_record)
        try:
            await self._apply_order(body)
        except ErrorAnswer as exc:
            order_record["refused"] = exc.payload["error"]
            raise
        self.set_status(202)
        self.write({"accepted": True})

    async def _apply_order(self, body: dict[str, Any]) -> None:
        engine = self.standin
        delay_s = engine.faults.delay_next_order_s
        if delay_s:
            engine.set_faults(delay_next_order_s=0.0)
            # A delayed order takes effect even if its sender disconnects.
            await asyncio.sleep(delay_s)
        token = engine.settings.orderer_token
        if token and self.request.headers.get("Authorization") != f"Bearer {token}":
            raise ErrorAnswer(401, "unknown-orderer")
        if engine.faults.refuse_orders:
            raise ErrorAnswer(503, "orders-refused")
        engine.deployments.order(body=body, is_fencing=engine.settings.fencing)


class WeightsHandler(EngineHandler):
    """`PUT /engine/weights/DIGEST`."""

    async def put(self, digest: str) -> None:
        """Verify and record a chunk."""
        is_new = self.standin.weights.put(digest, self.request.body)
        self.set_status(201 if is_new else 200)
        self.write({"held": digest})


class CommitHandler(EngineHandler):
    """`POST /engine/weights/commit`."""

    async def post(self) -> None:
        """Mark a variant as complete, or refuse with the missing digests."""
        body = self.json_body()
        digests = body.get("digests")
        if not isinstance(digests, list):
            raise ErrorAnswer(400, "digests must be a list")
        variant = variant_from(body)
        self.standin.weights.commit(variant, [str(digest) for digest in digests])
        self.write({"committed": str(variant)})


class CacheEventsHandler(EngineHandler):
    """`GET /engine/cache-events?after=SEQ&timeout=S`, a long poll."""

    async def get(self) -> None:
        """Return the events after a sequence number, or none after the timeout."""
        engine = self.standin
        after = int(self.get_query_argument("after", "0"))
        due = time.monotonic() + float(self.get_query_argument("timeout", "0"))
        while True:
            events = engine.cache.events(
                after=after,
                until=time.monotonic() - engine.settings.event_delay_s,
                drop_every=engine.settings.event_drop_every,
            )
            if events or time.monotonic() >= due:
                break
            await self.wait_or_finish(asyncio.sleep(POLL_S))
        self.write({"events": [event.to_json() for event in events]})


class KvHandler(EngineHandler):
    """`POST /engine/kv/export` and `POST /engine/kv/import`.

    An export lists the cached blocks of a prompt; the modelled cache has no other content.
    """

    async def post(self, action: str) -> None:
        """Export the cached prefix of a prompt, or import the export of another engine."""
        body = self.json_body()
        variant = variant_from(body)
        if self.standin.deployments.serving(variant.model, variant.adapter) != variant:
            raise ErrorAnswer(409, "other-version")
        prompt = str(body.get("prompt", ""))
        cache = self.standin.cache
        if action == "export":
            self.write({**body, "blocks": cache.cached_prefix(variant, prompt)})
            return
        expected = block_hashes(variant, prompt)
        blocks = body.get("blocks")
        if not isinstance(blocks, list) or blocks != expected[: len(blocks)]:
            raise ErrorAnswer(409, "blocks do not belong to the prompt")
        cache.store(variant, blocks)
        self.write({"imported": len(blocks)})
