"""Steps about the platform adapter; only these tests use the names of the platform."""

import asyncio
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import strategies as st
from platform_examples import CATALOG, DECODER, RUNNER, SALT, SETTINGS, ScriptedStore, entry, item
from returns.result import Failure
from tornado.httputil import HTTPHeaders
from wasabilb_core.catalog import Catalog, RequestKind, WeightTarget, key_digest
from wasabilb_core.forwarding_metadata import ForwardMetadata
from wasabilb_core.prompt_parts import parts_text
from wasabilb_core.runner_directory import Runner
from wasabilb_core.runner_stats import LoadReport, RunnerStats
from wasabilb_node.http_client import AnswerHead, ConnectionPool
from wasabilb_node.published_source import Unusable
from wasabilb_platform import store as store_module
from wasabilb_platform.headers import PlatformHeaders
from wasabilb_platform.settings import to_settings
from wasabilb_platform.store import store_source


@when("the example of a catalog is decoded")
def decode_catalog(context):
    context.catalog = DECODER.decode(item("op/config", CATALOG))
    assert isinstance(context.catalog, Catalog)


@then("its routes have kinds, times in seconds, attempts and the longest prefix wins")
def check_routes(context):
    wide = context.catalog.route_for("h.example", "/a/x")
    deep = context.catalog.route_for("H.example", "/a/b/x")
    assert (wide.name, deep.name) == ("wide", "deep")
    assert wide.kind is RequestKind.NON_IDEMPOTENT and not wide.is_repeatable
    assert (wide.timeout_s, wide.objective_s, wide.max_attempts) == (0.8, 0.15, 1)
    assert deep.is_repeatable and deep.gap_objective_s == 0.4
    shares = [deep.service_for(f"q-{n}") for n in range(2000)]
    assert 0.70 < shares.count("llm") / 2000 < 0.80
    assert context.catalog.route_for("h.example", "/b/") is None
    assert context.catalog.route_for("other.example", "/a/") is None


@then("its accounts are found by their keys, and the keys themselves are not held")
def check_accounts(context):
    found = context.catalog.account_for(key_digest("key-two", SALT))
    assert found.name == "acme" and found.priority == 0
    assert context.catalog.account_for(key_digest("key-three", SALT)) is None
    assert "key-one" not in repr(context.catalog)


@then("its engine and origin have their rates in seconds and bytes")
def check_engine(context):
    engine = context.catalog.services["llm"].engine
    assert (engine.model, engine.layers, engine.chunks) == ("m", 16, 48)
    assert abs(engine.step_s - 0.00887) < 1e-9 and engine.prefill_tokens_per_s == 19100.0
    assert abs(engine.step_per_token_s - 0.0227 / 1e6) < 1e-15
    assert abs(engine.prefill_pair_s - 1.47 / 1e9) < 1e-18
    origin = context.catalog.origin
    assert (origin.address, origin.bytes_per_s) == ("10.0.0.9:81", 1.875e6)


@when("a runner's entry has {fault}")
def entry_with_fault(context, fault):
    values = {
        "bytes that are no JSON": b"\xff{",
        "a list": [1],
        "no address": {k: v for k, v in RUNNER.items() if k != "address"},
        "an unknown state": {**RUNNER, "state": "asleep"},
        "a text for the places": {**RUNNER, "slots": "16"},
        "no start time": {k: v for k, v in RUNNER.items() if k != "born"},
        "a port that is no number": {**RUNNER, "address": "10.0.0.1:http"},
    }
    context.decoded = DECODER.decode(item("servers/i-1", values[fault]))


@then("it is decoded as nothing")
def check_nothing_decoded(context):
    assert isinstance(context.decoded, Unusable), context.decoded


@when("random JSON is published under each name")
def random_json(context):
    context.kinds = set()
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
    names = st.sampled_from([*RUNNER, *CATALOG, "model"])
    values = st.recursive(
        leaves, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names, inner)
    )
    keys = st.sampled_from(["op/config", "op/version/m", "servers/i-1", "servers/", "x"])

    @property_given(keys, values)
    def check(name, value):
        context.kinds.add(type(DECODER.decode(item(name, value))))

    check()


@then("each is decoded into a known type or nothing")
def check_types(context):
    assert context.kinds <= {Catalog, Runner, WeightTarget, Unusable}


@when("a runner's entry is listed again with a later start")
def listed_again(context):
    first = DECODER.decode(item("servers/i-1", RUNNER))
    again = DECODER.decode(item("servers/i-1", {**RUNNER, "born": RUNNER["born"] + 5}))
    assert (first.version, first.has_all_layers(16), first.cold_s) == (3, True, 0.5)
    book = RunnerStats()
    book.on_report(first, LoadReport(running=9, waiting=4, at=10.0))
    context.view = book.view(again, now=10.0, engine=None, access_cost_s=0.0)


@then("its earlier reports no longer count")
def check_reports_dropped(context):
    assert (context.view.reported_running, context.view.reported_queued) == (0, 0)


