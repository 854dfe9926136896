"""Steps about odd reports, manifests and load headers in the form of the operators' platform."""

import asyncio
import json
import math

from behave import then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from odd_json import any_json
from platform_examples import ScriptedStore
from returns.result import Failure, Success
from tornado.httputil import HTTPHeaders
from wasabilb_agent._runner_reports import to_report
from wasabilb_core.json_fields import InvalidFieldError
from wasabilb_core.manifest import parse_manifest
from wasabilb_core.runner_directory import Runner
from wasabilb_core.tickets import Variant
from wasabilb_node.http_client import AnswerHead, ConnectionPool
from wasabilb_platform.headers import PlatformHeaders
from wasabilb_platform.origin_client import OriginClient, to_manifest
from wasabilb_platform.runner_client import RunnerClient, runner_state
from wasabilb_wire.codec import FrameBuffer, decode, encode

RUNNER = Runner(id="i-1", born_ms=1, service="llm", address="10.0.0.1:80", failure_domain="a")
REPORT = {
    "stage": "hybrid",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 0, "to": 16, "version": 1},
    "busy": False,
    "sequence": 2,
    "waiting": 1,
    "running": 12,
    "kvUsed": 41000,
    "kvTotal": 90000,
    "handles": 0,
    "pace": 1.0,
    "born": 1700000000000,
}
VARIANT = Variant(model="m", adapter="", version="2")
MANIFEST = {
    "model": "m",
    "version": 2,
    "chunkBytes": 32768,
    "layers": 16,
    "digests": ["0f" * 32, "a9" * 32],
}
DEEP = b"[" * 100_000 + b"]" * 100_000


def raw(example, name, text):
    return json.dumps({**example, name: "RAW"}).replace('"RAW"', text).encode()


def body_of(example, change):
    if isinstance(change, bytes):
        return change
    fields = {name: value for name, value in {**example, **change}.items() if value is not None}
    return json.dumps(fields).encode()


REPORT_ODDITIES = {
    "running 1e999": raw(REPORT, "running", "1e999"),
    "running NaN": raw(REPORT, "running", "NaN"),
    "running -1": {"running": -1},
    "running 33 bits": {"running": 1 << 32},
    "running true": {"running": True},
    'running "12"': {"running": "12"},
    "no running": {"running": None},
    "waiting of 400 digits": raw(REPORT, "waiting", "9" * 400),
    "kvUsed of 70 bits": {"kvUsed": 1 << 69},
    "kvUsed -1": {"kvUsed": -1},
    "kvTotal 1e999": raw(REPORT, "kvTotal", "1e999"),
    "born 1e999": raw(REPORT, "born", "1e999"),
    "born of 70 bits": {"born": 1 << 69},
    "born true": {"born": True},
    "sequence -1": {"sequence": -1},
    "sequence 1e999": raw(REPORT, "sequence", "1e999"),
    "pace NaN": raw(REPORT, "pace", "NaN"),
    "pace 1e999": raw(REPORT, "pace", "1e999"),
    "pace -1": {"pace": -1},
    'busy "no"': {"busy": "no"},
    "layers reversed": {"layers": {"from": 9, "to": 3, "version": 1}},
    "layers of 20 bits": {"layers": {"from": 0, "to": 1 << 19, "version": 1}},
    "a version of 33 bits": {"layers": {"from": 0, "to": 16, "version": 1 << 32}},
    "a text as its models": {"models": "m"},
    "a number as a model": {"models": [7]},
    "a lone surrogate in a model": {"models": [{"name": "\ud800"}]},
    "nesting of 100,000 levels": DEEP,
    "a list": b"[1]",
    "nothing": b"",
}
MANIFEST_ODDITIES = {
    "the chunk size 1e999": raw(MANIFEST, "chunkBytes", "1e999"),
    "the chunk size 0": {"chunkBytes": 0},
    "a negative chunk size": {"chunkBytes": -1},
    "a chunk size of 70 bits": {"chunkBytes": 1 << 69},
    "a chunk size of 1 GiB": {"chunkBytes": 1 << 30},
    "no digests": {"digests": None},
    "an empty list of digests": {"digests": []},
    "5,000 digests": {"digests": ["0f" * 32] * 5000},
    "a digest that is no hex": {"digests": ["zz" * 32]},
    "a digest that is a number": {"digests": [int("1" * 64)]},
    "a digest of 10 MB": {"digests": ["0f" * (5 << 19)]},
    "another model": {"model": "n"},
    "another version": {"version": 3},
    'the version "2"': {"version": "2"},
    "the version true": {"version": True},
    "nesting of 100,000 levels": DEEP,
    "a list": b"[1]",
    "broken text": b"{",
}


