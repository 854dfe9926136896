"""Protects runners from requests that crash them, by themselves or by a part of their prompt."""

import math
from collections.abc import Callable
from functools import partial

from attrs import define, frozen
from wasabilb_core.attempts import AnswerProgress, AttemptEnd
from wasabilb_core.crash_reports import crash_report
from wasabilb_core.crash_subjects import is_whole_request, parts_of, request_digest
from wasabilb_core.crashing_parts import CrashingParts, PartDecision
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.prompt_parts import parts_text
from wasabilb_core.runner_directory import Runner
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import RunnerReport

from wasabilb_entry.crash_detector import CrashDetector
from wasabilb_entry.crash_exchange import CrashExchange

# Time after which a caller retries while a part of its prompt is probed, seconds: the usual time
# until a probe's answer has gone on for long enough.
PROBE_RETRY_S = 0.5
# Parts of one request that a report names; the size of a caller's header limits them further.
MAX_REPORTED_PARTS = 2048
# Errors of requests that must not be sent at all, and of those that may be sent soon.
BLOCKED_KINDS = (ErrorKind.PROMPT_BLOCKED, ErrorKind.REQUEST_BLOCKED)
PROBED_KINDS = (ErrorKind.PROMPT_PROBED, ErrorKind.REQUEST_PROBED)


@frozen(kw_only=True)
class GuardedAttempt:
    """An attempt that has ended.

    Parameters
    ----------
    request_id : str
        Request.
    runner : Runner
        Where it was sent.
    parts : tuple of int
        Parts of its prompt that other requests may share, and the request as a whole; see
        `wasabilb_core.crash_subjects`.
    probed : frozenset of int
        Those of them that it probed.
    end : AttemptEnd
        How it ended.
    progress : AnswerProgress
        How far its answer had come.
    is_success : bool
        Whether the answer has a status of success.
    """

    request_id: str
    runner: Runner
    parts: tuple[int, ...]
    probed: frozenset[int]
    end: AttemptEnd
    progress: AnswerProgress
    is_success: bool


@frozen(kw_only=True)
class CrashedAttempt:
    """An attempt that a crash of its runner has ended; see `GuardedAttempt`.

    Parameters
    ----------
    runner_id : str
        The runner.
    born_ms : int
        Number that tells its crashes apart.
    """

    request_id: str
    runner_id: str
    born_ms: int
    parts: tuple[int, ...]
    probed: frozenset[int]
    progress: AnswerProgress


