"""Real components of entry processes and agents over in-memory links, with fake backend servers.

The fakes and the callers keep the record that the check of the promises reads.
"""

import asyncio
import hashlib
import logging
import random

from guard_factory import make_guard
from returns.result import Failure, Success
from wasabilb_agent._http_stream import ExchangeStoppedError
from wasabilb_agent.engine_client import Finished, Tokens
from wasabilb_agent.model_calls import ModelCalls
from wasabilb_agent.outgoing_answer import OutgoingAnswer
from wasabilb_agent.service_calls import ServiceCalls
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.fleet import FleetState
from wasabilb_core.membership import HostReport, Membership
from wasabilb_core.once import Ledger
from wasabilb_core.ownership import OnceOwnership
from wasabilb_core.queueing import QUEUES
from wasabilb_core.retries import HedgePolicy, RetryBudget
from wasabilb_core.routing import ROUTING
from wasabilb_core.size_predictor import SizePredictor
from wasabilb_core.tickets import Variant, parse_ticket
from wasabilb_entry.agent_attempts import AttemptTable
from wasabilb_entry.model_requests import ModelRouter
from wasabilb_entry.prompts import parse_prompt
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord
from wasabilb_entry.service_call import ServiceCall
from wasabilb_entry.service_requests import ServiceRouter
from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_standins.call_records import CallRecord
from wasabilb_standins.oracle import answer_length, token_text
from wasabilb_standins.promises import EngineRun, Execution, FleetRecord
from wasabilb_wire.messages import Call, Cancel, Credit

RUNNERS = ("r1", "r2")
HOSTS = ("s1", "s2")
MAX_TOKENS = 512
DEADLINE_S = 30.0
TOKEN_INTERVAL_S = 0.01
SERVICE_TIME_S = 0.2
PROGRESS_TIMEOUT_S = 1.0
VARIANT = Variant(model="m", adapter="", version="v1")
LOG = EventLog(
    process="1",
    role="entry",
    host="e1",
    failure_domain="d",
    incarnation="1",
    logger=logging.Logger("silent", logging.CRITICAL),
)
METRICS = Metrics(address="", role="entry", host="e1", log=LOG)


def ticket_text(number, *, version="v1", while_loading="", states=None):
    """Return the text of a ticket for the whole fleet."""
    while_loading_line = f'while_loading = "{while_loading}"\n' if while_loading else ""
    text = f'number = {number}\n[[models]]\nname = "m"\nversion = "{version}"\n{while_loading_line}'
    text += 'runners = ["r1", "r2"]\n[[services]]\nname = "bookings"\nhosts = ["s1", "s2"]\n'
    text += 'once_calls = [{method = "POST", path = "/book"}]\n'
    text += '[[accounts]]\nname = "salon"\nkey_hash = "scrypt$' + "0" * 16 + "$" + "0" * 64 + '"\n'
    for index, name in enumerate(("e1", "e2", "e3", *RUNNERS, *HOSTS)):
        role = "entry" if name.startswith("e") else "backend"
        state = (states or {}).get(name, "live")
        text += (
            f'[[hosts]]\nname = "{name}"\nrole = "{role}"\naddress = "127.0.0.1:{9000 + index}"\n'
        )
        text += f'region = "r"\nfailure_domain = "d"\nstate = "{state}"\n'
    return text


def fleet_state_after(*texts):
    """Return the fleet state after applying tickets."""
    fleet = FleetState()
    for text in texts:
        fleet.apply(parse_ticket(text).unwrap()).unwrap()
    return fleet


class FakeEngine:
    """An engine that answers as the oracle does; `next_fault` applies to its next request."""

    def __init__(self, *, host):
        self.host, self.next_fault, self.variant, self.runs = host, "", VARIANT, []

    async def complete(self, *, body, timeout_s, on_head, on_tokens):
        next_fault, self.next_fault = self.next_fault, ""
        run = {"prompt": body["prompt"], "received": now(), "tokens": 0}
        self.runs.append(run)
        variant = (
            Variant(model="m", adapter="", version="v2") if next_fault == "mixed" else self.variant
        )
        if next_fault == "slow":
            await asyncio.sleep(PROGRESS_TIMEOUT_S / 2)
        if next_fault == "silent":
            run["tokens"] += 1
            await asyncio.sleep(timeout_s)
            raise ExchangeStoppedError
        if next_fault == "mixed":
            # The engine has started before its head is read.
            run["tokens"] += 1
        on_head(variant)
        length = answer_length(body["prompt"], MAX_TOKENS)
        for index in range(body["resume_from"], length):
            await asyncio.sleep(TOKEN_INTERVAL_S)
            if next_fault == "dies" and index == length // 2:
                return Failure(Error(kind=ErrorKind.STREAM_BROKEN, detail="the engine died"))
            run["tokens"] += 1
            text = token_text("m", "", variant.version, body["prompt"], index)
            await on_tokens(Tokens(position=index, texts=[text]))
        return Success(Finished(position=length, reason="stop"))

    async def cancel(self, request_id):
        """Do nothing, as the closed connection ends the run."""


