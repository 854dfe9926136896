"""Steps about the check of staged chunks before an order, on a virtual clock."""

import asyncio
import hashlib
import math

from behave import given, then, when
from forwarding_harness import RecordingLog
from memory_links import VirtualLoop, run_virtual
from published_state_steps import HostChunks, make_version_loader
from returns.result import Failure, Success
from wasabilb_agent.model_runner import OrderAnswer, RunnerState
from wasabilb_agent.staging import Staging
from wasabilb_core.errors import Error, ErrorKind, unavailable
from wasabilb_core.manifest import Manifest
from wasabilb_core.named_versions import Naming
from wasabilb_core.state_position import StatePosition
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool, fetch

CHUNKS = [bytes([n]) * 64 for n in range(48)]
PAUSE_S = 4.0
LOAD_S = 0.3
POLL_S = 0.1
# Chunks that turn bad, and the read at which the host stands still.
BAD_CHUNKS, PAUSE_AT_READ = (3, 11), 20


class StagedRunner:
    """Runner that reads chunks slowly and loads whatever is staged."""

    def __init__(self, read_s):
        self.read_s, self.moment, self.spoils = read_s, "never", False
        self.staged, self.bad_since = dict(enumerate(CHUNKS)), {}
        self.reads, self.orders, self.awake_at, self.busy_until = 0, 0, 0.0, -math.inf
        self.version, self.loading, self.loaded_ages, self.is_ordered_elsewhere = 1, 0, [], False
        self.sent_orders = []

    async def awake(self):
        while now() < self.awake_at:
            await asyncio.sleep(self.awake_at - now())

    async def staged_chunk(self, model, index, *, max_bytes=math.inf):
        self.reads += 1
        if self.reads == PAUSE_AT_READ:
            if self.moment == "during the check":
                self.awake_at = now() + PAUSE_S
            if self.is_ordered_elsewhere:
                self.busy_until, self.orders = now() + 3.0, 1
        data = self.staged[index]
        if len(data) > max_bytes:
            return Failure(Error(kind=ErrorKind.TOO_LARGE, detail="longer than asked for"))
        if self.spoils and index in BAD_CHUNKS and index not in self.bad_since:
            self.bad_since[index] = math.inf
            asyncio.get_running_loop().call_later(0.25, self.spoil, index)
        await asyncio.sleep(self.read_s)
        await self.awake()
        return Success(data)

    def spoil(self, index):
        self.staged[index], self.bad_since[index] = b"bad", now()

    async def put_chunk(self, model, index, data):
        self.staged[index] = data
        return Success(None)

    async def load(self, model, version, *, fence, orders, send_by=math.inf):
        if self.moment == "just before the order":
            self.moment = "never"
            await asyncio.sleep(PAUSE_S)
        if now() >= send_by:
            return unavailable("not sent")
        self.sent_orders.append(now())
        if now() < self.busy_until or orders != self.orders:
            return Success(OrderAnswer.CONFLICT)
        self.orders += 1
        self.busy_until = now() + LOAD_S
        self.loading = version
        self.loaded_ages = [
            now() - self.bad_since[n] for n, data in self.staged.items() if data != CHUNKS[n]
        ]
        return Success(OrderAnswer.BEGUN)

    async def state(self):
        is_busy = now() < self.busy_until
        if self.loading and not is_busy:
            self.version, self.loading = self.loading, 0
        held = {"version": self.version, "layer_from": 0, "layer_to": 1}
        state = RunnerState(**held, born_ms=1, model="m", is_busy=is_busy, orders=self.orders)
        return Success(state)


class StagedTransfers(HostChunks):
    """Transfers of a host that holds version 2 completely."""

    def __init__(self, manifest):
        super().__init__({2: 1.0})
        self.held, self.manifest = {manifest.variant}, manifest
        self.transfer = manifest.canonical_digest

    def assembly(self, variant):
        return self if variant == self.manifest.variant else None

    def chunk(self, transfer, index):
        return CHUNKS[index]


