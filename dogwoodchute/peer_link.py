"""One open TCP connection to another host: handshake, calls and bounded sending."""

import asyncio
import typing
from collections import abc

from dogwoodchute import peer_handshake, peer_wire, peers
from dogwoodchute.coordination import pacing

WRITE_BUFFER_BYTES = 65_536  # handed to the kernel's side before sending pauses
SESSION_MESSAGES = (
    peer_wire.Call,
    peer_wire.Reply,
    peer_wire.Failure,
    peer_wire.Beat,
    peer_wire.Digest,
    peer_wire.Gossip,
)


class LinkLimits(typing.NamedTuple):
    """Bounds of one link, in bytes."""

    frame_bytes: int
    queue_bytes: int


class LinkCallbacks(typing.NamedTuple):
    """What a link tells its owner."""

    opened: abc.Callable[["Link"], None]
    closed: abc.Callable[["Link"], None]
    received: abc.Callable[["Link", peer_wire.Message], None]
    sendable: abc.Callable[["Link"], None]  # frames wait, or there is room again


class Link(asyncio.Protocol):
    """A connection, from its first byte to its loss."""

    def __init__(
        self,
        *,
        handshake: peer_handshake.DiallingSide | peer_handshake.AcceptingSide,
        bounds: LinkLimits,
        events: LinkCallbacks,
        now: abc.Callable[[], float],
    ) -> None:
        self.dialled = isinstance(handshake, peer_handshake.DiallingSide)
        self.outbox = pacing.Outbox(max_bytes=bounds.queue_bytes)
        self.settled = asyncio.get_running_loop().create_future()  # open or lost
        self.began = now()
        self.heard = now()  # when bytes last came
        self.used = now()  # when a call last began or came
        self.blocked_since: float | None = None  # the kernel takes nothing more
        self.reason = ""  # why the link was closed
        self.address = ""
        self.queued = 0  # bytes ever queued
        self.running = 0  # calls of the other side that are being handled
        self._bounds = bounds
        self._events = events
        self._now = now
        self._handshake = handshake
        self._decoder = peer_wire.Decoder(max_bytes=peer_wire.HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None
        self._calls: dict[int, tuple[asyncio.Future, int]] = {}
        self._numbers = 0

    @property
    def peer(self) -> peer_wire.Identity | None:
        """Who is at the other end, None before it is proven."""
        return self._handshake.peer

    @property
    def open(self) -> bool:
        """Whether both ends are proven and the link has not been closed."""
        return self.peer is not None and not self.reason

    @property
    def writable(self) -> bool:
        """Whether the link is open and takes bytes."""
        return self.open and self.blocked_since is None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin the handshake."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        address = transport.get_extra_info("peername") or ("", 0)
        self.address = f"{address[0]}:{address[1]}"
        for message in self._handshake.start():
            transport.write(peer_wire.encode(message))

    def data_received(self, data: bytes) -> None:
        """Take the messages that `data` completes."""
        self.heard = self._now()
        self._decoder.feed(data)
        try:
            while not self.reason:
                message = self._decoder.next()
                if message is None:
                    return
                self._take(message)
        except (peer_wire.FrameError, peer_handshake.HandshakeError) as error:
            self.close(str(error))

    def _take(self, message: peer_wire.Message) -> None:
        if self.peer is None:
            for answer in self._handshake.receive(message):
                self._transport.write(peer_wire.encode(answer))
            if self.peer is not None:
                self._decoder.max_bytes = self._bounds.frame_bytes
                self._settle()
                self._events.opened(self)
            return
        if not isinstance(message, SESSION_MESSAGES):
            raise peer_wire.FrameError(f"unexpected {type(message).__name__}")
        if isinstance(message, peer_wire.Reply):
            self._finish(message.number, peers.Answer(body=message.body))
        elif isinstance(message, peer_wire.Failure):
            kind = peers.NotSent if message.refused else peers.NoAnswer
            outcome = kind(reason=message.reason, peer=self.peer.host)
            self._finish(message.number, outcome)
        else:
            self._events.received(self, message)

    def pause_writing(self) -> None:
        """Hold frames back: the kernel's buffer is full."""
        self.blocked_since = self._now()

    def resume_writing(self) -> None:
        """Send on."""
        self.blocked_since = None
        self._events.sendable(self)

    def connection_lost(self, error: Exception | None) -> None:
        """End all calls."""
        self._end(str(error) if error else "closed by the other side")

    def close(self, reason: str) -> None:
        """Close at once, with all calls; nothing that waits is sent."""
        if self._transport is not None:
            self._transport.abort()
        self._end(reason)

    def _end(self, reason: str) -> None:
        if self.reason:
            return
        self.reason = reason
        self._settle()
        calls, self._calls = self._calls, {}
        for future, ticket in calls.values():
            if not future.done():
                future.set_result(self._lost(ticket, reason))
        self._events.closed(self)

    def _settle(self) -> None:
        if not self.settled.done():
            self.settled.set_result(None)

    def _lost(self, ticket: int, reason: str) -> peers.CallOutcome:
        """Return the outcome of a call that ended without an answer.

        A frame that is still in the outbox never left this process.
        """
        kind = peers.NotSent if self.outbox.discard(ticket) else peers.NoAnswer
        return kind(reason=reason, peer=self.peer.host)

    def _finish(self, number: int, outcome: peers.CallOutcome) -> None:
        future, _ = self._calls.get(number, (None, 0))
        if future is not None and not future.done():
            future.set_result(outcome)

    def push(self, priority: int, message: peer_wire.Message) -> int | None:
        """Queue a message; return its ticket, None if it can't be sent.

        Raises `FrameError` for a message that is too large or not encodable.
        """
        frame = peer_wire.encode(message)
        if len(frame) - peer_wire.LENGTH.size > self._bounds.frame_bytes:
            raise peer_wire.FrameError(f"frame of {len(frame)} bytes")
        if self.reason:
            return None
        ticket = self.outbox.push(priority, frame)
        if ticket is not None:
            self.queued += len(frame)
            self._events.sendable(self)
        return ticket

    def send(self, priority: int) -> int:
        """Hand the oldest frame of `priority` to the kernel; return its size."""
        frame = self.outbox.pop(priority)
        self._transport.write(frame)
        return len(frame)

    async def call(self, kind: str, body: dict, timeout: float) -> peers.CallOutcome:
        """Call the other side and wait up to `timeout` seconds for its answer."""
        host = self.peer.host
        self._numbers += 1
        number = self._numbers
        self.used = self._now()
        future = asyncio.get_running_loop().create_future()
        try:
            ticket = self.push(pacing.REQUEST, peer_wire.Call(number, kind, body))
        except peer_wire.FrameError as error:
            return peers.NotSent(reason=str(error), peer=host)
        if ticket is None:
            reason = self.reason or "send queue is full"
            return peers.NotSent(reason=reason, peer=host)
        self._calls[number] = (future, ticket)
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return self._lost(ticket, "timed out")
        finally:
            self._calls.pop(number, None)
            self.outbox.discard(ticket)
