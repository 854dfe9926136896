"""Smoothed response latency and the timeout derived from it."""

# RFC 6298, section 2: gains of 1/8 and 1/4 and four deviations.
_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4.0
MIN_TIMEOUT_S = 0.5
MAX_TIMEOUT_S = 600.0


class LatencyEstimator:
    """Estimates the mean and deviation of the time from a request to its answer.

    Parameters
    ----------
    first_timeout_s : float
        Timeout before the first sample, seconds.
    """

    def __init__(self, *, first_timeout_s: float) -> None:
        self._first_timeout_s = first_timeout_s
        self._backoff = 1.0
        self._deviation_s = 0.0
        self.mean_s: float | None = None

    def observe(self, sample_s: float) -> None:
        """Add a sample and reset the backoff."""
        self._backoff = 1.0
        if self.mean_s is None:
            self.mean_s, self._deviation_s = sample_s, sample_s / 2
            return
        error = sample_s - self.mean_s
        self._deviation_s += _DEVIATION_GAIN * (abs(error) - self._deviation_s)
        self.mean_s += _GAIN * error

    def back_off(self) -> None:
        """Double the timeout after a missing answer (RFC 6298, rule 5.5)."""
        self._backoff = min(self._backoff * 2, 1024.0)

    @property
    def timeout_s(self) -> float:
        """Return the seconds after which an answer is considered lost."""
        base = self._first_timeout_s
        if self.mean_s is not None:
            base = max(MIN_TIMEOUT_S, 2 * self.mean_s + _DEVIATIONS * self._deviation_s)
        return min(MAX_TIMEOUT_S, base * self._backoff)
