"""Steps about backend servers that name a limit for all entry processes together."""

import asyncio
import contextlib
import re

from behave import then, when
from direct_forwarding_steps import run_in_harness
from forwarding_harness import PATHS, ForwardingHarness
from named_pause_steps import send_each

# The rule of the users: in any window, the requests of processes that were told a while before.
WINDOW_S = 4.0
FACTOR = 1.5
FIXED_REQUESTS = 5
TOLD_S = 0.5


def allowed_requests(per_s):
    return FACTOR * per_s * WINDOW_S + FIXED_REQUESTS


def most_in_window(times):
    """Return the largest number of given sorted times within a window."""
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def sender(request_id):
    return request_id.partition("-")[0]


def counted_arrivals(scripted):
    """Return the arrival times of requests from processes that the runner had told before."""
    told_at = {}
    for at, _, request_id in scripted.named_limits:
        told_at.setdefault(sender(request_id), at)
    found = []
    for at, head in zip(scripted.arrivals, scripted.requests, strict=True):
        request_id = re.search(r"(?im)^request-id: (\S+)", head)[1]
        if at >= told_at.get(sender(request_id), float("inf")) + TOLD_S:
            found.append(at)
    return sorted(found)


@when("{processes:d} entry processes send {kind} requests each {interval:d} ms for {seconds:g} s")
def send_from_processes(context, processes, kind, interval, seconds):
    async def send(first):
        async with contextlib.AsyncExitStack() as stack:
            harnesses = [first]
            for _ in range(processes - 1):
                other = ForwardingHarness(context.behaviours, shared=first)
                harnesses.append(await stack.enter_async_context(other))
            sending = (
                send_each(harness, PATHS[kind], interval / 1000, seconds, prefix=f"e{number}")
                for number, harness in enumerate(harnesses)
            )
            return await asyncio.gather(*sending)

    run_in_harness(context, send)


@then("no runner gets more in 4 s than its limit allows")
def step_within_limit(context):
    for scripted in context.harness.runners:
        assert scripted.named_limits
        per_s = float(scripted.named_limits[0][1])
        most = most_in_window(counted_arrivals(scripted))
        assert most <= allowed_requests(per_s), (most, allowed_requests(per_s))
