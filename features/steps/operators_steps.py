"""Steps about the operators' commands, logs, metrics and reports."""

import ast
import contextlib
import http.server
import io
import logging
import os
import re
import shlex
import socket
import sys
import tempfile
import threading
import xml.etree.ElementTree
from pathlib import Path
from unittest import mock

from attrs import evolve
from behave import given, then, when
from hypothesis import example
from hypothesis import given as property_given
from hypothesis import strategies as st
from wasabilb_agent.cli import PROGRAM as AGENT
from wasabilb_core.account_keys import AccountKeyVerifier, hash_key
from wasabilb_core.metric_names import Metric
from wasabilb_core.settings import AgentSettings, EntrySettings, LogSettings, parse_settings
from wasabilb_core.status import HostStatus, Status, to_status_json
from wasabilb_core.tickets import parse_ticket
from wasabilb_core.timeline import merge_events, parse_event
from wasabilb_entry.cli import PROGRAM as ENTRY
from wasabilb_node.logs import EventLog, LineFormatter, configure_logging
from wasabilb_node.metrics import Metrics

sys.path.append(str(Path(__file__).parents[2] / "tools"))
import check_docs
import check_events

START_S = 1_800_000_000.0


class Host:
    """A host with its own wall clock and the lines that it logged."""

    def __init__(self, *, name: str, role: str = "agent", offset_s: float = 0.0) -> None:
        self.name, self.role, self.offset_s = name, role, offset_s
        self.now_s = 0.0
        self.stream = io.StringIO()
        self.restart("1")

    def restart(self, incarnation: str) -> None:
        """Continue the log as another incarnation."""
        logger = logging.Logger(self.name)
        handler = logging.StreamHandler(self.stream)
        handler.setFormatter(LineFormatter())
        logger.addHandler(handler)
        self.log = EventLog(
            process="1",
            role=self.role,
            host=self.name,
            failure_domain="dub",
            incarnation=incarnation,
            logger=logger,
            wall=lambda: START_S + self.now_s + self.offset_s,
            monotonic=lambda: self.now_s,
        )

    def at(self, now_s: float, name: str, **fields: object) -> None:
        """Log an event at a time of the true clock."""
        self.now_s = now_s
        self.log.event(name, **fields)

    def events(self) -> list:
        """Return the logged events."""
        return [parse_event(line).unwrap() for line in self.stream.getvalue().splitlines()]


def scenario_folder(context) -> Path:
    """Return the scenario's temporary folder."""
    if not hasattr(context, "folder"):
        temporary = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary.cleanup)
        context.folder = Path(temporary.name)
    return context.folder


def run(context, command: str, stdin: str = "") -> None:
    """Run a command line in the scenario's folder and keep its outputs."""
    name, *argv = shlex.split(command)
    out, err = io.StringIO(), io.StringIO()
    before = Path.cwd()
    os.chdir(scenario_folder(context))
    try:
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            mock.patch.object(sys, "stdin", io.StringIO(stdin)),
        ):
            context.exit = {"wasabilb": ENTRY, "wasabilb-agent": AGENT}[name].run(argv)
    finally:
        os.chdir(before)
    context.out, context.err = out.getvalue(), err.getvalue()


@given('a file "{name}"')
def step_file(context, name):
    (scenario_folder(context) / name).write_text(context.text, encoding="utf-8")


@when('the operator runs "{command}"')
def step_run(context, command):
    run(context, command)


@then("the exit status is {status:d}")
def step_exit(context, status):
    assert context.exit == status, (context.exit, context.out, context.err)


@then("standard error names these places in order")
def step_places(context):
    lines, expected = context.err.splitlines(), [row["place"] for row in context.table]
    assert len(lines) == len(expected), context.err
    for line, place in zip(lines, expected, strict=True):
        assert line.startswith(place), f"expected {place} in: {line}"


@then('standard output holds "{text}"')
def step_out(context, text):
    assert text in context.out, context.out


@then('standard error holds "{text}"')
def step_err(context, text):
    assert text in context.err, context.err


@then('neither output holds "{text}"')
def step_neither(context, text):
    assert text not in context.out + context.err


@then('standard error is one line that holds "{text}"')
def step_one_line(context, text):
    assert context.err.count("\n") == 1 and text in context.err, context.err
    assert not context.out and "Traceback" not in context.err


@then('standard output has {count:d} lines that all hold "{text}"')
def step_lines(context, count, text):
    lines = context.out.splitlines()
    assert len(lines) == count and all(text in line for line in lines), context.out


