"""Callers that send mixed open-loop traffic and check each answer against the oracle."""

import asyncio
import hashlib
import json
import random
import time
import uuid
from collections import Counter
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from wasabilb_standins import oracle
from wasabilb_standins._server_sent_events import EventStreamDecoder
from wasabilb_standins.call_records import CallerSettings, CallRecord, percentiles


class Callers:
    """Load generator that records every attempt."""

    def __init__(self, **options: Any) -> None:
        self.settings = CallerSettings(**options)
        self.records: list[CallRecord] = []
        self._rng = random.Random(self.settings.seed)
        self._client: AsyncHTTPClient | None = None
        self._call_count = 0
        self.is_stopping = False

    async def run(self, duration_s: float) -> list[CallRecord]:
        """Send until the time has passed or `is_stopping` is set, then wait for all answers."""
        cfg = self.settings
        tasks = []
        due = started = time.monotonic()
        while True:
            due += self._rng.expovariate(cfg.rate_per_s)
            if due - started > duration_s:
                break
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self.is_stopping:
                break
            tasks.append(asyncio.ensure_future(self.call(self._draw_kind())))
        await asyncio.gather(*tasks)
        return self.records

    async def call(self, kind: str, *, entry: str = "") -> CallRecord:
        """Send one request, the first attempt to `entry`; return the record of the last attempt."""
        cfg = self.settings
        self._call_count += 1
        entries = self._rng.sample(cfg.entries, len(cfg.entries))
        if entry:
            entries = [entry, *(other for other in entries if other != entry)]
        rec = CallRecord(kind=kind, entry=entries[0], number=self._call_count)
        if kind in ("short", "long", "chat"):
            low, high = cfg.long_tokens if kind == "long" else cfg.short_tokens
            rec.prompt = f"{kind} {cfg.seed}.{rec.number} [len={self._rng.randint(low, high)}]"
            await self._call_model(rec)
        elif kind == "same-model":
            rec.prompt = f"{cfg.same_text} [len={cfg.short_tokens[0]}]"
            await self._call_model(rec)
        elif kind in ("booking", "issued"):
            rec.key = str(self._uuid7()) if kind == "booking" else await self._issued_key(rec)
            rec = await self._book(rec, entries)
        else:
            await self._call_service(rec, method="GET", body=None)
        return rec

    def summary(self) -> dict[str, Any]:
        """Return counts by kind, and percentiles of the times to the first byte and to the end."""
        result: dict[str, Any] = {}
        for kind in sorted({rec.kind for rec in self.records}):
            records = [rec for rec in self.records if rec.kind == kind]
            whole = [rec for rec in records if rec.verdict == "whole"]
            result[kind] = {
                "attempts": len(records),
                **Counter(rec.verdict for rec in records),
                "mismatches": sum(rec.is_match is False for rec in records),
                "first_byte_s": percentiles([rec.first_byte - rec.start for rec in whole]),
                "end_s": percentiles([rec.end - rec.start for rec in whole]),
            }
        return result

    def _draw_kind(self) -> str:
        mix = self.settings.mix
        return self._rng.choices(list(mix), weights=list(mix.values()))[0]

    def _uuid7(self) -> uuid.UUID:
        """Return a UUIDv7 (RFC 9562) of the current time, with its random part from the seed."""
        value = int(time.time() * 1000) << 80 | 0x7 << 76 | self._rng.getrandbits(12) << 64
        return uuid.UUID(int=value | 0b10 << 62 | self._rng.getrandbits(62))

    async def _issued_key(self, rec: CallRecord) -> str:
        """Request a key; without one, the booking is sent without and its answer contains one."""
        key_rec = CallRecord(kind="key", entry=rec.entry, number=rec.number)
        received: list[bytes] = []
        path = f"/wasabilb/keys?service={self.settings.service}"
        await self._send(key_rec, "POST", path, b"", received.append)
        if key_rec.status == 201:
            key_rec.verdict = "whole"
        self._finish_record(key_rec, b"".join(received))
        return key_rec.key

    async def _book(self, rec: CallRecord, entries: list[str]) -> CallRecord:
        body = json.dumps({"booking": f"{self.settings.seed}.{rec.number}"}).encode()
        rec.body_digest = hashlib.sha256(body).hexdigest()
        is_repeated = self._rng.random() < self.settings.repeat_share
        for attempt in range(self.settings.booking_repeats + 1):
            if attempt:
                next_entry = entries[attempt % len(entries)]
                rec = CallRecord(
                    kind=rec.kind,
                    entry=next_entry,
                    number=rec.number,
                    attempt=attempt,
                    key=rec.key,
                    body_digest=rec.body_digest,
                )
            await self._call_service(rec, method="POST", body=body)
            is_outcome_known = rec.outcome in ("ran", "not-run")
            if not rec.key or (is_outcome_known and not is_repeated):
                break
        return rec

    async def _call_service(self, rec: CallRecord, *, method: str, body: bytes | None) -> None:
        received: list[bytes] = []
        cfg = self.settings
        service = cfg.portal if rec.kind.endswith("portal") else cfg.service
        name = cfg.same_text if rec.kind == "same-portal" else rec.number
        # Tickets declare `POST /book` as the call that runs at most once.
        path = f"/services/{service}/{'book' if method == 'POST' else 'records'}/{name}"
        await self._send(rec, method, path, body, received.append)
        if rec.status == 200 and rec.verdict != "broken":
            rec.verdict = "whole"
            if rec.body_digest:
                # The answer of a plain service contains the digest of the executed body.
                rec.is_match = rec.body_digest.encode() in b"".join(received)
        self._finish_record(rec, b"".join(received))

    async def _call_model(self, rec: CallRecord) -> None:
        cfg = self.settings
        reader, texts, end_marks = EventStreamDecoder(), [], []
        refusal_body = bytearray()

        def on_body(data: bytes) -> None:
            if rec.status != 200:
                refusal_body.extend(data)
                return
            for event in reader.feed(data):
                if event.name == "error":
                    rec.error_event = event.data
                elif event.data == "[DONE]":
                    end_marks.append("done")
                elif event.data:
                    choice = json.loads(event.data)["choices"][0]
                    text = choice.get("text") or choice.get("delta", {}).get("content")
                    if text:
                        rec.token_times.append(time.monotonic())
                        texts.append(text)
                    if choice.get("finish_reason"):
                        end_marks.append(choice["finish_reason"])

        body: dict[str, Any] = {"model": cfg.model, "max_tokens": cfg.max_tokens, "stream": True}
        path = "/v1/completions"
        if rec.kind == "chat":
            path = "/v1/chat/completions"
            body["messages"] = [{"role": "user", "content": rec.prompt}]
            # The engine receives a chat as text with one line per message.
            rec.prompt = f"user: {rec.prompt}"
        else:
            body["prompt"] = rec.prompt
        rec.wanted_tokens = oracle.answer_length(rec.prompt, cfg.max_tokens)
        await self._send(rec, "POST", path, json.dumps(body).encode(), on_body)
        if rec.status == 200:
            self._check_answer(rec, "".join(texts), end_marks)
        rec.tokens = len("".join(texts).split())
        self._finish_record(rec, bytes(refusal_body))

    def _check_answer(self, rec: CallRecord, text: str, end_marks: list[str]) -> None:
        """Compare a streamed answer with the oracle's answer for the version in its header."""
        cfg = self.settings
        reason = oracle.finish_reason(rec.prompt, cfg.max_tokens)
        is_whole = not rec.error_event and rec.verdict != "broken" and end_marks[-1:] == ["done"]
        rec.verdict = "whole" if is_whole else "broken"
        try:
            variant = oracle.parse_variant(rec.version)
        except ValueError:
            rec.is_match = False
            return
        expected = oracle.answer_text(variant, rec.prompt, cfg.max_tokens)
        is_same_model = variant.model == cfg.model
        if is_whole:
            rec.is_match = is_same_model and text == expected and end_marks == [reason, "done"]
        else:
            rec.is_match = is_same_model and expected.startswith(text)

    async def _send(
        self, rec: CallRecord, method: str, path: str, body: bytes | None, on_body: Any
    ) -> None:
        """Send and record times and headers; set the verdict only if the connection fails."""
        cfg = self.settings
        if self._client is None:
            self._client = AsyncHTTPClient(force_instance=True, max_clients=100_000)
        headers = {"Content-Type": "application/json"}
        if cfg.account_key:
            headers["Authorization"] = f"Bearer {cfg.account_key}"
        if cfg.deadline_ms:
            headers["Wasabilb-Deadline-Ms"] = str(cfg.deadline_ms)
        if rec.key:
            headers["Idempotency-Key"] = rec.key

        def on_header(line: str) -> None:
            name, _, value = line.strip().partition(":")
            if name.startswith("HTTP/"):
                rec.status = int(name.split()[1])
            elif name.lower() == "wasabilb-outcome":
                rec.outcome = value.strip()
            elif name.lower() == "wasabilb-version":
                rec.version = value.strip()
            elif name.lower() == "idempotency-key":
                rec.key = value.strip()

        def on_chunk(data: bytes) -> None:
            rec.first_byte = rec.first_byte or time.monotonic()
            on_body(data)

        rec.start = time.monotonic()
        request = HTTPRequest(
            f"http://{rec.entry}{path}",
            method=method,
            body=body,
            headers=headers,
            request_timeout=cfg.timeout_s,
            connect_timeout=cfg.timeout_s,
            header_callback=on_header,
            streaming_callback=on_chunk,
        )
        try:
            await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as exc:
            rec.verdict, rec.problem = "broken", str(exc)
        rec.end = time.monotonic()

    def _finish_record(self, rec: CallRecord, refusal_body: bytes) -> None:
        if rec.status >= 400 and rec.verdict != "broken":
            rec.verdict = "refused"
            rec.problem = refusal_body.decode(errors="replace")
        rec.verdict = rec.verdict or "broken"
        self.records.append(rec)
