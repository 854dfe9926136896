"""Share of an event loop that input which never pauses may use."""

from attrs import define, field

# Longest time that one reader may hold the event loop: an eighteenth of the 36 ms between two
# tokens that callers of all other streams may see.
MAX_TURN_S = 0.002
# Longest time that counts of one turn: during a longer one the process itself stood still.
MAX_COUNTED_S = 0.02


@define(kw_only=True)
class LoopShare:
    """Limits busy readers to half of the event loop, all of them together.

    A reader whose input is always ready would hold the loop for as long as bytes arrive. Each turn
    of such a reader is followed by a pause. The next turns of several readers begin one after the
    other, each two turns apart.

    Attributes
    ----------
    longest_turn_s : float
        Longest turn since the last call of `take_longest`, seconds.
    longest_reader : str
        Reader of that turn.
    """

    longest_turn_s: float = 0.0
    longest_reader: str = ""
    # Time at which the next turn may begin, seconds.
    _free_at: float = field(default=float("-inf"))

    def on_turn(self, used_s: float, reader: str) -> None:
        """Record the length of a turn, seconds, and its reader for the log."""
        if used_s > self.longest_turn_s:
            self.longest_turn_s, self.longest_reader = used_s, reader

    def pause_s(self, used_s: float, *, now: float) -> float:
        """Return how long a reader must pause after a turn, 0 if the turn was short.

        Parameters
        ----------
        used_s : float
            Length of the turn, seconds.
        now : float
            Current time, seconds.
        """
        if used_s < MAX_TURN_S:
            return 0.0
        counted_s = min(used_s, MAX_COUNTED_S)
        resume_at = max(self._free_at, now + counted_s)
        self._free_at = resume_at + 2 * counted_s
        return resume_at - now

    def take_longest(self) -> tuple[float, str]:
        """Return the longest turn since the last call, seconds, and its reader."""
        longest = self.longest_turn_s, self.longest_reader
        self.longest_turn_s, self.longest_reader = 0.0, ""
        return longest
