"""Steps about the peers and runners that a process has links with."""

import asyncio
from collections import Counter, deque
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from wasabilb_agent._runner_reports import RunnerReports
from wasabilb_agent.model_runner import RunnerState
from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.peering import MAX_FOLLOWED_RUNNERS, entry_peers, followed_runners, hubs
from wasabilb_core.runner_directory import Runner
from wasabilb_node import links as links_module
from wasabilb_node.links import Identity, LinkManager
from wasabilb_standins.fleet import free_address
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import PublishedWant

DOMAINS = "abcdef"


class SilentLog:
    """An event log that discards its events."""

    def event(self, name, **fields):
        pass


def link_graph(places, is_down=lambda address: False):
    """Return the links of all processes, in both directions."""
    links = {place.address: set() for place in places}
    for place in places:
        for peer in entry_peers(place, places, is_down):
            links[place.address].add(peer)
            links[peer].add(place.address)
    return links


def hop_counts(links, start):
    found, queue = {start: 0}, deque([start])
    while queue:
        one = queue.popleft()
        for other in links[one]:
            if other not in found:
                found[other] = found[one] + 1
                queue.append(other)
    return found


@given("{entries:d} entry processes in {domains:d} failure domains")
def step_places(context, entries, domains):
    context.places = [
        EntryPlace(address=f"10.0.{n}.1:7700", failure_domain=DOMAINS[n % domains])
        for n in range(entries)
    ]
    context.links = link_graph(context.places)


@given("{count:d} runners in the same failure domains")
def step_runners(context, count):
    domains = sorted({place.failure_domain for place in context.places})
    context.runners = [
        Runner(
            id=f"r-{n}",
            born_ms=1,
            service="s",
            address="x:1",
            failure_domain=domains[n % len(domains)],
        )
        for n in range(count)
    ]
    context.followed = {
        place.address: followed_runners(place, context.places, context.runners)
        for place in context.places
    }


@then(
    "no entry process has more links than its domain has processes plus {more:d} for each other "
    "domain"
)
def step_most_links(context, more):
    counts = Counter(place.failure_domain for place in context.places)
    for place in context.places:
        most = counts[place.failure_domain] + more * (len(counts) - 1)
        assert len(context.links[place.address]) <= most, (place, most)


