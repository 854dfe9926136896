"""Seeding: versions that are read from the origin early, and the share that each host reads.

A version may be named while the hosts still fetch its predecessor, and the origin may fail a moment
later. The hosts then read one copy of the newer version at once, each a share of its own, so that
peers can complete it without the origin. A share takes each host's link the time of one copy
divided by the number of hosts, and delays the older version by no more.
"""

from collections.abc import Iterable, Sequence

from wasabilb_core.rendezvous import rank

# Number of chunks per host from which they are divided evenly. With fewer, even shares would not
# get the copy out of the origin earlier, and a host that joins would move a larger part of them.
MIN_EVEN_CHUNKS_PER_HOST = 2


def versions_to_seed(named: Iterable[int], *, fetched: Iterable[int | None]) -> list[int]:
    """Return the versions whose share of chunks this host reads now.

    Only the newest one is worth the bandwidth of the origin: intermediate versions are completed
    only by hosts that already have a large part of them.

    Parameters
    ----------
    named : iterable of int
        The named versions that are newer than that of the runner.
    fetched : iterable of int or None
        The versions that are fetched completely.
    """
    newest = max(named, default=None)
    return [] if newest is None or newest in set(fetched) else [newest]


def origin_shares(*, key: str, chunks: Sequence[int], hosts: Iterable[str]) -> dict[str, int]:
    """Return for each host the bitmap of the chunks that it reads first.

    Rendezvous hashing with bounded loads: a chunk goes to the first host in its order that has
    room. All hosts compute the same shares from the same list. Where there are enough chunks, no
    host gets more than an even share, rounded up, as the largest share determines when the copy is
    complete. A host that joins or leaves moves few chunks between the others.
    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.

    Parameters
    ----------
    key : str
        Name of the transfer.
    chunks : sequence of int
        Numbers of the chunks to divide, in an order common to all hosts.
    hosts : iterable of str
        Hosts of the transfer.
    """
    names = sorted(set(hosts))
    shares = dict.fromkeys(names, 0)
    if not names:
        return shares
    is_even = len(chunks) >= MIN_EVEN_CHUNKS_PER_HOST * len(names)
    max_chunks = -(-len(chunks) // len(names)) if is_even else len(chunks)
    for index in chunks:
        order = rank(f"{key}:{index}", names)
        name = next(name for name in order if shares[name].bit_count() < max_chunks)
        shares[name] |= 1 << index
    return shares
