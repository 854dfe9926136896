"""What a planner knows of its transfer, and the interface of the policies that decide on it."""

import random
from enum import Enum, unique
from typing import Protocol

from attrs import define, field, frozen

from wasabilb_core import _bitmaps
from wasabilb_core._latency import Latency
from wasabilb_core._overlay import Overlay
from wasabilb_core.tickets import HostSpec

# The store, as a source of chunks. Host names are never empty.
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
        """Return whether the store is the source."""
        return self.source == ORIGIN


@frozen(kw_only=True)
class PlannerLimits:
    """Bounds of one host's part in a transfer.

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
        Chunks being sent or queued for other regions, on top of `uploads`.
    first_timeout_s : float
        Time-out of a request before any latency is known.
    max_avoid_s : float
        Longest time for which a source is avoided after failures.
    overdue : int
        Further requests in flight that have taken too long to count as progress.
    unspread : int
        Chunks that a fetcher has brought in and no linked peer of its region has yet.
    min_takeover_s, max_takeover_s : float
        Bounds of the time after which the next host takes over an assigned chunk.
    remote_wait_s : float
        Time after the start from which a chunk that another region was to read, and that no far
        host offers, is read from the origin.
    """

    peer_requests: int = 4
    external_requests: int = 4
    requests_per_peer: int = 2
    # One chunk being sent and one that waits keep an uplink busy; each further one in the queue
    # adds a chunk's time to every hop.
    uploads: int = 2
    cross_region_uploads: int = 4
    max_overdue: int = 4
    max_avoid_s: float = 300.0
    max_unreplicated: int = 48
    # Several fetchers queue several large chunks at the store, so the first answers take long;
    # a shorter time repeats these requests and loads the store twice. Dead peers are noticed by
    # their links.
    first_timeout_s: float = 20.0
    min_takeover_s: float = 2.0
    max_takeover_s: float = 30.0
    # Twice the time in which one copy of 2.4 MB leaves an origin of 15 Mbit/s.
    remote_wait_s: float = 2.5


@define(kw_only=True)
class ChunkSource:
    """What is known of the store or of one linked peer.

    Parameters
    ----------
    name : str
        Name of the peer, or `ORIGIN`.
    have : int
        Bitmap of the chunks that it offers.
    changed_at : float
        When its bitmap last grew, seconds.
    is_near : bool
        Whether it is a peer in this host's region.
    asked : int
        Bitmap of the chunks in flight from it.
    backed_off_at : float
        When its time-out was last doubled, seconds.
    """

    name: str
    latency: Latency
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
        When the request is given up, seconds.
    is_overdue : bool
        Whether it has taken so long that the chunk may be requested elsewhere too.
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
        Chunks in the manifest.
    have : int
        Bitmap of the verified chunks.
    started_at : float
        When the transfer started here, or was last in the background, seconds.
    progress_at : float
        When a chunk was last verified, or when a source last offered one that is missing.
    last_remote_chunk_at : float
        When a chunk last came from a host of another region, seconds.
    brought : int
        Bitmap of the chunks that came from the store or another region.
    requested : int
        Bitmap of the chunks in flight that are not overdue.
    near_in_flight, external_in_flight : int
        Requests in flight that are not overdue, to peers of the region and to all others.
    is_background : bool
        Whether only this host's share is read from the origin, as another version goes first.
    """

    host: HostSpec
    overlay: Overlay
    count: int
    rng: random.Random
    limits: PlannerLimits
    started_at: float
    progress_at: float
    origin: ChunkSource
    latency: Latency
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
        """Return the source of that name, if it is linked."""
        return self.origin if name == ORIGIN else self.peers.get(name)

    @property
    def takeover_s(self) -> float:
        """Return the time without progress after which the next host takes over, seconds."""
        expected = self.latency.mean_s
        if expected is None:
            return self.limits.first_timeout_s / 2
        return min(self.limits.max_takeover_s, max(self.limits.min_takeover_s, 6 * expected))


class ChunkPolicy(Protocol):
    """Decides from whom a host requests which chunk, and to whom it sends."""

    def neighbours(self, view: TransferView, now: float) -> tuple[str, ...]:
        """Return the hosts to be linked with."""

    def next_request(self, view: TransferView, now: float) -> ChunkRequest | None:
        """Return the next request, or None when there is none to make at this time."""

    def may_serve(self, view: TransferView, peer: str, now: float) -> bool:
        """Return whether a request of a peer is accepted."""
