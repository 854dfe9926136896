"""Distribution of weights: which host requests which chunk from whom, and when.

A transfer has one `Overlay`, computed alike by all hosts from the ticket, and one `ChunkPlanner`
per host. The planner is driven by events and answers with requests; a `ChunkPolicy` decides.
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
