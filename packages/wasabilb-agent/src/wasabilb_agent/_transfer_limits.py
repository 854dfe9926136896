"""Limits of a host's part in the transfer of a version to the hosts beside model runners."""

import attrs
from wasabilb_core.distribution import PlannerLimits
from wasabilb_core.manifest import Manifest

# A host reads chunks that other regions were to read after this many times the time in which the
# origin sends one copy: the second one is for overlapping reads and the path through other hosts.
REMOTE_WAIT_COPIES = 2.0
# A chunk takes 0.1 s over this host's link alone and 0.3 s when all hosts read the origin at once.
# One origin read at a time from each of them keeps its link busy without a queue in which new
# connections would time out; the other requests across regions go to peers.
TRANSFER_LIMITS = PlannerLimits(
    peer_requests=3,
    external_requests=3,
    requests_per_peer=1,
    uploads=2,
    cross_region_uploads=2,
    first_timeout_s=2.5,
    max_avoid_s=0.5,
)


def transfer_limits_for(manifest: Manifest, origin_bytes_per_s: float) -> PlannerLimits:
    """Return the limits for a manifest, given the rate of the origin's link, 0 for unknown."""
    if origin_bytes_per_s <= 0:
        return TRANSFER_LIMITS
    copy_s = manifest.size / origin_bytes_per_s
    return attrs.evolve(TRANSFER_LIMITS, remote_wait_s=REMOTE_WAIT_COPIES * copy_s)
