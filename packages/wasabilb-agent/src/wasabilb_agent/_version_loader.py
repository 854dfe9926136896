"""Updates the local runner to the newest version: fetch, stage and order, one step at a time."""

import asyncio
from typing import Any

from returns.result import Failure, Result
from wasabilb_core.assembly import ChunkAssembly
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.reload_waves import is_easing, may_reload
from wasabilb_core.seeding import versions_to_seed
from wasabilb_core.tickets import Variant
from wasabilb_core.version_steps import (
    LoadSteps,
    VersionCandidate,
    newest_usable,
    plan_load_steps,
    version_to_load,
    versions_to_fetch,
)
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.published_view import PublishedView

from wasabilb_agent._load_inputs import LoadInputs
from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_agent.model_runner import ModelRunner, OrderAnswer, RunnerState
from wasabilb_agent.staging import Staging
from wasabilb_agent.weight_transfers import WeightTransfers

# An order that was not accepted is sent again after this time.
ORDER_RETRY_S = 0.3
# The runner's state and the decision to load are obtained again after a check that took longer.
MAX_STATE_AGE_S = 0.5


class VersionLoader:
    """Loader of named versions: selects those to fetch and orders loads in the runner's turn.

    Parameters
    ----------
    fleet : ModelFleet
        The runners of the model.
    published : PublishedView
        Named versions and the position that fences orders.
    runner : ModelRunner
        The runner on this host.
    staging : Staging
        Chunks staged beside the runner.
    inputs : LoadInputs
        Inputs of the decision.
    version_s : float
        Time within which a named version must be in force.
    log : EventLog
        Gets one line for each order.
    """

    def __init__(
        self,
        *,
        fleet: ModelFleet,
        published: PublishedView,
        runner: ModelRunner,
        staging: Staging,
        inputs: LoadInputs,
        version_s: float,
        log: EventLog,
    ) -> None:
        self._fleet = fleet
        self._published = published
        self._runner = runner
        self._staging = staging
        self._load_inputs = inputs
        self._version_s = version_s
        self._log = log
        self._held_version = 0
        self._logged_steps: tuple[int, tuple[int, ...], int | None] | None = None
        self._ordered: Variant | None = None
        self._ordered_at = float("-inf")
        # Only one version of the model can be staged at a time, and an order loads the staged one.
        self._staging_lock = asyncio.Lock()

    def on_runner_restart(self) -> None:
        """Allow an order at once, as the runner has lost the last one."""
        self._ordered_at = float("-inf")

    async def deliver(self, assembly: ChunkAssembly) -> Result[None, Error]:
        """Stage a complete version once no order reads the staged chunks."""
        async with self._staging_lock:
            return await self._staging.deliver(assembly)

    def select_transfers(self, transfers: WeightTransfers) -> None:
        """Fetch the next version, and keep the newest complete one while peers may need it.

        A host whose runner holds the newest version still serves it to peers.
        """
        if not self._fleet.model:
            return
        versions = self._load_inputs.versions(transfers, above=0)
        inputs = self._load_inputs.step_inputs()
        newer = [version for version in versions if version.number > self._held_version]
        steps = self._steps(newer)
        wanted = versions_to_fetch(newer, steps, inputs) if steps else {versions[-1].number}
        newest_whole = newest_usable(versions, inputs)
        wanted |= {newest_whole} if newest_whole is not None else set()
        seeds = versions_to_seed([version.number for version in newer], fetched=wanted)
        variant = self._fleet.variant
        transfers.set_wanted(
            {variant(n): n for n in sorted(wanted)}, {variant(n): n for n in seeds}
        )

    async def reconcile(self, state: RunnerState, transfers: WeightTransfers) -> None:
        """Order the load of the next version if the runner may load it now."""
        self._load_inputs.on_state(state)
        number = self._version_due(state, transfers)
        self._log_confirmed_load()
        if number is None or self._staging_lock.locked():
            return
        target = self._fleet.variant(number)
        is_recent = self._ordered == target and now() - self._ordered_at < ORDER_RETRY_S
        assembly = transfers.assembly(target)
        if assembly is not None and not is_recent and self._may_reload(number, state):
            async with self._staging_lock:
                await self._load(target, assembly, state, transfers)

    def _version_due(self, state: RunnerState, transfers: WeightTransfers) -> int | None:
        """Return the version that the runner should load now, None for none."""
        self._held_version = state.version if state.has_all_layers(self._fleet.layers) else 0
        versions = self._load_inputs.versions(transfers, above=self._held_version)
        steps = self._steps(versions)
        number = version_to_load(versions, steps) if steps is not None else None
        return None if state.is_busy else number

    def is_easing(self, state: RunnerState) -> bool:
        """Return whether the runner should get fewer requests, as its load order is due soon."""
        own_runner = self._fleet.own_runner()
        if own_runner is None or not state.version or not self._fleet.versions_above(state.version):
            return False
        return is_easing(
            name=own_runner.id,
            members=self._fleet.members(),
            named_s=self._published.outdated_s(self._fleet.model, state.version),
            bound_s=self._version_s,
        )

    def _steps(self, newer: list[VersionCandidate]) -> LoadSteps | None:
        """Return the load steps to the newest version; each change is logged."""
        outdated_s = self._load_inputs.held_outdated_s(self._held_version)
        inputs = self._load_inputs.step_inputs()
        steps = plan_load_steps(newer, held_outdated_s=outdated_s, inputs=inputs)
        if steps is None:
            self._logged_steps = None
            return None
        loggable_steps = (self._held_version, steps.path, steps.kept)
        if loggable_steps != self._logged_steps:
            self._logged_steps = loggable_steps
            self._log.event(
                "load_steps",
                model=self._fleet.model,
                held=self._held_version,
                path=",".join(map(str, steps.path)),
                kept=steps.kept,
                shares=",".join(f"{v.number}:{v.share:.2f}/{v.reachable_share:.2f}" for v in newer),
                idle_ms=steps.idle_s * 1000,
                direct_ms=steps.direct_s * 1000,
                away_ms=inputs.away_s * 1000,
                left_ms=(inputs.usable_s - outdated_s) * 1000 if self._held_version else None,
                load_ms=inputs.load_s * 1000,
            )
        return steps

    def _may_reload(self, number: int, state: RunnerState) -> bool:
        own_runner = self._fleet.own_runner()
        is_named = self._published.named_versions(self._fleet.model) is not None
        if own_runner is None or state.version == 0 or not is_named:
            return True
        return may_reload(
            name=own_runner.id,
            members=self._fleet.members(),
            version=number,
            named_s=self._published.outdated_s(self._fleet.model, state.version),
            bound_s=self._version_s,
        )

    async def _load(
        self,
        target: Variant,
        assembly: ChunkAssembly,
        state: RunnerState,
        transfers: WeightTransfers,
    ) -> None:
        fields: dict[str, Any] = {"model": target.model, "version": target.version, "order": "load"}
        self._ordered, self._ordered_at = target, now()
        checked = await self._staging.verify_and_repair(assembly)
        if isinstance(checked, Failure):
            self._log.event("order_refused", **fields, detail=checked.failure().detail)
            return
        if now() - self._ordered_at > MAX_STATE_AGE_S:
            refreshed = await self._refreshed_state(target, transfers)
            if isinstance(refreshed, Failure):
                self._log.event("order_refused", **fields, detail=refreshed.failure().detail)
                return
            state = refreshed.unwrap()
        self._ordered_at = now()
        answer = await self._runner.load(
            target.model,
            int(target.version),
            fence=self._published.position.fence,
            orders=state.orders,
            send_by=checked.unwrap(),
        )
        if isinstance(answer, Failure):
            self._log.event("order_refused", **fields, detail=answer.failure().detail)
        elif answer.unwrap() in (OrderAnswer.BEGUN, OrderAnswer.IN_EFFECT):
            self._log.event("order_sent", **fields)
        else:
            self._log.event("order_refused", **fields, detail=answer.unwrap().value)

    async def _refreshed_state(
        self, target: Variant, transfers: WeightTransfers
    ) -> Result[RunnerState, Error]:
        """Return the runner's current state if it should still load this version."""
        result = await self._runner.state()
        if isinstance(result, Failure):
            return result
        state = result.unwrap()
        number = self._version_due(state, transfers)
        if number is None or self._fleet.variant(number) != target:
            detail = "the version is no longer due after the check of its staged chunks"
            return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))
        if not self._may_reload(number, state):
            detail = "it is no longer the runner's turn to load"
            return Failure(Error(kind=ErrorKind.NOT_READY, detail=detail))
        return result

    def _log_confirmed_load(self) -> None:
        if self._ordered is not None and self._held_version >= int(self._ordered.version):
            self._log.event(
                "version_ready", model=self._ordered.model, version=self._ordered.version
            )
            self._ordered = None
