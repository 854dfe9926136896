"""Steps about the identity of requests, and what processes tell each other about them."""

import asyncio
import random
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from crashing_part_steps import CrashingFleet, begun_share
from crashing_runner import BAD_TARGET
from direct_forwarding_steps import fetch
from forwarding_harness import RecordingLog, raw_request
from guard_factory import make_guard
from hypothesis import given as property_given
from hypothesis import strategies as st
from memory_links import run_virtual
from wasabilb_core._crash_evidence import CrashEvidence
from wasabilb_core.attempts import AnswerProgress
from wasabilb_core.crash_reports import crash_report
from wasabilb_core.crash_subjects import (
    is_whole_request,
    request_digest,
    request_subject,
    whole_request,
)
from wasabilb_core.crashing_parts import CrashingParts, PartDecision
from wasabilb_core.prompt_parts import prompt_part
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.prompt_guard import CrashedAttempt
from wasabilb_node.clock import now
from wasabilb_wire.codec import LENGTH_PREFIX, PACKED_FLAG, Frame, decode, encode

REQUEST = whole_request(account="a", method="POST", host="h", target="/x", body=b"{}")
OTHER_REQUEST = whole_request(account="b", method="POST", host="h", target="/x", body=b"{}")
PATHS = {"stream": "/stream", "safe": "/safe", "unsafe": "/once"}


def report(runner, *, subject=REQUEST, parts=(), is_probe=False, has_started=True):
    subjects = [*parts, subject]
    return crash_report(
        runner=runner,
        born_ms=1,
        age_s=0.0,
        request=request_digest(subjects),
        started=subjects if has_started else [],
        waiting=[] if has_started else subjects,
        probes=subjects if is_probe else [],
    )


@when("requests differ in account, method, host, path, query or body only")
def identities(context):
    context.same = []
    text = st.text(max_size=4)
    account = st.none() | st.sampled_from(["", "a", "ab", "anonymous"]) | text
    requests = st.fixed_dictionaries(
        {
            "account": account,
            "method": st.sampled_from(["GET", "POST"]) | text,
            "host": st.sampled_from(["h", "hh"]),
            "target": st.sampled_from(["/", "/h", "/?q=1", "/?q=2"]) | text,
            "body": st.sampled_from([b"", b"/", b"h"]) | st.binary(max_size=4),
        }
    )

    @property_given(requests, requests)
    def check(one, two):
        if (whole_request(**one) == whole_request(**two)) != (one == two):
            context.same.append((one, two))

    check()


@then("each has another identity, and repeats have the same")
def check_identities(context):
    assert not context.same, context.same[0]
    shifted = whole_request(account="a", method="POST", host="h", target="/x{", body=b"}")
    assert len({REQUEST, OTHER_REQUEST, shifted}) == 3


@then("no part of a prompt that a caller names is the identity of a request")
def check_names(context):
    digest = request_digest([REQUEST])
    for text in (f"{REQUEST:x}", f"{digest:x}", f"{REQUEST:X}", f"0{REQUEST:x}", f"{REQUEST}"):
        part = prompt_part(text)
        assert part != REQUEST and not is_whole_request(part), text


class WirePair:
    """Two exchanges whose messages are encoded and decoded."""

    def __init__(self):
        self.handlers, self.parts, self.exchanges, self.sent = {}, [], [], []
        self.on_link_up, self.is_linked = [], True
        for name in ("one", "two"):
            links = SimpleNamespace(
                set_handler=lambda kind, handler, name=name, **_: self.handlers.update(
                    {name: handler}
                ),
                on_link_up=self.on_link_up,
                peers=lambda role="": [],
                multicast=lambda message, peers, name=name: self.transmit(name, message),
            )
            self.parts.append(CrashingParts())
            self.exchanges.append(
                CrashExchange(
                    parts=self.parts[-1],
                    links=links,
                    has_full_mesh=lambda: True,
                    is_relay=lambda: False,
                    log=RecordingLog(),
                    rng=random.Random(1),
                )
            )

    def link_up(self):
        """Link the first one with the second one again."""
        self.is_linked = True
        peer = SimpleNamespace(
            hello=SimpleNamespace(role="entry"), send=lambda message: self.transmit("one", message)
        )
        self.on_link_up[0](peer)

    def transmit(self, sender, message):
        if not self.is_linked:
            return
        data = encode(message)
        (length,) = LENGTH_PREFIX.unpack(data[: LENGTH_PREFIX.size])
        frame = Frame(data[LENGTH_PREFIX.size :], is_packed=bool(length & PACKED_FLAG))
        received = decode(frame).unwrap()
        self.sent.append(received)
        other = "two" if sender == "one" else "one"
        self.handlers[other](SimpleNamespace(host=sender), received)


