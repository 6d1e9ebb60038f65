"""Passes records of hosts on over the open streams, within a byte bound."""

from collections import abc

import msgpack

from dogwoodchute import log, peer_streams, peer_wire
from dogwoodchute.coordination import membership, pacing

CORES_PER_FRAME = 32
HINTS_PER_FRAME = 16
HINT_BURST = 4_096  # bytes
NEAR_SHARE = 0.75  # of the hint bytes, for hosts of the own region
MAX_HINT_BYTES = 4_096  # one host's hints


class Gossip:
    """What goes to the linked peers; `rate` bounds hints, in bytes a second."""

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
        self._digest_due: set[str] = set()
        self._linked: list[str] = []  # peers that get gossip, in turn
        self._near = pacing.Bucket(rate=rate * NEAR_SHARE, burst=HINT_BURST)
        self._far = pacing.Bucket(rate=rate * (1 - NEAR_SHARE), burst=HINT_BURST)

    def link(self, name: str) -> None:
        """Begin to exchange records with a peer."""
        self._members.connect(name)
        self._digest_due.add(name)
        if name not in self._linked:
            self._linked.append(name)

    def unlink(self, name: str) -> None:
        """End the exchange with a peer that has no stream."""
        self._members.disconnect(name)
        if name in self._linked:
            self._linked.remove(name)

    def say(self, values: dict) -> None:
        """Publish this host's hints, as far as they fit."""
        fitting, left_out = hints_that_fit(values)
        if left_out:
            log.warning("hints_too_large", left_out=",".join(left_out))
        self._members.say(fitting)

    def received(self, name: str, message: peer_wire.Message) -> None:
        """Take a peer's digest or records; raises `FrameError` if they are bad."""
        if isinstance(message, peer_wire.Digest):
            if name not in self._linked:
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
        """Send each neighbour what it lacks, as far as the bounds allow."""
        self._linked = self._linked[1:] + self._linked[:1]
        for peer in self._linked:
            if not self._streams.may_gossip(peer):
                continue
            if peer in self._digest_due:
                self._digest_due.discard(peer)
                digest = peer_wire.Digest(self._members.digest())
                self._streams.gossip(peer, digest)
                continue
            cores = self._members.take_cores(peer, CORES_PER_FRAME)
            if cores:
                self._streams.gossip(peer, peer_wire.Gossip(cores, []))
                continue
            self._send_hints(peer, near=True, buckets=[self._near])
            self._send_hints(peer, near=False, buckets=[self._far, self._near])

    def _send_hints(
        self, peer: str, *, near: bool, buckets: list[pacing.Bucket]
    ) -> None:
        """Send hints that `peer` lacks, counted in the first bucket with room."""
        now = self._now()
        if not self._streams.may_gossip(peer):
            return
        for bucket in buckets:
            if bucket.wait(now) > 0:
                continue
            hints = self._members.take_hints(peer, HINTS_PER_FRAME, near=near)
            if hints:
                message = peer_wire.Gossip([], hints)
                bucket.take(self._streams.gossip(peer, message), now)
            return


def hints_that_fit(values: dict) -> tuple[dict, list[str]]:
    """Return copies of a host's hints, smallest first, and the names of the others.

    Those whose names and values together exceed `MAX_HINT_BYTES` are left out.
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
