"""Steps about whole requests that crash servers, at the product's own interface."""

import asyncio
import itertools
from collections import Counter

from behave import given, then, when
from crashing_calls_model import LOG, RUN_S, CrashingAgents, OwnInterface
from guard_factory import make_guard
from memory_links import run_virtual
from wasabilb_core.attempts import AnswerProgress
from wasabilb_core.crash_subjects import request_subject
from wasabilb_entry.prompt_guard import BLOCKED_KINDS, CrashedAttempt
from wasabilb_node.clock import now

SEED = 1
DEADLY = "deadly"
# Pause between callers' requests, seconds.
PAUSE_S = 0.5
SOUND_PAUSE_S = 0.02
# Time from a crash until its requests are resent, seconds.
RESEND_S = 0.05

_KEYS = itertools.count(1)


def new_key():
    """Return a key of the caller."""
    return f"caller-key-{next(_KEYS):032}"


REQUESTS = {
    "a model request": lambda entry, text, key: entry.complete(f"{text} prompt"),
    "a GET": lambda entry, text, key: entry.call("GET", f"/records/{text}"),
    "a POST that may not be repeated": lambda entry, text, key: entry.call(
        "POST", "/records", text.encode()
    ),
    "a call under a new issued key": lambda entry, text, key: entry.call(
        "POST", "/book", text.encode()
    ),
    # Only one host may run a key of the caller, so that sound requests use issued ones.
    "a call under a new key of the caller": lambda entry, text, key: entry.call(
        "POST", "/book", text.encode(), new_key() if text == DEADLY else ""
    ),
    "a call under one key of the caller": lambda entry, text, key: entry.call(
        "POST", "/book", text.encode(), key if text == DEADLY else ""
    ),
}
SOUND = {
    "the same GET": lambda entry: entry.call("GET", "/status"),
    "the same empty PUT": lambda entry: entry.call("PUT", "/status"),
}


@given("agents beside {hosts:d} servers that crash under a request, back after {down_s:g} s")
def given_agents(context, hosts, down_s):
    context.agents = CrashingAgents(hosts=hosts, down_s=down_s, text=DEADLY.encode())
    context.deadly, context.sound = [], []


@when("{request} comes {count:d} times, with a sound one after each")
def repeat_request(context, request, count):
    async def run():
        entry = OwnInterface(agents=context.agents, seed=SEED)
        send, key = REQUESTS[request], new_key()
        await send(entry, "first", key)
        for number in range(count):
            context.deadly.append(await send(entry, DEADLY, key))
            context.sound.append(await send(entry, f"sound {number}", key))
            await asyncio.sleep(PAUSE_S)

    run_virtual(run)


@when("{sound} comes each {pause_s:g} s for {seconds:g} s, and {cause} each {cause_s:g} s")
def sound_beside_crashes(context, sound, pause_s, seconds, cause, cause_s):
    async def timed(entry):
        began = now()
        error, _ = await SOUND[sound](entry)
        context.sound.append((error, now() - began))

    async def crash(entry):
        if cause.startswith("another request"):
            await entry.call("GET", f"/records/{DEADLY}")
        else:
            running = context.agents.running
            context.agents.crash(max(running, key=lambda host: len(running[host])))

    async def run():
        entry = OwnInterface(agents=context.agents, seed=SEED)
        began, tasks = now(), []
        # The first crash is under sound requests that have not been answered before.
        next_crash = began + RUN_S / 2
        while now() - began < seconds:
            tasks.append(asyncio.ensure_future(timed(entry)))
            if now() >= next_crash:
                next_crash += cause_s
                tasks.append(asyncio.ensure_future(crash(entry)))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*tasks)

    run_virtual(run)


