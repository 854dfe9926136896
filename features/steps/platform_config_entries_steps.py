"""Steps about odd configurations and named versions in the form of the operators' platform."""

import copy
import json
import math

import attrs
from behave import given, then, when
from forwarding_harness import RecordingLog
from hypothesis import given as property_given
from hypothesis import strategies as st
from odd_json import any_json
from platform_examples import CATALOG, DECODER, RUNNER, item
from wasabilb_core.catalog import Catalog, WeightTarget
from wasabilb_core.published import PublishedState, StateItem
from wasabilb_node.published_source import Unusable
from wasabilb_node.published_view import PublishedView
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import RunnerReport

MAX_DETAIL_CHARS = 200
REMOVED = object()
ANY_JSON = any_json([*CATALOG, *CATALOG["routes"][0], "model"])


def at(*path):
    """Return a function that sets the value at a path of the example."""

    def change(value):
        config = copy.deepcopy(CATALOG)
        place = config
        for step in path[:-1]:
            place = place[step]
        if value is REMOVED:
            del place[path[-1]]
        else:
            place[path[-1]] = value
        return config

    return change


def raw_at(*path):
    def change(text):
        return json.dumps(at(*path)("RAW")).replace('"RAW"', text).encode()

    return change


ROUTE, SPLIT = ("routes", 0), ("routes", 1, "trafficSplit")
ENGINE = ("services", 3, "engine")
CONFIG_ODDITIES = {
    "a version of 70 bits": at("version")(1 << 69),
    "a negative version": at("version")(-1),
    "true as its version": at("version")(True),
    "the version 7.0": raw_at("version")("7.0"),
    "no version": at("version")(REMOVED),
    "no routes": at("routes")(REMOVED),
    "null as its routes": at("routes")(None),
    "an object as its routes": at("routes")({}),
    "a text as a route": at("routes", 0)("wide"),
    "no services": at("services")(REMOVED),
    "a text as its services": at("services")("plain"),
    "no limits": at("limits")(REMOVED),
    "a list as its limits": at("limits")([]),
    "a text as its tenants": at("tenants")("acme"),
    "the timeout NaN": raw_at(*ROUTE, "timeoutMs")("NaN"),
    "the timeout Infinity": raw_at(*ROUTE, "timeoutMs")("Infinity"),
    "the timeout 1e999": raw_at(*ROUTE, "timeoutMs")("1e999"),
    "a timeout of 400 digits": raw_at(*ROUTE, "timeoutMs")("9" * 400),
    "the timeout 0": at(*ROUTE, "timeoutMs")(0),
    "a negative timeout": at(*ROUTE, "timeoutMs")(-800),
    "true as a timeout": at(*ROUTE, "timeoutMs")(True),
    "a text as a timeout": at(*ROUTE, "timeoutMs")("800"),
    "the objective 1e999": raw_at(*ROUTE, "targetLatencyMs")("1e999"),
    "a negative objective": at(*ROUTE, "targetLatencyMs")(-1),
    "a negative pause": at("routes", 1, "gapTargetMs")(-1),
    "a negative weight": at(*SPLIT, 0, "weight")(-1),
    "the weight NaN": raw_at(*SPLIT, 0, "weight")("NaN"),
    "the weight 1e999": raw_at(*SPLIT, 0, "weight")("1e999"),
    "a weight of 400 digits": raw_at(*SPLIT, 0, "weight")("9" * 400),
    "a text as a weight": at(*SPLIT, 0, "weight")("3"),
    "weights of 0 alone": at(*SPLIT)([{"service": "llm", "weight": 0}]),
    "attempts of 70 bits": at(*ROUTE, "maxAttempts")(1 << 69),
    "negative attempts": at(*ROUTE, "maxAttempts")(-1),
    "1.5 attempts": at(*ROUTE, "maxAttempts")(1.5),
    "a prefix without a slash at its end": at(*ROUTE, "prefix")("/a"),
    "a prefix without a slash at its start": at(*ROUTE, "prefix")("a/"),
    "a number as a prefix": at(*ROUTE, "prefix")(7),
    "a number as a host": at(*ROUTE, "host")(7),
    "a lone surrogate in a host": at(*ROUTE, "host")("\ud800"),
    "two routes of one prefix": at("routes", 1)({**CATALOG["routes"][0], "name": "again"}),
    "two routes of one prefix in other letters": at("routes", 1)(
        {**CATALOG["routes"][0], "name": "again", "host": "H.EXAMPLE"}
    ),
    "a route to a service that is not there": at(*ROUTE, "service")("nowhere"),
    "a split to a service that is not there": at(*SPLIT, 0, "service")("nowhere"),
    "an unknown kind": at(*ROUTE, "kind")("maybe"),
    "a list as a kind": at(*ROUTE, "kind")(["stream"]),
    "a negative priority": at(*ROUTE, "priority")(-1),
    "a priority of 70 bits": at(*ROUTE, "priority")(1 << 69),
    "a text as a flag": at(*ROUTE, "anonymous")("no"),
    "a number as a flag": at("routes", 1, "resumable")(1),
    "two services of one name": at("services", 1, "name")("plain"),
    "a negative connection limit": at("services", 0, "maxConnections")(-1),
    "an engine without slots": at(*ENGINE, "slots")(0),
    "an engine step of 1e999": raw_at(*ENGINE, "step_ms")("1e999"),
    "a negative engine step": at(*ENGINE, "step_ms")(-1),
    "a negative reading rate": at(*ENGINE, "read_per_s")(-1),
    "a list as an engine": at(*ENGINE)([1]),
    "a text as the models": at(*ENGINE, "models")("m"),
    "layers of 70 bits": at(*ENGINE, "layers")(1 << 69),
    "negative chunks": at(*ENGINE, "chunks")(-1),
    "an origin with port 99999": at("services", 2, "origin")("10.0.0.9:99999"),
    "an origin rate of 1e999": raw_at("services", 2, "linkMbps")("1e999"),
    "a negative origin rate": at("services", 2, "linkMbps")(-1),
    "two tenants of one name": at("tenants")(
        [{"name": "acme", "apiKeys": ["a"]}, {"name": "acme", "apiKeys": ["b"]}]
    ),
    "two tenants with one key": at("tenants")(
        [{"name": "acme", "apiKeys": ["secret-key"]}, {"name": "b", "apiKeys": ["secret-key"]}]
    ),
    "a number as a key": at("tenants", 0, "apiKeys")([7]),
    "a text as the keys": at("tenants", 0, "apiKeys")("secret-key"),
    "an empty key": at("tenants", 0, "apiKeys")([""]),
    "a line break in a tenant's name": at("tenants", 0, "name")("a\r\nX: y"),
    "a negative tenant priority": at("tenants", 0, "priority")(-1),
    "a text as a tenant's priority": at("tenants", 0, "priority")("0"),
    "the header limit 0": at("limits", "maxHeaderBytes")(0),
    "a negative body limit": at("limits", "maxBodyBytes")(-1),
    "a body limit of 70 bits": at("limits", "maxBodyBytes")(1 << 69),
    "the header time 0": at("limits", "headerTimeoutMs")(0),
    "a negative idle time": at("limits", "idleTimeoutMs")(-1),
    "the idle time 1e999": raw_at("limits", "idleTimeoutMs")("1e999"),
    "nesting of 100,000 levels": b"[" * 100_000 + b"]" * 100_000,
    "100 MB": b'"' + b"x" * (100 << 20) + b'"',
    "a field twice": json.dumps(CATALOG).replace("{", '{"version": 8, ', 1).encode(),
    "broken text": json.dumps(CATALOG).encode()[:-1],
}
VERSION_ODDITIES = {
    "the version true": {"model": "m", "version": True},
    "the version 0": {"model": "m", "version": 0},
    "a negative version": {"model": "m", "version": -2},
    "the version 2.0": b'{"model": "m", "version": 2.0}',
    "the version 1e999": b'{"model": "m", "version": 1e999}',
    "a version of 33 bits": {"model": "m", "version": 1 << 32},
    "a version of 400 digits": b'{"model": "m", "version": ' + b"9" * 400 + b"}",
    'the version "2"': {"model": "m", "version": "2"},
    "no version": {"model": "m"},
    "a number as its model": {"model": 7, "version": 2},
    "an empty model": {"model": "", "version": 2},
    "a lone surrogate in its model": {"model": "\ud800", "version": 2},
    "no model": {"version": 2},
    "a list": [2],
}


