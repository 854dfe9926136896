"""The entry process, which connects callers to the agents of the backend servers."""

import asyncio
import os
import random
import secrets
from typing import TypeVar

import attrs
import tornado.web
from returns.result import Failure, Result
from tornado.httpserver import HTTPServer
from tornado.routing import Rule
from wasabilb_core.account_keys import AccountKeyVerifier
from wasabilb_core.account_limits import AccountLimiter
from wasabilb_core.admission import Admission, AdmissionOptions
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.drain_schedule import DrainSchedule
from wasabilb_core.errors import Error
from wasabilb_core.membership import HostReport
from wasabilb_core.metric_names import Metric
from wasabilb_core.retries import HEDGING, RetryBudget
from wasabilb_core.routing import ROUTING
from wasabilb_core.settings import EntrySettings, plaintext_warnings
from wasabilb_core.size_predictor import SizePredictor
from wasabilb_core.tickets import HostRole
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.lifecycle import run_until_signal
from wasabilb_node.links import Peer
from wasabilb_node.logs import EventLog, configure_logging
from wasabilb_node.node import Node
from wasabilb_node.tls import caller_tls
from wasabilb_wire.messages import Ping, Report

from wasabilb_entry import handlers, operator_pages
from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_entry.attempt_watch import AttemptWatch
from wasabilb_entry.bounded_server import BoundedServer, ConnectionLimits
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.entry import Entry
from wasabilb_entry.lift_interface import LIFT_PATH
from wasabilb_entry.model_requests import ModelRouter
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_entry.service_requests import ServiceRouter
from wasabilb_entry.usage_exchange import UsageExchange

T = TypeVar("T")

DRAIN_CHECK_S = 0.05
# Time for the error answers of requests that the end of a drain cuts off, seconds.
FINAL_ANSWERS_S = 0.1
PEPPER_BYTES = 32
# Handlers answer headers and bodies above their limits with a problem document. The server's own
# limits, which close the connection, only stop endless headers and bodies.
SERVER_LIMIT_FACTOR = 4
# Rates of plain services vary too much to compare their hosts.
SERVICE_ROUTING = "least_in_flight"


