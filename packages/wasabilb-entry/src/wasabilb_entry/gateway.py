"""The entry process of a deployment whose runners are called directly."""

import asyncio
from collections.abc import Callable
from functools import partial
from http.client import responses

import attrs
from attrs import frozen
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from wasabilb_core.catalog import Catalog
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.entry_roster import EntryPlace
from wasabilb_core.peering import entry_peers, is_hub
from wasabilb_core.runner_limits import RunnerLimits
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.links import Peer
from wasabilb_node.loop_delay import LoopDelayMonitor
from wasabilb_node.published_node import HEARTBEAT_S, NodePlace, PublishedNode
from wasabilb_node.published_source import PublishedDecoder, PublishedSource
from wasabilb_node.resilient_loop import run_loop
from wasabilb_wire.messages import RunnerReport, SendNotice

from wasabilb_entry.caller_connection import CallerServer
from wasabilb_entry.caller_protocol import CallerProtocol
from wasabilb_entry.crash_detector import CrashDetector
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.drain import Drain
from wasabilb_entry.fleet_view import FleetLimits, FleetView
from wasabilb_entry.forwarder import Forwarder
from wasabilb_entry.gateway_metrics import GatewayMetrics
from wasabilb_entry.lift_interface import LIFT_PATH, lift_answer
from wasabilb_entry.limit_exchange import LimitExchange
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_entry.send_notices import SendNotices