@when('a caller names the parts of a prompt as "{header}"')
@when('a caller names the parts of a prompt as ""')
def names_parts(context, header=""):
    headers = HTTPHeaders({"X-Wasabilb-Prompt-Prefix": header})
    context.parts = PlatformHeaders().read_request(headers).shared_parts


@then('the parts that other requests may share are "{parts}"')
@then('the parts that other requests may share are ""')
def check_parts(context, parts=""):
    assert parts_text(context.parts) == parts, context.parts


@then('its part is not the one that is named "{name}"')
def check_other_part(context, name):
    (part,) = context.parts
    assert part != int(name, 16), context.parts


@then("three parts are told apart by 64-bit numbers")
def check_number_range(context):
    assert len(set(context.parts)) == 3, context.parts
    assert all(0 <= part < 2**64 for part in context.parts), context.parts


@when("a caller's headers are translated for a runner")
def translate(context):
    caller = HTTPHeaders(
        {
            "Host": "h.example",
            "X-Wasabilb-Request-Id": "q-1",
            "X-Wasabilb-Request-Timeout-Ms": "6060",
            "X-Wasabilb-Token-Count": "1460,80",
            "X-Wasabilb-Model": "m",
            "Authorization": "Token secret",
            "X-Wasabilb-Tenant": "rich",
            "X-Wasabilb-Expect-Runner": "i-9",
            "Path": "10.0.0.1:80=0-16",
            "Connection": "keep-alive, X-Hop",
            "X-Hop": "1",
            "X-Other": "kept",
        }
    )
    protocol = PlatformHeaders()
    context.facts = protocol.read_request(caller)
    sent = ForwardMetadata(runner_id="i-1", timeout_s=1.25, account="acme", version=2)
    context.sent = protocol.write_request(caller, sent)


@then("the runner, the account, the version and the remaining time are named")
def check_named(context):
    sent = context.sent
    assert sent["X-Wasabilb-Expect-Runner"] == "i-1"
    assert sent["X-Wasabilb-Tenant"] == "acme"
    assert sent["X-Wasabilb-Expect-Version"] == "2"
    assert sent["X-Wasabilb-Request-Timeout-Ms"] == "1250"
    assert (context.facts.timeout_s, context.facts.key) == (6.06, "secret")
    assert (context.facts.prompt_tokens, context.facts.max_answer_tokens) == (1460, 80)


@then("the key, other claims and headers of the connection are removed")
def check_removed(context):
    for name in ("Authorization", "Path", "Connection", "X-Hop"):
        assert name not in context.sent, name


@then("all other headers are unchanged")
def check_unchanged(context):
    for name, value in (
        ("Host", "h.example"),
        ("X-Wasabilb-Request-Id", "q-1"),
        ("X-Wasabilb-Token-Count", "1460,80"),
        ("X-Wasabilb-Model", "m"),
        ("X-Other", "kept"),
    ):
        assert context.sent[name] == value, name


@when("a runner answers {status:d} with {header}")
def answers(context, status, header):
    names = {"a seal": "X-Wasabilb-Runner-Seal", "not executed": "X-Wasabilb-Not-Executed"}
    headers = HTTPHeaders({names[header]: "1"}) if header in names else HTTPHeaders()
    head = AnswerHead(status=status, reason="", headers=headers)
    context.answer = PlatformHeaders().read_answer(head, 0.0)


@then("the request counts as {outcome}")
def check_outcome(context, outcome):
    seen = (context.answer.is_sealed, context.answer.is_not_run)
    expected = {"run": (True, False), "not run": (False, True), "unknown": (False, False)}
    assert seen == expected[outcome], seen


@when('a runner answers with the announcement "{value}" of its leaving')
def answers_with_announcement(context, value):
    headers = HTTPHeaders({} if value == "-" else {"Server-Leaving": value})
    head = AnswerHead(status=200, reason="", headers=headers)
    context.answer = PlatformHeaders().read_answer(head, 0.0)


@then("the runner counts as {state}")
def check_leaving(context, state):
    assert context.answer.is_leaving == (state == "leaving"), context.answer


@when("a runner answers {status:d} and requests a pause of {text}")
def requests_pause(context, status, text):
    headers = HTTPHeaders({"Retry-After": text})
    head = AnswerHead(status=status, reason="", headers=headers)
    context.answer = PlatformHeaders().read_answer(head, 0.0)


@then("the requested pause is {seconds} s")
def check_pause(context, seconds):
    pause = context.answer.pause
    assert (pause and pause.seconds) == (None if seconds == "none" else float(seconds)), pause


@when("a runner answers {status:d} and names the limit {text}")
def names_limit(context, status, text):
    headers = HTTPHeaders()
    if text != "nothing":
        headers["Server-Limit"] = "9" * 400 if text == "400 nines" else text
    head = AnswerHead(status=status, reason="", headers=headers)
    context.answer = PlatformHeaders().read_answer(head, 0.0)


