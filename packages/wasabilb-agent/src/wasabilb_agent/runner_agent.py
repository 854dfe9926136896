"""The agent beside a model runner whose requests do not pass through the agent."""

import asyncio
import os
import random
from collections.abc import Callable
from typing import Any

from attrs import define, frozen
from returns.result import Failure
from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.directory import Runner
from wasabilb_core.distribution import PlannerLimits
from wasabilb_core.named_versions import NamedVersions
from wasabilb_core.published import Item, PublishedState
from wasabilb_core.reload_waves import WaveMember, is_easing, may_reload
from wasabilb_core.settings import AgentSettings
from wasabilb_core.tickets import HostRole, HostSpec, Variant
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.links import Identity, LinkManager
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_node.published_sync import PublishedDecoder, PublishedSource, PublishedSync
from wasabilb_wire.messages import RunnerReport

from wasabilb_agent._participants import ListedParticipants
from wasabilb_agent._weight_source import WeightSource
from wasabilb_agent.model_runner import ModelRunner, OrderAnswer, RunnerState
from wasabilb_agent.staging import Staging
from wasabilb_agent.transfer import ChunkTransfers

# A third of the time after which a silent link is replaced, seconds.
HEARTBEAT_S = 0.8
# Interval of the runner's report; reports of this age change the choice of a runner little, as a
# place in a full batch becomes free about every 0.08 s.
REPORT_S = 0.1
# Entry processes hear of an unchanged state at least this often.
QUIET_REPORT_S = 0.5
# An order that was not accepted is sent again after this time.
ORDER_RETRY_S = 0.3
# A chunk takes 0.1 s over this host's link alone and 0.3 s when all hosts read the origin at once.
# One read of the origin at a time from each of them keeps its link busy without a queue in which
# new connections would time out; the other requests across regions go to peers.
TRANSFER_LIMITS = PlannerLimits(
    peer_requests=4,
    duty_requests=3,
    requests_per_peer=2,
    uploads=3,
    uploads_across=2,
    first_timeout_s=2.5,
    max_avoid_s=0.5,
)
# The version that runners hold before the operator names one.
FIRST_VERSION = 1


