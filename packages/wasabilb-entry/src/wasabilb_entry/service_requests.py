"""Requests to plain services: retried where that is safe, at most once where a ticket says so."""

import asyncio
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable

import attrs
from returns.result import Failure
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_core.fleet import FleetState
from wasabilb_core.membership import Membership
from wasabilb_core.once import IssuedKey, issue_key, parse_key
from wasabilb_core.rendezvous import owner
from wasabilb_core.routing import RouteRequest, RoutingPolicy, RunnerView
from wasabilb_core.tickets import ServiceSpec
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.links import LinkManager
from wasabilb_wire.messages import Call, End, Head, StreamData

from wasabilb_entry.agent_attempts import Attempt, AttemptTable, Part
from wasabilb_entry.prompt_guard import PromptGuard
from wasabilb_entry.request_guard import RequestGuard
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord, new_error
from wasabilb_entry.service_call import ServiceCall, ServiceTarget

MAX_ATTEMPTS = 3
# Repeats under one key wait this long for a new link to the only host that may answer.
LINK_WAIT_S = 3.0
LINK_CHECK_S = 0.05
NO_HOST_RETRY_S = 1.0

# Methods whose repetition is harmless (RFC 9110, section 9.2.2).
_IDEMPOTENT = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class _AttemptFailedError(Exception):
    """An attempt did not give the whole answer; `has_head` if its start was forwarded."""

    def __init__(self, *, error: Error, has_head: bool) -> None:
        super().__init__(error.detail)
        self.error = error
        self.has_head = has_head


