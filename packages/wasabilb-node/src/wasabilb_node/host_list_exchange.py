"""Exchanges the platform's host list with peers."""

from wasabilb_core.leaving_list import LeavingNews
from wasabilb_core.membership import Membership
from wasabilb_wire.messages import HostList

from wasabilb_node.links import LinkManager, Peer
from wasabilb_node.platform_answers import ListedHosts


class HostListExchange:
    """Merges host lists from the platform and from peers and forwards what is new."""

    def __init__(self, *, membership: Membership, links: LinkManager) -> None:
        self._membership = membership
        self._links = links
        links.set_handler(HostList, self._on_host_list)
        links.on_link_up.append(self._on_link_up)

    def on_read(self, hosts: ListedHosts) -> None:
        """Merge a list that this process has read from the platform."""
        news = LeavingNews(era=hosts.era, as_of=hosts.as_of, listed=hosts.leaving)
        if self._membership.on_host_list(news, written_live=hosts.written_live):
            self._links.broadcast(self._to_message())

    def _on_host_list(self, peer: Peer, message: HostList) -> None:
        carried = frozenset(message.carried)
        news = LeavingNews(
            era=message.era,
            as_of=message.as_of,
            listed=frozenset(message.leaving) - carried,
            carried=carried,
            carried_from=(message.carried_era, message.carried_as_of),
            returned=message.returned,
        )
        if self._membership.on_host_list(news):
            # The sender learns what the merge has added to its list.
            skip = peer if self._membership.host_list == news else None
            self._links.broadcast(self._to_message(), skip=skip)

    def _on_link_up(self, peer: Peer) -> None:
        if self._membership.host_list != LeavingNews():
            peer.send(self._to_message())

    def _to_message(self) -> HostList:
        news = self._membership.host_list
        return HostList(
            as_of=news.as_of,
            leaving=sorted(news.leaving),
            era=news.era,
            carried=sorted(news.carried),
            returned=sorted(news.returned),
            carried_era=news.carried_from[0],
            carried_as_of=news.carried_from[1],
        )