class EntryProcess:
    """One entry process.

    Parameters
    ----------
    cfg : EntrySettings
        The process's settings.
    """

    def __init__(self, *, cfg: EntrySettings) -> None:
        # Increases with each start on a host, which the account limits rely on.
        incarnation = wall_ms() << 16 | secrets.randbelow(1 << 16)
        self._cfg = cfg
        self._rng = random.Random(secrets.randbits(64))
        self.log = EventLog(
            process=str(os.getpid()),
            role=HostRole.ENTRY.value,
            host=cfg.host,
            failure_domain=cfg.failure_domain,
            incarnation=f"{incarnation:x}",
        )
        self.node = Node(cfg=cfg, role=HostRole.ENTRY, incarnation=incarnation, log=self.log)
        self._guard = self._build_guard()
        self.entry = self._build_entry(incarnation)
        self._usage_exchange = UsageExchange(
            fleet=self.node.fleet,
            limiter=self.entry.limiter,
            links=self.node.links,
            get_peers=self.node.entry_peers,
        )
        self._extra_hosts: set[str] = set()
        self._tls = caller_tls(cfg.callers)
        self._caller_server = self._build_server()
        self._operator_server = HTTPServer(_new_application(self._operator_routes()))
        links = self.node.links
        links.set_handler(Report, self._on_report, from_role=HostRole.BACKEND.value)
        links.on_link_down.append(self._on_link_down)
        self.node.extra_targets = self._get_extra_targets
        self.node.on_tick.append(self._on_tick)
        self.node.on_fleet_changed.append(lambda _: self._usage_exchange.on_fleet_changed())

    async def start(self) -> None:
        """Listen and start all loops."""
        self.node.start()
        ip, _, port = self._cfg.callers.listen.rpartition(":")
        self._caller_server.listen(int(port), ip.strip("[]"))
        if self._cfg.admin.listen:
            ip, _, port = self._cfg.admin.listen.rpartition(":")
            self._operator_server.listen(int(port), ip.strip("[]"))
        self.log.event("process_started", listen=self._cfg.callers.listen)
        for warning in plaintext_warnings(self._cfg):
            self.log.event("plaintext_allowed", detail=warning)
        self.node.run(self._log_ready())
        if self._watch is not None:
            self.node.run(self._watch.run())

    async def drain(self) -> None:
        """Report not ready, wait until all requests have ended, and stop.

        New requests that can end in time are served for another `leave_s`, until the balancer has
        seen the drain at `/readyz`. Those that have not ended shortly before `drain_s` get an
        error.
        """
        timeouts = self._cfg.timeouts
        schedule = DrainSchedule(
            started_at=now(), grace_s=timeouts.drain_s, removal_s=timeouts.leave_s
        )
        self.entry.drain = schedule
        self.log.event("drain_started", in_flight=self.entry.in_flight)
        try:
            await self._wait_for_requests(schedule.answer_by)
        finally:
            # Also when a second signal ends the drain.
            cut_off = self.entry.in_flight
            self.entry.end_requests()
            await self._wait_for_requests(now() + FINAL_ANSWERS_S)
            after_s = now() - schedule.started_at
            self.log.event("drain_done", cut_off=cut_off, after_s=after_s)
            self._caller_server.stop()
            self._operator_server.stop()
            await self._caller_server.close_all_connections()
            await self.node.stop()

    async def _wait_for_requests(self, moment: float) -> None:
        """Wait until all requests have ended and no more come, at most until the given time."""
        while now() < moment:
            if self.entry.is_closed and self.entry.in_flight == 0:
                return
            await asyncio.sleep(min(DRAIN_CHECK_S, max(0.0, moment - now())))

    def _build_entry(self, incarnation: int) -> Entry:
        cfg, node = self._cfg, self.node
        attempts = AttemptTable(links=node.links, log=self.log)
        budget = RetryBudget()
        hedging = _unwrap_policy(HEDGING.create(cfg.policy.hedging, budget=budget))
        routing = _unwrap_policy(ROUTING.create(cfg.policy.routing))
        self._watch = AttemptWatch(routing=routing, budget=budget) if hedging else None
        models = ModelRouter(
            membership=node.membership,
            attempts=attempts,
            routing=routing,
            predictor=SizePredictor(),
            budget=budget,
            hedging=hedging,
            watch=self._watch,
            metrics=node.metrics,
            rng=self._rng,
            log=self.log,
            credit_bytes=cfg.limits.stream_credit_bytes,
            progress_s=cfg.timeouts.progress_s,
            guard=self._guard,
        )
        services = ServiceRouter(
            fleet=node.fleet,
            membership=node.membership,
            links=node.links,
            attempts=attempts,
            routing=_unwrap_policy(ROUTING.create(SERVICE_ROUTING)),
            rng=self._rng,
            add_target=self._add_target,
            credit_bytes=cfg.limits.stream_credit_bytes,
            guard=self._guard,
        )
        limiter = AccountLimiter(
            host=cfg.host, hosts=[cfg.host], incarnation=incarnation, rng=self._rng
        )
        options = AdmissionOptions(max_limit=cfg.limits.in_flight_requests)
        return Entry(
            node=node,
            log=self.log,
            metrics=node.metrics,
            attempts=attempts,
            models=models,
            services=services,
            limiter=limiter,
            admission=Admission(rng=self._rng, options=options),
            key_verifier=AccountKeyVerifier(pepper=secrets.token_bytes(PEPPER_BYTES)),
            max_body_bytes=cfg.limits.body_bytes,
            max_header_bytes=cfg.limits.header_bytes,
        )

    def _build_guard(self) -> PromptGuard:
        fleet, parts = self.node.fleet, CrashingParts()

        def has_full_mesh() -> bool:
            return sum(host.is_entry for host in fleet.hosts()) <= MAX_MESH_HOSTS

        exchange = CrashExchange(
            parts=parts,
            links=self.node.links,
            has_full_mesh=has_full_mesh,
            is_relay=lambda: True,
            log=self.log,
            rng=self._rng,
        )
        return PromptGuard(parts=parts, exchange=exchange, log=self.log)

    def _build_server(self) -> BoundedServer:
        limits = self._cfg.limits
        server = BoundedServer(
            _new_application(self._caller_routes()),
            ssl_options=self._tls.context if self._tls else None,
        )
        server.set_up(
            ConnectionLimits(
                connections=limits.connections,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
                header_bytes=limits.header_bytes * SERVER_LIMIT_FACTOR,
                body_bytes=limits.body_bytes * SERVER_LIMIT_FACTOR,
            ),
            on_refused=lambda count: self.log.event("connection_refused", connections=count),
        )
        return server

    def _caller_routes(self) -> list[Rule]:
        args = {"entry": self.entry}
        name = r"([A-Za-z0-9][A-Za-z0-9_-]{0,62})"
        return [
            tornado.web.url(r"/v1/completions", handlers.CompletionHandler, args),
            tornado.web.url(r"/v1/chat/completions", handlers.ChatHandler, args),
            tornado.web.url(r"/v1/models", handlers.ModelsHandler, args),
            tornado.web.url(r"/wasabilb/keys", handlers.KeysHandler, args),
            tornado.web.url(rf"/services/{name}(/.*)?", handlers.ServiceHandler, args),
            tornado.web.url(r"/healthz", operator_pages.HealthHandler, args),
            tornado.web.url(r"/readyz", operator_pages.ReadyHandler, args),
            tornado.web.url(r".*", handlers.UnknownPathHandler, args),
        ]

    def _operator_routes(self) -> list[Rule]:
        args = {"entry": self.entry}
        return [
            tornado.web.url(r"/healthz", operator_pages.HealthHandler, args),
            tornado.web.url(r"/readyz", operator_pages.ReadyHandler, args),
            tornado.web.url(r"/status", operator_pages.StatusHandler, args),
            tornado.web.url(LIFT_PATH, operator_pages.LiftHandler, args),
            tornado.web.url(r"/status\.html", operator_pages.StatusPageHandler, args),
        ]

    def _add_target(self, host: str) -> None:
        if host not in self._extra_hosts:
            self._extra_hosts.add(host)
            self.node.refresh_targets()

    def _get_extra_targets(self) -> dict[str, str]:
        targets = {}
        for name in self._extra_hosts:
            spec = self.node.fleet.host(name)
            if spec is not None:
                targets[name] = spec.address
        return targets

    def _on_report(self, peer: Peer, report: Report) -> None:
        heartbeat = {item.name: getattr(report, item.name) for item in attrs.fields(Ping)}
        self.node.exchange.on_ping(peer, Ping(**heartbeat))
        wait_s = report.wait_ms / 1000
        self.node.membership.on_report(
            peer.host,
            HostReport(
                at=now(),
                ready=frozenset(report.ready),
                services=frozenset(report.services),
                slots=report.slots,
                running=report.running,
                queued=report.queued,
                wait_s=wait_s,
                is_leaving=report.is_leaving,
            ),
        )

    def _on_link_down(self, peer: Peer) -> None:
        if self.node.links.peer(peer.host) is None:
            self.node.membership.on_link_lost(peer.host)

    def _on_tick(self) -> None:
        self._usage_exchange.on_tick()
        self.node.metrics.gauge(Metric.IN_FLIGHT, self.entry.in_flight)
        self.node.metrics.gauge(Metric.CONNECTIONS, self._caller_server.open_connections)
        self._caller_server.sweep()
        waits = [
            report.wait_s
            for host in self.node.fleet.hosts()
            if (report := self.node.membership.report_of(host.name)) is not None
            and report.slots > 0
        ]
        if waits:
            self.entry.admission.on_wait(min(waits), now())
        if self._tls is not None:
            self._tls.reload()

    async def _log_ready(self) -> None:
        started_at = now()
        while not self.entry.is_ready:
            await asyncio.sleep(DRAIN_CHECK_S)
        self.log.event("process_ready", after_s=now() - started_at)


def _unwrap_policy(result: Result[T, Error]) -> T:
    """Return a created policy; `wasabilb check` also reports an unknown one.

    Raises
    ------
    ValueError
        When the registry has no entry of that name.
    """
    if isinstance(result, Failure):
        raise ValueError(result.failure().detail)
    return result.unwrap()


def _new_application(routes: list[Rule]) -> tornado.web.Application:
    # Requests are logged as events instead of tornado's access log lines.
    return tornado.web.Application(routes, log_function=lambda handler: None)


def run(settings: EntrySettings) -> None:
    """Run an entry process until SIGTERM or SIGINT."""
    configure_logging(settings.log)
    process: list[EntryProcess] = []

    async def start() -> None:
        process.append(EntryProcess(cfg=settings))
        await process[0].start()

    async def drain() -> None:
        await process[0].drain()

    run_until_signal(start=start, drain=drain)
