"""Exchange of runners' limits between entry processes."""

import asyncio

from wasabilb_core.entry_roster import EntryPlace, EntryRoster
from wasabilb_core.lent_limits import EXCHANGE_S, PermitTransfer
from wasabilb_core.peering import limit_collectors
from wasabilb_core.runner_directory import RunnerDirectory
from wasabilb_core.runner_limits import LimitNews, RunnerLimits
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.logs import EventLog
from wasabilb_wire.messages import LimitNotice

# Interval at which each peer is told of all limits, seconds; what is new is told at once.
NEWS_S = 2.0


class LimitExchange:
    """Passes parts of limits and news of them to linked entry processes, while there are limits.

    Parameters
    ----------
    limits : RunnerLimits
        Limits known to this process.
    directory : RunnerDirectory
        Known runners; news of others are ignored, and repeated by the peers.
    links : LinkManager
        Links to peers.
    roster : EntryRoster
        The known entry processes.
    own : EntryPlace
        This process.
    log : EventLog
        Receives an event for each change that a peer tells.
    """

    def __init__(
        self,
        *,
        limits: RunnerLimits,
        directory: RunnerDirectory,
        links: LinkManager,
        roster: EntryRoster,
        own: EntryPlace,
        log: EventLog,
    ) -> None:
        self._limits = limits
        self._directory = directory
        self._links = links
        self._roster = roster
        self._own = own
        self._log = log
        self._is_running = False
        self._news_at = 0.0
        # Whether this process passes news on between failure domains.
        self._is_hub = False
        links.set_handler(LimitNotice, self._on_notice, from_role="entry")
        links.on_link_up.append(self._on_link_up)
        links.on_link_down.append(self._on_link_down)

    def on_changed(self) -> None:
        """Tell all peers of a limit that an answer started, changed or ended."""
        self._update_hosts()
        self._tell_news()
        self._start()

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            asyncio.get_running_loop().call_later(EXCHANGE_S, self._on_timer)

    def _on_timer(self) -> None:
        self._is_running = False
        try:
            self._exchange()
        finally:
            # An error must not stop later exchanges.
            if self._limits.news(now()):
                self._start()

    def _exchange(self) -> None:
        moment = now()
        self._update_hosts()
        by_address: dict[str, list[PermitTransfer]] = {}
        for address, transfer in self._limits.lent.exchange(moment):
            by_address.setdefault(address, []).append(transfer)
        for peer in self._links.peers(role="entry"):
            transfers = by_address.pop(peer.hello.address, None)
            if transfers:
                peer.send(LimitNotice(transfers=transfers))
        if moment - self._news_at >= NEWS_S:
            self._tell_news()

    def _update_hosts(self) -> None:
        """Apply the known processes, and the reachable ones of them."""
        places = self._roster.places()
        linked = {peer.hello.address for peer in self._links.peers(role="entry")}
        collectors = limit_collectors(self._own, places, linked.__contains__)
        self._limits.lent.set_hosts(
            [p.address for p in places if not self._links.is_refusing(p.address)], collectors
        )
        self._is_hub = len(places) > MAX_MESH_HOSTS and self._own.address in collectors

    def _tell_news(self) -> None:
        self._news_at = now()
        news = self._limits.news(self._news_at)
        if news:
            self._links.multicast(LimitNotice(news=news), self._links.peers(role="entry"))

    def _on_link_up(self, peer: Peer) -> None:
        """Tell a new peer at once, so that it does not have to find out by its requests."""
        news = self._limits.news(now())
        if news and peer.hello.role == "entry":
            peer.send(LimitNotice(news=news))

    def _on_link_down(self, peer: Peer) -> None:
        self._limits.lent.on_host_lost(peer.hello.address)

    def _on_notice(self, peer: Peer, notice: LimitNotice) -> None:
        moment = now()
        changed = [news for news in notice.news if self._on_news(peer, news, moment)]
        if changed and self._is_hub:
            # Without this, news would cross a large fleet at the interval of the regular ones.
            others = [p for p in self._links.peers(role="entry") if p.host != peer.host]
            self._links.multicast(LimitNotice(news=changed), others)
        if notice.news:
            self._start()
        for transfer in notice.transfers:
            self._limits.lent.on_transfer(peer.hello.address, transfer, moment)

    def _on_news(self, peer: Peer, news: LimitNews, moment: float) -> bool:
        """Apply news of a limit and return whether they change it."""
        runner = self._directory.get(news.runner)
        if runner is None or runner.born_ms != news.born_ms:
            return False
        change = self._limits.on_news(news, moment)
        if change is not None:
            self._log.event(
                "runner_limited",
                runner=news.runner,
                change=change.value,
                limit_per_s=self._limits.per_s(runner),
                peer=peer.host,
            )
        return change is not None
