"""Changes by tickets: rollouts, drains and withdrawn keys; they excuse no failures."""

import time
from typing import TYPE_CHECKING

from wasabilb_core.account_keys import hash_key

from wasabilb_standins.soak._faults import RUNNER, SERVICE, Fault, fault

if TYPE_CHECKING:
    from wasabilb_standins.fleet import LocalHost
    from wasabilb_standins.soak._testbed import Testbed

SALT = bytes(16)


class Change(Fault):
    """Change that operators make."""

    excuses = frozenset()


@fault("rollout")
class Rollout(Change):
    """Ticket with a new version of the model."""

    roles = ()
    weight = 2.0

    async def begin(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Publish the ticket."""
        testbed.publish_rollout()


@fault("drain")
class Drain(Change):
    """Ticket in which a backend server leaves, and one with which it returns."""

    roles = (RUNNER, SERVICE)
    weight = 2.0
    # Longer than the bound of 3 s, so that late work would be detected.
    duration_range_s = (4.0, 6.0)

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Publish the state `leaving`."""
        host.state = "leaving"
        testbed.publish_tables(hosts=[host.to_spec()])
        testbed.record_leaving(host, time.monotonic(), cause="ticket")

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Publish the state `live`."""
        host.state = "live"
        testbed.record_return(host, time.monotonic(), cause="ticket")
        testbed.publish_tables(hosts=[host.to_spec()])


@fault("listed-leaving")
class ListedLeaving(Change):
    """The host list shows a runner as leaving, and then as live again."""

    roles = (RUNNER,)
    # Longer than the bound of 3 s, so that late work would be detected.
    duration_range_s = (4.0, 8.0)

    async def begin(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Show the runner as leaving."""
        testbed.fleet.host_list.set_hosts({host.name: "leaving"})
        testbed.record_leaving(host, time.monotonic(), cause="host list")

    async def end(self, testbed: "Testbed", host: "LocalHost") -> None:
        """Show it as live."""
        testbed.record_return(host, time.monotonic(), cause="host list")
        testbed.fleet.host_list.set_hosts({host.name: "live"})


@fault("withdraw-key")
class WithdrawKey(Change):
    """Withdrawal of an account's key, and its return."""

    roles = ()
    duration_range_s = (4.0, 10.0)

    async def begin(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Remove the account."""
        self._publish_account(testbed, is_valid=False)

    async def end(self, testbed: "Testbed", host: "LocalHost | None") -> None:
        """Declare the account again."""
        self._publish_account(testbed, is_valid=True)

    def _publish_account(self, testbed: "Testbed", *, is_valid: bool) -> None:
        name = testbed.probed_account
        spec = {
            "name": name,
            "key_hash": hash_key(testbed.fleet.account_keys[name], SALT),
            "requests_per_s": 2000.0,
            "burst": 2000.0,
        }
        testbed.publish_tables(accounts=[spec if is_valid else {**spec, "removed": True}])
        testbed.key_changes.append((time.monotonic(), is_valid))
