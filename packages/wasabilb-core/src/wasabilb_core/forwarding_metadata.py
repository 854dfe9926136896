"""Metadata of requests and answers, independent of the header names of a deployment."""

from attrs import frozen

from wasabilb_core.named_limit import NamedLimit
from wasabilb_core.requested_pause import RequestedPause
from wasabilb_core.runner_stats import LoadReport


@frozen(kw_only=True)
class RequestMetadata:
    """Metadata of a caller's request.

    Parameters
    ----------
    id : str
        Identifier of this attempt of the caller.
    timeout_s : float or None
        Timeout of the caller, seconds.
    key : str or None
        Key of the client account.
    prompt_tokens, max_answer_tokens : int
        Size of a model request; 0 for other requests.
    hinted_answer_tokens : float or None
        The caller's estimate of the answer's size.
    last_event_id : str
        Event after which a stream continues; empty for a new stream.
    shared_parts : tuple of int
        Parts of the prompt that other requests may share, as 64-bit numbers.
    """

    id: str
    timeout_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    hinted_answer_tokens: float | None = None
    last_event_id: str = ""
    shared_parts: tuple[int, ...] = ()


@frozen(kw_only=True)
class ForwardMetadata:
    """Metadata that an entry process adds to the caller's headers.

    Parameters
    ----------
    runner_id : str
        Runner that must answer; any other one refuses.
    timeout_s : float or None
        Remaining time of the caller.
    account : str or None
        Account of the caller.
    version : int or None
        Version of the weights that must answer.
    last_event_id : str
        Event after which a stream continues.
    """

    runner_id: str
    timeout_s: float | None = None
    account: str | None = None
    version: int | None = None
    last_event_id: str = ""


@frozen(kw_only=True)
class AnswerMetadata:
    """Metadata in the head of an answer.

    Parameters
    ----------
    request_id : str
        Request that it answers; empty if absent.
    is_not_run : bool
        Whether the runner declares that it did not and will not run the request.
    is_sealed : bool
        Whether it is the runner's own answer to a request that it ran.
    load : LoadReport or None
        Load of the runner, if reported.
    is_leaving : bool
        Whether the runner announces that it leaves.
    pause : RequestedPause or None
        Pause that a refusing runner requests, if any.
    limit : NamedLimit or None
        Limit on the requests of all entry processes that the runner names, if any.
    is_from_runner : bool
        Whether it comes from the runner that was asked. After a reuse of its address, another
        runner answers there.
    """

    request_id: str = ""
    is_not_run: bool = False
    is_sealed: bool = False
    load: LoadReport | None = None
    is_leaving: bool = False
    pause: RequestedPause | None = None
    limit: NamedLimit | None = None
    is_from_runner: bool = True
