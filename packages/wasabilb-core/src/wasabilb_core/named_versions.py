"""Named versions of a model's weights, with the time at which each was named.

A version may be named before its predecessor is on every runner, so each has its own time. What
counts for a runner is the oldest of the versions that are newer than its own.
"""

import math


class NamedVersions:
    """The named versions of one model."""

    def __init__(self) -> None:
        self._named_at: dict[int, float] = {}

    def newer_than(self, held: int) -> list[int]:
        """Return the named versions above a held one, in ascending order."""
        return sorted(version for version in self._named_at if version > held)

    def on_named(self, version: int, now: float, *, is_old: bool) -> None:
        """Record a named version.

        Parameters
        ----------
        version : int
            The version.
        now : float
            Current time, seconds.
        is_old : bool
            Whether it may have been named long before, as versions that a process finds at its
            start may have been.
        """
        self._named_at.setdefault(version, -math.inf if is_old else now)

    def age_s(self, version: int, now: float) -> float:
        """Return the assumed age of a version that was named, seconds; infinite if unknown."""
        return now - self._named_at[version]

    def named_for_s(self, held: int, now: float) -> float:
        """Return the time since a version newer than a held one was first named, seconds.

        Returns minus infinity when there is none.
        """
        newer = [at for version, at in self._named_at.items() if version > held]
        return now - min(newer) if newer else -math.inf

    def newest_due(self, now: float, after_s: float) -> int | None:
        """Return the newest version that was named at least `after_s` seconds ago."""
        due_versions = [version for version, at in self._named_at.items() if now - at >= after_s]
        return max(due_versions, default=None)
