"""What entry processes tell each other about crashed runners and the prompts that were there."""

from attrs import field, frozen


@frozen(kw_only=True)
class CrashReport:
    """Requests of one entry process that were with a runner when it crashed.

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
    """

    runner: str
    born_ms: int
    age_s: float = 0.0
    started: list[int] = field(factory=list)
    waiting: list[int] = field(factory=list)
    probes: list[int] = field(factory=list)


@frozen(kw_only=True)
class BlockedPart:
    """A part of prompts that crashes runners.

    Parameters
    ----------
    part : int
        The part.
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
