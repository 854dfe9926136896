"""Prefix cache of the engine stand-in, and its events."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

from attrs import asdict, frozen
from wasabilb_core.tickets import Variant

BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_CHARS // CHARS_PER_TOKEN


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(prompt) // CHARS_PER_TOKEN + 1


def block_hashes(variant: Variant, prompt: str) -> list[str]:
    """Return the chained hashes of the full blocks of a prompt.

    Each hash covers the variant and the text up to the end of its block, so that equal hashes mean
    equal prefixes.
    """
    hashes = []
    previous = str(variant)
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS]
        previous = hashlib.blake2b(f"{previous}\0{block}".encode(), digest_size=8).hexdigest()
        hashes.append(previous)
    return hashes


@frozen(kw_only=True)
class CacheEvent:
    """Change of the cache; `kind` is `stored` or `evicted`."""

    seq: int
    at: float
    kind: str
    block: str
    model: str
    adapter: str
    version: str

    def to_json(self) -> dict[str, object]:
        """Return the event as the engine publishes it."""
        fields = asdict(self)
        del fields["at"]
        return fields


class PrefixCache:
    """Cache of prompt prefix blocks with least-recently-used eviction.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    clock : callable
        Returns the time of events, in seconds.
    """

    # A reader that is further behind gets a gap in the sequence numbers.
    max_events = 8192

    def __init__(self, *, capacity: int, clock: Callable[[], float]) -> None:
        self._capacity = capacity
        self._clock = clock
        self._blocks: OrderedDict[str, Variant] = OrderedDict()
        self._events: OrderedDict[int, CacheEvent] = OrderedDict()
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_prefix(self, variant: Variant, prompt: str) -> list[str]:
        """Return the hashes of the cached blocks at the start of a prompt."""
        found = []
        for block in block_hashes(variant, prompt):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            found.append(block)
        return found

    def missing_tokens(self, variant: Variant, prompt: str) -> int:
        """Return the number of prompt tokens that need prefill."""
        return prompt_tokens(prompt) - len(self.cached_prefix(variant, prompt)) * TOKENS_PER_BLOCK

    def store(self, variant: Variant, blocks: list[str]) -> None:
        """Add blocks and evict the least recently used ones beyond the capacity."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block, variant)
            self._blocks[block] = variant
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            block, owner = self._blocks.popitem(last=False)
            self._record_event("evicted", block, owner)

    def drop(self, variant: Variant) -> None:
        """Evict all blocks of a variant that was unloaded."""
        for block in [b for b, owner in self._blocks.items() if owner == variant]:
            del self._blocks[block]
            self._record_event("evicted", block, variant)

    def events(self, *, after: int, until: float, drop_every: int) -> list[CacheEvent]:
        """Return the events with numbers above `after` that are not newer than `until`.

        Parameters
        ----------
        drop_every : int
            Omits events whose number is a multiple of this; 0 omits none.
        """
        return [
            event
            for event in self._events.values()
            if event.seq > after
            and event.at <= until
            and not (drop_every and event.seq % drop_every == 0)
        ]

    def _record_event(self, kind: str, block: str, variant: Variant) -> None:
        self._seq += 1
        self._events[self._seq] = CacheEvent(
            seq=self._seq,
            at=self._clock(),
            kind=kind,
            block=block,
            model=variant.model,
            adapter=variant.adapter,
            version=variant.version,
        )
        if len(self._events) > self.max_events:
            self._events.popitem(last=False)
