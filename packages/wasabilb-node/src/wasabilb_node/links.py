"""Manages links to peers: dials, accepts, dispatches messages and replaces silent links."""

import asyncio
import random
import ssl
from collections.abc import Callable, Coroutine, Iterable
from typing import TypeAlias, TypeVar

from attrs import define, frozen
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from wasabilb_wire.codec import encode
from wasabilb_wire.link import Link
from wasabilb_wire.messages import PROTOCOL_VERSION, Hello, Message

from wasabilb_node.clock import now, wall_ms
from wasabilb_node.http_client import NumericResolver
from wasabilb_node.logs import EventLog

# One lost heartbeat is ordinary on a busy host; three in a row mean a silent link.
SILENT_HEARTBEATS = 3
# Longest time for one message to arrive, so that a peer that only trickles bytes is disconnected.
# The largest message has 2 MiB, which take 4.4 s over the narrowest known link.
MAX_ARRIVAL_S = 15.0
CONNECT_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# An address counts as down after this many consecutive failed attempts, for `DOWN_S` or until an
# attempt succeeds; meanwhile another peer may replace it.
FAILURES_UNTIL_DOWN = 2
DOWN_S = 10.0
# Delay before closing a link that this process opened and no longer needs; longer than the dial
# attempts to a peer that is retried.
UNWANTED_CLOSE_S = 8.0
LISTEN_BACKLOG = 512

MessageT = TypeVar("MessageT", bound=Message)
PeerCallback: TypeAlias = Callable[["Peer"], None]


@frozen(kw_only=True)
class Identity:
    """The identity of this process that its peers receive."""

    host: str
    role: str
    region: str
    failure_domain: str
    incarnation: int
    address: str

    def to_hello(self) -> Hello:
        """Return the first message on each link."""
        return Hello(
            host=self.host,
            role=self.role,
            region=self.region,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            address=self.address,
            wall_ms=wall_ms(),
        )


@define(kw_only=True, eq=False)
class Peer:
    """A process at the other end of a link whose hello was received.

    `remote_now` is the newest monotonic time of that process received on this link.
    `last_message_at` is when the newest complete message arrived; `pending_bytes` counts the bytes
    of a message that was still incomplete at the newest tick.
    """

    link: Link
    hello: Hello
    last_received_at: float
    remote_now: float = 0.0
    last_message_at: float = 0.0
    pending_bytes: int = 0
    close_reason: str = "closed"

    @property
    def host(self) -> str:
        """Return the peer's host name."""
        return self.hello.host

    def send(self, message: Message) -> bool:
        """Send a message and return whether the link was open."""
        return self.link.send(message)


@define(kw_only=True)
class _DialState:
    """State of the connection attempts to one address."""

    backoff_s: float = INITIAL_BACKOFF_S
    next_at: float = 0.0
    is_running: bool = False
    failures: int = 0
    failed_at: float = float("-inf")
    is_refused: bool = False

    def is_down(self, moment: float) -> bool:
        """Return whether recent attempts have failed."""
        return self.failures >= FAILURES_UNTIL_DOWN and moment - self.failed_at < DOWN_S


class _LinkServer(TCPServer):
    """Accepts links from peers."""

    def __init__(
        self, *, on_stream: Callable[[IOStream], None], tls: ssl.SSLContext | None
    ) -> None:
        super().__init__(ssl_options=tls)
        self._on_stream = on_stream

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        self._on_stream(stream)


