"""Settings of callers and records of their calls."""

from typing import Any

import attrs
from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram


@frozen(kw_only=True)
class CallerSettings:
    """Settings of the traffic that callers send.

    Parameters
    ----------
    entries : list of str
        Entry hosts, `ADDRESS:PORT`.
    rate_per_s : float
        Mean arrivals per second, with exponential gaps, independent of answers.
    mix : dict
        Weight of each kind: `short`, `long` and `chat` completions, `booking` with the caller's own
        UUIDv7 key, `issued` with a key that an entry host has issued, `get` and `portal`;
        `same-model` and `same-portal` send the same request each time.
    model, service, portal : str
        Model of the completions, service of bookings and of `get`, and service of `portal`.
    short_tokens, long_tokens : tuple of int
        Range of the natural lengths of the answers.
    max_tokens : int
        Sent with each completion, equal for short and long ones so that it does not identify them.
    same_text : str
        In the prompt of `same-model` and the path of `same-portal`.
    account_key : str
        Sent as `Authorization: Bearer`.
    deadline_ms : int
        Sent as `Wasabilb-Deadline-Ms`; 0 sends none.
    booking_repeats : int
        Maximum repeats of a booking with an unknown outcome, with the same key and each through
        another entry host.
    repeat_share : float
        Share of the answered bookings that are repeated too, as if the caller had lost the answer.
    timeout_s : float
        Timeout of a request.
    seed : int
        Seed of arrivals, kinds, entry hosts, prompts and keys.
    """

    entries: list[str]
    rate_per_s: float = 20.0
    mix: dict[str, float] = field(
        factory=lambda: {"short": 6.0, "long": 1.0, "booking": 2.0, "get": 1.0}
    )
    model: str = "draft"
    service: str = "bookings"
    portal: str = "portal"
    short_tokens: tuple[int, int] = (8, 24)
    long_tokens: tuple[int, int] = (200, 400)
    max_tokens: int = 512
    same_text: str = "same"
    account_key: str = ""
    deadline_ms: int = 0
    booking_repeats: int = 1
    repeat_share: float = 0.0
    timeout_s: float = 30.0
    seed: int = 0


@define(kw_only=True)
class CallRecord:
    """Record of one attempt, as its caller observed it.

    Parameters
    ----------
    start, first_byte, end : float
        Monotonic time in seconds; `first_byte` is that of the body, 0 if there was none.
    status : int
        HTTP status; 0 if there was no answer.
    outcome, version : str
        Headers `Wasabilb-Outcome` and `Wasabilb-Version`.
    verdict : str
        `whole`, `broken` (cut off, an error event, or no answer) or `refused` (error status).
    is_match : bool or None
        Whether the body equals the oracle's answer for the version in its header; for a broken
        answer, whether it is a prefix of that. None if there is nothing to compare.
    tokens, wanted_tokens : int
        Number of received tokens, and of tokens in the complete answer.
    error_event : str
        Data of the explicit error event.
    problem : str
        Body of a refusal, or the error of the connection.
    """

    kind: str
    entry: str
    number: int
    attempt: int = 0
    key: str = ""
    body_digest: str = ""
    prompt: str = ""
    start: float = 0.0
    first_byte: float = 0.0
    end: float = 0.0
    status: int = 0
    outcome: str = ""
    version: str = ""
    verdict: str = ""
    is_match: bool | None = None
    tokens: int = 0
    wanted_tokens: int = 0
    token_times: list[float] = field(factory=list)
    error_event: str = ""
    problem: str = ""


def percentiles(seconds: list[float]) -> dict[str, float]:
    """Return p50, p95, p99 and the maximum with three significant digits."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1e6)))
    names = {"p50": 50.0, "p95": 95.0, "p99": 99.0, "max": 100.0}
    return {name: histogram.get_value_at_percentile(p) / 1e6 for name, p in names.items()}


def once_violations(records: list[CallRecord], by_body: dict[str, int]) -> list[str]:
    """Return one line for each booking that ran twice or contrary to its reported outcome.

    Parameters
    ----------
    by_body : dict
        Executions by body digest, from the record of the service.
    """
    found = []
    for rec in records:
        if not rec.body_digest:
            continue
        execution_count = by_body.get(rec.body_digest, 0)
        if execution_count > 1:
            found.append(f"booking {rec.number} ran {execution_count} times")
        if rec.outcome == "not-run" and execution_count:
            found.append(f"booking {rec.number} ran, reported as not-run")
        if rec.outcome == "ran" and not execution_count:
            found.append(f"booking {rec.number} did not run, reported as ran")
    return found


def to_json(records: list[CallRecord]) -> list[dict[str, Any]]:
    """Return records as JSON objects."""
    return [attrs.asdict(rec) for rec in records]
