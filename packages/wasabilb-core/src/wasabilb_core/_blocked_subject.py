"""What is known of a blocked part of prompts or whole request."""

from attrs import define

# Time without requests after which a probe may find out whether a part still crashes runners.
BLOCKED_S = 600.0


@define(kw_only=True)
class Blocked:
    """Knowledge of a blocked part; `turn` is even while a probe may be sent."""

    seen_at: float
    changed_at: float
    crashes: int
    turn: int = 1
    companions: frozenset[int] = frozenset()

    def is_lifted(self, now: float) -> bool:
        """Return whether a probe may be sent."""
        return self.turn % 2 == 0 or now - self.seen_at > BLOCKED_S
