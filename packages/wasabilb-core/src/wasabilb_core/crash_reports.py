"""What entry processes tell each other about crashed runners and the requests that were there."""

from collections.abc import Collection

from attrs import field, frozen

from wasabilb_core.crash_subjects import parts_of, request_digest, request_subject


@frozen(kw_only=True)
class CrashReport:
    """A request of one entry process that was with a runner when it crashed.

    Reports of several processes, and repeated ones, on the same incarnation are of one crash.

    Parameters
    ----------
    runner : str
        Identifier of the runner.
    born_ms : int
        Its incarnation.
    age_s : float
        Time since the crash, seconds.
    started : list of int
        Parts of prompts whose answer had a head and no event, so that the runner had just begun.
    waiting : list of int
        Parts of the other prompts.
    probes : list of int
        Parts that were suspected when their request was sent.
    request : int
        Digest of the request, 0 if unknown; it tells repeats from other requests.
    is_started, is_waiting, is_probe : bool
        The same about the request as a whole; it is not suspected without one of the first two.
    """

    runner: str
    born_ms: int
    age_s: float = 0.0
    started: list[int] = field(factory=list)
    waiting: list[int] = field(factory=list)
    probes: list[int] = field(factory=list)
    request: int = 0
    is_started: bool = False
    is_waiting: bool = False
    is_probe: bool = False

    @property
    def started_subjects(self) -> list[int]:
        """Return the subjects whose answer had started."""
        return self.started + self._request_if(self.is_started)

    @property
    def waiting_subjects(self) -> list[int]:
        """Return the other subjects."""
        return self.waiting + self._request_if(self.is_waiting)

    @property
    def probed_subjects(self) -> list[int]:
        """Return the subjects that were suspected when the request was sent."""
        return self.probes + self._request_if(self.is_probe)

    def _request_if(self, condition: bool) -> list[int]:
        return [request_subject(self.request)] if condition and self.request else []


def crash_report(
    *,
    runner: str,
    born_ms: int,
    age_s: float,
    request: int,
    started: Collection[int],
    waiting: Collection[int],
    probes: Collection[int],
) -> CrashReport:
    """Return a report about the subjects of one request; see `CrashReport`."""
    return CrashReport(
        runner=runner,
        born_ms=born_ms,
        age_s=age_s,
        started=sorted(parts_of(started)),
        waiting=sorted(parts_of(waiting)),
        probes=sorted(parts_of(probes)),
        request=request,
        is_started=request_digest(started) != 0,
        is_waiting=request_digest(waiting) != 0,
        is_probe=request_digest(probes) != 0,
    )


@frozen(kw_only=True)
class BlockedPart:
    """A part of prompts, or a whole request, that crashes runners.

    Parameters
    ----------
    part : int
        The subject; in messages, the digest of a whole request.
    age_s : float
        Time since a request with it was last received, seconds.
    crashes : int
        Known crashes under it.
    turn : int
        How often it was blocked and lifted: it is blocked while this is odd. The highest known
        value counts.
    companions : list of int
        Parts that were in all of its crashes too: one of them may be the cause instead.
    """

    part: int
    age_s: float
    crashes: int
    turn: int = 1
    companions: list[int] = field(factory=list)
