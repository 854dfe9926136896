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
from functools import partial
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
MACHINES = 9  # side machines with a runner and an agent each, as on the site
VERSIONS = 8  # named one after the other at most, until one is loaded with bad pieces
NAMING_S = 70.0  # time after which none is named any more
LOADED_S = 14.0  # longest wait for a version on all runners
FREEZE_AFTER_S = (0.002, 0.02)  # from the first read of a check, at random
FREEZE_S = 4.0  # `node_freeze` on `side`, for_s = 4.0, share = 0.12: one machine of nine
BAD_AFTER_S = 0.2  # from the beginning of the freeze
BAD_PIECES = (3, 11)  # `garble` with `rot`, x = 0.06 of 48, share = 0.3: one runner of nine
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

    def __init__(self, fleet, **fields):
        super().__init__(**fields)
        self.fleet, self.record = fleet, fleet.record
        # Cleared while its machine stands still.
        self.awake = asyncio.Event()
        self.awake.set()
        self.staged = dict(enumerate(WEIGHTS[1]))
        self.bad_since = {}
        self.is_busy, self.taken_bad = False, []
        self.next_version = 2
        self.on_check = lambda: None
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
            self.record.line(f"{self.id}: staged piece {index} turned bad")

    async def handle(self, method, target, headers, body, writer):
        await self.awake.wait()
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
            if index == 0 and self.version < self.next_version and not self.is_busy:
                if self.holds_whole(self.next_version):
                    self.record.line(f"{self.id}: the check of the staged pieces begins")
                    self.on_check()
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
            self.taken_bad += [
                i
                for i, d in enumerate(DIGESTS[version])
                if hashlib.sha256(self.staged[i]).hexdigest() != d
                and now - self.bad_since.get(i, -1e9) > 3.0
            ]
            ages = {i: round(now - at, 2) for i, at in self.bad_since.items()}
            self.record.line(f"{self.id}: order accepted: {order}; pieces bad for (s): {ages}")
            asyncio.ensure_future(self.load(version))
            writer.write(answer(202))
            return True
        return await super().handle(method, target, headers, body, writer)

    async def load(self, version):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        self.version, self.is_busy = version, False
        self.fleet.store.write(f"servers/{self.id}", self.entry())
        self.record.line(f"{self.id}: version {version} loaded, bad pieces {self.taken_bad}")

    async def run(self, method, target, headers, body, writer):
        expected = headers.get("x-wasabilb-expect-version")
        is_other = expected is not None and int(expected) != self.version
        if is_other or self.is_busy:
            status = 421 if is_other else 503
            writer.write(answer(status, b"", [("X-Wasabilb-Not-Executed", "1")]))
            return True
        if self.taken_bad:
            self.bad_tokens += self.events
            id = headers.get("x-wasabilb-request-id")
            self.record.line(f"{self.id}: run of {id} makes tokens with pieces {self.taken_bad}")
        return await super().run(method, target, headers, body, writer)


class Freezer:
    """Freezes the machine of an agent that checks what is staged, one machine at a time."""

    def __init__(self, record):
        self.record = record
        self.frozen, self.freezes = None, 0

    def on_check(self, runner, agent):
        if TROUBLE and self.frozen is None:
            self.frozen = runner
            asyncio.ensure_future(self.freeze(runner, agent))

    async def freeze(self, runner, agent):
        try:
            await asyncio.sleep(random.uniform(*FREEZE_AFTER_S))
            if runner.is_busy:
                return
            agent.signal(signal.SIGSTOP)
            runner.awake.clear()
            self.freezes += 1
            self.record.line(f"{runner.id}: its machine freezes")
            await asyncio.sleep(BAD_AFTER_S)
            runner.spoil(BAD_PIECES)
            await asyncio.sleep(FREEZE_S - BAD_AFTER_S)
            runner.awake.set()
            agent.signal(signal.SIGCONT)
            self.record.line(f"{runner.id}: its machine wakes")
        finally:
            self.frozen = None


async def script(fleet):
    record = fleet.record
    await fleet.store.start(f"{fleet.net}.200:8007")
    value = config()
    origin = Origin()
    await origin.start(f"{fleet.net}.30:8006")
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
    freezer = Freezer(record)
    runners = []
    entry = fleet.program("front-dublin-a-1", "entry", 1).start()
    for number in range(MACHINES):
        runner = Loader(fleet, id=f"m-{number}", service="models")
        runners.append(await fleet.start_server(runner, 11 + number, 8001))
        agent = fleet.program(
            f"side-dublin-a-{number}",
            "agent",
            11 + number,
            app=runner.address,
            service="models",
        ).start()
        runner.on_check = partial(freezer.on_check, runner, agent)
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
        return found["status"] == 200 and found["complete"]

    if not await stream():
        return 2
    began = time.monotonic()
    for version in range(2, VERSIONS + 2):
        await roll_out(fleet, runners, version)
        if any(runner.taken_bad for runner in runners) or time.monotonic() - began > NAMING_S:
            break
    while freezer.frozen is not None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    answered = 0
    for _ in range(3):
        answered += sum(await asyncio.gather(*(stream() for _ in range(3 * MACHINES))))
        if any(runner.bad_tokens for runner in runners):
            break
    bad = {runner.id: runner.taken_bad for runner in runners if runner.taken_bad}
    record.say(
        f"{freezer.freezes} freezes; pieces taken that had been bad for over 3 s: {bad}; "
        f"events made with them: {sum(r.bad_tokens for r in runners)}; streams answered whole: {answered}"
    )
    if not answered:
        return 2
    return 1 if any(runner.bad_tokens for runner in runners) else 0


async def roll_out(fleet, runners, version):
    """Name a version and wait until all runners hold it, or one has taken bad pieces."""
    for runner in runners:
        runner.next_version = version
    fleet.record.line(f"version {version} is named")
    fleet.store.write(f"op/version/{MODEL}", {"model": MODEL, "version": version})
    until = time.monotonic() + LOADED_S
    while time.monotonic() < until and any(r.version < version for r in runners):
        if any(runner.taken_bad for runner in runners):
            return
        await asyncio.sleep(0.1)


main(script, HERE / "record.txt")
