"""Hashing and verification of account keys."""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable
from typing import TypeVar

from wasabilb_core.tickets import AccountSpec

V = TypeVar("V")

MIN_KEY_CHARS = 20
SALT_BYTES = 16
# RFC 7914. Keys are generated at random, so a dictionary search cannot find them and the cost stays
# low: each request with an unknown key costs one hash per account, and with a high cost a few
# callers with wrong keys could block an entry host. The hash format does not include the cost, so a
# change invalidates all hashes in tickets.
_COST, _BLOCK, _PARALLEL, _HASH_BYTES = 1 << 4, 8, 1, 32
_MAX_CACHED = 4096


def hash_key(key: str, salt: bytes) -> str:
    """Return `scrypt$SALT$HASH` in hex for an account key.

    Parameters
    ----------
    key : str
        The account key.
    salt : bytes
        `SALT_BYTES` random bytes.
    """
    digest = hashlib.scrypt(
        key.encode(), salt=salt, n=_COST, r=_BLOCK, p=_PARALLEL, dklen=_HASH_BYTES
    )
    return f"scrypt${salt.hex()}${digest.hex()}"


def matches_key_hash(key: str, key_hash: str) -> bool:
    """Return whether a key has this hash; the comparison takes constant time."""
    parts = key_hash.split("$")
    try:
        salt = bytes.fromhex(parts[1])
    except (IndexError, ValueError):
        return False
    return hmac.compare_digest(hash_key(key, salt).encode(), key_hash.encode())


class AccountKeyVerifier:
    """Find the account of a key and cache the result.

    The cache holds a digest of each key, never the key. For a known key it holds the account's
    hash, so a ticket that changes the hash invalidates the old key at once; for an unknown key it
    holds the state of all hashes, so a new account is found at once.

    Parameters
    ----------
    pepper : bytes
        At least 16 random bytes of this process.
    """

    def __init__(self, *, pepper: bytes) -> None:
        self._pepper = pepper
        self._hash_by_digest: OrderedDict[bytes, str] = OrderedDict()
        self._state_by_unknown_digest: OrderedDict[bytes, int] = OrderedDict()

    def find_account(
        self, key: str, accounts: Iterable[AccountSpec], *, is_cached_only: bool = False
    ) -> AccountSpec | None:
        """Return the account that a key belongs to, or None.

        With `is_cached_only` no hash is computed, so that only cached keys are found.
        """
        digest = hashlib.blake2b(key.encode(), key=self._pepper[:64], digest_size=32).digest()
        candidates = list(accounts)
        known = self._hash_by_digest.get(digest)
        for account in candidates:
            if account.key_hash == known:
                return account
        if is_cached_only:
            return None
        state = hash(tuple(account.key_hash for account in candidates))
        if self._state_by_unknown_digest.get(digest) == state:
            return None
        for account in candidates:
            if matches_key_hash(key, account.key_hash):
                _cache(self._hash_by_digest, digest, account.key_hash)
                return account
        _cache(self._state_by_unknown_digest, digest, state)
        return None


def _cache(cache: OrderedDict[bytes, V], digest: bytes, value: V) -> None:
    cache[digest] = value
    if len(cache) > _MAX_CACHED:
        cache.popitem(last=False)
