"""Steps about parts of prompts under which runners end, on real sockets."""

import asyncio
import contextlib
import random

from behave import given, then, when
from crashing_runner import BAD_PART, CrashingRunner
from direct_forwarding_steps import fetch
from forwarding_harness import PATHS, ForwardingHarness, raw_request
from wasabilb_core.runner_directory import Runner
from wasabilb_core.state_position import StatePosition
from wasabilb_node.clock import now

# The users' rule: sends of processes in touch after the fifth crash and this time.
STABLE_S = 3.0
SENDS_AFTER = 3
FIFTH = 5
MAX_ENDED = 5
SHARED_PARTS = range(1, 13)


class CrashingFleet:
    """Linked entry processes before runners that end on a part of prompts."""

    def __init__(self, *, runners, down_s, seed=1, bad_parts=(BAD_PART,), is_plain=False):
        self.rng = random.Random(seed)
        self.harnesses = []
        self.runners = [
            CrashingRunner(
                number,
                down_s=down_s,
                on_ended=lambda runner: None,
                on_back=self.on_back,
                bad_parts=bad_parts,
                is_plain=is_plain,
            )
            for number in range(runners)
        ]

    def listed(self, runner):
        return Runner(
            id=runner.id,
            born_ms=runner.generation + 1,
            service="s",
            address=runner.address,
            failure_domain="a",
            slots=4,
        )

    def on_back(self, runner):
        """List the new incarnation of a runner in place of the one that ended."""
        old_id = f"r-{runner.number}-{runner.generation - 1}"
        for harness in self.harnesses:
            directory = harness.fleet.directory
            revision = 2 * runner.generation
            directory.on_removed(old_id, now(), StatePosition(revision=revision))
            directory.on_listed(self.listed(runner), StatePosition(revision=revision + 1))
            harness.fleet.forget(old_id)

    @property
    def ended(self):
        return sorted(at for runner in self.runners for at in runner.crashed_at)

    @property
    def bad_arrivals(self):
        return sorted(at for runner in self.runners for at in runner.bad_arrivals)

    async def send(self, harness, name, parts):
        """Send a stream request with some shared parts, and return its answer."""
        text = ",".join(f"{part:x}:9" for part in [*parts, 0])
        text = ",".join(item.partition(":")[0] for item in text.split(","))
        data = raw_request(PATHS["stream"], request_id=name, extra=f"Parts: {text}\r\n")
        try:
            return await fetch(harness, data)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    def sound_parts(self):
        return [1000, self.rng.choice(SHARED_PARTS)]

    async def send_each(self, name, interval_s, seconds, parts):
        """Send requests to random processes at a steady rate; return the answers in order."""
        tasks = []
        for number in range(round(seconds / interval_s)):
            harness = self.rng.choice(self.harnesses)
            tasks.append(
                asyncio.ensure_future(self.send(harness, f"{name}-{number}", parts(number)))
            )
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    async def play(self, processes, script):
        """Start the processes and runners, run a script and stop them."""
        async with contextlib.AsyncExitStack() as stack:
            first = await stack.enter_async_context(ForwardingHarness([], runners=self.runners))
            self.harnesses.append(first)
            for _ in range(processes - 1):
                other = ForwardingHarness([], shared=first)
                self.harnesses.append(await stack.enter_async_context(other))
            for harness in self.harnesses:
                directory = harness.fleet.directory
                for number, runner in enumerate(self.runners):
                    directory.on_removed(f"r-{number}", now(), StatePosition(revision=1))
                    directory.on_listed(self.listed(runner), StatePosition(revision=1))
            await script(self)


def begun_share(answers):
    """Return the share of requests that began at the first attempt of their caller."""
    return sum(answer is not None and answer[0] == 200 for answer in answers) / len(answers)


@given("{runners:d} runners that end on a part of prompts and are back after {down_s:g} s")
def given_crashing_runners(context, runners, down_s):
    context.make_fleet = lambda: CrashingFleet(runners=runners, down_s=down_s)


@when(
    "{processes:d} entry processes get sound requests each {sound_ms:d} ms and ones with the part "
    "each {bad_ms:d} ms for {seconds:g} s"
)
def send_sound_and_bad(context, processes, sound_ms, bad_ms, seconds):
    async def script(fleet):
        sound = fleet.send_each("s", sound_ms / 1000, seconds, lambda n: fleet.sound_parts())
        tasks = [asyncio.ensure_future(sound)]
        if fleet is not baseline:
            await asyncio.sleep(0.5)
            bad = fleet.send_each(
                "b", bad_ms / 1000, seconds - 0.5, lambda n: [*fleet.sound_parts(), BAD_PART]
            )
            tasks.append(asyncio.ensure_future(bad))
        fleet.answers = await asyncio.gather(*tasks)

    baseline, context.fleet = context.make_fleet(), context.make_fleet()
    asyncio.run(baseline.play(processes, script))
    asyncio.run(context.fleet.play(processes, script))
    context.undisturbed = begun_share(baseline.answers[0])


@then("at most {most:d} runners end")
def check_few_ended(context, most):
    assert len(context.fleet.ended) <= most, len(context.fleet.ended)


@then("at most three requests with the part reach runners from 3 s after the fifth crash on")
def check_sends_after(context):
    ended = context.fleet.ended
    if len(ended) >= FIFTH:
        after = [at for at in context.fleet.bad_arrivals if at > ended[FIFTH - 1] + STABLE_S]
        assert len(after) <= SENDS_AFTER, (len(after), len(ended))


@then("sound requests begin at the first attempt {share:g} as often as without them")
def check_sound_begin(context, share):
    found = begun_share(context.fleet.answers[0])
    assert found >= share * context.undisturbed, (found, context.undisturbed)
