"""Steps about odd entries of runners in the form of the operators' platform."""

import asyncio
import json
import math

import attrs
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from odd_json import any_json
from platform_examples import DECODER, RUNNER, item
from returns.result import Success
from wasabilb_core.crash_reports import CrashReport
from wasabilb_core.errors import unavailable
from wasabilb_core.published import StateItem
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_limits import LimitNews
from wasabilb_node.http_client import ConnectionPool
from wasabilb_node.published_node import NodePlace, PublishedNode
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot, Unusable
from wasabilb_standins.fleet import free_address
from wasabilb_wire.codec import FrameBuffer, decode, encode
from wasabilb_wire.messages import (
    CrashNotice,
    LimitNotice,
    RunnerReport,
    SendNotice,
)

MAX_DETAIL_CHARS = 200


def changed(**changes):
    """Return a sound entry with changes; None removes a field."""
    return {name: v for name, v in {**RUNNER, **changes}.items() if v is not None}


def raw(name, text):
    """Return a sound entry with a raw JSON text as one field."""
    return json.dumps(changed(**{name: "RAW"})).replace('"RAW"', text).encode()


ADDRESS = "10.0.0.1"
LAYERS = RUNNER["layers"]
# Bodies of entries, or names and bodies.
RUNNER_ODDITIES = {
    "a cold time of 400 digits": raw("coldLeftMs", "9" * 400),
    "a cold time of 5,000 digits": raw("coldLeftMs", "9" * 5000),
    "the cold time 1e999": raw("coldLeftMs", "1e999"),
    "the cold time NaN": raw("coldLeftMs", "NaN"),
    "the cold time Infinity": raw("coldLeftMs", "Infinity"),
    "a negative cold time": changed(coldLeftMs=-1),
    "true as the cold time": changed(coldLeftMs=True),
    "no cold time": changed(coldLeftMs=None),
    "port 99999": changed(address=f"{ADDRESS}:99999"),
    "port ²": changed(address=f"{ADDRESS}:²"),
    "port 0": changed(address=f"{ADDRESS}:0"),
    "port 080": changed(address=f"{ADDRESS}:080"),
    "a port of 5,000 digits": changed(address=f"{ADDRESS}:{'9' * 5000}"),
    "a space in the address": changed(address=f" {ADDRESS}:80"),
    "an address that cannot be encoded": changed(address="\ud800:80"),
    "a zero byte in the address": changed(address=f"{ADDRESS}\0:80"),
    "a host name as its address": changed(address="runner.example:80"),
    "an IPv6 address": changed(address="[::1]:80"),
    "the address of any host": changed(address="0.0.0.0:80"),
    "a broadcast address": changed(address="255.255.255.255:80"),
    "a list as its address": changed(address=[f"{ADDRESS}:80"]),
    "slots of 70 bits": changed(slots=1 << 69),
    "100,000 slots": changed(slots=100_000),
    "no slots": changed(slots=0),
    "negative slots": changed(slots=-1),
    "true as the slots": changed(slots=True),
    "16.5 slots": changed(slots=16.5),
    "a start of 70 bits": changed(born=1 << 69),
    "a negative start": changed(born=-1),
    "a fractional start": changed(born=1700000000000.5),
    "true as the start": changed(born=True),
    "a version of 70 bits": changed(layers={**LAYERS, "version": 1 << 69}),
    "a version of 33 bits": changed(layers={**LAYERS, "version": 1 << 32}),
    "a negative version": changed(layers={**LAYERS, "version": -1}),
    "layers reversed": changed(layers={**LAYERS, "from": 9, "to": 3}),
    "layers of 70 bits": changed(layers={**LAYERS, "to": 1 << 69}),
    "a text for the layers": changed(layers="0-16"),
    "a list for the layers": changed(layers=[0, 16]),
    "a number as its service": changed(service=7),
    "an empty service": changed(service=""),
    "a service of 100,000 bytes": changed(service="s" * 100_000),
    "a line break in the service": changed(service="s\r\nX: y"),
    "a lone surrogate in the zone": changed(zone="\ud800"),
    "no zone": changed(zone=None),
    "a number as its software version": changed(version=1),
    "a text as its sequence": changed(sequence="1"),
    "a list as its state": changed(state=["ready"]),
    "an unknown state": changed(state="Ready"),
    "nesting of 100,000 levels": b"[" * 100_000 + b"]" * 100_000,
    "nesting of 100,000 levels in an unused field": raw("x", "[" * 100_000 + "]" * 100_000),
    "nesting of 200 levels in an unused field": raw("x", "[" * 200 + "]" * 200),
    "a field twice": json.dumps(RUNNER).replace("{", '{"slots": 4, ', 1).encode(),
    "broken text": b"\xff{",
    "text in UTF-16": json.dumps(RUNNER).encode("utf-16"),
    "an encoded surrogate": json.dumps(changed(zone="Z")).encode().replace(b"Z", b"\xed\xa0\x80"),
    "nothing": b"",
    "null": b"null",
    "2 MB": json.dumps(changed(x="x" * (2 << 20))).encode(),
    "a name with a slash": ("servers/i-1/notes", RUNNER),
    "a name with a line break": ("servers/i-1\r\nX: y", RUNNER),
    "a name that is not ASCII": ("servers/é", RUNNER),
}
# Odd, but of a runner that can be used.
USABLE_ODDITIES = {
    "an unknown zone": changed(zone="nowhere"),
    "an unknown field": changed(x=[{}]),
    "null for the layers": raw("layers", "null"),
    "a start in the year 3000": changed(born=32503680000000),
    "a fractional cold time": changed(coldLeftMs=0.5),
    "a name of 190 bytes": ("servers/" + "i" * 190, RUNNER),
}


