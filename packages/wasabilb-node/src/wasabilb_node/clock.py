"""Clocks of a process; the core receives their values as arguments."""

import time


def now() -> float:
    """Return monotonic time in seconds, including time during which the host was suspended.

    Leases and deadlines continue while a host is suspended; `time.monotonic` stops then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return wall time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
