"""Entry process before agents whose servers crash under a request, on a virtual clock.

The routers, the attempts and the guard are those of the product; links, agents and servers are
simulated.
"""

import asyncio
import itertools
import json
import logging
import random
from collections import Counter
from types import SimpleNamespace

from guard_factory import make_guard
from wasabilb_core.crash_subjects import whole_request
from wasabilb_core.retries import RetryBudget
from wasabilb_core.routing import ROUTING
from wasabilb_core.size_predictor import SizePredictor
from wasabilb_core.tickets import Variant
from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_entry.model_requests import ModelRouter
from wasabilb_entry.prompts import parse_prompt
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord
from wasabilb_entry.service_call import ServiceCall
from wasabilb_entry.service_requests import ServiceRouter
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import Call, End, Fail, Head, StreamData

LOG_FIELDS = ("process", "role", "host", "failure_domain", "incarnation")
LOG = EventLog(**dict.fromkeys(LOG_FIELDS, "1"), logger=logging.Logger("silent", logging.CRITICAL))
ACCOUNT = SimpleNamespace(name="a", weight=1.0)
# Duration of a call to a service, and time until a server crashes under it, seconds.
RUN_S = 0.03
CRASH_DELAY_S = 0.02
# Tokens of an answer, and time between them, seconds: the first ones come before a crash.
TOKENS, TOKEN_S = 5, 0.008
CALLER_LEFT_S = 10.0


