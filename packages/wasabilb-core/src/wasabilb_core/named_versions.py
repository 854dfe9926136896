"""Named versions of a model's weights, with the time after which each was named.

A version may be named before its predecessor is on every runner, so each has its own time. What
counts for a runner is the oldest of the versions that are newer than its own, also one whose
publication this process has missed because the next one has replaced it.

No process knows when a version was named. Each counts from the latest time at which it is proven
that the version had not been named, so that it never takes a version for younger than it is.
"""

import math

from attrs import frozen

from wasabilb_core.state_position import StatePosition


@frozen(kw_only=True)
class Naming:
    """The publication that named a version.

    Parameters
    ----------
    position : StatePosition
        Where it stands in the history of published state.
    after : float
        Latest known time before it, seconds; minus infinity when it may be of any age.
    """

    position: StatePosition
    after: float = -math.inf

    def joined(self, other: "Naming") -> "Naming":
        """Return what both tell of the naming of one version, in whatever order they are heard.

        A version that is published again, as after a restore of the store, was named by the first
        publication.
        """
        if self.position != other.position:
            return min(self, other, key=lambda naming: naming.position)
        return max(self, other, key=lambda naming: naming.after)


class NamedVersions:
    """The named versions of one model."""

    def __init__(self) -> None:
        self._versions: set[int] = set()
        # Includes versions that are known from what was told alone.
        self._namings: dict[int, Naming] = {}

    def newer_than(self, held: int) -> list[int]:
        """Return the named versions above a held one, in ascending order."""
        return sorted(version for version in self._versions if version > held)

    def on_named(self, version: int, naming: Naming) -> None:
        """Record a version whose publication has arrived."""
        self._versions.add(version)
        self.on_told(version, naming)

    def on_told(self, version: int, naming: Naming) -> None:
        """Record what is known elsewhere of the naming of a version."""
        known = self._namings.get(version)
        self._namings[version] = naming if known is None else known.joined(naming)

    def namings(self) -> dict[int, Naming]:
        """Return the namings of all versions, also of those whose publication has not arrived."""
        return dict(self._namings)

    def naming(self, version: int) -> Naming:
        """Return the naming of a named version."""
        return self._namings[version]

    def named_for_s(self, held: int, now: float) -> float:
        """Return for how many seconds at most a version newer than a held one has been named.

        Returns minus infinity when there is none.
        """
        newer = [naming.after for version, naming in self._namings.items() if version > held]
        return now - min(newer) if newer else -math.inf

    def newest_due(self, now: float, after_s: float) -> int | None:
        """Return the newest version that may have been named at least `after_s` seconds ago."""
        due_versions = [v for v, naming in self._namings.items() if now - naming.after >= after_s]
        return max(due_versions, default=None)
