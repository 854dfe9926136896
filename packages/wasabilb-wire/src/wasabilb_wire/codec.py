"""Encodes messages as frames and decodes them, with Cap'n Proto serialization."""

import re
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import attrs
import capnp
from returns.result import Failure, Result, Success
from wasabilb_core.crash_reports import BlockedPart, CrashReport
from wasabilb_core.entry_roster import EntryPlace
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.lent_limits import PermitTransfer
from wasabilb_core.runner_limits import LimitNews

from wasabilb_wire import messages
from wasabilb_wire.messages import AccountUsage, Header, KeyRecord, Message, PublishedItem

MAX_FRAME_BYTES = 2 << 20
# More than the tickets, headers or key records in any message.
MAX_LIST_ITEMS = 16_384
LENGTH_PREFIX = struct.Struct("<I")
# Bit of the length that marks a frame in Cap'n Proto's packed encoding.
PACKED_FLAG = 1 << 31
# Packing removes most zero bytes of control messages; larger frames are mostly text.
MAX_PACKED_BYTES = 4096
# Two packed bytes can expand to 2 KiB, so the expansion of a packed frame has its own limit: the
# reader rejects a larger one before it allocates memory for it.
MAX_EXPANDED_WORDS = 2 * MAX_PACKED_BYTES // 8
# Payloads do not compress, and every protocol version must be able to decode each hello.
_NEVER_PACKED = (messages.Hello, messages.StreamData, messages.ChunkData)

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).parent / "schema" / "wasabilb.capnp"))


def _camel_case(name: str) -> str:
    """Return the name of a field in the schema."""
    return re.sub(r"_(\w)", lambda found: found.group(1).upper(), name)


def _union_member(message_type: type) -> str:
    """Return the name of a message class in the schema's union."""
    name = "Data" if message_type is messages.StreamData else message_type.__name__
    return name[0].lower() + name[1:]


MESSAGE_TYPES: tuple[type[Message], ...] = tuple(
    message_type
    for message_type in vars(messages).values()
    if isinstance(message_type, type)
    and issubclass(message_type, Message)
    and message_type is not Message
)
_UNION_MEMBERS: dict[type, str] = {
    message_type: _union_member(message_type) for message_type in MESSAGE_TYPES
}
_ITEM_TYPES: dict[tuple[type, str], type] = {
    (messages.Call, "headers"): Header,
    (messages.Head, "headers"): Header,
    (messages.Usage, "accounts"): AccountUsage,
    (messages.Released, "records"): KeyRecord,
    (messages.Published, "items"): PublishedItem,
    (messages.NodeBeat, "entries"): EntryPlace,
    (messages.LimitNotice, "transfers"): PermitTransfer,
    (messages.LimitNotice, "news"): LimitNews,
    (messages.CrashNotice, "crashes"): CrashReport,
    (messages.CrashNotice, "blocked"): BlockedPart,
    (messages.CrashNotice, "blocked_requests"): BlockedPart,
}
_ITEM_CLASSES = (
    Header,
    KeyRecord,
    AccountUsage,
    PublishedItem,
    EntryPlace,
    PermitTransfer,
    LimitNews,
    CrashReport,
    BlockedPart,
)


def _unchanged(value: Any) -> Any:
    return value


def _check_length(values: Any) -> Any:
    """Return a list value whose length is within the limit.

    A list of empty elements takes no space, so a small frame can declare millions of them; reading
    such a list took 5 s.
    """
    if len(values) > MAX_LIST_ITEMS:
        raise ValueError(f"list of {len(values)} items, expected at most {MAX_LIST_ITEMS}")
    return values


def _field_decoder(message_type: type, field: Any) -> Callable[[Any], Any]:
    """Return the conversion from a schema value to a field's value."""
    item = _ITEM_TYPES.get((message_type, field.name))
    if item is not None:
        fields = _field_decoders(item)
        return lambda values: [
            item(**{name: read(getattr(value, camel)) for name, camel, read in fields})
            for value in _check_length(values)
        ]
    if str(field.type).startswith("list"):
        return lambda values: list(_check_length(values))
    if field.type is bytes:
        return bytes
    return _unchanged


def _field_decoders(message_type: type) -> tuple[tuple[str, str, Callable[[Any], Any]], ...]:
    return tuple(
        (f.name, _camel_case(f.name), _field_decoder(message_type, f))
        for f in attrs.fields(message_type)
    )


