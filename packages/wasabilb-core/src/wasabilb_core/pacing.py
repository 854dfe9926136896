"""Pacing of transfers on a link shared with live traffic."""


class Pacer:
    """Token bucket whose rate is a link's rate minus the needs of live traffic.

    Live traffic has a reserved share of the link. If it uses more than that share, the transfer
    yields to the observed rate plus a margin, down to a floor that prevents a stall.

    Parameters
    ----------
    link_rate : float
        Rate of the link, bytes/s.
    reserved_share : float
        Share of the link that live traffic may use at any time without waiting.
    now : float
        Current time, seconds.
    burst_s : float
        Burst size, as seconds at the rate.
    """

    # Live traffic may grow by this factor before the next sample is in.
    LIVE_MARGIN = 1.5
    FLOOR_SHARE = 0.05
    # Time constant of the average of live traffic, which follows a burst within a second and
    # ignores a single frame.
    SMOOTHING_S = 1.0

    def __init__(
        self, *, link_rate: float, reserved_share: float, now: float, burst_s: float = 0.1
    ) -> None:
        self._link_rate = link_rate
        self._reserved_rate = reserved_share * link_rate
        self._burst_s = burst_s
        self._live_rate = 0.0
        self._live_at = now
        self._available_bytes = 0.0
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Return the rate that the transfer may use, bytes/s."""
        live = max(self._reserved_rate, self.LIVE_MARGIN * self._live_rate)
        return max(self.FLOOR_SHARE * self._link_rate, self._link_rate - live)

    def on_live_bytes(self, size: int, now: float) -> None:
        """Record bytes of live traffic on the same link."""
        self._decay_live(now)
        self._live_rate += size / self.SMOOTHING_S

    def take(self, size: int, now: float) -> float:
        """Take `size` bytes and return the seconds to wait before they are sent.

        The bucket may go into debt, so a piece larger than the burst is delayed, never refused.
        """
        self._decay_live(now)
        rate = self.rate
        self._available_bytes = min(
            rate * self._burst_s, self._available_bytes + rate * max(0.0, now - self._filled_at)
        )
        self._filled_at = max(self._filled_at, now)
        self._available_bytes -= size
        return max(0.0, -self._available_bytes / rate)

    def _decay_live(self, now: float) -> None:
        elapsed = max(0.0, now - self._live_at)
        self._live_rate /= 1.0 + elapsed / self.SMOOTHING_S
        self._live_at = max(self._live_at, now)
