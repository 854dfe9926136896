"""Faults of connections, by the relay before each host or by a flood past it."""

import asyncio
import contextlib
import os
from typing import TYPE_CHECKING

from wasabilb_standins.soak._faults import ENTRY, Fault, fault

if TYPE_CHECKING:
    from wasabilb_standins.fleet import LocalHost
    from wasabilb_standins.soak._testbed import Testbed

TRICKLE_BYTES_PER_S = 2_000.0
FLOOD_CONNECTIONS, FLOOD_BYTES, FLOOD_GAP_S = 20, 1 << 14, 0.02
# A request whose head never ends.
ENDLESS_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: soak\r\nX-Endless: "


class LinkFault(Fault):
    """A fault of the links to a host, whose processes run on."""

    # Links are given up as silent after 3.2 s, then connected anew.
    after_s = 5.0


@fault("delay")
class Delay(LinkFault):
    """Bytes arrive late, both ways."""

    delay_s = 0.2

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Delay the bytes."""
        testbed.fleet.link.relays[host.name].shape(delay_s=self.delay_s)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Let them pass."""
        testbed.fleet.link.relays[host.name].shape(delay_s=0.0)


@fault("reset")
class Reset(LinkFault):
    """All connections are reset and new ones refused for a time."""

    lasts_s = (0.0, 2.0)

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Reset and refuse."""
        relay = testbed.fleet.link.relays[host.name]
        relay.refuse()
        relay.reset_open()

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Accept again."""
        testbed.fleet.link.relays[host.name].refuse(False)


@fault("cut-to")
class CutTo(LinkFault):
    """What is sent to the host is lost; what it sends arrives."""

    direction = "forward"

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Discard one direction."""
        testbed.fleet.link.relays[host.name].shape(self.direction, cut=True)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Let new connections work; those that lost bytes stay silent."""
        testbed.fleet.link.relays[host.name].shape(self.direction, cut=False)


@fault("cut-from")
class CutFrom(CutTo):
    """What the host sends is lost; what is sent to it arrives."""

    direction = "backward"


@fault("silence")
class Silence(LinkFault):
    """Open connections stay open and silent for good; new ones work."""

    lasts_s = (0.0, 0.01)

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Silence the open connections."""
        testbed.fleet.link.relays[host.name].silence_open()


@fault("trickle")
class Trickle(LinkFault):
    """The links carry a few kilobytes a second."""

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Limit the rate."""
        testbed.fleet.link.set_bandwidth(host.name, TRICKLE_BYTES_PER_S)
        testbed.fleet.link.relays[host.name].shape(bandwidth=host.name)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Lift the limit."""
        testbed.fleet.link.set_bandwidth(host.name, 0.0)
        testbed.fleet.link.relays[host.name].shape(bandwidth="")


@fault("flood")
class Flood(Fault):
    """Connections that send bytes without end, on the port for links or on that for callers."""

    # A flood of foreign connections is to harm nobody else.
    excuses = frozenset()
    payload = b""

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Open the connections."""
        address = host.callers if self.payload else host.address
        testbed.flood_tasks[(self.name, host.name)] = [
            asyncio.ensure_future(_send_endlessly(address, self.payload))
            for _ in range(FLOOD_CONNECTIONS)
        ]

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Close them."""
        flood = testbed.flood_tasks.pop((self.name, host.name), [])
        for task in flood:
            task.cancel()
        await asyncio.gather(*flood, return_exceptions=True)


@fault("flood-callers")
class FloodCallers(Flood):
    """Requests whose heads never end."""

    roles = (ENTRY,)
    payload = ENDLESS_HEAD


async def _send_endlessly(address: str, first: bytes) -> None:
    ip, _, port = address.rpartition(":")
    while True:
        # The far end may close at any byte, and a process that is down refuses.
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(first)
                while not reader.at_eof():
                    writer.write(b"a" * FLOOD_BYTES if first else os.urandom(FLOOD_BYTES))
                    await writer.drain()
                    await asyncio.sleep(FLOOD_GAP_S)
            finally:
                writer.transport.abort()
        await asyncio.sleep(FLOOD_GAP_S)