@then("most entry processes have at most {most:d} links")
def step_usual_links(context, most):
    found = sorted(map(len, context.links.values()))
    assert found[len(found) // 2] <= most, found[len(found) // 2]


@then("an update reaches every entry process in at most {most:d} hops from any other")
def step_hops(context, most):
    for start in context.links:
        found = hop_counts(context.links, start)
        assert len(found) == len(context.links), (start, len(found))
        assert max(found.values()) <= most, (start, max(found.values()))


@then("each failure domain that is cut off stays connected internally")
def step_domains_connected(context):
    for domain in {place.failure_domain for place in context.places}:
        own = {place.address for place in context.places if place.failure_domain == domain}
        inside = {address: context.links[address] & own for address in own}
        assert len(hop_counts(inside, min(own))) == len(own), domain


@when("the hubs of a failure domain end")
def step_hubs_end(context):
    ended = set(hubs(context.places, "a"))
    left = [place for place in context.places if place.address not in ended]
    context.links = link_graph(left, is_down=lambda address: address in ended)


@then("each entry process follows at most 24 runners, and all of its own domain up to {near:d}")
def step_follows(context, near):
    for place in context.places:
        followed = context.followed[place.address]
        own = {r.id for r in context.runners if r.failure_domain == place.failure_domain}
        assert len(followed) <= MAX_FOLLOWED_RUNNERS
        assert len(followed & own) >= min(len(own), near), len(followed & own)


@then("each runner is followed by at least {least:d} entry processes")
def step_followed(context, least):
    counts = [
        sum(runner.id in followed for followed in context.followed.values())
        for runner in context.runners
    ]
    assert min(counts) >= least, sorted(counts)[:5]


@given("two entry processes with a third one in their rosters")
def step_rosters(context):
    counts = {"0:1": 0, "1:1": 0, "4:1": 4}
    places = [EntryPlace(address=a, failure_domain="a", count=n) for a, n in counts.items()]
    context.third = places[2]
    context.rosters = [EntryRoster(own=place, now=0.0) for place in places[:2]]
    for roster in context.rosters:
        roster.on_announcements(places, 0.0)
        roster.take_updates()


@when("the third one restarts and announces itself to one of them")
def step_restarts(context):
    own = EntryPlace(address=context.third.address, failure_domain="a")
    restarted = EntryRoster(own=own, now=100.0)
    # The first one's roster lists its earlier incarnation.
    restarted.on_announcements(context.rosters[0].places(), 100.0)
    context.rosters[0].on_announcements(restarted.take_updates(), 100.0)


@then("the other one accepts the announcement and forwards it once")
def step_passes_on(context):
    first, second = context.rosters
    news = [place for place in first.take_updates() if place.address == context.third.address]
    assert [place.count for place in news] == [context.third.count + 1], news
    second.on_announcements(news, 101.0)
    passed = [p for p in second.take_updates() if p.address == context.third.address]
    assert passed == news
    second.on_announcements(news, 102.0)
    assert second.take_updates() == []


@when("the third one is silent for 9 minutes")
def step_silent(context):
    for roster in context.rosters:
        for minute in range(10):
            roster.tick(101.0 + 60.0 * minute)


@then("neither of them has it in its roster any more")
def step_forgotten(context):
    for roster in context.rosters:
        assert context.third.address not in {place.address for place in roster.places()}


def new_link_manager(address):
    identity = Identity(
        host=address,
        role="entry",
        region="r",
        failure_domain="a",
        incarnation=1,
        address=address,
    )
    return LinkManager(identity=identity, log=SilentLog(), heartbeat_s=1.0)


@given("a process that keeps a link to a peer whose host is gone")
def step_gone_peer(context):
    context.addresses = free_address(), free_address()
    context.play = []


@when("two connections have failed")
def step_connections_fail(context):
    async def action(stage):
        stage.links.set_targets({"peer": stage.address})
        for _ in range(40):
            await asyncio.sleep(0.05)
            stage.links.tick()
            if stage.links.is_down(stage.address):
                break

    context.play.append(action)


@then("the peer counts as down")
def step_is_down(context):
    async def check(stage):
        assert stage.links.is_down(stage.address)

    context.play.append(check)


@when("it accepts connections again {seconds:g} s later")
def step_accepts(context, seconds):
    async def action(stage):
        stage.peer = new_link_manager(stage.address)
        stage.peer.listen()
        stage.shift_s += seconds
        for _ in range(60):
            stage.links.set_targets({"peer": stage.address})
            await asyncio.sleep(0.05)
            if stage.links.peers():
                break

    context.play.append(action)


@then("it is linked and no longer counts as down")
def step_is_linked(context):
    async def check(stage):
        assert stage.links.peers() and not stage.links.is_down(stage.address)

    context.play.append(check)
    asyncio.run(play(context))


@given("a process that is linked with a peer")
def step_linked(context):
    step_gone_peer(context)
    step_accepts(context, 0.0)


@when("it has not needed the link for {seconds:g} s")
def step_not_wanted(context, seconds):
    async def action(stage):
        stage.links.set_targets({})
        stage.links.close_unwanted()
        assert stage.links.peers()
        stage.shift_s += seconds
        stage.links.close_unwanted()
        await asyncio.sleep(0.05)

    context.play.append(action)


async def receive(stage, data, wait_s):
    """Send bytes from the peer, then advance the clock while the process checks its links."""
    stage.peer.peers()[0].link._stream.write(data)
    await asyncio.sleep(0.05)
    for _ in range(round(wait_s)):
        stage.links.tick()
        stage.shift_s += 1.0
    stage.links.tick()
    await asyncio.sleep(0.05)


@when("a message arrives in {parts:d} parts, {pause:g} s apart")
def step_parts(context, parts, pause):
    async def action(stage):
        stage.links.set_targets({})
        stage.received = []
        stage.links.set_handler(PublishedWant, lambda peer, message: stage.received.append(message))
        await asyncio.sleep(0.05)
        frame = encode(PublishedWant(after=7))
        size = -(-len(frame) // parts)
        for start in range(0, len(frame), size):
            assert stage.links.peers(), f"closed after {start} bytes"
            await receive(stage, frame[start : start + size], pause)

    context.play.append(action)


@when("a message arrives for {seconds:g} s, a byte each {pause:g} s")
def step_trickle(context, seconds, pause):
    async def action(stage):
        stage.links.set_targets({})
        frame = encode(PublishedWant(after=9))
        for index in range(int(seconds / pause)):
            if stage.links.peers():
                await receive(stage, frame[index : index + 1], pause)

    context.play.append(action)


@then("the link is open and the message was received")
def step_received(context):
    async def check(stage):
        assert stage.links.peers() and [want.after for want in stage.received] == [7]

    context.play.append(check)


@when("a part of a message arrives and nothing else for {seconds:g} s")
def step_part(context, seconds):
    async def action(stage):
        await receive(stage, encode(PublishedWant(after=8))[:5], seconds)

    context.play.append(action)


@then("the link is closed")
def step_closed(context):
    async def check(stage):
        assert not stage.links.peers() and not stage.peer.peers()

    context.play.append(check)
    asyncio.run(play(context))


async def play(context):
    """Run the collected actions between two processes on loopback, with a shiftable clock."""
    own, address = context.addresses
    stage = SimpleNamespace(links=new_link_manager(own), peer=None, address=address)
    stage.shift_s, real_now = 0.0, links_module.now
    with patch.object(links_module, "now", lambda: real_now() + stage.shift_s):
        try:
            for action in context.play:
                await action(stage)
        finally:
            stage.links.close()
            if stage.peer is not None:
                stage.peer.close()


class ReportedLinks:
    """Links that count the reports sent to each peer."""

    def __init__(self, near, far):
        self.identity = SimpleNamespace(region="near")
        self.sent = Counter()
        self.all = [
            SimpleNamespace(host=f"{region}-{n}", hello=SimpleNamespace(region=region))
            for region, count in (("near", near), ("far", far))
            for n in range(count)
        ]

    def peers(self, *, role=""):
        return self.all

    def multicast(self, message, peers):
        self.sent.update(peer.host for peer in peers)


def runner_state(**changes):
    values = {"born_ms": 1, "model": "m", "is_busy": False, "orders": 0}
    return RunnerState(**{**values, **changes})


@given("an agent that is linked with {near:d} entry processes of its region and {far:d} of others")
def step_reporting(context, near, far):
    context.linked = ReportedLinks(near, far)
    context.reports = RunnerReports(links=context.linked)
    context.runner = Runner(id="r", born_ms=1, service="s", address="x:1", failure_domain="a")


@when("its runner's load changes at {checks:d} checks in a row")
def step_load_changes(context, checks):
    context.reports.send(context.runner, runner_state(), is_easing=False)
    context.linked.sent.clear()
    for number in range(checks):
        state = runner_state(running=number + 1)
        context.reports.send(context.runner, state, is_easing=False)


@then(
    "it checks every {seconds:g} s, peers of its region get {near:d} reports and the others {far:d}"
)
def step_report_counts(context, seconds, near, far):
    assert context.reports.interval_s == seconds
    expected = {p.host: near if p.hello.region == "near" else far for p in context.linked.all}
    assert context.linked.sent == expected, context.linked.sent


@when("its runner begins an order")
def step_order(context):
    context.linked.sent.clear()
    context.reports.send(context.runner, runner_state(running=10, is_busy=True), is_easing=False)


@then("all of them get a report")
def step_all_reported(context):
    assert set(context.linked.sent) == {peer.host for peer in context.linked.all}
