"""State machine of a runner's presence, driven by its announcements and by published entries.

A leaving runner announces it in its answers, usually before its entry in the platform's list
changes, and continues to answer for seconds. Entries are ordered by position, and incarnations of
one identifier by their start time. `docs/decisions/forwarding.md` has the transitions.

A store that comes back from a copy lists what was true when the copy was made: runners that have
left since, or an earlier incarnation. Such an entry does not undo what is known of an incarnation;
it is used once the runner has published it again.
"""

from collections import deque
from enum import Enum, unique

from attrs import define, field, frozen

from wasabilb_core.state_position import START, StatePosition

# Incarnations of one runner whose announcements, and ends, are kept. A runner restarts once or
# twice a day.
MAX_ANNOUNCED = 8


@unique
class PresenceState(Enum):
    """State of a runner.

    `ASSUMED` is a runner whose entry was removed during or shortly after a platform outage, and
    `UNCONFIRMED` one that was gone and that a copy of the store still lists.
    """

    SERVING = "serving"
    ASSUMED = "assumed"
    LEAVING_ANNOUNCED = "leaving-announced"
    LEAVING_BY_PUBLICATION = "leaving-by-publication"
    UNCONFIRMED = "unconfirmed"
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
    position : StatePosition
        Position of the newest publication.
    state : PresenceState
        State of that incarnation.
    """

    incarnation: Incarnation
    position: StatePosition = START
    state: PresenceState = PresenceState.GONE
    # Incarnations that announced that they leave. This is irrevocable, see the decision page.
    _announced: deque[Incarnation] = field(factory=lambda: deque(maxlen=MAX_ANNOUNCED))
    # Incarnations that have ended, as far as published entries tell.
    _ended: deque[Incarnation] = field(factory=lambda: deque(maxlen=MAX_ANNOUNCED))

    def on_listed(
        self,
        incarnation: Incarnation,
        *,
        is_draining: bool,
        position: StatePosition,
        is_copied: bool = False,
    ) -> bool:
        """Apply an entry of the list; return False if it is outdated.

        Parameters
        ----------
        is_copied : bool
            Whether the entry may have been written before the copy that the store came back from.
        """
        if position < self.position or self._is_superseded(incarnation):
            return False
        self.position = position
        is_earlier = incarnation.born_ms < self.incarnation.born_ms
        if is_copied and (is_earlier or incarnation in self._ended):
            return self._on_ended_listed(incarnation, is_draining=is_draining)
        was_draining = self.state is PresenceState.LEAVING_BY_PUBLICATION
        is_same = incarnation == self.incarnation
        if not is_same:
            self._on_ended()
        if incarnation in self._ended:
            self._ended.remove(incarnation)
        self.incarnation = incarnation
        if incarnation in self._announced:
            self.state = PresenceState.LEAVING_ANNOUNCED
        elif is_draining or (is_copied and is_same and was_draining):
            self.state = PresenceState.LEAVING_BY_PUBLICATION
        else:
            self.state = PresenceState.SERVING
        return True

    def on_removed(self, *, position: StatePosition, is_trusted: bool) -> None:
        """Apply the removal of the entry.

        Parameters
        ----------
        is_trusted : bool
            Whether the removal means that the runner ended, not only that its entry expired.
        """
        if position < self.position:
            return
        self.position = position
        if self.state.may_receive and not is_trusted:
            self.state = PresenceState.ASSUMED
        else:
            self._on_ended()

    def on_entry_expired(self) -> None:
        """Record that an expired entry did not return in time."""
        if self.state is PresenceState.ASSUMED:
            self._on_ended()

    def on_entry_lasted(self) -> None:
        """Record that a copied entry was not removed although only a live runner keeps one."""
        if self.state is PresenceState.UNCONFIRMED:
            self.state = PresenceState.SERVING

    def on_leave_announced(self, incarnation: Incarnation) -> None:
        """Apply the announcement of an incarnation that it leaves."""
        if incarnation not in self._announced:
            self._announced.append(incarnation)
        if incarnation != self.incarnation:
            # The announcement of an earlier incarnation does not apply to its successor.
            return
        if self.state is PresenceState.ASSUMED:
            self._on_ended()
        elif self.state is not PresenceState.GONE:
            self.state = PresenceState.LEAVING_ANNOUNCED

    def _on_ended(self) -> None:
        """Record that the newest listed incarnation has ended."""
        if self.state is not PresenceState.GONE and self.incarnation not in self._ended:
            self._ended.append(self.incarnation)
        self.state = PresenceState.GONE

    def _on_ended_listed(self, incarnation: Incarnation, *, is_draining: bool) -> bool:
        """Apply the copied entry of an incarnation that has ended."""
        if incarnation != self.incarnation:
            # A later incarnation is missing from the copy, like a new runner.
            if self.state.may_receive:
                self.state = PresenceState.ASSUMED
            return False
        if incarnation in self._announced:
            self.state = PresenceState.LEAVING_ANNOUNCED
        elif is_draining:
            self.state = PresenceState.LEAVING_BY_PUBLICATION
        elif self.state is PresenceState.GONE:
            self.state = PresenceState.UNCONFIRMED
        return True

    def _is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether an entry has an earlier incarnation than the leaving one.

        After the removal of the entry any other incarnation is a restart, even on a host whose
        clock was set back.
        """
        is_leave_announced = self.state is PresenceState.LEAVING_ANNOUNCED
        return is_leave_announced and incarnation.born_ms < self.incarnation.born_ms
