"""Rendezvous hashing, by which processes agree on an owner without communication.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def hash_weight(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members ordered by weight, the owner of the key first."""
    return sorted(members, key=lambda member: (hash_weight(key, member), member), reverse=True)


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns the key, or None if there is no member."""
    return max(members, key=lambda member: (hash_weight(key, member), member), default=None)


def subset(key: str, members: Iterable[str], size: int) -> list[str]:
    """Return at most `size` members, the same for every caller with the same arguments."""
    return rank(key, members)[:size]