@define(kw_only=True, eq=False)
class PromptGuard:
    """Decides which requests may be sent, and learns from the ends of attempts.

    Parameters
    ----------
    parts : CrashingParts
        Parts of prompts as this process knows them.
    exchange : CrashExchange
        Tells the other entry processes.
    detector : CrashDetector or None
        Tells crashes of runners from other faults; None where agents do.
    log : EventLog
        Receives an event for each request that was with a crashed runner.
    on_crash_seen : callable
        Called for each crash of a runner under a request of this process.
    """

    parts: CrashingParts
    exchange: CrashExchange
    detector: CrashDetector | None = None
    log: EventLog
    on_crash_seen: Callable[[], None] = lambda: None

    def refusal(self, parts: tuple[int, ...]) -> Error | None:
        """Return the error for a request that must not be sent now, None for any other."""
        if not parts:
            return None
        moment = now()
        decision = self.parts.decide(parts, moment)
        if decision is PartDecision.BLOCK:
            return self._blocked_error(self.parts.blocking_part(parts, moment) or 0)
        if decision is PartDecision.WAIT:
            is_same = self.parts.decide(parts_of(parts), moment) is not PartDecision.WAIT
            what = "this request" if is_same else "a part of the prompt"
            return Error(
                kind=ErrorKind.REQUEST_PROBED if is_same else ErrorKind.PROMPT_PROBED,
                detail=f"another request finds out whether {what} crashes runners",
                retry_after_s=PROBE_RETRY_S,
            )
        return None

    def _blocked_error(self, part: int) -> Error:
        is_whole = is_whole_request(part)
        runners = ", ".join(self.parts.crashed_runners(part))
        return Error(
            kind=ErrorKind.REQUEST_BLOCKED if is_whole else ErrorKind.PROMPT_BLOCKED,
            detail=("the request " if is_whole else "part ")
            + f"{part:x} {'' if is_whole else 'of the prompt '}crashes runners"
            + (f": {runners}" if runners else ""),
        )

    def lift(self, *, part: int | None = None, before: float = math.inf, reason: str) -> list[int]:
        """Let a probe find out whether blocked parts still crash runners, and return these.

        Parameters
        ----------
        part : int or None
            The part, None for all.
        before : float
            Only parts that were blocked before this time.
        reason : str
            Why, for the log.
        """
        return self.exchange.lift(part=part, before=before, reason=reason)

    def may_hedge(self, parts: tuple[int, ...]) -> bool:
        """Return whether a request may be with two runners: not if its prompt may crash them."""
        return not parts or self.parts.decide(parts, now()) is PartDecision.SEND

    def on_probe_ended(self, probed: frozenset[int]) -> None:
        """Record that a probe has ended without a result."""
        if probed:
            self.exchange.on_probe_ended(probed)

    def begin(self, parts: tuple[int, ...]) -> frozenset[int] | None:
        """Record that a request is being sent and return the parts that it probes.

        None if it must not be sent.
        """
        probed = self.parts.begin(parts, now()) if parts else frozenset()
        if probed:
            self.exchange.on_probe_begun(probed)
        return probed

    def on_answer_going_on(self, parts: tuple[int, ...]) -> None:
        """Record that the answer to a request went on after its beginning."""
        self.exchange.on_answer_going_on(parts)

    async def on_attempt_ended(self, attempt: GuardedAttempt) -> None:
        """Process the end of an attempt."""
        if not attempt.parts:
            return
        if attempt.end is AttemptEnd.ANSWERED and attempt.is_success:
            self.on_answer_going_on(attempt.parts)
        elif attempt.end is AttemptEnd.BROKEN:
            at = now()
            on_crash = partial(self._on_crash, attempt, at)
            suspects = self.parts.uncleared(attempt.parts, at)
            has_crashed = self.detector.has_crashed if suspects and self.detector else None
            if has_crashed is not None and await has_crashed(attempt.runner, on_crash):
                on_crash()
                return
        self.on_probe_ended(attempt.probed)

    def on_report(self, runner: Runner, report: RunnerReport) -> None:
        """Process a report of the agent beside a runner that is in service."""
        has_ended = not report.is_reachable and not report.is_silent
        if has_ended or report.born_ms > runner.born_ms:
            self.parts.on_runner_ended(runner.id, runner.born_ms, now())
            if self.detector is not None:
                self.detector.on_runner_ended(runner)

    def _on_crash(self, attempt: GuardedAttempt, at: float) -> None:
        runner = attempt.runner
        self.on_crash(
            CrashedAttempt(
                request_id=attempt.request_id,
                runner_id=runner.id,
                born_ms=runner.born_ms,
                parts=attempt.parts,
                probed=attempt.probed,
                progress=attempt.progress,
            ),
            at,
        )

    def on_crash(self, attempt: CrashedAttempt, at: float) -> None:
        """Process an attempt that a crash of its runner has ended at a time."""
        moment = now()
        suspects = self.parts.uncleared(attempt.parts, moment)
        # Callers decide how many parts there are, which must not push the request out.
        suspects = sorted(suspects, key=is_whole_request, reverse=True)[:MAX_REPORTED_PARTS]
        self.on_crash_seen()
        self.log.event(
            "runner_crashed",
            runner=attempt.runner_id,
            request=attempt.request_id,
            answer=attempt.progress.value,
            parts=parts_text(suspects) or None,
            is_probe=bool(attempt.probed),
        )
        has_started = attempt.progress is AnswerProgress.STARTED
        probed = attempt.probed
        if attempt.progress is AnswerProgress.BEGUN:
            # A request crashes its runners before its answer has begun, so this was no probe of it.
            begun = frozenset(filter(is_whole_request, probed))
            self.on_probe_ended(begun)
            probed -= begun
        self.exchange.on_crash(
            crash_report(
                runner=attempt.runner_id,
                born_ms=attempt.born_ms,
                age_s=moment - at,
                request=request_digest(attempt.parts),
                started=suspects if has_started else [],
                waiting=[] if has_started else suspects,
                probes=probed,
            )
        )