def _schema_fields(message_type: type) -> tuple[tuple[str, Any, Callable[[Any], Any]], ...]:
    """Return name, schema field and decoder of each field of a message."""
    fields = _UNION[_UNION_MEMBERS[message_type]].schema.fields
    return tuple((name, fields[camel], read) for name, camel, read in _field_decoders(message_type))


# Access by schema field avoids pycapnp's attribute lookup by name, which takes a third of the time
# of a frame.
_UNION = _SCHEMA.Frame.schema.fields
_FIELDS = {message_type: _schema_fields(message_type) for message_type in MESSAGE_TYPES}
_TYPES_BY_MEMBER: dict[str, tuple[Any, type[Message]]] = {
    member: (_UNION[member], message_type) for message_type, member in _UNION_MEMBERS.items()
}


def encode(message: Message) -> bytes:
    """Return the frame of a message with its length prefix.

    Raises
    ------
    ValueError
        When the frame exceeds `MAX_FRAME_BYTES`; senders limit the size of their messages.
    """
    message_type = type(message)
    frame = _SCHEMA.Frame.new_message()
    target = frame.init(_UNION_MEMBERS[message_type])
    for name, schema_field, _ in _FIELDS[message_type]:
        value = getattr(message, name)
        if type(value) is list:
            if not value:
                continue
            value = [_to_capnp(v) for v in value]
        target._set_by_field(schema_field, value)
    payload: bytes = frame.to_bytes()
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(payload)} bytes, expected at most {MAX_FRAME_BYTES}")
    if len(payload) < MAX_PACKED_BYTES and message_type not in _NEVER_PACKED:
        frame.clear_write_flag()
        packed: bytes = frame.to_bytes_packed()
        if len(packed) < len(payload):
            return LENGTH_PREFIX.pack(len(packed) | PACKED_FLAG) + packed
    return LENGTH_PREFIX.pack(len(payload)) + payload


def _to_capnp(value: Any) -> Any:
    """Return a list item in the form that pycapnp accepts."""
    if not isinstance(value, _ITEM_CLASSES):
        return value
    found = {_camel_case(f.name): getattr(value, f.name) for f in attrs.fields(type(value))}
    return {n: [_to_capnp(i) for i in v] if type(v) is list else v for n, v in found.items()}


class Frame(NamedTuple):
    """A received frame without its length prefix."""

    payload: bytes
    is_packed: bool = False


def decode(frame: Frame) -> Result[Message, Error]:
    """Return the message of a frame, or fail with `BAD_FRAME`."""
    found = read_frame(frame)
    return Failure(found) if isinstance(found, Error) else Success(found)


def read_frame(frame: Frame) -> Message | Error:
    """Return the message of a frame or the error, without the container that `decode` adds."""
    payload, is_packed = frame
    try:
        if is_packed:
            return _to_message(
                _SCHEMA.Frame.from_bytes_packed(
                    payload, traversal_limit_in_words=MAX_EXPANDED_WORDS
                )
            )
        with _SCHEMA.Frame.from_bytes(payload) as reader:
            return _to_message(reader)
    except Exception as exc:
        # pycapnp raises several unrelated exception types for malformed input.
        detail = f"malformed frame of {len(payload)} bytes: {type(exc).__name__}"
        return Error(kind=ErrorKind.BAD_FRAME, detail=detail)


def _to_message(reader: Any) -> Message:
    member, message_type = _TYPES_BY_MEMBER[reader._which_str()]
    get = reader._get_by_field(member)._get_by_field
    return message_type(**{name: read(get(field)) for name, field, read in _FIELDS[message_type]})


class FrameBuffer:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Result[list[Frame], Error]:
        """Add received bytes and return the frames that are now complete."""
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(buffer, start)
            is_packed = size >= PACKED_FLAG
            limit = MAX_PACKED_BYTES if is_packed else MAX_FRAME_BYTES
            size -= PACKED_FLAG if is_packed else 0
            if not 0 < size <= limit:
                detail = f"frame length {size}, expected 1 to {limit}"
                return Failure(Error(kind=ErrorKind.BAD_FRAME, detail=detail))
            stop = start + LENGTH_PREFIX.size + size
            if len(buffer) < stop:
                break
            frames.append(Frame(bytes(buffer[start + LENGTH_PREFIX.size : stop]), is_packed))
            start = stop
        del buffer[:start]
        return Success(frames)
