"""The runners that exist, from the platform's lagging list and from what processes observe."""

from collections.abc import Iterator

from attrs import evolve, frozen

from wasabilb_core.runner_presence import Incarnation, PresenceState, RunnerPresence

# Entries that expired while the platform was away are back within about 2 s of its return; the
# margin covers the time that a change takes to reach this process.
LAPSE_GRACE_S = 2.2
# Gone runners that are remembered, so that a late entry or answer does not bring one back. The
# largest planned fleet has 600 runners, and all of them may be replaced at once.
MAX_GONE = 1200


@frozen(kw_only=True)
class HeldWeights:
    """What a model runner holds of its model.

    Parameters
    ----------
    version : int
        Version of the weights; 0 for none.
    layer_from, layer_to : int
        Layers of that version, the last one not included.
    """

    version: int = 0
    layer_from: int = 0
    layer_to: int = 0

    def has_all_layers(self, layers: int) -> bool:
        """Return whether every layer of a model of so many layers is held."""
        return self.version > 0 and self.layer_from == 0 and self.layer_to >= layers


@frozen(kw_only=True)
class Runner(HeldWeights):
    """One backend server in one incarnation, with the weights that it held when it was listed.

    Parameters
    ----------
    id : str
        Identifier; a restarted server may keep it.
    born_ms : int
        Wall time of its start in milliseconds; tells the incarnations of one id apart.
    service : str
        Service that it answers for.
    address : str
        `IP:PORT`.
    failure_domain : str
        Where it stands.
    slots : int
        Requests that it runs at the same time.
    is_draining : bool
        Whether it is leaving.
    cold_s : float
        How long it stays slow after its start, seconds.
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
        """Return which life of the server this is."""
        return Incarnation(born_ms=self.born_ms, address=self.address)


class RunnerDirectory:
    """Which runners may receive requests.

    An entry that is removed while the platform is unreliable may only have expired. Such a runner
    stays routable until `LAPSE_GRACE_S` after the platform's return. At any other time a removed
    entry ends the runner at once, because a leaving runner must not receive new requests.
    `RunnerPresence` decides for each runner.
    """

    def __init__(self) -> None:
        self._runners: dict[str, Runner] = {}
        # Of gone runners, too; the ones that went last are at the end.
        self._presences: dict[str, RunnerPresence] = {}
        # Listed runners that may receive requests; each request looks at all runners.
        self._usable: set[str] = set()
        self._is_platform_down = False
        self._trusted_at = 0.0

    def __iter__(self) -> Iterator[Runner]:
        return iter(self._runners.values())

    def on_platform_lost(self) -> None:
        """Note that the platform's list cannot be read at this time."""
        self._is_platform_down = True

    def on_platform_regained(self, now: float) -> None:
        """Note that the list can be read again."""
        if self._is_platform_down:
            self._is_platform_down = False
            self._trusted_at = now + LAPSE_GRACE_S

    def on_distrust(self, seconds: float, now: float) -> None:
        """Note that a peer takes removed entries for expired ones for so long."""
        self._trusted_at = max(self._trusted_at, now + seconds)

    def distrust_s(self, now: float) -> float:
        """Return for how long removed entries are taken for expired ones, seconds."""
        return LAPSE_GRACE_S if self._is_platform_down else max(0.0, self._trusted_at - now)

    def on_listed(self, runner: Runner, revision: int = 0) -> bool:
        """Take an entry of the list; False for one that is out of date."""
        presence = self._presence(runner.id, runner.incarnation)
        is_taken = presence.on_listed(
            runner.incarnation, is_draining=runner.is_draining, revision=revision
        )
        if is_taken:
            self._runners[runner.id] = runner
        self._apply_state(runner.id)
        return is_taken

    def on_removed(self, runner_id: str, now: float, revision: int = 0) -> bool:
        """Take the removal of an entry and return whether the runner is gone for good."""
        presence = self._presences.get(runner_id)
        if presence is None:
            return False
        is_trusted = not self._is_platform_down and now >= self._trusted_at
        presence.on_removed(revision=revision, is_trusted=is_trusted)
        return self._apply_state(runner_id)

    def on_announced(self, runner: Runner) -> bool:
        """Take a runner's announcement that it leaves; True if it is gone for good."""
        self._presence(runner.id, runner.incarnation).on_announced(runner.incarnation)
        return self._apply_state(runner.id)

    def on_weights(
        self, runner_id: str, born_ms: int, version: int, layer_from: int, layer_to: int
    ) -> None:
        """Take a fresher report of the weights that a runner holds."""
        runner = self._runners.get(runner_id)
        if runner is None or runner.born_ms != born_ms:
            return
        held = (runner.version, runner.layer_from, runner.layer_to)
        if held != (version, layer_from, layer_to):
            self._runners[runner_id] = evolve(
                runner, version=version, layer_from=layer_from, layer_to=layer_to
            )

    def expire(self, now: float) -> list[str]:
        """Remove the runners whose entries did not come back and return their ids."""
        if self._is_platform_down or now < self._trusted_at:
            return []
        lapsed = [name for name in self._runners if self.state(name) is PresenceState.ASSUMED]
        for name in lapsed:
            self._presences[name].on_entry_expired()
            self._apply_state(name)
        return lapsed

    def get(self, runner_id: str) -> Runner | None:
        """Return a runner by its id."""
        return self._runners.get(runner_id)

    def state(self, runner_id: str) -> PresenceState:
        """Return the state of a runner; one that was never listed is gone."""
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
            if runner.service == service and runner.id in self._usable
        ]

    def is_leaving(self, service: str) -> bool:
        """Return whether runners of a service are known and all of them leave."""
        found = [self.state(r.id) for r in self._runners.values() if r.service == service]
        return bool(found) and all(state.is_leaving for state in found)

    def _presence(self, runner_id: str, incarnation: Incarnation) -> RunnerPresence:
        presence = self._presences.get(runner_id)
        if presence is None:
            presence = self._presences[runner_id] = RunnerPresence(incarnation=incarnation)
        return presence

    def _apply_state(self, runner_id: str) -> bool:
        """Follow a runner's state and return whether it was listed and is gone."""
        presence = self._presences[runner_id]
        if presence.state.may_receive:
            self._usable.add(runner_id)
        else:
            self._usable.discard(runner_id)
        if presence.state is not PresenceState.GONE:
            return False
        self._presences[runner_id] = self._presences.pop(runner_id)
        gone = [name for name, p in self._presences.items() if p.state is PresenceState.GONE]
        for name in gone[: max(0, len(gone) - MAX_GONE)]:
            del self._presences[name]
        return self._runners.pop(runner_id, None) is not None