@when("a configuration with {oddity} is published")
def step_configuration(context, oddity):
    context.decoded = DECODER.decode(item("op/config", CONFIG_ODDITIES[oddity]))


@when("a version of weights is named with {oddity}")
def step_version(context, oddity):
    context.decoded = DECODER.decode(item("op/version/m", VERSION_ODDITIES[oddity]))


@then("it is refused as a whole, and the reason is short and holds no key")
def step_refused(context):
    assert isinstance(context.decoded, Unusable), context.decoded
    assert 0 < len(context.decoded.detail) <= MAX_DETAIL_CHARS, context.decoded
    assert "secret-key" not in context.decoded.detail, context.decoded


def paths_of(value, path=()):
    """Yield the path of each value inside of a value."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for name, inner in pairs:
        yield (*path, name)
        if isinstance(inner, dict | list):
            yield from paths_of(inner, (*path, name))


def is_consistent(catalog):
    """Return whether a catalog can be used for each request that it allows."""
    numbers = []
    for part in (catalog.limits, *catalog.routes):
        numbers += [v for v in attrs.asdict(part).values() if isinstance(v, int | float)]
    for service in catalog.services.values():
        if service.engine is not None:
            engine = service.engine
            numbers += [engine.completion_interval_s, engine.token_s, engine.prefill_s(1e9)]
        if service.origin is not None:
            numbers.append(service.origin.bytes_per_s)
    targets = {route.service_for(f"q-{n}") for route in catalog.routes for n in range(8)}
    return (
        all(math.isfinite(number) and number >= 0 for number in numbers)
        and targets <= set(catalog.services)
        and all(catalog.route_for(r.host, r.prefix + "x") is r for r in catalog.routes)
        and all(route.timeout_s > 0 and route.max_attempts > 0 for route in catalog.routes)
        and min(catalog.limits.header_timeout_s, catalog.limits.idle_timeout_s) > 0
    )


@when("random values replace random parts of a sound configuration")
def step_random_configuration(context):
    context.catalogs, context.reasons, context.bad = 0, [], []
    places = st.lists(
        st.tuples(st.sampled_from([*paths_of(CATALOG)]), ANY_JSON), min_size=1, max_size=2
    )

    @property_given(places)
    def check(changes):
        config = copy.deepcopy(CATALOG)
        for path, value in changes:
            place = config
            try:
                for step in path[:-1]:
                    place = place[step]
                place[path[-1]] = value
            except (KeyError, IndexError, TypeError):
                # The first change has removed the place of the second one.
                continue
        decoded = DECODER.decode(item("op/config", config))
        if isinstance(decoded, Unusable):
            context.reasons.append(decoded.detail)
            return
        context.catalogs += 1
        if not is_consistent(decoded):
            context.bad.append(decoded)

    check()


@then("each configuration that is taken can be used for every request that it allows")
def step_consistent(context):
    assert context.catalogs and not context.bad, context.bad[:1]


@then("each reason why the others are refused is short")
def step_short(context):
    assert context.reasons and max(map(len, context.reasons)) <= MAX_DETAIL_CHARS


@when("any JSON is published as a named version")
def step_any_version(context):
    context.targets, context.bad = [], []
    versions = st.fixed_dictionaries({"model": ANY_JSON, "version": ANY_JSON})

    @property_given(versions | ANY_JSON, st.integers(1, (1 << 32) - 1))
    def check(value, number):
        sound = DECODER.decode(item("op/version/m", {"model": "m", "version": number}))
        for decoded in (DECODER.decode(item("op/version/m", value)), sound):
            if isinstance(decoded, WeightTarget):
                context.targets.append(decoded.version)
                encode(RunnerReport(runner="r", born_ms=1, version=decoded.version))
            elif not isinstance(decoded, Unusable):
                context.bad.append(decoded)

    check()


@then("each version that is taken is a number from 1 on that fits the messages")
def step_versions(context):
    assert context.targets and not context.bad, context.bad
    assert all(type(v) is int and 0 < v < 1 << 32 for v in context.targets)


@given("a process with configuration 7 and version 2 of the weights in force")
def step_in_force(context):
    context.log, context.accepted = RecordingLog(), []
    context.view = PublishedView(
        items=PublishedState(),
        decoder=DECODER,
        log=context.log,
        on_catalog=lambda catalog: context.accepted.append(catalog.version),
    )
    context.revision = 0
    publish(context, "op/config", CATALOG)
    publish(context, "op/version/m", {"model": "m", "version": 2})
    publish(context, "servers/i-1", RUNNER)


def publish(context, name, value):
    context.revision += 1
    body = item(name, value).body
    context.view.apply_items([StateItem(name=name, revision=context.revision, body=body)])


@when("invalid ones of both are published, and then configuration 9 and version 3")
def step_invalid_then_next(context):
    for path in (("limits",), ("routes",)):
        publish(context, "op/config", {**at(*path)(REMOVED), "version": 8})
    publish(context, "op/version/m", {"model": "m", "version": -1})
    context.between = (context.view.catalog, context.view.named_versions("m").newer_than(0))
    publish(context, "op/config", {**CATALOG, "version": 9})
    publish(context, "op/version/m", {"model": "m", "version": 3})


@then("those before stay in force, and the next valid ones are taken")
def step_stay_in_force(context):
    catalog, versions = context.between
    assert isinstance(catalog, Catalog) and catalog.version == 7 and versions == [2]
    assert context.accepted == [7, 9], context.accepted
    assert context.view.named_versions("m").newer_than(0) == [2, 3]
    assert [runner.id for runner in context.view.directory] == ["i-1"]


@then("one log line for each invalid one names the path that is wrong")
def step_paths_logged(context):
    details = [fields["detail"] for name, fields in context.log.lines if "unusable" in name]
    assert [detail.partition(":")[0] for detail in details] == [
        "limits.maxHeaderBytes",
        "routes",
        "version",
    ], details
