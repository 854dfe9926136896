"""Local fleet: platform stand-ins in this process, and the real processes of the system.

The demo, the measurements and the scenarios with real processes use it.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import tomli_w
from attrs import define, field, frozen
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from wasabilb_core.account_keys import hash_key
from wasabilb_core.ticket_order import ticket_order

from wasabilb_standins.config_service import ConfigService
from wasabilb_standins.engine import Engine
from wasabilb_standins.host_list import HostList
from wasabilb_standins.link import Link
from wasabilb_standins.service import Service
from wasabilb_standins.store import Store

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 60.0
POLL_S = 0.05
LOWEST_PORT, LOWEST_EPHEMERAL_PORT = 10_000, 32_768
REGION_DELAY_S = 0.003


@frozen(kw_only=True)
class FleetShape:
    """Processes of a fleet and their settings.

    Parameters
    ----------
    regions : tuple of str
        Regions with one failure domain each; the store is in the first.
    entry_hosts : int
        Entry processes, spread over the regions in turn.
    runners : int
        Backend servers with an engine.
    services : dict of str to int
        Number of hosts by name of the plain service.
    model : str
        Name of the model.
    engine, service, store, entry_settings, agent_settings : dict
        Settings of each stand-in and process.
    region_link_bytes_per_s : float
        Rate of the link from the store's region to each other region, for reads of the store; 0
        is unlimited.
    relayed : tuple of str
        Hosts whose tickets have the address of a relay, so that link faults can be injected.
    """

    regions: tuple[str, ...] = ("Dublin", "Cork", "Galway")
    entry_hosts: int = 3
    runners: int = 5
    services: dict[str, int] = field(factory=lambda: {"bookings": 3, "portal": 1})
    model: str = "draft"
    engine: dict[str, Any] = field(factory=dict)
    service: dict[str, Any] = field(factory=dict)
    store: dict[str, Any] = field(factory=dict)
    entry_settings: dict[str, Any] = field(factory=dict)
    callers: dict[str, Any] = field(factory=dict)
    agent_settings: dict[str, Any] = field(factory=dict)
    region_link_bytes_per_s: float = 0.0
    relayed: tuple[str, ...] = ()


@define(kw_only=True, eq=False)
class LocalHost:
    """Host with its addresses, its stand-in and its process of the system."""

    name: str
    role: str
    region: str
    address: str
    callers: str = ""
    admin: str = ""
    engine: Engine | None = None
    service: Service | None = None
    service_name: str = ""
    process: "subprocess.Popen[bytes] | None" = None
    state: str = "live"
    public_address: str = ""

    def to_spec(self) -> dict[str, Any]:
        """Return the host's table in a ticket."""
        return {
            "name": self.name,
            "role": "entry" if self.role == "entry" else "backend",
            "address": self.public_address or self.address,
            "region": self.region,
            "failure_domain": f"{self.region}-1",
            "state": self.state,
        }


def status_order(status: dict[str, Any]) -> int:
    """Return the order of the newest ticket in a status document."""
    return ticket_order(int(status.get("newest_era", 0)), int(status["newest_ticket"]))


_RETURNED_PORTS: set[int] = set()


def free_address() -> str:
    """Return a loopback address with a free port.

    The port is below the kernel's range for outgoing connections, as ports in that range were
    sometimes in use again before the process listened on them. No port is returned twice; without
    that rule, 40 addresses contained a duplicate in 1 of 30 fleets.
    """
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(LOWEST_PORT, LOWEST_EPHEMERAL_PORT)
        if port in _RETURNED_PORTS:
            continue
        _RETURNED_PORTS.add(port)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