@frozen(kw_only=True)
class RunnerAgentSettings:
    """Settings of one agent beside a model runner.

    Parameters
    ----------
    process : AgentSettings
        Host, failure domain and rates of the links.
    node : str
        Name of the host, for people.
    regions : dict of str
        Region of each failure domain.
    runner_address : str
        `IP:PORT` of the runner on this host.
    service : str
        Service that the runner answers for.
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


@define(kw_only=True)
class _Sent:
    """The newest report that entry processes have."""

    report: RunnerReport | None = None
    at: float = float("-inf")


class RunnerAgent:
    """Moves weights, orders loads and reports the runner's state to entry processes.

    Parameters
    ----------
    cfg : RunnerAgentSettings
        Settings.
    decoder : PublishedDecoder
        Reads published items.
    source : callable
        Returns the reading calls of the platform on a connection pool.
    runner : callable
        Returns the calls to the runner on a connection pool.
    weights : callable
        Returns the origin of weights, given a pool and a way to learn its address.
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
        self._decoder = decoder
        own = cfg.process
        seed = int.from_bytes(os.urandom(8))
        rng = random.Random(seed)
        self.log = EventLog(
            process=cfg.node,
            role="agent",
            host=cfg.node,
            failure_domain=own.failure_domain,
            incarnation=f"{seed:016x}",
        )
        self._links = LinkManager(
            identity=Identity(
                host=own.host,
                role="agent",
                region=own.region,
                failure_domain=own.failure_domain,
                incarnation=seed,
                address=own.listen,
            ),
            log=self.log,
            heartbeat_s=HEARTBEAT_S,
        )
        self._catalog: Catalog | None = None
        self._named: dict[str, NamedVersions] = {}
        self._listed: dict[str, Runner] = {}
        self._state: RunnerState | None = None
        self._sent = _Sent()
        self._is_reachable: bool | None = None
        self._ordered_at = float("-inf")
        self._ordered: Variant | None = None
        self._published = PublishedState()
        self._pool = ConnectionPool(max_idle=4)
        self._runner = runner(self._pool)
        self._staging = Staging(runner=self._runner, log=self.log)
        self._sync = PublishedSync(
            state=self._published,
            source=source(self._pool),
            links=self._links,
            log=self.log,
            rng=rng,
            on_change=self._on_change,
            on_platform=lambda is_up: None,
            reads_first=False,
        )
        spec = HostSpec(
            name=own.host,
            role=HostRole.BACKEND.value,
            address=own.listen,
            region=own.region,
            failure_domain=own.failure_domain,
        )
        self._transfers = ChunkTransfers(
            cfg=own,
            participants=ListedParticipants(own=spec, listed=self._listed_hosts, links=self._links),
            links=self._links,
            store=weights(self._pool, self._origin_address),
            hand_over=self._staging.hand_over,
            log=self.log,
            metrics=Metrics(address="", role="agent", host=own.host, log=self.log),
            rng=rng,
            preload=self._staging.preload,
            limits=TRANSFER_LIMITS,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and begin to follow published state and the runner."""
        self.log.event("process_started", listen=self._cfg.process.listen)
        self._links.listen()
        self._tasks = [
            asyncio.ensure_future(self._sync.run()),
            asyncio.ensure_future(self._tick()),
            asyncio.ensure_future(self._follow_runner()),
        ]

    async def drain(self) -> None:
        """End at once: no request passes through this process."""
        self.log.event("process_stopped", reason="signal")
        for task in self._tasks:
            task.cancel()
        self._transfers.close()
        self._links.close()

    async def _tick(self) -> None:
        while True:
            self._links.set_targets(self._transfers.targets())
            self._links.tick()
            self._sync.beat("")
            self._transfers.on_tick()
            self._pool.sweep()
            await asyncio.sleep(HEARTBEAT_S)

    async def _follow_runner(self) -> None:
        while True:
            started = now()
            try:
                await self._step()
            except Exception as exc:
                # A defect in one round must not end the agent; the next round starts afresh.
                self.log.event("internal_error", where="runner_agent", detail=repr(exc))
            await asyncio.sleep(max(0.0, REPORT_S - (now() - started)))

    async def _step(self) -> None:
        wanted = self._wanted()
        if wanted is not None:
            # Before the runner answers, too: a new host fetches while its engine starts.
            self._transfers.set_wanted({wanted: int(wanted.version)})
        found = await self._runner.state()
        if isinstance(found, Failure):
            self._set_reachable(False, found.failure().detail)
            self._report(None)
            return
        state = found.unwrap()
        self._set_reachable(True)
        if self._state is not None and state.born_ms != self._state.born_ms:
            self.log.event("runner_restarted", born_ms=state.born_ms)
            self._ordered_at = float("-inf")
        self._state = state
        self._report(state)
        await self._reconcile(state)

    def _set_reachable(self, is_up: bool, detail: str = "") -> None:
        if self._is_reachable is is_up:
            return
        self._is_reachable = is_up
        if is_up:
            self.log.event("platform_up", service="runner")
        else:
            self.log.event("platform_down", service="runner", detail=detail)

    async def _reconcile(self, state: RunnerState) -> None:
        """Fetch the wanted version and order its load once it is whole."""
        wanted = self._wanted()
        if wanted is None:
            return
        if state.holds_all(self._layers()) and state.version >= int(wanted.version):
            self._confirm(wanted)
            return
        is_recent = self._ordered == wanted and now() - self._ordered_at < ORDER_RETRY_S
        if state.is_busy or is_recent or wanted not in self._transfers.held:
            return
        if not self._may_reload(wanted, state):
            return
        await self._load(wanted, state)

    async def _load(self, wanted: Variant, state: RunnerState) -> None:
        assembly = self._transfers.assembly(wanted)
        if assembly is None:
            return
        names: dict[str, Any] = {"model": wanted.model, "version": wanted.version, "order": "load"}
        self._ordered, self._ordered_at = wanted, now()
        intact = await self._staging.is_intact(assembly)
        if isinstance(intact, Failure):
            self.log.event("order_refused", **names, detail=intact.failure().detail)
            return
        if self._wanted() != wanted:
            return
        self._ordered_at = now()
        answer = await self._runner.load(
            wanted.model,
            int(wanted.version),
            fence=self._published.revision,
            orders=state.orders,
        )
        if isinstance(answer, Failure):
            self.log.event("order_refused", **names, detail=answer.failure().detail)
        elif answer.unwrap() in (OrderAnswer.BEGUN, OrderAnswer.IN_EFFECT):
            self.log.event("order_sent", **names)
        else:
            self.log.event("order_refused", **names, detail=answer.unwrap().value)

    def _may_reload(self, wanted: Variant, state: RunnerState) -> bool:
        own = self._own_runner()
        if own is None or state.version == 0 or wanted.model not in self._named:
            return True
        return may_reload(
            name=own.id,
            members=self._members(),
            version=int(wanted.version),
            named_s=self._named[wanted.model].named_for_s(state.version, now()),
            bound_s=self._cfg.version_s,
        )

    def _is_easing(self, own: Runner, state: RunnerState) -> bool:
        wanted = self._wanted()
        if wanted is None or wanted.model not in self._named:
            return False
        if not 0 < state.version < int(wanted.version):
            return False
        return is_easing(
            name=own.id,
            members=self._members(),
            named_s=self._named[wanted.model].named_for_s(state.version, now()),
            bound_s=self._cfg.version_s,
        )

    def _members(self) -> dict[str, WaveMember]:
        return {
            runner.id: WaveMember(
                failure_domain=runner.failure_domain,
                version=runner.version if runner.holds_all(self._layers()) else 0,
            )
            for runner in self._listed.values()
            if runner.service == self._cfg.service and not runner.is_draining
        }

    def _confirm(self, wanted: Variant) -> None:
        if self._ordered == wanted:
            self._ordered = None
            self.log.event("version_ready", model=wanted.model, version=wanted.version)

    def _wanted(self) -> Variant | None:
        if self._catalog is None:
            return None
        service = self._catalog.services.get(self._cfg.service)
        if service is None or service.engine is None or not service.engine.model:
            return None
        model = service.engine.model
        named = self._named.get(model)
        version = max(FIRST_VERSION, named.newest if named is not None else 0)
        return Variant(model=model, adapter="", version=str(version))

    def _layers(self) -> int:
        service = self._catalog.services.get(self._cfg.service) if self._catalog else None
        return service.engine.layers if service is not None and service.engine is not None else 1

    def _own_runner(self) -> Runner | None:
        found = [r for r in self._listed.values() if r.address == self._cfg.runner_address]
        return max(found, key=lambda runner: runner.born_ms, default=None)

    def _report(self, state: RunnerState | None) -> None:
        listed = self._own_runner()
        if listed is None:
            return
        if state is None:
            report = RunnerReport(runner=listed.id, born_ms=listed.born_ms, is_reachable=False)
        else:
            report = RunnerReport(
                runner=listed.id,
                born_ms=state.born_ms,
                model=state.model,
                version=state.version,
                layer_from=state.layer_from,
                layer_to=state.layer_to,
                is_busy=state.is_busy,
                running=state.running,
                waiting=state.waiting,
                memory_used=state.memory_used,
                memory_total=state.memory_total,
                pace=state.pace,
                is_easing=self._is_easing(listed, state),
            )
        if report == self._sent.report and now() - self._sent.at < QUIET_REPORT_S:
            return
        self._sent.report, self._sent.at = report, now()
        for peer in self._links.peers():
            if peer.hello.role == "entry":
                peer.send(report)

    def _origin_address(self) -> str:
        origin = self._catalog.origin if self._catalog is not None else None
        return origin.address if origin is not None else ""

    def _listed_hosts(self) -> list[HostSpec]:
        """Return the hosts beside listed runners, and those whose agents are linked already.

        A new host's agent runs about a second before its runner is listed.
        """
        found = {
            peer.host: HostSpec(
                name=peer.host,
                role=HostRole.BACKEND.value,
                address=peer.hello.address,
                region=peer.hello.region,
                failure_domain=peer.hello.failure_domain,
            )
            for peer in self._links.peers()
            if peer.hello.role == "agent"
        }
        for runner in self._listed.values():
            if runner.service != self._cfg.service:
                continue
            ip = runner.address.rpartition(":")[0]
            found[ip] = HostSpec(
                name=ip,
                role=HostRole.BACKEND.value,
                address=f"{ip}:{self._cfg.links_port}",
                region=self._cfg.regions.get(runner.failure_domain, ""),
                failure_domain=runner.failure_domain,
            )
        return list(found.values())

    def _on_change(self, items: list[Item]) -> None:
        is_first = self._catalog is None
        for item in items:
            runner_id = self._decoder.runner_id(item.name)
            value = self._decoder.decode(item) if item.body is not None else None
            if isinstance(value, Catalog):
                if self._catalog is None or value.version > self._catalog.version:
                    self._catalog = value
                    self.log.event(
                        "catalog_accepted", catalog=value.version, revision=item.revision
                    )
            elif isinstance(value, WeightTarget):
                named = self._named.setdefault(value.model, NamedVersions())
                named.on_named(value.version, now(), is_old=is_first)
                self.log.event(
                    "weights_named",
                    model=value.model,
                    version=value.version,
                    revision=item.revision,
                )
            elif isinstance(value, Runner):
                self._listed[value.id] = value
            elif runner_id is not None:
                self._listed.pop(runner_id, None)
            elif item.body is not None:
                self.log.event("published_unusable", name=item.name, revision=item.revision)
