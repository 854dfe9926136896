"""Faults of the stand-ins: configuration service, store, engines and services."""

import time
from typing import TYPE_CHECKING, Any, ClassVar

from wasabilb_standins.restorable import Restore, play_restore
from wasabilb_standins.soak._faults import CALLS, HOST_LISTS, RUNNER, SERVICE, TICKETS, Fault, fault

if TYPE_CHECKING:
    from wasabilb_standins.fleet import LocalHost
    from wasabilb_standins.soak._testbed import Testbed


# Age of the copy at the beginning of the absence, and the time in which all is published again.
COPY_AGE_S = 5.0
REWRITE_S = 2.0


class StandinFault(Fault):
    """Fault settings of a stand-in for a time.

    Parameters
    ----------
    component : str
        `config_service` or `store` of the fleet, `engine` or `service` of a host.
    on, off : dict
        Fault settings during the fault and after it.
    """

    component: ClassVar[str] = ""
    on: ClassVar[dict[str, Any]] = {}
    off: ClassVar[dict[str, Any]] = {}
    roles: ClassVar[tuple[str, ...]] = ()
    weight = 0.5

    async def begin(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Set the fault."""
        getattr(host or testbed.fleet, self.component).set_faults(**self.on)

    async def end(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Clear it."""
        getattr(host or testbed.fleet, self.component).set_faults(**self.off)


class ConfigFault(StandinFault):
    """Fault of the configuration service, which delays tickets but not answers."""

    component = "config_service"
    excuses = frozenset({TICKETS})
    # A reader retries this long after a failed read.
    after_s = 2.0


@fault("config-down")
class ConfigDown(ConfigFault):
    """The configuration service answers 503."""

    on, off = {"down": "503"}, {"down": ""}


@fault("config-stale")
class ConfigStale(ConfigFault):
    """The configuration service does not show the last ticket."""

    on, off = {"stale_tickets": 1}, {"stale_tickets": 0}


@fault("config-slow")
class ConfigSlow(ConfigFault):
    """Each read of the configuration service is delayed by a second."""

    on, off = {"delay_s": 1.0}, {"delay_s": 0.0}


@fault("config-restored")
class ConfigRestored(ConfigFault):
    """The configuration service is away, and comes back from a copy.

    The operator publishes what is lost again within `REWRITE_S`, which is part of the fault.
    """

    on, off = {"down": "drop"}, {"down": ""}
    weight = 1.0
    duration_range_s = (0.5, 3.0)

    async def begin(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Take the service away."""
        self._copied_at = time.monotonic() - COPY_AGE_S
        await super().begin(testbed, host)

    async def end(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Bring the copy back and publish what it lacks."""
        service = testbed.fleet.config_service
        lost = service.restore(self._copied_at)
        await super().end(testbed, host)
        restore = Restore(rewrite_s=REWRITE_S, seed=service.era)
        await testbed.republish(lost, restore.rewrite_delays_s(len(lost)))


@fault("host-list-restored")
class HostListRestored(StandinFault):
    """The host list is away, and comes back from a copy; hosts register again within a time."""

    component = "host_list"
    on, off = {"down": "drop"}, {"down": ""}
    excuses = frozenset({HOST_LISTS})
    duration_range_s = (0.5, 3.0)
    # The list is read once a second.
    after_s = 2.0

    async def begin(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Take the list away."""
        self._copied_at = time.monotonic() - COPY_AGE_S
        await super().begin(testbed, host)

    async def end(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Bring the copy back; each host registers again."""
        hosts = testbed.fleet.host_list
        await play_restore(
            hosts,
            Restore(rewrite_s=REWRITE_S, seed=hosts.era),
            restore_copy=lambda: hosts.restore(self._copied_at),
            write=lambda lost: hosts.set_hosts(dict([lost])),
        )


class StoreFault(StandinFault):
    """Fault of the store, which only prolongs a rollout."""

    component = "store"
    excuses = frozenset()


@fault("store-down")
class StoreDown(StoreFault):
    """The store closes each connection."""

    on, off = {"down": "drop"}, {"down": ""}


@fault("store-stalled")
class StoreStalled(StoreFault):
    """The store sends nothing, including the rest of open answers."""

    on, off = {"stall": True}, {"stall": False}


@fault("store-corrupt")
class StoreCorrupt(StoreFault):
    """Every third chunk has a wrong bit."""

    on, off = {"corrupt_every": 3}, {"corrupt_every": 0}


@fault("engine-slow")
class EngineSlow(StandinFault):
    """An engine is slower by a factor of six."""

    roles = (RUNNER,)
    component = "engine"
    excuses = frozenset({CALLS})
    on, off = {"slow": 6.0}, {"slow": 1.0}


@fault("engine-dies")
class EngineDies(EngineSlow):
    """An engine closes one answer's connection after some tokens."""

    on, off = {"die_after_tokens": 20, "die_answers": 1}, {"die_after_tokens": None}


@fault("service-drops")
class ServiceDrops(StandinFault):
    """A service executes and closes the connection without an answer."""

    roles = (SERVICE,)
    component = "service"
    excuses = frozenset({CALLS})
    on, off = {"drop": "after"}, {"drop": ""}