@when("a process tells of a crash, a block, a probe and an answer of a request")
def tell_request(context):
    context.seen = []

    async def script():
        pair = context.pair = WirePair()
        one, two = pair.parts
        exchange = pair.exchanges[0]
        for parts in pair.parts:
            parts.on_answer_going_on([99], now())

        async def note():
            await asyncio.sleep(0.5)
            moment = now()
            context.seen.append([p.decide([REQUEST], moment) for p in (one, two)])

        exchange.on_crash(report("r-1", parts=[7]))
        await note()
        exchange.on_probe_begun(one.begin([REQUEST], now()))
        await note()
        exchange.on_probe_ended(frozenset([REQUEST]))
        await note()
        exchange.on_crash(report("r-2", parts=[7], is_probe=True))
        await note()
        exchange.lift(part=REQUEST, before=float("inf"), reason="test")
        await note()
        exchange.on_answer_going_on((REQUEST,))
        await note()

    run_virtual(script)


@then("another one has the same suspects and blocks after it has read the messages")
def check_same(context):
    probe, wait, block = PartDecision.PROBE, PartDecision.WAIT, PartDecision.BLOCK
    expected = [probe, wait, probe, block, probe, PartDecision.SEND]
    assert context.seen == [[decision] * 2 for decision in expected], context.seen


@then("no message names the request among the parts")
def check_lists(context):
    digest = request_digest([REQUEST])
    for notice in context.pair.sent:
        lists = [notice.cleared, notice.probes_begun, notice.probes_ended]
        lists += [[b.part for b in notice.blocked]]
        lists += [[*r.started, *r.waiting, *r.probes] for r in notice.crashes]
        assert not any(digest in found or REQUEST in found for found in lists), notice


@when("a process is linked after another one has sent the probe of a request")
def linked_later(context):
    async def script():
        pair = WirePair()
        pair.is_linked = False
        pair.exchanges[0].on_crash(report("r-1", parts=[7]))
        pair.exchanges[0].on_probe_begun(pair.parts[0].begin([REQUEST], now()))
        pair.link_up()
        context.decision = pair.parts[1].decide([REQUEST], now())

    run_virtual(script)


@then("it sends no such request")
def check_no_probe(context):
    assert context.decision is PartDecision.WAIT, context.decision


@when("a request with {count:d} parts and a runner crash")
def many_parts(context, count):
    async def script():
        guard = make_guard(RecordingLog())
        attempt = CrashedAttempt(
            request_id="q",
            runner_id="r",
            born_ms=1,
            parts=(*range(count), REQUEST),
            probed=frozenset(),
            progress=AnswerProgress.STARTED,
        )
        guard.on_crash(attempt, now())
        context.decision = guard.parts.decide([REQUEST], now())

    run_virtual(script)


@then("the request is suspected")
def check_suspected(context):
    assert context.decision is PartDecision.PROBE, context.decision


@when("two requests crash with the same runners and the reports on one come first")
def two_requests(context):
    parts = context.parts = CrashingParts()
    parts.on_answer_going_on([99], 0.0)
    for number in range(2):
        for subject in (REQUEST, OTHER_REQUEST):
            parts.on_crash(
                report(f"r-{number}", subject=subject, is_probe=number > 0), float(number)
            )


@then("neither is blocked until a crash tells them apart")
def check_neither(context):
    parts = context.parts
    parts.update(2.0)
    assert not parts.blocked_parts(2.0)
    parts.on_crash(report("r-9", is_probe=True), 2.0)
    assert parts.decide([REQUEST], 2.0) is PartDecision.WAIT
    parts.update(3.0)
    assert parts.blocked_parts(3.0) == {REQUEST}
    assert parts.decide([OTHER_REQUEST], 3.0) is PartDecision.SEND


