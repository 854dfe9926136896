"""Deterministic subsets that cover all members evenly.

With independent random subsets, about one runner of 600 had no entry host.

Source: Beyer et al., "Site Reliability Engineering", 2016, chapter 20, deterministic subsetting.
Rounds are ordered by rendezvous hash, so that a new member changes few links.
"""

import math

from wasabilb_core.rendezvous import rank


def even_subset(members: list[str], size: int, index: int) -> list[str]:
    """Return the subset of the members for one process.

    Parameters
    ----------
    members : list of str
        Members to divide between the processes.
    size : int
        Maximum size of a subset.
    index : int
        Index of the process among those that share the members.
    """
    if len(members) <= size:
        return members
    parts = math.ceil(len(members) / size)
    round_number, part = divmod(index, parts)
    return rank(f"round-{round_number}", members)[part::parts]
