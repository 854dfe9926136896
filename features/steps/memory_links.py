"""In-memory links under a virtual clock, with faults at selected messages."""

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

LINK_DELAY_S = 0.002
MIN_ORDER_GAP_S = 1e-6
# Three lost heartbeats, as in `wasabilb_node.links`.
SILENCE_TIMEOUT_S = 3.0
RECONNECT_S = 0.1
LATE_DELAY_S = 2.0
WALL_CLOCK_START_S = 1.8e9


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer when no callback is ready."""

    now_s = 100.0

    def time(self):
        return self.now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.now_s = max(self.now_s, self._scheduled[0].when())
        super()._run_once()


class VirtualSocketLoop(VirtualLoop):
    """Virtual loop that looks at its sockets before its clock jumps."""

    def _run_once(self):
        if not self._ready and self._scheduled and not self._selector.select(0):
            self.now_s = max(self.now_s, self._scheduled[0].when())
        asyncio.SelectorEventLoop._run_once(self)


def run_virtual(main, loop_factory=VirtualLoop):
    """Run a coroutine function with the loop's time as the clock of all components."""
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        loop = runner.get_loop()
        source = SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _: loop.time(),
            time_ns=lambda: int((WALL_CLOCK_START_S + loop.time()) * 1e9),
        )
        with patch.object(clock, "time", source):
            return runner.run(main())


@define(kw_only=True)
class Fault:
    """One fault at the `nth` message of a class between two processes.

    `effect` is one of `lost`, `doubled`, `late`, `reordered` (overtaken by a few messages),
    `stalled` (delayed for 2 s), `silent` (this link discards both directions while new links work),
    `one-way` (this link discards what the sender sends while new links work), `killed` (the agent
    of the link ends) or `paused` (the agent resumes late). The last five take effect `after_s`
    seconds later.
    """

    kind: str
    effect: str
    nth: int = 1
    after_s: float = 0.0


class MemoryLink:
    """One end of a link."""

    def __init__(self, *, network, local, remote):
        self.network, self.local, self.remote = network, local, remote
        self.is_closed, self.is_cut, self.reverse, self.last_arrival_at = False, False, None, 0.0
        self.stalled_until, self.bytes_sent = 0.0, 0

    def send(self, message):
        if self.is_closed:
            return False
        # Callers only need it to grow with each message.
        self.bytes_sent += 1
        self.network.transmit(self, message)
        return True

    def close(self):
        if self.is_closed:
            return
        self.is_closed = True
        self.local.remove_link(self)


class MemoryLinks:
    """Stands in for `LinkManager` with the methods that the components use."""

    def __init__(self, *, network, host, role, failure_domain="d"):
        self.network, self.host, self.role, self.incarnation = network, host, role, 1
        self.failure_domain = failure_domain
        self.identity = _to_hello(self)
        self.handlers, self.peers_by_link, self.on_link_up, self.on_link_down = {}, {}, [], []
        self.received_messages = 0

    def set_handler(self, kind, handler, *, from_role=""):
        self.handlers[kind] = handler

    def peers(self, *, role=""):
        return [
            peer
            for peer in self.peers_by_link.values()
            if not peer.link.is_closed and role in ("", peer.hello.role)
        ]

    def peer(self, host):
        found = next((peer for peer in reversed(self.peers()) if peer.host == host), None)
        if found is not None and self.network.has_heartbeats(found.link):
            # Replaces the heartbeats, which carry the peer's time.
            found.remote_now = asyncio.get_running_loop().time() - LINK_DELAY_S
        return found

    def is_refusing(self, address):
        return address in self.network.dead

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
        peer = self.peers_by_link.get(link)
        self.received_messages += 1
        if peer is not None and type(message) in self.handlers:
            self.handlers[type(message)](peer, message)

    def remove_link(self, link):
        peer = self.peers_by_link.pop(link, None)
        for callback in self.on_link_down if peer is not None else ():
            callback(peer)