@when(
    "{kinds:d} requests like {request} come {count:d} times, one each {pause_s:g} s, with sound "
    "ones beside them"
)
def several_requests(context, kinds, request, count, pause_s):
    send = REQUESTS[request]

    async def run():
        entry = OwnInterface(agents=context.agents, seed=SEED)
        sound, deadly = [], []

        async def send_sound():
            for number in itertools.count():
                sound.append(asyncio.ensure_future(send(entry, f"sound {number}", "")))
                await asyncio.sleep(SOUND_PAUSE_S)

        callers = asyncio.ensure_future(send_sound())
        for number in range(kinds * count):
            await asyncio.sleep(pause_s)
            text = f"{DEADLY} {number % kinds}"
            deadly.append(asyncio.ensure_future(send(entry, text, "")))
        callers.cancel()
        context.deadly = await asyncio.gather(*deadly)
        context.sound = await asyncio.gather(*sound)

    run_virtual(run)


@when(
    "a request that crashes servers and a sound one are resent to the same server after each of "
    "{count:d} crashes"
)
def resend_together(context, count):
    subjects = {name: (request_subject(n),) for n, name in enumerate(("deadly", "sound"), 1)}

    async def run():
        guard, context.blocked = make_guard(LOG), set()
        guard.on_answer_going_on((request_subject(3),))
        for crash in range(1, count + 1):
            probed = {name: guard.begin(found) for name, found in subjects.items()}
            if probed["deadly"] is None:
                # Nothing crashes the server.
                context.blocked |= {name for name, found in probed.items() if found is None}
                continue
            for name, found in subjects.items():
                # Tokens of the sound answer had come before the second and the third crash.
                has_begun = name == "sound" and crash > 1
                if probed[name] is None:
                    context.blocked.add(name)
                    continue
                guard.on_crash(
                    CrashedAttempt(
                        request_id=name,
                        runner_id=f"h{crash}",
                        born_ms=crash,
                        parts=found,
                        probed=probed[name],
                        progress=AnswerProgress.BEGUN if has_begun else AnswerProgress.STARTED,
                    ),
                    now(),
                )
            await asyncio.sleep(RESEND_S)
        # A request is blocked once all processes have told of their requests at its crashes.
        await asyncio.sleep(1.0)
        context.refusals = {name: guard.refusal(found) for name, found in subjects.items()}

    run_virtual(run)


@then("the request that crashes servers is blocked, and the sound one is not")
def check_only_deadly(context):
    kinds = {name: error and error.kind for name, error in context.refusals.items()}
    assert kinds["deadly"] in BLOCKED_KINDS and kinds["sound"] not in BLOCKED_KINDS, kinds
    assert "sound" not in context.blocked, context.blocked


@then("at most {most:d} servers crash under each of them")
def check_crashes_under(context, most):
    found = context.agents.crashes_under
    assert found and max(found.values()) <= most, found


@then("no sound request is refused because of them")
def check_none_refused(context):
    kinds = Counter(error.kind.value for error, _ in context.sound if error is not None)
    refused = [kind for kind in kinds if kind.endswith(("-blocked", "-probed"))]
    assert context.sound and not refused, (kinds, len(context.sound))


@then("at most {most:d} servers crash")
def check_crashes(context, most):
    assert 1 <= context.agents.crashes <= most, context.agents.crashes


@then(
    "the first is told to have an unknown outcome, and the last {count:d} are refused as {kind}, "
    "{outcome}"
)
def check_outcomes(context, count, kind, outcome):
    found = [(e.kind.value, e.effective_outcome.value, n) for e, n in context.deadly if e]
    assert len(found) == len(context.deadly), context.deadly
    assert found[0][1] == "unknown", found
    assert all(f[:2] == (kind, outcome) for f in found[-count:]), found


@then("the sound requests are answered at the first attempt")
def check_sound(context):
    assert context.sound and all(s == (None, 1) for s in context.sound), context.sound


@then(
    "all sound requests are answered, {share:g} of them within {usual_s:g} s and all within "
    "{longest_s:g} s"
)
def check_sound_times(context, share, usual_s, longest_s):
    failed = [error for error, _ in context.sound if error is not None]
    assert not failed, (len(failed), len(context.sound), failed[:3])
    times = sorted(took_s for _, took_s in context.sound)
    usual = sum(took_s <= usual_s for took_s in times) / len(times)
    assert usual >= share and times[-1] <= longest_s, (usual, times[-5:], len(times))
