"""Measures how late the event loop runs its timers.

The figure distinguishes slow work in this process from a slow store.
"""

import asyncio
from collections import abc

import prometheus_client

from dogwoodchute import log

INTERVAL = 0.25  # seconds between measurements
LATE = 0.1  # seconds of lateness from which a warning is logged
BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)  # seconds

lateness = prometheus_client.Histogram(
    "dogwoodchute_loop_late_seconds",
    "Seconds by which the event loop ran a timer late.",
    buckets=BUCKETS,
)


async def watch(*, now: abc.Callable[[], float]) -> None:
    """Sleep repeatedly and report how much longer than asked it took; never returns."""
    while True:
        began = now()
        await asyncio.sleep(INTERVAL)
        late = max(0.0, now() - began - INTERVAL)
        lateness.observe(late)
        if late >= LATE:
            log.warning("loop_late", seconds=f"{late:.3f}")
