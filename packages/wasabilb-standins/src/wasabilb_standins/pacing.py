"""Rate limit in bytes per second that several connections share."""

import time

# Slices of 10 ms keep the rate smooth; smaller ones only cost processor time.
SLICES_PER_S = 100
MIN_SLICE_BYTES = 2048
MAX_SLICE_BYTES = 1 << 16


class Pacer:
    """Pacer that spreads the bytes of all connections evenly over time.

    Parameters
    ----------
    bytes_per_s : float
        Total rate; 0 is unlimited.
    """

    # Limits the burst after a late wake-up to the bytes of this time.
    max_late_s = 0.02

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._free_at = 0.0

    @property
    def slice_bytes(self) -> int:
        """Return the number of bytes to send at once."""
        if not self.bytes_per_s:
            return MAX_SLICE_BYTES
        rate_slice = int(self.bytes_per_s / SLICES_PER_S)
        return min(MAX_SLICE_BYTES, max(MIN_SLICE_BYTES, rate_slice))

    def delay_s(self, size: int) -> float:
        """Reserve the time to send this many bytes and return the seconds until its end."""
        self.sent_bytes += size
        if not self.bytes_per_s:
            return 0.0
        now = time.monotonic()
        self._free_at = max(self._free_at, now - self.max_late_s) + size / self.bytes_per_s
        return max(0.0, self._free_at - now)
