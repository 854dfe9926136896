"""Steps about the forwarding of answers: real components of both processes, fake links."""

import asyncio
import json
import logging
import random
import socket
from types import SimpleNamespace
from unittest.mock import patch

import attrs
from behave import then, when
from guard_factory import make_guard
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st
from memory_links import VirtualLoop
from returns.result import Success
from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream
from wasabilb_agent._http_chunked_coding import ChunkDecoder
from wasabilb_agent.engine_client import Tokens
from wasabilb_agent.model_calls import ModelCalls
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_core.crashing_parts import PartDecision
from wasabilb_core.errors import ErrorKind, Outcome
from wasabilb_core.queueing import QUEUES, Preempt
from wasabilb_core.retries import RetryBudget
from wasabilb_core.routing import ROUTING
from wasabilb_core.size_predictor import SizePredictor
from wasabilb_core.tickets import Variant
from wasabilb_entry.agent_attempts import Attempt, AttemptTable
from wasabilb_entry.attempt_watch import AttemptWatch
from wasabilb_entry.model_requests import ModelRouter
from wasabilb_entry.prompts import parse_prompt
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord
from wasabilb_node.clock import now
from wasabilb_node.links import Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.link import Link
from wasabilb_wire.messages import Call, Cancel, End, Fail, Head, StreamData

PARTS = 60
LOG = EventLog(
    process="1",
    role="entry",
    host="e1",
    failure_domain="d",
    incarnation="1",
    logger=logging.Logger("silent", logging.CRITICAL),
)


async def two_streams(window, size):
    """Return the bytes sent on the unread stream, and the payloads of both streams."""
    ends = [IOStream(end) for end in socket.socketpair()]
    attempts, answers = {}, {}
    entry = Link(stream=ends[0], on_message=lambda _, data: attempts[data.id].on_part(data))
    agent = Link(stream=ends[1], on_message=lambda _, c: answers[c.id].on_credit(c.bytes))
    for number in (1, 2):
        call = Call(id=number, request_id="r", target="m", deadline_ms=1000, credit=window)
        attempts[number] = Attempt(
            peer=Peer(link=entry, hello=None, last_received_at=0.0), call=call
        )
        peer = Peer(link=agent, hello=None, last_received_at=0.0)
        answers[number] = OutgoingAnswer(peer=peer, call=call, log=LOG)
    sent = {1: 0, 2: 0}

    async def send(number):
        for position in range(PARTS):
            payload = bytes([position]) * size
            await answers[number].send_data(position=position, count=1, payload=payload)
            sent[number] += size

    async def read_parts(number):
        parts = []
        while len(parts) < PARTS:
            parts.append(await attempts[number].next(5.0))
            attempts[number].grant_credit(size)
        return [part.payload for part in parts]

    tasks = [asyncio.ensure_future(work) for work in (entry.run(), agent.run(), send(1), send(2))]
    fast = await asyncio.wait_for(read_parts(2), 5.0)
    sent_unread = sent[1]
    slow = await asyncio.wait_for(read_parts(1), 5.0)
    for task in tasks:
        task.cancel()
    for end in ends:
        end.close()
    return sent_unread, slow, fast


@when("one of two streams over a link is not read until the other has ended")
def step_two_streams(context):
    context.streams = []

    @settings(max_examples=30)
    @property_given(st.integers(1, 2000), st.integers(1, 200))
    def check(window, size):
        context.streams.append((window, size, *asyncio.run(two_streams(window, size))))

    check()


@then("the unread stream held at most its window and one part")
def step_window(context):
    assert len(context.streams) >= 20
    assert all(sent_unread < window + size for window, size, sent_unread, _, _ in context.streams)


@then("both streams arrived whole and in order")
def step_whole(context):
    for _, size, _, slow, fast in context.streams:
        assert slow == fast == [bytes([position]) * size for position in range(PARTS)]


