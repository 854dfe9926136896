"""Local fleet for trying commands: `python -m wasabilb_standins.local --folder DIR`.

It starts stand-ins for the platform, 3 entry processes and 9 agents on loopback addresses,
publishes ticket 1, prints all addresses and runs until SIGINT or SIGTERM. The addresses are written
to `DIR/fleet.env` for a shell, and ticket 1 to `DIR/ticket-1.toml` as a base for further ones.
"""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import fire

from wasabilb_standins.fleet import FleetShape, LocalFleet

VERSION = "v1"
# With these, a transfer takes some seconds, long enough to observe.
MODEL_BYTES, STORE_BYTES_PER_S = 4 << 20, 2.0e6
BACKENDS = (
    *(f"runner-{number}" for number in range(1, 6)),
    *(f"bookings-{number}" for number in range(1, 4)),
    "portal-1",
)
EXIT_FAILED, EXIT_USAGE = 1, 2


def new_fleet(folder: Path) -> LocalFleet:
    """Return a fleet with a relay before each backend server, for link faults."""
    shape = FleetShape(
        engine={"models": f"draft@{VERSION}"},
        service={"work_s": 0.01},
        store={"size": MODEL_BYTES, "bytes_per_s": STORE_BYTES_PER_S, "seed": 1},
        relayed=BACKENDS,
    )
    return LocalFleet(shape=shape, folder=folder)


def to_env(fleet: LocalFleet) -> str:
    """Return the addresses as shell assignments, one per line."""
    platform = {
        "config": fleet.config_service,
        "hosts": fleet.host_list,
        "store": fleet.store,
        "link": fleet.link,
    }
    names = {f"{name}_url": standin.url for name, standin in platform.items()}
    names["account_key"] = next(iter(fleet.account_keys.values()))
    names["folder"] = str(fleet.folder)
    for host in fleet.hosts.values():
        name = host.name.replace("-", "_")
        if host.role == "entry":
            names |= {f"{name}_callers": host.callers, f"{name}_admin": host.admin}
        names[f"{name}_pid"] = str(host.process.pid) if host.process else ""
        host_standin = host.engine or host.service
        if host_standin is not None:
            names[f"{name}_platform_url"] = host_standin.url
    return "".join(f"{name}={value}\n" for name, value in names.items())


async def run(folder: Path) -> None:
    """Run a fleet until the task is cancelled; all processes have then ended."""
    fleet = new_fleet(folder)
    try:
        await fleet.start()
        ticket = fleet.ticket(1, version=VERSION)
        (folder / "ticket-1.toml").write_text(ticket, encoding="utf-8")
        fleet.publish(ticket)
        await fleet.wait_in_force(1)
        await fleet.wait_version(VERSION)
        await fleet.wait_services()
        env = to_env(fleet)
        (folder / "fleet.env").write_text(env, encoding="utf-8")
        print(env + f"ready: ticket 1 is in force; . {folder}/fleet.env", flush=True)
        await asyncio.Event().wait()
    finally:
        await fleet.stop()


async def _run_until_signal(folder: Path) -> None:
    task = asyncio.ensure_future(run(folder))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main(folder: str = "out/fleet") -> None:
    """Run the fleet.

    Parameters
    ----------
    folder : str
        Directory for settings and logs; those of an earlier fleet are replaced.
    """
    target = Path(str(folder))
    try:
        target.mkdir(parents=True, exist_ok=True)
        for name in ("*.toml", "*.log", "*.err", "fleet.env"):
            for old in target.glob(name):
                old.unlink()
        asyncio.run(_run_until_signal(target))
    except TimeoutError as exc:
        print(f"local: the fleet did not start: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except OSError as exc:
        print(f"local: --folder: {target}: {exc.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    fire.Fire(main)
