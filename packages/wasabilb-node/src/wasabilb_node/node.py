"""The base of entry process and agent: fleet state, links and background loops."""

import asyncio
import ssl
from collections.abc import Callable, Coroutine

from wasabilb_core.fleet import FleetState
from wasabilb_core.membership import Membership
from wasabilb_core.metric_names import Metric
from wasabilb_core.settings import AgentSettings, EntrySettings
from wasabilb_core.ticket_order import ticket_number
from wasabilb_core.ticket_spread import TicketSpread
from wasabilb_core.tickets import HostRole, HostSpec
from wasabilb_core.topology import agent_link_targets, entry_link_targets

from wasabilb_node.clock import now
from wasabilb_node.host_list_exchange import HostListExchange
from wasabilb_node.links import Identity, LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_node.platform_client import PlatformClient
from wasabilb_node.platform_reader import PlatformReader
from wasabilb_node.resilient_loop import run_loop
from wasabilb_node.ticket_exchange import TicketExchange
from wasabilb_node.tls import CertificateFiles, link_tls

# A process that receives nothing from its peers for this long relies on the configuration service
# alone.
PEER_WAIT_S = 3.0

_METRIC_ROLES = {HostRole.ENTRY: "entry", HostRole.BACKEND: "agent"}


class Node:
    """The parts that every process has, an entry process or an agent.

    Parameters
    ----------
    cfg : EntrySettings or AgentSettings
        The process's settings.
    role : HostRole
        Role of the process.
    incarnation : int
        Random 64-bit number that identifies this start of the process.
    log : EventLog
        Receives the events.
    """

    def __init__(
        self,
        *,
        cfg: EntrySettings | AgentSettings,
        role: HostRole,
        incarnation: int,
        log: EventLog,
    ) -> None:
        self.cfg = cfg
        self.role = role
        self.log = log
        self.metrics = Metrics(
            address=cfg.metrics.statsd, role=_METRIC_ROLES[role], host=cfg.host, log=log
        )
        self.fleet = FleetState()
        self.spread = TicketSpread(
            host=cfg.host,
            failure_domain=cfg.failure_domain,
            fleet=self.fleet,
            readers_per_domain=cfg.spread.readers_per_domain,
            service_calls_per_s=cfg.spread.service_calls_per_s,
        )
        self.membership = Membership(fleet=self.fleet, report_timeout_s=cfg.timeouts.report_s)
        self._tls = link_tls(cfg.links)
        self.links = LinkManager(
            identity=Identity(
                host=cfg.host,
                role=role.value,
                region=cfg.region,
                failure_domain=cfg.failure_domain,
                incarnation=incarnation,
                address=cfg.listen,
            ),
            log=log,
            heartbeat_s=cfg.timeouts.heartbeat_s,
            server_tls=self._tls[0].context if self._tls else None,
            client_tls=self._tls[1].context if self._tls else None,
        )
        self.exchange = TicketExchange(
            fleet=self.fleet,
            spread=self.spread,
            links=self.links,
            log=log,
            metrics=self.metrics,
            on_changed=self._on_changed,
        )
        self._client = PlatformClient(
            config_service=cfg.platform.config_service,
            host_list=cfg.platform.host_list,
            metrics=self.metrics,
        )
        self._reader = PlatformReader(
            client=self._client,
            exchange=self.exchange,
            spread=self.spread,
            fleet=self.fleet,
            host_lists=HostListExchange(membership=self.membership, links=self.links),
            links=self.links,
            log=log,
            watch_timeout_s=cfg.spread.watch_timeout_s,
            seeds=cfg.seeds,
        )
        self.on_fleet_changed: list[Callable[[frozenset[str]], None]] = []
        self.on_tick: list[Callable[[], None]] = []
        self.needs_ping: Callable[[Peer], bool] = lambda _: True
        self.extra_targets: Callable[[], dict[str, str]] = dict
        self._tasks: list[asyncio.Task[None]] = []
        self.started_at = now()
        self._is_synced = False
        self._first_ticket_at: float | None = None
        self._reported_link_bytes = 0

    @property
    def own_spec(self) -> HostSpec:
        """Return the declaration of this host in the tickets, or else one from the settings."""
        declared = self.fleet.host(self.cfg.host)
        if declared is not None:
            return declared
        return HostSpec(
            name=self.cfg.host,
            role=self.role.value,
            address=self.cfg.listen,
            region=self.cfg.region,
            failure_domain=self.cfg.failure_domain,
        )

    @property
    def is_synced(self) -> bool:
        """Return whether this process holds the newest state that it can obtain.

        The configuration service may serve stale state, so all seeds must have sent their state, or
        their time to answer must have passed. Once synced, a process stays synced.
        """
        if self.fleet.newest() == 0:
            return False
        if self._first_ticket_at is None:
            self._first_ticket_at = now()
        if not self._is_synced:
            # Counted from the first ticket, which names the peers that may have newer state.
            has_waited = now() - self._first_ticket_at > PEER_WAIT_S
            has_seed_states = self.exchange.has_state_of(self.cfg.seeds)
            has_source = self.exchange.has_peer_state or self._reader.is_synced
            self._is_synced = (
                has_source and (has_seed_states or has_waited) and self.exchange.is_up_to_date()
            )
        return self._is_synced

    def entry_peers(self) -> set[str]:
        """Return the entry hosts that this process keeps links to or is linked with."""
        specs = {host.name for host in self.fleet.hosts() if host.is_entry}
        return specs & (set(self._targets()) | self.links.linked_hosts())

    def start(self) -> None:
        """Listen and start the loops."""
        self.started_at = now()
        self.links.listen()
        self.refresh_targets()
        self.run(self._heartbeat())
        if self.role is HostRole.ENTRY and self.cfg.platform.config_service:
            self.run(run_loop(self._reader.run_tickets, where="tickets", log=self.log))
            if self._client.has_host_list:
                self.run(run_loop(self._reader.run_host_list, where="host list", log=self.log))

    def run(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine until the process stops; an unexpected error in it is logged."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_loop_done)
        self._tasks.append(task)

    def refresh_targets(self) -> None:
        """Update the link targets from the fleet state."""
        self.links.set_targets(self._targets())

    async def stop(self) -> None:
        """Stop all loops and close all links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.links.close()
        self._client.close()
        self.metrics.close()

    def _targets(self) -> dict[str, str]:
        targets = self.extra_targets()
        if self.role is HostRole.ENTRY:
            targets |= entry_link_targets(
                host=self.own_spec,
                fleet=self.fleet,
                spread=self.spread,
                subset_size=self.cfg.links.subset_size,
                peer_count=self.cfg.links.peer_count,
            )
        elif not self.links.peers(role=HostRole.ENTRY.value):
            targets |= agent_link_targets(
                host=self.own_spec, fleet=self.fleet, peer_count=self.cfg.links.peer_count
            )
        if not self.is_synced:
            targets |= {f"seed-{address}": address for address in self.cfg.seeds}
        return targets

    async def _heartbeat(self) -> None:
        while True:
            due = now() + self.cfg.timeouts.heartbeat_s
            await asyncio.sleep(self.cfg.timeouts.heartbeat_s)
            self.metrics.timing(Metric.LOOP_DELAY, (now() - due) * 1000)
            self._send_metrics()
            self.refresh_targets()
            self.links.tick()
            ping = self.exchange.to_ping()
            for peer in self.links.peers():
                if self.needs_ping(peer):
                    peer.send(ping)
            for callback in self.on_tick:
                self._run_tick_callback(callback)
            self._reload_certificates(self._tls or ())

    def _send_metrics(self) -> None:
        sent = self.links.bytes_sent
        self.metrics.count(Metric.LINK_BYTES, sent - self._reported_link_bytes)
        self._reported_link_bytes = sent
        self.metrics.gauge(Metric.LINKS, len(self.links.peers()))
        self.metrics.gauge(Metric.NEWEST_TICKET, ticket_number(self.fleet.newest()))

    def _run_tick_callback(self, callback: Callable[[], None]) -> None:
        # The heartbeat must continue: an unreadable certificate of the callers' listener once ended
        # it, and all peers then considered the host silent.
        try:
            callback()
        except ssl.SSLError as exc:
            self.log.event("certificate_refused", detail=str(exc))
        except Exception as exc:
            detail = f"{type(exc).__name__}: {exc}"
            self.log.event("internal_error", where="heartbeat", detail=detail)

    def _reload_certificates(self, files: tuple[CertificateFiles, ...]) -> None:
        for certificate in files:
            try:
                if certificate.reload():
                    self.log.event("certificate_reloaded")
            except (OSError, ssl.SSLError) as exc:
                self.log.event("certificate_refused", detail=str(exc))

    def _on_changed(self, keys: frozenset[str]) -> None:
        self.refresh_targets()
        for callback in self.on_fleet_changed:
            callback(keys)

    def _on_loop_done(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            self.log.event(
                "internal_error",
                where=str(task.get_coro()),
                detail=f"{type(exc).__name__}: {exc}",
            )