def make_loader(runner, log):
    loader, named = make_version_loader(log, runner=runner, staging=Staging(runner=runner, log=log))
    named.on_named(2, Naming(position=StatePosition(revision=2), after=now()))
    return loader


@given("a runner that answers a read of a staged chunk after {seconds:g} s")
def given_runner(context, seconds):
    context.runner = StagedRunner(seconds)


@given("2 of 48 staged chunks turn bad 0.25 s after they were read")
def given_spoilt(context):
    context.runner.spoils = True


@given("the agent's host stands still for 4 s: {moment}")
def given_pause(context, moment):
    context.runner.moment = moment


@given("a staged chunk has grown to {size:d} bytes")
def given_grown(context, size):
    context.runner.staged[3] = b"x" * size


@given("the runner begins another order during the check")
def given_other_order(context):
    context.runner.is_ordered_elsewhere = True


@when("the agent brings the runner to the next version")
@when("the agent brings the runner to the next version for {seconds:g} s")
def step_bring(context, seconds=20.0):
    digests = tuple(hashlib.sha256(data).hexdigest() for data in CHUNKS)
    manifest = Manifest(
        model="m",
        version="2",
        adapter="",
        size=48 * 64,
        chunk_size=64,
        chunks=digests,
        digest="",
    )
    context.log = RecordingLog()

    async def main():
        runner, transfers = context.runner, StagedTransfers(manifest)
        loader = make_loader(runner, context.log)
        began = now()
        while runner.version < 2 and now() - began < seconds:
            state = (await runner.state()).unwrap()
            await loader.reconcile(state, transfers)
            await asyncio.sleep(POLL_S)
        context.took_s = now() - began

    run_virtual(main, VirtualLoop)


@then("the runner holds it after at most {seconds:g} s")
def step_holds(context, seconds):
    assert context.runner.version == 2 and context.took_s <= seconds, context.took_s


@then("no chunk that it loaded had been bad for more than 3 s")
def step_none_bad(context):
    assert not [age for age in context.runner.loaded_ages if age > 3.0], context.runner.loaded_ages


@then("the log names the chunk as spoilt once")
def step_named_once(context):
    spoilt = [fields for name, fields in context.log.lines if name == "staged_chunk_spoilt"]
    assert [fields["chunk"] for fields in spoilt] == [3], spoilt


@when("a call asks for {most:d} bytes at most of an answer of {size:d}")
def step_bounded_call(context, most, size):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(max_idle=1)
        context.answer = await fetch(pool, address, "/", timeout_s=1.0, max_bytes=most)
        pool.close()
        server.close()

    asyncio.run(main())


@then("it fails as {kind}")
def step_fails_as(context, kind):
    assert context.answer.failure().kind.value == kind, context.answer


@then("no order was sent, and the log names the slow check")
def step_no_order(context):
    assert not context.runner.sent_orders
    refused = [fields for name, fields in context.log.lines if name == "order_refused"]
    assert refused and "are not read within" in refused[0]["detail"], refused


@then("no order was sent while the runner was busy")
def step_none_while_busy(context):
    runner = context.runner
    assert runner.version == 2 and len(runner.sent_orders) == 1, runner.sent_orders


@when("a request that must be sent by {seconds:g} s ago is made")
def step_late_request(context, seconds):
    context.received = []

    async def serve(reader, writer):
        context.received.append(await reader.read(1 << 16))
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(max_idle=1)
        late = {"timeout_s": 1.0, "send_by": now() - seconds}
        context.answer = await fetch(pool, address, "/order", method="POST", body=b"x", **late)
        pool.close()
        await asyncio.sleep(0.05)
        server.close()

    asyncio.run(main())


@then("the server receives no request, and the caller learns that none was sent")
def step_none_sent(context):
    assert not any(context.received), context.received
    assert isinstance(context.answer, Failure) and "not sent" in context.answer.failure().detail