@when('"wasabilb entry" and "wasabilb-agent" run with valid settings and a stand-in process')
def step_processes(context):
    page = (check_docs.ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    examples = re.findall(r"```toml\n(.*?)```", page, re.S)
    context.started = []
    for command, text in zip(("wasabilb entry", "wasabilb-agent"), examples, strict=True):
        (scenario_folder(context) / "valid.toml").write_text(text, encoding="utf-8")
        stand_in = mock.Mock(run=context.started.append)
        names = ("wasabilb_entry.process", "wasabilb_agent.process")
        with mock.patch.dict(sys.modules, dict.fromkeys(names, stand_in)):
            run(context, f"{command} --settings valid.toml")
        assert context.exit == 0 and not context.err, context.err


@then("each process was given its settings once")
def step_started(context):
    assert [type(settings) for settings in context.started] == [EntrySettings, AgentSettings]
    assert [s.host for s in context.started] == ["entry-dub-1", "runner-dub-1"]


VALUES = [
    "3",
    "-1",
    "nan",
    "inf",
    "true",
    '""',
    '"x"',
    "[]",
    "{}",
    "[1]",
    "[[]]",
    "{a=1}",
    "9" * 40,
]
DAMAGE = st.lists(st.tuples(st.integers(0, 60), st.none() | st.sampled_from(VALUES)), max_size=4)


@then("random damage to the examples of the pages gives problems within the file")
def step_damage(context):
    pages = [check_docs.ROOT / "docs" / name for name in ("settings.md", "tickets.md")]
    examples = [
        found
        for page in pages
        for found in re.findall(r"```toml\n(.*?)```", page.read_text(encoding="utf-8"), re.S)
    ]

    @property_given(st.sampled_from(examples), DAMAGE)
    @example(examples[-1], [(19, "[]")])
    def check(text, damage):
        lines = text.split("\n")
        for place, value in damage:
            key, equals, _ = lines[place % len(lines)].partition("=")
            lines[place % len(lines)] = f"{key}= {value}" if equals and value else ""
        damaged = "\n".join(lines)
        for result in (
            parse_ticket(damaged),
            parse_settings(damaged, EntrySettings),
            parse_settings(damaged, AgentSettings),
        ):
            for problem in result.swap().value_or(()):
                assert 0 <= problem.line <= len(lines) and "\n" not in str(problem), problem
                assert not re.search("object|NoneType|Error", problem.message), problem

    check()


@then("the help of every command shows its usage and each of its arguments")
def step_help(context):
    run(context, "wasabilb --help")
    assert all(name in context.out for name in ENTRY.commands) and not context.err
    pages = [f"wasabilb {name}" for name in ENTRY.commands] + ["wasabilb-agent"]
    for page in pages:
        run(context, f"{page} --help")
        assert context.exit == 0 and not context.err, context.err
        usage, *rest = context.out.splitlines()
        assert usage.startswith(f"usage: {page}"), usage
        several = page.endswith(("check", "status", "lift", "timeline", "drill"))
        assert ("... " in f"{usage} ") == several, usage
        named = {part.strip("[]") for part in usage.split() if part.strip("[]").startswith("--")}
        for flag in named:
            rows = [line.split() for line in rest if line.strip().startswith(flag)]
            assert len(rows) == 1 and len(rows[0]) > 3, context.out


MESSAGES = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 2000)), min_size=1, max_size=30
)


@when("hosts whose clocks disagree by up to 30 s exchange random messages and log them")
def step_messages(context):
    context.misordered, context.orders = [], []

    @property_given(st.lists(st.integers(-15, 15), min_size=4, max_size=4), MESSAGES)
    def check(offsets, messages):
        hosts = [Host(name=f"h{n}", offset_s=o) for n, o in enumerate(offsets)]
        causes_of: dict[str, set[str]] = {}
        seen: list[set[str]] = [set() for _ in hosts]
        now = 0.0
        for number, (sender, receiver, pause_ms) in enumerate(messages):
            now += pause_ms / 1000
            for host, end in ((sender, "out"), (receiver, "in")):
                if end == "in":
                    hosts[host].now_s = now
                    hosts[host].log.receive(hosts[sender].log.timestamp())
                    seen[host] |= seen[sender]
                name = f"{number}{end}"
                hosts[host].at(now, "request_moved", request=name)
                causes_of[name] = set(seen[host])
                seen[host].add(name)
        logs = [host.events() for host in hosts]
        order = [event.fields["request"] for event in merge_events(logs)]
        context.orders.append(order == [e.fields["request"] for e in merge_events(logs[::-1])])
        place = {name: index for index, name in enumerate(order)}
        context.misordered += [
            (name, cause)
            for name, causes in causes_of.items()
            for cause in causes
            if place[cause] > place[name]
        ]

    check()


