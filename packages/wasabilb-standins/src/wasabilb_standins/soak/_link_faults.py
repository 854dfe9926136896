"""Faults of connections, by the relay before each host or by a flood that bypasses it."""

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
# Start of a request whose head never ends.
ENDLESS_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: soak\r\nX-Endless: "


class LinkFault(Fault):
    """Fault of the links to a host; its process keeps running."""

    # Links are closed as silent after 3.2 s, then reconnected.
    after_s = 5.0


@fault("delay")
class Delay(LinkFault):
    """Delay of all bytes in both directions."""

    delay_s = 0.2

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Delay the bytes."""
        testbed.fleet.link.relays[host.name].shape(delay_s=self.delay_s)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Stop the delay."""
        testbed.fleet.link.relays[host.name].shape(delay_s=0.0)


@fault("reset")
class Reset(LinkFault):
    """Reset of all connections; new ones are refused until the end."""

    duration_range_s = (0.0, 2.0)

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
    """Loss of the bytes that are sent to the host; those that it sends arrive."""

    direction = "forward"

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Discard one direction."""
        testbed.fleet.link.relays[host.name].shape(self.direction, cut=True)

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Stop the loss for new connections; those that have lost bytes stay silent."""
        testbed.fleet.link.relays[host.name].shape(self.direction, cut=False)


@fault("cut-from")
class CutFrom(CutTo):
    """Loss of the bytes that the host sends; those that are sent to it arrive."""

    direction = "backward"


@fault("silence")
class Silence(LinkFault):
    """Open connections stay open but permanently silent; new ones are unaffected."""

    duration_range_s = (0.0, 0.01)

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Silence the open connections."""
        testbed.fleet.link.relays[host.name].silence_open()


@fault("trickle")
class Trickle(LinkFault):
    """Limit of the links to a few kilobytes per second."""

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
    """Connections that send endless bytes, to the port for links or to that for callers."""

    # A flood of unauthorized connections must not affect other traffic.
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
        """Close the connections."""
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
        # The process may close a connection at any byte; while it is down, connections are refused.
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
