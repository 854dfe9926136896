"""An agent stands still between the check of staged pieces and the order to load them.

Meanwhile staged pieces turn bad. The runner is ordered to load them, and makes tokens with them.
"""

import asyncio
import hashlib
import json
import random
import signal
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from stand import (
    MODEL,
    TROUBLE,
    Model,
    Server,
    answer,
    config,
    main,
    new_id,
    request,
    stream_headers,
    wait_ready,
)

PIECES, PIECE_BYTES = 48, 49152
VERSIONS = 8  # named one after the other, until one is loaded with bad pieces
FREEZE_AFTER_S = (0.002, 0.02)  # from the first read of a check, at random
FREEZE_S = 4.0  # `node_freeze` on `side`, for_s = 4.0
BAD_AFTER_S = 0.2  # from the beginning of the freeze
BAD_PIECES = (3, 11)  # `garble` with `rot`, x = 0.06 of 48
LAYERS = 16


def pieces_of(version):
    source = random.Random(version)
    return [source.randbytes(PIECE_BYTES) for _ in range(PIECES)]


WEIGHTS = {version: pieces_of(version) for version in range(1, VERSIONS + 2)}
DIGESTS = {v: [hashlib.sha256(p).hexdigest() for p in pieces] for v, pieces in WEIGHTS.items()}


