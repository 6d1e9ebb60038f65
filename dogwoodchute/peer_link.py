"""A link, one TCP connection to another host: handshake, calls and a bounded queue.

A link whose handshake is complete, so that both sides are authenticated, is a stream.
Two hosts that dial each other at once may have two for a while.
"""

import asyncio
import typing
from collections import abc

from dogwoodchute import peer_handshake, peer_wire, peers
from dogwoodchute.coordination import pacing

WRITE_BUFFER_BYTES = 65_536  # in the transport's buffer before sending pauses
SESSION_MESSAGES = (
    peer_wire.Call,
    peer_wire.Reply,
    peer_wire.Failure,
    peer_wire.Beat,
    peer_wire.Digest,
    peer_wire.Gossip,
)


class LinkLimits(typing.NamedTuple):
    """Limits of one link, in bytes."""

    frame_bytes: int
    queue_bytes: int


class LinkCallbacks(typing.NamedTuple):
    """Callbacks of a link's owner."""

    opened: abc.Callable[["Link"], None]
    closed: abc.Callable[["Link"], None]
    received: abc.Callable[["Link", peer_wire.Message], None]
    # A frame was queued, or the transport's buffer has room again.
    sendable: abc.Callable[["Link"], None]


class Link(asyncio.Protocol):
    """A connection to another host, from connecting to its loss."""

    def __init__(
        self,
        *,
        handshake: peer_handshake.DiallingSide | peer_handshake.AcceptingSide,
        limits: LinkLimits,
        callbacks: LinkCallbacks,
        now: abc.Callable[[], float],
    ) -> None:
        self.dialled = isinstance(handshake, peer_handshake.DiallingSide)
        self.outbox = pacing.Outbox(max_bytes=limits.queue_bytes)
        # Done once the handshake is complete or the link is closed.
        self.opened_or_closed = asyncio.get_running_loop().create_future()
        self.started_at = now()
        self.received_at = now()  # when bytes last arrived
        self.used_at = now()  # when a call was last sent or received
        # When the transport's buffer became full, None if it has room.
        self.blocked_since: float | None = None
        self.close_reason = ""  # empty until the link is closed
        self.address = ""
        self.queued_bytes = 0  # all bytes ever queued
        self.running_calls = 0  # calls of the other side that are being handled
        self._limits = limits
        self._callbacks = callbacks
        self._now = now
        self._handshake = handshake
        self._decoder = peer_wire.Decoder(max_bytes=peer_wire.HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None
        # Futures of the calls sent, and the tickets of their frames, by call number.
        self._calls: dict[int, tuple[asyncio.Future, int]] = {}
        self._last_number = 0

    @property
    def peer(self) -> peer_wire.Identity | None:
        """The identity of the other end, None before it is authenticated."""
        return self._handshake.peer

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the link has not been closed."""
        return self.peer is not None and not self.close_reason

    @property
    def is_writable(self) -> bool:
        """Whether the link is open and the transport's buffer has room."""
        return self.is_open and self.blocked_since is None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the handshake."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        address = transport.get_extra_info("peername") or ("", 0)
        self.address = f"{address[0]}:{address[1]}"
        for message in self._handshake.start():
            transport.write(peer_wire.encode(message))

    def data_received(self, data: bytes) -> None:
        """Handle the messages that `data` completes."""
        self.received_at = self._now()
        self._decoder.feed(data)
        try:
            while not self.close_reason:
                message = self._decoder.next_message()
                if message is None:
                    return
                self._handle(message)
        except (peer_wire.FrameError, peer_handshake.HandshakeError) as error:
            self.close(str(error))

    def _handle(self, message: peer_wire.Message) -> None:
        if self.peer is None:
            for answer in self._handshake.receive(message):
                self._transport.write(peer_wire.encode(answer))
            if self.peer is not None:
                self._decoder.max_bytes = self._limits.frame_bytes
                self._mark_opened_or_closed()
                self._callbacks.opened(self)
            return
        if not isinstance(message, SESSION_MESSAGES):
            raise peer_wire.FrameError(f"unexpected {type(message).__name__}")
        if isinstance(message, peer_wire.Reply):
            self._finish_call(message.number, peers.Answer(body=message.body))
        elif isinstance(message, peer_wire.Failure):
            outcome_type = peers.NotSent if message.refused else peers.NoAnswer
            outcome = outcome_type(reason=message.reason, peer=self.peer.host)
            self._finish_call(message.number, outcome)
        else:
            self._callbacks.received(self, message)

    def pause_writing(self) -> None:
        """Stop sending frames: the transport's buffer is full."""
        self.blocked_since = self._now()

    def resume_writing(self) -> None:
        """Resume sending: the transport's buffer has room again."""
        self.blocked_since = None
        self._callbacks.sendable(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Finish all calls without an answer."""
        self._finish(str(error) if error else "closed by the other side")

    def close(self, reason: str) -> None:
        """Close at once and finish all calls; frames that wait are not sent."""
        if self._transport is not None:
            self._transport.abort()
        self._finish(reason)

    def _finish(self, reason: str) -> None:
        if self.close_reason:
            return
        self.close_reason = reason
        self._mark_opened_or_closed()
        calls, self._calls = self._calls, {}
        for future, ticket in calls.values():
            if not future.done():
                future.set_result(self._outcome_without_answer(ticket, reason))
        self._callbacks.closed(self)

    def _mark_opened_or_closed(self) -> None:
        if not self.opened_or_closed.done():
            self.opened_or_closed.set_result(None)

    def _outcome_without_answer(self, ticket: int, reason: str) -> peers.CallOutcome:
        """Return the outcome of a call that ended without an answer.

        It is `NotSent` if the call's frame is still in the outbox, which means that it
        never left this process.
        """
        outcome_type = peers.NotSent if self.outbox.discard(ticket) else peers.NoAnswer
        return outcome_type(reason=reason, peer=self.peer.host)

    def _finish_call(self, number: int, outcome: peers.CallOutcome) -> None:
        future, _ = self._calls.get(number, (None, 0))
        if future is not None and not future.done():
            future.set_result(outcome)

    def queue(self, priority: int, message: peer_wire.Message) -> int | None:
        """Queue a message; return its ticket in the outbox, None if it can't be sent.

        Raises `FrameError` for a message that is too large or can't be encoded.
        """
        frame = peer_wire.encode(message)
        if len(frame) - peer_wire.LENGTH.size > self._limits.frame_bytes:
            raise peer_wire.FrameError(f"frame of {len(frame)} bytes")
        if self.close_reason:
            return None
        ticket = self.outbox.push(priority, frame)
        if ticket is not None:
            self.queued_bytes += len(frame)
            self._callbacks.sendable(self)
        return ticket

    def send_next(self, priority: int) -> int:
        """Write the oldest frame of `priority` to the transport; return its size."""
        frame = self.outbox.pop(priority)
        self._transport.write(frame)
        return len(frame)

    async def call(self, kind: str, body: dict, timeout: float) -> peers.CallOutcome:
        """Call the other side and wait up to `timeout` seconds for its answer.

        A body that is too large or can't be encoded ends in `NotSent`.
        """
        host = self.peer.host
        self._last_number += 1
        number = self._last_number
        self.used_at = self._now()
        future = asyncio.get_running_loop().create_future()
        try:
            ticket = self.queue(pacing.REQUEST, peer_wire.Call(number, kind, body))
        except peer_wire.FrameError as error:
            return peers.NotSent(reason=str(error), peer=host)
        if ticket is None:
            reason = self.close_reason or "send queue is full"
            return peers.NotSent(reason=reason, peer=host)
        self._calls[number] = (future, ticket)
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return self._outcome_without_answer(ticket, "timed out")
        finally:
            self._calls.pop(number, None)
            self.outbox.discard(ticket)
