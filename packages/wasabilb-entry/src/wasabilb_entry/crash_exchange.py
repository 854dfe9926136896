"""Exchange between entry processes of crashed runners and the requests that were there."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager

from attrs import evolve
from wasabilb_core.crash_reports import BlockedPart, CrashReport
from wasabilb_core.crash_subjects import (
    digests_of,
    is_whole_request,
    parts_of,
    request_digest,
    request_subject,
)
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.prompt_parts import parts_text
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import CrashNotice

# Interval at which peers are told of all that is known, seconds; what is new is told at once. The
# interval bounds the cost of a blocked part and covers lost messages.
REPEAT_S = 15.0
# Interval at which it is checked whether a request is blocked, once all processes have told of a
# crash, seconds.
UPDATE_S = 0.1
# Range of delays after which processes of a large fleet correct a suspicion, seconds, so that
# mostly one of them does.
CORRECTION_SPREAD_S = 0.1
# Crash reports and subjects in one message to a new peer; a frame holds 2 MiB, and a subject takes
# up to 9 bytes.
MAX_REPORTS = 1000
MAX_REPORTED_SUBJECTS = 50_000


class CrashExchange:
    """Tells linked entry processes what this one learns, while anything is suspected or blocked.

    Parameters
    ----------
    parts : CrashingParts
        Parts of prompts as this process knows them.
    links : LinkManager
        Links to peers.
    has_full_mesh : callable
        Returns whether all entry processes are linked with each other.
    is_relay : callable
        Returns whether this process passes news on where they are not.
    log : EventLog
        Receives an event for each part that is blocked or cleared.
    rng : random.Random
        Spreads corrections.
    """

    def __init__(
        self,
        *,
        parts: CrashingParts,
        links: LinkManager,
        has_full_mesh: Callable[[], bool],
        is_relay: Callable[[], bool],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._parts = parts
        self._links = links
        self._has_full_mesh = has_full_mesh
        self._is_relay = is_relay
        self._log = log
        self._rng = rng
        self._is_repeating = False
        self._is_updating = False
        self._pending_corrections: set[int] = set()
        links.set_handler(CrashNotice, self._on_notice, from_role="entry")
        links.on_link_up.append(self._on_link_up)

    def on_crash(self, report: CrashReport) -> None:
        """Apply and tell a crash that this process has seen."""
        if self._apply_crash(report, ""):
            self._tell(_notice(crashes=[report]))
            self._start_repeating()

    def on_answer_going_on(self, parts: tuple[int, ...]) -> None:
        """Record an answer that went on, and tell if that clears a suspected or blocked part."""
        moment = now()
        with self._logging_blocked(moment, ""):
            cleared = self._parts.on_answer_going_on(parts, moment)
        if cleared:
            self._log_cleared(cleared, "")
            self._tell(_notice(cleared=cleared))

    def on_probe_begun(self, parts: frozenset[int]) -> None:
        """Tell that this process has sent the probe of some parts."""
        self._tell(_notice(probes_begun=sorted(parts)))

    def on_probe_ended(self, parts: frozenset[int]) -> None:
        """Record and tell that a probe has ended without a result."""
        self._parts.on_probe_ended(parts)
        self._tell(_notice(probes_ended=sorted(parts)))

    def lift(self, *, part: int | None, before: float, reason: str) -> list[int]:
        """Let a probe find out whether blocked parts still crash runners, and tell it."""
        lifted = self._parts.lift(part=part, before=before, now=now())
        if lifted:
            self._log.event("part_lifted", parts=parts_text(lifted), reason=reason)
            _, blocked = self._parts.reports(now())
            self._tell(_notice(blocked=[b for b in blocked if b.part in lifted]))
        return lifted

    def _on_link_up(self, peer: Peer) -> None:
        """Tell a new peer at once, so that it does not have to find out by crashes."""
        if peer.hello.role == "entry":
            for notice in self._full_notices():
                peer.send(notice)

    def _full_notices(self) -> list[CrashNotice]:
        crashes, blocked = self._parts.reports(now())
        if not crashes and not blocked:
            return []
        notices = [_notice(crashes=batch) for batch in _batches(crashes)]
        return [*notices, _notice(blocked=blocked, probes_begun=self._parts.probes(now()))]

    def _start_repeating(self) -> None:
        if not self._is_repeating:
            self._is_repeating = True
            delay_s = REPEAT_S * self._rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._is_repeating = False
        _, blocked = self._parts.reports(now())
        if blocked:
            self._tell(_notice(blocked=blocked))
        if blocked or self._parts.suspected_count:
            self._start_repeating()

    def _tell(self, notice: CrashNotice, *, skip: Peer | None = None) -> None:
        peers = [p for p in self._links.peers(role="entry") if skip is None or p.host != skip.host]
        self._links.multicast(notice, peers)

    def _on_notice(self, peer: Peer, notice: CrashNotice) -> None:
        moment = now()
        cleared = _subjects(notice.cleared, notice.cleared_requests)
        self._pending_corrections -= set(cleared)
        told = _told_blocked(notice)
        self._correct(notice, told)
        crashes = [report for report in notice.crashes if self._apply_crash(report, peer.host)]
        blocked = [b for b in told if self._parts.on_blocked_told(b, moment)]
        for blocked_part in blocked:
            self._log_blocked(blocked_part.part, peer.host)
        with self._logging_blocked(moment, peer.host):
            cleared = self._parts.on_answer_told(cleared, moment)
        if cleared:
            self._log_cleared(cleared, peer.host)
        begun = _subjects(notice.probes_begun, notice.request_probes_begun)
        ended = _subjects(notice.probes_ended, notice.request_probes_ended)
        news = _notice(
            crashes=crashes,
            blocked=blocked,
            cleared=cleared,
            probes_begun=self._parts.on_probe_begun(begun, moment),
            probes_ended=self._parts.on_probe_ended(ended),
        )
        if news != CrashNotice():
            self._start_repeating()
            if not self._has_full_mesh() and self._is_relay():
                self._tell(news, skip=peer)

    def _correct(self, notice: CrashNotice, blocked: Iterable[BlockedPart]) -> None:
        """Plan to tell that answers under suspected parts went on here."""
        told = {b.part for b in blocked}
        for report in notice.crashes:
            told.update(report.started_subjects, report.waiting_subjects)
        known = {part for part in told if self._parts.has_answered(part, now())}
        if known - self._pending_corrections:
            self._pending_corrections |= known
            spread_s = 0.0 if self._has_full_mesh() else CORRECTION_SPREAD_S
            delay_s = self._rng.uniform(0.0, spread_s)
            asyncio.get_running_loop().call_later(delay_s, self._send_corrections)

    def _send_corrections(self) -> None:
        parts, self._pending_corrections = self._pending_corrections, set()
        if parts:
            self._tell(_notice(cleared=sorted(parts)))

    def _apply_crash(self, report: CrashReport, peer: str) -> bool:
        moment = now()
        with self._logging_blocked(moment, peer):
            changed = self._parts.on_crash(report, moment)
        if changed and report.request and not self._is_updating:
            self._is_updating = True
            asyncio.get_running_loop().call_later(UPDATE_S, self._update)
        return bool(changed)

    def _update(self) -> None:
        self._is_updating = False
        moment = now()
        with self._logging_blocked(moment, ""):
            self._parts.update(moment)
        if self._parts.has_recent_crash(moment):
            self._is_updating = True
            asyncio.get_running_loop().call_later(UPDATE_S, self._update)

    @contextmanager
    def _logging_blocked(self, moment: float, peer: str) -> Iterator[None]:
        before = self._parts.blocked_parts(moment)
        yield
        for part in self._parts.blocked_parts(moment) - before:
            self._log_blocked(part, peer)

    def _log_blocked(self, part: int, peer: str) -> None:
        runners = self._parts.crashed_runners(part)
        self._log.event(
            "part_blocked",
            part=f"{part:x}",
            runners=",".join(runners) or None,
            peer=peer or None,
        )

    def _log_cleared(self, parts: list[int], peer: str) -> None:
        self._log.event("part_cleared", parts=parts_text(parts), peer=peer or None)


def _notice(
    *,
    crashes: Collection[CrashReport] = (),
    blocked: Collection[BlockedPart] = (),
    cleared: Collection[int] = (),
    probes_begun: Collection[int] = (),
    probes_ended: Collection[int] = (),
) -> CrashNotice:
    """Return a message about parts of prompts and whole requests, which it names separately."""
    return CrashNotice(
        crashes=list(crashes),
        blocked=[b for b in blocked if not is_whole_request(b.part)],
        cleared=parts_of(cleared),
        probes_begun=parts_of(probes_begun),
        probes_ended=parts_of(probes_ended),
        blocked_requests=[
            evolve(b, part=request_digest([b.part])) for b in blocked if is_whole_request(b.part)
        ],
        cleared_requests=digests_of(cleared),
        request_probes_begun=digests_of(probes_begun),
        request_probes_ended=digests_of(probes_ended),
    )


def _batches(crashes: Iterable[CrashReport]) -> list[list[CrashReport]]:
    """Divide reports among messages of bounded size."""
    batches: list[list[CrashReport]] = []
    left = 0
    for report in crashes:
        size = len(report.started) + len(report.waiting) + len(report.probes)
        if not batches or size > left or len(batches[-1]) == MAX_REPORTS:
            batches.append([])
            left = MAX_REPORTED_SUBJECTS
        batches[-1].append(report)
        left -= size
    return batches


def _subjects(parts: list[int], digests: list[int]) -> list[int]:
    return parts + [request_subject(digest) for digest in digests]


def _told_blocked(notice: CrashNotice) -> list[BlockedPart]:
    requests = [evolve(b, part=request_subject(b.part)) for b in notice.blocked_requests]
    return notice.blocked + requests
