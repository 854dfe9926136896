"""Log events and metrics of received chunks, at most one line per second and source."""

from collections import Counter
from typing import Any

from attrs import define, field
from wasabilb_core.distribution import ORIGIN
from wasabilb_core.manifest import Manifest
from wasabilb_core.metric_names import Metric
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics

LOG_INTERVAL_S = 1.0
STORE_NAME = "store"


@define(kw_only=True)
class ChunkCounters:
    """Counters of the verified and the refused chunks of one transfer.

    Parameters
    ----------
    manifest : Manifest
        Manifest of the transfer.
    """

    manifest: Manifest
    log: EventLog
    metrics: Metrics
    received_bytes: Counter[str] = field(init=False, factory=Counter)
    _new_bytes: Counter[str] = field(init=False, factory=Counter)
    _new_chunks: Counter[str] = field(init=False, factory=Counter)
    _logged_at: float = field(init=False, factory=now)

    def on_chunk(self, source: str, size: int) -> None:
        """Count a verified chunk."""
        is_origin = source == ORIGIN
        metric = Metric.CHUNK_BYTES_ORIGIN if is_origin else Metric.CHUNK_BYTES_PEERS
        self.metrics.count(metric, size)
        self.received_bytes[source] += size
        self._new_bytes[source] += size
        self._new_chunks[source] += 1

    def on_chunk_refused(self, source: str) -> None:
        """Count a chunk that does not match its digest."""
        self.metrics.count(Metric.CHUNKS_REFUSED)
        self.log.event("chunk_refused", **self._log_fields(source))

    def flush(self, *, is_last: bool = False) -> None:
        """Log the chunks received since the last lines, unless these are less than a second old."""
        if not is_last and now() - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now()
        for source, size in sorted(self._new_bytes.items()):
            fields = self._log_fields(source)
            self.log.event("chunk_received", **fields, bytes=size, chunks=self._new_chunks[source])
        self._new_bytes.clear()
        self._new_chunks.clear()

    def _log_fields(self, source: str) -> dict[str, Any]:
        model, version = self.manifest.model, self.manifest.version
        return {"model": model, "version": version, "source": source or STORE_NAME}
