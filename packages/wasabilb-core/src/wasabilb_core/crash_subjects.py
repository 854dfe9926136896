"""What a request has that may crash runners: parts of its prompt, and the request as a whole.

Both are numbers. Those of parts have at most 64 bits, and callers may choose them; those of whole
requests have one bit more, so that no part names a request.
"""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8
_WHOLE_REQUEST_BIT = 1 << 8 * _DIGEST_BYTES
# Separates these digests from all others over the same data.
_PERSON = b"wasabilb request"


def whole_request(*, account: str | None, method: str, host: str, target: str, body: bytes) -> int:
    """Return the number of a request as a whole, equal for its repeats.

    Parameters
    ----------
    account : str or None
        Client account, None for anonymous callers, who share their requests.
    target : str
        Path with the query.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, person=_PERSON)
    owner = "anonymous" if account is None else f"account {account}"
    names = (owner, method, host.lower(), target)
    for data in (*(name.encode("utf-8", "surrogateescape") for name in names), body):
        digest.update(len(data).to_bytes(_DIGEST_BYTES))
        digest.update(data)
    return request_subject(int.from_bytes(digest.digest()))


def request_subject(digest: int) -> int:
    """Return the number of a whole request with a digest."""
    # Messages use 0 for an unknown request.
    return _WHOLE_REQUEST_BIT | (digest or 1)


def request_digest(subjects: Iterable[int]) -> int:
    """Return the digest of the whole request among some subjects, 0 without one."""
    return next((s ^ _WHOLE_REQUEST_BIT for s in subjects if is_whole_request(s)), 0)


def is_whole_request(subject: int) -> bool:
    """Return whether a subject is a whole request and no part of a prompt."""
    return subject >= _WHOLE_REQUEST_BIT


def parts_of(subjects: Iterable[int]) -> list[int]:
    """Return the parts of prompts among some subjects."""
    return [subject for subject in subjects if not is_whole_request(subject)]


def digests_of(subjects: Iterable[int]) -> list[int]:
    """Return the digests of the whole requests among some subjects."""
    return [subject ^ _WHOLE_REQUEST_BIT for subject in subjects if is_whole_request(subject)]
