"""Pacing of chunk uploads and downloads beside live traffic."""

import asyncio

from wasabilb_core.manifest import MAX_PIECE_BYTES
from wasabilb_core.pacing import Pacer
from wasabilb_core.settings import WeightSettings
from wasabilb_node.clock import now
from wasabilb_node.links import Peer
from wasabilb_wire.messages import ChunkData, ChunkWant

# Time for which one piece occupies the host's link; live frames wait at most that long behind it.
PIECE_TIME_S = 0.015
MIN_PIECE_BYTES = 4 << 10
MAX_PACED_PIECE_BYTES = min(MAX_PIECE_BYTES, 128 << 10)
# Above this backlog the peer or the network is slower than the pacer, so sending waits. Live frames
# wait behind the backlogs of all uploads.
MAX_BACKLOG_PIECES = 2
BACKLOG_CHECK_S = 0.01


class TransferPacer:
    """Pacer of the chunks that this host sends to peers or reads from the store.

    Parameters
    ----------
    cfg : WeightSettings
        Rates of the host's link and of the region links.
    region : str
        Region of this host.
    """

    def __init__(self, *, cfg: WeightSettings, region: str) -> None:
        self._region = region
        self._upload_pacer = Pacer(
            link_rate=cfg.link_bytes_per_s, reserved_share=cfg.live_share, now=now()
        )
        self._region_rate = cfg.region_link_bytes_per_s
        self._download_pacer = Pacer(
            link_rate=cfg.link_bytes_per_s, reserved_share=cfg.live_share, now=now()
        )
        self._region_live_share = cfg.region_live_share
        self._live_bytes_sent = 0
        self._region_pacers: dict[str, Pacer] = {}
        piece_bytes = int(PIECE_TIME_S * cfg.link_bytes_per_s)
        self._piece_bytes = min(MAX_PACED_PIECE_BYTES, max(MIN_PIECE_BYTES, piece_bytes))

    def on_live_bytes_sent(self, live_bytes_sent: int) -> None:
        """Record the total of bytes sent on the open links to entry hosts."""
        # The total falls when a link closes; the last bytes of that link are not counted.
        if live_bytes_sent > self._live_bytes_sent:
            self._upload_pacer.on_live_bytes(live_bytes_sent - self._live_bytes_sent, now())
        self._live_bytes_sent = live_bytes_sent

    def download_delay_s(self, size: int) -> float:
        """Reserve the bytes of a chunk of the store; return the delay before its read, seconds."""
        return self._download_pacer.take(size, now())

    async def send(self, peer: Peer, want: ChunkWant, data: bytes, *, sender_count: int) -> int:
        """Send a chunk from the requested offset; return the bytes sent, fewer if the link closed.

        Parameters
        ----------
        sender_count : int
            Number of hosts of this region that send over the same region link, this one included.
        """
        offset = want.offset
        while offset < len(data) and not peer.link.is_closed:
            payload = data[offset : offset + self._piece_bytes]
            await self._wait_for_capacity(peer, len(payload), sender_count)
            end = offset + len(payload)
            is_sent = peer.send(
                ChunkData(
                    manifest=want.manifest,
                    index=want.index,
                    offset=offset,
                    is_last=end == len(data),
                    payload=payload,
                )
            )
            if not is_sent:
                break
            offset = end
        return offset - want.offset

    async def _wait_for_capacity(self, peer: Peer, size: int, sender_count: int) -> None:
        delay_s = self._upload_pacer.take(size, now())
        region = peer.hello.region
        if region != self._region:
            pacer = self._region_pacers.get(region)
            if pacer is None:
                pacer = self._region_pacers[region] = Pacer(
                    link_rate=self._region_rate, reserved_share=self._region_live_share, now=now()
                )
            # Each sender takes as much from its own bucket as all of them send.
            delay_s = max(delay_s, pacer.take(size * sender_count, now()))
        await asyncio.sleep(delay_s)
        while (
            peer.link.unsent_bytes > MAX_BACKLOG_PIECES * self._piece_bytes
            and not peer.link.is_closed
        ):
            await asyncio.sleep(BACKLOG_CHECK_S)