def odd_runner(oddity):
    found = (RUNNER_ODDITIES | USABLE_ODDITIES)[oddity]
    name, value = found if isinstance(found, tuple) else ("servers/i-1", found)
    return item(name, value)


def fits_messages(runner):
    """Return whether every message about a runner arrives as it was sent."""
    messages = [
        RunnerReport(
            runner=runner.id,
            born_ms=runner.born_ms,
            version=runner.version,
            layer_from=runner.layer_from,
            layer_to=runner.layer_to,
        ),
        SendNotice(runners=[runner.id], prompt_tokens=[1]),
        CrashNotice(crashes=[CrashReport(runner=runner.id, born_ms=runner.born_ms)]),
        LimitNotice(
            news=[LimitNews(runner=runner.id, born_ms=runner.born_ms, per_s=1.0, age_s=0.0)]
        ),
    ]
    for message in messages:
        (frame,) = FrameBuffer().feed(encode(message)).unwrap()
        if decode(frame).unwrap() != message:
            return False
    return True


def is_usable(runner):
    """Return whether a runner is within the bounds that sending a request to it needs."""
    ip, _, port = runner.address.rpartition(":")
    numbers = [v for v in attrs.astuple(runner) if isinstance(v, int | float)]
    return (
        ip.isascii()
        and len(ip) <= 15
        and 0 < int(port) < 65536
        and 0 < runner.slots < 65536
        and all(math.isfinite(number) for number in numbers)
        and runner.layer_from <= runner.layer_to
        and runner.id.isascii()
        and runner.id.isprintable()
        and runner.service.isprintable()
    )


@when("the list has a runner's entry with {oddity}")
def step_entry(context, oddity):
    context.decoded = DECODER.decode(odd_runner(oddity))


@then("it names no runner, and the reason is short")
def step_unusable(context):
    assert isinstance(context.decoded, Unusable), context.decoded
    assert 0 < len(context.decoded.detail) <= MAX_DETAIL_CHARS, context.decoded


@then("it names a runner that fits every message")
def step_usable(context):
    assert isinstance(context.decoded, Runner), context.decoded
    assert is_usable(context.decoded) and fits_messages(context.decoded)


VALUES = any_json([*RUNNER, *LAYERS])


