"""Tells the other entry processes which runners have just been sent requests."""

import asyncio

from wasabilb_node.links import LinkManager, Peer
from wasabilb_wire.messages import SendNotice

# Sends of this time go into one message; the farthest peer hears 3 ms later, seconds.
COLLECT_S = 0.01
# Entry processes that are told. Each message costs its receiver 0.15 ms; with more processes the
# part of each in a runner's load is small, and those of other failure domains prefer other runners.
MOST_TOLD = 16


class SendNotices:
    """Collects sends and tells them to the linked entry processes.

    Parameters
    ----------
    links : LinkManager
        Links to peers.
    """

    def __init__(self, *, links: LinkManager) -> None:
        self._links = links
        self._runners: list[str] = []
        self._tokens: list[int] = []

    def add(self, runner_id: str, prompt_tokens: int) -> None:
        """Note a send."""
        if not self._runners:
            asyncio.get_running_loop().call_later(COLLECT_S, self._tell)
        self._runners.append(runner_id)
        self._tokens.append(prompt_tokens)

    def _tell(self) -> None:
        notice = SendNotice(runners=self._runners, prompt_tokens=self._tokens)
        self._runners, self._tokens = [], []
        self._links.send_each(notice, self._nearest())

    def _nearest(self) -> list[Peer]:
        """Return the entry processes to tell: all of a few, of many those that share runners."""
        peers = self._links.peers(role="entry")
        if len(peers) <= MOST_TOLD:
            return peers
        own = self._links.identity.failure_domain
        return [peer for peer in peers if peer.hello.failure_domain == own][-MOST_TOLD:]
