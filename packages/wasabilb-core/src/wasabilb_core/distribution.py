"""Distribution of weights: which host requests which chunk from which source, and when.

A transfer has one `Overlay`, which all hosts compute alike from the ticket, and one `ChunkPlanner`
per host. The planner reacts to events and returns requests, which a `ChunkPolicy` selects.
"""

from wasabilb_core._chunk_baselines import FixedTree, OriginOnly
from wasabilb_core._chunk_planner import ChunkPlanner
from wasabilb_core._near_first import NearFirst
from wasabilb_core._overlay import Overlay
from wasabilb_core._swarm import Swarm
from wasabilb_core._transfer_view import (
    ORIGIN,
    ChunkFailure,
    ChunkPolicy,
    ChunkRequest,
    PlannerLimits,
    TransferView,
)
from wasabilb_core.registry import Registry

__all__ = [
    "CHUNK_POLICIES",
    "ORIGIN",
    "ChunkFailure",
    "ChunkPlanner",
    "ChunkPolicy",
    "ChunkRequest",
    "Overlay",
    "PlannerLimits",
    "TransferView",
]

CHUNK_POLICIES: Registry[ChunkPolicy] = Registry(kind="chunk policy")
CHUNK_POLICIES.register("origin_only")(OriginOnly)
CHUNK_POLICIES.register("fixed_tree")(FixedTree)
CHUNK_POLICIES.register("swarm")(Swarm)
CHUNK_POLICIES.register("near_first")(NearFirst)
