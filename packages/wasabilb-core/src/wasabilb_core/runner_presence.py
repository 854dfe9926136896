"""State machine of a runner's presence, driven by its announcements and by published entries.

A leaving runner announces it in its answers, usually before its entry in the platform's list
changes, and continues to answer for seconds. Entries are ordered by revision, and incarnations of
one identifier by their start time. `docs/decisions/forwarding.md` has the transitions.
"""

from collections import deque
from enum import Enum, unique

from attrs import define, field, frozen

# Incarnations of one runner whose announcements are kept. A runner restarts once or twice a day.
MAX_ANNOUNCED = 8


@unique
class PresenceState(Enum):
    """State of a runner.

    `ASSUMED` is a runner whose entry was removed during or shortly after a platform outage.
    """

    SERVING = "serving"
    ASSUMED = "assumed"
    LEAVING_ANNOUNCED = "leaving-announced"
    LEAVING_BY_PUBLICATION = "leaving-by-publication"
    GONE = "gone"

    @property
    def may_receive(self) -> bool:
        """Return whether requests may be sent to the runner."""
        return self in (PresenceState.SERVING, PresenceState.ASSUMED)

    @property
    def is_leaving(self) -> bool:
        """Return whether the runner is about to end."""
        return self in (PresenceState.LEAVING_ANNOUNCED, PresenceState.LEAVING_BY_PUBLICATION)


@frozen(kw_only=True)
class Incarnation:
    """One incarnation of a runner.

    Parameters
    ----------
    born_ms : int
        Wall time of its start, milliseconds.
    address : str
        `IP:PORT`, constant for the lifetime of the process.
    """

    born_ms: int
    address: str


@define(kw_only=True)
class RunnerPresence:
    """State of one runner, over all of its incarnations.

    Parameters
    ----------
    incarnation : Incarnation
        Newest incarnation that was listed.
    revision : int
        Revision of the newest publication.
    state : PresenceState
        State of that incarnation.
    """

    incarnation: Incarnation
    revision: int = 0
    state: PresenceState = PresenceState.GONE
    # Incarnations that announced that they leave. This is irrevocable, see the decision page.
    _announced: deque[Incarnation] = field(factory=lambda: deque(maxlen=MAX_ANNOUNCED))

    def on_listed(self, incarnation: Incarnation, *, is_draining: bool, revision: int) -> bool:
        """Apply an entry of the list; return False if it is outdated."""
        if revision < self.revision or self._is_superseded(incarnation):
            return False
        self.incarnation, self.revision = incarnation, revision
        if incarnation in self._announced:
            self.state = PresenceState.LEAVING_ANNOUNCED
        elif is_draining:
            self.state = PresenceState.LEAVING_BY_PUBLICATION
        else:
            self.state = PresenceState.SERVING
        return True

    def on_removed(self, *, revision: int, is_trusted: bool) -> None:
        """Apply the removal of the entry.

        Parameters
        ----------
        is_trusted : bool
            Whether the removal means that the runner ended, not only that its entry expired.
        """
        if revision < self.revision:
            return
        self.revision = revision
        is_kept = self.state.may_receive and not is_trusted
        self.state = PresenceState.ASSUMED if is_kept else PresenceState.GONE

    def on_entry_expired(self) -> None:
        """Record that an expired entry did not return in time."""
        if self.state is PresenceState.ASSUMED:
            self.state = PresenceState.GONE

    def on_leave_announced(self, incarnation: Incarnation) -> None:
        """Apply the announcement of an incarnation that it leaves."""
        if incarnation not in self._announced:
            self._announced.append(incarnation)
        if incarnation != self.incarnation:
            # The announcement of an earlier incarnation does not apply to its successor.
            return
        if self.state is PresenceState.ASSUMED:
            self.state = PresenceState.GONE
        elif self.state is not PresenceState.GONE:
            self.state = PresenceState.LEAVING_ANNOUNCED

    def _is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether an entry has an earlier incarnation than the leaving one.

        After the removal of the entry any other incarnation is a restart, even on a host whose
        clock was set back.
        """
        is_leave_announced = self.state is PresenceState.LEAVING_ANNOUNCED
        return is_leave_announced and incarnation.born_ms < self.incarnation.born_ms
