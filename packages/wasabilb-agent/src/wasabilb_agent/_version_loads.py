"""Orders a runner to load the wanted version, when its weights are staged and its turn has come."""

from typing import Any

from returns.result import Failure
from wasabilb_core.reload_waves import is_easing, may_reload
from wasabilb_core.tickets import Variant
from wasabilb_node.clock import now
from wasabilb_node.followed_state import FollowedState
from wasabilb_node.logs import EventLog

from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_agent.model_runner import ModelRunner, OrderAnswer, RunnerState
from wasabilb_agent.staging import Staging
from wasabilb_agent.transfer import ChunkTransfers

# An order that was not accepted is sent again after this time.
ORDER_RETRY_S = 0.3


class VersionLoads:
    """Brings the runner on this host to the wanted version.

    Parameters
    ----------
    fleet : ModelFleet
        The runners of the model.
    published : FollowedState
        Named versions and the revision that fences orders.
    runner : ModelRunner
        The runner on this host.
    staging : Staging
        Chunks that lie beside it.
    transfers : ChunkTransfers
        Versions that are whole on this host.
    version_s : float
        Time within which a named version must be in force.
    log : EventLog
        One line for each order.
    """

    def __init__(
        self,
        *,
        fleet: ModelFleet,
        published: FollowedState,
        runner: ModelRunner,
        staging: Staging,
        transfers: ChunkTransfers,
        version_s: float,
        log: EventLog,
    ) -> None:
        self._fleet = fleet
        self._published = published
        self._runner = runner
        self._staging = staging
        self._transfers = transfers
        self._version_s = version_s
        self._log = log
        self._ordered: Variant | None = None
        self._ordered_at = float("-inf")

    def on_restart(self) -> None:
        """Order at once, as the runner has lost what it was told."""
        self._ordered_at = float("-inf")

    async def reconcile(self, state: RunnerState) -> None:
        """Order the load of the wanted version if nothing stands against it."""
        wanted = self._fleet.wanted()
        if wanted is None:
            return
        if state.holds_all(self._fleet.layers) and state.version >= int(wanted.version):
            self._confirm(wanted)
            return
        is_recent = self._ordered == wanted and now() - self._ordered_at < ORDER_RETRY_S
        if state.is_busy or is_recent or wanted not in self._transfers.held:
            return
        if self._may_reload(wanted, state):
            await self._load(wanted, state)

    def is_easing(self, state: RunnerState) -> bool:
        """Return whether the runner should get less to do, as it is soon ordered to load."""
        wanted, own = self._fleet.wanted(), self._fleet.own()
        if wanted is None or own is None or not 0 < state.version < int(wanted.version):
            return False
        return is_easing(
            name=own.id,
            members=self._fleet.members(),
            named_s=self._published.outdated_s(wanted.model, state.version),
            bound_s=self._version_s,
        )

    def _may_reload(self, wanted: Variant, state: RunnerState) -> bool:
        own = self._fleet.own()
        is_named = self._published.named(wanted.model) is not None
        if own is None or state.version == 0 or not is_named:
            return True
        return may_reload(
            name=own.id,
            members=self._fleet.members(),
            version=int(wanted.version),
            named_s=self._published.outdated_s(wanted.model, state.version),
            bound_s=self._version_s,
        )

    async def _load(self, wanted: Variant, state: RunnerState) -> None:
        assembly = self._transfers.assembly(wanted)
        if assembly is None:
            return
        names: dict[str, Any] = {"model": wanted.model, "version": wanted.version, "order": "load"}
        self._ordered, self._ordered_at = wanted, now()
        intact = await self._staging.is_intact(assembly)
        if isinstance(intact, Failure):
            self._log.event("order_refused", **names, detail=intact.failure().detail)
            return
        if self._fleet.wanted() != wanted:
            return
        self._ordered_at = now()
        answer = await self._runner.load(
            wanted.model,
            int(wanted.version),
            fence=self._published.revision,
            orders=state.orders,
        )
        if isinstance(answer, Failure):
            self._log.event("order_refused", **names, detail=answer.failure().detail)
        elif answer.unwrap() in (OrderAnswer.BEGUN, OrderAnswer.IN_EFFECT):
            self._log.event("order_sent", **names)
        else:
            self._log.event("order_refused", **names, detail=answer.unwrap().value)

    def _confirm(self, wanted: Variant) -> None:
        if self._ordered == wanted:
            self._ordered = None
            self._log.event("version_ready", model=wanted.model, version=wanted.version)
