"""Steps about odd entries and answers in the form of the operators' platform."""

import asyncio
import json
import logging

from behave import given, then, when
from platform_examples import ScriptedStore, entry
from returns.result import Failure
from wasabilb_node.http_client import ConnectionPool
from wasabilb_platform.store import store_source

ITEM_ODDITIES = {
    "the revision 1e999": {"revision": "RAW 1e999"},
    "the revision 9e99": {"revision": "RAW 9e99"},
    "the revision true": {"revision": True},
    'the revision "7"': {"revision": "7"},
    "the revision 7.5": {"revision": 7.5},
    "the revision -7": {"revision": -7},
    "a revision of 70 bits": {"revision": 1 << 69},
    "no revision": {"revision": None},
    "a number as its key": {"key": 7},
    "a key that is no text": {"key": "\ud800"},
    "an empty key": {"key": ""},
    "a key of 300 bytes": {"key": "k" * 300},
    "no key": {"key": None},
    "a value that is not ASCII": {"value": "é"},
    "a value that is no base64": {"value": "a"},
    "a value that is a number": {"value": 7},
    "a value above the limit": {"value": "AAAA" * (400 << 10)},
    "no value": {"value": None},
    '"no" as its deletion': {"deleted": "no"},
}


def raw_json(value):
    """Return JSON in which a text `RAW x` is replaced by x."""
    text = json.dumps(value)
    for raw in ("1e999", "9e99"):
        text = text.replace(f'"RAW {raw}"', raw)
    return text.encode()


def answer_body(items, *, revision=9):
    found = {"items": items, "events": items, "currentRev": revision, "morePages": False}
    return raw_json(found)


def odd_item(oddity):
    if oddity == "a list in its place":
        return [1]
    odd = {**entry("b", 6, b"2"), **ITEM_ODDITIES[oddity]}
    return {name: value for name, value in odd.items() if value is not None}


@given("an answer of the store with a sound item before and after one with {oddity}")
def step_odd_item(context, oddity):
    context.body = answer_body([entry("a", 5, b"1"), odd_item(oddity), entry("c", 7, b"3")])


@given("an answer of the store with {oddity}")
def step_odd_answer(context, oddity):
    found = json.loads(answer_body([entry("a", 5, b"1")]))
    lists = {"items": found["items"], "events": found["items"]}
    bodies = {
        "the current revision 1e999": {**found, "currentRev": "RAW 1e999"},
        "the current revision true": {**found, "currentRev": True},
        'the current revision "7"': {**found, "currentRev": "7"},
        "a current revision of 70 bits": {**found, "currentRev": 1 << 69},
        "no list of items": {name: found[name] for name in found if name not in lists},
        "an object as the list of items": {**found, "items": {}, "events": {}},
        "null as the list of items": {**found, "items": None, "events": None},
        "a list around it": [found],
        "nesting of 100,000 levels": b"[" * 100_000 + b"]" * 100_000,
        "broken text": b'{"items": [',
        "another text as its first name": b'{"\xff": 1}',
    }
    body = bodies[oddity]
    context.body = body if isinstance(body, bytes) else raw_json(body)


def read_answers(answers, *, is_watched=True):
    """Return the snapshot and the changes read from a store with these answers."""

    logging.getLogger("wasabilb_platform.store").setLevel(logging.ERROR)

    async def run():
        stand_in = ScriptedStore()
        stand_in.answers = [(200, body) for body in answers]
        pool = ConnectionPool(max_idle=2)
        source = store_source(pool, stand_in.address)
        try:
            snapshot = await source.snapshot()
            changes = await source.changes(3) if is_watched else None
        finally:
            pool.close()
            stand_in.server.stop()
        return [snapshot, changes] if is_watched else snapshot, stand_in.targets

    return asyncio.run(run())


@when("it is read as a snapshot and as changes")
def step_read_both(context):
    context.found, _ = read_answers([context.body, context.body])


@then("both times the sound items are read and the odd one is {taken}")
def step_sound_items(context, taken):
    odd = [("b", 6, b"")] if taken == "unreadable" else []
    for found in context.found:
        items = [(i.name, i.revision, i.body) for i in found.unwrap().items]
        assert items == [("a", 5, b"1"), *odd, ("c", 7, b"3")], items
        assert found.unwrap().revision == 9


@then("both times the store counts as unavailable")
def step_unavailable(context):
    assert all(isinstance(found, Failure) for found in context.found), context.found


@when("pages repeat their last key or hold no key at all")
def step_endless_pages(context):
    page = {"items": [entry("a", 5, b"1")], "currentRev": 9, "morePages": True}
    odd = {"items": [[1]], "currentRev": 9, "morePages": True}
    context.found = [
        read_answers([raw_json(found)] * 3, is_watched=False)[0] for found in (page, odd)
    ]


@when("the last item of a page is odd")
def step_odd_last(context):
    items = [entry("a", 5, b"1"), odd_item("no revision")]
    first = {"items": items, "currentRev": 9, "morePages": True}
    pages = [raw_json(first), answer_body([entry("c", 7, b"3")])]
    context.found, context.targets = read_answers(pages, is_watched=False)


@then("the next page begins after its key")
def step_next_page(context):
    assert [item.name for item in context.found.unwrap().items] == ["a", "c"], context.found
    assert "after=b" in context.targets[1], context.targets
