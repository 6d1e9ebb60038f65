"""Tells how late the event loop is, so that slow work isn't taken for a slow store."""

import asyncio
from collections import abc

import prometheus_client

from dogwoodchute import log

INTERVAL = 0.25  # seconds between looks
LATE = 0.1  # seconds of lateness from which a line is logged
BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)  # seconds

lateness = prometheus_client.Histogram(
    "dogwoodchute_loop_late_seconds",
    "Seconds by which the event loop ran a timer late.",
    buckets=BUCKETS,
)


async def watch(*, now: abc.Callable[[], float]) -> None:
    """Sleep again and again, and report how much longer it took, until cancelled."""
    while True:
        began = now()
        await asyncio.sleep(INTERVAL)
        late = max(0.0, now() - began - INTERVAL)
        lateness.observe(late)
        if late >= LATE:
            log.warning("loop_late", seconds=f"{late:.3f}")
