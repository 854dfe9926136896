"""Parts of prompts, named by 64-bit numbers."""

import hashlib
import string
from collections.abc import Collection

MAX_PART_BITS = 64
HEX_DIGITS = frozenset(string.hexdigits)
# Parts that a log line names; callers decide how many a prompt has.
MAX_LOGGED_PARTS = 8


def prompt_part(text: str) -> int:
    """Return the number of a part: the value of a short hexadecimal identifier, else a digest."""
    # The conversion would also accept signs, prefixes and underscores, which name another part.
    value = int(text, 16) if text and HEX_DIGITS.issuperset(text) else -1
    if 0 <= value < 1 << MAX_PART_BITS:
        return value
    digest = hashlib.blake2b(text.encode("utf-8", "replace"), digest_size=MAX_PART_BITS // 8)
    return int.from_bytes(digest.digest())


def parts_text(parts: Collection[int]) -> str:
    """Return some of the parts in hexadecimal, for the log."""
    names = [f"{part:x}" for part in list(parts)[:MAX_LOGGED_PARTS]]
    more = len(parts) - len(names)
    return ",".join(names) + (f",+{more}" if more > 0 else "")