def ask(client_of, call, body):
    """Return the result of a call to a stand-in that answers with a body."""

    async def run():
        stand_in = ScriptedStore()
        stand_in.answers = [(200, body)]
        pool = ConnectionPool(max_idle=1)
        try:
            return await call(client_of(pool, stand_in.address))
        finally:
            pool.close()
            stand_in.server.stop()

    return asyncio.run(run())


@when("a runner reports {oddity}")
def step_report(context, oddity):
    context.found = ask(
        lambda pool, address: RunnerClient(pool=pool, address=address),
        lambda client: client.state(),
        body_of(REPORT, REPORT_ODDITIES[oddity]),
    )


@when("the origin answers with a manifest with {oddity}")
def step_manifest(context, oddity):
    context.found = ask(
        lambda pool, address: OriginClient(pool=pool, address=lambda: address),
        lambda client: client.manifest(VARIANT),
        body_of(MANIFEST, MANIFEST_ODDITIES[oddity]),
    )


@then("the answer counts as unusable, with a short reason")
def step_unusable_answer(context):
    assert isinstance(context.found, Failure), context.found
    assert len(context.found.failure().detail) <= 200, context.found.failure()


@when("random values replace random fields of a report")
def step_random_report(context):
    context.reports, context.bad = 0, []
    values = any_json([*REPORT, *REPORT["layers"], "name"])

    @property_given(st.dictionaries(st.sampled_from([*REPORT]), values, max_size=2))
    def check(changes):
        try:
            state = runner_state(json.dumps({**REPORT, **changes}).encode())
        except InvalidFieldError:
            return
        context.reports += 1
        report = to_report(RUNNER, state, is_easing=False)
        (frame,) = FrameBuffer().feed(encode(report)).unwrap()
        if decode(frame).unwrap() != report or not math.isfinite(report.pace):
            context.bad.append(report)

    check()


@then("each state that is read arrives at entry processes as it was sent")
def step_report_arrives(context):
    assert context.reports and not context.bad, context.bad[:3]


@when("random values replace random fields of a manifest")
def step_random_manifest(context):
    context.manifests, context.bad = 0, []
    values = any_json([*MANIFEST])

    @property_given(st.dictionaries(st.sampled_from([*MANIFEST]), values, max_size=2))
    def check(changes):
        try:
            found = to_manifest(VARIANT, json.dumps({**MANIFEST, **changes}).encode())
        except InvalidFieldError:
            return
        if isinstance(found, Success):
            context.manifests += 1
            if parse_manifest(found.unwrap().to_json()) != found:
                context.bad.append(found)

    check()


@then("each manifest that is taken is one that peers take, too")
def step_manifest_taken(context):
    assert context.manifests and not context.bad, context.bad[:3]


@when('a runner answers with the load "{text}"')
def step_load(context, text):
    headers = HTTPHeaders({"X-Wasabilb-Runner-Load": text})
    head = AnswerHead(status=200, reason="", headers=headers)
    context.load = PlatformHeaders().read_answer(head, 0.0).load


@then("its slots are read as {slots} and its pace as {pace}")
def step_load_read(context, slots, pace):
    found = (str(context.load.slots), f"{context.load.pace:g}") if context.load else ("no", "load")
    assert found == (slots, pace), context.load
