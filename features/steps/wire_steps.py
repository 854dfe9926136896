"""Steps about frames and messages."""

import random
import resource
import time
import tracemalloc

import attrs
from behave import then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from returns.result import Failure, Success
from wasabilb_core.crash_reports import BlockedPart, CrashReport
from wasabilb_core.entry_roster import EntryPlace
from wasabilb_core.errors import ErrorKind
from wasabilb_core.lent_limits import PermitTransfer
from wasabilb_core.runner_limits import LimitNews
from wasabilb_wire.codec import (
    LENGTH_PREFIX,
    MAX_EXPANDED_WORDS,
    MAX_FRAME_BYTES,
    MAX_PACKED_BYTES,
    MESSAGE_TYPES,
    PACKED_FLAG,
    Frame,
    FrameBuffer,
    decode,
    encode,
)
from wasabilb_wire.messages import (
    AccountUsage,
    Call,
    Header,
    KeyRecord,
    Message,
    Ping,
    PublishedItem,
    Report,
    VersionAge,
)

TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\x00"), max_size=20)
VALUES = {
    int: st.integers(0, 255),
    float: st.just(0.5),
    bool: st.booleans(),
    str: TEXT,
    bytes: st.binary(max_size=50),
    list[int]: st.lists(st.integers(0, 2**63), max_size=4),
    list[str]: st.lists(TEXT, max_size=4),
    list[Header]: st.lists(st.builds(Header, name=TEXT, value=TEXT), max_size=3),
    list[KeyRecord]: st.lists(
        st.builds(
            KeyRecord,
            text=TEXT,
            account=TEXT,
            digest=TEXT,
            has_time=st.booleans(),
            created_ms=st.integers(0, 2**48),
            generation=st.integers(0, 2**48),
            state=TEXT,
        ),
        max_size=2,
    ),
    list[AccountUsage]: st.lists(
        st.builds(
            AccountUsage,
            account=TEXT,
            demand=st.just(0.25),
            share=st.just(1.5),
            given=st.floats(0, 10),
        ),
        max_size=3,
    ),
    list[VersionAge]: st.lists(
        st.builds(
            VersionAge,
            model=TEXT,
            version=st.integers(0, 2**32 - 1),
            era=st.integers(0, 2**64 - 1),
            revision=st.integers(0, 2**64 - 1),
            age_ms=st.integers(0, 2**32 - 1),
        ),
        max_size=3,
    ),
    list[PublishedItem]: st.lists(
        st.builds(
            PublishedItem,
            name=TEXT,
            revision=st.integers(0, 2**48),
            is_removed=st.booleans(),
            body=st.binary(max_size=30),
            is_packed=st.booleans(),
            era=st.integers(0, 2**48),
        ),
        max_size=3,
    ),
    list[CrashReport]: st.lists(
        st.builds(
            CrashReport,
            runner=TEXT,
            born_ms=st.integers(0, 2**48),
            age_s=st.just(0.5),
            started=st.lists(st.integers(0, 2**64 - 1), max_size=3),
            waiting=st.lists(st.integers(0, 2**64 - 1), max_size=3),
            probes=st.lists(st.integers(0, 2**64 - 1), max_size=3),
        ),
        max_size=3,
    ),
    list[BlockedPart]: st.lists(
        st.builds(
            BlockedPart,
            part=st.integers(0, 2**64 - 1),
            age_s=st.just(1.5),
            crashes=st.integers(0, 2**16),
            turn=st.integers(0, 2**16),
            companions=st.lists(st.integers(0, 2**64 - 1), max_size=3),
        ),
        max_size=3,
    ),
    list[PermitTransfer]: st.lists(
        st.builds(
            PermitTransfer,
            name=TEXT,
            permits=st.just(0.75),
            wanted=st.integers(0, 2**16),
            held=st.integers(0, 2**16),
            hosts=st.integers(0, 2**16),
            demand=st.floats(0, 10),
        ),
        max_size=3,
    ),
    list[LimitNews]: st.lists(
        st.builds(
            LimitNews,
            runner=TEXT,
            born_ms=st.integers(0, 2**48),
            per_s=st.just(-1.0),
            age_s=st.floats(0, 10),
        ),
        max_size=3,
    ),
    list[EntryPlace]: st.lists(
        st.builds(EntryPlace, address=TEXT, failure_domain=TEXT, count=st.integers(0, 2**48)),
        max_size=3,
    ),
}


def messages_of(kind: type[Message]) -> st.SearchStrategy[Message]:
    """Return a strategy for one message type."""
    return st.builds(kind, **{f.name: VALUES[f.type] for f in attrs.fields(kind)})


def frame_of(message: Message) -> Frame:
    """Return the frame of a message as it is received."""
    (frame,) = FrameBuffer().feed(encode(message)).unwrap()
    return frame


ANY_MESSAGE = st.one_of([messages_of(kind) for kind in MESSAGE_TYPES])


