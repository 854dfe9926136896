"""Inputs of the decision about versions: rates and state of host, origin and runner."""

import math

from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.version_steps import (
    IDLE_LOAD_S,
    LINK_FACTOR,
    VERSION_MARGIN_S,
    StepInputs,
    VersionCandidate,
)
from wasabilb_node.clock import now
from wasabilb_node.published_view import PublishedView

from wasabilb_agent._model_fleet import ModelFleet
from wasabilb_agent.model_runner import RunnerState
from wasabilb_agent.weight_transfers import WeightTransfers

# Time in which the origin sends a version, as a multiple of its size divided by the link rate.
ORIGIN_FACTOR = 1.3
# Weight of one sample in the mean load of the runner, which covers about a second: a load step that
# is dropped because of one short peak is lost.
UTILIZATION_SMOOTHING = 0.1


class LoadInputs:
    """Rates and shares known to this host.

    Parameters
    ----------
    fleet : ModelFleet
        The runners of the model.
    published : PublishedView
        Catalog and named versions.
    origin : OriginUptime
        Outages of the origin.
    link_bytes_per_s : float
        Rate of this host's link.
    version_s : float
        Time within which a named version must be in force.
    """

    def __init__(
        self,
        *,
        fleet: ModelFleet,
        published: PublishedView,
        origin: OriginUptime,
        link_bytes_per_s: float,
        version_s: float,
    ) -> None:
        self._fleet = fleet
        self._published = published
        self._origin = origin
        self._link_bytes_per_s = link_bytes_per_s
        self._version_s = version_s
        # Time of the first chunk of each version on this host.
        self._first_chunk_times: dict[int, float] = {}
        self._utilization = 1.0

    def on_state(self, state: RunnerState) -> None:
        """Update the mean load of the runner."""
        engine = self._published.engine(self._fleet.service)
        if engine is not None:
            utilization = min(1.0, state.running / max(1, engine.slots))
            self._utilization += UTILIZATION_SMOOTHING * (utilization - self._utilization)

    def versions(self, transfers: WeightTransfers, *, above: int) -> list[VersionCandidate]:
        """Return the named versions newer than a held one."""
        return [self._candidate(number, transfers) for number in self._fleet.versions_above(above)]

    def held_outdated_s(self, held: int) -> float:
        """Return for how long the held version has been outdated, seconds."""
        return self._published.outdated_s(self._fleet.model, held) if held else math.inf

    def step_inputs(self) -> StepInputs:
        """Return rates and times."""
        engine = self._published.engine(self._fleet.service)
        answer_s = engine.completion_interval_s * engine.slots if engine is not None else 0.0
        return StepInputs(
            usable_s=self._version_s - VERSION_MARGIN_S,
            copy_s=LINK_FACTOR * self._version_bytes() / self._link_bytes_per_s,
            load_s=IDLE_LOAD_S + self._utilization * answer_s,
            utilization=self._utilization,
            away_s=self._origin.away_s(now()),
            # A host reads its share of the newest version while it fetches an older one.
            is_seeded=True,
        )

    def _candidate(self, number: int, transfers: WeightTransfers) -> VersionCandidate:
        variant = self._fleet.variant(number)
        share = transfers.share(variant)
        return VersionCandidate(
            number=number,
            share=share,
            is_ready=variant in transfers.held,
            outdated_s=self._published.outdated_s(self._fleet.model, number),
            reachable_share=max(share, self._share_sent_by_origin(number, has_chunks=share > 0)),
        )

    def _share_sent_by_origin(self, number: int, *, has_chunks: bool) -> float:
        """Return the estimated share of a version that the origin has sent.

        All hosts start on a version at about the same time, and the origin sends while it
        answers.
        """
        if not has_chunks:
            self._first_chunk_times.pop(number, None)
            return 0.0
        since = self._first_chunk_times.setdefault(number, now())
        rate = self._fleet.origin_bytes_per_s
        copy_s = ORIGIN_FACTOR * self._version_bytes() / rate if rate > 0 else 0.0
        return min(1.0, self._origin.answering_s(since, now()) / copy_s) if copy_s else 1.0

    def _version_bytes(self) -> float:
        engine = self._published.engine(self._fleet.service)
        return engine.chunks * engine.chunk_bytes if engine is not None else 0.0
