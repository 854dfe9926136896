"""Directory of runners, from the platform's delayed list and the runners' leave announcements."""

import math
from collections.abc import Iterator

from attrs import evolve, frozen

from wasabilb_core.runner_presence import Incarnation, PresenceState, RunnerPresence
from wasabilb_core.state_position import START, StatePosition

# List entries that expired during a platform outage return within about 2 s of its end; the rest
# covers the time that a change takes to reach this process.
EXPIRY_GRACE_S = 2.2
# The platform removes an entry after three heartbeat intervals of silence (3.6 s), so a runner
# whose entry lasts longer is alive; the rest covers the time until the removal is known here.
ENTRY_LASTS_S = 5.0
# Number of gone runners that are kept, so that a late list entry or answer of such a runner does
# not restore it. The largest planned fleet has 600 runners, and all may be replaced at once.
MAX_GONE = 1200


@frozen(kw_only=True)
class HeldWeights:
    """Weights that a model runner holds.

    Parameters
    ----------
    version : int
        Version of the weights; 0 for none.
    layer_from, layer_to : int
        Range of layers of that version, end exclusive.
    """

    version: int = 0
    layer_from: int = 0
    layer_to: int = 0

    def has_all_layers(self, layers: int) -> bool:
        """Return whether all layers of a model with this number of layers are held."""
        return self.version > 0 and self.layer_from == 0 and self.layer_to >= layers


@frozen(kw_only=True)
class Runner(HeldWeights):
    """One incarnation of a backend server, with the weights that it held when it was listed.

    Parameters
    ----------
    id : str
        Identifier; a restarted runner may keep it.
    born_ms : int
        Wall time of its start in milliseconds; distinguishes the incarnations of one id.
    service : str
        Service that it serves.
    address : str
        `IP:PORT`.
    failure_domain : str
        Failure domain of its host.
    slots : int
        Maximum number of concurrent requests.
    is_draining : bool
        Whether it is draining, i.e. leaving.
    cold_s : float
        Time for which it is slow after its start, seconds.
    """

    id: str
    born_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int = 1
    is_draining: bool = False
    cold_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the runner."""
        return Incarnation(born_ms=self.born_ms, address=self.address)


class RunnerDirectory:
    """Tracks which runners may receive requests.

    An entry that is removed during or shortly after a platform outage may have expired although
    the runner still runs. Such a runner stays routable until `EXPIRY_GRACE_S` after the end of the
    outage. At any other time the removal of an entry ends the runner at once, because a leaving
    runner must not receive new requests. A gone runner that a copy of the store still lists is used
    when its entry was published again or lasts for `ENTRY_LASTS_S`.
    `RunnerPresence` holds the state of each runner.
    """

    def __init__(self) -> None:
        self._runners: dict[str, Runner] = {}
        # Includes gone runners; the most recently gone ones are at the end.
        self._presences: dict[str, RunnerPresence] = {}
        # Ids of runners that may receive requests, cached because each request scans all runners.
        self._routable_ids: set[str] = set()
        # Those of them whose entry was removed while removals were not trusted.
        self._assumed_ids: set[str] = set()
        # Times since which copied entries of gone runners are listed.
        self._unconfirmed_since: dict[str, float] = {}
        self._is_platform_down = False
        self._removals_trusted_at = 0.0

    def __iter__(self) -> Iterator[Runner]:
        return iter(self._runners.values())

    def on_platform_down(self) -> None:
        """Record that the platform's list cannot be read."""
        self._is_platform_down = True

    def on_platform_up(self, now: float) -> None:
        """Record that the list can be read again."""
        if self._is_platform_down:
            self._is_platform_down = False
            self._removals_trusted_at = now + EXPIRY_GRACE_S

    def on_removal_distrust(self, seconds: float, now: float) -> None:
        """Treat removed entries as expired for at least as many seconds as a peer does."""
        self._removals_trusted_at = max(self._removals_trusted_at, now + seconds)

    def on_removal_trust(self, now: float) -> None:
        """Treat removed entries as gone from now on, unless the platform's list cannot be read."""
        self._removals_trusted_at = min(self._removals_trusted_at, now)

    def removal_distrust_s(self, now: float) -> float:
        """Return the seconds for which removed entries are treated as expired."""
        return (
            EXPIRY_GRACE_S if self._is_platform_down else max(0.0, self._removals_trusted_at - now)
        )

    def on_listed(
        self,
        runner: Runner,
        position: StatePosition = START,
        *,
        is_copied: bool = False,
    ) -> bool:
        """Apply an entry of the list; return False if it is outdated.

        Parameters
        ----------
        is_copied : bool
            Whether the entry may have been written before the copy that the store came back from.
        """
        presence = self._presence(runner.id, runner.incarnation)
        is_accepted = presence.on_listed(
            runner.incarnation,
            is_draining=runner.is_draining,
            position=position,
            is_copied=is_copied,
        )
        if is_accepted:
            self._runners[runner.id] = runner
        self._apply_state(runner.id)
        return is_accepted

    def on_removed(self, runner_id: str, now: float, position: StatePosition = START) -> bool:
        """Apply the removal of an entry; return whether its runner was listed and is now gone."""
        presence = self._presences.get(runner_id)
        if presence is None:
            return False
        is_trusted = not self._is_platform_down and now >= self._removals_trusted_at
        presence.on_removed(position=position, is_trusted=is_trusted)
        return self._apply_state(runner_id)

    def on_unusable(self, runner_id: str, position: StatePosition = START) -> bool:
        """Apply an entry that names no runner; return whether one was listed and is now gone.

        Unlike a missing entry, it has not expired: it was written, also after an outage.
        """
        presence = self._presences.get(runner_id)
        if presence is None:
            return False
        presence.on_removed(position=position, is_trusted=True)
        return self._apply_state(runner_id)

    def on_leave_announced(self, runner: Runner) -> bool:
        """Apply a leave announcement; return whether its runner was listed and is now gone."""
        self._presence(runner.id, runner.incarnation).on_leave_announced(runner.incarnation)
        return self._apply_state(runner.id)

    def on_weights(
        self, runner_id: str, born_ms: int, version: int, layer_from: int, layer_to: int
    ) -> None:
        """Apply a newer report of the weights that a runner holds."""
        runner = self._runners.get(runner_id)
        if runner is None or runner.born_ms != born_ms:
            return
        held = (runner.version, runner.layer_from, runner.layer_to)
        if held != (version, layer_from, layer_to):
            self._runners[runner_id] = evolve(
                runner, version=version, layer_from=layer_from, layer_to=layer_to
            )

    def remove_expired(self, now: float) -> list[str]:
        """Remove the runners whose expired entries did not return, and return their ids."""
        if not self._assumed_ids or self._is_platform_down or now < self._removals_trusted_at:
            return []
        expired_ids = sorted(self._assumed_ids)
        for runner_id in expired_ids:
            self._presences[runner_id].on_entry_expired()
            self._apply_state(runner_id)
        return expired_ids

    def confirm_lasting(self, now: float) -> list[str]:
        """Use the runners whose copied entries last, and return their ids."""
        if self._is_platform_down:
            self._unconfirmed_since = dict.fromkeys(self._unconfirmed_since, math.inf)
            return []
        for runner_id, since in self._unconfirmed_since.items():
            self._unconfirmed_since[runner_id] = min(since, now)
        lasting_ids = [
            runner_id
            for runner_id, since in self._unconfirmed_since.items()
            if now - since >= ENTRY_LASTS_S
        ]
        for runner_id in lasting_ids:
            self._presences[runner_id].on_entry_lasted()
            self._apply_state(runner_id)
        return lasting_ids

    def get(self, runner_id: str) -> Runner | None:
        """Return a runner by its id."""
        return self._runners.get(runner_id)

    def state(self, runner_id: str) -> PresenceState:
        """Return the state of a runner, `GONE` if it was never listed."""
        presence = self._presences.get(runner_id)
        return presence.state if presence is not None else PresenceState.GONE

    def may_receive(self, runner: Runner) -> bool:
        """Return whether a request may be sent to this incarnation of a runner now."""
        presence = self._presences.get(runner.id)
        if presence is None or presence.incarnation != runner.incarnation:
            return False
        return presence.state.may_receive

    def routable(self, service: str) -> list[Runner]:
        """Return the runners of a service that may receive requests."""
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service and runner.id in self._routable_ids
        ]

    def is_service_leaving(self, service: str) -> bool:
        """Return whether a service has known runners and all of them are leaving."""
        found = [self.state(r.id) for r in self._runners.values() if r.service == service]
        return bool(found) and all(state.is_leaving for state in found)

    def _presence(self, runner_id: str, incarnation: Incarnation) -> RunnerPresence:
        presence = self._presences.get(runner_id)
        if presence is None:
            presence = self._presences[runner_id] = RunnerPresence(incarnation=incarnation)
        return presence

    def _apply_state(self, runner_id: str) -> bool:
        """Update the routable set; return whether the runner was listed and is now gone."""
        presence = self._presences[runner_id]
        if presence.state is PresenceState.UNCONFIRMED:
            self._unconfirmed_since[runner_id] = math.inf
        else:
            self._unconfirmed_since.pop(runner_id, None)
        if presence.state.may_receive:
            self._routable_ids.add(runner_id)
        else:
            self._routable_ids.discard(runner_id)
        if presence.state is PresenceState.ASSUMED:
            self._assumed_ids.add(runner_id)
        else:
            self._assumed_ids.discard(runner_id)
        if presence.state is not PresenceState.GONE:
            return False
        self._presences[runner_id] = self._presences.pop(runner_id)
        gone_ids = [key for key, p in self._presences.items() if p.state is PresenceState.GONE]
        for gone_id in gone_ids[: max(0, len(gone_ids) - MAX_GONE)]:
            del self._presences[gone_id]
        return self._runners.pop(runner_id, None) is not None
