"""Deterministic subsets that cover all members evenly.

With independent random subsets, about one runner of 600 was left without any entry host.

Source: Beyer et al., "Site Reliability Engineering", 2016, chapter 20, deterministic subsetting;
rounds are ordered by rendezvous hash, so that a new member moves few links.
"""

import math

from wasabilb_core.rendezvous import rank


def even_subset(members: list[str], size: int, index: int) -> list[str]:
    """Return the part of some members for the process with an index among its peers.

    Parameters
    ----------
    members : list of str
        What the processes share.
    size : int
        Most members of a part.
    index : int
        Number of the process among those that share the members.
    """
    if len(members) <= size:
        return members
    parts = math.ceil(len(members) / size)
    round_number, part = divmod(index, parts)
    return rank(f"round-{round_number}", members)[part::parts]