@given("{runners:d} runners that end on a request of kind {kind} and are back after {down_s:g} s")
def given_runners(context, runners, kind, down_s):
    context.path = PATHS[kind]
    context.fleet = CrashingFleet(runners=runners, down_s=down_s, is_plain=kind != "stream")


@when(
    "{processes:d} entry processes get sound requests and that request each {bad_ms:d} ms "
    "for {seconds:g} s"
)
def send_all(context, processes, bad_ms, seconds):
    fleet, path = context.fleet, context.path

    async def send(harness, name, target):
        try:
            return await fetch(harness, raw_request(target, request_id=name))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def send_each(name, interval_s, target):
        tasks = []
        for number in range(round(seconds / interval_s)):
            harness = fleet.rng.choice(fleet.harnesses)
            tasks.append(asyncio.ensure_future(send(harness, f"{name}-{number}", target(number))))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    async def script(_):
        # Every second sound request is the same as the ones before.
        sound = send_each("s", 0.04, lambda n: f"{path}/x?n={n if n % 2 else 0}")
        sound = asyncio.ensure_future(sound)
        await asyncio.sleep(0.5)
        bad = await send_each("b", bad_ms / 1000, lambda n: f"{path}{BAD_TARGET}")
        fleet.answers = [await sound, bad]

    asyncio.run(fleet.play(processes, script))


@then("its callers are told that it crashes backend servers and has not run")
def check_answers(context):
    for status, _, body, *_ in context.fleet.answers[1][-10:]:
        assert status == 400, status
        assert b"request-blocked" in body and b'"outcome": "not-run"' in body, body


@then("sound requests beside it are answered or may be repeated")
def check_sound(context):
    sound = context.fleet.answers[0]
    statuses = [answer[0] for answer in sound if answer is not None]
    assert 400 not in statuses
    assert begun_share(sound) >= 0.9, begun_share(sound)


@when(
    "{runners:d} runners crash with {count:d} requests of {common:d} common parts each, and a "
    "process hears of each request"
)
def step_mass_crash(context, runners, count, common):
    context.parts, context.reports = CrashingParts(), runners * count
    parts = list(range(1, common + 1))
    score = CrashEvidence.score
    with patch.object(CrashEvidence, "score", autospec=True, side_effect=score) as weighing:
        for number in range(context.reports):
            subject = request_subject(number + 1)
            told = report(f"r-{number % runners}", subject=subject, parts=parts, has_started=False)
            assert subject in context.parts.on_crash(told, 100.0)
    context.weighings = weighing.call_count


@when("another process is linked")
def step_linked_after_mass_crash(context):
    async def script():
        pair = WirePair()
        pair.is_linked = False
        for told in context.parts.reports(100.0)[0]:
            pair.parts[0].on_crash(told, now())
        pair.link_up()
        context.suspects = [parts.suspected_count for parts in pair.parts]

    run_virtual(script)


@then("it has the same suspects")
def check_same_suspects(context):
    assert context.suspects[0] == context.suspects[1] > 0, context.suspects


@then("it weighs the evidence at most once for each report")
def step_weighings(context):
    assert context.weighings <= context.reports, context.weighings


@when("a request is with two runners that crash while another one ends without it")
def step_other_fault(context):
    context.parts = parts = CrashingParts()
    parts.on_answer_going_on([OTHER_REQUEST], 100.0)
    parts.on_crash(report("r-0"), 100.0)
    assert parts.begin([REQUEST], 101.0) == {REQUEST}
    parts.on_runner_ended("r-1", 1, 101.2)
    parts.on_crash(report("r-2", is_probe=True), 101.2)
    for tenths in range(1, 6):
        parts.update(101.2 + tenths / 10)


@then("it is sent as a probe {seconds:g} s later")
def step_probe_later(context, seconds):
    moment = 101.2 + seconds
    context.parts.on_answer_going_on([OTHER_REQUEST], moment)
    assert context.parts.decide([REQUEST], moment) is PartDecision.PROBE
