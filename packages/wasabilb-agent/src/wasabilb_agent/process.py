"""Agent process: links, calls, orders and weights of one backend server."""

import asyncio
import os
import random
from functools import partial
from pathlib import Path

import attrs
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.metric_names import Metric
from wasabilb_core.once import Ledger
from wasabilb_core.ownership import OnceOwnership
from wasabilb_core.queueing import QUEUES, QueuePolicy
from wasabilb_core.settings import AgentSettings, plaintext_warnings
from wasabilb_core.tickets import HostRole
from wasabilb_node.clock import now
from wasabilb_node.hlc_encoding import from_wire
from wasabilb_node.lifecycle import run_until_signal
from wasabilb_node.links import Peer
from wasabilb_node.logs import EventLog, configure_logging
from wasabilb_node.node import Node
from wasabilb_wire.messages import Call, Cancel, Credit, Report

from wasabilb_agent._engine_delivery import upload_variant
from wasabilb_agent._participants import TicketParticipants
from wasabilb_agent._store_client import StoreClient
from wasabilb_agent.engine_client import EngineClient, EngineStatus
from wasabilb_agent.model_calls import ModelCalls
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_agent.ownership_exchange import OwnershipExchange
from wasabilb_agent.reconciler import Reconciler
from wasabilb_agent.server_crashes import ServerCrashes
from wasabilb_agent.service_calls import ServiceCalls
from wasabilb_agent.service_client import ServiceClient
from wasabilb_agent.weight_transfers import WeightTransfers

DRAIN_CHECK_S = 0.05
# The last accepted call has to reach the engine before `leave_s` is over.
INTAKE_SHARE = 0.5