class ServiceRouter:
    """Runs requests to plain services.

    Parameters
    ----------
    add_target : callable
        Requests a link to a host outside this entry host's subset.
    credit_bytes : int
        Window of one answer.
    guard : PromptGuard
        Protects services from requests that crash them.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        membership: Membership,
        links: LinkManager,
        attempts: AttemptTable,
        routing: RoutingPolicy,
        rng: random.Random,
        add_target: Callable[[str], None],
        credit_bytes: int,
        guard: PromptGuard,
    ) -> None:
        self._fleet = fleet
        self._membership = membership
        self._links = links
        self._attempts = attempts
        self._routing = routing
        self._rng = rng
        self._add_target = add_target
        self._credit_bytes = credit_bytes
        self._guard = guard

    def is_once(self, call: ServiceCall) -> bool:
        """Return whether the ticket lets the call run at most once."""
        spec = self._fleet.service(call.service)
        return spec is not None and spec.is_once(call.method, call.path.partition("?")[0])

    def issue(self, service: str) -> IssuedKey:
        """Issue a key for a service.

        Raises
        ------
        RequestFailedError
            When no host of the service can be reached.
        """
        self._service_spec(service)
        host = self._choose_host(service, frozenset())
        peer = self._links.peer(host) if host else None
        if host is None or peer is None:
            raise self._no_host_error(service)
        rng = random.SystemRandom()
        return issue_key(service, host, peer.hello.incarnation, wall_ms(), rng)

    async def answer(
        self,
        *,
        req: CallerRequest,
        call: ServiceCall,
        record: RequestRecord,
        on_key: Callable[[str], None],
    ) -> AsyncGenerator[Head | bytes, None]:
        """Yield the head and then the bytes of the answer.

        Parameters
        ----------
        on_key : callable
            Called with the key of an at-most-once call before the call is sent.

        Raises
        ------
        RequestFailedError
            With the outcome to report to the caller.
        """
        spec = self._service_spec(call.service)
        if self.is_once(call):
            target = self._once_target(spec, call)
            if target.key is not None:
                on_key(target.key.text)
            parts = self._answer_once(req, call, target, record)
        else:
            parts = self._answer_plain(req, call, record)
        async for part in parts:
            yield part

    async def _answer_plain(
        self, req: CallerRequest, call: ServiceCall, record: RequestRecord
    ) -> AsyncIterator[Head | bytes]:
        """Send to any host, and to another one only while nothing can run twice."""
        excluded: frozenset[str] = frozenset()
        error: Error | None = None
        may_have_run = False
        guard = self._request_guard(req)
        while record.attempts < MAX_ATTEMPTS:
            host = self._choose_host(call.service, excluded)
            if host is None:
                break
            probed = guard.begin()
            if probed is None:
                await guard.wait(may_have_run=may_have_run)
                continue
            attempt = self._start_attempt(req, call, ServiceTarget(host=host), record, probed)
            excluded |= {host}
            if attempt is None:
                guard.on_unsent(probed)
                continue
            failed: _AttemptFailedError | None = None
            try:
                async for part in self._receive(req, attempt, guard):
                    yield part
            except _AttemptFailedError as exc:
                failed = exc
            finally:
                self._attempts.finish(attempt)
                guard.on_attempt_ended(attempt)
                self._routing.on_done(host, failed is None, now())
            if failed is None:
                return
            error = failed.error
            may_have_run = may_have_run or error.effective_outcome is not Outcome.NOT_RUN
            may_repeat = call.method in _IDEMPOTENT or not may_have_run
            if failed.has_head or not may_repeat:
                raise RequestFailedError(_to_caller_error(failed))
        error = error or self._no_host_error(call.service).error
        if may_have_run:
            # The last attempt did not run, but an earlier one may have.
            error = attrs.evolve(error, outcome=Outcome.UNKNOWN)
        raise RequestFailedError(error)

    async def _answer_once(
        self, req: CallerRequest, call: ServiceCall, target: ServiceTarget, record: RequestRecord
    ) -> AsyncIterator[Head | bytes]:
        """Send to the only host that may execute; repeats there are safe under the key."""
        error: Error | None = None
        guard = self._request_guard(req)
        while record.attempts < MAX_ATTEMPTS:
            if not await self._wait_for_link(req, target):
                break
            probed = guard.begin()
            if probed is None:
                # The key may have been used before, here or at another process.
                await guard.wait(may_have_run=not target.is_fresh)
                continue
            attempt = self._start_attempt(req, call, target, record, probed)
            if attempt is None:
                guard.on_unsent(probed)
                continue
            failed: _AttemptFailedError | None = None
            try:
                async for part in self._receive(req, attempt, guard):
                    yield part
            except _AttemptFailedError as exc:
                failed = exc
            finally:
                self._attempts.finish(attempt)
                guard.on_attempt_ended(attempt)
            if failed is None:
                return
            error = failed.error
            is_link_lost = attempt.peer.link.is_closed
            # The key protects every later attempt, but the first one may have run by now.
            target.is_fresh = target.is_fresh and not is_link_lost
            if failed.has_head or not is_link_lost:
                raise RequestFailedError(_to_caller_error(failed))
        raise self._unreachable_error(target, record, error)

    def _once_target(self, spec: ServiceSpec, call: ServiceCall) -> ServiceTarget:
        generation = self._fleet.order_of(f"service:{spec.name}")
        if not call.key_text:
            key = self.issue(spec.name)
            return ServiceTarget(host=key.host, key=key, is_fresh=True, generation=generation)
        parsed = parse_key(call.key_text, call.key_created)
        if isinstance(parsed, Failure):
            raise RequestFailedError(parsed.failure())
        parsed_key = parsed.unwrap()
        if isinstance(parsed_key, IssuedKey):
            if parsed_key.service != spec.name:
                raise new_error(
                    ErrorKind.BAD_KEY, f"the key was issued for service {parsed_key.service}"
                )
            return ServiceTarget(host=parsed_key.host, key=parsed_key, generation=generation)
        host = owner(parsed_key.text, spec.owners)
        if host is None:
            raise self._no_host_error(spec.name)
        return ServiceTarget(host=host, key=parsed_key, generation=generation)

    def _request_guard(self, req: CallerRequest) -> RequestGuard:
        return RequestGuard(guard=self._guard, req=req, subjects=req.subjects)

    def _start_attempt(
        self,
        req: CallerRequest,
        call: ServiceCall,
        target: ServiceTarget,
        record: RequestRecord,
        probed: frozenset[int],
    ) -> Attempt | None:
        created_ms = target.key.created_ms if target.key is not None else None
        message = Call(
            id=0,
            request_id=req.id,
            traceparent=req.traceparent,
            account=req.account.name,
            weight=req.account.weight,
            target=call.service,
            method=call.method,
            path=call.path,
            headers=target.to_headers(call),
            body=call.body,
            deadline_ms=max(int(req.left_s * 1000), 1),
            priority=req.priority,
            key=target.key.text if target.key is not None else "",
            key_created_ms=created_ms or 0,
            generation=target.generation,
            credit=self._credit_bytes,
            is_fresh=target.is_fresh,
        )
        attempt = self._attempts.start(target.host, message)
        if attempt is not None:
            attempt.probed = probed
            record.attempts += 1
            record.host = target.host
            if target.key is None:
                self._routing.on_sent(target.host, RouteRequest(), now())
        return attempt

    async def _receive(
        self, req: CallerRequest, attempt: Attempt, guard: RequestGuard
    ) -> AsyncIterator[Head | bytes]:
        """Yield the parts of one attempt up to its definite end.

        Raises
        ------
        _AttemptFailedError
            When the attempt ends otherwise.
        """
        position, has_head = 0, False
        while True:
            part: Part | None = await attempt.next(max(req.left_s, 0.001))
            if isinstance(part, Head):
                has_head = True
                attempt.head_at = now()
                yield part
            elif isinstance(part, StreamData) and part.position == position:
                position += part.count
                attempt.has_data = True
                guard.on_data(attempt, now())
                yield part.payload
                attempt.grant_credit(part.count)
            elif isinstance(part, End) and part.position == position:
                guard.on_survived()
                return
            else:
                raise _AttemptFailedError(error=_to_error(part), has_head=has_head)

    async def _wait_for_link(self, req: CallerRequest, target: ServiceTarget) -> bool:
        """Wait for a link to the target; an issued key needs the incarnation that it names."""
        limit = now() + min(LINK_WAIT_S, max(req.left_s, 0))
        self._add_target(target.host)
        while True:
            peer = self._links.peer(target.host)
            # Without the agent's time the agent could not detect a late frame and claims nothing.
            if peer is not None and peer.remote_now > 0:
                if isinstance(target.key, IssuedKey):
                    return peer.hello.incarnation == target.key.incarnation
                return True
            if now() >= limit:
                return False
            await asyncio.sleep(LINK_CHECK_S)

    def _choose_host(self, service: str, excluded: frozenset[str]) -> str | None:
        moment = now()
        views = []
        for host in self._membership.hosts_of(service, moment):
            report = self._membership.report_of(host)
            in_flight = self._attempts.in_flight(host)
            running = report.running if report else 0
            views.append(
                RunnerView(host=host, in_flight=in_flight, reported_running=running, slots=8)
            )
        chosen = self._routing.choose(RouteRequest(excluded=excluded), views, moment, self._rng)
        return chosen.host if chosen else None

    def _service_spec(self, service: str) -> ServiceSpec:
        spec = self._fleet.service(service)
        if spec is None:
            raise new_error(ErrorKind.NOT_FOUND, f"no service {service!r}")
        return spec

    def _no_host_error(self, service: str) -> RequestFailedError:
        return new_error(
            ErrorKind.NO_BACKEND,
            f"no host of {service} can take the request",
            retry_after_s=NO_HOST_RETRY_S,
        )

    def _unreachable_error(
        self, target: ServiceTarget, record: RequestRecord, error: Error | None
    ) -> RequestFailedError:
        """Return the error when the only host that may have the outcome is unreachable."""
        if target.is_fresh and record.attempts == 0:
            return self._no_host_error("the service")
        detail = error.detail if error else f"host {target.host} cannot be asked"
        return new_error(
            ErrorKind.OUTCOME_UNKNOWN,
            f"{detail}; repeat with the same key",
            retry_after_s=NO_HOST_RETRY_S,
        )


def _to_error(part: Part | None) -> Error:
    """Return why an attempt ends with this part."""
    if isinstance(part, Error):
        return part
    kind = ErrorKind.DEADLINE_PASSED if part is None else ErrorKind.STREAM_BROKEN
    return Error(kind=kind, detail="no whole answer arrived before the deadline")


def _to_caller_error(failed: _AttemptFailedError) -> Error:
    """Return the error with the outcome to report to the caller."""
    if not failed.has_head:
        return failed.error
    return attrs.evolve(failed.error, kind=ErrorKind.STREAM_BROKEN, outcome=Outcome.UNKNOWN)