@when("random values replace random fields of a sound entry")
def step_random_fields(context):
    context.runners, context.reasons, context.unusable = 0, [], []
    fields = st.dictionaries(st.sampled_from([*RUNNER]), VALUES, min_size=1, max_size=3)
    layers = st.dictionaries(st.sampled_from([*LAYERS]), VALUES, max_size=2)

    @property_given(fields, layers, st.binary(max_size=2))
    def check(changes, layer_changes, tail):
        entry = {**RUNNER, "layers": {**LAYERS, **layer_changes}, **changes}
        body = json.dumps(entry).encode()
        for content in (body, body + tail, body[: len(body) // 2] + tail + body[len(body) // 2 :]):
            decoded = DECODER.decode(item("servers/i-1", content))
            if isinstance(decoded, Unusable):
                context.reasons.append(decoded.detail)
                continue
            context.runners += 1
            if not (is_usable(decoded) and fits_messages(decoded)):
                context.unusable.append(decoded)

    check()


@then("each runner that is decoded can be used and fits every message about it")
def step_fits(context):
    assert context.runners and not context.unusable, context.unusable[:3]


@then("each reason why the others are not used is short")
def step_short_reasons(context):
    assert context.reasons and max(map(len, context.reasons)) <= MAX_DETAIL_CHARS


class RecordingList:
    """The platform's list; the changes are given one by one."""

    def __init__(self, items):
        self.items, self.queue = items, asyncio.Queue()
        self.reads = 0

    async def snapshot(self):
        self.reads += 1
        return Success(Snapshot(items=tuple(self.items), revision=len(self.items)))

    async def changes(self, after):
        self.reads += 1
        return Success(Changes(items=(found := await self.queue.get(),), revision=found.revision))


async def refuse(*after):
    await asyncio.sleep(0.05)
    return unavailable("refused")


def make_node(name, source, log_lines):
    node = PublishedNode(
        place=NodePlace(
            name=name,
            host=name,
            role="entry",
            region="r",
            failure_domain="a",
            address=free_address(),
        ),
        decoder=DECODER,
        source=lambda pool: source,
        pool=ConnectionPool(max_idle=1),
        is_seed=True,
    )
    node.log.event = lambda event, **fields: log_lines.append((event, fields))
    for part in (node.links, node.sync, node.published, node.published._unusable_items):
        part._log = node.log
    return node


@given("a process that reads the list and another that hears of it by a link")
def step_two_nodes(context):
    odd_items = [odd_runner(oddity) for oddity in RUNNER_ODDITIES]
    sound = item("servers/sound", changed(address="10.0.0.2:80"))
    names = {}
    for number, found in enumerate([*odd_items, sound], 1):
        # Odd entries have different names, as only the newest of one name counts.
        name = found.name if found.name != "servers/i-1" else f"servers/odd-{number}"
        names[name] = StateItem(name=name, revision=number, body=found.body)
    context.first_items = list(names.values())


@when("the list has every odd entry beside a sound one, and then changes")
def step_feed(context):
    context.lines = {"reader": [], "linked": []}
    late_item = StateItem(
        name="servers/late",
        revision=1000,
        body=json.dumps(changed(address="10.0.0.3:80")).encode(),
    )

    async def main():
        listed = RecordingList(context.first_items)
        reader = make_node(
            "reader",
            PublishedSource(snapshot=listed.snapshot, changes=listed.changes),
            context.lines["reader"],
        )
        linked = make_node(
            "linked",
            PublishedSource(snapshot=refuse, changes=refuse),
            context.lines["linked"],
        )
        nodes = (reader, linked)
        for node in nodes:
            node.links.listen()
        reading = [asyncio.ensure_future(node.sync.run()) for node in nodes]
        targets = {"reader": reader.links.identity.address}
        for step in range(100):
            linked.tick(targets)
            reader.tick({})
            if step == 20:
                listed.queue.put_nowait(late_item)
            if step > 20 and all(node.published.revision == 1000 for node in nodes):
                break
            await asyncio.sleep(0.05)
        context.is_reading = [not task.done() for task in reading]
        context.runners = [sorted(r.id for r in node.published.directory) for node in nodes]
        # The nodes are closed after this.
        context.lines = {name: list(lines) for name, lines in context.lines.items()}
        for task in reading:
            task.cancel()
        for node in nodes:
            node.links.close()

    asyncio.run(main())


@then("both processes have the sound runners and no other, and their link stays up")
def step_both_follow(context):
    assert context.is_reading == [True, True]
    assert context.runners == [["late", "sound"]] * 2, context.runners
    for lines in context.lines.values():
        bad = [line for line in lines if line[0] in ("internal_error", "frame_refused")]
        bad += [line for line in lines if line[0] == "link_down"]
        assert not bad, bad


@then("each process logs at most {lines:d} short lines about the odd ones")
def step_lines(context, lines):
    for logged in context.lines.values():
        found = [fields for event, fields in logged if event == "published_unusable"]
        assert 0 < len(found) <= lines, len(found)
        assert all(len(str(fields)) <= 2 * MAX_DETAIL_CHARS + 300 for fields in found)
