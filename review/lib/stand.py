"""Stand-ins of the review: store, model runners, plain servers, clients, and the started programs.

They speak the operators' pages over HTTP/1.1 on loopback addresses, with the standard library only.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "jnbanfqasnmgkcuyj8pj"
MODEL = "daka510000"
PORTS = (8000, 8001, 8002, 8005, 8006, 8007, 8080, 9464, 7700, 7701)


def free_net():
    """Return the first three bytes of a loopback network whose ports are free."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 3, *range(11, 20), 30, 200):
                for port in PORTS:
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f"{net}.{host}", port))
        except OSError:
            continue
        return net
    raise SystemExit(2)


class Record:
    """The lines of `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


async def read_message(reader):
    """Return the first line, headers (lower case) and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer with a length."""
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 503: "Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server with persistent connections; `handle` writes each answer."""

    async def start(self, address):
        ip, _, port = address.rpartition(":")
        self.address = address
        self._tasks = set()
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        return self

    def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: readable items, a revision counter and watches."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 0
        self.calls = 0
        self._changed = asyncio.Event()

    def write(self, key, value):
        """Write an item, or remove it with None."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            created = self.items.get(key, {}).get("created", self.revision)
            item |= {"value": text, "created": created, "lease": 0}
            self.items[key] = item
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        self.calls += 1
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > query.get("after", "")
            )
            page = [self.items[k] for k in keys[:500]]
            value = {"items": page, "morePages": len(keys) > 500, "currentRev": self.revision}
        elif url.path == "/v1/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [i for i in self.history if i["revision"] > after]
                events = [i for i in events if i["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
            value = {"events": events, "currentRev": self.revision}
        else:
            writer.write(answer(404))
            return True
        await asyncio.sleep(0.004)
        writer.write(
            answer(200, json.dumps(value).encode(), [("Content-Type", "application/json")])
        )
        await writer.drain()
        return True


class Plain(Server):
    """A plain server: runs each request that names it for some time; records each run."""

    def __init__(self, *, id, service, zone="dublin-a", work_s=0.03, slots=6):
        self.id, self.service, self.zone = id, service, zone
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.runs = []

    def entry(self, state="ready"):
        """Return what it writes to the store about itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def seal(self, headers):
        return [
            ("X-Wasabilb-Request-Id", headers.get("x-wasabilb-request-id", "")),
            ("X-Wasabilb-Runner-Seal", f"{self.id}.{len(self.runs)}"),
            ("X-Wasabilb-Runner-Id", self.id),
        ]

    async def handle(self, method, target, headers, body, writer):
        if headers.get("x-wasabilb-expect-runner", self.id) != self.id:
            writer.write(answer(421, b"", [("X-Wasabilb-Runner-Id", self.id)]))
            return True
        self.runs.append((time.monotonic(), headers.get("x-wasabilb-request-id", ""), headers))
        return await self.run(method, target, headers, body, writer)

    async def run(self, method, target, headers, body, writer):
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, b"x" * 800, self.seal(headers)))
        await writer.drain()
        return True


