"""The time within which requests may begin on an outdated version of the weights."""

import math
from collections.abc import Callable

from wasabilb_core.runner_directory import Runner
from wasabilb_core.version_steps import VERSION_MARGIN_S
from wasabilb_node.clock import now
from wasabilb_node.published_view import PublishedView

# Age from which a report is no sign that its runner is running now, seconds. Agents of idle runners
# report every 0.7 s, and check every 0.1 or 0.2 s whether to.
RECENT_REPORT_S = 0.9
# Time before a request must begin in which only runners with a recent report receive it, seconds.
# Requests at a stopped runner are sent to another one after this silence.
RECENT_ONLY_S = 2.0


class VersionBound:
    """Decides by when requests must begin at a runner whose version is outdated.

    Parameters
    ----------
    published : PublishedView
        Catalog and versions of weights.
    version_s : float
        Time within which a named version must be in force.
    begin_margin_s : float
        Time before that limit at which requests that have not begun are withdrawn.
    """

    def __init__(
        self, *, published: PublishedView, version_s: float, begin_margin_s: float
    ) -> None:
        self._version_s = version_s
        self._published = published
        # Called when the time of any runner may have become shorter.
        self.on_changed: list[Callable[[], None]] = []
        published.on_weights_named.append(lambda model: self._on_changed())
        self._begin_margin_s = begin_margin_s

    def on_limit(self, version_s: float) -> None:
        """Apply a new limit."""
        self._version_s = version_s
        self._on_changed()

    def begins_in_time(self, runner: Runner, *, wait_s: float, report_age_s: float) -> bool:
        """Return whether a request would begin before its runner's version is outdated.

        Parameters
        ----------
        wait_s : float
            Expected wait at the runner.
        report_age_s : float
            Age of the newest report about it.
        """
        left_s = self._version_s - VERSION_MARGIN_S - self._outdated_s(runner) - wait_s
        is_recent = report_age_s <= RECENT_REPORT_S
        return left_s > (0.0 if is_recent else RECENT_ONLY_S)

    def begin_by(self, runner: Runner) -> float:
        """Return when a request must have begun at a runner, infinite for one that is up to date.

        A request that still waits then is withdrawn, as it would begin on an outdated version. The
        time changes when a version is named, proves to be older than assumed, or is loaded.
        """
        return now() + self._version_s - self._begin_margin_s - self._outdated_s(runner)

    def required_version(self, service: str) -> int | None:
        """Return the version that must answer, from shortly before it is due."""
        engine = self._published.engine(service)
        if engine is None:
            return None
        named_versions = self._published.named_versions(engine.model)
        if named_versions is None:
            return None
        return named_versions.newest_due(now(), self._version_s - VERSION_MARGIN_S)

    def _outdated_s(self, runner: Runner) -> float:
        engine = self._published.engine(runner.service)
        if engine is None:
            return -math.inf
        return self._published.outdated_s(engine.model, self._held_version(runner))

    def _held_version(self, runner: Runner) -> int:
        """Return the newest version that this incarnation of a runner is known to hold."""
        newest = self._published.directory.get(runner.id)
        if newest is None or newest.incarnation != runner.incarnation:
            return runner.version
        return max(runner.version, newest.version)

    def _on_changed(self) -> None:
        for callback in self.on_changed:
            callback()
