"""Settings and faults of the engine stand-in."""

from attrs import field, frozen
from attrs.validators import instance_of, optional

from wasabilb_standins.crashes import CrashFaults


@frozen(kw_only=True)
class EngineSettings:
    """Behaviour of an engine without faults; times in seconds.

    Parameters
    ----------
    models : str
        Variants that it serves from the start, `model[+adapter]@version`, separated by commas.
    slots : int
        Maximum number of running answers.
    token_s, batch_growth, prefill_token_s : float
        See `Batch`.
    cache_blocks : int
        Blocks of 64 characters that the prefix cache holds.
    load_s : float
        Duration of a load, during which the previous version serves.
    report_lag_s : float
        Age of the report.
    fencing : bool
        Whether an order is refused if its fence is lower than the highest received one.
    orderer_token : str
        Token that an order must have as `Authorization: Bearer`; empty disables the check.
    event_delay_s : float
        Delay of the publication of a cache event.
    event_drop_every : int
        Cache events whose number is a multiple of this are lost; 0 loses none.
    """

    models: str = ""
    slots: int = 8
    token_s: float = 0.005
    batch_growth: float = 0.02
    prefill_token_s: float = 0.0002
    cache_blocks: int = 4096
    load_s: float = 0.2
    report_lag_s: float = 0.2
    fencing: bool = True
    orderer_token: str = ""
    event_delay_s: float = 0.0
    event_drop_every: int = 0


@frozen(kw_only=True)
class EngineFaults(CrashFaults):
    """Faults of an engine; `crash_text` is looked for in the prompt.

    Parameters
    ----------
    slow : float
        Factor on all times.
    stall : bool
        Accept connections and requests, but send nothing.
    die_after_tokens : int or None
        Close an answer's connection after this many tokens.
    die_answers : int
        Number of answers that `die_after_tokens` applies to; -1 is all.
    refuse_orders : bool
        Refuse orders with 503.
    delay_next_order_s : float
        Delay before the next order is processed; later orders overtake it.
    """

    slow: float = field(default=1.0, converter=float)
    stall: bool = field(default=False, validator=instance_of(bool))
    die_after_tokens: int | None = field(default=None, validator=optional(instance_of(int)))
    die_answers: int = field(default=1, validator=instance_of(int))
    refuse_orders: bool = field(default=False, validator=instance_of(bool))
    delay_next_order_s: float = field(default=0.0, converter=float)
