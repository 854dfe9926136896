"""Harness of a forwarder in front of scripted runners, for steps about direct forwarding."""

import asyncio
import random

from memory_links import Network
from scripted_runner import ScriptedRunner
from wasabilb_core.catalog import (
    Catalog,
    ClientAccount,
    RequestKind,
    Route,
    RouteTarget,
    Service,
    key_digest,
)
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.forwarding_metadata import AnswerMetadata, RequestMetadata
from wasabilb_core.named_limit import named_limit
from wasabilb_core.peering import is_hub
from wasabilb_core.published import PublishedState
from wasabilb_core.requested_pause import requested_pause
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_entry.caller_connection import CallerServer
from wasabilb_entry.caller_protocol import end_to_end
from wasabilb_entry.crash_detector import CrashDetector
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.fleet_view import FleetLimits, FleetView
from wasabilb_entry.forwarder import Forwarder
from wasabilb_entry.gateway_metrics import GatewayMetrics
from wasabilb_entry.limit_exchange import LimitExchange
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.logs import EventLog
from wasabilb_node.published_source import Unusable
from wasabilb_node.published_view import PublishedView

SALT = b"salt" * 8
KEY = "k" * 20
LIMITS = FleetLimits(retry_ratio=0.2, retry_slack=100, retry_window_s=10.0, version_s=8.0)
PATHS = {
    "idempotent": "/safe/x",
    "at-most-once": "/once/x",
    "stream": "/stream/x",
    "fixed stream": "/stream/fixed/x",
}


class RecordingLog(EventLog):
    """Event log that records its lines."""

    def __init__(self):
        super().__init__(process="t", role="entry", host="t", failure_domain="a", incarnation="1")
        self.lines, self.timed = [], []

    def event(self, name, /, **fields):
        self.lines.append((name, fields))
        self.timed.append((now(), name, fields))
        super().event(name, **fields)


class PlainProtocol:
    """Protocol with header names that only the tests use."""

    def read_request(self, headers):
        return RequestMetadata(
            id=headers.get("Request-Id", ""),
            timeout_s=float(headers.get("Timeout", "3.0")),
            key=headers.get("Authorization", "").partition(" ")[2] or None,
            shared_parts=tuple(int(part, 16) for part in headers.get("Parts", "").split(",")[:-1]),
        )

    def write_request(self, headers, metadata):
        sent = end_to_end(headers)
        for name in ("Authorization", "Account", "Expect-Runner"):
            if name in sent:
                del sent[name]
        sent["Expect-Runner"] = metadata.runner_id
        if metadata.account:
            sent["Account"] = metadata.account
        if metadata.last_event_id:
            sent["Last-Event-Id"] = metadata.last_event_id
        return sent

    def read_answer(self, head, now):
        return AnswerMetadata(
            request_id=head.headers.get("Request-Id", ""),
            is_not_run="Not-Run" in head.headers,
            is_sealed="Seal" in head.headers,
            is_leaving=head.headers.get("Leaving") == "1",
            pause=requested_pause(head.headers.get("Retry-After")) if head.status == 503 else None,
            limit=named_limit(head.headers.get("Limit")),
            is_from_runner=head.status != 421,
        )

    def label_answer(self, headers, request_id):
        headers["Request-Id"] = request_id


def route(name, kind, **changes):
    return Route(
        name=name,
        host="h.example",
        prefix=f"/{name}/",
        targets=(RouteTarget(service="s"),),
        kind=kind,
        timeout_s=3.0,
        objective_s=0.5,
        **changes,
    )


def catalog():
    account = ClientAccount(name="acme", key_digests=frozenset({key_digest(KEY, SALT)}))
    return Catalog(
        version=1,
        routes=(
            route("safe", RequestKind.IDEMPOTENT, max_attempts=2),
            route("once", RequestKind.NON_IDEMPOTENT, max_attempts=2),
            route("stream", RequestKind.STREAM, max_attempts=2, is_resumable=True),
            route("stream/fixed", RequestKind.STREAM, max_attempts=2),
        ),
        services={"s": Service(name="s")},
        accounts=(account,),
    )


class LookupDecoder:
    """Decoder that looks up the body of a published item in a table."""

    def __init__(self, values):
        self._values = values

    def decode(self, item):
        return self._values.get(item.body, Unusable(detail="not in the table"))

    def runner_id(self, name):
        return name.removeprefix("runner/") if name.startswith("runner/") else None


