"""Links in memory under a virtual clock, with faults at chosen messages."""

import asyncio
import contextlib
import random
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from attrs import define
from wasabilb_node import clock
from wasabilb_node.links import Peer
from wasabilb_wire.codec import encode
from wasabilb_wire.messages import Hello

DELAY_S = 0.002
ORDER_S = 1e-6
# Three lost heartbeats, as in `wasabilb_node.links`.
SILENT_S = 3.0
REDIAL_S = 0.1
LATE_S = 2.0
WALL_S = 1.8e9


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer whenever nothing else is to be done."""

    passed = 100.0

    def time(self):
        return self.passed

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.passed = max(self.passed, self._scheduled[0].when())
        super()._run_once()


def run_virtual(main):
    """Run a coroutine function with the loop's time as the clock of all parts."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        source = SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _: loop.time(),
            time_ns=lambda: int((WALL_S + loop.time()) * 1e9),
        )
        with patch.object(clock, "time", source):
            return runner.run(main())


@define(kw_only=True)
class Fault:
    """One fault at the `nth` message of a class between two processes.

    `effect` is one of `lost`, `doubled`, `late`, `reordered` (overtaken by a few messages),
    `stalled` (held back for 2 s), `silent` (both ways for good while new links work), `one-way`
    (from the sender for good while new links work), `killed` (the agent of the link ends) or
    `paused` (the agent wakes late). The last five take effect `after_s` seconds later.
    """

    kind: str
    effect: str
    nth: int = 1
    after_s: float = 0.0


class MemoryLink:
    """One end of a link."""

    def __init__(self, *, network, owner, far):
        self.network, self.owner, self.far = network, owner, far
        self.is_closed, self.is_cut, self.other, self.last_at = False, False, None, 0.0
        self.held_until, self.bytes_sent = 0.0, 0

    def send(self, message):
        if self.is_closed:
            return False
        # Only that it grows with each message matters to the parts.
        self.bytes_sent += 1
        self.network.carry(self, message)
        return True

    def close(self):
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.lose(self)


class MemoryLinks:
    """Has the surface of `LinkManager` that the parts use."""

    def __init__(self, *, network, host, role, failure_domain="d"):
        self.network, self.host, self.role, self.incarnation = network, host, role, 1
        self.failure_domain = failure_domain
        self.identity = _hello(self)
        self.handlers, self.by_link, self.on_link_up, self.on_link_down = {}, {}, [], []
        self.received = 0

    def set_handler(self, kind, handler, *, from_role=""):
        self.handlers[kind] = handler

    def peers(self, *, role=""):
        return [
            peer
            for peer in self.by_link.values()
            if not peer.link.is_closed and role in ("", peer.hello.role)
        ]

    def peer(self, host):
        found = next((peer for peer in reversed(self.peers()) if peer.host == host), None)
        if found is not None and self.network.is_heard(found.link):
            # Stands for the heartbeats, which carry the peer's time.
            found.remote_now = asyncio.get_running_loop().time() - DELAY_S
        return found

    def linked_hosts(self):
        return {peer.host for peer in self.peers()}

    def broadcast(self, message, *, skip=None):
        for peer in self.peers():
            if skip is None or peer.host != skip.host:
                peer.send(message)

    def multicast(self, message, peers):
        for peer in {peer.host: peer for peer in peers}.values():
            peer.send(message)

    def receive(self, link, message):
        peer = self.by_link.get(link)
        self.received += 1
        if peer is not None and type(message) in self.handlers:
            self.handlers[type(message)](peer, message)

    def lose(self, link):
        peer = self.by_link.pop(link, None)
        for callback in self.on_link_down if peer is not None else ():
            callback(peer)


