"""Tables of the settings files, with units in the names: `_s`, `_bytes`, `_bytes_per_s`."""

from typing import Any

from attrs import field, frozen

from wasabilb_core._value_checks import (
    NAME_PATTERN,
    Check,
    above,
    between,
    check_address,
    check_host_port,
    check_url,
    matches,
    one_of,
    optional,
)

_POSITIVE = above(0)
_NOT_NEGATIVE = above(0, inclusive=True)
_NAME = matches(NAME_PATTERN, "letters, digits, '-' or '_' (at most 63)")


def about(meaning: str, *, check: Check | None = None) -> dict[str, Any]:
    """Return the metadata of a setting: the sentence that explains it and its check."""
    return {"meaning": meaning, "check": check}


@frozen(kw_only=True)
class CallerSettings:
    """The listener for callers, on entry hosts."""

    listen: str = field(metadata=about("`IP:PORT` for callers.", check=check_address))
    tls_cert: str = field(
        default="", metadata=about("PEM file of the certificate; empty for none.")
    )
    tls_key: str = field(default="", metadata=about("PEM file of its private key; empty for none."))
    allow_plaintext: bool = field(
        default=False,
        metadata=about(
            "Allows plain HTTP from other hosts, for a proxy that terminates TLS; logs a warning."
        ),
    )


@frozen(kw_only=True)
class AdminSettings:
    """The operators' listener: `/healthz`, `/readyz`, `/status`, `/status.html`, read only."""

    listen: str = field(
        default="127.0.0.1:7080",
        metadata=about(
            "`IP:PORT` for operators; plain HTTP without secrets; empty for none.",
            check=optional(check_address),
        ),
    )


@frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services."""

    config_service: str = field(
        metadata=about("URL of the configuration service.", check=check_url)
    )
    host_list: str = field(
        default="",
        metadata=about("URL of the host list; empty for none.", check=optional(check_url)),
    )
    store: str = field(
        default="",
        metadata=about("URL of the weight store; empty for none.", check=optional(check_url)),
    )
    store_region: str = field(
        default="",
        metadata=about(
            "Region of the store, the same on all hosts; empty selects the region that fetches "
            "from the store by hash.",
            check=optional(_NAME),
        ),
    )


@frozen(kw_only=True)
class SpreadSettings:
    """How tickets are read from the configuration service."""

    readers_per_domain: int = field(
        default=2,
        metadata=about("Entry hosts in each failure domain that read tickets.", check=_POSITIVE),
    )
    # One twentieth of the 2,000 reads per second that the configuration service answers in total.
    service_calls_per_s: float = field(
        default=100.0,
        metadata=about(
            "Reads per second of all entry hosts together, including watches; each uses its share.",
            check=_POSITIVE,
        ),
    )
    # A ticket with a lower number than the newest is only found when a watch ends, and has to be in
    # force within 7 s.
    watch_timeout_s: float = field(
        default=4.0,
        metadata=about("Time after which a pending watch is repeated.", check=_POSITIVE),
    )


@frozen(kw_only=True)
class PolicySettings:
    """Registry names of the policies."""

    routing: str = field(
        default="peer_compared", metadata=about("How an entry host chooses a runner.", check=_NAME)
    )
    queueing: str = field(
        default="short_first", metadata=about("Order in which an agent runs calls.", check=_NAME)
    )
    chunks: str = field(
        default="swarm",
        metadata=about("How an agent chooses chunks and sources.", check=_NAME),
    )
    hedging: str = field(
        default="budgeted",
        metadata=about("When an entry host sends a second attempt.", check=_NAME),
    )


@frozen(kw_only=True)
class LimitSettings:
    """Limits; exceeding one gives a clear error and has no other effect."""

    header_bytes: int = field(
        default=16 << 10, metadata=about("Size of a caller's request header.", check=_POSITIVE)
    )
    body_bytes: int = field(
        default=1 << 20, metadata=about("Size of a caller's request body.", check=_POSITIVE)
    )
    frame_bytes: int = field(
        default=2 << 20, metadata=about("Size of a frame between processes.", check=_POSITIVE)
    )
    chunk_bytes: int = field(
        default=1 << 20, metadata=about("Size of a chunk of weights.", check=_POSITIVE)
    )
    queue_jobs: int = field(
        default=256, metadata=about("Calls that wait in one agent's run queue.", check=_POSITIVE)
    )
    in_flight_requests: int = field(
        default=1024, metadata=about("Requests in progress on one entry host.", check=_POSITIVE)
    )
    stream_credit_bytes: int = field(
        default=256 << 10,
        metadata=about("Unacknowledged bytes of one answer stream.", check=_POSITIVE),
    )
    connections: int = field(
        default=2000, metadata=about("Open connections from callers.", check=_POSITIVE)
    )
    header_timeout_s: float = field(
        default=10.0,
        metadata=about("Time in which a caller's header must arrive.", check=_POSITIVE),
    )
    idle_timeout_s: float = field(
        default=60.0,
        metadata=about("Time after which an idle connection is closed.", check=_POSITIVE),
    )


@frozen(kw_only=True)
class LinkSettings:
    """Links between processes of the system."""

    # Each link costs about 100 bytes per second each way for heartbeats and digests; 16 links for
    # a deployment and 3 to peers stay below 3 KB/s on each node at 330 entry hosts and 600 runners.
    subset_size: int = field(
        default=16,
        metadata=about("Agents per deployment that an entry host links to.", check=_POSITIVE),
    )
    peer_count: int = field(
        default=3, metadata=about("Entry hosts that an entry host links to.", check=_POSITIVE)
    )
    tls_cert: str = field(default="", metadata=about("PEM file of this host's certificate."))
    tls_key: str = field(default="", metadata=about("PEM file of its private key."))
    tls_ca: str = field(
        default="",
        metadata=about("PEM file of the authority that signs the certificates of all hosts."),
    )
    allow_plaintext: bool = field(
        default=False, metadata=about("Allows links without TLS beyond loopback; logs a warning.")
    )


@frozen(kw_only=True)
class TimeoutSettings:
    """Time limits of the processes."""

    report_s: float = field(
        default=3.0,
        metadata=about("Age of the last report above which a host is not live.", check=_POSITIVE),
    )
    heartbeat_s: float = field(
        default=1.0,
        metadata=about(
            "Interval of heartbeats; a link that is silent for three of them is replaced.",
            check=_POSITIVE,
        ),
    )
    progress_s: float = field(
        default=5.0,
        metadata=about(
            "Time without progress after which a call is probed and moved.", check=_POSITIVE
        ),
    )
    drain_s: float = field(
        default=300.0,
        metadata=about(
            "Longest time that a graceful shutdown waits for requests in progress.", check=_POSITIVE
        ),
    )
    leave_s: float = field(
        default=3.0,
        metadata=about(
            "Time after which a leaving backend server receives no new work.", check=_POSITIVE
        ),
    )


@frozen(kw_only=True)
class MetricSettings:
    """Where metrics are sent."""

    statsd: str = field(
        default="",
        metadata=about(
            "`HOST:PORT` of a statsd server; empty for no metrics.", check=optional(check_host_port)
        ),
    )


@frozen(kw_only=True)
class LogSettings:
    """Where log lines are written."""

    path: str = field(default="", metadata=about("File of the log; empty for standard error."))
    level: str = field(
        default="info",
        metadata=about(
            "Lowest level that is written: `debug`, `info`, `warning` or `error`.",
            check=one_of(("debug", "info", "warning", "error")),
        ),
    )


@frozen(kw_only=True)
class EngineSettings:
    """The engine beside an agent."""

    url: str = field(metadata=about("URL of the engine on this host.", check=check_url))
    orders_token_file: str = field(
        default="", metadata=about("File with the token that the engine expects with orders.")
    )


@frozen(kw_only=True)
class ServiceSettings:
    """The plain service beside an agent."""

    url: str = field(metadata=about("URL of the service on this host.", check=check_url))
    name: str = field(metadata=about("Name of the service in tickets.", check=_NAME))


@frozen(kw_only=True)
class WeightSettings:
    """Resources that transfers of weights may use on a backend server."""

    memory_bytes: int = field(
        default=2 << 30, metadata=about("Memory for stored chunks.", check=_POSITIVE)
    )
    link_bytes_per_s: float = field(
        default=125e6, metadata=about("Bandwidth of this host's link, each way.", check=_POSITIVE)
    )
    # Transfers yield to the observed live traffic, so the fixed share covers only its growth within
    # a second. Token streams take a small part of a link that carries weights.
    live_share: float = field(
        default=0.05,
        metadata=about(
            "Share of the link that is always reserved for live requests.", check=between(0, 1)
        ),
    )
    # A host cannot observe the live traffic of the others on a region link.
    region_live_share: float = field(
        default=0.25,
        metadata=about(
            "Share of a region link that is always reserved for live requests.",
            check=between(0, 1),
        ),
    )
    # 12 Mbit/s, the links between the users' regions.
    region_link_bytes_per_s: float = field(
        default=1.5e6,
        metadata=about(
            "Bandwidth between two regions, each way, for all traffic of all hosts.",
            check=_POSITIVE,
        ),
    )
