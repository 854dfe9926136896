"""Attempts of requests at agents."""

import asyncio
import itertools
from collections import deque
from typing import TypeAlias

import attrs
from wasabilb_core.attempts import AnswerProgress
from wasabilb_core.errors import Error, ErrorKind, Outcome
from wasabilb_node.clock import now, wall_ms
from wasabilb_node.hlc_encoding import from_wire, to_wire
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import Call, Cancel, Credit, End, Fail, Head, StreamData

Part: TypeAlias = Head | StreamData | End | Error
_FINAL_PARTS = (End, Error)
# Error kinds of a withdrawn call; after a refusal for another reason the runner is not tried again.
_WITHDRAWN_KINDS = (ErrorKind.CANCELLED,)


class Attempt:
    """Receives the parts of one answer.

    Parameters
    ----------
    peer : Peer
        The agent.
    call : Call
        The call as sent.
    """

    def __init__(self, *, peer: Peer, call: Call) -> None:
        self.peer = peer
        self.call = call
        self._parts: deque[Part] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._wait_until = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._ungranted_bytes = 0
        self.is_over = False
        self.error: Error | None = None
        self.sent_at = now()
        self.has_data = False
        self.is_withdrawal_requested = False
        self.is_moved = False
        # When the agent found its server crashed, wall time in milliseconds, 0 if it did not.
        self.crash_ms = 0
        self.head_at: float | None = None
        # What this attempt probes of its request.
        self.probed: frozenset[int] = frozenset()

    @property
    def host(self) -> str:
        """Return the agent's host."""
        return self.peer.host

    def on_part(self, part: Part) -> None:
        """Accept a part from the link."""
        self.is_over = self.is_over or isinstance(part, _FINAL_PARTS)
        if isinstance(part, Error) and self.error is None:
            self.error = part
            is_unrun = part.effective_outcome is Outcome.NOT_RUN
            self.is_moved = (
                self.is_withdrawal_requested and is_unrun and part.kind in _WITHDRAWN_KINDS
            )
        self._parts.append(part)
        self._wake()

    async def ready(self) -> None:
        """Wait until a part is available."""
        if self._parts:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def next(self, timeout_s: float) -> Part | None:
        """Return the next part, None on timeout."""
        if not self._parts:
            self._set_timer(timeout_s)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._parts.popleft() if self._parts else None

    def take_waiting_data(self) -> list[StreamData]:
        """Return the data parts at the front of the queue without waiting."""
        data: list[StreamData] = []
        while self._parts and isinstance(self._parts[0], StreamData):
            data.append(self._parts.popleft())  # type: ignore[arg-type]
        return data

    @property
    def progress(self) -> AnswerProgress:
        """Return how far the answer has come."""
        if self.has_data:
            return AnswerProgress.BEGUN
        return AnswerProgress.WAITING if self.head_at is None else AnswerProgress.STARTED

    @property
    def has_error_next(self) -> bool:
        """Return whether the next part is an error."""
        return bool(self._parts) and isinstance(self._parts[0], Error)

    @property
    def may_have_run(self) -> bool:
        """Return whether the runner may have executed the call, also if it was abandoned."""
        return self.error is None or self.error.effective_outcome is not Outcome.NOT_RUN

    def request_withdrawal(self) -> None:
        """Request the agent to return the call if it has not started."""
        if not self.is_over:
            self.is_withdrawal_requested = True
            self.peer.send(Cancel(id=self.call.id, is_withdrawal=True))

    def end_for_move(self, error: Error) -> None:
        """End the attempt after the received parts, so that the request moves elsewhere."""
        self.is_moved = True
        self.error = error
        self._parts.append(error)
        self._wake()

    def grant_credit(self, size: int) -> None:
        """Grant the agent as many bytes as the caller has taken.

        Credit is sent in steps of half a window, because a frame for each part would double the
        frames. The agent cannot stall, since the rest of its window covers the withheld credit.
        """
        self._ungranted_bytes += size
        if self._ungranted_bytes * 2 >= self.call.credit and not self.is_over:
            self.peer.send(Credit(id=self.call.id, bytes=self._ungranted_bytes))
            self._ungranted_bytes = 0

    def cancel(self) -> None:
        """Cancel the call at the agent unless the attempt is over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.is_over:
            self.is_over = True
            self.peer.send(Cancel(id=self.call.id))

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _set_timer(self, timeout_s: float) -> None:
        """Limit the next wait.

        Waits are much shorter than their limits, so one timer serves many of them: it is replaced
        only for an earlier limit, and rescheduled to the newest limit when it fires early.
        """
        loop = asyncio.get_running_loop()
        self._wait_until = loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._wait_until:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_at(self._wait_until, self._on_timer)

    def _on_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        if loop.time() < self._wait_until:
            self._timer = loop.call_at(self._wait_until, self._on_timer)
            return
        self._wake()


class AttemptTable:
    """Attempts in progress by link and call number.

    A late part of an ended attempt has no entry and is dropped, so it never reaches another
    request.
    """

    def __init__(self, *, links: LinkManager, log: EventLog) -> None:
        self._links = links
        self._log = log
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._in_flight: dict[str, int] = {}
        self._call_ids = itertools.count(1)
        links.set_handler(Head, self._on_head)
        links.set_handler(StreamData, self._on_data)
        links.set_handler(End, self._on_end)
        links.set_handler(Fail, self._on_fail)
        links.on_link_down.append(self._on_link_down)

    def in_flight(self, host: str) -> int:
        """Return the attempts of this process that are in progress at a host."""
        return self._in_flight.get(host, 0)

    def start(self, host: str, call: Call) -> Attempt | None:
        """Send a call to a host; None when no link is open and nothing was sent."""
        peer = self._links.peer(host)
        if peer is None:
            return None
        call = attrs.evolve(
            call,
            id=next(self._call_ids),
            wall_ms=wall_ms(),
            hlc=to_wire(self._log.timestamp()),
            sent_after=peer.remote_now,
        )
        attempt = Attempt(peer=peer, call=call)
        if not peer.send(call):
            return None
        self._attempts[(id(peer.link), call.id)] = attempt
        self._in_flight[host] = self.in_flight(host) + 1
        return attempt

    def finish(self, attempt: Attempt) -> None:
        """Remove an attempt and cancel it unless it is over."""
        attempt.cancel()
        key = (id(attempt.peer.link), attempt.call.id)
        if self._attempts.pop(key, None) is not None:
            self._in_flight[attempt.host] -= 1

    def _find_attempt(self, peer: Peer, call_id: int) -> Attempt | None:
        return self._attempts.get((id(peer.link), call_id))

    def _on_head(self, peer: Peer, head: Head) -> None:
        self._log.receive(from_wire(head.hlc))
        attempt = self._find_attempt(peer, head.id)
        if attempt is not None:
            attempt.on_part(head)

    def _on_data(self, peer: Peer, data: StreamData) -> None:
        attempt = self._find_attempt(peer, data.id)
        if attempt is not None:
            attempt.on_part(data)

    def _on_end(self, peer: Peer, end: End) -> None:
        self._log.receive(from_wire(end.hlc))
        attempt = self._find_attempt(peer, end.id)
        if attempt is not None:
            attempt.on_part(end)

    def _on_fail(self, peer: Peer, fail: Fail) -> None:
        attempt = self._find_attempt(peer, fail.id)
        if attempt is not None:
            attempt.crash_ms = fail.crash_ms
            attempt.on_part(_to_error(fail))

    def _on_link_down(self, peer: Peer) -> None:
        error = Error(kind=ErrorKind.OUTCOME_UNKNOWN, detail=f"the link to {peer.host} was lost")
        link_id = id(peer.link)
        for (link, _), attempt in list(self._attempts.items()):
            if link == link_id:
                attempt.on_part(error)


def _to_error(fail: Fail) -> Error:
    try:
        kind = ErrorKind(fail.kind)
        outcome = Outcome(fail.outcome)
    except ValueError:
        kind, outcome = ErrorKind.BAD_FRAME, Outcome.UNKNOWN
    retry_s = fail.retry_after_ms / 1000 if fail.retry_after_ms else None
    return Error(kind=kind, detail=fail.detail, outcome=outcome, retry_after_s=retry_s)
