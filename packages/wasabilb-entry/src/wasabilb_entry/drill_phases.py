"""Live requests before, during and after a rollout."""

import math
from collections.abc import Iterable, Sequence
from enum import Enum, unique

from attrs import frozen
from hdrh.histogram import HdrHistogram
from wasabilb_core.timeline import Event

# Shortest time before and after a rollout that it is compared with, so that a short rollout has
# enough requests to compare. The time is as long as the rollout and ends with the requests.
MIN_COMPARISON_S = 60.0
BUCKET_COUNT = 60
# Shown before and after the rollout even if the logs end earlier, so that its marks are visible.
MIN_SHOWN_S = 1.0
MIN_ERROR_STATUS = 400
_MAX_LATENCY_US = 3_600_000_000


@unique
class LiveOutcome(Enum):
    """Outcome of a live request.

    `UNKNOWN` stands for the error that a call to a plain service may have run, sent before any byte
    of an answer.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Latency:
    """Percentiles in milliseconds; None without requests."""

    p50_ms: float | None
    p99_ms: float | None


@frozen(kw_only=True)
class Phase:
    """Live requests in a span of time.

    Parameters
    ----------
    name : str
        `before`, `during` or `after`, or empty for a bucket.
    from_s, to_s : float
        The span, seconds after the ticket was first accepted.
    served : dict
        Number of requests for each way of ending.
    first_byte, duration : Latency
        Of the requests that were served whole.
    """

    name: str
    from_s: float
    to_s: float
    served: dict[LiveOutcome, int]
    first_byte: Latency
    duration: Latency


def live_outcome(event: Event) -> LiveOutcome:
    """Return how the request of a `request_done` event ended."""
    if event.fields.get("outcome") == "not-run":
        return LiveOutcome.REFUSED
    if event.fields.get("is_whole") == "true":
        return LiveOutcome.WHOLE
    failed = event.fields.get("service") and event.number("status") >= MIN_ERROR_STATUS
    if failed and event.fields.get("outcome") == "unknown" and "first_byte_ms" not in event.fields:
        return LiveOutcome.UNKNOWN
    return LiveOutcome.BROKEN


def split_phases(
    events: Sequence[Event], start_ms: int, end_s: float
) -> tuple[tuple[Phase, ...], tuple[Phase, ...]]:
    """Return the phases and the buckets of the live requests.

    Parameters
    ----------
    start_ms : int
        When the rollout began, ms since the epoch.
    end_s : float
        How long it took, in seconds.
    """
    requests: list[tuple[float, float, Event]] = []
    for event in events:
        if event.name == "request_done":
            end = (event.timestamp.wall_ms - start_ms) / 1000
            requests.append((end - event.number("duration_ms") / 1000, end, event))
    comparison_s = max(MIN_COMPARISON_S, end_s)
    first_s = min((start for start, _, _ in requests), default=0.0)
    last_s = max((end for _, end, _ in requests), default=0.0)
    from_s = max(-comparison_s, min(first_s, -MIN_SHOWN_S))
    to_s = min(end_s + comparison_s, max(last_s, end_s + MIN_SHOWN_S))
    # A request that overlaps the rollout counts as during it.
    phases = (
        _phase("before", from_s, 0.0, [r for r in requests if from_s <= r[0] and r[1] < 0]),
        _phase("during", 0.0, end_s, [r for r in requests if r[1] >= 0 and r[0] <= end_s]),
        _phase("after", end_s, to_s, [r for r in requests if end_s < r[0] <= to_s]),
    )
    width = (to_s - from_s) / BUCKET_COUNT
    by_bucket: list[list[tuple[float, float, Event]]] = [[] for _ in range(BUCKET_COUNT)]
    for request in requests:
        index = math.floor((request[1] - from_s) / width)
        if 0 <= index < BUCKET_COUNT:
            by_bucket[index].append(request)
    buckets = tuple(
        _phase("", index * width + from_s, (index + 1) * width + from_s, bucket)
        for index, bucket in enumerate(by_bucket)
    )
    return phases, buckets


def _phase(
    name: str, from_s: float, to_s: float, requests: list[tuple[float, float, Event]]
) -> Phase:
    counts = dict.fromkeys(LiveOutcome, 0)
    whole = []
    for _, _, event in requests:
        counts[live_outcome(event)] += 1
        if live_outcome(event) is LiveOutcome.WHOLE:
            whole.append(event)
    return Phase(
        name=name,
        from_s=from_s,
        to_s=to_s,
        served=counts,
        first_byte=_latency(event.number("first_byte_ms") for event in whole),
        duration=_latency(event.number("duration_ms") for event in whole),
    )


def _latency(values_ms: Iterable[float]) -> Latency:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for value in values_ms:
        histogram.record_value(min(max(int(value * 1000), 1), _MAX_LATENCY_US))
    if not histogram.total_count:
        return Latency(p50_ms=None, p99_ms=None)
    return Latency(
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )
