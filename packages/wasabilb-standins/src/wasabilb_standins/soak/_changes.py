"""Changes by tickets: rollouts, drains and withdrawn keys. They excuse nothing."""

import time
from typing import TYPE_CHECKING

from wasabilb_core.account_keys import hash_key

from wasabilb_standins.soak._faults import RUNNER, SERVICE, Fault, fault

if TYPE_CHECKING:
    from wasabilb_standins.fleet import LocalHost
    from wasabilb_standins.soak._ground import Ground

SALT = bytes(16)


class Change(Fault):
    """A change that operators make."""

    excuses = frozenset()


@fault("rollout")
class Rollout(Change):
    """A ticket with a new version of the model."""

    roles = ()
    weight = 2.0

    async def begin(self, ground: "Ground", host: "LocalHost | None") -> None:
        """Publish it."""
        ground.roll_out()


@fault("drain")
class Drain(Change):
    """A ticket in which a backend server leaves, and one that takes it back."""

    roles = (RUNNER, SERVICE)
    weight = 2.0
    # Longer than the bound of 3 s, so that late work would be seen.
    lasts_s = (4.0, 6.0)

    async def begin(self, ground: "Ground", host: "LocalHost") -> None:
        """Publish the leaving."""
        host.state = "leaving"
        ground.declare(hosts=[host.to_spec()])
        ground.leave(host, time.monotonic(), by="ticket")

    async def end(self, ground: "Ground", host: "LocalHost") -> None:
        """Publish the return."""
        host.state = "live"
        ground.stay(host, time.monotonic(), by="ticket")
        ground.declare(hosts=[host.to_spec()])


@fault("withdraw-key")
class WithdrawKey(Change):
    """An account's key is withdrawn and given back."""

    roles = ()
    lasts_s = (4.0, 10.0)

    async def begin(self, ground: "Ground", host: "LocalHost | None") -> None:
        """Remove the account."""
        self._declare(ground, is_good=False)

    async def end(self, ground: "Ground", host: "LocalHost | None") -> None:
        """Declare it again."""
        self._declare(ground, is_good=True)

    def _declare(self, ground: "Ground", *, is_good: bool) -> None:
        name = ground.probed_account
        spec = {
            "name": name,
            "key_hash": hash_key(ground.fleet.account_keys[name], SALT),
            "requests_per_s": 2000.0,
            "burst": 2000.0,
        }
        ground.declare(accounts=[spec if is_good else {**spec, "removed": True}])
        ground.key_changes.append((time.monotonic(), is_good))