class LinkManager:
    """Owns all links of a process.

    Parameters
    ----------
    identity : Identity
        This process.
    log : EventLog
        Receives events about links that open and close.
    heartbeat_s : float
        Interval of `tick`; a link on which nothing arrives for three intervals is replaced.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts for mutual TLS; None for plain text.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        log: EventLog,
        heartbeat_s: float,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self.identity = identity
        self._log = log
        self._silent_s = heartbeat_s * SILENT_HEARTBEATS
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._client = TCPClient(resolver=NumericResolver())
        self._server: _LinkServer | None = None
        self._peers: dict[Link, Peer] = {}
        self._awaiting_hello: dict[Link, float] = {}
        self._dialed_links: dict[str, Link] = {}
        self._dial_states: dict[str, _DialState] = {}
        # When a link that this process opened was first no longer needed.
        self._unwanted_since: dict[str, float] = {}
        self._targets: dict[str, str] = {}
        self._handlers: dict[type[Message], Callable[[Peer, Message], None]] = {}
        self._roles: dict[type[Message], str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._closed_link_bytes = 0
        self._rng = random.Random(identity.incarnation)
        self.on_link_up: list[PeerCallback] = []
        self.on_link_down: list[PeerCallback] = []

    @property
    def bytes_sent(self) -> int:
        """Return the bytes sent on all links since the start of the process."""
        return self._closed_link_bytes + sum(link.bytes_sent for link in self._peers)

    def listen(self) -> None:
        """Accept links on the address of this process."""
        ip, _, port = self.identity.address.rpartition(":")
        self._server = _LinkServer(on_stream=self._on_accepted, tls=self._server_tls)
        self._server.listen(int(port), ip.strip("[]"), backlog=LISTEN_BACKLOG, reuse_port=False)

    def set_handler(
        self,
        message_type: type[MessageT],
        handler: Callable[[Peer, MessageT], None],
        *,
        from_role: str = "",
    ) -> None:
        """Set the handler of a message type, optionally restricted to peers of one role.

        A message from another role is logged and dropped, so that an agent cannot act as an entry
        host or vice versa.
        """
        self._handlers[message_type] = handler  # type: ignore[assignment]
        self._roles[message_type] = from_role

    def set_targets(self, targets: dict[str, str]) -> None:
        """Keep links to these hosts, given by name and address, and dial the missing ones."""
        self._targets = {n: a for n, a in targets.items() if a != self.identity.address}
        moment, target_addresses = now(), set(self._targets.values())
        self._dial_states = {
            address: dial
            for address, dial in self._dial_states.items()
            if address in target_addresses or dial.is_running or dial.is_down(moment)
        }
        self._dial_missing()

    def is_down(self, address: str) -> bool:
        """Return whether no link to an address is open and recent dial attempts have failed."""
        dial = self._dial_states.get(address)
        is_failing = dial is not None and dial.is_down(now())
        return is_failing and all(peer.hello.address != address for peer in self.peers())

    def is_refusing(self, address: str) -> bool:
        """Return whether no process listens at an address, as its host refused a connection."""
        dial = self._dial_states.get(address)
        is_refused = dial is not None and dial.is_refused and now() - dial.failed_at < DOWN_S
        return is_refused and all(peer.hello.address != address for peer in self.peers())

    def add_target(self, name: str, address: str) -> None:
        """Keep a link to one more host."""
        self.set_targets({**self._targets, name: address})

    def peers(self, *, role: str = "") -> list[Peer]:
        """Return the peers with an open link, optionally of one role only."""
        return [
            peer
            for peer in self._peers.values()
            if not peer.link.is_closed and role in ("", peer.hello.role)
        ]

    def peer(self, host: str) -> Peer | None:
        """Return the peer of the newest open link to a host."""
        for peer in reversed(self._peers.values()):
            if peer.host == host and not peer.link.is_closed:
                return peer
        return None

    def linked_hosts(self) -> set[str]:
        """Return the hosts to which a link is open."""
        return {peer.host for peer in self.peers()}

    def broadcast(self, message: Message, *, skip: Peer | None = None) -> None:
        """Send a message once to each linked host."""
        self.multicast(message, [p for p in self.peers() if skip is None or p.host != skip.host])

    def multicast(self, message: Message, peers: Iterable[Peer]) -> None:
        """Send a message once to each host of the given peers; it is encoded only once."""
        frame = encode(message)
        newest = {peer.host: peer for peer in peers}
        for peer in newest.values():
            peer.link.send_frame(frame)

    def tick(self) -> None:
        """Close silent links and dial missing ones; called once per heartbeat."""
        moment = now()
        for peer in self.peers():
            pending_bytes = peer.link.pending_bytes
            if (
                pending_bytes > peer.pending_bytes
                and moment - peer.last_message_at <= MAX_ARRIVAL_S
            ):
                # Heartbeats queue behind a large message, which takes seconds over a narrow link.
                peer.last_received_at = moment
            peer.pending_bytes = pending_bytes
            if moment - peer.last_received_at > self._silent_s:
                peer.close_reason = "silent"
                peer.link.close()
        for link, since in list(self._awaiting_hello.items()):
            if moment - since > self._silent_s:
                link.close()
        self._dial_missing()

    def close_unwanted(self) -> None:
        """Close the links that this process opened and has not needed for a while."""
        moment, target_addresses = now(), set(self._targets.values())
        for address, link in list(self._dialed_links.items()):
            if link.is_closed:
                del self._dialed_links[address]
                self._unwanted_since.pop(address, None)
            elif address in target_addresses:
                self._unwanted_since.pop(address, None)
            elif moment - self._unwanted_since.setdefault(address, moment) >= UNWANTED_CLOSE_S:
                peer = self._peers.get(link)
                if peer is not None:
                    peer.close_reason = "unwanted"
                link.close()

    def close(self) -> None:
        """Stop accepting, cancel dial attempts and close all links."""
        if self._server is not None:
            self._server.stop()
        self._targets = {}
        for task in self._dial_tasks:
            task.cancel()
        for link in [*self._peers, *self._awaiting_hello]:
            link.close()

    def _dial_missing(self) -> None:
        known = {peer.hello.address for peer in self.peers()}
        for address in self._targets.values():
            dialed = self._dialed_links.get(address)
            is_open = dialed is not None and not dialed.is_closed
            dial = self._dial_states.setdefault(address, _DialState())
            if is_open or address in known or dial.is_running or now() < dial.next_at:
                continue
            dial.is_running = True
            task = self._start_task(self._dial(address, dial))
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)

    async def _dial(self, address: str, dial: _DialState) -> None:
        ip, _, port = address.rpartition(":")
        try:
            stream = await asyncio.wait_for(
                self._client.connect(ip.strip("[]"), int(port), ssl_options=self._client_tls),
                CONNECT_TIMEOUT_S,
            )
        except (TimeoutError, OSError, StreamClosedError, ssl.SSLError, ValueError) as exc:
            # tornado raises ValueError when a peer without TLS sends before the handshake.
            # Jitter keeps the hosts of a failure domain from dialing in step after an outage.
            cause = exc.real_error if isinstance(exc, StreamClosedError) else exc
            dial.is_refused = isinstance(cause, ConnectionRefusedError)
            dial.failures, dial.failed_at = dial.failures + 1, now()
            dial.next_at = now() + dial.backoff_s * self._rng.uniform(0.5, 1.0)
            dial.backoff_s = min(dial.backoff_s * 2, MAX_BACKOFF_S)
            return
        finally:
            dial.is_running = False
        dial.backoff_s, dial.failures, dial.is_refused = INITIAL_BACKOFF_S, 0, False
        self._dialed_links[address] = self._start_link(stream)

    def _on_accepted(self, stream: IOStream) -> None:
        self._start_link(stream)

    def _start_link(self, stream: IOStream) -> Link:
        stream.set_nodelay(True)
        link = Link(stream=stream, on_message=self._on_message)
        self._awaiting_hello[link] = now()
        link.send(self.identity.to_hello())
        self._start_task(self._run_link(link))
        return link

    async def _run_link(self, link: Link) -> None:
        error = await link.run()
        self._awaiting_hello.pop(link, None)
        peer = self._peers.pop(link, None)
        self._closed_link_bytes += link.bytes_sent
        if error is not None:
            self._log.event("frame_refused", peer=peer.host if peer else "", detail=error.detail)
        if peer is not None:
            self._log.event(
                "link_down", peer=peer.host, address=peer.hello.address, reason=peer.close_reason
            )
            for callback in self.on_link_down:
                try:
                    callback(peer)
                except Exception as exc:
                    # The other callbacks must still run.
                    self._log.event("internal_error", where="link_down", detail=repr(exc))

    def _on_message(self, link: Link, message: Message) -> None:
        peer = self._peers.get(link)
        if peer is None:
            self._on_hello(link, message)
            return
        peer.last_received_at = peer.last_message_at = now()
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        role = self._roles[type(message)]
        if role and role != peer.hello.role:
            detail = f"{type(message).__name__} from role {peer.hello.role}"
            self._log.event("frame_refused", peer=peer.host, detail=detail)
            return
        handler(peer, message)

    def _on_hello(self, link: Link, message: Message) -> None:
        if not isinstance(message, Hello) or message.protocol != PROTOCOL_VERSION:
            self._log.event(
                "frame_refused", peer="", detail="expected a hello of this protocol version"
            )
            link.close()
            return
        self._awaiting_hello.pop(link, None)
        moment = now()
        peer = Peer(link=link, hello=message, last_received_at=moment, last_message_at=moment)
        self._peers[link] = peer
        self._log.event("link_up", peer=peer.host, address=peer.hello.address)
        for callback in self.on_link_up:
            callback(peer)

    def _start_task(self, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
