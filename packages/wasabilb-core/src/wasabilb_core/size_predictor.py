"""Prediction of the number of tokens that a request produces, made on its arrival."""

import math
from collections import OrderedDict

from attrs import define

# Observations after which a finer group has the same weight as the coarser one. With 4, one long
# answer moved the next short requests of its account out of the shortest class.
PRIOR_COUNT = 16.0
# Minimum weight of the newest observation, so that large groups still follow a change.
MIN_GAIN = 0.02
MAX_GROUPS = 4096
# Callers request more tokens than they use. Without history a request counts as short: the queue
# corrects this while it runs, whereas a short job taken for long would wait behind all others.
DEFAULT_LIMIT_SHARE = 0.5
DEFAULT_TOKENS = 100.0


@define(kw_only=True)
class RequestGroup:
    """Running mean of the logarithm of the produced tokens in a group of requests."""

    count: int = 0
    log_tokens: float = 0.0


class SizePredictor:
    """Predicts the output size by nested groups, each shrunk towards the coarser one.

    Groups are keyed by service, then also by token limit, account and prompt size. Limits and
    prompt sizes are grouped by powers of two. The shrinkage is the usual empirical Bayes estimate
    for nested groups (Efron and Morris 1975).
    """

    def __init__(self) -> None:
        self._groups: OrderedDict[tuple[object, ...], RequestGroup] = OrderedDict()

    def predict(self, account: str, service: str, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected number of tokens, between 1 and `max_tokens`."""
        estimate = math.log(max(1.0, min(DEFAULT_TOKENS, max_tokens * DEFAULT_LIMIT_SHARE)))
        for key in _group_keys(account, service, prompt_tokens, max_tokens):
            group = self._groups.get(key)
            if group is not None:
                group_weight = group.count / (group.count + PRIOR_COUNT)
                estimate += (group.log_tokens - estimate) * group_weight
        return min(float(max(1, max_tokens)), max(1.0, math.exp(estimate)))

    def observe(
        self, account: str, service: str, prompt_tokens: int, max_tokens: int, produced: int
    ) -> None:
        """Record a request that ended by itself after `produced` tokens."""
        value = math.log(max(1, produced))
        for key in _group_keys(account, service, prompt_tokens, max_tokens):
            group = self._groups.setdefault(key, RequestGroup())
            self._groups.move_to_end(key)
            group.count += 1
            group.log_tokens += (value - group.log_tokens) * max(MIN_GAIN, 1.0 / group.count)
        while len(self._groups) > MAX_GROUPS:
            self._groups.popitem(last=False)


def _group_keys(
    account: str, service: str, prompt_tokens: int, max_tokens: int
) -> tuple[tuple[object, ...], ...]:
    limit, prompt = max(1, max_tokens).bit_length(), max(1, prompt_tokens).bit_length()
    return (
        (service,),
        (service, limit),
        (service, limit, account),
        (service, limit, account, prompt),
    )
