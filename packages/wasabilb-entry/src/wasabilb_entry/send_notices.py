"""Notifies the other entry processes of requests that were sent to runners."""

import asyncio

from wasabilb_core.entry_roster import EntryRoster
from wasabilb_core.topology import MAX_MESH_HOSTS
from wasabilb_node.links import LinkManager
from wasabilb_wire.messages import SendNotice

# Sends of this time go into one message; the farthest peer receives it 3 ms later, seconds.
COLLECT_INTERVAL_S = 0.01


class SendNotices:
    """Collects sends and announces them to the linked entry processes.

    Parameters
    ----------
    links : LinkManager
        Links to peers.
    roster : EntryRoster
        The known entry processes. Of many, only those of the own failure domain are notified.
    """

    def __init__(self, *, links: LinkManager, roster: EntryRoster) -> None:
        self._links = links
        self._roster = roster
        self._runner_ids: list[str] = []
        self._prompt_tokens: list[int] = []

    def add(self, runner_id: str, prompt_tokens: int) -> None:
        """Add a send to the next message."""
        if not self._runner_ids:
            asyncio.get_running_loop().call_later(COLLECT_INTERVAL_S, self._send)
        self._runner_ids.append(runner_id)
        self._prompt_tokens.append(prompt_tokens)

    def _send(self) -> None:
        notice = SendNotice(runners=self._runner_ids, prompt_tokens=self._prompt_tokens)
        self._runner_ids, self._prompt_tokens = [], []
        peers = self._links.peers(role="entry")
        if len(self._roster) > MAX_MESH_HOSTS:
            own_domain = self._links.identity.failure_domain
            peers = [peer for peer in peers if peer.hello.failure_domain == own_domain]
        self._links.multicast(notice, peers)
