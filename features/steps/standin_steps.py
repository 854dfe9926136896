"""Steps about the stand-ins."""

import asyncio
import hashlib
import json
import time

import tornado.web
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from wasabilb_standins import oracle
from wasabilb_standins._prefix_cache import PrefixCache, block_hashes
from wasabilb_standins.base import STANDINS, Handler, Standin
from wasabilb_standins.call_records import once_violations
from wasabilb_standins.callers import Callers
from wasabilb_standins.config_service import ConfigService
from wasabilb_standins.engine import Engine
from wasabilb_standins.host_list import HostList
from wasabilb_standins.link import Link
from wasabilb_standins.service import Service
from wasabilb_standins.store import Store

V1, V2 = oracle.parse_variant("draft@v1"), oracle.parse_variant("draft@v2")
CHUNKS = [b"first", b"second", b"third"]
DIGESTS = [hashlib.sha256(chunk).hexdigest() for chunk in CHUNKS]


def run(context, awaitable):
    """Run in the scenario's event loop, which keeps the stand-ins alive between steps."""
    if not hasattr(context, "loop"):
        context.loop_runner = asyncio.Runner()
        context.loop = context.loop_runner.get_loop()
        context.add_cleanup(context.loop_runner.close)
    return context.loop.run_until_complete(awaitable)


def begin(context, standin):
    """Start a stand-in for the rest of the scenario."""
    run(context, standin.start())
    context.add_cleanup(lambda: run(context, standin.stop()))
    return standin


