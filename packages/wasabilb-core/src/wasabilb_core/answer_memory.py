"""Memory of the answers that a process buffers until they are whole, of all requests together."""

from collections.abc import Callable

from attrs import define, field

# An entry host has 200 MB, and a process without requests takes 48 MB of it; as much again is left
# for requests, connections and state.
MAX_ANSWERS_BYTES = 48 << 20
# Bytes of each answer that do not count: those of sound services have a few KiB.
UNCOUNTED_BYTES = 16 << 10


@define(kw_only=True, eq=False)
class AnswerShare:
    """What one request holds of the memory: the answer of its current attempt and a kept one."""

    memory: "AnswerMemory"
    size: int = 0
    is_revoked: bool = False
    # Whether the caller receives the bytes, so that they are held past the end of the request.
    is_sending: bool = False
    _attempt_size: int = 0
    _on_revoked: Callable[[], None] = field(default=lambda: None)

    def begin_attempt(self, on_revoked: Callable[[], None]) -> None:
        """Begin to count another answer, in place of the last one unless that is kept.

        Parameters
        ----------
        on_revoked : callable
            Called when the answer must drop what it holds, as another one needs the memory more.
        """
        self.size -= self._attempt_size
        self._attempt_size, self.is_revoked, self._on_revoked = 0, False, on_revoked

    def take(self, size: int) -> bool:
        """Count bytes that the answer is to hold; return whether there is room for them."""
        if self.is_revoked:
            return False
        self.size += size
        self._attempt_size += size
        return self.size <= UNCOUNTED_BYTES or self.memory.make_room(self)

    @property
    def revocable_bytes(self) -> int:
        """Return what its revocation would free."""
        return self._attempt_size

    def revoke(self) -> None:
        """Drop the bytes of the current attempt, which cannot be used any more."""
        self.size -= self._attempt_size
        self._attempt_size, self.is_revoked = 0, True
        self._on_revoked()

    def keep(self) -> None:
        """Hold the current answer until the end of the request, whatever else needs the memory."""
        self._attempt_size = 0

    def close(self) -> None:
        """Give up all bytes, as the request has ended."""
        self.size = self._attempt_size = 0
        self.memory.forget(self)


@define(kw_only=True)
class AnswerMemory:
    """Bounds the bytes of all buffered answers.

    Where there is no room, the largest unfinished answer is given up, not the one that happens to
    ask: bytes without end from one server must not end the answers of others.

    Parameters
    ----------
    max_bytes : int
        Limit on the bytes of all answers beyond `UNCOUNTED_BYTES` of each.
    """

    max_bytes: int = MAX_ANSWERS_BYTES
    _shares: set[AnswerShare] = field(init=False, factory=set)

    def open(self) -> AnswerShare:
        """Return the share of another request."""
        return AnswerShare(memory=self)

    @property
    def used_bytes(self) -> int:
        """Return the bytes that count."""
        return sum(max(0, share.size - UNCOUNTED_BYTES) for share in self._shares)

    def make_room(self, share: AnswerShare) -> bool:
        """Give up larger answers until a share fits; False if it is the largest itself."""
        self._shares.add(share)
        while self.used_bytes > self.max_bytes:
            largest = max(self._shares, key=lambda other: other.revocable_bytes)
            if largest.revocable_bytes <= share.revocable_bytes:
                share.revoke()
                return False
            largest.revoke()
        return True

    def forget(self, share: AnswerShare) -> None:
        """Stop counting a share."""
        self._shares.discard(share)
