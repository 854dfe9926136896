"""The runners that exist, from the platform's lagging list and from what processes observe."""

from collections.abc import Iterator

from attrs import define, evolve, frozen

# Entries that expired while the platform was away are back within about 2 s of its return; the
# margin covers the time that a change takes to reach this process.
LAPSE_GRACE_S = 2.2


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

    def holds_all(self, layers: int) -> bool:
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


@define(kw_only=True)
class _Entry:
    """A listed runner and, when its entry expired, since when it is only assumed to live."""

    runner: Runner
    is_lapsed: bool = False


class RunnerDirectory:
    """Which runners may receive requests.

    An entry that is removed while the platform is unreliable may only have expired. Such a runner
    stays routable until `LAPSE_GRACE_S` after the platform's return. At any other time a removed
    entry ends the runner at once, because a leaving runner must not receive new requests.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._is_away = False
        self._trusted_at = 0.0

    def __iter__(self) -> Iterator[Runner]:
        return (entry.runner for entry in self._entries.values())

    def on_platform_lost(self) -> None:
        """Note that the platform's list cannot be read at this time."""
        self._is_away = True

    def on_platform_regained(self, now: float) -> None:
        """Note that the list can be read again."""
        if self._is_away:
            self._is_away = False
            self._trusted_at = now + LAPSE_GRACE_S

    def on_distrust(self, seconds: float, now: float) -> None:
        """Note that a peer takes removed entries for expired ones for so long."""
        self._trusted_at = max(self._trusted_at, now + seconds)

    def distrust_s(self, now: float) -> float:
        """Return for how long removed entries are taken for expired ones, seconds."""
        return LAPSE_GRACE_S if self._is_away else max(0.0, self._trusted_at - now)

    def on_listed(self, runner: Runner) -> None:
        """Take an entry of the list."""
        self._entries[runner.id] = _Entry(runner=runner)

    def on_removed(self, runner_id: str, now: float) -> bool:
        """Take the removal of an entry and return whether the runner is gone for good."""
        entry = self._entries.get(runner_id)
        if entry is None:
            return False
        if (self._is_away or now < self._trusted_at) and not entry.runner.is_draining:
            entry.is_lapsed = True
            return False
        del self._entries[runner_id]
        return True

    def on_weights(
        self, runner_id: str, born_ms: int, version: int, layer_from: int, layer_to: int
    ) -> None:
        """Take a fresher report of the weights that a runner holds."""
        entry = self._entries.get(runner_id)
        if entry is None or entry.runner.born_ms != born_ms:
            return
        held = (entry.runner.version, entry.runner.layer_from, entry.runner.layer_to)
        if held != (version, layer_from, layer_to):
            entry.runner = evolve(
                entry.runner, version=version, layer_from=layer_from, layer_to=layer_to
            )

    def expire(self, now: float) -> list[str]:
        """Remove the runners whose entries did not come back and return their ids."""
        if self._is_away or now < self._trusted_at:
            return []
        late = [name for name, entry in self._entries.items() if entry.is_lapsed]
        for name in late:
            del self._entries[name]
        return late

    def get(self, runner_id: str) -> Runner | None:
        """Return a runner by its id."""
        entry = self._entries.get(runner_id)
        return entry.runner if entry is not None else None

    def routable(self, service: str) -> list[Runner]:
        """Return the runners of a service that are not leaving."""
        return [
            entry.runner
            for entry in self._entries.values()
            if entry.runner.service == service and not entry.runner.is_draining
        ]
