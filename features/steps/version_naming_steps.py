"""Steps about what one process knows of the age of a version."""

import asyncio
import itertools
import logging
import math
import random
from types import SimpleNamespace
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when
from memory_links import Network, run_virtual
from published_fleet import Decoder, Platform, Process
from returns.result import Success
from wasabilb_core.named_versions import Naming
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_core.state_position import START, StatePosition
from wasabilb_node import clock, published_view
from wasabilb_node.decoded_items import DecodedItems
from wasabilb_node.item_compression import ItemPacker
from wasabilb_node.logs import EventLog
from wasabilb_node.published_reader import PublishedReader
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot
from wasabilb_node.published_view import PublishedView
from wasabilb_node.version_ages import VersionAges
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import Published, PublishedWant, VersionAge

MOMENT = 1000.0
CATALOG = StateItem(name="catalog", revision=10, body=b"catalog 1")
NAMED = StateItem(name="weights", revision=20, body=b"weights 2")
# The store came back from a copy without the version, and the operator named it again.
NAMED_AGAIN = StateItem(name="weights", revision=15, body=b"weights 2", era=1)

# Replaces the publication of version 2.
NEWER = StateItem(name="weights", revision=30, body=b"weights 3")

PEER = SimpleNamespace(host="peer")


def age(position, seconds):
    return VersionAge(
        model="m",
        version=2,
        era=position.era,
        revision=position.revision,
        age_ms=round(seconds * 1000),
    )


class Starting:
    """A process that has just started."""

    def __init__(self):
        logger = logging.Logger("starting", level=logging.CRITICAL)
        log = EventLog(
            process="t", role="entry", host="t", failure_domain="a", incarnation="1", logger=logger
        )
        decoder = DecodedItems(decoder=Decoder())
        self.state = PublishedState(content_version=decoder.content_version)
        self.view = PublishedView(items=self.state, decoder=decoder, log=log)

    def hear(self, news):
        if isinstance(news, VersionAge):
            self.view.version_ages.on_told([news], MOMENT)
            return
        changed = self.state.on_changes([news], after=START, position=news.position)
        self.view.apply_items(changed)


@when(
    "a starting process gets the catalog, a version, its publication in a later era and three ages "
    "of it in every order"
)
def step_orders(context):
    first, again = NAMED.position, NAMED_AGAIN.position
    ages = [age(first, 6.0), age(first, 5.0), age(again, 1.0)]
    context.ages = set()
    with patch.object(published_view, "now", lambda: MOMENT):
        for order in itertools.permutations([CATALOG, NAMED, NAMED_AGAIN, *ages]):
            process = Starting()
            for news in order:
                process.hear(news)
            context.ages.add(process.view.outdated_s("m", 1))


@then("it has the same age in all of them, the smallest that is proven for the first publication")
def step_same_age(context):
    assert context.ages == {5.0}, context.ages


@given("a process that found version 2 at its start and knows that version 3 is 1 s old")
def step_found_at_start(context):
    context.process = process = Starting()
    process.hear(CATALOG)
    process.hear(NAMED)
    process.hear(evolve(age(NEWER.position, 1.0), version=3))
    process.hear(NEWER)


@when("it tells a starting process what is published")
def step_tells(context):
    with patch.object(published_view, "now", lambda: MOMENT):
        started = Starting()
        for told in context.process.view.version_ages.to_ages(START, MOMENT):
            started.hear(told)
        for item in context.process.state.changes_after(START)[0]:
            started.hear(item)
        context.age_s = started.view.outdated_s("m", 1)


@then("version 1 may have been outdated for any time")
def step_outdated_for_any_time(context):
    # Ages of weeks count as any age.
    assert context.age_s > 7 * 24 * 3600, context.age_s


@when("a starting process gets the catalog, then a version, and no age of it")
def step_no_age(context):
    process = Starting()
    process.hear(CATALOG)
    process.hear(NAMED)
    context.age_s = process.view.outdated_s("m", 1)


