"""The agent beside a model runner whose requests do not pass through the agent."""

import asyncio
from collections.abc import Callable

from attrs import frozen
from returns.result import Failure
from wasabilb_core.distribution import PlannerLimits
from wasabilb_core.manifest import Manifest
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.peering import immediate_notifiers
from wasabilb_core.settings import AgentSettings
from wasabilb_core.tickets import HostRole, HostSpec
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.loop_delay import LoopDelayMonitor
from wasabilb_node.metrics import Metrics
from wasabilb_node.published_node import HEARTBEAT_S, NodePlace, PublishedNode
from wasabilb_node.published_source import PublishedDecoder, PublishedSource
from wasabilb_node.resilient_loop import run_loop

from wasabilb_agent._load_inputs import LoadInputs
from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_agent._participants import ListedParticipants
from wasabilb_agent._runner_reports import RunnerReports
from wasabilb_agent._transfer_limits import transfer_limits_for
from wasabilb_agent._version_loader import VersionLoader
from wasabilb_agent._weight_source import TrackedSource, WeightSource
from wasabilb_agent.model_runner import ModelRunner, RunnerState
from wasabilb_agent.staging import Staging
from wasabilb_agent.weight_transfers import WeightTransfers

# Longest delay before a manifest is requested again from an origin that failed, seconds. Runners
# stop answering some seconds after a version is named; the first host that has it notifies others.
MAX_ORIGIN_RETRY_S = 1.0


@frozen(kw_only=True)
class RunnerAgentSettings:
    """Settings of one agent beside a model runner.

    Parameters
    ----------
    process : AgentSettings
        Host, failure domain and rates of the links.
    node : str
        Display name of the host.
    regions : dict of str
        Region of each failure domain.
    runner_address : str
        `IP:PORT` of the runner on this host.
    service : str
        Service of the runner.
    links_port : int
        Port on which all agents accept links.
    version_s : float
        Time within which a named version must be in force.
    """

    process: AgentSettings
    node: str
    regions: dict[str, str]
    runner_address: str
    service: str
    links_port: int
    version_s: float


