"""Sends records of hosts to peers over the open streams, within a byte rate.

A host's record has a core, which is always sent, and hints, which are sent as far as
the rate allows.
"""

from collections import abc

import msgpack

from dogwoodchute import log, peer_streams, peer_wire
from dogwoodchute.coordination import membership, pacing

CORES_PER_FRAME = 32
HINTS_PER_FRAME = 16
HINT_BURST = 4_096  # bytes
NEAR_SHARE = 0.75  # of the hint bytes, for hosts of this host's region
MAX_HINT_BYTES = 4_096  # of one host's hints


class Gossip:
    """Sends digests, cores and hints to linked peers.

    `rate` bounds the hints, in bytes a second.
    """

    def __init__(
        self,
        *,
        members: membership.Members,
        streams: peer_streams.Streams,
        rate: float,
        now: abc.Callable[[], float],
    ) -> None:
        self._members = members
        self._streams = streams
        self._now = now
        self._peers_due_digest: set[str] = set()
        self._linked_peers: list[str] = []  # in round-robin order
        self._near_bucket = pacing.Bucket(rate=rate * NEAR_SHARE, burst=HINT_BURST)
        self._far_bucket = pacing.Bucket(rate=rate * (1 - NEAR_SHARE), burst=HINT_BURST)

    def link(self, name: str) -> None:
        """Start to exchange records with a peer; a digest is sent first."""
        self._members.connect(name)
        self._peers_due_digest.add(name)
        if name not in self._linked_peers:
            self._linked_peers.append(name)

    def unlink(self, name: str) -> None:
        """Stop the exchange with a peer that has no open stream."""
        self._members.disconnect(name)
        if name in self._linked_peers:
            self._linked_peers.remove(name)

    def publish_hints(self, values: dict) -> None:
        """Publish this host's hints, the smallest first, up to `MAX_HINT_BYTES`."""
        fitting, left_out = hints_that_fit(values)
        if left_out:
            log.warning("hints_too_large", left_out=",".join(left_out))
        self._members.publish_hints(fitting)

    def handle_message(self, name: str, message: peer_wire.Message) -> None:
        """Handle a peer's digest or records; raises `FrameError` if they are bad."""
        if isinstance(message, peer_wire.Digest):
            if name not in self._linked_peers:
                self.link(name)
            self._members.compare(name, message.states)
            return
        try:
            cores = [membership.core_from_plain(fields) for fields in message.cores]
            hints = [membership.hints_from_plain(fields) for fields in message.hints]
        except (TypeError, ValueError) as error:
            raise peer_wire.FrameError(f"bad gossip: {error}") from error
        self._members.receive(name, cores, hints)

    def flush(self) -> None:
        """Send each linked peer what it lacks, as far as the bounds allow."""
        self._linked_peers = self._linked_peers[1:] + self._linked_peers[:1]
        for peer in self._linked_peers:
            if not self._streams.is_ready_for_gossip(peer):
                continue
            if peer in self._peers_due_digest:
                self._peers_due_digest.discard(peer)
                digest = peer_wire.Digest(self._members.digest())
                self._streams.queue_gossip(peer, digest)
                continue
            cores = self._members.pop_cores(peer, CORES_PER_FRAME)
            if cores:
                self._streams.queue_gossip(peer, peer_wire.Gossip(cores, []))
                continue
            self._send_hints(peer, near=True, buckets=[self._near_bucket])
            self._send_hints(
                peer, near=False, buckets=[self._far_bucket, self._near_bucket]
            )

    def _send_hints(
        self, peer: str, *, near: bool, buckets: list[pacing.Bucket]
    ) -> None:
        """Send hints that `peer` lacks, charged to the first bucket that allows it."""
        now = self._now()
        if not self._streams.is_ready_for_gossip(peer):
            return
        for bucket in buckets:
            if bucket.wait(now) > 0:
                continue
            hints = self._members.pop_hints(peer, HINTS_PER_FRAME, near=near)
            if hints:
                message = peer_wire.Gossip([], hints)
                bucket.take(self._streams.queue_gossip(peer, message), now)
            return


def hints_that_fit(values: dict) -> tuple[dict, list[str]]:
    """Return copies of a host's hints, smallest first, and the names of the others.

    Hints are left out once names and values together exceed `MAX_HINT_BYTES`.
    """
    packed = {name: msgpack.packb({name: value}) for name, value in values.items()}
    fitting = {}
    left_out = []
    size = 0
    for name in sorted(packed, key=lambda name: (len(packed[name]), name)):
        size += len(packed[name])
        if size > MAX_HINT_BYTES:
            left_out.append(name)
            continue
        fitting.update(msgpack.unpackb(packed[name], strict_map_key=False))
    return fitting, left_out
