"""Which versions leave the origin before their turn, and which host reads which part of them.

Answers the load of a version that is named while the hosts still fetch the one before, from an
origin that may be gone a moment later. The hosts together read one copy of the newer version at
once, each a share of its own, so that peers can finish it without the origin. A share costs a
host's link one copy over the number of hosts, and the older version is held up by no more.
"""

from collections.abc import Iterable, Sequence

from wasabilb_core.rendezvous import rank

# Chunks for each host from which they are shared out evenly. With fewer, the copy leaves the origin
# no earlier for it, and a host that joins would move a larger part of them.
MIN_EVEN_CHUNKS_PER_HOST = 2


def versions_to_seed(named: Iterable[int], *, fetched: Iterable[int | None]) -> list[int]:
    """Return the versions of which a host reads its share now.

    Only the newest one is worth the origin's bytes: those between are finished only by hosts that
    already have a good part of them.

    Parameters
    ----------
    named : iterable of int
        The named versions that are newer than what the runner holds.
    fetched : iterable of int or None
        The versions that are fetched whole.
    """
    newest = max(named, default=None)
    return [] if newest is None or newest in set(fetched) else [newest]


def origin_shares(*, key: str, chunks: Sequence[int], hosts: Iterable[str]) -> dict[str, int]:
    """Return for each host the bitmap of the chunks that it reads first.

    Rendezvous hashing with bounded loads: a chunk goes to the first host of its order that has
    room. All hosts compute the same from the same list. Where there are enough chunks, no host has
    more than its even part of them, rounded up, as the host with most of them decides when the copy
    is out. A host that joins or leaves moves few chunks between the others.
    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.

    Parameters
    ----------
    key : str
        Name of the transfer.
    chunks : sequence of int
        Numbers of the chunks to share out, in an order that all hosts know.
    hosts : iterable of str
        Hosts that take part.
    """
    names = sorted(set(hosts))
    shares = dict.fromkeys(names, 0)
    if not names:
        return shares
    is_even = len(chunks) >= MIN_EVEN_CHUNKS_PER_HOST * len(names)
    most = -(-len(chunks) // len(names)) if is_even else len(chunks)
    for index in chunks:
        order = rank(f"{key}:{index}", names)
        name = next(name for name in order if shares[name].bit_count() < most)
        shares[name] |= 1 << index
    return shares
