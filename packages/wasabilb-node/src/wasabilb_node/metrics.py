"""Metrics for an optional statsd server."""

from statsd import StatsClient
from wasabilb_core.metric_names import METRICS, Metric, MetricKind

from wasabilb_node.logs import EventLog


class Metrics:
    """Sends metrics of one process under `wasabilb.ROLE.HOST.`.

    Parameters
    ----------
    address : str
        `HOST:PORT` of the statsd server; empty disables metrics.
    role, host : str
        Parts of the metric prefix.
    log : EventLog
        Receives an event if the address cannot be used; the process then runs without metrics.
    """

    def __init__(self, *, address: str, role: str, host: str, log: EventLog) -> None:
        self._client: StatsClient | None = None
        if not address:
            return
        name, _, port = address.rpartition(":")
        name = name.strip("[]")
        try:
            self._client = StatsClient(
                name, int(port), prefix=f"wasabilb.{role}.{host}", ipv6=":" in name
            )
        except OSError as exc:
            log.event("metrics_unavailable", detail=f"{address}: {exc}")

    @property
    def is_sending(self) -> bool:
        """Return whether a server is configured and its address can be used."""
        return self._client is not None

    def count(self, metric: Metric, number: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None and _check_kind(metric, MetricKind.COUNTER):
            self._client.incr(metric.value, number)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self._client is not None and _check_kind(metric, MetricKind.GAUGE):
            self._client.gauge(metric.value, value)

    def timing(self, metric: Metric, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None and _check_kind(metric, MetricKind.TIMER):
            self._client.timing(metric.value, duration_ms)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _check_kind(metric: Metric, kind: MetricKind) -> bool:
    if METRICS[metric].kind is not kind:
        raise ValueError(f"metric {metric.value} is a {METRICS[metric].kind.value}")
    return True
