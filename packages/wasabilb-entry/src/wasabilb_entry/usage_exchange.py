"""Exchange of account usage between entry hosts."""

from collections.abc import Callable

from wasabilb_core.account_limits import AccountLimiter
from wasabilb_core.account_limits import AccountUsage as CoreAccountUsage
from wasabilb_core.account_limits import Usage as CoreUsage
from wasabilb_core.fleet import FleetState
from wasabilb_core.tickets import HostRole
from wasabilb_node.clock import now
from wasabilb_node.links import LinkManager, Peer
from wasabilb_wire.messages import AccountUsage, Usage

# Requests per second below which an account counts as idle at a host.
MIN_DEMAND_PER_S = 0.01


class UsageExchange:
    """Exchanges account usage with the linked entry hosts.

    Messages are not relayed, because relaying by each host would make their number quadratic in
    the number of entry hosts. Shares spread across the fleet from link to link.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        limiter: AccountLimiter,
        links: LinkManager,
        get_peers: Callable[[], set[str]],
    ) -> None:
        self._get_peers = get_peers
        self._peer_usage: dict[str, CoreUsage] = {}
        self._fleet = fleet
        self._limiter = limiter
        self._links = links
        links.on_link_up.append(self._on_link_up)
        links.set_handler(Usage, self._on_usage, from_role=HostRole.ENTRY.value)

    def on_fleet_changed(self) -> None:
        """Update the limits from the tickets and send the resulting usage."""
        entry_hosts = [h.name for h in self._fleet.hosts() if h.is_entry and h.takes_work]
        self._limiter.set_hosts(entry_hosts, self._get_peers())
        for account in self._fleet.accounts():
            self._limiter.set_account(account.name, account.requests_per_s, account.burst)
        # A peer that received the ticket earlier may have sent its usage before this host knew the
        # peer. Reapplying that usage avoids refusals until the next heartbeat.
        for host, usage in self._peer_usage.items():
            self._limiter.on_usage(host, usage, now())
        self.on_tick()

    def on_tick(self) -> None:
        """Send this host's usage to each linked entry host."""
        usage = self._limiter.usage(now())
        sent: set[str] = set()
        for peer in self._links.peers():
            if peer.host not in sent and self._send(usage, peer):
                sent.add(peer.host)

    def _on_link_up(self, peer: Peer) -> None:
        """Send this host's usage to a new peer at once, so that it can grant shares."""
        self._send(self._limiter.usage(now()), peer)

    def _send(self, usage: CoreUsage, peer: Peer) -> bool:
        is_entry = peer.hello.role == HostRole.ENTRY.value
        return is_entry and peer.send(_to_message(usage, peer.host))

    def _on_usage(self, peer: Peer, usage: Usage) -> None:
        peer_usage = _from_message(usage, self._links.identity.host)
        self._peer_usage[usage.host] = peer_usage
        self._limiter.on_usage(usage.host, peer_usage, now())


def _to_message(usage: CoreUsage, host: str) -> Usage:
    """Return the message to `host`: accounts in use, and shares moved between it and this host."""
    accounts = []
    for name, account in usage.accounts.items():
        given, received = account.given.get(host, 0.0), account.received.get(host, 0.0)
        if account.demand > MIN_DEMAND_PER_S or given or received:
            accounts.append(
                AccountUsage(
                    account=name,
                    demand=account.demand,
                    share=account.share,
                    given=given,
                    received=received,
                )
            )
    return Usage(
        host=usage.host,
        incarnation=usage.incarnation,
        sequence=usage.sequence,
        accounts=accounts,
    )


def _from_message(usage: Usage, own_host: str) -> CoreUsage:
    return CoreUsage(
        host=usage.host,
        incarnation=usage.incarnation,
        sequence=usage.sequence,
        accounts={
            account.account: CoreAccountUsage(
                demand=account.demand,
                share=account.share,
                given={own_host: account.given},
                received={own_host: account.received},
            )
            for account in usage.accounts
        },
    )
