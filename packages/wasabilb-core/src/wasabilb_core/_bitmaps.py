"""Bitmaps of chunks as integers: bit `i` is set when chunk `i` is in the set."""

import random
from collections.abc import Iterable, Iterator


def all_chunks(count: int) -> int:
    """Return the bitmap of the chunks 0 to `count` - 1."""
    return (1 << count) - 1


def members(mask: int) -> Iterator[int]:
    """Yield the chunk numbers in ascending order."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def random_member(mask: int, rng: random.Random) -> int:
    """Return one member of a non-empty bitmap, at a random position."""
    shift = int(rng.random() * mask.bit_length())
    high = mask >> shift
    return (high & -high).bit_length() - 1 + shift


def rarest(masks: Iterable[int], wanted: int) -> int:
    """Return the members of `wanted` that are in the fewest `masks`, but in at least one.

    The counts of all members are added at once, with one integer per binary digit of the count
    (carry-save addition, Knuth, TAOCP vol. 4A, 7.1.3). They are exact up to 15 masks.
    """
    one = two = four = eight = 0
    for mask in masks:
        carry = mask & wanted
        one, carry = one ^ carry, one & carry
        two, carry = two ^ carry, two & carry
        four, carry = four ^ carry, four & carry
        eight |= carry
    remaining = one | two | four | eight
    for digit in (eight, four, two, one):
        fewer = remaining & ~digit
        if fewer:
            remaining = fewer
    return remaining
