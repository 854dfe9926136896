"""Fuzz every parser of the project: none may raise, hang or leak memory.

Each kind of input starts from valid examples, whose bytes and structure are mutated. A parser must
return a result within `MAX_PARSE_S`. A failing input is shrunk and printed with its seed.

Usage: python tools/fuzz.py [--seed=1] [--minutes=4] [--inputs=100000] [--kinds=frame,ticket]
"""

import json
import random
import resource
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire
import tomli_w
from attrs import frozen
from returns.result import Failure, Success
from wasabilb_agent.server_sent_events import EventStreamDecoder
from wasabilb_core.account_keys import hash_key
from wasabilb_core.hlc import parse_timestamp
from wasabilb_core.json_fields import InvalidFieldError, JsonObject, parse_json
from wasabilb_core.manifest import parse_manifest
from wasabilb_core.once import parse_key
from wasabilb_core.published_bounds import DURATION_MS, SLOTS
from wasabilb_core.settings import AgentSettings, EntrySettings, parse_settings
from wasabilb_core.status import parse_status
from wasabilb_core.tickets import parse_ticket
from wasabilb_core.timeline import parse_event
from wasabilb_entry.prompts import parse_prompt
from wasabilb_node.platform_answers import to_hosts, to_index
from wasabilb_wire.codec import LENGTH_PREFIX, FrameBuffer, encode
from wasabilb_wire.messages import Call, Header, Ping, Report, StreamData, TicketPush

MAX_PARSE_S = 1.0
MAX_GROWTH_BYTES = 256 << 20
WORKERS = 4
SHRINK_TRIES = 400
MAX_REASON_CHARS = 300
INTERESTING = [
    b"\x00",
    b"\xff",
    b"\xed\xa0\x80",
    b'"',
    b"[",
    b"{",
    b"]]",
    b"=",
    b"\n",
    b"1e999",
    b"-1",
]


@frozen(kw_only=True)
class InputKind:
    """One kind of input.

    Parameters
    ----------
    examples : tuple of bytes
        Valid inputs.
    parse : callable
        Parses one input; an exception is a fault of the parser.
    """

    examples: tuple[bytes, ...]
    parse: Callable[[bytes], None]


def text_parser(parse: Callable[[str], object]) -> Callable[[bytes], None]:
    """Wrap a parser that takes text and returns a result, to take bytes."""

    def run(data: bytes) -> None:
        result = parse(data.decode("utf-8", "replace"))
        if not isinstance(result, Success | Failure):
            raise TypeError(f"returned {type(result).__name__}")

    return run


def bytes_parser(parse: Callable[[bytes], object]) -> Callable[[bytes], None]:
    """Wrap a parser that takes bytes and returns a result, to check its return type."""

    def run(data: bytes) -> None:
        result = parse(data)
        if not isinstance(result, Success | Failure):
            raise TypeError(f"returned {type(result).__name__}")

    return run


def parse_stream(data: bytes) -> None:
    """Parse a byte stream of frames in two parts, as a link does."""
    from wasabilb_wire import codec

    buffer = FrameBuffer()
    half = len(data) // 2
    for part in (data[:half], data[half:]):
        frames = buffer.feed(part)
        if isinstance(frames, Failure):
            return
        for frame in frames.unwrap():
            read = getattr(codec, "read_frame", codec.decode)
            if isinstance(read(frame), Failure):
                return


