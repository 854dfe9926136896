"""Exchange between entry processes of crashed runners and the parts of prompts that were there."""

import asyncio
import random
from collections.abc import Callable

from wasabilb_core.crash_reports import CrashReport
from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_core.prompt_parts import parts_text
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import CrashNotice

# Interval at which peers are told of all that is known, seconds; what is new is told at once. The
# interval bounds the cost of a blocked part and covers lost messages.
REPEAT_S = 15.0
# Range of delays after which processes of a large fleet correct a suspicion, seconds, so that
# mostly one of them does.
CORRECTION_SPREAD_S = 0.1


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
        self._pending_corrections: set[int] = set()
        links.set_handler(CrashNotice, self._on_notice, from_role="entry")
        links.on_link_up.append(self._on_link_up)

    def on_crash(self, report: CrashReport) -> None:
        """Apply and tell a crash that this process has seen."""
        if self._apply_crash(report, ""):
            self._tell(CrashNotice(crashes=[report]))
            self._start_repeating()

    def on_answer_going_on(self, parts: tuple[int, ...]) -> None:
        """Record an answer that went on, and tell if that clears a suspected or blocked part."""
        cleared = self._parts.on_answer_going_on(parts, now())
        if cleared:
            self._log_cleared(cleared, "")
            self._tell(CrashNotice(cleared=cleared))

    def on_probe_begun(self, parts: frozenset[int]) -> None:
        """Tell that this process has sent the probe of some parts."""
        self._tell(CrashNotice(probes_begun=sorted(parts)))

    def on_probe_ended(self, parts: frozenset[int]) -> None:
        """Record and tell that a probe has ended without a result."""
        self._parts.on_probe_ended(parts)
        self._tell(CrashNotice(probes_ended=sorted(parts)))

    def lift(self, *, part: int | None, before: float, reason: str) -> list[int]:
        """Let a probe find out whether blocked parts still crash runners, and tell it."""
        lifted = self._parts.lift(part=part, before=before, now=now())
        if lifted:
            self._log.event("part_lifted", parts=parts_text(lifted), reason=reason)
            _, blocked = self._parts.reports(now())
            self._tell(CrashNotice(blocked=[b for b in blocked if b.part in lifted]))
        return lifted

    def _on_link_up(self, peer: Peer) -> None:
        """Tell a new peer at once, so that it does not have to find out by crashes."""
        if peer.hello.role == "entry":
            notice = self._full_notice()
            if notice is not None:
                peer.send(notice)

    def _full_notice(self) -> CrashNotice | None:
        crashes, blocked = self._parts.reports(now())
        return CrashNotice(crashes=crashes, blocked=blocked) if crashes or blocked else None

    def _start_repeating(self) -> None:
        if not self._is_repeating:
            self._is_repeating = True
            delay_s = REPEAT_S * self._rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._is_repeating = False
        _, blocked = self._parts.reports(now())
        if blocked:
            self._tell(CrashNotice(blocked=blocked))
        if blocked or self._parts.suspected_count:
            self._start_repeating()

    def _tell(self, notice: CrashNotice, *, skip: Peer | None = None) -> None:
        peers = [p for p in self._links.peers(role="entry") if skip is None or p.host != skip.host]
        self._links.multicast(notice, peers)

    def _on_notice(self, peer: Peer, notice: CrashNotice) -> None:
        moment = now()
        self._pending_corrections -= set(notice.cleared)
        self._correct(notice)
        crashes = [report for report in notice.crashes if self._apply_crash(report, peer.host)]
        blocked = [b for b in notice.blocked if self._parts.on_blocked_told(b, moment)]
        for told in blocked:
            self._log_blocked(told.part, peer.host)
        cleared = self._parts.on_answer_told(notice.cleared, moment)
        if cleared:
            self._log_cleared(cleared, peer.host)
        news = CrashNotice(
            crashes=crashes,
            blocked=blocked,
            cleared=cleared,
            probes_begun=self._parts.on_probe_begun(notice.probes_begun, moment),
            probes_ended=self._parts.on_probe_ended(notice.probes_ended),
        )
        if news != CrashNotice():
            self._start_repeating()
            if not self._has_full_mesh() and self._is_relay():
                self._tell(news, skip=peer)

    def _correct(self, notice: CrashNotice) -> None:
        """Plan to tell that answers under suspected parts went on here."""
        told = {b.part for b in notice.blocked}
        told.update(*((*report.started, *report.waiting) for report in notice.crashes))
        known = {part for part in told if self._parts.has_answered(part, now())}
        if known - self._pending_corrections:
            self._pending_corrections |= known
            spread_s = 0.0 if self._has_full_mesh() else CORRECTION_SPREAD_S
            delay_s = self._rng.uniform(0.0, spread_s)
            asyncio.get_running_loop().call_later(delay_s, self._send_corrections)

    def _send_corrections(self) -> None:
        parts, self._pending_corrections = self._pending_corrections, set()
        if parts:
            self._tell(CrashNotice(cleared=sorted(parts)))

    def _apply_crash(self, report: CrashReport, peer: str) -> bool:
        moment = now()
        before = self._parts.blocked_parts(moment)
        changed = self._parts.on_crash(report, moment)
        for part in self._parts.blocked_parts(moment) - before:
            self._log_blocked(part, peer)
        return bool(changed)

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