@then("every event stands after all events that it depends on")
def step_causes(context):
    assert len(context.orders) >= 100 and not context.misordered, context.misordered[:3]


@then("the order does not depend on the order of the logs")
def step_log_order(context):
    assert all(context.orders)


@then("random values read back from one log line as they were written")
def step_values(context):
    # Surrogates cannot be written as UTF-8; the handler replaces them.
    texts = st.text(st.characters(exclude_categories=["Cs"]))

    @property_given(texts, texts)
    def check(reason, detail):
        host = Host(name="h")
        host.at(0.0, "request_moved", request=reason, reason=detail)
        written = host.stream.getvalue()
        assert written.count("\n") == 1
        event = parse_event(written).unwrap()
        assert (event.fields["request"], event.fields["reason"]) == (reason, detail)
        assert event.hostname == "h"

    check()


@given("the recorded log of the rollout of ticket 12")
def step_recorded(context):
    entry, r1 = Host(name="e1", role="entry"), Host(name="r1")
    r2 = Host(name="r2", offset_s=3.0)

    def write(host, now, name, **fields):
        r2.now_s = host.now_s = now
        host.log.receive(r2.log.timestamp())
        host.at(now, name, **fields)

    new = {"model": "draft", "version": "v2"}

    def request(now, name, version, first_byte_ms, **fields):
        fields = {"status": 200, "outcome": "ran", "is_whole": True, **fields}
        fields |= {"duration_ms": first_byte_ms * 2, "first_byte_ms": first_byte_ms}
        write(entry, now, "request_done", request=name, model="draft", version=version, **fields)

    request(-2.0, "q1", "v1", 5.0, account="<b>")
    write(entry, 0.0, "ticket_accepted", ticket=12, source="platform")
    for host, now in ((r1, 0.5), (r2, 1.0)):
        write(host, now, "ticket_accepted", ticket=12, source="e1")
        write(host, now, "transfer_started", ticket=12, **new)
    write(r1, 2.0, "chunk_received", source="origin", bytes=1000, **new)
    write(r1, 2.5, "transfer_done", ticket=12, bytes_origin=1000, bytes_peers=0, **new)
    write(r1, 3.0, "version_ready", ticket=12, **new)
    request(3.5, "q2", "v2", 20.0)
    request(3.6, "q3", "", 1.0, status=503, outcome="not-run", is_whole=False)
    request(3.7, "q4", "v1", 1.0, status=502, outcome="unknown", is_whole=False)
    write(entry, 3.7, "request_moved", request="q4", reason="stream-broken", tokens=2)
    unknown = {"status": 503, "outcome": "unknown", "is_whole": False, "duration_ms": 1.0}
    write(entry, 3.8, "request_done", request="q6", service="bookings", **unknown)
    # The first incarnation of r2 ends in the middle of its transfer.
    write(r2, 2.0, "chunk_received", source="origin", bytes=500, **new)
    r2.restart("2")
    write(r2, 3.0, "transfer_started", ticket=12, **new)
    write(r2, 4.0, "chunk_received", source="r1", bytes=900, **new)
    write(r2, 4.5, "transfer_done", ticket=12, bytes_origin=0, bytes_peers=1500, **new)
    write(r2, 5.0, "version_ready", ticket=12, **new)
    request(10.0, "q5", "v2", 5.0)
    for host in (entry, r1, r2):
        path = scenario_folder(context) / f"{host.name}.log"
        path.write_text(host.stream.getvalue() + "ts=x event=cut", encoding="utf-8")


@then("the text of the report holds")
def step_report(context):
    text = (context.folder / "report" / "drill-12.txt").read_text(encoding="utf-8")
    for row in context.table:
        assert row["text"].strip() in text, text


@then("the page of the report is well formed and escapes what it shows")
def step_page(context):
    page = (context.folder / "report" / "drill-12.html").read_text(encoding="utf-8")
    body = page[page.index("<body>") : page.index("</html>")]
    tree = xml.etree.ElementTree.fromstring(body)
    assert len(list(tree.iter("svg"))) == 3 and len(list(tree.iter("polyline"))) == 3
    assert "<b>" not in page and "<script" not in page


@when('an event and a library write the account key "{key}" to the log')
def step_leak(context, key):
    path = scenario_folder(context) / "leak.log"
    root = logging.getLogger()
    before, level = list(root.handlers), root.level
    handler = configure_logging(LogSettings(path=str(path)))
    try:
        log = EventLog(process="1", role="entry", host="e1", failure_domain="d", incarnation="1")
        log.event("request_done", request="q1", key=key, authorization=f"Bearer {key}")
        logging.getLogger("tornado").error("bad header 'Authorization: Bearer %s'", key)
        try:
            raise ValueError(f"Authorization:\nbearer\t{key}")
        except ValueError:
            logging.getLogger("tornado").exception("failed")
    finally:
        handler.close()
        root.handlers, root.level = before, level
    context.key, context.written = key, path.read_text(encoding="utf-8")