# Idle connections to one runner. Each of 7 entry processes keeps less than its share of the
# connections that a runner accepts.
MAX_IDLE_CONNECTIONS = 8
# Delay after a change until the peers to link with are selected again, seconds.
TARGET_UPDATE_DELAY_S = 0.2


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one entry process.

    Parameters
    ----------
    host, region, failure_domain : str
        Where it runs.
    regions : dict of str
        Region of each failure domain.
    callers_address, ready_address, links_address, metrics_address : str
        `IP:PORT` of each listener; empty for none.
    seeds : tuple of str
        Link addresses of some entry processes; they may be stale.
    agent_port : int
        Port on which agents accept links, next to their runners.
    limits : FleetLimits
        Limits of the deployment.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    """

    host: str
    region: str
    failure_domain: str
    regions: dict[str, str]
    callers_address: str
    ready_address: str
    links_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    agent_port: int
    limits: FleetLimits
    grace_s: float


class Gateway:
    """Follows published state, accepts callers and forwards their requests.

    Parameters
    ----------
    cfg : GatewaySettings
        Settings.
    protocol : CallerProtocol
        Header conventions of the deployment.
    decoder : PublishedDecoder
        Reads published items.
    source : callable
        Returns the source of published state that uses a connection pool.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        protocol: CallerProtocol,
        decoder: PublishedDecoder,
        source: Callable[[ConnectionPool], PublishedSource],
        salt: bytes,
    ) -> None:
        self._cfg = cfg
        self._metrics = GatewayMetrics()
        self._node = PublishedNode(
            place=NodePlace(
                name=cfg.host,
                host=cfg.host,
                role="entry",
                region=cfg.region,
                failure_domain=cfg.failure_domain,
                address=cfg.links_address,
            ),
            decoder=decoder,
            source=source,
            pool=ConnectionPool(max_idle=2),
            on_catalog=self._on_catalog,
            on_runner_gone=self._on_runner_gone,
            is_seed=cfg.links_address in cfg.seeds,
        )
        self.log, self._published = self._node.log, self._node.published
        self._node.links.set_handler(RunnerReport, self._on_report, from_role="agent")
        self._node.links.set_handler(SendNotice, self._on_send_notice, from_role="entry")
        self._node.on_changed.append(self._schedule_target_update)
        self._pool = ConnectionPool(
            max_idle=MAX_IDLE_CONNECTIONS, on_open=self._metrics.on_connection
        )
        runner_limits = RunnerLimits(host=cfg.links_address)
        limit_exchange = LimitExchange(
            limits=runner_limits,
            directory=self._published.directory,
            links=self._node.links,
            roster=self._node.roster,
            own=EntryPlace(address=cfg.links_address, failure_domain=cfg.failure_domain),
            log=self.log,
        )
        parts = CrashingParts()
        exchange = CrashExchange(
            parts=parts,
            links=self._node.links,
            has_full_mesh=lambda: len(self._node.roster) <= MAX_MESH_HOSTS,
            is_relay=lambda: is_hub(
                EntryPlace(address=cfg.links_address, failure_domain=cfg.failure_domain),
                self._node.roster.places(),
            ),
            log=self.log,
            rng=self._node.rng,
        )
        self._guard = PromptGuard(
            parts=parts,
            exchange=exchange,
            detector=CrashDetector(
                pool=self._pool, may_receive=self._published.directory.may_receive
            ),
            log=self.log,
            on_crash_seen=self._metrics.on_crash_seen,
        )
        self._published.on_weights_named.append(self._on_weights_named)
        self._fleet = FleetView(
            published=self._published,
            failure_domain=cfg.failure_domain,
            regions=cfg.regions,
            pool=self._pool,
            limits=cfg.limits,
            rng=self._node.rng,
            processes=self._entry_count,
            announce_send=SendNotices(links=self._node.links, roster=self._node.roster).add,
            runner_limits=runner_limits,
        )
        self._is_update_scheduled = False
        self._forwarder = Forwarder(
            fleet=self._fleet,
            protocol=protocol,
            log=self.log,
            metrics=self._metrics,
            rng=self._node.rng,
            salt=salt,
            guard=self._guard,
            on_limit_changed=limit_exchange.on_changed,
        )
        self._callers = CallerServer(
            on_request=self._forwarder.on_request,
            log=self.log,
            on_dropped=self._metrics.on_dropped,
        )
        self._loop_delay = LoopDelayMonitor(log=self.log, on_delay=self._metrics.on_loop_delay)
        self._is_draining = False
        # Called once per heartbeat, for checks of state that changes without a signal.
        self.on_tick: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and begin to follow published state."""
        self.log.event("process_started", listen=self._cfg.callers_address)
        self._node.links.listen()
        self._callers.listen(self._cfg.callers_address)
        self._serve(self._cfg.ready_address, self._answer_ready)
        if self._cfg.metrics_address:
            self._serve(self._cfg.metrics_address, self._answer_metrics)
        self._tasks = [
            asyncio.ensure_future(run_loop(self._node.sync.run, where="platform", log=self.log)),
            asyncio.ensure_future(run_loop(self._tick, where="heartbeat", log=self.log)),
        ]

    async def drain(self) -> None:
        """Leave the rotation, finish the requests in progress and close.

        Requests that the balancer still sends meanwhile are answered as well.
        """
        self._is_draining = True
        drain = Drain(callers=self._callers, forwarder=self._forwarder, log=self.log)
        await drain.run(self._cfg.grace_s)
        for task in self._tasks:
            task.cancel()
        self._node.links.close()

    def on_settings(self, cfg: GatewaySettings) -> None:
        """Apply changed settings, except for the listening addresses."""
        if cfg == self._cfg:
            return
        self._cfg = attrs.evolve(cfg, links_address=self._cfg.links_address)
        self._fleet.on_limits(cfg.limits)
        self.log.event("settings_reloaded", seeds=len(cfg.seeds))

    @property
    def is_ready(self) -> bool:
        """Return whether the process accepts new connections."""
        return not self._is_draining and self._published.catalog is not None

    def _serve(self, address: str, answer: Callable[[HTTPServerRequest], None]) -> None:
        ip, _, port = address.rpartition(":")
        HTTPServer(answer).listen(int(port), ip)

    def _answer_ready(self, req: HTTPServerRequest) -> None:
        _send_answer(req, 200 if self.is_ready else 503, b"")

    def _answer_metrics(self, req: HTTPServerRequest) -> None:
        if req.path == LIFT_PATH and req.method == "POST":
            self._answer_lift(req)
            return
        text = self._metrics.text(
            in_progress=self._forwarder.in_progress,
            revision=self._published.revision,
            suspected_parts=self._guard.parts.suspected_count,
            blocked_parts=len(self._guard.parts.blocked_parts(now())),
        )
        _send_answer(req, 200, text)

    def _answer_lift(self, req: HTTPServerRequest) -> None:
        """Lift blocked parts by the word of an operator, as the command `lift` asks."""
        text = req.arguments.get("part", [b""])[0].decode("ascii", "replace")
        lift = partial(self._guard.lift, reason="operator")
        _send_answer(req, *lift_answer(text, lambda part: lift(part=part)))

    async def _tick(self) -> None:
        self._node.tick(self._select_targets())
        self._pool.sweep()
        self._callers.sweep()
        for callback in self.on_tick:
            callback()
        await self._loop_delay.sleep(HEARTBEAT_S)

    def _select_targets(self) -> dict[str, str]:
        """Choose the runners to follow and return the processes to link with."""
        places = self._node.roster.places()
        own = EntryPlace(address=self._cfg.links_address, failure_domain=self._cfg.failure_domain)
        known = {place.address for place in places}
        entries = entry_peers(own, places, self._node.links.is_down)
        # A seed outside the roster may have linked processes that are missing there.
        targets = {address: address for address in {*entries, *set(self._cfg.seeds) - known}}
        for runner in self._fleet.follow(own, places):
            ip = runner.address.rpartition(":")[0]
            targets[f"{ip}:agent"] = f"{ip}:{self._cfg.agent_port}"
        return targets

    def _entry_count(self) -> int:
        return max(1, len(self._node.roster))

    def _schedule_target_update(self) -> None:
        # Changes come in bursts, and only the state after the last one matters.
        if not self._is_update_scheduled:
            self._is_update_scheduled = True
            asyncio.get_running_loop().call_later(TARGET_UPDATE_DELAY_S, self._update_targets)

    def _update_targets(self) -> None:
        self._is_update_scheduled = False
        self._node.links.set_targets(self._select_targets())

    def _on_catalog(self, catalog: Catalog) -> None:
        self._callers.on_limits(catalog.limits)

    def _on_runner_gone(self, runner_id: str) -> None:
        self._fleet.forget(runner_id)

    def _on_weights_named(self, model: str) -> None:
        """Let probes find out whether new weights end crashes, once all runners have them."""
        lift = partial(self._guard.lift, before=now(), reason="new weights")
        asyncio.get_running_loop().call_later(self._cfg.limits.version_s, lift)

    def _on_send_notice(self, peer: Peer, notice: SendNotice) -> None:
        for runner_id, tokens in zip(notice.runners, notice.prompt_tokens, strict=False):
            self._fleet.on_peer_sent(runner_id, tokens)

    def _on_report(self, peer: Peer, report: RunnerReport) -> None:
        runner = self._published.directory.get(report.runner)
        if runner is not None and self._published.directory.may_receive(runner):
            self._guard.on_report(runner, report)
        self._fleet.on_report(report)


def _send_answer(req: HTTPServerRequest, status: int, body: bytes) -> None:
    assert req.connection is not None
    reason = responses[status]
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    req.connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers, body)
    req.connection.finish()