def parse_events(data: bytes) -> None:
    """Parse server-sent events; an oversized event raises ValueError by contract."""
    stream = EventStreamDecoder()
    try:
        stream.feed(data[: len(data) // 2])
        stream.feed(data[len(data) // 2 :])
    except ValueError:
        return


def parse_fields(data: bytes) -> None:
    """Read fields of a JSON object, whose values are refused by an error of their own."""
    try:
        fields = JsonObject(parse_json(data, max_bytes=1 << 20))
        fields.text("name")
        fields.address("address")
        fields.whole("slots", SLOTS)
        fields.number("timeout", DURATION_MS)
        fields.texts("keys")
        list(fields.objects("parts"))
    except InvalidFieldError as exc:
        if len(str(exc)) > MAX_REASON_CHARS:
            raise TypeError("the reason is too long") from exc


def ticket_example() -> bytes:
    """Return a valid ticket that uses every section."""
    body = {
        "number": 7,
        "title": "new model",
        "models": [
            {"name": "draft", "version": "v2", "while_loading": "v1", "runners": ["r1", "r2"]}
        ],
        "services": [
            {
                "name": "bookings",
                "hosts": ["b1"],
                "once_calls": [{"method": "POST", "path": "/book"}],
                "opaque_key_window_s": 60.0,
            }
        ],
        "hosts": [
            {
                "name": "r1",
                "role": "backend",
                "address": "10.0.0.1:7000",
                "region": "Dublin",
                "failure_domain": "dub",
                "state": "joining",
            }
        ],
        "accounts": [{"name": "salon", "key_hash": hash_key("k" * 24, bytes(8)), "weight": 2.0}],
    }
    return tomli_w.dumps(body).encode()


def settings_example(name: str) -> bytes:
    """Return valid settings of an entry process or of an agent."""
    body = {
        "host": "h1",
        "region": "Dublin",
        "failure_domain": "dub",
        "listen": "127.0.0.1:7000",
        "seeds": ["127.0.0.1:7001"],
        "platform": {"config_service": "http://127.0.0.1:1", "store": "http://127.0.0.1:2"},
        "timeouts": {"drain_s": 60.0},
    }
    role_body = {"callers": {"listen": "127.0.0.1:8080"}}
    if name == "agent":
        role_body = {"engine": {"url": "http://127.0.0.1:3"}}
    return tomli_w.dumps(body | role_body).encode()


def manifest_example() -> bytes:
    """Return a valid manifest."""
    data = {
        "model": "draft",
        "version": "v1",
        "adapter": "",
        "size": 300,
        "chunk_size": 100,
        "chunks": [f"{index:064x}" for index in range(3)],
        "digest": "0" * 64,
    }
    return json.dumps(data).encode()


def frame_examples() -> tuple[bytes, ...]:
    """Return frames of several kinds."""
    call = Call(
        id=1,
        request_id="q",
        target="draft",
        deadline_ms=1000,
        credit=65536,
        body=b"{}" * 20,
        headers=[Header(name="A", value="b")],
    )
    messages = [
        Ping(state_digest=1, newest=2, wall_ms=3, hlc=4),
        Report(ready=["draft@v1"], slots=8),
        TicketPush(number=1, text="number = 1"),
        StreamData(id=1, position=2, count=1, payload=b'["a"]'),
    ]
    return (*(encode(message) for message in messages), encode(call), encode(call) + encode(call))


PROMPT = b'{"model":"draft","prompt":"hi","max_tokens":5,"stream":true,"temperature":0.5}'
CHAT = b'{"model":"draft","messages":[{"role":"user","content":"hi"}]}'
LOG_LINE = b"ts=2026-12-04T03:30:41.487Z mono=1.5 hlc=5.0 level=INFO event=link_up peer=e1"
STATUS = b'{"host":"e1","hosts":[{"name":"r1","variants":["draft@v1"]}],"links":[{"peer":"e2"}]}'
KEY = b"wl1.bookings.b1.1f.1796355042255.0123456789abcdef0123456789abcdef"

FIELDS = b'{"name":"a","address":"10.0.0.1:80","slots":4,"timeout":1.5,"keys":["a"],"parts":[{}]}'
HOSTS = (
    b'{"era":1,"as_of":3,"hosts":[{"name":"h","state":"live","era":1},{"name":"g","state":"gone"}]}'
)
INDEX = b'{"era":1,"tickets":[{"number":4,"era":1,"digest":"00000000000000ff"}]}'

INPUT_KINDS: dict[str, InputKind] = {
    "json fields": InputKind(examples=(FIELDS,), parse=parse_fields),
    "host list": InputKind(examples=(HOSTS,), parse=bytes_parser(to_hosts)),
    "ticket index": InputKind(examples=(INDEX,), parse=bytes_parser(to_index)),
    "frame": InputKind(examples=frame_examples(), parse=parse_stream),
    "ticket": InputKind(examples=(ticket_example(),), parse=text_parser(parse_ticket)),
    "entry settings": InputKind(
        examples=(settings_example("entry"),),
        parse=text_parser(lambda text: parse_settings(text, EntrySettings)),
    ),
    "agent settings": InputKind(
        examples=(settings_example("agent"),),
        parse=text_parser(lambda text: parse_settings(text, AgentSettings)),
    ),
    "manifest": InputKind(examples=(manifest_example(),), parse=bytes_parser(parse_manifest)),
    "prompt": InputKind(
        examples=(PROMPT,), parse=bytes_parser(lambda data: parse_prompt(data, is_chat=False))
    ),
    "chat": InputKind(
        examples=(CHAT,), parse=bytes_parser(lambda data: parse_prompt(data, is_chat=True))
    ),
    "key": InputKind(examples=(KEY,), parse=text_parser(lambda text: parse_key(text, text[:9]))),
    "log line": InputKind(examples=(LOG_LINE,), parse=text_parser(parse_event)),
    "stamp": InputKind(examples=(b"1796355042255.3",), parse=text_parser(parse_timestamp)),
    "status": InputKind(examples=(STATUS,), parse=text_parser(parse_status)),
    "engine events": InputKind(
        examples=(b'data: {"index":0,"text":"a"}\n\ndata: [DONE]\n\n',), parse=parse_events
    ),
}


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return the input with a few random changes."""
    mutated = bytearray(data)
    for _ in range(rng.choice((1, 1, 2, 4, 16))):
        offset = rng.randrange(len(mutated) + 1)
        stop = min(len(mutated), offset + rng.choice((1, 1, 2, 8, 64)))
        match rng.randrange(6):
            case 0 if mutated:
                mutated[min(offset, len(mutated) - 1)] ^= 1 << rng.randrange(8)
            case 1:
                del mutated[offset:stop]
            case 2:
                mutated[offset:offset] = mutated[offset:stop] * rng.choice((1, 2, 50))
            case 3:
                mutated[offset:offset] = rng.choice(INTERESTING)
            case 4:
                mutated[offset:stop] = rng.randbytes(stop - offset)
            case 5:
                mutated[offset:offset] = LENGTH_PREFIX.pack(rng.choice((0, 1, 1 << 20, 1 << 31)))
    return bytes(mutated)


def find_fault(kind: InputKind, data: bytes) -> str:
    """Return the fault of the parser on this input, or an empty string."""
    started = time.perf_counter()
    try:
        kind.parse(data)
    except Exception as exc:
        return f"{type(exc).__name__}: {exc}"
    duration_s = time.perf_counter() - started
    return f"took {duration_s:.1f} s" if duration_s > MAX_PARSE_S else ""


def shrink(kind: InputKind, data: bytes) -> bytes:
    """Return a smaller input that also fails."""
    size = max(1, len(data) // 2)
    for _ in range(SHRINK_TRIES):
        for start in range(0, len(data), size):
            shorter = data[:start] + data[start + size :]
            if find_fault(kind, shorter):
                data = shorter
                break
        else:
            if size == 1:
                break
            size = max(1, size // 2)
    return data


def run_kind(
    name: str, seed: int, inputs: int, seconds: float
) -> tuple[str, int, float, list[str]]:
    """Fuzz one kind; return its name, inputs, seconds and failures."""
    kind = INPUT_KINDS[name]
    rng = random.Random(f"{seed} {name}")
    failures: list[str] = []
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    started = time.monotonic()
    count = 0
    while count < inputs or time.monotonic() - started < seconds:
        data = mutate(rng.choice(kind.examples), rng)
        count += 1
        fault = find_fault(kind, data)
        if fault and len(failures) < 3:
            failures.append(f"{fault}; input {shrink(kind, data)!r}, number {count}, seed {seed}")
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 - before
    if grown > MAX_GROWTH_BYTES:
        failures.append(f"memory grew by {grown >> 20} MiB")
    return name, count, time.monotonic() - started, failures


def main(seed: int = 1, minutes: float = 0.0, inputs: int = 100_000, kinds: str = "") -> None:
    """Fuzz all kinds and print totals and failures; exit with 1 after a failure."""
    names = kinds.split(",") if kinds else list(INPUT_KINDS)
    seconds = minutes * 60 * WORKERS / len(names)
    results = []
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        jobs = [pool.submit(run_kind, name, seed, inputs, seconds) for name in names]
        for job in jobs:
            name, count, duration_s, failures = job.result()
            results.append((name, count, duration_s, failures))
            print(
                f"{name:16} {count:9} inputs {duration_s:7.1f} s {len(failures)} failures",
                flush=True,
            )
            for failure in failures:
                print(f"  {failure}")
    path = Path("out/fuzz.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps({"seed": seed, "results": results}, indent=1), encoding="utf-8")
    failed = sum(len(failures) for *_, failures in results)
    print(f"verdict: {failed} failures, seed {seed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