class FakeService:
    """A service that executes and records each call."""

    def __init__(self, *, host):
        self.host, self.next_fault, self.executions = host, "", []

    async def call(self, *, call, timeout_s, on_head, on_bytes):
        next_fault, self.next_fault = self.next_fault, ""
        if next_fault == "down":
            return Failure(Error(kind=ErrorKind.BACKEND_UNREACHABLE, detail="connection refused"))
        self.executions.append(
            Execution(host=self.host, key=call.key, body_digest=digest(call.body), at=now())
        )
        await asyncio.sleep(SERVICE_TIME_S)
        if next_fault == "loses the answer":
            return Failure(Error(kind=ErrorKind.BACKEND_ERROR, detail="connection lost"))
        on_head(200, [])
        await on_bytes(b"booked " + call.body)
        return Success(200)


def digest(body):
    """Return the digest that represents a body in a record."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class Agent:
    """An agent that dispatches frames as its process does."""

    def __init__(self, *, links, slots=4, service=None):
        self.links, self.answers, self.engine, self.service = links, {}, None, None
        self.is_draining = False
        host = links.host
        if host in RUNNERS:
            self.engine = FakeEngine(host=host)
            self.models = ModelCalls(
                engine=self.engine,
                make_queue=lambda n: QUEUES.create("fcfs", slots=n, rng=random.Random(1)).unwrap(),
                is_servable=lambda variant: variant == str(self.engine.variant),
                progress_s=PROGRESS_TIMEOUT_S,
                metrics=METRICS,
            )
            self.models.set_slots(slots)
        else:
            self.service = service or FakeService(host=host)
            number = links.incarnation
            claim_policy = OnceOwnership(
                service="bookings", host=host, incarnation=number, started_now=now()
            )
            self.services = ServiceCalls(
                name="bookings",
                client=self.service,
                ledger=Ledger(
                    service="bookings", host=host, incarnation=number, claim_policy=claim_policy
                ),
                fleet=fleet_state_after(ticket_text(1)),
                log=LOG,
                metrics=METRICS,
                max_calls=8,
            )
        links.set_handler(Call, self.on_call)
        links.set_handler(Cancel, self.on_cancel)
        links.set_handler(Credit, self.on_credit)
        links.on_link_down.append(self.on_link_down)

    def on_call(self, peer, call):
        answer = OutgoingAnswer(peer=peer, call=call, log=LOG)
        self.answers[(peer, call.id)] = answer
        if self.service is not None:
            self.services.on_call(answer, is_draining=self.is_draining)
        elif self.is_draining:
            answer.fail(Error(kind=ErrorKind.DRAINING, detail="the host is leaving"))
        else:
            self.models.on_call(answer)

    def on_credit(self, peer, credit):
        answer = self.answers.get((peer, credit.id))
        if answer is not None:
            answer.on_credit(credit.bytes)

    def on_cancel(self, peer, cancel):
        self._drop_answer(self.answers.pop((peer, cancel.id), None))

    def on_link_down(self, peer):
        for key in [key for key in self.answers if key[0] is peer]:
            self._drop_answer(self.answers.pop(key))

    def _drop_answer(self, answer):
        if answer is not None:
            answer.on_caller_gone()
            if self.engine is not None:
                self.models.on_caller_gone(answer)

    async def tick(self):
        """Run the heartbeat of the agent."""
        while True:
            await asyncio.sleep(0.25)
            if self.engine is not None:
                self.models.on_tick()


class Entry:
    """The routers of one entry process, and its callers."""

    def __init__(self, *, links, hedging=False):
        self.links, self.records = links, []
        self.fleet = fleet_state_after(ticket_text(1))
        self.membership = Membership(fleet=self.fleet, report_timeout_s=3.0)
        attempts = AttemptTable(links=links, log=LOG)
        budget = RetryBudget()
        policy = HedgePolicy(budget=budget, min_delay_s=0.05) if hedging else None
        for _ in range(200 if policy else 0):
            policy.observe(0.05)
            budget.on_request()
        shared = {"membership": self.membership, "attempts": attempts, "rng": random.Random(1)}
        shared["routing"] = ROUTING.create("least_in_flight").unwrap()
        self.models = ModelRouter(
            **shared,
            predictor=SizePredictor(),
            budget=budget,
            hedging=policy,
            watch=None,
            metrics=METRICS,
            log=LOG,
            credit_bytes=4096,
            progress_s=PROGRESS_TIMEOUT_S,
            guard=make_guard(LOG),
        )
        self.services = ServiceRouter(
            **shared,
            fleet=self.fleet,
            links=links,
            add_target=lambda _: None,
            credit_bytes=4096,
            guard=make_guard(LOG),
        )
        links.on_link_down.append(lambda peer: self.membership.on_link_lost(peer.host))

    def report(self, *hosts, is_leaving=False):
        """Accept a report from each linked host."""
        for host in hosts:
            if self.links.peer(host) is not None:
                report = HostReport(
                    at=now(),
                    ready=frozenset({str(VARIANT)}),
                    services=frozenset({"bookings"}),
                    slots=4,
                    is_leaving=is_leaving,
                )
                self.membership.on_report(host, report)

    async def complete(self, prompt):
        """Send a model request and return the caller's record."""
        body = b'{"model": "m", "prompt": "%b", "max_tokens": %d}' % (prompt.encode(), MAX_TOKENS)
        rec, record = self._new_record("completion", prompt=prompt), RequestRecord(
            kind="completion"
        )
        texts, expected_tokens = [], answer_length(prompt, MAX_TOKENS)
        try:
            async for part in self.models.answer(
                req=self._new_request(),
                prompt=parse_prompt(body, is_chat=False).unwrap(),
                record=record,
            ):
                texts += part.texts
            rec.verdict, rec.outcome, rec.status = "whole", "ran", 200
        except RequestFailedError as exc:
            rec.verdict = "broken" if texts else "refused"
            rec.outcome, rec.status = exc.error.effective_outcome.value, exc.error.answer.status
            rec.problem = f"{exc.error.kind.value}: {exc.error.detail}"
        rec.end, rec.tokens, rec.wanted_tokens = now(), len(texts), expected_tokens
        if texts:
            rec.version = record.variant
            expected_texts = [
                token_text("m", "", record.version, prompt, i) for i in range(expected_tokens)
            ]
            rec.is_match = texts == expected_texts[: len(texts)]
        return rec

    async def book(self, body, *, key=""):
        """Send a booking and return the caller's record."""
        rec = self._new_record("booking", body_digest=digest(body), key=key)
        call = ServiceCall(
            service="bookings", method="POST", path="/book", headers=[], body=body, key_text=key
        )
        received = b""
        try:
            async for part in self.services.answer(
                req=self._new_request(),
                call=call,
                record=RequestRecord(kind="booking"),
                on_key=lambda text: setattr(rec, "key", text),
            ):
                received += part if isinstance(part, bytes) else b""
            rec.verdict, rec.outcome, rec.status = "whole", "ran", 200
            rec.is_match = received == b"booked " + body
        except RequestFailedError as exc:
            rec.verdict = "broken" if received else "refused"
            rec.outcome, rec.status = exc.error.effective_outcome.value, exc.error.answer.status
            rec.problem = f"{exc.error.kind.value}: {exc.error.detail}"
        rec.end = now()
        return rec

    def _new_record(self, kind, **fields):
        rec = CallRecord(
            kind=kind, entry=self.links.host, number=len(self.records), start=now(), **fields
        )
        self.records.append(rec)
        return rec

    def _new_request(self):
        account = self.fleet.account("salon")
        name = f"{self.links.host}-{len(self.records)}"
        return CallerRequest(id=name, account=account, deadline=now() + DEADLINE_S)


