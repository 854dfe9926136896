"""One attempt: send a request to one runner and read its answer under deadlines."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field, frozen
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from wasabilb_core.attempts import AttemptEnd
from wasabilb_core.forwarding_metadata import AnswerMetadata
from wasabilb_core.runner_directory import Runner
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectError, Connection, ConnectionPool, ReadOutcome

from wasabilb_entry.caller_connection import ReceivedRequest
from wasabilb_entry.gone_callbacks import GoneCallbacks
from wasabilb_entry.relay import Relay

MIN_SERVER_ERROR = 500
# Methods whose requests state a length even without a body (RFC 9110, 8.6).
BODY_METHODS = ("POST", "PUT", "PATCH")
# Interval at which it is checked again whether another runner can replace a silent one, seconds.
SILENT_CHECK_S = 0.25


@frozen(kw_only=True)
class AttemptLimits:
    """Time limits of one attempt.

    Parameters
    ----------
    deadline : float
        Time by which the request must end, seconds on the process's clock.
    first_byte_s : float
        Silence before the first part of the body after which the attempt may be given up.
    gap_s : float
        The same between two parts.
    take_over_by : float
        Time by which the answer must begin to take over from a runner that could go on.
    """

    deadline: float
    first_byte_s: float
    gap_s: float
    take_over_by: float = math.inf


@define(kw_only=True, eq=False)
class RunnerAttempt:
    """Sends one request to one runner.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to runners.
    runner : Runner
        Where it is sent.
    req : ReceivedRequest
        Request of the caller.
    gone : GoneCallbacks
        What happens when the caller disconnects.
    headers : HTTPHeaders
        Headers that the runner receives.
    relay : Relay
        Where the answer goes.
    limits : AttemptLimits
        Time limits.
    wait_s : float
        Wait at the runner that is expected.
    begin_by : callable
        Returns the time by which the answer must begin, as the runner's version is outdated from
        then on. `recheck` tells that it may have changed.
    may_send : callable
        Returns whether the request may still be sent, once a connection is open; called with the
        attempt.
    on_metadata : callable
        Called with the metadata of each answer on the connection.
    on_going_on : callable or None
        Called once if a stream has events some time after its head.
    gives_up_silent : callable
        Returns whether to end the attempt as its runner is silent; called with the attempt.
    """

    pool: ConnectionPool
    runner: Runner
    req: ReceivedRequest
    gone: GoneCallbacks
    headers: HTTPHeaders
    relay: Relay
    limits: AttemptLimits
    wait_s: float
    begin_by: Callable[[], float]
    may_send: Callable[["RunnerAttempt"], bool]
    on_metadata: Callable[[AnswerMetadata], None]
    gives_up_silent: Callable[["RunnerAttempt"], bool]
    on_going_on: Callable[[], None] | None = None
    keeps_running_without_caller: bool = False
    placed_at: float = field(factory=now)
    # Parts of the prompt that it probes.
    probed: frozenset[int] = frozenset()
    # Why this side aborted the answer, for the log.
    abort_reason: str = ""
    _is_sent: bool = False
    _rechecked: "asyncio.Future[None]" = field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    _early_end: "asyncio.Future[AttemptEnd]" = field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def is_moving(self) -> bool:
        """Return whether the request is to move to another runner."""
        return self._ends_as(AttemptEnd.MOVED)

    @property
    def can_move(self) -> bool:
        """Return whether another runner may be asked to take over."""
        return self._is_sent and not self.is_moving and not self.relay.is_waiting

    def move(self) -> None:
        """End the attempt, as another runner has taken over the request."""
        self._end_early(AttemptEnd.MOVED)

    def withdraw(self) -> None:
        """End the attempt unless it has taken over, as the runner that was silent goes on."""
        if not self.relay.is_writer:
            self.relay.withdraw()
            self._end_early(AttemptEnd.LATE)

    def recheck(self) -> None:
        """Check again by when the answer must begin."""
        if not self._rechecked.done():
            self._rechecked.set_result(None)

    def cut_off(self) -> None:
        """End the attempt, as the process ends."""
        self._end_early(AttemptEnd.CUT_OFF)

    def _end_early(self, end: AttemptEnd) -> None:
        if not self._early_end.done():
            self._early_end.set_result(end)

    def _ends_as(self, end: AttemptEnd) -> bool:
        return self._early_end.done() and self._early_end.result() is end

    async def run(self) -> AttemptEnd:
        """Make the attempt and return how it ended."""
        left_s = self.limits.deadline - now()
        try:
            conn = await self.pool.acquire(
                self.runner.address,
                timeout_s=min(0.5, max(0.01, left_s)),
                request_id=self.relay.request_id,
            )
        except ConnectError:
            return AttemptEnd.NOT_SENT
        if self.req.is_caller_gone:
            self.pool.release(conn)
            return AttemptEnd.NOT_SENT
        if now() >= self.limits.deadline or self._ends_as(AttemptEnd.CUT_OFF):
            self.pool.release(conn)
            return AttemptEnd.NOT_SENT
        # While the connection was opened, the runner may have begun to leave or requested a pause,
        # or its version may have become too old for the request to begin in time.
        if self._ends_as(AttemptEnd.LATE) or not self.may_send(self):
            self.pool.release(conn)
            return AttemptEnd.WITHHELD
        self.relay.begin(
            is_fresh=conn.request_count == 0,
            on_metadata=self.on_metadata,
            on_going_on=self.on_going_on,
        )
        if self.req.body or self.req.method in BODY_METHODS:
            self.headers["Content-Length"] = str(len(self.req.body))
        try:
            conn.send(
                method=self.req.method,
                target=self.req.target,
                headers=self.headers,
                body=self.req.body,
            )
        except StreamClosedError:
            return AttemptEnd.NOT_SENT
        self._is_sent = True
        try:
            return await self._read_answer(conn)
        finally:
            self._is_sent = False

    async def _read_answer(self, conn: Connection) -> AttemptEnd:
        drop = partial(self._drop, conn)
        if not self.keeps_running_without_caller:
            self.gone.add(drop)
        read_task = asyncio.ensure_future(conn.read(self.relay))
        try:
            cut_end = await self._wait_for_end(read_task)
        finally:
            self.gone.discard(drop)
            if not read_task.done():
                # The runner drops a request when its connection closes.
                self._drop(conn)
                await asyncio.wait({read_task})
        if cut_end is not None:
            conn.close()
            return cut_end
        if self.req.is_caller_gone and not self.keeps_running_without_caller:
            conn.close()
            return AttemptEnd.CALLER_GONE
        self.abort_reason = conn.abort_reason
        end = self._to_end(read_task.result())
        if end is AttemptEnd.BROKEN or not self.relay.metadata.request_id:
            # Without identifiers, a late copy could not be distinguished from the next answer.
            conn.close()
        else:
            self.pool.release(conn)
        return end

    def _drop(self, conn: Connection) -> None:
        """Close the connection, and read what was kept back so that reading ends."""
        conn.close()
        self.relay.release()

    async def _wait_for_end(self, read_task: "asyncio.Future[ReadOutcome]") -> AttemptEnd | None:
        """Wait for the answer and return how it was cut off, None when it was not."""
        checked_at = -math.inf
        while not read_task.done():
            moment = now()
            if moment >= self.limits.deadline:
                return AttemptEnd.DEADLINE
            has_begun = self.relay.head is not None
            silence_s = self.limits.gap_s if has_begun else self.limits.first_byte_s
            silent_at = max(self.relay.progress_at + silence_s, checked_at + SILENT_CHECK_S)
            if self.relay.is_waiting:
                silent_at = math.inf
            if moment >= silent_at:
                if self.gives_up_silent(self):
                    return AttemptEnd.SILENT
                checked_at = moment
                continue
            begin_by = take_over_by = math.inf
            if not has_begun:
                begin_by, take_over_by = self.begin_by(), self.limits.take_over_by
            if moment >= begin_by:
                return AttemptEnd.OUTDATED
            if moment >= take_over_by:
                return AttemptEnd.LATE
            # The answer may begin meanwhile; from then on, a shorter silence ends it.
            end = min(silent_at, begin_by, take_over_by, self.limits.deadline)
            end = min(end, moment + self.limits.gap_s)
            ends: set[asyncio.Future[Any]] = {read_task, self._early_end, self._rechecked}
            await asyncio.wait(ends, timeout=end - moment, return_when=asyncio.FIRST_COMPLETED)
            if self.is_moving:
                return AttemptEnd.MOVED
            if self._early_end.done() and not read_task.done():
                return self._early_end.result()
            if self._rechecked.done():
                self._rechecked = asyncio.get_running_loop().create_future()
        return AttemptEnd.MOVED if self.is_moving else None

    def _to_end(self, read: ReadOutcome) -> AttemptEnd:
        if read is not ReadOutcome.COMPLETE or self.relay.head is None:
            return AttemptEnd.BROKEN
        if self.relay.share.is_revoked:
            self.abort_reason = "the memory for answers is full"
            return AttemptEnd.BROKEN
        head, metadata = self.relay.head, self.relay.metadata
        if metadata.is_not_run:
            return AttemptEnd.REFUSED
        if self.relay.buffered_answer() is None:
            return AttemptEnd.ANSWERED if self.relay.finish_stream() else AttemptEnd.BROKEN
        if not metadata.is_sealed or "Content-Encoding" in head.headers:
            # Not the runner's own answer to a request that it ran.
            return AttemptEnd.BROKEN
        is_failure = head.status >= MIN_SERVER_ERROR
        if not is_failure and self.relay.is_stream and self.relay.has_begun_answer:
            return AttemptEnd.BROKEN
        # The caller may get this answer, so that it is not given up for another one any more.
        self.relay.share.keep()
        return AttemptEnd.FAILED if is_failure else AttemptEnd.ANSWERED
