"""State of an entry process that its HTTP handlers share."""

import secrets
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure
from wasabilb_core.account_keys import AccountKeyVerifier
from wasabilb_core.account_limits import AccountLimiter
from wasabilb_core.admission import Admission, AdmissionRequest
from wasabilb_core.drain_schedule import DrainSchedule, RunTimes
from wasabilb_core.errors import ErrorKind, Outcome
from wasabilb_core.metric_names import Metric
from wasabilb_core.tickets import AccountSpec
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_node.node import PEER_WAIT_S, Node

from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_entry.model_requests import ModelRouter
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord, new_error
from wasabilb_entry.service_requests import ServiceRouter

MAX_WRONG_KEYS_PER_S = 20.0
WRONG_KEY_RETRY_S = 1.0
NOT_READY_RETRY_S = 1.0


@define(kw_only=True, eq=False)
class Entry:
    """State of an entry process.

    Parameters
    ----------
    drain : DrainSchedule or None
        Times of the planned stop, None while there is none.
    in_flight : int
        Requests of callers in progress.
    """

    node: Node
    log: EventLog
    metrics: Metrics
    attempts: AttemptTable
    models: ModelRouter
    services: ServiceRouter
    limiter: AccountLimiter
    admission: Admission
    key_verifier: AccountKeyVerifier
    max_body_bytes: int
    max_header_bytes: int
    drain: DrainSchedule | None = None
    in_flight: int = 0
    wrong_keys: float = 0.0
    wrong_keys_at: float = 0.0
    # Each ends the answer of one request with an error.
    cut_offs: set[Callable[[], None]] = field(factory=set)
    run_times: RunTimes = field(factory=RunTimes)

    @property
    def is_draining(self) -> bool:
        """Return whether the process is being stopped, which `/readyz` tells the balancer."""
        return self.drain is not None

    @property
    def is_closed(self) -> bool:
        """Return whether new requests are refused, as the balancer had time to see the drain."""
        return self.drain is not None and now() >= self.drain.leaves_at

    @property
    def is_ready(self) -> bool:
        """Return whether the process accepts requests."""
        has_waited = now() - self.node.started_at > PEER_WAIT_S
        has_all_peer_usage = self.limiter.has_all_peer_usage or has_waited
        return self.node.is_synced and has_all_peer_usage and not self.is_draining

    def find_account(self, authorization: str) -> AccountSpec:
        """Return the account of an `Authorization` header.

        Raises
        ------
        RequestFailedError
            When the key is missing or wrong or follows too many wrong keys, and when this process
            has not received all accounts yet.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise new_error(ErrorKind.UNAUTHENTICATED, "expected Authorization: Bearer KEY")
        moment = now()
        # Each wrong key costs a hash per account, which must not block the event loop.
        recent = max(0.0, self.wrong_keys - (moment - self.wrong_keys_at) * MAX_WRONG_KEYS_PER_S)
        self.wrong_keys, self.wrong_keys_at = recent, moment
        accounts = self.node.fleet.accounts()
        account = self.key_verifier.find_account(
            key, accounts, is_cached_only=recent > MAX_WRONG_KEYS_PER_S
        )
        if account is None:
            self.wrong_keys += 1
            if not self.node.is_synced:
                raise self._not_ready_error(None)
            raise new_error(ErrorKind.UNAUTHENTICATED, "the account key is wrong")
        return account

    def _not_ready_error(self, outcome: Outcome | None) -> RequestFailedError:
        return new_error(
            ErrorKind.NOT_READY,
            "the entry host has not received the newest ticket yet",
            retry_after_s=NOT_READY_RETRY_S,
            outcome=outcome,
        )

    def end_requests(self) -> None:
        """End all requests in progress with an error now, as the process ends."""
        for cut_off in list(self.cut_offs):
            cut_off()

    def admit(
        self, req: CallerRequest, *, record: RequestRecord, expected_s: float, may_have_run: bool
    ) -> None:
        """Admit a request; `on_done` must follow at its end.

        Parameters
        ----------
        record : RequestRecord
            What is asked for, which tells the usual time of an answer.
        expected_s : float
            Expected time to wait and to run, in seconds.
        may_have_run : bool
            Whether an earlier attempt under the caller's key may have run, so that the outcome is
            unknown after a refusal.

        Raises
        ------
        RequestFailedError
            When the request is refused.
        """
        outcome = Outcome.UNKNOWN if may_have_run else None
        if self.drain is not None and not self._ends_in_time(req, record, self.drain):
            raise new_error(
                ErrorKind.DRAINING,
                "the entry host is leaving",
                retry_after_s=self.drain.retry_after_s(now()),
                outcome=outcome,
            )
        if not self.node.is_synced:
            raise self._not_ready_error(outcome)
        moment = now()
        refused = self.limiter.take(req.account.name, 1.0, moment)
        if not isinstance(refused, Failure):
            refused = self.admission.admit(
                AdmissionRequest(
                    account=req.account.name,
                    weight=req.account.weight,
                    deadline=req.deadline,
                    expected_s=expected_s,
                ),
                moment,
            )
        if isinstance(refused, Failure):
            error = refused.failure()
            raise new_error(
                error.kind,
                error.detail,
                retry_after_s=error.retry_after_s,
                outcome=outcome or Outcome.NOT_RUN,
            )
        self.in_flight += 1

    def _ends_in_time(
        self, req: CallerRequest, record: RequestRecord, drain: DrainSchedule
    ) -> bool:
        run_s = self.run_times.longest_s(record.target)
        moment = now()
        return not self.is_closed and drain.admits(now=moment, deadline=req.deadline, run_s=run_s)

    def on_done(self, req: CallerRequest) -> None:
        """Record the end of an admitted request."""
        self.in_flight -= 1
        self.admission.on_done(req.account.name, now())

    def log_done(self, *, request_id: str, account: str, record: RequestRecord) -> None:
        """Log a finished request and count it."""
        moment = now()
        if record.is_whole:
            self.run_times.observe(record.target, moment - record.started_at)
        first_byte_at = record.first_byte_at
        duration_ms = (moment - record.started_at) * 1000
        first_ms = (first_byte_at - record.started_at) * 1000 if first_byte_at is not None else None
        outcome = record.error.effective_outcome if record.error else Outcome.RAN
        self.log.event(
            "request_done",
            request=request_id,
            account=account,
            kind=record.kind,
            model=record.model or None,
            version=record.version or None,
            service=record.service or None,
            host=record.host or None,
            status=record.status,
            outcome=outcome.value,
            error=record.error.kind.value if record.error else None,
            tokens=record.tokens,
            first_byte_ms=first_ms,
            duration_ms=duration_ms,
            is_whole=record.is_whole,
            attempts=record.attempts,
        )
        metric = Metric.REQUESTS if record.is_whole else Metric.REQUESTS_BROKEN
        if outcome is Outcome.NOT_RUN:
            metric = Metric.REQUESTS_REFUSED
        self.metrics.count(metric)
        if outcome is Outcome.UNKNOWN and record.kind == "service":
            self.metrics.count(Metric.ONCE_UNKNOWN)
        self.metrics.count(Metric.TOKENS, record.tokens)
        self.metrics.timing(Metric.REQUEST_TIME, duration_ms)
        if first_ms is not None:
            self.metrics.timing(Metric.FIRST_BYTE, first_ms)
            if record.kind != "service" and record.tokens > 1:
                # The mean gap of each answer; a datagram per token would cost more than the token.
                gap_ms = (duration_ms - first_ms) / (record.tokens - 1)
                self.metrics.timing(Metric.TOKEN_GAP, gap_ms)


def new_request_id() -> str:
    """Return a unique request identifier."""
    return secrets.token_hex(8)
