"""Agents' transfers over real links in one process, with named versions and one store."""

import asyncio
import logging
import random
import socket
from collections import Counter

from returns.result import Success
from wasabilb_agent._load_inputs import LoadInputs
from wasabilb_agent._participants import ListedParticipants
from wasabilb_agent._store_client import StoreClient
from wasabilb_agent._transfer_limits import TRANSFER_LIMITS
from wasabilb_agent._version_loader import VersionLoader
from wasabilb_agent._weight_source import TrackedSource
from wasabilb_agent.weight_transfers import WeightTransfers
from wasabilb_core.catalog import EngineSpec
from wasabilb_core.origin_uptime import OriginUptime
from wasabilb_core.settings import AgentSettings, PlatformSettings, PolicySettings, WeightSettings
from wasabilb_core.tickets import HostSpec, Variant
from wasabilb_node.clock import now
from wasabilb_node.links import Identity, LinkManager
from wasabilb_node.logs import EventLog
from wasabilb_node.metrics import Metrics
from wasabilb_standins.store import Store

CHUNKS, CHUNK_BYTES = 48, 48 << 10
SIZE = CHUNKS * CHUNK_BYTES
LINK_COPY_S, ORIGIN_COPY_S, VERSION_BOUND_S = 4.0, 1.26, 8.0
UPDATE_INTERVAL_S = 0.1
LOOP_CHECK_INTERVAL_S = 0.005


def free_port():
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class RecordingStore(Store):
    """A store that records when it begins to send chunks."""

    def __init__(self, **options):
        super().__init__(**options)
        self.chunk_times = []

    def is_next_corrupt(self):
        """Record the beginning of a chunk."""
        self.chunk_times.append(now())
        return super().is_next_corrupt()


class RecordingStoreClient(StoreClient):
    """A store client that records its requests and the chunks it received."""

    def __init__(self, *, url, request_times, received_chunks):
        super().__init__(url=url)
        self._request_times, self._received_chunks = request_times, received_chunks

    async def manifest(self, variant):
        """Record a manifest request."""
        self._request_times.append(now())
        return await super().manifest(variant)

    async def chunk(self, manifest, index):
        """Record a chunk request and its chunk."""
        self._request_times.append(now())
        found = await super().chunk(manifest, index)
        if isinstance(found, Success):
            self._received_chunks.append((now(), manifest.version, index))
        return found


