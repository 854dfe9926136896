"""TCP relays between processes under test, for all network faults.

A relay works on bytes, not on packets: a connection is accepted at once, and delays begin with its
first byte. A one-way cut discards the bytes of that direction.
"""

import asyncio
from typing import Any

from attrs import frozen

from wasabilb_standins._relay import Relay
from wasabilb_standins.base import STANDINS, Handler, Standin
from wasabilb_standins.pacing import Pacer


@frozen(kw_only=True)
class LinkSettings:
    """Relays that are created at the start.

    Parameters
    ----------
    relays : str
        `NAME:PORT=TARGET_ADDRESS:TARGET_PORT`, separated by commas; port 0 is ephemeral.
    """

    relays: str = ""


@frozen(kw_only=True)
class LinkFaults:
    """No faults, as they belong to the relays, see `Shape`."""


@STANDINS.register("link")
class Link(Standin[LinkSettings, LinkFaults]):
    """Set of relays with one control port and named bandwidths that they share."""

    settings_type = LinkSettings
    faults_type = LinkFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.relays: dict[str, Relay] = {}
        self._pacers: dict[str, Pacer] = {}
        for item in filter(None, self.settings.relays.split(",")):
            name, _, target = item.strip().partition("=")
            name, _, port = name.partition(":")
            self._create_relay(name, target, int(port or 0))

    def routes(self) -> list[tuple[str, type[Handler]]]:
        """Return no paths in addition to `/fault` and `/record`."""
        return []

    async def on_start(self) -> None:
        """Start the relays."""
        await asyncio.gather(*(relay.start() for relay in self.relays.values()))

    async def on_stop(self) -> None:
        """Stop the relays."""
        await asyncio.gather(*(relay.stop() for relay in self.relays.values()))

    async def add(self, name: str, target: str, port: int = 0) -> Relay:
        """Add and start a relay to a target `ADDRESS:PORT`."""
        relay = self._create_relay(name, target, port)
        await relay.start()
        return relay

    def set_bandwidth(self, name: str, bytes_per_s: float) -> None:
        """Set a bandwidth that all directions with this name share; 0 is unlimited."""
        self.pacer(name).bytes_per_s = bytes_per_s

    def pacer(self, name: str) -> Pacer:
        """Return the pacer of a bandwidth."""
        return self._pacers.setdefault(name, Pacer(bytes_per_s=0.0))

    def on_fault(self, body: dict[str, Any]) -> dict[str, Any]:
        """Apply the body of `POST /fault` and return the record.

        Fields: `bandwidths` (rate in bytes per second by name), `relay` (a name or `*`),
        `direction` with fields of `Shape`, `refuse` (bool), `reset_open`, `silence_open` (true).
        """
        for name, rate in body.pop("bandwidths", {}).items():
            self.set_bandwidth(name, float(rate))
        relay_name = body.pop("relay", None)
        selected = list(self.relays) if relay_name == "*" else [relay_name] if relay_name else []
        direction = body.pop("direction", "both")
        refuse = body.pop("refuse", None)
        actions = [name for name in ("reset_open", "silence_open") if body.pop(name, False)]
        for name in selected:
            if name not in self.relays:
                raise ValueError(f"no relay {name!r}")
            relay = self.relays[name]
            if refuse is not None:
                relay.refuse(bool(refuse))
            try:
                relay.shape(direction, **body)
            except TypeError as exc:
                raise ValueError(exc.args[0]) from None
            for action in actions:
                getattr(relay, action)()
        return self.record()

    def record(self) -> dict[str, Any]:
        """Return the counters of all relays and the bytes of each bandwidth."""
        return {
            "relays": {name: relay.record() for name, relay in self.relays.items()},
            "bandwidths": {name: pacer.sent_bytes for name, pacer in self._pacers.items()},
        }

    def _create_relay(self, name: str, target: str, port: int) -> Relay:
        if name in self.relays:
            raise ValueError(f"relay {name!r} exists")
        host, _, target_port = target.rpartition(":")
        self.relays[name] = Relay(
            target=(host, int(target_port)), pacer=self.pacer, address=self.address, port=port
        )
        return self.relays[name]