class ForwardingHarness:
    """A forwarder in front of scripted runners, on loopback.

    With `shared`, it uses the runners of another harness, as a second entry process that is linked
    with it.
    """

    def __init__(self, behaviours, *, connections=100, shared=None, runners=None):
        self.connections, self.shared = connections, shared
        self.network = Network() if shared is None else shared.network
        if shared is not None or runners is not None:
            self.runners = shared.runners if shared is not None else runners
            return
        # All runners share one script: the first request gets the first behaviour at any runner.
        self.runners = [ScriptedRunner(behaviours) for _ in range(2 if behaviours else 0)]
        for other in self.runners[1:]:
            other.behaviours = self.runners[0].behaviours

    async def __aenter__(self):
        rng = random.Random(1)
        log = self.log = RecordingLog()
        self.values = {}
        name = f"e{len(self.network.links_by_host)}"
        runner_limits = RunnerLimits(host=name)
        published = PublishedView(
            items=PublishedState(), decoder=LookupDecoder(self.values), log=log
        )
        self.fleet = FleetView(
            published=published,
            failure_domain="a",
            regions={"a": "r"},
            pool=ConnectionPool(max_idle=4),
            limits=LIMITS,
            rng=rng,
            processes=lambda: 1,
            announce_send=lambda runner_id, tokens: None,
            runner_limits=runner_limits,
        )
        published.catalog = catalog()
        for number, scripted in enumerate(self.runners):
            if self.shared is None:
                await scripted.start()
            self.fleet.directory.on_listed(
                Runner(
                    id=f"r-{number}",
                    born_ms=1,
                    service="s",
                    address=scripted.address,
                    failure_domain="a",
                    slots=4,
                )
            )
        limit_exchange = self.link(name, runner_limits, published)
        self.forwarder = Forwarder(
            fleet=self.fleet,
            protocol=PlainProtocol(),
            log=log,
            metrics=GatewayMetrics(),
            rng=rng,
            salt=SALT,
            guard=self.guard,
            on_limit_changed=limit_exchange.on_changed,
        )
        self.server = CallerServer(
            on_request=self.forwarder.on_request, log=log, connections=self.connections
        )
        sockets = self.server.listen("127.0.0.1:0")
        self.port = sockets[0].getsockname()[1]
        return self

    def link(self, name, runner_limits, published):
        """Link with the harnesses that share the runners."""
        others = list(self.network.links_by_host)
        places = [EntryPlace(address=host, failure_domain="a") for host in [*others, name]]
        roster = EntryRoster(own=places[-1], now=0.0)
        roster.on_announcements(places, 0.0)
        self.network.rosters.append(roster)
        for other in self.network.rosters:
            other.on_announcements(places, 0.0)
        exchange = LimitExchange(
            limits=runner_limits,
            directory=published.directory,
            links=self.network.add(name, "entry", failure_domain="a"),
            roster=roster,
            own=places[-1],
            log=self.log,
        )
        self.guard = self.make_guard(name, roster, places[-1])
        for other in others:
            self.network.connect(name, other)
        return exchange

    def make_guard(self, name, roster, place):
        parts = CrashingParts()
        return PromptGuard(
            parts=parts,
            exchange=CrashExchange(
                parts=parts,
                links=self.network.links_by_host[name],
                has_full_mesh=lambda: len(roster) <= MAX_MESH_HOSTS,
                is_relay=lambda: is_hub(place, roster.places()),
                log=self.log,
                rng=random.Random(name),
            ),
            detector=CrashDetector(
                pool=self.fleet.pool, may_receive=self.fleet.directory.may_receive
            ),
            log=self.log,
        )

    async def __aexit__(self, *exc):
        self.server.stop_accepting()
        self.server.close_all()
        self.fleet.pool.close()
        for scripted in self.runners if self.shared is None else ():
            await scripted.stop()

    async def settle(self):
        """Wait until runners have detected closed connections, then record those still open."""
        await asyncio.sleep(0.1)
        for scripted in self.runners:
            scripted.connections_at_end = scripted.open_connections

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    @property
    def run_count(self):
        return sum(scripted.run_count for scripted in self.runners)

    @property
    def request_heads(self):
        return [head for scripted in self.runners for head in scripted.requests]


def raw_request(path, *, request_id="q-1", key=KEY, extra=""):
    method = "GET" if path.startswith("/safe") else "POST"
    id_header = f"Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n{id_header}"
        f"Authorization: Token {key}\r\nContent-Length: 2\r\n{extra}\r\nhi"
    ).encode()