class Network:
    """Connects processes and carries out the faults.

    With `bytes_per_s`, what a host sends to all its peers shares a link of that rate.
    """

    def __init__(self, *, fault=None, seed=1, bytes_per_s=None):
        self.fault, self.rng, self.seen = fault, random.Random(seed), Counter()
        self.ends, self.dead, self.paused_until, self.parted = {}, set(), {}, set()
        self.is_done = False
        self.bytes_per_s, self.sent_at = bytes_per_s, {}

    def add(self, host, role, **where):
        self.ends[host] = MemoryLinks(network=self, host=host, role=role, **where)
        return self.ends[host]

    def connect(self, one, two):
        """Open a link between two hosts unless one is dead, paused or cut off."""
        loop = asyncio.get_running_loop()
        is_cut = (one, two) in self.parted or (two, one) in self.parted
        if {one, two} & self.dead or is_cut or self.is_paused(one) or self.is_paused(two):
            loop.call_later(REDIAL_S, self.connect, one, two)
            return
        a, b = self.ends[one], self.ends[two]
        links = [MemoryLink(network=self, owner=a, far=b), MemoryLink(network=self, owner=b, far=a)]
        links[0].other, links[1].other = links[1], links[0]
        for link in links:
            link.owner.by_link[link] = Peer(link=link, hello=_hello(link.far), last_received_at=0.0)
        for link in links:
            for callback in link.owner.on_link_up:
                callback(link.owner.by_link[link])

    def disconnect(self, one, two):
        """Close the links between two hosts."""
        for link in [link for link in self.ends[one].by_link if link.far.host == two]:
            link.other.close()
            link.close()

    def is_paused(self, host):
        return asyncio.get_running_loop().time() < self.paused_until.get(host, 0.0)

    def is_heard(self, link):
        """Return whether heartbeats of the far end arrive."""
        far = link.far.host
        is_stalled = asyncio.get_running_loop().time() < link.other.held_until
        return not (link.other.is_cut or is_stalled or far in self.dead or self.is_paused(far))

    def part(self, one, two):
        """Discard what `one` sends to `two`; links that go silent by it close."""
        self.parted.add((one, two))
        for link in list(self.ends[one].by_link):
            if link.far.host == two:
                self._replace_later(link)

    def heal(self):
        self.parted.clear()

    def carry(self, link, message):
        """Deliver a message, or not."""
        self.seen[type(message).__name__] += 1
        delays = [DELAY_S]
        if self._is_hit(link, message):
            self.is_done = True
            delays = self._carry_out(link)
        loop = asyncio.get_running_loop()
        sent_s = self._sent_s(link.owner.host, message)
        for delay in delays:
            at = loop.time() + sent_s + delay
            if delay == DELAY_S:
                # Timers of the same moment fire in any order; a link keeps the order.
                at = link.last_at = max(at, link.held_until, link.last_at + ORDER_S)
            loop.call_at(at, self._deliver, link, message)

    def _sent_s(self, host, message):
        """Return the time until a message has left its host."""
        if self.bytes_per_s is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        begun = max(now, self.sent_at.get(host, now))
        self.sent_at[host] = begun + len(encode(message)) / self.bytes_per_s
        return self.sent_at[host] - now

    def _is_hit(self, link, message):
        fault, name = self.fault, type(message).__name__
        if fault is None or self.is_done or name != fault.kind:
            return False
        return self.seen[name] >= fault.nth

    def _carry_out(self, link):
        """Return the delays with which the message arrives, none when it is lost."""
        effect = self.fault.effect
        if effect in ("lost", "doubled", "late", "reordered"):
            # The delay of a message that others overtake is that of a few messages.
            after = {"lost": [], "doubled": [1, 1], "late": [LATE_S / DELAY_S], "reordered": [8]}
            return [DELAY_S * factor for factor in after[effect]]
        if self.fault.after_s:
            asyncio.get_running_loop().call_later(self.fault.after_s, self._break, link, effect)
        else:
            self._break(link, effect)
        return [DELAY_S]

    def _break(self, link, effect):
        agent = link.owner if link.owner.role == "agent" else link.far
        loop = asyncio.get_running_loop()
        if effect in ("silent", "one-way"):
            link.is_cut = True
            link.other.is_cut = effect == "silent"
            self._replace_later(link)
        elif effect == "stalled":
            link.held_until = link.other.held_until = loop.time() + LATE_S
        elif effect == "killed":
            self.dead.add(agent.host)
            # A process learns of a lost link after the call that sent the last message.
            loop.call_soon(self._end, agent)
        elif effect == "paused":
            self.paused_until[agent.host] = loop.time() + 2 * SILENT_S
            for end in list(agent.by_link):
                self._replace_later(end)
        else:
            raise ValueError(effect)

    def end(self, host):
        """End a process."""
        self.dead.add(host)
        self._end(self.ends[host])

    def _end(self, agent):
        for end in list(agent.by_link):
            end.other.close()
            end.close()

    def _replace_later(self, link):
        """Close a silent link at its far end, then at the other, and connect again."""
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_S, link.other.close)
        loop.call_later(SILENT_S + DELAY_S, link.close)
        loop.call_later(SILENT_S + REDIAL_S, self.connect, link.owner.host, link.far.host)

    def _deliver(self, link, message):
        target, loop = link.far.host, asyncio.get_running_loop()
        for host in (target, link.owner.host):
            if self.is_paused(host):
                # What a paused process was to send or to read waits until it wakes.
                link.last_at = max(self.paused_until[host], link.last_at + ORDER_S)
                loop.call_at(link.last_at, self._deliver, link, message)
                return
        is_lost = link.is_cut or (link.owner.host, target) in self.parted
        if not (is_lost or {target, link.owner.host} & self.dead or link.other.is_closed):
            link.far.receive(link.other, message)


def _hello(end):
    return Hello(
        host=end.host,
        role=end.role,
        region="r",
        failure_domain=end.failure_domain,
        incarnation=end.incarnation,
        address=end.host,
        wall_ms=0,
    )


@contextlib.asynccontextmanager
async def running(*works):
    """Run coroutines beside the body."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
