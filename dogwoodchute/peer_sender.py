"""Sends the queued frames of all links: at once in a region, rate-limited between them.

The links to other regions share one token bucket.
"""

import asyncio
from collections import abc

import prometheus_client

from dogwoodchute import peer_link
from dogwoodchute.coordination import pacing

BURST_BYTES = 65_536  # that may be sent between regions ahead of the rate
SENT = prometheus_client.Counter(
    "dogwoodchute_peer_bytes_sent", "Bytes sent to peers.", ["scope"]
)


class Sender:
    """Sends the frames of one host's links.

    `region` is the host's own; `rate` is that between regions, in bytes a second.
    """

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
        """Cancel the next delayed send."""
        if self._timer is not None:
            self._timer.cancel()

    def send(self, link: peer_link.Link) -> None:
        """Send the queued frames of `link` as far as its buffer and the rate allow."""
        if link.peer.region != self._region:
            self._send_between_regions()
            return
        for priority in pacing.PRIORITIES:
            while link.is_writable and link.outbox.has_waiting(priority):
                SENT.labels("region").inc(link.send_next(priority))

    def _send_between_regions(self) -> None:
        """Send to other regions: heartbeats at once, then calls, then gossip.

        Heartbeats count against the rate but don't wait for it.
        """
        links = [link for link in self._links() if link.peer.region != self._region]
        for priority in pacing.PRIORITIES:
            while ready := _ready_links(links, priority):
                for link in ready:
                    wait = self._bucket.wait(self._now())
                    if wait > 0 and priority != pacing.URGENT:
                        self._schedule(wait)
                        return
                    size = link.send_next(priority)
                    self._bucket.take(size, self._now())
                    SENT.labels("between_regions").inc(size)

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None:
            return

        def resume() -> None:
            self._timer = None
            self._send_between_regions()

        self._timer = asyncio.get_running_loop().call_later(seconds, resume)


def _ready_links(links: list[peer_link.Link], priority: int) -> list[peer_link.Link]:
    return [x for x in links if x.is_writable and x.outbox.has_waiting(priority)]