class SeedingFleet:
    """Hosts that fetch the named versions; a name reaches all of them at once."""

    def __init__(self, *, hosts, regions):
        self.stopped_hosts = set()
        self.store = RecordingStore(
            size=SIZE, chunk_size=CHUNK_BYTES, bytes_per_s=SIZE / ORIGIN_COPY_S
        )
        self.named_at, self.request_times, self.received_chunks = {}, [], []
        self.specs = [
            HostSpec(
                name=f"h{n}",
                role="backend",
                address=f"127.0.0.1:{free_port()}",
                region=f"r{n % regions}",
                failure_domain=f"r{n % regions}d",
            )
            for n in range(hosts)
        ]
        self.links, self.transfers, self.version_loaders, self.tasks = {}, {}, {}, []
        self.loop_delays = []

    async def start(self):
        """Start the store and the hosts."""
        logging.getLogger("wasabilb").setLevel(logging.ERROR)
        await self.store.start()
        for version in (1, 2):
            # The stand-in generates the content at its first request, unlike a real store.
            self.store.manifest(self.variant(version))
        for spec in self.specs:
            if spec.name not in self.stopped_hosts:
                self.start_host(spec)
        self.tasks = [
            asyncio.ensure_future(work()) for work in (self.update_hosts, self.measure_loop_delay)
        ]

    def start_host(self, spec):
        """Start one host."""
        names = {"host": spec.name, "role": "agent", "failure_domain": spec.failure_domain}
        log = EventLog(process="0", incarnation="1", **names)
        identity = Identity(region=spec.region, incarnation=1, address=spec.address, **names)
        links = self.links[spec.name] = LinkManager(identity=identity, log=log, heartbeat_s=1.0)
        links.listen()
        origin = OriginUptime()
        inputs = LoadInputs(
            fleet=self,
            published=self,
            origin=origin,
            link_bytes_per_s=SIZE / LINK_COPY_S,
            version_s=VERSION_BOUND_S,
        )
        loader = self.version_loaders[spec.name] = VersionLoader(
            fleet=self,
            published=self,
            runner=None,
            staging=self,
            inputs=inputs,
            version_s=VERSION_BOUND_S,
            log=log,
        )
        client = RecordingStoreClient(
            url=self.store.url,
            request_times=self.request_times,
            received_chunks=self.received_chunks,
        )
        self.transfers[spec.name] = WeightTransfers(
            cfg=AgentSettings(
                host=spec.name,
                region=spec.region,
                failure_domain=spec.failure_domain,
                listen=spec.address,
                platform=PlatformSettings(config_service=self.store.url),
                policy=PolicySettings(chunks="near_first"),
                weights=WeightSettings(link_bytes_per_s=SIZE / LINK_COPY_S, live_share=0.0),
            ),
            participants=ListedParticipants(
                own_host=spec, listed_hosts=lambda: self.specs, links=links
            ),
            links=links,
            store=TrackedSource(source=client, uptime=origin),
            deliver=loader.deliver,
            log=log,
            metrics=Metrics(address="", role="agent", host=spec.name, log=log),
            rng=random.Random(spec.name),
            limits=lambda manifest: TRANSFER_LIMITS,
            max_retry_s=1.0,
        )

    async def update_hosts(self):
        """Update the transfers and links of each host repeatedly."""
        while True:
            self.select_transfers()
            for name in self.links:
                self.links[name].set_targets(self.transfers[name].link_targets())
                self.links[name].tick()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    async def measure_loop_delay(self):
        """Measure the delay of the event loop, which all hosts and the store share."""
        while True:
            due = now() + LOOP_CHECK_INTERVAL_S
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
            self.loop_delays.append((now(), now() - due))

    def loop_delay_s(self, start, end):
        """Return the total delay of the event loop between two times, in seconds."""
        return sum(delay for at, delay in self.loop_delays if start <= at - delay and at <= end)

    def select_transfers(self):
        """Let each host select its transfers."""
        for name, loader in self.version_loaders.items():
            if self.named_at:
                loader.select_transfers(self.transfers[name])

    async def stop(self):
        """Stop the hosts and the store."""
        for task in self.tasks:
            task.cancel()
        for name in self.links:
            self.transfers[name].close()
            self.links[name].close()
        await self.store.stop()
        await asyncio.sleep(0.1)

    def name_version(self, version):
        """Name a version to all hosts at once."""
        self.named_at[version] = now()
        self.select_transfers()

    def held_chunks(self, host, version):
        """Return the bitmap of the chunks that a host holds, None before it has the manifest."""
        assembly = self.transfers[host].assembly(self.variant(version))
        return None if assembly is None else assembly.planner.have

    def sent_chunk_counts(self, version):
        """Return how often the store has sent each chunk of a version completely."""
        return Counter(index for _, found, index in self.received_chunks if found == str(version))

    # Interface of the fleet, published state and staging for the code under test.
    model, service = "m", "s"
    revision = 1
    origin_bytes_per_s = SIZE / ORIGIN_COPY_S

    def engine(self, service):
        """Return the specification of the service's engines."""
        return EngineSpec(
            model=self.model, slots=16, step_s=0.01, chunks=CHUNKS, chunk_bytes=CHUNK_BYTES
        )

    def variant(self, version):
        """Return a version of the model."""
        return Variant(model=self.model, adapter="", version=str(version))

    def versions_above(self, held):
        """Return the named versions above one."""
        return [version for version in sorted(self.named_at) if version > held]

    def outdated_s(self, model, version):
        """Return how long ago a newer version was named, in seconds."""
        newer = [at for known, at in self.named_at.items() if known > version]
        return now() - min(newer) if newer else float("-inf")

    async def deliver(self, assembly):
        """Accept a whole version."""
        return Success(None)


async def wait_until(is_reached, timeout_s, describe=lambda: None):
    """Wait until a condition holds; on a timeout, fail with the described state."""
    try:
        async with asyncio.timeout(timeout_s):
            while not is_reached():
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"not reached in {timeout_s} s: {describe()}") from None


def all_chunks():
    """Return the bitmap of all chunks."""
    return (1 << CHUNKS) - 1