class MemoryFleet:
    """Two entry processes, linked with two runners and two hosts of a service."""

    def __init__(self, *, network, hedging=False, slots=4):
        self.network = network
        self.entries = {}
        self.agents = {}
        for name in ("e1", "e2"):
            self.entries[name] = Entry(links=network.add(name, "entry"), hedging=hedging)
        for name in (*RUNNERS, *HOSTS):
            self.agents[name] = Agent(links=network.add(name, "agent"), slots=slots)
            for entry in self.entries:
                network.connect(entry, name)
        self.reporting_hosts = set(self.agents)
        self.sent, self.leaving_hosts, self.shutdowns = [], (), ()
        self._deliver_reports()

    def _deliver_reports(self):
        for entry in self.entries.values():
            for host in self.reporting_hosts:
                if not self.network.is_paused(host) and host not in self.network.dead:
                    entry.report(host)

    def restart(self, host):
        """Kill an agent and start a new incarnation without its state."""
        old = self.agents[host]
        for end in list(old.links.peers_by_link):
            end.reverse.close()
            end.close()
        links = self.network.add(host, "agent")
        links.incarnation = old.links.incarnation + 1
        # The service and its record survive the agent.
        self.agents[host] = Agent(links=links, service=old.service)
        for entry in self.entries:
            self.network.connect(entry, host)

    async def tick(self):
        """Deliver the reports repeatedly."""
        while True:
            self._deliver_reports()
            await asyncio.sleep(0.25)

    def background_work(self):
        """Return the coroutines to run in the background."""
        return [self.tick(), *(agent.tick() for agent in self.agents.values())]

    def record(self):
        """Return the record of callers, engines and services."""
        engines = [agent.engine for agent in self.agents.values() if agent.engine]
        services = [agent.service for agent in self.agents.values() if agent.service]
        return FleetRecord(
            calls=tuple(rec for entry in self.entries.values() for rec in entry.records),
            executions=tuple(run for service in services for run in service.executions),
            engine_runs=tuple(
                EngineRun(host=engine.host, **run) for engine in engines for run in engine.runs
            ),
            leaving_hosts=self.leaving_hosts,
            shutdowns=self.shutdowns,
            until=now(),
        )