async def call(standin, path, method="GET", body=None, **headers):
    """Return status, headers and body; the status is 0 when the connection fails."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    try:
        answer = await AsyncHTTPClient(force_instance=True).fetch(
            standin.url + path,
            method=method,
            body=data,
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
    except (HTTPClientError, OSError):
        return 0, {}, b""
    return answer.code, answer.headers, answer.body


async def complete(engine, prompt, **fields):
    """Return the version and the text of a completion."""
    body = {"model": "draft", "prompt": prompt, "max_tokens": 500, **fields}
    _, headers, answer = await call(engine, "/v1/completions", "POST", body)
    return headers["Engine-Version"], json.loads(answer)["text"]


async def deliver_weights(engine, chunks):
    """Deliver chunks of draft@v2 to an engine and return the status of the commit."""
    for chunk in chunks:
        digest = hashlib.sha256(chunk).hexdigest()
        assert (await call(engine, f"/engine/weights/{digest}", "PUT", chunk))[0] in (200, 201)
    body = {"model": "draft", "version": "v2", "digests": DIGESTS}
    return (await call(engine, "/engine/weights/commit", "POST", body))[0]


async def load(engine, fence, variant):
    """Return the status of an order to load."""
    body = {"fence": fence, "action": "load", "model": variant.model, "version": variant.version}
    return (await call(engine, "/engine/orders", "POST", body))[0]


@given('an engine with "{models}" and the settings {options}')
def step_engine(context, models, options):
    context.engine = begin(context, Engine(models=models, **json.loads(options)))


@given('the weights of "draft@v2" are handed to the engine')
def step_hand_over(context):
    assert run(context, deliver_weights(context.engine, CHUNKS)) == 200


@when('orders with the fences {a:d} and {b:d} load "{first}" and "{second}"')
def step_orders(context, a, b, first, second):
    pairs = [(a, oracle.parse_variant(first)), (b, oracle.parse_variant(second))]
    context.statuses = [run(context, load(context.engine, *pair)) for pair in pairs]


@then("the statuses are {expected}")
def step_statuses(context, expected):
    assert context.statuses == json.loads(expected), context.statuses


@when('"draft@v2" is handed over without its last chunk')
def step_partial(context):
    commit = run(context, deliver_weights(context.engine, CHUNKS[:-1]))
    context.statuses = [commit, run(context, load(context.engine, 1, V2))]


@then("the commit and the load are refused")
def step_partial_refused(context):
    assert context.statuses == [409, 409], context.statuses


@when('"draft@v2" is loaded while an answer of {count:d} tokens runs')
def step_load_while_running(context, count):
    async def scene():
        engine = context.engine
        assert await deliver_weights(engine, CHUNKS) == 200
        running = asyncio.ensure_future(complete(engine, f"x [len={count}]"))
        while not engine.batch.running:
            await asyncio.sleep(0)
        assert await load(engine, 2, V2) == 202
        while engine.deployments.serving("draft", "") != V2:
            await asyncio.sleep(0.001)
        assert not running.done()
        return [await running, await complete(engine, "y [len=5]")]

    context.answers = run(context, scene())


@then('the running answer is wholly of "draft@v1" and the next of "draft@v2"')
def step_versions(context):
    expected = [(V1, "x [len=60]"), (V2, "y [len=5]")]
    assert context.answers == [(v.version, oracle.answer_text(v, p, 500)) for v, p in expected]


@when("answers are resumed from random positions")
def step_resume(context):
    context.tails = []

    async def pair(prompt, start):
        fields = {"adapter": "salon"}
        whole = await complete(context.engine, prompt, **fields)
        return whole[1], (await complete(context.engine, prompt, resume_from=start, **fields))[1]

    for start in range(13):
        prompt = f"{start} [len=12]"
        context.tails.append((start, *run(context, pair(prompt, start))))


@then("each equals the tail of the whole answer")
def step_tails(context):
    for start, whole, tail in context.tails:
        assert len(whole.split()) == 12 and whole.split()[start:] == tail.split(), start
        # Lost, repeated or mixed tokens are detected only when all tokens differ.
        others = [oracle.answer_text(v, f"{start} [len=12]", 99) for v in (V1, V2)]
        assert len(set(" ".join([whole, *others]).split())) == 3 * 12


@when("{count:d} answers of {tokens:d} tokens arrive at once with falling priority numbers")
def step_at_once(context, count, tokens):
    async def scene():
        fields = {"model": "draft", "max_tokens": 99}
        for n in range(count):
            body = {**fields, "prompt": f"{n} [len={tokens}]", "priority": count - n}
            context.engine.submit(body)
            if n == 1:
                # The first two hold both slots before the others arrive.
                while len(context.engine.batch.running) < 2:
                    await asyncio.sleep(0)
        while any(answer.state != "finished" for answer in context.engine.answers):
            await asyncio.sleep(0.005)

    run(context, scene())


@then("at most {slots:d} ran at once and the last arrived was admitted third")
def step_slots(context, slots):
    assert context.engine.batch.max_running == slots
    lines = context.engine.record()["executions"]
    third = sorted(lines, key=lambda line: line["admitted"])[2]
    assert third["prompt"].startswith(f"{len(lines) - 1} "), third


@when("it dies once after {count:d} tokens and gets the same request twice")
def step_die(context, count):
    body = {"model": "draft", "prompt": "x [len=8]", "max_tokens": 99, "stream": True}
    context.engine.set_faults(die_after_tokens=count)

    async def attempt():
        events = []
        request = HTTPRequest(
            context.engine.url + "/v1/completions",
            method="POST",
            body=json.dumps(body),
            streaming_callback=lambda data: events.extend(data.split(b"data: ")[1:]),
        )
        try:
            await AsyncHTTPClient(force_instance=True).fetch(request)
        except HTTPClientError:
            return "broken", len(events)
        return "whole", len(events)

    context.answers = [run(context, attempt()) for _ in range(2)]


@then("the first answer breaks after {count:d} tokens and the second is whole")
def step_died(context, count):
    # The reset that ends the first answer may discard tokens that the reader has not received yet,
    # so the engine's record has the number of sent tokens. The whole answer ends with the finish
    # reason and [DONE].
    (first, received), second = context.answers
    assert first == "broken" and received <= count, context.answers
    assert second == ("whole", 8 + 2), context.answers
    assert context.engine.answers[0].position >= count
    assert [a.state for a in context.engine.answers] == ["died", "finished"]


@when("a running answer of {count:d} tokens is cancelled")
def step_cancel(context, count):
    async def scene():
        task = asyncio.ensure_future(complete(context.engine, f"c [len={count}]", id="c"))
        while not context.engine.batch.running:
            await asyncio.sleep(0)
        answer = await call(context.engine, "/engine/cancel", "POST", {"id": "c"})
        await task
        return json.loads(answer[2])["cancelled"]

    assert run(context, scene()) is True


@then("the engine records it as cancelled before its end")
def step_cancelled(context):
    line = context.engine.record()["executions"][-1]
    assert line["state"] == "cancelled" and line["tokens"] < 500, line


@when("random prompts are stored in a small prefix cache")
def step_prefix(context):
    context.checked = 0

    @property_given(st.lists(st.text(alphabet="ab", max_size=400), max_size=6), st.integers(1, 8))
    def check(prompts, capacity):
        cache = PrefixCache(capacity=capacity, clock=lambda: 0.0)
        for prompt in prompts:
            blocks = block_hashes(V1, prompt)
            assert block_hashes(V1, prompt + "c" * 64)[: len(blocks)] == blocks
            assert not set(blocks) & set(block_hashes(V2, prompt))
            cache.store(V1, blocks)
            assert len(cache) <= capacity
            if len(blocks) <= capacity:
                assert cache.cached_prefix(V1, prompt) == blocks
        context.checked += 1

    check()


@then("equal prefixes have equal blocks and no more blocks are held than fit")
def step_prefix_checked(context):
    assert context.checked >= 100


@given("a store with the settings {options}")
def step_store(context, options):
    context.store = begin(context, Store(**json.loads(options)))


async def read_all(store):
    """Read all chunks of draft@v1 at once; return digests, chunks and the time in seconds."""
    manifest = json.loads((await call(store, "/v1/manifests/draft/v1"))[2])
    started = time.monotonic()
    paths = [f"/v1/chunks/{digest}" for digest in manifest["chunks"]]
    chunks = await asyncio.gather(*(call(store, path) for path in paths))
    return manifest["chunks"], [chunk[2] for chunk in chunks], time.monotonic() - started


@when('all chunks of "draft@v1" are read at once')
def step_read_all(context):
    context.digests, context.chunks, context.duration_s = run(context, read_all(context.store))


@then("it took at least {seconds:f} seconds and each chunk was sent once")
def step_rate(context, seconds):
    assert context.duration_s >= seconds, context.duration_s
    sent = context.store.record()["chunks"]
    assert sent == {d: 50000 for d in context.digests}, sent


@when("the store corrupts every {every:d} chunks and all are read again")
def step_corrupt(context, every):
    context.store.chunk_requests = 0
    context.store.set_faults(corrupt_every=every)
    context.digests, context.chunks, _ = run(context, read_all(context.store))


@then("{count:d} chunks do not match their digests")
def step_mismatches(context, count):
    actual = [hashlib.sha256(chunk).hexdigest() for chunk in context.chunks]
    assert sum(a != b for a, b in zip(actual, context.digests, strict=True)) == count


@given("a configuration service with the settings {options}")
def step_config(context, options):
    context.config_service = begin(context, ConfigService(**json.loads(options)))


@when("a watch stays pending over {count:d} changes of the second and ticket 4 is published")
def step_watch(context, count):
    async def scene():
        service = context.config_service
        watch = asyncio.ensure_future(call(service, "/v1/watch?after=0&timeout=20"))
        while not service.pending_watches:
            await asyncio.sleep(0.001)
        started = service.second()
        while sum(service.reads.values()) < 1 + count and service.second() < started + count + 5:
            await asyncio.sleep(0.01)
        service.publish("number = 4")
        return json.loads((await watch)[2])

    context.index = run(context, scene())


@then("the watch has answered {number:d} and was counted {count:d} times")
def step_watched(context, number, count):
    assert context.index["newest"] == number
    assert context.config_service.record()["reads"] == count, context.config_service.record()


@when("{count:d} calls come at once")
def step_calls(context, count):
    async def scene():
        return await asyncio.gather(
            *(call(context.config_service, "/v1/index") for _ in range(count))
        )

    context.answers = run(context, scene())


@then("at least {count:d} are refused with 429 and a time to retry")
def step_limited(context, count):
    # The calls may fall into two seconds, each of which admits 6.
    refused = [headers for status, headers, _ in context.answers if status == 429]
    assert len(refused) >= count and all("Retry-After" in headers for headers in refused)


@given("a service that drops the connection after executing")
def step_service(context):
    context.service = begin(context, Service())
    context.service.set_faults(drop="after")


@when('a booking is sent twice with the key "{key}"')
def step_book_twice(context, key):
    headers = {"Idempotency-Key": key}
    for _ in range(2):
        assert run(context, call(context.service, "/book", "POST", b"{}", **headers))[0] == 0


@then('the service has counted {count:d} executions of the key "{key}"')
def step_executions(context, count, key):
    assert context.service.record()["by_key"] == {key: count}


@given("a host list with a lag of {lag:f} seconds")
def step_host_list(context, lag):
    context.hosts = begin(context, HostList(lag_s=lag))


@when('host "{name}" is set to "{state}"')
def step_set_host(context, name, state):
    context.set_at = time.monotonic()
    body = {"hosts": [{"name": name, "state": state}]}
    assert run(context, call(context.hosts, "/set", "POST", body))[0] == 200


@then('the list shows "{name}" only after the lag')
def step_lag(context, name):
    async def shown_at():
        while time.monotonic() < context.set_at + 5:
            listed = json.loads((await call(context.hosts, "/v1/hosts"))[2])
            if [host["name"] for host in listed["hosts"]] == [name]:
                return time.monotonic()
        raise AssertionError("the change is not listed")

    assert run(context, shown_at()) - context.set_at >= 0.3


@given("a relay to an echo server")
def step_relay(context):
    begin_echo(context)
    context.relays = [run(context, context.link.add("a", context.echo))]
    context.ends = run(context, connect(context))


@given("{count:d} relays to an echo server sharing {rate:d} bytes per second forward")
def step_relays(context, count, rate):
    begin_echo(context)
    context.link.set_bandwidth("wan", rate)
    context.relays = [run(context, context.link.add(str(n), context.echo)) for n in range(count)]
    for relay in context.relays:
        relay.shape("forward", bandwidth="wan", delay_s=0.003)


def begin_echo(context):
    """Start a server that returns what it receives and counts the bytes."""
    context.echoed = 0

    async def on_connection(reader, writer):
        while data := await reader.read(65536):
            context.echoed += len(data)
            writer.write(data)
        writer.close()

    server = run(context, asyncio.start_server(on_connection, "127.0.0.1", 0))
    context.add_cleanup(server.close)
    context.echo = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    context.link = begin(context, Link())


async def connect(context):
    """Open a connection through the first relay."""
    return await asyncio.open_connection("127.0.0.1", context.relays[0].port)


async def exchange(ends, data, wait_s=5.0):
    """Send data and return the reply, or None on a timeout."""
    ends[1].write(data)
    try:
        return await asyncio.wait_for(ends[0].readexactly(len(data)), wait_s)
    except TimeoutError:
        return None


@when("the relay stalls")
def step_stall(context):
    assert run(context, exchange(context.ends, b"hello")) == b"hello"
    fault = {"relay": "a", "direction": "forward", "stall": True}
    assert run(context, call(context.link, "/fault", "POST", fault))[0] == 200


@then("nothing passes and the connection stays open")
def step_silent(context):
    assert run(context, exchange(context.ends, b"held", 0.2)) is None
    assert not context.ends[0].at_eof() and context.relays[0].record()["open"] == 1


@when("the stall ends")
def step_stall_ends(context):
    context.relays[0].shape("forward", stall=False)


@then("what was held back arrives")
def step_held_arrives(context):
    assert run(context, context.ends[0].readexactly(4)) == b"held"


@when("the open connections go silent")
def step_silence(context):
    context.relays[0].silence_open()


@then("nothing passes and a new connection works")
def step_new_works(context):
    assert run(context, exchange(context.ends, b"lost", 0.2)) is None
    assert not context.ends[0].at_eof()
    context.ends = run(context, connect(context))
    assert run(context, exchange(context.ends, b"fresh")) == b"fresh"


@when("the backward direction is cut")
def step_cut(context):
    context.before = context.echoed
    context.relays[0].shape("backward", cut=True)


@then("bytes reach the server and nothing comes back")
def step_one_way(context):
    assert run(context, exchange(context.ends, b"12345", 0.2)) is None
    assert context.echoed - context.before == 5


@when("a byte is corrupted")
def step_corrupt_byte(context):
    context.relays[0].shape("backward", cut=False, corrupt_after=2)
    context.ends = run(context, connect(context))
    context.reply = run(context, exchange(context.ends, b"12345"))


@then("exactly one bit differs")
def step_one_bit(context):
    assert context.reply == b"12245", context.reply


@when("each carries {size:d} bytes")
def step_carry(context, size):
    async def carry(relay):
        ends = await asyncio.open_connection("127.0.0.1", relay.port)
        assert await exchange(ends, b"x" * size) == b"x" * size

    async def scene():
        started = time.monotonic()
        await asyncio.gather(*(carry(relay) for relay in context.relays))
        return time.monotonic() - started

    context.duration_s = run(context, scene())


@then("it took at least {seconds:f} seconds")
def step_took(context, seconds):
    assert context.duration_s >= seconds, context.duration_s


class StyledEntry(Standin):
    """An entry host that answers completions in a given style."""

    settings_type = faults_type = type(Link().faults)
    style = ""

    def routes(self):
        """Return the route of completions."""
        return [(r"/v1/completions", StyledHandler)]


class StyledHandler(Handler):
    """Answers in the style of its stand-in."""

    async def post(self):
        """Answer as OpenAI-style events."""
        style, prompt = self.standin.style, self.json_body()["prompt"]
        if style == "refused":
            raise tornado.web.HTTPError(503)
        self.set_header("Wasabilb-Version", "draft@v1")
        count = oracle.answer_length(prompt, 512)
        for i in range(count - (style in ("short", "cut", "error"))):
            version = "v2" if style == "mixed" and i == count - 1 else "v1"
            self.event({"text": oracle.token_text("draft", "", version, prompt, i)})
        await self.flush()
        if style == "cut":
            self.cut()
        elif style == "error":
            self.finish('event: error\ndata: {"title": "cut off"}\n\n')
        else:
            self.event({"text": "", "finish_reason": "stop"})
            self.finish("data: [DONE]\n\n")

    def event(self, choice):
        """Write one chunk."""
        chunk = {"id": "c", "object": "text_completion", "choices": [{"index": 0, **choice}]}
        self.write(f"data: {json.dumps(chunk)}\n\n")


@given('an entry host that answers in the style "<style>"')
def step_styles(context):
    context.expected = [(row["style"], row["verdict"], row["match"]) for row in context.table]
    context.entry = begin(context, StyledEntry())


@when("callers send one completion in each style")
def step_send_styles(context):
    callers = Callers(entries=[f"127.0.0.1:{context.entry.port}"], seed=1)
    context.found = []
    for style, _, _ in context.expected:
        context.entry.style = style
        rec = run(context, callers.call("short"))
        context.found.append((style, rec.verdict, str(rec.is_match)))


@then("they record the verdicts")
def step_verdicts(context):
    assert context.found == context.expected, context.found
    assert len(STANDINS.names()) == 6


@when("callers book {count:d} times and repeat each booking once")
def step_bookings(context, count):
    callers = Callers(entries=[f"127.0.0.1:{context.service.port}"], seed=1, booking_repeats=1)
    for _ in range(count):
        run(context, callers.call("booking"))
    context.found = once_violations(callers.records, context.service.record()["by_body"])
    context.expected = {f"booking {n + 1} ran 2 times" for n in range(count)}


@then("each booking is reported to have run twice")
def step_violations(context):
    assert set(context.found) == context.expected, context.found
