"""Examples in the form of the operators' platform, and a scripted stand-in of its store."""

import base64
import json
import sys
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.netutil import bind_sockets
from wasabilb_core.published import StateItem

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

from wasabilb_platform.item_decoder import ItemDecoder

SALT = b"s" * 32
DECODER = ItemDecoder(salt=SALT)
RUNNER = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "sequence": 1,
    "coldLeftMs": 500,
    "born": 1700000000000,
    "layers": {"from": 0, "to": 16, "version": 3},
}
CATALOG = {
    "version": 7,
    "routes": [
        {
            "name": "wide",
            "host": "h.example",
            "prefix": "/a/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 1,
            "anonymous": False,
        },
        {
            "name": "deep",
            "host": "h.example",
            "prefix": "/a/b/",
            "kind": "stream",
            "timeoutMs": 6000,
            "targetLatencyMs": 500,
            "gapTargetMs": 400,
            "trafficSplit": [
                {"service": "llm", "weight": 3},
                {"service": "other", "weight": 1},
            ],
            "maxAttempts": 2,
            "resumable": True,
        },
    ],
    "services": [
        {"name": "plain", "healthPath": "/health", "maxConnections": 100},
        {"name": "other", "healthPath": "/health"},
        {"name": "src", "origin": "10.0.0.9:81", "zone": "c", "linkMbps": 15.0},
        {
            "name": "llm",
            "maxConnections": 424,
            "engine": {
                "slots": 16,
                "models": [{"name": "m"}],
                "step_ms": 8.87,
                "per_seq_ms": 0.0388,
                "context_per_k": 0.0227,
                "read_per_s": 19100.0,
                "pairs_per_m": 1.47,
                "usual": {"prompt": 977, "answer": 94},
                "layers": 16,
                "chunks": 48,
                "chunkBytes": 49152,
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "acme", "apiKeys": ["key-one", "key-two"], "priority": 0}],
}

SETTINGS = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"},
    "internalPorts": [7700, 7715],
    "seeds": ["10.1.0.40:8000", "10.2.0.37:8000"],
    "limits": {"linkMbps": 4.7},
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 102,
        "budgetWindowS": 10,
        "version_ms": 8000,
    },
    "platformStore": {"address": "10.200.1.7:8007"},
    "aFieldOfTomorrow": 1,
}


def item(name, value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StateItem(name=name, revision=1, body=body)


class ScriptedStore:
    """A stand-in of the store that answers from a script."""

    def __init__(self):
        self.answers, self.targets = [], []
        self.server = HTTPServer(self.on_request)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def on_request(self, req):
        self.targets.append(req.uri)
        status, value = self.answers.pop(0)
        if status == 0:
            return
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        req.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, "x"),
            HTTPHeaders({"Content-Length": str(len(body))}),
            body,
        )
        req.connection.finish()


def entry(name, revision, value):
    text = base64.b64encode(value).decode()
    return {"key": name, "revision": revision, "created": 1, "lease": 0, "value": text}