class RunnerAgent:
    """Agent that moves weights, orders loads and reports the runner's state to entry processes.

    Parameters
    ----------
    cfg : RunnerAgentSettings
        Settings.
    decoder : PublishedDecoder
        Reads published items.
    source : callable
        Returns the source of the platform's published items on a connection pool.
    runner : callable
        Returns the client of the runner on a connection pool.
    weights : callable
        Returns the origin of weights, given a pool and a function that returns its address.
    """

    def __init__(
        self,
        *,
        cfg: RunnerAgentSettings,
        decoder: PublishedDecoder,
        source: Callable[[ConnectionPool], PublishedSource],
        runner: Callable[[ConnectionPool], ModelRunner],
        weights: Callable[[ConnectionPool, Callable[[], str]], WeightSource],
    ) -> None:
        self._cfg = cfg
        process_cfg = cfg.process
        self._pool = ConnectionPool(max_idle=4)
        self._node = PublishedNode(
            place=NodePlace(
                name=cfg.node,
                host=process_cfg.host,
                role="agent",
                region=process_cfg.region,
                failure_domain=process_cfg.failure_domain,
                address=process_cfg.listen,
            ),
            decoder=decoder,
            source=source,
            pool=self._pool,
        )
        self.log, self._links = self._node.log, self._node.links
        self._loop_delay = LoopDelayMonitor(log=self.log)
        self._published = self._node.published
        self._fleet = ModelFleet(
            published=self._published,
            links=self._links,
            service=cfg.service,
            runner_address=cfg.runner_address,
            regions=cfg.regions,
            links_port=cfg.links_port,
        )
        self._runner = runner(self._pool)
        staging = Staging(runner=self._runner, log=self.log)
        origin = OriginUptime()
        inputs = LoadInputs(
            fleet=self._fleet,
            published=self._published,
            origin=origin,
            link_bytes_per_s=process_cfg.weights.link_bytes_per_s,
            version_s=cfg.version_s,
        )
        self._version_loader = VersionLoader(
            fleet=self._fleet,
            published=self._published,
            runner=self._runner,
            staging=staging,
            inputs=inputs,
            version_s=cfg.version_s,
            log=self.log,
        )
        own_host = HostSpec(
            name=process_cfg.host,
            role=HostRole.BACKEND.value,
            address=process_cfg.listen,
            region=process_cfg.region,
            failure_domain=process_cfg.failure_domain,
        )
        self._transfers = WeightTransfers(
            cfg=process_cfg,
            participants=ListedParticipants(
                own_host=own_host, listed_hosts=self._fleet.hosts, links=self._links
            ),
            links=self._links,
            store=TrackedSource(
                source=weights(self._pool, lambda: self._fleet.origin_address), uptime=origin
            ),
            deliver=self._version_loader.deliver,
            log=self.log,
            metrics=Metrics(address="", role="agent", host=process_cfg.host, log=self.log),
            rng=self._node.rng,
            preload=staging.preload,
            limits=self._transfer_limits,
            max_retry_s=MAX_ORIGIN_RETRY_S,
        )
        self._runner_reports = RunnerReports(links=self._links)
        self._state: RunnerState | None = None
        self._is_reachable: bool | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and start to follow published state and the runner."""
        self.log.event("process_started", listen=self._cfg.process.listen)
        self._links.listen()
        self._tasks = [
            asyncio.ensure_future(run_loop(iteration, where=where, log=self.log))
            for where, iteration in (
                ("platform", self._node.sync.run),
                ("heartbeat", self._tick),
                ("runner", self._poll_runner),
            )
        ]

    async def drain(self) -> None:
        """Stop at once, as no request passes through this process."""
        self.log.event("process_stopped", reason="signal")
        for task in self._tasks:
            task.cancel()
        self._transfers.close()
        self._links.close()

    async def _tick(self) -> None:
        self._node.tick(self._targets())
        self._transfers.on_tick()
        self._pool.sweep()
        await self._loop_delay.sleep(HEARTBEAT_S)

    def _targets(self) -> dict[str, str]:
        """Return the peers to link with: other agents, and entry processes if none is linked.

        Entry processes link with the agents of listed runners; this runner may not be listed yet.
        """
        link_targets = self._transfers.link_targets()
        if not self._links.peers(role="entry"):
            places = self._node.roster.places()
            domain = self._cfg.process.failure_domain
            link_targets.update(
                {a: a for a in immediate_notifiers(places, self._cfg.process.host, domain)}
            )
        return link_targets

    async def _poll_runner(self) -> None:
        started_at = now()
        await self._update_runner()
        await asyncio.sleep(max(0.0, self._runner_reports.interval_s - (now() - started_at)))

    async def _update_runner(self) -> None:
        # Also before the runner answers: a new host fetches while its engine starts.
        self._version_loader.select_transfers(self._transfers)
        result = await self._runner.state()
        if isinstance(result, Failure):
            error = result.failure()
            self._set_reachable(False, error.detail)
            self._send_report(None, is_silent=error.is_silence)
            return
        state = result.unwrap()
        self._set_reachable(True)
        if self._state is not None and state.born_ms != self._state.born_ms:
            self.log.event("runner_restarted", born_ms=state.born_ms)
            self._version_loader.on_runner_restart()
        self._state = state
        self._send_report(state)
        await self._version_loader.reconcile(state, self._transfers)

    def _transfer_limits(self, manifest: Manifest) -> PlannerLimits:
        return transfer_limits_for(manifest, self._fleet.origin_bytes_per_s)

    def _set_reachable(self, is_up: bool, detail: str = "") -> None:
        if self._is_reachable is is_up:
            return
        self._is_reachable = is_up
        if is_up:
            self.log.event("platform_up", service="runner")
        else:
            self.log.event("platform_down", service="runner", detail=detail)

    def _send_report(self, state: RunnerState | None, *, is_silent: bool = False) -> None:
        own_runner = self._fleet.own_runner()
        if own_runner is not None:
            is_easing = state is not None and self._version_loader.is_easing(state)
            self._runner_reports.send(own_runner, state, is_easing=is_easing, is_silent=is_silent)
