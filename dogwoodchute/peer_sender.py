"""Hands queued frames to the links: at once in a region, paced between regions."""

import asyncio
from collections import abc

import prometheus_client

from dogwoodchute import peer_link
from dogwoodchute.coordination import pacing

BURST_BYTES = 65_536  # between regions
SENT = prometheus_client.Counter(
    "dogwoodchute_peer_bytes_sent", "Bytes sent to peers.", ["scope"]
)


class Sender:
    """The pacing of one host's links; `rate` is in bytes a second."""

    def __init__(
        self,
        *,
        region: str,
        rate: float,
        links: abc.Callable[[], list[peer_link.Link]],
        now: abc.Callable[[], float],
    ) -> None:
        self._region = region
        self._bucket = pacing.Bucket(rate=rate, burst=BURST_BYTES)
        self._links = links
        self._now = now
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def send(self, link: peer_link.Link) -> None:
        """Send what waits on `link`, as far as it takes it and pacing allows."""
        if link.peer.region != self._region:
            self._pump()
            return
        for priority in pacing.PRIORITIES:
            while link.writable and link.outbox.waiting(priority):
                SENT.labels("region").inc(link.send(priority))

    def _pump(self) -> None:
        """Send to other regions: heartbeats at once, calls before hints, as paced."""
        far = [link for link in self._links() if link.peer.region != self._region]
        for priority in pacing.PRIORITIES:
            while ready := _ready(far, priority):
                for link in ready:
                    wait = self._bucket.wait(self._now())
                    if wait > 0 and priority != pacing.URGENT:
                        self._pump_after(wait)
                        return
                    size = link.send(priority)
                    self._bucket.take(size, self._now())
                    SENT.labels("between_regions").inc(size)

    def _pump_after(self, seconds: float) -> None:
        if self._timer is not None:
            return

        def again() -> None:
            self._timer = None
            self._pump()

        self._timer = asyncio.get_running_loop().call_later(seconds, again)


def _ready(links: list[peer_link.Link], priority: int) -> list[peer_link.Link]:
    return [x for x in links if x.writable and x.outbox.waiting(priority)]
