"""Directory of existing runners, from the platform's delayed list and from observations."""

from collections.abc import Iterator

from attrs import evolve, frozen

from wasabilb_core.runner_presence import Incarnation, PresenceState, RunnerPresence

# Entries that expired during a platform outage return within about 2 s of its end; the margin
# covers the time that a change takes to reach this process.
EXPIRY_GRACE_S = 2.2
# Number of gone runners that are kept, so that a late entry or answer does not restore one. The
# largest planned fleet has 600 runners, and all of them may be replaced at once.
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
        Identifier; a restarted server may keep it.
    born_ms : int
        Wall time of its start in milliseconds; distinguishes the incarnations of one id.
    service : str
        Service that it serves.
    address : str
        `IP:PORT`.
    failure_domain : str
        Failure domain of its host.
    slots : int
        Requests that it runs concurrently.
    is_draining : bool
        Whether it is leaving.
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
        """Return the incarnation of the server."""
        return Incarnation(born_ms=self.born_ms, address=self.address)


class RunnerDirectory:
    """Track which runners may receive requests.

    An entry that is removed while the platform is unreliable may only have expired. Such a runner
    stays routable until `EXPIRY_GRACE_S` after the platform's return. At any other time the removal
    of an entry ends the runner at once, because a leaving runner must not receive new requests.
    `RunnerPresence` holds the state of each runner.
    """

    def __init__(self) -> None:
        self._runners: dict[str, Runner] = {}
        # Includes gone runners; the most recently gone ones are at the end.
        self._presences: dict[str, RunnerPresence] = {}
        # Listed runners that may receive requests; kept as a set because each request checks all.
        self._routable_ids: set[str] = set()
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
        """Record for how long a peer treats removed entries as expired."""
        self._removals_trusted_at = max(self._removals_trusted_at, now + seconds)

    def removal_distrust_s(self, now: float) -> float:
        """Return the seconds for which removed entries are treated as expired."""
        return (
            EXPIRY_GRACE_S if self._is_platform_down else max(0.0, self._removals_trusted_at - now)
        )

    def on_listed(self, runner: Runner, revision: int = 0) -> bool:
        """Apply an entry of the list; return False if it is outdated."""
        presence = self._presence(runner.id, runner.incarnation)
        is_accepted = presence.on_listed(
            runner.incarnation, is_draining=runner.is_draining, revision=revision
        )
        if is_accepted:
            self._runners[runner.id] = runner
        self._apply_state(runner.id)
        return is_accepted

    def on_removed(self, runner_id: str, now: float, revision: int = 0) -> bool:
        """Apply the removal of an entry; return whether the runner is permanently gone."""
        presence = self._presences.get(runner_id)
        if presence is None:
            return False
        is_trusted = not self._is_platform_down and now >= self._removals_trusted_at
        presence.on_removed(revision=revision, is_trusted=is_trusted)
        return self._apply_state(runner_id)

    def on_leave_announced(self, runner: Runner) -> bool:
        """Apply a runner's announcement that it leaves; return whether it is permanently gone."""
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
        if self._is_platform_down or now < self._removals_trusted_at:
            return []
        expired_ids = [name for name in self._runners if self.state(name) is PresenceState.ASSUMED]
        for name in expired_ids:
            self._presences[name].on_entry_expired()
            self._apply_state(name)
        return expired_ids

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
        """Return the runners of a service that are not leaving."""
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
        """Apply a runner's state; return whether it was listed and is now gone."""
        presence = self._presences[runner_id]
        if presence.state.may_receive:
            self._routable_ids.add(runner_id)
        else:
            self._routable_ids.discard(runner_id)
        if presence.state is not PresenceState.GONE:
            return False
        self._presences[runner_id] = self._presences.pop(runner_id)
        gone = [name for name, p in self._presences.items() if p.state is PresenceState.GONE]
        for name in gone[: max(0, len(gone) - MAX_GONE)]:
            del self._presences[name]
        return self._runners.pop(runner_id, None) is not None