@then("the log names the refused field and never holds the key")
def step_no_leak(context):
    assert "in_event=request_done field=key,authorization" in context.written, context.written
    assert context.key not in context.written, context.written
    assert context.written.count("\n") == 4


@when('the operator hashes the key "{key}"')
def step_hash(context, key):
    run(context, "wasabilb key-hash", stdin=f"{key}\n")
    assert context.exit == 0 and key not in context.out + context.err
    context.key = key


@then("a ticket with this hash is valid and the key belongs to its account")
def step_hash_valid(context):
    text = f'number = 1\n[[accounts]]\nname = "salon"\nkey_hash = "{context.out.strip()}"'
    context.accounts = parse_ticket(text).unwrap().body.accounts
    context.check = AccountKeyVerifier(pepper=b"0123456789abcdef")
    for _ in range(2):
        assert context.check.find_account(context.key, context.accounts).name == "salon"


@then("a key that differs or that the account had before is refused")
def step_hash_refused(context):
    other = context.key + "x"
    for _ in range(2):
        assert context.check.find_account(other, context.accounts) is None
    added = evolve(context.accounts[0], name="new", key_hash=hash_key(other, b"1" * 16))
    assert context.check.find_account(other, [*context.accounts, added]) == added
    changed = hash_key("another-0123456789-abcdef", b"0" * 16)
    text = f'number = 2\n[[accounts]]\nname = "salon"\nkey_hash = "{changed}"'
    accounts = parse_ticket(text).unwrap().body.accounts
    assert context.check.find_account(context.key, accounts) is None


@given('a process that answers "/status"')
def step_answers(context):
    host = HostStatus(name="r1", state="live", variants=["draft@v2"])
    document = to_status_json(Status(host="e1", state="ready", hosts=[host])).encode()

    class Answer(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200 if self.path == "/status" else 404)
            self.end_headers()
            self.wfile.write(document)

        def log_message(self, *args):
            """Keep the output of the tests clean."""

    server = http.server.HTTPServer(("127.0.0.1", 0), Answer)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.port = server.server_port


@when("the operator requests the status of it and of a closed port")
def step_request_status(context):
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        addresses = f"127.0.0.1:{context.port} 127.0.0.1:{closed.getsockname()[1]}"
        run(context, f"wasabilb status {addresses}")


@then("a process without a statsd address opens no socket")
def step_no_metrics(context):
    with mock.patch.object(socket, "socket", side_effect=AssertionError("a socket was opened")):
        metrics = Metrics(address="", role="entry", host="e1", log=Host(name="e1").log)
        metrics.count(Metric.REQUESTS)
    assert not metrics.is_sending


@then("a process with one sends its metrics there under its role and host")
def step_metrics(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        metrics = Metrics(address=address, role="entry", host="e1", log=Host(name="e1").log)
        metrics.timing(Metric.FIRST_BYTE, 12.5)
        assert server.recv(512) == b"wasabilb.entry.e1.first_byte:12.500000|ms"
        metrics.close()


@then("an unknown event, an unknown field and a computed name are refused")
def step_check_events(context):
    code = 'log.event("link_up", peer="a")\nlog.event("no_such")\n'
    code += 'log.event("link_up", key="a")\nlog.event(name)'
    calls = check_events.event_calls(ast.parse(code))
    assert [len(list(check_events.call_problems(call))) for call in calls] == [0, 1, 1, 1]
    assert not list(check_events.table_problems())


@then("a changed default, a changed error and a misspelt example are found")
def step_check_docs(context):
    docs = check_docs.ROOT / "docs"
    for page, old, new in (
        ("settings", "| `peer_count` | integer | `3` |", "| `peer_count` | integer | `4` |"),
        ("api", "| `overloaded` | 503 |", "| `overloaded` | 500 |"),
    ):
        text = (docs / f"{page}.md").read_text(encoding="utf-8")
        assert old in text and check_docs.update_blocks(text.replace(old, new)) == text
    text = (docs / "tickets.md").read_text(encoding="utf-8")
    assert not list(check_docs.example_problems(text))
    misspelt = text.replace("while_loading = ", "while_loding = ")
    assert "did you mean 'while_loading'" in "".join(check_docs.example_problems(misspelt))