@then("the version may be of any age")
def step_any_age(context):
    assert context.age_s == math.inf, context.age_s


@when("an answer without changes arrives {seconds:g} s after its request, and then version 2")
def step_delayed_answer(context, seconds):
    async def main():
        context.process = process = Starting()
        answers = [
            Snapshot(items=(CATALOG,), revision=10),
            Changes(items=(), revision=10),
            Changes(items=(NAMED,), revision=20),
        ]

        async def answer(*_):
            if len(answers) == 2:
                context.requested_at = clock.now()
                await asyncio.sleep(seconds)
            return Success(answers.pop(0))

        source = PublishedSource(snapshot=answer, changes=answer)
        reader = PublishedReader(state=process.state, source=source, rng=random.Random(1))
        for _ in range(3):
            reading = (await reader.read()).unwrap()
            process.view.apply_items(reading.changed)
        context.named_after = process.view.named_versions("m").naming(2).after

    run_virtual(main)


@then("the version may have been named since the request")
def step_since_request(context):
    assert context.named_after == context.requested_at, context.named_after


@when("a process is told an age of 2 s in an answer that {answer}")
def step_told(context, answer):
    async def main():
        process = Process(
            network=Network(), platform=Platform(), host="e", role="entry", failure_domain="a"
        )
        sent_ms = {
            "arrives 3 s after its request": (clock.now() - 3.0) * 1000,
            "repeats a time that has not been yet": (clock.now() + 60.0) * 1000,
            "names no age": clock.now() * 1000,
        }.get(answer, 0)
        ages = [] if answer == "names no age" else [age(NAMED.position, 2.0)]
        message = Published(
            after=0,
            revision=20,
            items=[ItemPacker().pack(NAMED)],
            is_last=True,
            ages=ages,
            sent_ms=int(sent_ms),
        )
        process.links.handlers[Published](PEER, message)
        context.age_s = process.published_view.outdated_s("m", 1)

    run_virtual(main)


@then("it takes the version for {age}")
def step_taken_for(context, age):
    expected = math.inf if age == "any age" else float(age.removesuffix(" s old"))
    assert math.isclose(context.age_s, expected, abs_tol=0.002), context.age_s


@when("a process hears of version 2 in era {era:d}, with a proof that is {seconds:g} s old")
def step_hears_in_era(context, era, seconds):
    context.version_ages = VersionAges()
    naming = Naming(position=StatePosition(era=era, revision=20), after=MOMENT - seconds)
    context.version_ages.on_named("m", 2, naming, MOMENT)


@then("it asks its peers for an age {times:d} times in 3 s")
def step_asks(context, times):
    moments = [MOMENT + number * 0.1 for number in range(30)]
    asked = sum(context.version_ages.take_question(moment) for moment in moments)
    assert asked == times, asked


@then("it asks a reader that announces the version {times:d} times in 3 s")
def step_asks_reader(context, times):
    ages, newest = context.version_ages, StatePosition(era=9, revision=9)
    moments = [MOMENT + number * 0.1 for number in range(30)]
    assert not any(ages.take_reader("behind", StatePosition(), moment) for moment in moments)
    asked = sum(ages.take_reader("reader", newest, moment) for moment in moments)
    assert asked == times, asked


@when("a request and an answer with the age of one version are encoded")
def step_encoded(context):
    want = PublishedWant(after=123_456, sent_ms=30 * 24 * 3_600_000 + 123, asks_ages=True)
    one = VersionAge(model="wording-models-base", version=12, revision=123_450, age_ms=4_321)
    answer = Published(
        after=123_456, revision=123_460, is_last=True, ages=[one], sent_ms=want.sent_ms
    )
    context.sizes = [len(encode(message)) for message in (want, answer)]


@then("each takes at most {most:d} bytes")
def step_sizes(context, most):
    assert max(context.sizes) <= most, context.sizes
