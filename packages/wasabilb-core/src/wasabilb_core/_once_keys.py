"""Formats of idempotency keys and the fingerprint of a key's request."""

import hashlib
import random
import re
from typing import TypeAlias

from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind, Outcome

MAX_KEY_CHARS = 200
_ISSUED_PREFIX = "wl1."
_NAME = r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}"
_ISSUED = re.compile(
    rf"wl1\.(?P<service>{_NAME})\.(?P<host>{_NAME})"
    r"\.(?P<incarnation>0|[1-9a-f][0-9a-f]{0,15})\.(?P<created>0|[1-9][0-9]{0,14})\.[0-9a-f]{32}"
)
_TEXT = re.compile(r"[\x21-\x7e]+")
_UUID = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}", re.IGNORECASE)
_UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
_MILLISECONDS = re.compile(r"[0-9]{1,15}")


@frozen(kw_only=True)
class IssuedKey:
    """Key issued by an entry host, with the identity of the only process that may execute the call.

    Parameters
    ----------
    text : str
        The key as callers send it.
    service, host : str
        Plain service and the host of the agent.
    incarnation : int
        Incarnation of the agent; another incarnation never executes under the key.
    created_ms : int
        Wall clock of the issuer, milliseconds since the epoch.
    """

    text: str
    service: str
    host: str
    incarnation: int
    created_ms: int


@frozen(kw_only=True)
class CallerKey:
    """Caller key: an idempotency key that the caller chose.

    Parameters
    ----------
    text : str
        The key in its normal form.
    created_ms : int or None
        Time of creation, milliseconds since the epoch; None for an opaque key.
    """

    text: str
    created_ms: int | None = None


Key: TypeAlias = IssuedKey | CallerKey


@frozen(kw_only=True)
class Fingerprint:
    """Request that a key stands for; keys of different accounts are independent of each other.

    Parameters
    ----------
    account : str
        Account of the caller.
    digest : str
        Digest of account, method, path and body in hex.
    """

    account: str
    digest: str


def fingerprint(method: str, path: str, body: bytes, account: str) -> Fingerprint:
    """Return the fingerprint of a request.

    Each part is preceded by its length, so that no two different requests share an input.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (account.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return Fingerprint(account=account, digest=digest.hexdigest())


def issue_key(
    service: str, host: str, incarnation: int, wall_ms: int, rng: random.Random
) -> IssuedKey:
    """Issue a key for one agent incarnation.

    The random part keeps two entry hosts from issuing the same key; pass `random.SystemRandom`
    outside tests.
    """
    text = f"wl1.{service}.{host}.{incarnation:x}.{wall_ms}.{rng.getrandbits(128):032x}"
    return IssuedKey(
        text=text, service=service, host=host, incarnation=incarnation, created_ms=wall_ms
    )


def parse_key(text: str, created_header: str | None = None) -> Result[Key, Error]:
    """Parse an `Idempotency-Key` with its optional `Idempotency-Key-Created`.

    A UUIDv7 (RFC 9562, section 5.7) contains its own time, which takes precedence over the header,
    so that a repeat with another header has the same time. An invalid key has never run. An invalid
    header does not exclude earlier attempts, so its outcome is "unknown".
    """
    text = text.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not text or len(text) > MAX_KEY_CHARS or not _TEXT.fullmatch(text):
        expected = f"expected 1 to {MAX_KEY_CHARS} visible ASCII characters"
        return Failure(Error(kind=ErrorKind.BAD_KEY, detail=f"bad idempotency key: {expected}"))
    if text.startswith(_ISSUED_PREFIX):
        return _parse_issued(text)
    if _UUID.fullmatch(text):
        text = text.lower()
        if _UUID7.fullmatch(text):
            return Success(CallerKey(text=text, created_ms=int(text[:8] + text[9:13], 16)))
    if created_header is None:
        return Success(CallerKey(text=text))
    if not _MILLISECONDS.fullmatch(created_header.strip()):
        detail = "bad Idempotency-Key-Created: expected milliseconds since the epoch"
        return Failure(Error(kind=ErrorKind.BAD_KEY, detail=detail, outcome=Outcome.UNKNOWN))
    return Success(CallerKey(text=text, created_ms=int(created_header)))


def _parse_issued(text: str) -> Result[Key, Error]:
    found = _ISSUED.fullmatch(text)
    if found is None:
        detail = "bad idempotency key: the prefix wl1. is reserved for issued keys"
        return Failure(Error(kind=ErrorKind.BAD_KEY, detail=detail))
    return Success(
        IssuedKey(
            text=text,
            service=found["service"],
            host=found["host"],
            incarnation=int(found["incarnation"], 16),
            created_ms=int(found["created"]),
        )
    )
