"""Steps about prompts that crash engines at the product's own interface."""

import asyncio
import itertools
import json
from types import SimpleNamespace

from behave import given, then, when
from forwarding_steps import LOG, FakeLinks, make_router
from guard_factory import make_guard
from memory_links import run_virtual
from wasabilb_agent.server_crashes import ServerCrashes
from wasabilb_core.crash_reports import CrashReport
from wasabilb_core.errors import ErrorKind
from wasabilb_entry.prompts import PREFIX_BLOCK_CHARS, parse_prompt
from wasabilb_entry.requests import CallerRequest, RequestFailedError, RequestRecord
from wasabilb_node.clock import now
from wasabilb_node.http_client import ConnectionPool
from wasabilb_wire.messages import End, Fail, Head, StreamData

SYSTEM = "You help salons and donors. ".ljust(2 * PREFIX_BLOCK_CHARS, ".")
BAD_TEXT = "this block crashes engines".ljust(PREFIX_BLOCK_CHARS, "!")


class CrashingEngines(FakeLinks):
    """Links to agents whose engines crash just after the head of an answer on a bad text."""

    def __init__(self):
        super().__init__(length=3, cut=0, overlap=0, fault="", rng=None)
        self.crashes = itertools.count(1)

    async def answer(self, peer, call):
        parts = [Head(id=call.id, status=200)]
        if BAD_TEXT in json.loads(call.body)["prompt"]:
            detail, crash_ms = "the engine ended", next(self.crashes)
            parts.append(
                Fail(
                    id=call.id,
                    kind="stream-broken",
                    detail=detail,
                    outcome="unknown",
                    crash_ms=crash_ms,
                )
            )
        else:
            texts = json.dumps(["a ", "b ", "c "]).encode()
            parts.append(StreamData(id=call.id, position=0, count=3, payload=texts))
            parts.append(End(id=call.id, position=3, finish_reason="stop"))
        for part in parts:
            self.handlers[type(part)](peer, part)


@given("two engines that crash on a block of the prompt, after answers to other prompts")
def given_engines(context):
    context.links, context.guard = CrashingEngines(), make_guard(LOG)
    context.results = []


async def complete(context, name, prompt, *, router=None, timeout_s=10.0):
    """Return the texts of a completion, or its error."""
    router = router or make_router(context.links, guard=context.guard)
    body = json.dumps({"model": "m", "prompt": prompt}).encode()
    texts = []
    try:
        async for part in router.answer(
            req=CallerRequest(
                id=name, account=SimpleNamespace(name="a", weight=1.0), deadline=now() + timeout_s
            ),
            prompt=parse_prompt(body, is_chat=False).unwrap(),
            record=RequestRecord(kind="completion"),
        ):
            texts += part.texts
    except RequestFailedError as exc:
        return exc.error
    return texts


@when("{count:d} requests with the block and as many without it come in turn")
def requests_in_turn(context, count):
    async def run():
        await complete(context, "s", SYSTEM + "good".ljust(PREFIX_BLOCK_CHARS) + "tail")
        for number in range(count):
            bad = await complete(context, f"b-{number}", f"{SYSTEM}{BAD_TEXT}{number} tail")
            sound_text = f"question {number} ".ljust(PREFIX_BLOCK_CHARS)
            sound = await complete(context, f"s-{number}", f"{SYSTEM}{sound_text}tail")
            context.results.append((bad, sound))

    asyncio.run(run())


@then("{most:d} engines crash, and the other requests with the block are refused as not run")
def check_refused(context, most):
    assert next(context.links.crashes) - 1 == most
    kinds = [bad.kind for bad, _ in context.results]
    assert kinds[1:] == [ErrorKind.PROMPT_BLOCKED] * (len(kinds) - 1), kinds
    assert all(bad.effective_outcome.value == "not-run" for bad, _ in context.results[1:])
    assert context.results[0][0].effective_outcome.value == "unknown", context.results[0]


def suspect(context):
    """Return a prompt with a block that a crash elsewhere makes suspicious, and the block."""
    prompt = SYSTEM + "suspected".ljust(PREFIX_BLOCK_CHARS) + "tail"
    body = json.dumps({"model": "m", "prompt": prompt}).encode()
    block = parse_prompt(body, is_chat=False).unwrap().shared_parts[-1]
    parts = context.guard.parts
    parts.on_crash(CrashReport(runner="r9", born_ms=1, started=[block]), now())
    parts.on_probe_begun([block], now())
    return prompt, block


def end_probe(parts, block, ends):
    """Apply what another process tells of its probe."""
    if ends == "is answered":
        parts.on_answer_told([block], now())
    elif ends == "crashes an engine":
        report = CrashReport(runner="r8", born_ms=2, started=[block], probes=[block])
        parts.on_crash(report, now())


@when(
    "{count:d} requests with a suspected block come, and a probe elsewhere {ends} after "
    "{seconds:f} s"
)
def requests_during_probe(context, count, ends, seconds):
    async def timed(router, name, prompt):
        began = now()
        result = await complete(context, name, prompt, router=router)
        context.results.append((result, now() - began - seconds))

    async def run():
        await complete(context, "s", SYSTEM + "good".ljust(PREFIX_BLOCK_CHARS) + "tail")
        prompt, block = suspect(context)
        router = make_router(context.links, guard=context.guard)
        calls = [
            asyncio.ensure_future(timed(router, f"r-{n}", f"{prompt} {n}")) for n in range(count)
        ]
        await asyncio.sleep(seconds)
        end_probe(context.guard.parts, block, ends)
        await asyncio.gather(*calls)

    run_virtual(run)


@then("{kind} is the result of all within {seconds:f} s")
def check_results(context, kind, seconds):
    for result, late_s in context.results:
        if kind == "an answer":
            assert result == ["a ", "b ", "c "], context.results
        else:
            found = (result.kind.value, result.effective_outcome.value)
            assert found == (kind, "not-run"), context.results
        assert 0 <= late_s <= seconds, context.results


@when("a request with a suspected block has {left_s:f} s left, and a probe elsewhere does not end")
def request_with_deadline(context, left_s):
    async def run():
        prompt, _ = suspect(context)
        began = now()
        result = await complete(context, "r", prompt, timeout_s=left_s)
        context.results.append((result, now() - began))

    run_virtual(run)


@then("it is refused as not run within {seconds:f} s")
def check_not_run(context, seconds):
    [(error, took_s)] = context.results
    found = (error.kind.value, error.effective_outcome.value)
    assert found == ("prompt-probed", "not-run"), context.results
    assert took_s <= seconds, context.results


@then("all requests without it are answered")
def check_answered(context):
    assert all(sound == ["a ", "b ", "c "] for _, sound in context.results), context.results


@when("an engine ends under three answers, is back, and ends again under the next ones")
def engine_ends(context):
    async def run():
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        times = itertools.count(1)
        crashes = ServerCrashes(
            address=f"127.0.0.1:{port}",
            pool=ConnectionPool(max_idle=0),
            wall_ms=lambda: next(times),
        )
        found = [await crashes.crash_ms(now())]
        for _ in range(2):
            sent_at = now()
            server.close()
            found.append(await asyncio.gather(*(crashes.crash_ms(sent_at) for _ in range(3))))
            server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", port)
            found.append(await crashes.crash_ms(sent_at))
        found.append(await crashes.crash_ms(now()))
        server.close()
        return found

    context.found = asyncio.run(run())


@then("its agent tells two crashes, each the same for all answers, and none before and after")
def check_crashes(context):
    assert context.found == [0, [1, 1, 1], 1, [2, 2, 2], 2, 0], context.found
