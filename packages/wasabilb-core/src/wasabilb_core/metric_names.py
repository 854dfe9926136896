"""The table of all metrics. `docs/api.md` shows it."""

from enum import Enum, unique

from attrs import frozen


@unique
class Metric(Enum):
    """Names of all metrics, without the prefix `wasabilb.ROLE.HOST.`."""

    REQUESTS = "requests"
    REQUESTS_REFUSED = "requests_refused"
    REQUESTS_BROKEN = "requests_broken"
    REQUESTS_MOVED = "requests_moved"
    HEDGES = "hedges"
    TOKENS = "tokens"
    FIRST_BYTE = "first_byte"
    TOKEN_GAP = "token_gap"
    REQUEST_TIME = "request_time"
    IN_FLIGHT = "in_flight"
    CONNECTIONS = "connections"
    QUEUE_JOBS = "queue_jobs"
    QUEUE_WAIT_SHORT = "queue_wait_short"
    QUEUE_WAIT_LONG = "queue_wait_long"
    PREEMPTIONS = "preemptions"
    LINKS = "links"
    LINK_BYTES = "link_bytes"
    NEWEST_TICKET = "newest_ticket"
    TICKETS_REFUSED = "tickets_refused"
    PLATFORM_READS = "platform_reads"
    CHUNK_BYTES_ORIGIN = "chunk_bytes_origin"
    CHUNK_BYTES_PEERS = "chunk_bytes_peers"
    CHUNKS_REFUSED = "chunks_refused"
    ORDERS = "orders"
    ONCE_UNKNOWN = "once_unknown"
    LEDGER_KEYS = "ledger_keys"
    LOOP_DELAY = "loop_delay"


@unique
class MetricKind(Enum):
    """Type of a statsd metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@frozen(kw_only=True)
class MetricSpec:
    """One metric: its kind, unit, the roles that send it, and its meaning."""

    kind: MetricKind
    unit: str
    roles: str
    meaning: str


def _counter(unit: str, roles: str, meaning: str) -> MetricSpec:
    return MetricSpec(kind=MetricKind.COUNTER, unit=unit, roles=roles, meaning=meaning)


def _gauge(unit: str, roles: str, meaning: str) -> MetricSpec:
    return MetricSpec(kind=MetricKind.GAUGE, unit=unit, roles=roles, meaning=meaning)


def _timer(roles: str, meaning: str) -> MetricSpec:
    return MetricSpec(kind=MetricKind.TIMER, unit="ms", roles=roles, meaning=meaning)


METRICS: dict[Metric, MetricSpec] = {
    Metric.REQUESTS: _counter("requests", "entry", "Requests with a complete answer."),
    Metric.REQUESTS_REFUSED: _counter("requests", "entry", "Requests that did not run."),
    Metric.REQUESTS_BROKEN: _counter(
        "requests", "entry", "Answers that ended early or with unknown outcome."
    ),
    Metric.REQUESTS_MOVED: _counter("requests", "entry", "Requests resumed on another runner."),
    Metric.HEDGES: _counter("requests", "entry", "Second attempts."),
    Metric.TOKENS: _counter("tokens", "entry", "Tokens forwarded to callers."),
    Metric.FIRST_BYTE: _timer("entry", "Time to the first byte of an answer."),
    Metric.TOKEN_GAP: _timer("entry", "Time between two tokens of an answer."),
    Metric.REQUEST_TIME: _timer("entry", "Time to the last byte of an answer."),
    Metric.IN_FLIGHT: _gauge("requests", "entry, agent", "Requests in progress."),
    Metric.CONNECTIONS: _gauge("connections", "entry", "Open connections from callers."),
    Metric.QUEUE_JOBS: _gauge("jobs", "agent", "Calls in the run queue."),
    Metric.QUEUE_WAIT_SHORT: _timer("agent", "Wait of short work in the run queue."),
    Metric.QUEUE_WAIT_LONG: _timer("agent", "Wait of long work in the run queue."),
    Metric.PREEMPTIONS: _counter("jobs", "agent", "Preempted jobs, which resume later."),
    Metric.LINKS: _gauge("links", "entry, agent", "Working links."),
    Metric.LINK_BYTES: _counter("bytes", "entry, agent", "Bytes sent on links."),
    Metric.NEWEST_TICKET: _gauge("number", "entry, agent", "Highest accepted ticket number."),
    Metric.TICKETS_REFUSED: _counter("tickets", "entry, agent", "Invalid or conflicting tickets."),
    Metric.PLATFORM_READS: _counter(
        "reads", "entry, agent", "Calls and watches of the configuration service."
    ),
    Metric.CHUNK_BYTES_ORIGIN: _counter("bytes", "agent", "Weights fetched from the store."),
    Metric.CHUNK_BYTES_PEERS: _counter("bytes", "agent", "Weights fetched from peers."),
    Metric.CHUNKS_REFUSED: _counter("chunks", "agent", "Chunks that did not match their digest."),
    Metric.ORDERS: _counter("orders", "agent", "Orders sent to the engine."),
    Metric.ONCE_UNKNOWN: _counter("calls", "entry, agent", "Calls with unknown outcome."),
    Metric.LEDGER_KEYS: _gauge("keys", "agent", "Keys in the ledger of at-most-once calls."),
    Metric.LOOP_DELAY: _timer("entry, agent", "Delay of the event loop."),
}
