"""The order of published state over the eras of the store that it is read from."""

from attrs import frozen

# Revisions within one era stay below this number.
REVISIONS_PER_ERA = 1 << 32


@frozen(kw_only=True, order=True)
class StatePosition:
    """A point in the history of published state.

    A store that comes back from a copy begins a later era: its revisions continue from that of the
    copy, so that some of them are given out again.

    Parameters
    ----------
    era : int
        Era of the store; 0 where it names none.
    revision : int
        Revision within the era.
    """

    era: int = 0
    revision: int = 0

    @property
    def is_start(self) -> bool:
        """Return whether nothing is known up to this position."""
        return self.revision == 0

    @property
    def fence(self) -> int:
        """Return a number that rises with the position, also over eras."""
        return self.era * REVISIONS_PER_ERA + self.revision


START = StatePosition()
