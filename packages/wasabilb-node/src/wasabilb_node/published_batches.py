"""Answers to requests of peers for published state."""

from wasabilb_core.published import PublishedState
from wasabilb_core.state_position import StatePosition
from wasabilb_wire.messages import Published, PublishedItem, VersionAge

from wasabilb_node.item_compression import ItemPacker

# An answer is split into messages of at most this size; a frame is limited to 2 MiB.
MAX_BATCH_BYTES = 1 << 20
# Bytes of an item beside its name and body. A message of the maximum size then has fewer items than
# the receiver's limit of 16,384.
ITEM_BYTES = 64


def to_batches(
    state: PublishedState,
    after: StatePosition,
    *,
    packer: ItemPacker,
    distrust_ms: int,
    ages: list[VersionAge] | None = None,
    sent_ms: int = 0,
    max_bytes: int = MAX_BATCH_BYTES,
) -> list[Published]:
    """Return the messages with all changes after a position.

    Parameters
    ----------
    state : PublishedState
        The published state.
    after : StatePosition
        Position up to which the peer knows all items.
    packer : ItemPacker
        Compresses items.
    distrust_ms : int
        Time for which removed entries may only have expired, milliseconds.
    ages : list of VersionAge or None
        Ages of named versions, which are in the first message and so arrive before the versions.
    sent_ms : int
        The peer's time of its request, milliseconds.
    max_bytes : int
        Maximum size of the items of one message, unless it has only one.
    """
    era_start = StatePosition(era=state.position.era)
    changes, begin = state.changes_after(after)
    batch, size = list[PublishedItem](), 0
    end = era_start
    messages: list[Published] = []

    def add_message(position: StatePosition, *, is_last: bool) -> None:
        messages.append(
            Published(
                after=begin.revision,
                after_era=begin.era,
                revision=position.revision,
                era=position.era,
                items=batch,
                distrust_ms=distrust_ms,
                is_last=is_last,
                ages=[] if messages else ages or [],
                sent_ms=sent_ms,
            )
        )

    for item in changes:
        packed = packer.pack(item)
        item_bytes = len(packed.name.encode()) + len(packed.body) + ITEM_BYTES
        if batch and size + item_bytes > max_bytes:
            add_message(end, is_last=False)
            begin, batch, size = max(begin, end), [], 0
        # Retained items of earlier eras come first.
        end = max(item.position, era_start)
        batch.append(packed)
        size += item_bytes
    add_message(state.position, is_last=True)
    return messages