class CrashingAgents:
    """Links to agents; a server crashes under calls with a text and takes all its calls with it."""

    def __init__(self, *, hosts, down_s, text):
        self.hosts = [f"h{n}" for n in range(hosts)]
        self.down_s, self.text = down_s, text
        self.handlers, self.on_link_down, self.on_link_up = {}, [], []
        self.up, self.running, self.crashes = set(self.hosts), {}, 0
        # Crashes under each request that crashes servers.
        self.crashes_under = Counter()
        self.keys = set()
        self.tasks = set()

    def set_handler(self, kind, handler):
        self.handlers[kind] = handler

    def peer(self, host):
        peer = SimpleNamespace(host=host, link=SimpleNamespace(is_closed=False), remote_now=1.0)
        peer.hello = SimpleNamespace(incarnation=1)
        peer.send = lambda message: self.on_message(peer, message)
        return peer

    def on_message(self, peer, message):
        if isinstance(message, Call):
            task = asyncio.ensure_future(self.run(peer, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return True

    def tell(self, peer, message):
        self.handlers[type(message)](peer, message)

    async def run(self, peer, call):
        """Answer a call, unless its server is down, or crashes under it or another one."""
        if call.key and call.key in self.keys:
            kind, outcome = "outcome-unknown", "unknown"
            self.tell(peer, Fail(id=call.id, kind=kind, detail="key", outcome=outcome))
            return
        if peer.host not in self.up:
            kind, outcome = "backend-unreachable", "not-run"
            self.tell(peer, Fail(id=call.id, kind=kind, detail="down", outcome=outcome))
            return
        self.keys.add(call.key)
        crash = asyncio.get_running_loop().create_future()
        self.running.setdefault(peer.host, set()).add(crash)
        is_deadly = self.text in call.path.encode() + call.body
        is_streamed = call.target == "m"
        if is_streamed:
            self.tell(peer, Head(id=call.id, status=200))
        if is_deadly:
            await asyncio.sleep(CRASH_DELAY_S)
            if not crash.done():
                self.crashes_under[(call.path, call.body)] += 1
                self.crash(peer.host)
        if is_streamed:
            await self.send_tokens(peer, call, crash)
        else:
            await asyncio.wait([crash], timeout=RUN_S)
        self.running[peer.host].discard(crash)
        if crash.done():
            kind = "outcome-unknown" if call.key else "stream-broken"
            fail = Fail(
                id=call.id, kind=kind, detail="", outcome="unknown", crash_ms=crash.result()
            )
            self.tell(peer, fail)
            return
        if not is_streamed:
            self.tell(peer, Head(id=call.id, status=200))
            self.tell(peer, StreamData(id=call.id, position=0, count=1, payload=b"a"))
        end = TOKENS if is_streamed else 1
        self.tell(peer, End(id=call.id, position=end, finish_reason="stop"))

    async def send_tokens(self, peer, call, crash):
        """Send the tokens of an answer until its server crashes."""
        payload = json.dumps(["a "]).encode()
        for position in range(call.resume_from, TOKENS):
            await asyncio.wait([crash], timeout=TOKEN_S)
            if crash.done():
                return
            data = StreamData(id=call.id, position=position, count=1, payload=payload)
            self.tell(peer, data)

    def crash(self, host):
        """End a server and all calls that run there; it is back after a while."""
        self.crashes += 1
        self.up.discard(host)
        for crash in self.running.pop(host, set()):
            crash.set_result(self.crashes)
        self.running[host] = set()
        asyncio.get_running_loop().call_later(self.down_s, self.up.add, host)


class OwnInterface:
    """One entry process with both routers of the product's own interface."""

    def __init__(self, *, agents, seed, routing="least_in_flight"):
        self.agents = agents
        self.numbers = itertools.count(1)
        variant = Variant(model="m", adapter="", version="v1")
        spec = SimpleNamespace(
            name="s", is_once=lambda _, path: path.startswith("/book"), owners=tuple(agents.hosts)
        )
        membership = SimpleNamespace(
            runners_of=lambda *_: {variant: sorted(agents.up)},
            hosts_of=lambda *_: sorted(agents.up),
            report_of=lambda _: None,
        )
        attempts = AttemptTable(links=agents, log=LOG)
        shared = {"membership": membership, "attempts": attempts, "rng": random.Random(seed)}
        shared |= {"guard": make_guard(LOG), "credit_bytes": 1000}
        self.models = ModelRouter(
            **shared,
            routing=ROUTING.create(routing).unwrap(),
            predictor=SizePredictor(),
            budget=RetryBudget(),
            hedging=None,
            watch=None,
            metrics=SimpleNamespace(count=lambda *_: None),
            log=LOG,
            progress_s=1.0,
        )
        self.services = ServiceRouter(
            **shared,
            routing=ROUTING.create("least_in_flight").unwrap(),
            fleet=SimpleNamespace(service=lambda _: spec, order_of=lambda _: 1),
            links=agents,
            add_target=lambda _: None,
        )

    def _request(self, method, target, body):
        subject = whole_request(
            account=ACCOUNT.name, method=method, host="", target=target, body=body
        )
        return CallerRequest(
            id=f"r-{next(self.numbers)}",
            account=ACCOUNT,
            deadline=now() + CALLER_LEFT_S,
            subjects=(subject,),
        )

    async def complete(self, prompt):
        """Send a model request; return its error, None if it is answered, and its attempts."""
        body = json.dumps({"model": "m", "prompt": prompt}).encode()
        record = RequestRecord(kind="completion")
        parts = self.models.answer(
            req=self._request("POST", "/v1/completions", body),
            prompt=parse_prompt(body, is_chat=False).unwrap(),
            record=record,
        )
        return await _outcome(parts), record.attempts

    async def call(self, method, path, body=b"", key=""):
        """Send a request to the service; return its error or None, and its attempts."""
        record = RequestRecord(kind="service")
        call = ServiceCall(
            service="s",
            method=method,
            path=path,
            headers=[],
            body=body,
            key_text=key,
            key_created=str(int(now() * 1000)) if key else None,
        )
        parts = self.services.answer(
            req=self._request(method, f"/services/s{path}", body),
            call=call,
            record=record,
            on_key=lambda _: None,
        )
        return await _outcome(parts), record.attempts


async def _outcome(parts):
    try:
        async for _ in parts:
            pass
    except RequestFailedError as exc:
        return exc.error
    return None