class AgentProcess:
    """Agent of one backend server.

    Parameters
    ----------
    cfg : AgentSettings
        The agent's settings.
    """

    def __init__(self, *, cfg: AgentSettings) -> None:
        incarnation = random.SystemRandom().getrandbits(62) + 1
        self._cfg = cfg
        self._rng = random.Random(incarnation)
        self.log = EventLog(
            process=str(os.getpid()),
            role=HostRole.BACKEND.value,
            host=cfg.host,
            failure_domain=cfg.failure_domain,
            incarnation=f"{incarnation:x}",
        )
        self.node = Node(cfg=cfg, role=HostRole.BACKEND, incarnation=incarnation, log=self.log)
        self._answers: dict[tuple[int, int], OutgoingAnswer] = {}
        self._is_leaving = False
        self._leaving_since = 0.0
        self._ticket_leaving_since: float | None = None
        self._last_report = Report()
        self._model_calls: ModelCalls | None = None
        self._service_calls: ServiceCalls | None = None
        self._reconciler: Reconciler | None = None
        self._transfers: WeightTransfers | None = None
        if cfg.engine is not None:
            self._build_engine(cfg.engine.url, cfg.engine.orders_token_file)
        if cfg.service is not None:
            self._build_service(cfg.service.url, cfg.service.name, incarnation)
        links = self.node.links
        links.set_handler(Call, self._on_call, from_role=HostRole.ENTRY.value)
        links.set_handler(Cancel, self._on_cancel, from_role=HostRole.ENTRY.value)
        links.set_handler(Credit, self._on_credit, from_role=HostRole.ENTRY.value)
        links.on_link_up.append(self._on_link_up)
        self.node.needs_ping = lambda peer: not _takes_reports(peer)
        links.on_link_down.append(self._on_link_down)
        self.node.on_tick.append(self._on_tick)
        self.node.on_fleet_changed.append(self._on_fleet_changed)

    async def start(self) -> None:
        """Listen and start all loops."""
        self.node.start()
        if self._reconciler is not None:
            self.node.run(self._reconciler.run())
        self.log.event("process_started", listen=self._cfg.listen)
        for warning in plaintext_warnings(self._cfg):
            self.log.event("plaintext_allowed", detail=warning)

    async def drain(self) -> None:
        """Stop accepting calls after a short time and wait until all calls have ended."""
        self._is_leaving = True
        self._leaving_since = now()
        self.log.event("drain_started", in_flight=self._in_progress)
        self._send_report()
        drain_deadline = now() + self._cfg.timeouts.drain_s
        while now() < drain_deadline:
            is_intake_over = now() - self._leaving_since >= self._intake_s
            if is_intake_over and self._model_calls is not None:
                self._model_calls.refuse_unstarted()
            if is_intake_over and self._in_progress == 0:
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        self.log.event("drain_done", cut_off=self._in_progress, after_s=now() - self._leaving_since)
        if self._transfers is not None:
            self._transfers.close()
        await self.node.stop()

    @property
    def _intake_s(self) -> float:
        """Return for how long a leaving host still accepts calls, seconds."""
        return self._cfg.timeouts.leave_s * INTAKE_SHARE

    @property
    def _has_left_by_ticket(self) -> bool:
        """Return whether a ticket to leave is older than the time in which the host accepts calls.

        Entry hosts choose other hosts by themselves, but a key belongs to a single host, and an
        entry host may have an older ticket.
        """
        since = self._ticket_leaving_since
        return since is not None and now() - since >= self._intake_s

    @property
    def _in_progress(self) -> int:
        models = self._model_calls.in_progress if self._model_calls else 0
        services = self._service_calls.in_progress if self._service_calls else 0
        return models + services

    def _build_engine(self, url: str, token_file: str) -> None:
        token = Path(token_file).read_text(encoding="utf-8").strip() if token_file else ""
        engine = EngineClient(url=url, orders_token=token)
        transfers = WeightTransfers(
            cfg=self._cfg,
            participants=TicketParticipants(
                cfg=self._cfg, fleet=self.node.fleet, links=self.node.links
            ),
            links=self.node.links,
            store=StoreClient(url=self._cfg.platform.store),
            deliver=partial(upload_variant, engine=engine),
            log=self.log,
            metrics=self.node.metrics,
            rng=self._rng,
        )
        self._transfers = transfers
        self.node.extra_targets = transfers.link_targets
        self.node.on_tick.append(transfers.on_tick)
        self._reconciler = Reconciler(
            host=self._cfg.host,
            fleet=self.node.fleet,
            engine=engine,
            transfers=transfers,
            log=self.log,
            metrics=self.node.metrics,
            on_status=self._on_status,
        )
        self._model_calls = ModelCalls(
            engine=engine,
            make_queue=self._make_queue,
            is_servable=self._reconciler.is_servable,
            progress_s=self._cfg.timeouts.progress_s,
            metrics=self.node.metrics,
            crashes=ServerCrashes.from_url(url),
        )

    def _build_service(self, url: str, name: str, incarnation: int) -> None:
        ownership = OnceOwnership(
            service=name, host=self._cfg.host, incarnation=incarnation, started_now=now()
        )
        ledger = Ledger(
            service=name, host=self._cfg.host, incarnation=incarnation, claim_policy=ownership
        )
        ownership_exchange = OwnershipExchange(
            service=name,
            ownership=ownership,
            ledger=ledger,
            fleet=self.node.fleet,
            links=self.node.links,
            log=self.log,
        )
        self.node.extra_targets = ownership_exchange.link_targets
        self.node.on_tick.append(ownership_exchange.on_tick)
        self.node.on_fleet_changed.append(lambda _: ownership_exchange.on_fleet_changed())
        self._service_calls = ServiceCalls(
            name=name,
            client=ServiceClient(url=url),
            ledger=ledger,
            fleet=self.node.fleet,
            log=self.log,
            metrics=self.node.metrics,
            max_calls=self._cfg.limits.queue_jobs,
            crashes=ServerCrashes.from_url(url),
        )

    def _make_queue(self, slots: int) -> QueuePolicy:
        created = QUEUES.create(
            self._cfg.policy.queueing,
            slots=slots,
            rng=self._rng,
            max_jobs=self._cfg.limits.queue_jobs,
        )
        return created.unwrap()

    def _on_call(self, peer: Peer, call: Call) -> None:
        self.log.receive(from_wire(call.hlc))
        answer = OutgoingAnswer(peer=peer, call=call, log=self.log)
        is_intake_over = now() - self._leaving_since >= self._intake_s
        is_draining = self._is_leaving and is_intake_over
        has_left = self._has_left_by_ticket
        self._answers[(id(peer.link), call.id)] = answer
        answer.on_ended = partial(self._answers.pop, (id(peer.link), call.id), None)
        if self._service_calls is not None:
            self._service_calls.on_call(answer, is_draining=is_draining, has_left=has_left)
        elif self._model_calls is not None and not is_draining and not has_left:
            self._model_calls.on_call(answer)
        else:
            answer.fail(Error(kind=ErrorKind.DRAINING, detail="the host is leaving"))

    def _on_cancel(self, peer: Peer, cancel: Cancel) -> None:
        key = (id(peer.link), cancel.id)
        if cancel.is_withdrawal:
            if key in self._answers and self._model_calls is not None:
                self._model_calls.on_call_withdrawn(self._answers[key])
            return
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._drop_answer(answer)

    def _on_credit(self, peer: Peer, credit: Credit) -> None:
        answer = self._answers.get((id(peer.link), credit.id))
        if answer is not None:
            answer.on_credit(credit.bytes)

    def _on_link_up(self, peer: Peer) -> None:
        if _takes_reports(peer):
            peer.send(self._to_report())

    def _on_link_down(self, peer: Peer) -> None:
        link_id = id(peer.link)
        for key in [key for key in self._answers if key[0] == link_id]:
            self._drop_answer(self._answers.pop(key))

    def _drop_answer(self, answer: OutgoingAnswer) -> None:
        answer.on_caller_gone()
        if self._model_calls is not None:
            self._model_calls.on_caller_gone(answer)

    def _on_status(self, status: EngineStatus) -> None:
        if self._model_calls is not None:
            self._model_calls.set_slots(status.slots)
            self._model_calls.start_waiting_calls()
        self._send_report(only_changed=True)

    def _on_tick(self) -> None:
        metrics = self.node.metrics
        metrics.gauge(Metric.IN_FLIGHT, self._in_progress)
        if self._model_calls is not None:
            self._model_calls.on_tick()
            metrics.gauge(Metric.QUEUE_JOBS, self._model_calls.queued)
        if self._service_calls is not None:
            metrics.gauge(Metric.LEDGER_KEYS, self._service_calls.recorded_keys)
        self._send_report()

    def _on_fleet_changed(self, keys: frozenset[str]) -> None:
        own_host = self.node.fleet.host(self._cfg.host)
        if own_host is None or own_host.takes_work:
            self._ticket_leaving_since = None
        elif self._ticket_leaving_since is None:
            self._ticket_leaving_since = now()
        if self._reconciler is not None:
            self._reconciler.wake()
        self._send_report()

    def _send_report(self, *, only_changed: bool = False) -> None:
        report = self._to_report()
        is_same = (report.ready, report.is_leaving) == (
            self._last_report.ready,
            self._last_report.is_leaving,
        )
        self._last_report = report
        if only_changed and is_same:
            return
        for peer in self.node.links.peers():
            if _takes_reports(peer):
                peer.send(report)

    def _to_report(self) -> Report:
        own_host = self.node.fleet.host(self._cfg.host)
        is_leaving = self._is_leaving or (own_host is not None and not own_host.takes_work)
        # The report serves as the heartbeat: a second frame each second would double the traffic.
        heartbeat = attrs.asdict(self.node.exchange.to_ping())
        if self._model_calls is None or self._reconciler is None:
            name = self._cfg.service.name if self._cfg.service else ""
            running = self._service_calls.in_progress if self._service_calls else 0
            return Report(services=[name], running=running, is_leaving=is_leaving, **heartbeat)
        return Report(
            ready=sorted(str(variant) for variant in self._reconciler.ready),
            slots=self._model_calls.slots,
            running=self._model_calls.running,
            queued=self._model_calls.queued,
            wait_ms=int(self._model_calls.expected_wait_s() * 1000),
            is_leaving=is_leaving,
            **heartbeat,
        )


def _takes_reports(peer: Peer) -> bool:
    return peer.hello.role == HostRole.ENTRY.value


def run(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    configure_logging(settings.log)
    process: list[AgentProcess] = []

    async def start() -> None:
        process.append(AgentProcess(cfg=settings))
        await process[0].start()

    async def drain() -> None:
        await process[0].drain()

    run_until_signal(start=start, drain=drain)