class Origin(Server):
    """The origin of weights."""

    async def handle(self, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        version = int(query.get("version", 2))
        if url.path.startswith("/v1/manifest/"):
            value = {
                "model": MODEL,
                "version": version,
                "chunkBytes": PIECE_BYTES,
                "layers": LAYERS,
                "digests": DIGESTS[version],
            }
            writer.write(answer(200, json.dumps(value).encode()))
        else:
            writer.write(answer(200, WEIGHTS[version][int(query["sampleSize"])]))
        await writer.drain()
        return True


class Loader(Model):
    """A model runner that loads what is staged beside it, as it is when it accepts the order."""

    def __init__(self, record, **fields):
        super().__init__(**fields)
        self.record = record
        self.staged = dict(enumerate(WEIGHTS[1]))
        self.bad_since = {}
        self.reads, self.is_busy, self.taken_bad = [], False, []
        self.next_version = 2
        self.first_check = asyncio.Event()
        self.loaded = asyncio.Event()
        self.bad_tokens = 0

    def report(self):
        return super().report() | {"busy": self.is_busy}

    def holds_whole(self, version):
        return all(
            hashlib.sha256(self.staged[i]).hexdigest() == d for i, d in enumerate(DIGESTS[version])
        )

    def spoil(self, indexes):
        for index in indexes:
            data = bytearray(self.staged[index])
            data[100] ^= 0xFF
            self.staged[index] = bytes(data)
            self.bad_since[index] = time.monotonic()
            self.record.line(f"staged piece {index} turned bad")

    async def handle(self, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/v1/stage-put/"):
            index = int(query["sampleSize"])
            self.staged[index] = body
            self.bad_since.pop(index, None)
            writer.write(answer(200))
            return True
        if url.path.startswith("/v1/stage-get/"):
            if "sampleSize" not in query:
                writer.write(answer(200, json.dumps({"held": sorted(self.staged)}).encode()))
                return True
            index = int(query["sampleSize"])
            if index == 0 and not self.first_check.is_set():
                if self.holds_whole(self.next_version):
                    self.record.line("the check of the staged pieces begins")
                    self.first_check.set()
            writer.write(answer(200, self.staged[index]))
            await writer.drain()
            return True
        if url.path == "/v1/order":
            order = json.loads(body)
            if self.is_busy or order.get("precondition", self.orders) != self.orders:
                writer.write(answer(409))
                return True
            self.orders += 1
            self.is_busy = True
            version = order["version"]
            now = time.monotonic()
            self.taken_bad = [
                i
                for i, d in enumerate(DIGESTS[version])
                if hashlib.sha256(self.staged[i]).hexdigest() != d
                and now - self.bad_since.get(i, -1e9) > 3.0
            ]
            ages = {i: round(now - at, 2) for i, at in self.bad_since.items()}
            self.record.line(f"order accepted: {order}; pieces bad for (s): {ages}")
            asyncio.ensure_future(self.load(version))
            writer.write(answer(202))
            return True
        return await super().handle(method, target, headers, body, writer)

    async def load(self, version):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        self.version, self.is_busy = version, False
        self.record.line(f"version {version} loaded, with bad pieces {self.taken_bad}")
        self.loaded.set()

    async def run(self, method, target, headers, body, writer):
        expected = headers.get("x-wasabilb-expect-version")
        if (expected is not None and int(expected) != self.version) or self.is_busy:
            writer.write(answer(421, b"", [("X-Wasabilb-Not-Executed", "1")]))
            return True
        if self.taken_bad:
            self.bad_tokens += self.events
            id = headers.get("x-wasabilb-request-id")
            self.record.line(f"run of {id} makes tokens with bad pieces {self.taken_bad}")
        return await super().run(method, target, headers, body, writer)


async def script(fleet):
    record = fleet.record
    await fleet.store.start(f"{fleet.net}.200:8007")
    value = config()
    origin = Origin()
    await origin.start(f"{fleet.net}.12:8006")
    value["services"].append(
        {
            "name": "weights",
            "origin": origin.address,
            "zone": "dublin-a",
            "linkMbps": 15.0,
            "maxConnections": 48,
        }
    )
    fleet.store.write("op/config", value)
    fleet.store.write(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
    runner = await fleet.start_server(Loader(record, id="m-1", service="models"), 11, 8001)
    entry = fleet.program("front-dublin-a-1", "entry", 1).start()
    agent = fleet.program(
        "side-dublin-a-1", "agent", 11, app=runner.address, service="models"
    ).start()
    await wait_ready(entry)
    await asyncio.sleep(4.0)

    async def stream():
        id = new_id()
        found = await request(
            entry.front,
            "POST",
            "/draft/1",
            id=id,
            timeout_s=6.06,
            timeout_ms=6060,
            headers=stream_headers(),
            body=b"p" * 670,
        )
        record.line(
            f"stream {id}: status {found['status']}, complete {found['complete']}, "
            f"version {found['headers'].get('x-wasabilb-weight-versions')}"
        )
        return found

    first = await stream()
    if first["status"] != 200:
        return 2
    for version in range(2, VERSIONS + 2):
        await roll_out(fleet, runner, agent, version)
        if runner.taken_bad:
            break
    await asyncio.sleep(1.5)
    found = [await stream() for _ in range(3)]
    record.say(
        f"pieces taken that had been bad for over 3 s: {runner.taken_bad}; events made with them: "
        f"{runner.bad_tokens}; streams answered: {sum(f['status'] == 200 for f in found)} of 3"
    )
    if not any(f["status"] == 200 for f in found):
        return 2
    return 1 if runner.bad_tokens else 0


async def roll_out(fleet, runner, agent, version):
    """Name a version, and freeze the agent's machine while it checks what is staged."""
    record = fleet.record
    runner.next_version = version
    runner.first_check.clear()
    runner.loaded.clear()
    record.line(f"version {version} is named")
    fleet.store.write(f"op/version/{MODEL}", {"model": MODEL, "version": version})
    await asyncio.wait_for(runner.first_check.wait(), 30)
    if TROUBLE:
        await asyncio.sleep(random.uniform(*FREEZE_AFTER_S))
        if not runner.is_busy:
            agent.signal(signal.SIGSTOP)
            record.line("the agent's machine freezes")
            await asyncio.sleep(BAD_AFTER_S)
            runner.spoil(BAD_PIECES)
            await asyncio.sleep(FREEZE_S - BAD_AFTER_S)
            agent.signal(signal.SIGCONT)
            record.line("it wakes")
    await asyncio.wait_for(runner.loaded.wait(), 20)


main(script, HERE)
