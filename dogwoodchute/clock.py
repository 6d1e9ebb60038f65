"""Time sources of the daemon."""

import time


def monotonic() -> float:
    """Return seconds since boot, including time that the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch, for times read by people or other hosts."""
    return time.time()