class FakeLinks:
    """Links to two runners; the first call fails at a position, the next starts a bit earlier."""

    def __init__(self, *, length, cut, overlap, fault, rng):
        self.handlers, self.on_link_down, self.calls, self.tasks = {}, [], [], []
        self.length, self.cut, self.overlap, self.fault, self.rng = length, cut, overlap, fault, rng

    def set_handler(self, kind, handler):
        self.handlers[kind] = handler

    def peer(self, host):
        peer = SimpleNamespace(host=host, link=object(), remote_now=1.0)
        peer.send = lambda message: self.on_message(peer, message)
        return peer

    def on_message(self, peer, message):
        if isinstance(message, Call):
            self.calls.append((peer.host, message))
            self.tasks.append(asyncio.ensure_future(self.answer(peer, message)))
        return True

    async def answer(self, peer, call):
        is_first = len(self.calls) == 1
        start = max(0, call.resume_from - self.overlap)
        stop = self.cut if is_first else self.length
        parts = [Head(id=call.id, status=200)]
        while start < stop:
            count = min(self.rng.randint(1, 3), stop - start)
            texts = json.dumps([f"{i} " for i in range(start, start + count)]).encode()
            parts.append(StreamData(id=call.id, position=start, count=count, payload=texts))
            start += count
        if not is_first:
            parts.append(End(id=call.id, position=self.length, finish_reason="stop"))
        elif self.fault == "fail":
            parts.append(Fail(id=call.id, kind="stream-broken", detail="", outcome="unknown"))
        for part in parts:
            self.handlers[type(part)](peer, part)
            if self.rng.random() < 0.5:
                await asyncio.sleep(0.001)
        if is_first and self.fault == "down":
            self.on_link_down[0](peer)


def make_router(links, *, hedging=None, watch=None, routing=None, guard=None):
    """Return the router of an entry host with two runners."""
    variant = Variant(model="m", adapter="", version="v1")
    membership = SimpleNamespace(
        runners_of=lambda *_: {variant: ["r1", "r2"]}, report_of=lambda _: None
    )
    return ModelRouter(
        membership=membership,
        attempts=AttemptTable(links=links, log=LOG),
        routing=routing or ROUTING.create("peer_compared").unwrap(),
        predictor=SizePredictor(),
        budget=RetryBudget(),
        hedging=hedging,
        watch=watch,
        metrics=SimpleNamespace(count=lambda *_: None),
        rng=random.Random(1),
        log=LOG,
        credit_bytes=1000,
        progress_s=1.0,
        guard=guard or make_guard(LOG),
    )


PROMPT = b'{"model": "m", "prompt": "p"}'


async def fetch_texts(links, *, timeout_s=60.0, body=PROMPT, **options):
    """Return the texts that the caller received."""
    account = SimpleNamespace(name="a", weight=1.0)
    texts = []
    async for part in make_router(links, **options).answer(
        req=CallerRequest(id="r", account=account, deadline=now() + timeout_s),
        prompt=parse_prompt(body, is_chat=False).unwrap(),
        record=RequestRecord(kind="completion"),
    ):
        texts += part.texts
    return texts


@when("answers break at random positions and resume on the other runner")
def step_resume(context):
    context.answers = []

    @settings(max_examples=100)
    @property_given(
        st.integers(1, 30),
        st.integers(0, 30),
        st.integers(0, 3),
        st.sampled_from(["fail", "down", "silent"]),
        st.integers(0, 2**32),
    )
    def check(length, cut, overlap, fault, seed):
        rng = random.Random(seed)
        cut = min(cut, length)
        links = FakeLinks(length=length, cut=cut, overlap=overlap, fault=fault, rng=rng)
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            context.answers.append((length, runner.run(fetch_texts(links)), links.calls))

    check()


@then("the caller got each token once, in order, from one version")
def step_exact(context):
    assert len(context.answers) >= 90
    for length, texts, calls in context.answers:
        assert texts == [f"{i} " for i in range(length)]
        assert len({host for host, _ in calls}) == len(calls) == 2
        assert {call.variant for _, call in calls} == {"m@v1"}


class FailingLinks(FakeLinks):
    """Links on which each call fails with an outcome, or stays open until it is abandoned."""

    def __init__(self, faults):
        super().__init__(length=0, cut=0, overlap=0, fault="", rng=None)
        self.faults = faults

    async def answer(self, peer, call):
        fault = self.faults[min(len(self.calls), 2) - 1]
        if fault == "silent":
            return
        if fault == "late":
            await asyncio.sleep(1.0)
        outcome = "unknown" if fault == "unknown" else "not-run"
        kind = "backend-error" if fault == "unknown" else "draining"
        self.handlers[Fail](peer, Fail(id=call.id, kind=kind, detail="", outcome=outcome))


class RefusingLinks(FakeLinks):
    """Links on which calls that resume a failed answer are refused a number of times."""

    def __init__(self, *, count, kind):
        super().__init__(length=12, cut=5, overlap=0, fault="fail", rng=random.Random(1))
        self.count, self.kind = count, kind

    async def answer(self, peer, call):
        if 1 < len(self.calls) <= 1 + self.count:
            fail = Fail(id=call.id, kind=self.kind, detail="", outcome="not-run")
            self.handlers[Fail](peer, fail)
        else:
            await super().answer(peer, call)


FAILS_AFTER_5 = "the runner of an answer fails after 5 of 12 tokens and "


