"""State of one chunk transfer on one host, and the interface of the chunk policies."""

import random
from enum import Enum, unique
from typing import Protocol

from attrs import define, field, frozen

from wasabilb_core import _bitmaps
from wasabilb_core._latency import LatencyEstimator
from wasabilb_core._overlay import Overlay
from wasabilb_core.tickets import HostSpec

# Name of the store as a source of chunks. Host names are never empty.
ORIGIN = ""


@unique
class ChunkFailure(Enum):
    """Why a source did not deliver a chunk."""

    BUSY = "busy"
    ABSENT = "absent"
    CORRUPT = "corrupt"
    STALLED = "stalled"
    LOST = "lost"


@frozen(kw_only=True)
class ChunkRequest:
    """One chunk to request from one source.

    Parameters
    ----------
    index : int
        Number of the chunk.
    source : str
        Name of the peer, or `ORIGIN`.
    """

    index: int
    source: str

    @property
    def is_origin(self) -> bool:
        """Return whether the chunk comes from the store."""
        return self.source == ORIGIN


@frozen(kw_only=True)
class PlannerLimits:
    """Limits of one transfer on one host.

    Parameters
    ----------
    peer_requests : int
        Requests in flight to peers of the same region.
    external_requests : int
        Requests in flight to the store and to other regions.
    requests_per_peer : int
        Requests in flight to one peer.
    uploads : int
        Chunks being sent or queued for peers of the same region.
    cross_region_uploads : int
        Chunks being sent or queued for other regions, in addition to `uploads`.
    first_timeout_s : float
        Timeout of a request before any latency is known.
    max_avoid_s : float
        Longest time for which a source is avoided after failures, seconds.
    max_overdue : int
        Overdue requests in flight, in addition to the others.
    max_unreplicated : int
        Chunks that a fetcher has imported and that no active peer of its region has yet.
    min_takeover_s, max_takeover_s : float
        Bounds of the time after which the next host takes over an assigned chunk.
    remote_wait_s : float
        Time after the start from which a chunk that another region has to read, and that no remote
        host offers, is read from the origin.
    """

    peer_requests: int = 4
    external_requests: int = 4
    requests_per_peer: int = 2
    # One chunk being sent and one waiting keep an uplink busy; each further one in the queue adds
    # the time of a chunk to every hop.
    uploads: int = 2
    cross_region_uploads: int = 4
    max_overdue: int = 4
    max_avoid_s: float = 300.0
    max_unreplicated: int = 48
    # Several fetchers queue several large chunks at the store, so the first answers take long. A
    # shorter timeout repeats these requests and loads the store twice. Dead peers are detected by
    # their links.
    first_timeout_s: float = 20.0
    min_takeover_s: float = 2.0
    max_takeover_s: float = 30.0
    # Twice the time that an origin of 15 Mbit/s needs to send one copy of 2.4 MB.
    remote_wait_s: float = 2.5


@define(kw_only=True)
class ChunkSource:
    """State of the store or of one peer as a source of chunks.

    Parameters
    ----------
    name : str
        Name of the peer, or `ORIGIN`.
    have : int
        Bitmap of the chunks that it offers.
    changed_at : float
        Time at which its bitmap last grew, seconds.
    is_near : bool
        Whether it is a peer of the same region.
    in_flight_chunks : int
        Bitmap of the chunks in flight from it.
    backed_off_at : float
        Time at which its timeout was last doubled, seconds.
    """

    name: str
    latency: LatencyEstimator
    host: HostSpec | None = None
    is_near: bool = False
    have: int = 0
    changed_at: float = 0.0
    in_flight: int = 0
    in_flight_chunks: int = 0
    avoid_until: float = float("-inf")
    backed_off_at: float = float("-inf")
    faults: int = 0
    is_linked: bool = True


@define(kw_only=True)
class PendingRequest:
    """One request in flight.

    Parameters
    ----------
    deadline : float
        Time at which the request times out, seconds.
    is_overdue : bool
        Whether it takes so long that the chunk may be requested elsewhere too.
    """

    request: ChunkRequest
    sent_at: float
    deadline: float
    is_overdue: bool = False


@define(kw_only=True)
class TransferView:
    """State of one transfer on one host, written by the planner and read by the policy.

    Parameters
    ----------
    host : HostSpec
        This host.
    count : int
        Number of chunks in the manifest.
    have : int
        Bitmap of the verified chunks.
    started_at : float
        Time at which the transfer started, or last left the background, seconds.
    progress_at : float
        Time at which a chunk was last verified, or a missing one was last newly offered, seconds.
    last_remote_chunk_at : float
        Time at which a chunk last came from a host of another region, seconds.
    imported : int
        Bitmap of the chunks that came from the store or another region.
    requested : int
        Bitmap of the chunks in flight that are not overdue.
    near_in_flight, external_in_flight : int
        Requests in flight that are not overdue, to peers of the region and to all others.
    is_background : bool
        Whether only this host's share is read from the origin, as another version has priority.
    """

    host: HostSpec
    overlay: Overlay
    count: int
    rng: random.Random
    limits: PlannerLimits
    started_at: float
    progress_at: float
    origin: ChunkSource
    latency: LatencyEstimator
    have: int = 0
    last_remote_chunk_at: float = float("-inf")
    imported: int = 0
    requested: int = 0
    near_in_flight: int = 0
    external_in_flight: int = 0
    oldest_sent_at: float = float("-inf")
    is_background: bool = False
    all_chunks: int = field(init=False)
    peers: dict[str, ChunkSource] = field(factory=dict)
    pending: dict[tuple[int, str], PendingRequest] = field(factory=dict)
    uploads: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.all_chunks = _bitmaps.all_chunks(self.count)

    @property
    def missing(self) -> int:
        """Return the bitmap of the chunks that are neither verified nor requested."""
        return self.all_chunks & ~self.have & ~self.requested

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is verified."""
        return self.have == self.all_chunks

    def source(self, name: str) -> ChunkSource | None:
        """Return the source of a name, if it is known."""
        return self.origin if name == ORIGIN else self.peers.get(name)

    @property
    def takeover_s(self) -> float:
        """Return the time without progress after which the next host takes over, seconds."""
        expected_s = self.latency.mean_s
        if expected_s is None:
            return self.limits.first_timeout_s / 2
        return min(self.limits.max_takeover_s, max(self.limits.min_takeover_s, 6 * expected_s))


class ChunkPolicy(Protocol):
    """Decides which chunk a host requests from which source, and which peers it serves."""

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the hosts to link with."""

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the next request, or None when there is none at this time."""

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether to accept a request of a peer."""