class LocalFleet:
    """Fleet of local processes that can be started, faulted and stopped.

    Parameters
    ----------
    shape : FleetShape
        Processes to start.
    folder : Path
        Directory for settings and logs.
    """

    def __init__(self, *, shape: FleetShape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder
        self.config_service = ConfigService()
        self.host_list = HostList()
        self.store = Store(**shape.store)
        self.link = Link()
        self.hosts: dict[str, LocalHost] = {}
        self.account_keys = {f"salon-{i}": f"salon-{i}-key-{i:024d}" for i in range(1, 4)}
        self._http = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._create_hosts()

    @property
    def entry_hosts(self) -> list[LocalHost]:
        """Return the entry hosts."""
        return [host for host in self.hosts.values() if host.role == "entry"]

    @property
    def runners(self) -> list[LocalHost]:
        """Return the backend servers with an engine."""
        return [host for host in self.hosts.values() if host.role == "runner"]

    def service_hosts(self, name: str) -> list[LocalHost]:
        """Return the backend servers of a plain service."""
        return [host for host in self.hosts.values() if host.service_name == name]

    async def start(self) -> None:
        """Start the stand-ins and all processes of the system."""
        self.folder.mkdir(parents=True, exist_ok=True)
        await self.config_service.start()
        await self.host_list.start()
        await self.store.start()
        await self._start_relays()
        for host in self.hosts.values():
            if host.engine is not None:
                await host.engine.start()
            if host.service is not None:
                await host.service.start()
        for host in self.hosts.values():
            self.start_process(host)

    async def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for host in self.hosts.values():
            self.signal(host, signal.SIGCONT)
            self.signal(host, signal.SIGKILL)
            if host.process is not None:
                host.process.wait()
        for host in self.hosts.values():
            if host.engine is not None:
                await host.engine.stop()
            if host.service is not None:
                await host.service.stop()
        await self.link.stop()
        await self.store.stop()
        await self.host_list.stop()
        await self.config_service.stop()
        self._http.close()

    def start_process(self, host: LocalHost) -> None:
        """Start a host's process of the system."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(tomli_w.dumps(self._process_settings(host)), encoding="utf-8")
        package = "wasabilb_entry" if host.role == "entry" else "wasabilb_agent"
        command = [sys.executable, "-m", package, *(["entry"] if host.role == "entry" else [])]
        with (self.folder / f"{host.name}.err").open("ab") as log_file:
            host.process = subprocess.Popen(
                [*command, f"--settings={path}"],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
                start_new_session=True,
            )

    def signal(self, host: LocalHost, number: int) -> None:
        """Send a signal to a host's process, if it runs."""
        if host.process is not None and host.process.poll() is None:
            host.process.send_signal(number)

    async def wait_ended(self, host: LocalHost, *, timeout_s: float = START_TIMEOUT_S) -> int:
        """Wait until a host's process has ended and return its exit status."""
        limit = time.monotonic() + timeout_s
        while host.process is not None and host.process.poll() is None:
            if time.monotonic() > limit:
                raise TimeoutError(f"{host.name} still runs after {timeout_s} s")
            await asyncio.sleep(POLL_S)
        return host.process.returncode if host.process is not None else 0

    async def restart(self, host: LocalHost) -> None:
        """Kill a host's process and start it again."""
        self.signal(host, signal.SIGKILL)
        await self.wait_ended(host)
        self.start_process(host)

    def publish(self, text: str) -> None:
        """Publish a ticket."""
        self.config_service.publish(text)

    def model_ticket(self, number: int, *, version: str, while_loading: str = "") -> str:
        """Return a ticket that changes only the model.

        A ticket that declares a service again starts a new generation of its keys, on which its
        owners have to agree. A rollout therefore omits services.
        """
        model = self._model_table(version, while_loading)
        return tomli_w.dumps({"number": number, "models": [model]})

    def ticket(self, number: int, *, version: str, while_loading: str = "", **changes: Any) -> str:
        """Return a ticket that declares the whole fleet with the model at a version."""
        services = [
            {
                "name": name,
                "hosts": [host.name for host in self.service_hosts(name)],
                "once_calls": [{"method": "POST", "path": "/book"}],
            }
            for name in self.shape.services
        ]
        accounts = [
            {
                "name": name,
                "key_hash": hash_key(key, bytes(8)),
                "requests_per_s": 2000.0,
                "burst": 2000.0,
            }
            for name, key in self.account_keys.items()
        ]
        body: dict[str, Any] = {
            "number": number,
            "models": [self._model_table(version, while_loading)],
            "services": services,
            "hosts": [host.to_spec() for host in self.hosts.values()],
            "accounts": accounts,
        }
        return tomli_w.dumps({**body, **changes})

    def _model_table(self, version: str, while_loading: str) -> dict[str, Any]:
        model: dict[str, Any] = {
            "name": self.shape.model,
            "version": version,
            "runners": [host.name for host in self.runners],
        }
        if while_loading:
            model["while_loading"] = while_loading
        return model

    async def status(self, host: LocalHost) -> dict[str, Any] | None:
        """Return the status of an entry process, None if it does not answer."""
        try:
            answer = await self._http.fetch(f"http://{host.admin}/status", request_timeout=2.0)
        except (HTTPClientError, OSError):
            return None
        found: dict[str, Any] = json.loads(answer.body)
        return found

    async def wait_in_force(self, order: int, *, timeout_s: float = START_TIMEOUT_S) -> float:
        """Wait until all entry processes hold a ticket or a later one; return the seconds.

        In the first era of the configuration service, the order of a ticket is its number.
        """
        started = time.monotonic()
        await self._wait_for_status(lambda status: status_order(status) >= order, timeout_s)
        return time.monotonic() - started

    async def wait_version(self, version: str, *, timeout_s: float = 60.0) -> float:
        """Wait until all entry processes list the version on all runners; return the seconds."""
        started = time.monotonic()
        variant = f"{self.shape.model}@{version}"
        live = {host.name for host in self.runners if host.state == "live"}

        def is_serving(status: dict[str, Any]) -> bool:
            holding = {h["name"] for h in status["hosts"] if variant in h["variants"]}
            return live <= holding and status["state"] == "ready"

        await self._wait_for_status(is_serving, timeout_s)
        return time.monotonic() - started

    async def wait_services(self, *, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until all entry processes can route to all hosts of plain services."""
        service_hosts = {host.name for host in self.hosts.values() if host.service is not None}

        def is_routable(status: dict[str, Any]) -> bool:
            return service_hosts <= {h["name"] for h in status["hosts"] if h["state"] == "live"}

        await self._wait_for_status(is_routable, timeout_s)

    async def _wait_for_status(self, is_reached: Any, timeout_s: float) -> None:
        limit = time.monotonic() + timeout_s
        pending_hosts = [h for h in self.entry_hosts if h.process and h.process.poll() is None]
        while pending_hosts:
            statuses = [await self.status(host) for host in pending_hosts]
            pending_hosts = [
                host
                for host, status in zip(pending_hosts, statuses, strict=True)
                if status is None or not is_reached(status)
            ]
            if pending_hosts and time.monotonic() > limit:
                names = ", ".join(host.name for host in pending_hosts)
                raise TimeoutError(f"not reached within {timeout_s} s on {names}")
            await asyncio.sleep(POLL_S)

    async def _start_relays(self) -> None:
        await self.link.start()
        for name in self.shape.relayed:
            host = self.hosts[name]
            relay = await self.link.add(name, host.address)
            host.public_address = f"{LOOPBACK}:{relay.port}"
        if not self.shape.region_link_bytes_per_s:
            return
        for region in self.shape.regions[1:]:
            relay = await self.link.add(f"store-{region}", f"{LOOPBACK}:{self.store.port}")
            relay.shape("both", delay_s=REGION_DELAY_S)
            relay.shape("backward", bandwidth=region)
            self.link.set_bandwidth(region, self.shape.region_link_bytes_per_s)

    def _store_url(self, host: LocalHost) -> str:
        relay = self.link.relays.get(f"store-{host.region}")
        return f"http://{LOOPBACK}:{relay.port}" if relay else self.store.url

    def _create_hosts(self) -> None:
        regions = self.shape.regions
        for index in range(self.shape.entry_hosts):
            self._add_host(f"entry-{index + 1}", "entry", regions[index % len(regions)])
        for index in range(self.shape.runners):
            host = self._add_host(f"runner-{index + 1}", "runner", regions[index % len(regions)])
            host.engine = Engine(**self.shape.engine)
        for name, count in self.shape.services.items():
            for index in range(count):
                host = self._add_host(
                    f"{name}-{index + 1}", "service", regions[index % len(regions)]
                )
                host.service = Service(name=name, **self.shape.service)
                host.service_name = name

    def _add_host(self, name: str, role: str, region: str) -> LocalHost:
        host = LocalHost(name=name, role=role, region=region, address=free_address())
        if role == "entry":
            host.callers, host.admin = free_address(), free_address()
        self.hosts[name] = host
        return host

    def _process_settings(self, host: LocalHost) -> dict[str, Any]:
        cfg: dict[str, Any] = {
            "host": host.name,
            "region": host.region,
            "failure_domain": f"{host.region}-1",
            "listen": host.address,
            "seeds": [
                other.public_address or other.address
                for other in self.entry_hosts
                if other is not host
            ][:3],
            "platform": {
                "config_service": self.config_service.url,
                "host_list": self.host_list.url,
                "store": self._store_url(host),
                "store_region": self.shape.regions[0],
            },
            "log": {"path": str(self.folder / f"{host.name}.log")},
        }
        if host.role == "entry":
            cfg |= {
                "callers": {"listen": host.callers, **self.shape.callers},
                "admin": {"listen": host.admin},
            }
            cfg |= self.shape.entry_settings
        else:
            cfg["admin"] = {"listen": ""}
            cfg |= self.shape.agent_settings
        if host.engine is not None:
            cfg["engine"] = {"url": host.engine.url}
        if host.service is not None:
            cfg["service"] = {"url": host.service.url, "name": host.service_name}
        return cfg