def fetch_refused(context, links, **options):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        context.links, context.error = links, None
        try:
            context.texts = runner.run(fetch_texts(links, **options))
        except RequestFailedError as exc:
            context.error = exc.error


@when(FAILS_AFTER_5 + "the next {count:d} attempts end as {kind}")
def step_refused(context, count, kind):
    fetch_refused(context, RefusingLinks(count=count, kind=kind))


@when(FAILS_AFTER_5 + "all further attempts end as {kind}")
def step_all_refused(context, kind):
    context.started_at = now()
    fetch_refused(context, RefusingLinks(count=10**6, kind=kind), timeout_s=0.3)


@when(FAILS_AFTER_5 + "a part of its prompt is probed for a while")
def step_probed(context):
    guard, links = make_guard(LOG), RefusingLinks(count=0, kind="")
    answers = [frozenset(), None, None, None, frozenset()]
    guard.parts.begin = lambda *_: answers.pop(0)
    guard.parts.decide = lambda *_: PartDecision.WAIT
    text = "shared " * 400
    body = json.dumps({"model": "m", "prompt": text}).encode()
    fetch_refused(context, links, guard=guard, body=body)
    assert not answers, answers


@then("the caller got each of the 12 tokens once")
def step_twelve(context):
    assert context.error is None, context.error
    assert context.texts == [f"{i} " for i in range(12)], context.texts


@then("the answer ends as broken at its deadline")
def step_ends_broken(context):
    took_s = now() - context.started_at
    assert context.error.kind in (ErrorKind.STREAM_BROKEN, ErrorKind.DEADLINE_PASSED)
    assert context.error.effective_outcome is Outcome.UNKNOWN, context.error
    assert 0.3 <= took_s <= 0.8, took_s


HEDGING = SimpleNamespace(delay_s=lambda: 0.1, may_hedge=lambda **_: True, observe=lambda _: None)


@when("requests fail after attempts and hedges of each outcome")
def step_failing(context):
    context.failures = []
    for hedging in (None, HEDGING):
        for first in ("late", "unknown", "not-run") + (("silent",) if hedging else ()):
            for second in ("late", "unknown", "not-run"):
                links = FailingLinks([first, second])
                with asyncio.Runner(loop_factory=VirtualLoop) as runner:
                    try:
                        runner.run(fetch_texts(links, hedging=hedging))
                    except RequestFailedError as exc:
                        outcomes = {first, second}
                        context.failures.append(
                            (outcomes, exc.error.effective_outcome, len(links.calls))
                        )


@then('"not run" is reported exactly when every attempt reported it')
def step_not_run(context):
    assert len(context.failures) == 21
    for faults, outcome, calls in context.failures:
        assert calls >= 2
        is_not_run = not faults & {"unknown", "silent"}
        assert (outcome is Outcome.NOT_RUN) == is_not_run, (faults, outcome)


class SlowLinks(FakeLinks):
    """Links on which the first runner queues or stalls each call until it is cancelled."""

    def __init__(self, *, cut):
        super().__init__(length=12, cut=cut, overlap=0, fault="", rng=random.Random(1))
        self.cancels = []

    def on_message(self, peer, message):
        if isinstance(message, Cancel):
            self.cancels.append(message)
            if message.is_withdrawal and not self.cut:
                kind, outcome = "cancelled", "not-run"
                fail = Fail(id=message.id, kind=kind, detail="", outcome=outcome)
                self.handlers[Fail](peer, fail)
        return super().on_message(peer, message)


async def fetch_with_watch(links):
    """Return the texts that the caller received with the watch running, and the duration."""
    routing = ROUTING.create("peer_compared").unwrap()
    is_stalled = bool(links.cut)
    first = lambda host: bool(links.calls) and host == links.calls[0][0]  # noqa: E731
    routing.slowdown = lambda host, _: 10.0 if is_stalled and first(host) else 1.0
    budget = RetryBudget()
    budget.on_request(10_000)
    watch = AttemptWatch(routing=routing, budget=budget)
    for _ in range(32):
        watch.observe(0.1)
    task = asyncio.ensure_future(watch.run())
    started = asyncio.get_running_loop().time()
    texts = await fetch_texts(links, watch=watch, routing=routing)
    task.cancel()
    return texts, asyncio.get_running_loop().time() - started


@when("answers wait or stall on one of two runners and the other one is free")
def step_slow_runner(context):
    context.slow = []
    for cut in (0, 1, 5):
        links = SlowLinks(cut=cut)
        loop = VirtualLoop()
        with (
            asyncio.Runner(loop_factory=lambda loop=loop: loop) as runner,
            patch("wasabilb_entry.attempt_watch.now", lambda loop=loop: now() + loop.time()),
        ):
            context.slow.append((cut, links, *runner.run(fetch_with_watch(links))))