@when("each message type is encoded and decoded with random values")
def step_round_trip(context):
    context.unequal = []
    context.kinds = set()

    @property_given(st.tuples(*[messages_of(kind) for kind in MESSAGE_TYPES]))
    def check(sent):
        for message in sent:
            context.kinds.add(type(message))
            received = decode(frame_of(message)).unwrap()
            if received != message:
                context.unequal.append((message, received))

    check()


@then("the decoded messages equal the sent ones")
def step_equal(context):
    assert context.unequal == [] and len(context.kinds) == len(MESSAGE_TYPES) == 29


@when("random, truncated and mutated frames are decoded")
def step_hostile(context):
    context.results = []

    @property_given(ANY_MESSAGE, st.binary(max_size=100), st.integers(0, 2**32))
    def check(message, noise, seed):
        rng = random.Random(seed)
        frame, is_packed = frame_of(message)
        cut = frame[: rng.randrange(len(frame))]
        mutated = bytearray(frame)
        mutated[rng.randrange(len(frame))] ^= 1 << rng.randrange(8)
        hostile = [noise, cut, bytes(mutated)]
        context.results += [decode(Frame(raw, is_packed)) for raw in hostile]
        context.results += [decode(Frame(raw, not is_packed)) for raw in hostile]

    check()


@then("each gives a message or a bad-frame error")
def step_refused_frames(context):
    refused = [r.failure() for r in context.results if isinstance(r, Failure)]
    assert len(context.results) >= 600 and len(refused) >= 200
    assert all(error.kind is ErrorKind.BAD_FRAME for error in refused)
    assert all(isinstance(r, Success | Failure) for r in context.results)


@then("an oversized length is refused before its body arrives")
def step_oversized(context):
    buffer = FrameBuffer()
    whole = encode(Ping(state_digest=1, newest=2, wall_ms=3, hlc=4))
    assert len(buffer.feed(whole + whole[:3]).unwrap()) == 1
    assert buffer.feed(whole[3:]).unwrap() == [Frame(whole[LENGTH_PREFIX.size :], True)]
    for length in (MAX_FRAME_BYTES + 1, PACKED_FLAG | MAX_PACKED_BYTES + 1, PACKED_FLAG, 0):
        refused = FrameBuffer().feed(LENGTH_PREFIX.pack(length))
        assert refused.failure().kind is ErrorKind.BAD_FRAME


@when("packed frames claim or contain far more than their bound")
def step_bombs(context):
    zeros = b"\x00\xff" * (MAX_PACKED_BYTES // 2 - 8)
    words = range(MAX_EXPANDED_WORDS + 1, 2**24, 99_991)
    # The segment table comes first: one segment with this number of words.
    claims = [b"\xf0" + LENGTH_PREFIX.pack(count) + zeros for count in words]
    context.results = []
    tracemalloc.start()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for raw in [zeros, *claims, *(raw[:5] for raw in claims)]:
        context.results.append(decode(Frame(raw, True)))
    context.memory_growth = tracemalloc.get_traced_memory()[1]
    context.memory_growth += (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) * 1024
    tracemalloc.stop()


@then("each is refused without memory for what it claims")
def step_no_memory(context):
    assert len(context.results) > 300
    assert all(result.failure().kind is ErrorKind.BAD_FRAME for result in context.results)
    assert context.memory_growth < 8 << 20, context.memory_growth


@then("control frames take at most {size:d} bytes")
def step_small(context, size):
    # In two years, the 28 links of an entry host share 3 KB/s, with one frame a second each.
    stamp = dict(newest=230, wall_ms=1_800_000_000_000, hlc=1_800_000_000_000 << 16)
    stamp |= dict(state_digest=0x1234_5678_9ABC_DEF0, sent_now=86_400.123456)
    frames = [Ping(**stamp), Report(ready=["draft@v1"], slots=8, running=3, **stamp)]
    sizes = [len(encode(message)) for message in frames]
    assert max(sizes) <= size, sizes


@when("a call frame announces {count:d} empty headers")
def step_announced(context, count):
    message = Call(
        id=1,
        request_id="q",
        target="t",
        deadline_ms=1,
        credit=1,
        headers=[Header(name="A", value="b")],
        body=bytes(MAX_PACKED_BYTES),
    )
    frame = bytearray(encode(message)[LENGTH_PREFIX.size :])
    # The list's tag word holds the number of elements shifted by two, then their size in words.
    tag = frame.index((1 << 2).to_bytes(4, "little") + b"\x00\x00\x02\x00")
    frame[tag : tag + 8] = (count << 2).to_bytes(4, "little") + bytes(4)
    started = time.perf_counter()
    context.result = decode(Frame(bytes(frame)))
    context.duration_s = time.perf_counter() - started


@then("it is refused as a bad frame within {limit:f} s")
def step_refused_soon(context, limit):
    assert isinstance(context.result, Failure), "the frame was decoded"
    assert context.result.failure().kind is ErrorKind.BAD_FRAME
    assert context.duration_s < limit, context.duration_s
