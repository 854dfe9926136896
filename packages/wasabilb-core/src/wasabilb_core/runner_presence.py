"""Whether a runner may receive requests, by its own announcements and by what is published.

A runner that leaves says so in its answers, usually before its entry in the platform's list tells
it, and goes on answering for seconds. Entries are ordered by revision, and incarnations of one
identifier by their time of birth. `docs/decisions/forwarding.md` has the transitions.
"""

from collections import deque
from enum import Enum, unique

from attrs import define, field, frozen

# Incarnations of one runner whose word is remembered. A runner is restarted once or twice a day.
MAX_ANNOUNCED = 8


@unique
class PresenceState(Enum):
    """State of a runner.

    `ASSUMED` is a runner whose entry was removed while the platform was unreliable.
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
        """Return whether the runner ends soon."""
        return self in (PresenceState.LEAVING_ANNOUNCED, PresenceState.LEAVING_BY_PUBLICATION)


@frozen(kw_only=True)
class Incarnation:
    """One life of a runner.

    Parameters
    ----------
    born_ms : int
        Wall time of its start, milliseconds.
    address : str
        `IP:PORT`; a process keeps it for its life.
    """

    born_ms: int
    address: str


@define(kw_only=True)
class RunnerPresence:
    """State of one runner, over all of its incarnations.

    Parameters
    ----------
    incarnation : Incarnation
        The newest one that was listed.
    revision : int
        Revision of the newest publication.
    state : PresenceState
        State of that incarnation.
    """

    incarnation: Incarnation
    revision: int = 0
    state: PresenceState = PresenceState.GONE
    # Incarnations that said that they leave. Nothing takes this back, see the decision page.
    _announced: deque[Incarnation] = field(factory=lambda: deque(maxlen=MAX_ANNOUNCED))

    def on_listed(self, incarnation: Incarnation, *, is_draining: bool, revision: int) -> bool:
        """Take an entry of the list; False for one that is out of date."""
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
        """Take the removal of the entry.

        Parameters
        ----------
        is_trusted : bool
            Whether the removal means the runner's end, and not only that its entry expired.
        """
        if revision < self.revision:
            return
        self.revision = revision
        is_kept = self.state.may_receive and not is_trusted
        self.state = PresenceState.ASSUMED if is_kept else PresenceState.GONE

    def on_entry_expired(self) -> None:
        """Note that an expired entry did not come back."""
        if self.state is PresenceState.ASSUMED:
            self.state = PresenceState.GONE

    def on_announced(self, incarnation: Incarnation) -> None:
        """Take the announcement of an incarnation that it leaves."""
        if incarnation not in self._announced:
            self._announced.append(incarnation)
        if incarnation != self.incarnation:
            # An answer of an earlier incarnation says nothing of its successor.
            return
        if self.state is PresenceState.ASSUMED:
            self.state = PresenceState.GONE
        elif self.state is not PresenceState.GONE:
            self.state = PresenceState.LEAVING_ANNOUNCED

    def _is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether an entry names an earlier incarnation than one that is leaving.

        After the removal of the entry any other incarnation is a restart, also on a host whose
        clock was set back.
        """
        is_held = self.state is PresenceState.LEAVING_ANNOUNCED
        return is_held and incarnation.born_ms < self.incarnation.born_ms
