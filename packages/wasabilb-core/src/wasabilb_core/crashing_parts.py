"""Finds what crashes runners, and decides which requests may be sent.

The cause is a part of prompts, or a request as a whole that comes again and again; both are
subjects of suspicion (`crash_subjects`), called parts here for short. A part crashes each runner
that begins an answer on it, so a part under which an answer went on is none. The other parts of the
requests that were with a crashed runner are suspected. At most one request with a suspected part is
under way in the fleet, as its probe. A probe whose answer goes on clears the part; crashes under
the part, one of them at a probe, block it. Crashes of runners that had no request with the part
speak for another cause, so that more evidence is needed.

Requests that were with the runner by chance do not make their parts suspicious for long: parts of
ordinary prompts have been cleared before, and others are by their probe.

The narrowest cause goes first: crashes that have one request in common speak against that request
and not against the parts of its prompt.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import Enum, unique

from wasabilb_core._answered_subjects import AnsweredSubjects
from wasabilb_core._blocked_subject import BLOCKED_S, Blocked
from wasabilb_core._crash_evidence import CrashEvidence, RunnerIncarnation
from wasabilb_core.crash_reports import BlockedPart, CrashReport
from wasabilb_core.crash_subjects import is_whole_request, request_digest

# Evidence that blocks a part: two crashes just after the beginning of an answer, or four otherwise.
BLOCKING_SCORE = 4
# Additional evidence while runners crash without the part, and for a part that cannot be told from
# others: one more such crash.
ADDITIONAL_SCORE = 2
# Time for which a crash without the part counts as such, seconds: runners of one failure domain or
# of one faulty version end within seconds of each other.
UNRELATED_S = 10.0
# Time within which an answer of another prompt must have gone on for a part to be blocked, seconds:
# several times the pause between answers of a process with few requests.
ANSWERED_S = 10.0
# Time after the head of an answer from which its next event clears the parts, seconds: many steps
# of a full batch, and several times the time in which runners crashed after the head.
SURVIVED_S = 0.3
# Time after a crash from which all processes have told of their requests there, seconds: the check
# for a crash takes up to 0.1 s, a message between regions as long. One of these requests may be the
# cause in place of another.
TOLD_S = 0.3
# Time after a crash within which a request with enough evidence is blocked, seconds: `TOLD_S`, and
# the delay of a busy process. Evidence that is enough only later, as an unrelated crash no longer
# counts, needs a probe.
SETTLED_S = 1.0
# Longest time for which a probe excludes others, seconds: the longest wait for a first event, and
# the time until the end is known elsewhere.
PROBE_S = 3.0
# Blocked parts that are kept; those not seen for longest are dropped first.
MAX_BLOCKED = 256


@unique
class PartDecision(Enum):
    """What may be done with a request, given the parts of its prompt."""

    SEND = "send"
    # Sent as the only request with a suspected part.
    PROBE = "probe"
    # Not sent while another request is the probe.
    WAIT = "wait"
    BLOCK = "block"


class CrashingParts:
    """Parts of prompts as one entry process knows them."""

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._answered = AnsweredSubjects()
        self._blocked: dict[int, Blocked] = {}
        self._probed_until: dict[int, float] = {}
        self._ended_at: OrderedDict[RunnerIncarnation, float] = OrderedDict()
        self._answered_at = -math.inf

    @property
    def suspected_count(self) -> int:
        """Return the number of suspected parts."""
        return len(self._evidence)

    def blocked_parts(self, now: float) -> set[int]:
        """Return the blocked parts."""
        return {part for part, blocked in self._blocked.items() if not blocked.is_lifted(now)}

    def crashed_runners(self, part: int) -> list[str]:
        """Return the runners that are known to have crashed under a part."""
        return [crash.incarnation.runner for crash in self._evidence.crashes(part)]

    def blocking_part(self, parts: Collection[int], now: float) -> int | None:
        """Return the part for which a request is not sent, None without one."""
        return next((part for part in parts if self._is_blocking(part, parts, now)), None)

    def decide(self, parts: Collection[int], now: float) -> PartDecision:
        """Decide about a request with some parts that other requests may share."""
        if not self._blocked and not self._evidence:
            return PartDecision.SEND
        if self.blocking_part(parts, now) is not None:
            self._on_blocked_seen(parts, now)
            return PartDecision.BLOCK
        suspects = self._suspects(parts, now)
        if not suspects:
            return PartDecision.SEND
        is_probed = any(
            self._is_probed(part, now)
            or self._is_unsettled(part, now)
            or self._is_repeat(part, parts, now)
            for part in suspects
        )
        return PartDecision.WAIT if is_probed else PartDecision.PROBE

    def begin(self, parts: Collection[int], now: float) -> frozenset[int] | None:
        """Record that a request is being sent and return the parts that it probes.

        None if it may not be sent.
        """
        decision = self.decide(parts, now)
        if decision is PartDecision.SEND:
            return frozenset()
        if decision is not PartDecision.PROBE:
            return None
        probed = frozenset(self._suspects(parts, now))
        self.on_probe_begun(probed, now)
        return probed

    def on_probe_begun(self, parts: Iterable[int], now: float) -> list[int]:
        """Record that a probe is under way, here or elsewhere; return the parts that had none."""
        found = [part for part in parts if part in self._evidence or part in self._blocked]
        new = [part for part in found if not self._is_probed(part, now)]
        self._probed_until.update(dict.fromkeys(new, now + PROBE_S))
        return new

    def probes(self, now: float) -> list[int]:
        """Return the parts whose probe is under way."""
        return [part for part in self._probed_until if self._is_probed(part, now)]

    def on_probe_ended(self, parts: Iterable[int]) -> list[int]:
        """Record that a probe has ended, also without a result; return the parts that had one."""
        return [part for part in parts if self._probed_until.pop(part, None) is not None]

    def on_answer_going_on(self, parts: Iterable[int], now: float) -> list[int]:
        """Record an answer that went on after its beginning.

        Returns
        -------
        list of int
            The parts that were suspected or blocked until now.
        """
        self._answered_at = now
        self._answered.add(parts, now)
        return self._clear(parts, now)

    def on_answer_told(self, parts: Iterable[int], now: float) -> list[int]:
        """Record that answers under some parts went on at another process.

        Returns
        -------
        list of int
            The parts that were suspected or blocked until now.
        """
        self._answered.add_told(parts, now)
        return self._clear(parts, now)

    def _clear(self, parts: Iterable[int], now: float) -> list[int]:
        if not self._blocked and not self._evidence:
            return []
        news = []
        for part in parts:
            is_blocked = self._blocked.pop(part, None) is not None
            if self._evidence.remove(part) or is_blocked:
                news.append(part)
        if news:
            self.on_probe_ended(news)
            self._update_blocked(now)
        return news

    def uncleared(self, parts: Iterable[int], now: float) -> list[int]:
        """Return those of some parts under which no answer went on."""
        return [part for part in parts if not self.is_cleared(part, now)]

    def is_cleared(self, part: int, now: float) -> bool:
        """Return whether an answer under a part went on lately, here or elsewhere."""
        return self._answered.is_cleared(part, now)

    def has_answered(self, part: int, now: float) -> bool:
        """Return whether an answer under a part went on lately at this process."""
        return self._answered.has_answered(part, now)

    def on_crash(self, report: CrashReport, now: float) -> list[int]:
        """Merge a report of a crash, of this process or another one.

        Returns
        -------
        list of int
            The parts about which it tells something new.
        """
        self.on_runner_ended(report.runner, report.born_ms, now - report.age_s)
        told = {*report.started_subjects, *report.waiting_subjects}
        cleared = [part for part in told if self.is_cleared(part, now)]
        changed = self._evidence.add(report, cleared, now)
        for part in changed:
            if part in report.probed_subjects:
                self.on_probe_ended([part])
            blocked = self._blocked.get(part)
            if blocked is not None:
                self._block_again(part, blocked, now - report.age_s, now)
        if changed:
            self._update_blocked(now)
        return changed

    def on_runner_ended(self, runner: str, born_ms: int, at: float) -> None:
        """Record that an incarnation of a runner has ended without having announced it."""
        key = RunnerIncarnation(runner=runner, born_ms=born_ms)
        if key not in self._ended_at and math.isfinite(at):
            self._ended_at[key] = at
            if len(self._ended_at) > MAX_BLOCKED:
                self._ended_at.popitem(last=False)

    def on_blocked_told(self, told: BlockedPart, now: float) -> bool:
        """Apply what another process tells of a blocked part; return whether that blocks it."""
        if self.is_cleared(told.part, now) or not 0 <= told.age_s <= BLOCKED_S:
            return False
        if self._is_explained(told.part, now):
            return False
        blocked = self._blocked.get(told.part)
        if blocked is None:
            blocked = Blocked(seen_at=-math.inf, changed_at=now, crashes=0, turn=0)
            self._add_blocked(told.part, blocked)
        blocked.seen_at = max(blocked.seen_at, now - told.age_s)
        blocked.crashes = max(blocked.crashes, told.crashes)
        if told.turn <= blocked.turn:
            return False
        blocked.turn, blocked.changed_at = told.turn, now
        blocked.companions = frozenset(told.companions)
        return True

    def lift(self, *, now: float, part: int | None = None, before: float = math.inf) -> list[int]:
        """Let a probe find out whether blocked parts still crash runners, and return these.

        One more crash under such a part blocks it again.

        Parameters
        ----------
        part : int or None
            The part, None for all.
        before : float
            Only parts that were blocked before this time.
        """
        lifted = [
            found
            for found, blocked in self._blocked.items()
            if part in (None, found) and not blocked.is_lifted(now) and blocked.changed_at < before
        ]
        for found in lifted:
            self._blocked[found].turn += 1
            self._blocked[found].changed_at = now
        return lifted

    def has_recent_crash(self, now: float) -> bool:
        """Return whether other processes may still tell of a crash."""
        return any(now - crash.at < TOLD_S for crash in self._evidence)

    def update(self, now: float) -> None:
        """Block the requests with enough evidence of which all processes have told."""
        self._update_blocked(now)

    def reports(self, now: float) -> tuple[list[CrashReport], list[BlockedPart]]:
        """Return all that another process should know, and drop what no longer matters."""
        self._evidence.expire(now)
        self._probed_until = {p: at for p, at in self._probed_until.items() if now < at}
        blocked_parts = [
            BlockedPart(
                part=part,
                age_s=max(0.0, now - blocked.seen_at),
                crashes=blocked.crashes,
                turn=blocked.turn,
                companions=sorted(blocked.companions),
            )
            for part, blocked in self._blocked.items()
        ]
        return [r for crash in self._evidence for r in crash.to_reports(now)], blocked_parts

    def _is_probed(self, part: int, now: float) -> bool:
        return now < self._probed_until.get(part, -math.inf)

    def _is_unsettled(self, part: int, now: float) -> bool:
        """Return whether the next update blocks a request, unless reports name another cause."""
        return (
            is_whole_request(part)
            and part not in self._blocked
            and self._is_recent(part, now, SETTLED_S)
            and self._evidence.score(part) >= BLOCKING_SCORE
            and self._has_enough_evidence(part, self._evidence.rivals(part), now)
        )

    def _is_repeat(self, part: int, parts: Collection[int], now: float) -> bool:
        """Return whether a part that is nearly blocked needs the probe of another request."""
        crashes = self._evidence.crashes(part)
        return (
            not is_whole_request(part)
            and any(crash.has_request(part, request_digest(parts)) for crash in crashes)
            and max(crash.at for crash in crashes) > now - PROBE_S
            and self._evidence.score(part) >= BLOCKING_SCORE
        )

    def _is_recent(self, part: int, now: float, within_s: float = TOLD_S) -> bool:
        return any(now - crash.at < within_s for crash in self._evidence.crashes(part))

    def _suspects(self, parts: Collection[int], now: float) -> list[int]:
        return [
            part
            for part in parts
            if (part in self._evidence or part in self._blocked)
            and not self._is_explained(part, now)
        ]

    def _is_blocking(self, part: int, parts: Collection[int], now: float) -> bool:
        blocked = self._blocked.get(part)
        if blocked is None or blocked.is_lifted(now):
            return False
        return blocked.companions.issubset(parts)

    def _on_blocked_seen(self, parts: Collection[int], now: float) -> None:
        for part in parts:
            blocked = self._blocked.get(part)
            if blocked is not None:
                blocked.seen_at = now

    def _has_enough_evidence(self, part: int, companions: frozenset[int], now: float) -> bool:
        crashes = self._evidence.crashes(part)
        if not any(crash.is_probe_of(part) for crash in crashes):
            return False
        if not is_whole_request(part) and self._evidence.has_single_request(part):
            return False
        if now - self._answered_at > ANSWERED_S:
            # Runners that answer no request at all have another fault.
            return False
        own = {crash.incarnation for crash in crashes}
        has_unrelated = any(
            now - at <= UNRELATED_S and key not in own for key, at in self._ended_at.items()
        )
        # The next probe may tell the part from its companions.
        needed = BLOCKING_SCORE + ADDITIONAL_SCORE * (has_unrelated + bool(companions))
        return self._evidence.score(part) >= needed

    def _block_again(self, part: int, blocked: Blocked, at: float, now: float) -> None:
        """Record a crash under a blocked part, perhaps from before it was lifted."""
        if blocked.is_lifted(now) and at > blocked.changed_at:
            # Also one that was lifted only by its time, so that both count as a change.
            blocked.turn += 1 if blocked.turn % 2 == 0 else 2
            blocked.changed_at = now
        blocked.seen_at = max(blocked.seen_at, at)
        blocked.crashes = max(blocked.crashes, len(self._evidence.crashes(part)))

    def _add_blocked(self, part: int, blocked: Blocked) -> None:
        self._blocked[part] = blocked
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[min(self._blocked, key=lambda p: self._blocked[p].seen_at)]

    def _update_blocked(self, now: float) -> None:
        """Block the parts with enough evidence, and unblock those that another part explains."""
        for part in sorted(self._evidence.probed_by_score(BLOCKING_SCORE)):
            if is_whole_request(part):
                companions = self._evidence.rivals(part)
                is_known = part in self._blocked or self._is_recent(part, now)
            else:
                companions = self._evidence.companions(part)
                # One of several parts that cannot be told apart stands for all.
                is_known = part in self._blocked or bool(companions & self._blocked.keys())
            if is_known:
                continue
            if self._has_enough_evidence(part, companions, now):
                crashes = len(self._evidence.crashes(part))
                blocked = Blocked(seen_at=now, changed_at=now, crashes=crashes)
                self._add_blocked(part, blocked)
        for part, blocked in list(self._blocked.items()):
            # Without its first crashes, which expire, a part has more companions than it had.
            is_current = len(self._evidence.crashes(part)) >= max(1, blocked.crashes)
            if is_current and not is_whole_request(part):
                blocked.companions = self._evidence.companions(part)
            if self._is_explained(part, now):
                del self._blocked[part]

    def _is_explained(self, part: int, now: float) -> bool:
        """Return whether all crashes under a part have a blocked part as their only cause."""
        return any(
            other != part
            and not blocked.companions
            and not blocked.is_lifted(now)
            and self._evidence.is_explained(part, other)
            for other, blocked in self._blocked.items()
        )
