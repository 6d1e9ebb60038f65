"""Time sources of the daemon."""

import time


def monotonic() -> float:
    """Return seconds since boot, counting suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the epoch, for records that people read."""
    return time.time()
