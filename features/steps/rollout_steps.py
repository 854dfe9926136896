"""Steps about rollouts between real agents, with one fault each."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path

from behave import given, then, when
from wasabilb_node.links import Identity, LinkManager
from wasabilb_node.logs import EventLog
from wasabilb_standins.fleet import FleetShape, LocalFleet
from wasabilb_wire.messages import ChunkData, ChunkWant, TransferState

SIZE, CHUNK = 2 << 20, 1 << 15
MEMORY = 3 << 20


def run(context, work):
    """Run work on the scenario's event loop."""
    return context.loop.run_until_complete(work)


def events(context, name):
    """Return the fields of each runner's events of one name."""
    found = {}
    for host in context.fleet.runners:
        path = context.fleet.folder / f"{host.name}.log"
        lines = path.read_text().splitlines() if path.exists() else []
        matching = [line.split() for line in lines if f" event={name} " in line]
        found[host.name] = [dict(field.partition("=")[::2] for field in line) for line in matching]
    return found


def publish(context, version, **changes):
    """Publish the next ticket."""
    context.number += 1
    context.fleet.publish(context.fleet.ticket(context.number, version=version, **changes))


async def until(is_reached, timeout_s=15.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not is_reached():
            await asyncio.sleep(0.02)


def copies_sent(context):
    """Return the number of copies that the store has sent."""
    return sum(context.fleet.store.record()["chunks"].values()) / SIZE


@given("{count:d} runners and a store of 2 MiB versions")
def step_runners(context, count):
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    folder = tempfile.TemporaryDirectory()
    shape = FleetShape(
        entry_hosts=1,
        runners=count,
        services={},
        store={"size": SIZE, "chunk_size": CHUNK, "bytes_per_s": 3e6},
        agent_settings={"weights": {"link_bytes_per_s": 2e6, "memory_bytes": MEMORY}},
    )

    async def make():
        return LocalFleet(shape=shape, folder=Path(folder.name))

    context.fleet = run(context, make())
    context.add_cleanup(context.loop_runner.close)
    context.add_cleanup(folder.cleanup)
    context.add_cleanup(lambda: run(context, context.fleet.stop()))
    run(context, context.fleet.start())
    context.number = 0


@given("the store corrupts each {every:d}th chunk")
def step_store_corrupts(context, every):
    context.fleet.store.set_faults(corrupt_every=every)


@given("runner {number:d} offers all chunks and sends corrupt ones")
def step_corrupt_peer(context, number):
    host = context.fleet.runners[number - 1]
    context.fleet.signal(host, signal.SIGKILL)
    host.process.wait()
    names = {"host": host.name, "role": "backend", "failure_domain": f"{host.region}-1"}
    links = LinkManager(
        identity=Identity(region=host.region, incarnation=1, address=host.address, **names),
        log=EventLog(process="0", incarnation="1", **names),
        heartbeat_s=1.0,
    )
    answered_states = set()

    def on_state(peer, state):
        if state.manifest and (peer.host, state.manifest) not in answered_states:
            answered_states.add((peer.host, state.manifest))
            held = b"\xff" * len(state.held)
            peer.send(TransferState(variant=state.variant, manifest=state.manifest, held=held))

    def on_want(peer, want):
        names = {"manifest": want.manifest, "index": want.index}
        peer.send(ChunkData(**names, offset=0, is_last=True, payload=bytes(CHUNK)))

    async def listen():
        links.set_handler(TransferState, on_state)
        links.set_handler(ChunkWant, on_want)
        links.listen()

    async def close():
        links.close()
        await asyncio.sleep(0.1)

    run(context, listen())
    context.add_cleanup(lambda: run(context, close()))


@when('version "{version}" is rolled out')
def step_rollout(context, version):
    publish(context, version)


@when('version "{version}" is rolled out and an agent is killed and restarted in the middle')
def step_restart(context, version):
    publish(context, version)
    host = context.restarted = context.fleet.runners[1]
    run(context, until(lambda: copies_sent(context) >= 0.5))
    context.fleet.signal(host, signal.SIGKILL)
    host.process.wait()
    (context.fleet.folder / f"{host.name}.log").unlink(missing_ok=True)
    context.fleet.start_process(host)


@when('version "{version}" is rolled out and "{newer}" replaces it in the middle')
def step_replace(context, version, newer):
    publish(context, version)
    run(context, until(lambda: copies_sent(context) >= 0.5))
    publish(context, newer)


@when('version "{version}" is rolled out to runner 1 alone')
def step_rollout_alone(context, version):
    model = {"name": "draft", "version": version, "runners": ["runner-1"]}
    publish(context, version, models=[model])
    run(context, until(lambda: events(context, "version_ready")["runner-1"]))


@when('the store goes down and "{version}" is rolled out to all')
def step_store_down(context, version):
    context.fleet.store.set_faults(down="503")
    publish(context, version)


@when('version "{version}" is rolled out with a pinned digest that does not match')
def step_pinned(context, version):
    names = [host.name for host in context.fleet.runners]
    model = {"name": "draft", "version": version, "runners": names, "manifest_digest": "0" * 64}
    publish(context, version, models=[model])
    run(context, until(lambda: all(events(context, "transfer_refused").values())))


@when('version "{version}" exceeds the memory of the agents')
def step_too_large(context, version):
    settings = context.fleet.store.settings
    context.fleet.store.settings = type(settings)(size=MEMORY + 1, chunk_size=CHUNK)
    publish(context, version)
    refused = lambda: events(context, "transfer_refused").values()  # noqa: E731
    run(context, until(lambda: all(len(lines) > 1 for lines in refused())))
    # A retry would follow within this time.
    run(context, asyncio.sleep(1.5))


@then('all runners serve "{version}" after at most {copies:d} copies')
def step_all_serve(context, version, copies):
    run(context, context.fleet.wait_version(version, timeout_s=20.0))
    assert copies_sent(context) <= copies, f"{copies_sent(context)} copies"


@then('the other runners serve the whole "{version}" after at most {copies:d} copies')
def step_others_serve(context, version, copies):
    context.fleet.runners[1].state = "gone"
    step_all_serve(context, version, copies)


@then("the restarted agent has chunks from peers")
def step_from_peers(context):
    lines = events(context, "chunk_received")[context.restarted.name]
    assert {line["source"] for line in lines} - {"store"}, lines


@then('only chunks from "{source}" were refused')
def step_refused_from(context, source):
    lines = [line for lines in events(context, "chunk_refused").values() for line in lines]
    assert {line["source"] for line in lines} == {source}, json.dumps(lines)


@then('each transfer of "{version}" was stopped and none was completed')
def step_stopped(context, version):
    for host, lines in events(context, "transfer_started").items():
        started = [line for line in lines if line["version"] == version]
        stopped = [e for e in events(context, "transfer_stopped")[host] if e["version"] == version]
        done = [e for e in events(context, "transfer_done")[host] if e["version"] == version]
        assert len(started) == len(stopped) and not done, (host, started, stopped, done)


@then('each agent has refused "{version}" and "{newer}" once and fetched no chunk')
def step_refused_once(context, version, newer):
    for host, lines in events(context, "transfer_refused").items():
        assert [line["version"] for line in lines] == [version, newer], (host, lines)
    assert copies_sent(context) == 0
