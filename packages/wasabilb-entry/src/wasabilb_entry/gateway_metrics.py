"""Counters and histograms of the gateway, served as text for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from wasabilb_core.attempts import AnswerProgress, AttemptEnd
from wasabilb_core.errors import ErrorKind

# Upper bounds in seconds, around the latency objectives of 0.15 to 0.5 s and timeouts of 6 s.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 4.0, 6.0)

# Around the 2 ms after which a reader pauses, seconds.
TURN_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128)


class GatewayMetrics:
    """Metrics of one entry process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._done = Counter(
            "wasabilb_requests",
            "Requests that were forwarded, by how they ended.",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._refused = Counter(
            "wasabilb_refused",
            "Requests that were answered without being forwarded.",
            ["error"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "wasabilb_attempts",
            "Attempts at runners, by how they ended.",
            ["service", "end"],
            registry=self._registry,
        )
        self._broken = Counter(
            "wasabilb_broken_attempts",
            "Attempts whose connection broke, by how far the answer had come.",
            ["service", "answer"],
            registry=self._registry,
        )
        self._crashes = Counter(
            "wasabilb_crashes_seen",
            "Requests with a suspected part that were with a runner when it crashed.",
            registry=self._registry,
        )
        self._suspected_parts = Gauge(
            "wasabilb_suspected_parts",
            "Parts of prompts that may crash runners.",
            registry=self._registry,
        )
        self._blocked_parts = Gauge(
            "wasabilb_blocked_parts",
            "Parts of prompts whose requests are refused.",
            registry=self._registry,
        )
        self._limited_sends = Counter(
            "wasabilb_limited_sends",
            "Requests sent to runners that had named a limit, by whether they are repeated.",
            ["service", "repeated"],
            registry=self._registry,
        )
        self._dropped = Counter(
            "wasabilb_dropped_requests",
            "Whole requests that were not passed on, as their connections had ended.",
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "wasabilb_first_byte_seconds",
            "Time from the arrival of a request to the first byte of its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._duration = Histogram(
            "wasabilb_duration_seconds",
            "Time from the arrival of a request to the end of its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._loop_delay = Histogram(
            "wasabilb_loop_delay_seconds",
            "Delay of the event loop, measured once a heartbeat.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._reader_turn = Histogram(
            "wasabilb_reader_turn_seconds",
            "Longest time between two heartbeats for which one reader held the event loop.",
            buckets=TURN_BUCKETS_S,
            registry=self._registry,
        )
        self._connections = Counter(
            "wasabilb_runner_connections",
            "Connections that were opened to runners.",
            registry=self._registry,
        )
        self._in_progress = Gauge(
            "wasabilb_requests_in_progress", "Requests under way.", registry=self._registry
        )
        self._revision = Gauge(
            "wasabilb_published_revision",
            "Newest known revision of published state.",
            registry=self._registry,
        )

    def on_done(
        self, service: str, outcome: str, duration_s: float, first_byte_s: float | None
    ) -> None:
        """Count a forwarded request."""
        self._done.labels(service, outcome).inc()
        self._duration.labels(service).observe(duration_s)
        if first_byte_s is not None:
            self._first_byte.labels(service).observe(first_byte_s)

    def on_loop_delay(self, delay_s: float, turn_s: float) -> None:
        """Record a delay of the event loop and the longest turn of a reader meanwhile."""
        self._loop_delay.observe(delay_s)
        self._reader_turn.observe(turn_s)

    def on_refused(self, kind: ErrorKind) -> None:
        """Count a request that was not forwarded."""
        self._refused.labels(kind.value).inc()

    def on_attempt_ended(self, service: str, end: AttemptEnd) -> None:
        """Count an attempt."""
        self._attempts.labels(service, end.value).inc()

    def on_broken(self, service: str, progress: AnswerProgress) -> None:
        """Count an attempt whose connection broke."""
        self._broken.labels(service, progress.value).inc()

    def on_crash_seen(self) -> None:
        """Count a request with a suspected part that was with a runner when it crashed."""
        self._crashes.inc()

    def on_limited_send(self, service: str, *, is_repeated: bool) -> None:
        """Count a request sent to a runner that has named a limit."""
        self._limited_sends.labels(service, str(is_repeated).lower()).inc()

    def on_dropped(self) -> None:
        """Count a whole request that was not passed on, as its connection had ended."""
        self._dropped.inc()

    def on_connection(self) -> None:
        """Count a new connection to a runner."""
        self._connections.inc()

    def text(
        self, *, in_progress: int, revision: int, suspected_parts: int = 0, blocked_parts: int = 0
    ) -> bytes:
        """Return all metrics in the text format."""
        self._suspected_parts.set(suspected_parts)
        self._blocked_parts.set(blocked_parts)
        self._in_progress.set(in_progress)
        self._revision.set(revision)
        return bytes(generate_latest(self._registry))