@then("the caller got each token once and the slow runner got a cancel")
def step_moved(context):
    for cut, links, texts, passed_s in context.slow:
        assert texts == [f"{i} " for i in range(12)], (cut, texts)
        (slow, first), (free, second) = links.calls
        assert slow != free and second.resume_from == cut and passed_s < 1.0, passed_s
        assert {cancel.id for cancel in links.cancels} == {first.id}
        assert [cancel.is_withdrawal for cancel in links.cancels] == [not cut]


@then("an agent returns a waiting call and no started call")
def step_withdrawn(context):
    queue = QUEUES.create("short_first", slots=1, rng=random.Random(1)).unwrap()
    sent = []
    peer = SimpleNamespace(host="e1", link=SimpleNamespace(is_closed=False), send=sent.append)

    async def run():
        calls = ModelCalls(
            engine=SimpleNamespace(complete=lambda **_: asyncio.sleep(60)),
            make_queue=lambda _: queue,
            is_servable=lambda _: True,
            progress_s=1.0,
            metrics=SimpleNamespace(count=lambda *_: None, timing=lambda *_: None),
        )
        calls.set_slots(1)
        for number in (1, 2):
            call = Call(
                id=number, request_id="r", target="m", body=b"{}", deadline_ms=9000, credit=1
            )
            call = attrs.evolve(call, waited_ms=700)
            answer = OutgoingAnswer(peer=peer, call=call, log=LOG)
            calls.on_call(answer)
            ages = [now() - job.arrived for job in queue.jobs()]
            calls.on_call_withdrawn(answer)
        return ages

    (age,) = asyncio.run(run())
    assert 0.7 <= age < 1.0, age
    assert [(fail.id, fail.kind, fail.outcome) for fail in sent] == [(2, "cancelled", "not-run")]


@when("chunked bodies arrive in random pieces")
def step_chunks(context):
    context.bodies = []

    @property_given(st.lists(st.binary(min_size=1, max_size=40)), st.integers(0, 2**32))
    def check(chunks, seed):
        rng, decoder, found = random.Random(seed), ChunkDecoder(), b""
        raw = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in [*chunks, b""])
        while raw:
            size = rng.randint(1, 20)
            assert not decoder.is_ended
            found, raw = found + decoder.feed(raw[:size]), raw[size:]
        context.bodies.append((b"".join(chunks), found, decoder.is_ended))

    check()


@then("their content is that of the bodies, and malformed chunks are refused")
def step_content(context):
    assert len(context.bodies) >= 100
    assert all(sent == found and is_ended for sent, found, is_ended in context.bodies)
    for raw in (b"x\r\n", b"-1\r\n", b"1\r\nabc", b"0\r\nA: b\r\n\r\n", b"1" * 64):
        try:
            ChunkDecoder().feed(raw)
        except HTTPInputError:
            continue
        raise AssertionError(f"{raw!r} is not a valid chunk")


@when("a stream is preempted after 1 token and the heartbeat comes")
def step_preempted(context):
    context.sent = []
    link = SimpleNamespace(is_closed=False)
    peer = SimpleNamespace(host="e1", link=link, send=context.sent.append)
    variant = Variant(model="m", adapter="", version="v1")
    waiting = []

    async def complete(*, on_head, on_tokens, **_):
        on_head(variant)
        await on_tokens(Tokens(position=0, texts=["a"]))

    queue = SimpleNamespace(
        push=lambda job, _: (waiting.append(job), Success(None))[1],
        pop=lambda *_: waiting.pop() if len(context.sent) == 0 and waiting else None,
        on_progress=lambda job_id, produced, _: Preempt(job_id=job_id, position=produced),
        remove_expired=lambda _: [],
        waiting=1,
    )

    async def run_scenario():
        calls = ModelCalls(
            engine=SimpleNamespace(complete=complete),
            make_queue=lambda _: queue,
            is_servable=lambda _: True,
            progress_s=1.0,
            metrics=SimpleNamespace(count=lambda *_: None, timing=lambda *_: None),
        )
        calls.set_slots(1)
        call = Call(
            id=1,
            request_id="r",
            target="m",
            variant=str(variant),
            body=b"{}",
            deadline_ms=9000,
            credit=9,
        )
        calls.on_call(OutgoingAnswer(peer=peer, call=call, log=LOG))
        for _ in range(5):
            await asyncio.sleep(0)
        calls.on_tick()

    asyncio.run(run_scenario())


@then("the entry host gets a part without tokens at position 1")
def step_empty_part(context):
    last = context.sent[-1]
    assert isinstance(last, StreamData), context.sent
    assert (last.position, last.count, last.payload) == (1, 0, b"[]"), last