class Model(Plain):
    """A model runner: streams events, and has a report and staged chunks."""

    def __init__(self, *, version=1, events=20, gap_s=0.04, **fields):
        super().__init__(slots=16, **fields)
        self.version, self.events, self.gap_s = version, events, gap_s
        self.running, self.orders, self.staged = 0, 0, {}

    def entry(self, state="ready"):
        return super().entry(state) | self.weights()

    def weights(self):
        return {
            "stage": "hybrid",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "layers": {"from": 0, "to": 16, "version": self.version},
        }

    def report(self):
        return {
            **self.weights(),
            "busy": False,
            "sequence": self.orders,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 1180000,
            "handles": 0,
            "born": self.born,
            "pace": 1.0,
        }

    async def handle(self, method, target, headers, body, writer):
        if target == "/v1/report":
            writer.write(answer(200, json.dumps(self.report()).encode()))
            return True
        return await super().handle(method, target, headers, body, writer)

    async def run(self, method, target, headers, body, writer):
        first = int(headers.get("last-event-id") or 0) + 1
        self.running += 1
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in self.seal(headers)]
            lines += [f"X-Wasabilb-Weight-Versions: {self.version}", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {'t' * 50}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


def config(version=1):
    """Return a configuration with a stream route, an idempotent and a non-idempotent one."""
    common = {"priority": 1, "anonymous": False}
    engine = {
        "slots": 16,
        "kvCapacityTokens": 1180000,
        "kvTokenBytes": 163840,
        "linkMbps": 400000.0,
        "stride": 5,
        "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}],
        "mb": 266000.0,
        "step_ms": 8.87,
        "per_seq_ms": 0.0388,
        "context_per_k": 0.0227,
        "read_per_s": 19100.0,
        "pairs_per_m": 1.47,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 977, "answer": 94},
        "layers": 16,
        "layer_mb": 4540.0,
        "act_bytes": 16384,
        "chunks": 48,
        "chunkBytes": 49152,
    }
    return {
        "version": version,
        "routes": [
            {
                "name": "r-draft",
                "host": "jepu9.example",
                "prefix": "/draft/",
                "kind": "stream",
                "timeoutMs": 6000,
                "targetLatencyMs": 505,
                "service": "models",
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapTargetMs": 400,
                **common,
            },
            {
                "name": "r-lookup",
                "host": "jepu9.example",
                "prefix": "/lookup/",
                "kind": "idempotent",
                "timeoutMs": 800,
                "targetLatencyMs": 204,
                "service": "bookings",
                "maxAttempts": 2,
                **common,
            },
            {
                "name": "r-booking",
                "host": "jepu9.example",
                "prefix": "/booking/",
                "kind": "non_idempotent",
                "timeoutMs": 800,
                "targetLatencyMs": 205,
                "service": "bookings",
                "maxAttempts": 1,
                **common,
            },
        ],
        "services": [
            {
                "name": "models",
                "healthPath": "/health",
                "maxConnections": 424,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "bookings",
                "healthPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "bozi300", "apiKeys": [KEY], "priority": 1}],
    }


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "backMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 102,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(
        self, folder, *, name, role, ip, zone, seeds, store, app="", service="", more=None
    ):
        self.name, self.role, self.ip = name, role, ip
        is_entry = role == "entry"
        self.front, self.ready = f"{ip}:8005", f"{ip}:8002"
        settings = {
            "nodeName": name,
            "role": role,
            "machineClass": "front" if is_entry else "side",
            "serves": ["front", "control"] if is_entry else ["side"],
            "ip": ip,
            "zone": zone,
            "region": zone.rpartition("-")[0],
            "zones": {"dublin-a": "dublin", "cork-a": "cork", "galway-a": "galway"},
            "listen": (
                {"front": self.front, "ready": self.ready, "control": f"{ip}:8000"}
                if is_entry
                else {}
            ),
            "internalPorts": [7700, 7715],
            "seeds": [f"{s}:8000" for s in seeds],
            "bootstrap": True,
            "lossCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0 if is_entry else 9.4,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
                "chunks",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platformStore": {
                "address": store,
                "form": "read",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        if not is_entry:
            settings |= {"app": app, "service": service}
        settings |= more or {}
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Start the program from the repository's root, with the build's libraries."""
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= {
            "WASABILB_SETTINGS": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", f"platform/{self.role}.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        return self

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def request(
    address,
    method,
    path,
    *,
    id,
    timeout_s,
    headers=(),
    body=b"",
    timeout_ms=None,
    on_data=None,
    key=KEY,
):
    """Send one request and return status, headers, body and whether the answer is complete.

    Status 0 stands for no answer within the time.
    """
    result = {"status": 0, "headers": {}, "body": b"", "complete": False, "id": id}
    try:
        await asyncio.wait_for(
            _request(result, address, method, path, id, headers, body, timeout_ms, on_data, key),
            timeout_s,
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as exc:
        result["error"] = type(exc).__name__
    return result


async def _request(result, address, method, path, id, headers, body, timeout_ms, on_data, key):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: jepu9.example",
            f"Authorization: Token {key}",
            f"X-Wasabilb-Request-Id: {id}",
            "Connection: close",
        ]
        if timeout_ms:
            lines.append(f"X-Wasabilb-Request-Timeout-Ms: {timeout_ms}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        found = {}
        for line in rest:
            name, _, value = line.partition(":")
            if name:
                found[name.lower()] = value.strip()
        result["headers"], result["status"] = found, int(first.split(" ")[1])
        if "chunked" in found.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = (await reader.readexactly(size + 2))[:-2]
                if on_data is not None:
                    on_data(data)
                else:
                    result["body"] += data
                if not size:
                    break
        else:
            result["body"] = await reader.readexactly(int(found.get("content-length", 0)))
        result["complete"] = True
    finally:
        writer.close()


STREAM_HEADERS = (
    ("X-Wasabilb-Model", MODEL),
    ("X-Wasabilb-Token-Count", "977,100"),
    ("X-Wasabilb-Prompt-Prefix", "5c1e07a2:40,{part:x}:937"),
)


def stream_headers():
    """Return the headers of a stream's request, with a prompt of its own."""
    part = random.getrandbits(32)
    return [(name, value.format(part=part)) for name, value in STREAM_HEADERS]


def new_id():
    return f"{random.getrandbits(64):016x}"


async def wait_ready(program, timeout_s=15.0):
    """Wait until an entry process says that it is ready; exit with 2 if it does not."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        found = await request(program.ready, "GET", "/v1/readiness", id="", timeout_s=1.0)
        if found["status"] == 200:
            return
        await asyncio.sleep(0.1)
    print(program.log.read_text()[-2000:], file=sys.stderr)
    raise SystemExit(2)


class Fleet:
    """The processes and stand-ins of one script, in a temporary folder."""

    def __init__(self, record):
        self.net = free_net()
        self.record = Record(record)
        self.folder = tempfile.TemporaryDirectory()
        self.programs, self.children = [], []
        self.store = Store()

    async def start_store(self):
        await self.store.start(f"{self.net}.200:8007")
        self.store.write("op/config", config())

    async def start_server(self, server, host, port=8080):
        await server.start(f"{self.net}.{host}:{port}")
        self.store.write(f"servers/{server.id}", server.entry())
        return server

    def program(self, name, role, host, zone="dublin-a", **fields):
        program = Program(
            self.folder.name,
            name=name,
            role=role,
            ip=f"{self.net}.{host}",
            zone=zone,
            seeds=[f"{self.net}.1"],
            store=f"{self.net}.200:8007",
            **fields,
        )
        self.programs.append(program)
        return program

    def stop(self):
        for program in self.programs:
            program.kill()
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for program in self.programs:
                (Path(keep) / program.log.name).write_bytes(program.log.read_bytes())
        self.folder.cleanup()


def main(script, record):
    """Run a script's coroutine with a fleet and the file of its record, and exit as it says."""
    fleet = Fleet(record)
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(script(fleet), 110))
    except TimeoutError:
        fleet.record.say("something did not come in time")
    except Exception:
        # Status 1 is for broken rules only.
        traceback.print_exc()
    finally:
        fleet.stop()
    verdicts = {0: "the rule held", 1: "the rule was broken"}
    fleet.record.say(verdicts.get(code, "the case could not run"))
    sys.exit(code)
