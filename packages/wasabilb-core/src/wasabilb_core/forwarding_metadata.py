"""What a request, a send and an answer say, free of the names that a deployment uses."""

from attrs import frozen

from wasabilb_core.requested_pause import RequestedPause
from wasabilb_core.runner_stats import LoadReport


@frozen(kw_only=True)
class RequestMetadata:
    """What a caller says of its request.

    Parameters
    ----------
    id : str
        Identifier of this attempt of the caller.
    timeout_s : float or None
        How long the caller will wait, seconds.
    key : str or None
        Key of the client account.
    prompt_tokens, max_answer_tokens : int
        Size of a model request; 0 for others.
    hinted_answer_tokens : float or None
        The caller's estimate of the answer's size.
    last_event_id : str
        Event after which a stream is to go on; empty for a new one.
    """

    id: str
    timeout_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    hinted_answer_tokens: float | None = None
    last_event_id: str = ""


@frozen(kw_only=True)
class ForwardMetadata:
    """What an entry process tells a runner besides the caller's own headers.

    Parameters
    ----------
    runner_id : str
        The runner that is to answer; any other one refuses.
    timeout_s : float or None
        What is left of the caller's time.
    account : str or None
        The caller's account.
    version : int or None
        Version of the weights that must answer.
    last_event_id : str
        Event after which a stream goes on.
    """

    runner_id: str
    timeout_s: float | None = None
    account: str | None = None
    version: int | None = None
    last_event_id: str = ""


@frozen(kw_only=True)
class AnswerMetadata:
    """What the head of an answer says.

    Parameters
    ----------
    request_id : str
        The request that it answers; empty when it does not tell.
    is_not_run : bool
        Whether the runner declares that it did not and will not run the request.
    is_sealed : bool
        Whether it is the runner's own answer to a request that it ran.
    load : LoadReport or None
        Load of the runner, when it tells it.
    is_leaving : bool
        Whether the runner says that it leaves.
    pause : RequestedPause or None
        For how long a runner that refuses the request wants no other one, when it tells it.
    """

    request_id: str = ""
    is_not_run: bool = False
    is_sealed: bool = False
    load: LoadReport | None = None
    is_leaving: bool = False
    pause: RequestedPause | None = None