@then("the limit is {per_s} a second, read as {reading}")
def check_limit(context, per_s, reading):
    limit = context.answer.limit
    if reading == "nothing":
        assert limit is None, limit
        return
    assert limit.per_s == (None if per_s == "none" else float(per_s)), limit
    assert limit.reading.value == reading and len(limit.text) <= 40, limit


@then("the answer is not the asked runner's")
def check_other_runner(context):
    assert not context.answer.is_from_runner, context.answer


@given("a stand-in of the store with two pages of items")
def store_stand_in(context):
    context.script = [
        (200, {"items": [entry("a", 2, b"1")], "currentRev": 5, "morePages": True}),
        (200, {"items": [entry("b", 6, b"2")], "currentRev": 6, "morePages": False}),
        (200, {"events": [{"key": "a", "revision": 7, "deleted": True}], "currentRev": 7}),
        (410, {"currentRev": 9}),
        (503, {}),
        (200, {"no": "events"}),
        (0, None),
    ]


@when("a snapshot is read and changes are awaited")
def read_store(context):
    async def run():
        stand_in = ScriptedStore()
        stand_in.answers = list(context.script)
        pool = ConnectionPool(max_idle=2)
        source = store_source(pool, stand_in.address)
        usual = store_module.WATCH_WAIT_MS, store_module.WATCH_SLACK_S
        store_module.WATCH_WAIT_MS, store_module.WATCH_SLACK_S = 100, 0.1
        try:
            context.snapshot = (await source.snapshot()).unwrap()
            context.changes = [await source.changes(after) for after in (5, 7, 9, 9, 9)]
        finally:
            store_module.WATCH_WAIT_MS, store_module.WATCH_SLACK_S = usual
        context.targets = stand_in.targets
        pool.close()
        stand_in.server.stop()

    asyncio.run(run())


@then("the snapshot has all items and each change has its revision")
def check_items(context):
    items = [(i.name, i.revision, i.body) for i in context.snapshot.items]
    assert items == [("a", 2, b"1"), ("b", 6, b"2")], items
    # Changes made while the pages were read are requested again.
    assert context.snapshot.revision == 5
    changed = context.changes[0].unwrap()
    assert changed.revision == 7 and changed.items[0].body is None
    assert "after=a" in context.targets[1] and "after=5" in context.targets[2]


@then("a lost history is reported as such")
def check_history_lost(context):
    assert context.changes[1].unwrap().is_history_lost


@then("a store that answers with status 503 or nothing is reported as unavailable")
def unavailable(context):
    assert all(isinstance(found, Failure) for found in context.changes[2:])


@when("the example of a settings file is read")
def read_settings_file(context):
    context.settings = to_settings(SETTINGS)


@then("addresses, rates and bounds have the product's units")
def check_settings(context):
    boot = context.settings
    assert boot.seed_ips == ("10.1.0.40", "10.2.0.37") and boot.own_port == 7700
    assert boot.link_bits_per_s == 4.7e6 and boot.version_s == 8.0
    assert (boot.retry_ratio, boot.retry_slack, boot.grace_s) == (0.2, 102.0, 8.0)
    assert boot.runner_address == ""


# Loads a program while all packages but the named ones and the product's own are missing.
LOAD_PROGRAM = """
import subprocess
import sys
sys.path[:0] = {paths!r}
allowed = {allowed!r}
class Missing:
    def find_spec(self, name, path=None, target=None):
        top = name.partition(".")[0]
        if top in sys.stdlib_module_names or top in allowed or top.startswith("_"):
            return None
        raise ModuleNotFoundError(f"{{name}} is not installed there", name=name)
sys.meta_path.insert(0, Missing())
import wasabilb_platform.{program}_program
"""
# Packages by the names under which they are imported, with those that they need themselves.
IMPORT_NAMES = {
    "attrs": ("attr", "attrs"),
    "pycapnp": ("capnp",),
    "prometheus-client": ("prometheus_client",),
}


@when("the {program} program is loaded with only the packages of its requirements")
def load_program(context, program):
    root = Path(__file__).resolve().parents[2]
    lines = (root / "platform" / "requirements.txt").read_text().splitlines()
    names = [line.partition("=")[0].strip().lower() for line in lines if line[:1].isalpha()]
    allowed = {part for name in names for part in IMPORT_NAMES.get(name.replace("_", "-"), (name,))}
    allowed |= {"typing_extensions", "wasabilb_platform"}
    sources = sorted(str(path) for path in root.glob("packages/wasabilb-*/src"))
    allowed |= {Path(path).parent.name.replace("-", "_") for path in sources}
    code = LOAD_PROGRAM.format(
        paths=[str(root / "platform"), *sources], allowed=sorted(allowed), program=program
    )
    context.loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False, timeout=60
    )


@then("it can be loaded")
def check_loaded(context):
    assert context.loaded.returncode == 0, context.loaded.stderr[-600:]