class Network:
    """Connects processes and injects the fault.

    With `bytes_per_s`, all messages that a host sends share a link of that rate.
    """

    def __init__(self, *, fault=None, seed=1, bytes_per_s=None):
        self.fault, self.rng, self.seen = fault, random.Random(seed), Counter()
        self.links_by_host, self.dead, self.paused_until, self.blocked_pairs = {}, set(), {}, set()
        self.is_fault_injected = False
        self.bytes_per_s, self.link_free_at = bytes_per_s, {}
        # Rosters of the processes, for harnesses that share one network.
        self.rosters = []

    def add(self, host, role, **where):
        self.links_by_host[host] = MemoryLinks(network=self, host=host, role=role, **where)
        return self.links_by_host[host]

    def connect(self, one, two):
        """Open a link between two hosts unless one is dead, paused or cut off."""
        loop = asyncio.get_running_loop()
        is_cut = (one, two) in self.blocked_pairs or (two, one) in self.blocked_pairs
        if {one, two} & self.dead or is_cut or self.is_paused(one) or self.is_paused(two):
            loop.call_later(RECONNECT_S, self.connect, one, two)
            return
        a, b = self.links_by_host[one], self.links_by_host[two]
        links = [
            MemoryLink(network=self, local=a, remote=b),
            MemoryLink(network=self, local=b, remote=a),
        ]
        links[0].reverse, links[1].reverse = links[1], links[0]
        for link in links:
            link.local.peers_by_link[link] = Peer(
                link=link, hello=_to_hello(link.remote), last_received_at=0.0
            )
        for link in links:
            for callback in link.local.on_link_up:
                callback(link.local.peers_by_link[link])

    def disconnect(self, one, two):
        """Close the links between two hosts."""
        for link in [
            link for link in self.links_by_host[one].peers_by_link if link.remote.host == two
        ]:
            link.reverse.close()
            link.close()

    def is_paused(self, host):
        return asyncio.get_running_loop().time() < self.paused_until.get(host, 0.0)

    def has_heartbeats(self, link):
        """Return whether heartbeats of the remote end arrive."""
        remote_host = link.remote.host
        is_stalled = asyncio.get_running_loop().time() < link.reverse.stalled_until
        return not (
            link.reverse.is_cut
            or is_stalled
            or remote_host in self.dead
            or self.is_paused(remote_host)
        )

    def block(self, one, two):
        """Discard what `one` sends to `two`; the silent links close later."""
        self.blocked_pairs.add((one, two))
        for link in list(self.links_by_host[one].peers_by_link):
            if link.remote.host == two:
                self._schedule_reconnect(link)

    def unblock_all(self):
        self.blocked_pairs.clear()

    def transmit(self, link, message):
        """Schedule the delivery of a message, or apply the fault to it."""
        self.seen[type(message).__name__] += 1
        delays = [LINK_DELAY_S]
        if self._is_fault_due(link, message):
            self.is_fault_injected = True
            delays = self._inject_fault(link)
        loop = asyncio.get_running_loop()
        sent_s = self._transmission_s(link.local.host, message)
        for delay in delays:
            at = loop.time() + sent_s + delay
            if delay == LINK_DELAY_S:
                # Timers with the same time fire in any order, but a link preserves the order.
                at = link.last_arrival_at = max(
                    at, link.stalled_until, link.last_arrival_at + MIN_ORDER_GAP_S
                )
            loop.call_at(at, self._deliver, link, message)

    def _transmission_s(self, host, message):
        """Return the time until a message has left its host, in seconds."""
        if self.bytes_per_s is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        begun = max(now, self.link_free_at.get(host, now))
        self.link_free_at[host] = begun + len(encode(message)) / self.bytes_per_s
        return self.link_free_at[host] - now

    def _is_fault_due(self, link, message):
        fault, name = self.fault, type(message).__name__
        if fault is None or self.is_fault_injected or name != fault.kind:
            return False
        return self.seen[name] >= fault.nth

    def _inject_fault(self, link):
        """Inject the fault and return the delays of the message's copies, none when it is lost."""
        effect = self.fault.effect
        if effect in ("lost", "doubled", "late", "reordered"):
            # A reordered message arrives after the next few messages.
            after = {
                "lost": [],
                "doubled": [1, 1],
                "late": [LATE_DELAY_S / LINK_DELAY_S],
                "reordered": [8],
            }
            return [LINK_DELAY_S * factor for factor in after[effect]]
        if self.fault.after_s:
            asyncio.get_running_loop().call_later(
                self.fault.after_s, self._inject_on_link, link, effect
            )
        else:
            self._inject_on_link(link, effect)
        return [LINK_DELAY_S]

    def _inject_on_link(self, link, effect):
        agent = link.local if link.local.role == "agent" else link.remote
        loop = asyncio.get_running_loop()
        if effect in ("silent", "one-way"):
            link.is_cut = True
            link.reverse.is_cut = effect == "silent"
            self._schedule_reconnect(link)
        elif effect == "stalled":
            link.stalled_until = link.reverse.stalled_until = loop.time() + LATE_DELAY_S
        elif effect == "killed":
            self.dead.add(agent.host)
            # A process detects a lost link after the call that sent the last message.
            loop.call_soon(self._close_links, agent)
        elif effect == "paused":
            self.paused_until[agent.host] = loop.time() + 2 * SILENCE_TIMEOUT_S
            for end in list(agent.peers_by_link):
                self._schedule_reconnect(end)
        else:
            raise ValueError(effect)

    def end(self, host):
        """End the process of a host."""
        self.dead.add(host)
        self._close_links(self.links_by_host[host])

    def _close_links(self, agent):
        for end in list(agent.peers_by_link):
            end.reverse.close()
            end.close()

    def _schedule_reconnect(self, link):
        """Schedule closing a silent link, first at its remote end, and a new connection."""
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_TIMEOUT_S, link.reverse.close)
        loop.call_later(SILENCE_TIMEOUT_S + LINK_DELAY_S, link.close)
        loop.call_later(
            SILENCE_TIMEOUT_S + RECONNECT_S, self.connect, link.local.host, link.remote.host
        )

    def _deliver(self, link, message):
        target, loop = link.remote.host, asyncio.get_running_loop()
        for host in (target, link.local.host):
            if self.is_paused(host):
                # Messages from and to a paused process wait until it resumes.
                link.last_arrival_at = max(
                    self.paused_until[host], link.last_arrival_at + MIN_ORDER_GAP_S
                )
                loop.call_at(link.last_arrival_at, self._deliver, link, message)
                return
        is_lost = link.is_cut or (link.local.host, target) in self.blocked_pairs
        if not (is_lost or {target, link.local.host} & self.dead or link.reverse.is_closed):
            link.remote.receive(link.reverse, message)


def _to_hello(end):
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
    """Run coroutines in the background of the body."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
