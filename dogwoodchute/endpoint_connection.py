"""Connections to endpoints that bound what an endpoint may send."""

import asyncio
import http
import os
import socket
import struct
from collections import abc

import aiohttp
from aiohttp import streams

from dogwoodchute import pooled_connection

HEAD_END = b"\r\n\r\n"
MAX_HEAD = 64 * 1024  # bytes of an answer's head and the interim answers before it
MAX_INTERIM = 20  # interim (1xx) answers to one request; each costs a parser call
# Bytes of framing for each byte of a body. Chunks of one byte need 5.
MAX_FRAMING = 8
# Seconds for an endpoint to take the rest of a request whose answer it has ended.
TAKE_TIMEOUT = 2.0
TAKE_POLL = 0.005  # seconds between checks whether it has
# Value of SO_LINGER with which a close discards what the kernel has not sent.
DISCARD_UNSENT = struct.pack("ii", 1, 0)

# How an answer tells where its body ends.
LENGTH = "length"
CHUNKS = "chunks"
NO_FRAMING = "none"  # the end of the connection ends it
HEAD_METHOD = "HEAD"  # its answers have no body
NO_BODY = frozenset({http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED})
# How a connection ended.
CLOSED = "closed"  # by the endpoint
RESET = "reset"  # by an error, or aborted for what the endpoint sent
DROPPED = "dropped"  # closed by this host

# Returns whether a connection is not used again after an answer, by the answer's
# status, headers and raw headers.
ClosesAfter = abc.Callable[[int, abc.Mapping[str, str], list], bool]


class EndpointConnection(pooled_connection.PooledConnection):
    """A connection to an endpoint that bounds what the endpoint may send.

    It is not used again after bytes beyond the end of an answer, nor after an answer of
    which a second copy could be taken for the next answer.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        closes_after: ClosesAfter,
        doubts: pooled_connection.Doubts | None = None,
    ) -> None:
        super().__init__(loop, doubts=doubts or pooled_connection.Doubts())
        self._closes_after = closes_after
        self.was_reset = False  # ended by an error, or aborted
        self.idle_until: float | None = None  # loop time
        self.end: str | None = None  # how the connection ended, None while it is open
        self._is_closed_by_peer = False
        self._interim_count = 0  # interim answers since the request was sent
        self._has_head = False  # the head of the final answer was received
        self._body_left: int | None = None  # bytes of the body to come, None if unknown
        self._ends_body = False  # the body ends with the connection

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        if not super().is_connected() or self.should_close:
            return False
        return self.idle_until is None or self._loop.time() < self.idle_until

    def set_response_params(self, **params: object) -> None:
        """Prepare for the answer to a new request."""
        self._interim_count = 0
        self._body_left = None
        self._has_head = False
        self._ends_body = False
        self._payload = None
        super().set_response_params(**params)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Handle the head of an answer, which the parser passes on."""
        message, payload = data
        self._has_head = not _is_interim(message.code)
        if not self._has_head:
            self._interim_count += 1
            super().feed_data(data, size)
            return
        if self._closes_after(message.code, message.headers, message.raw_headers):
            self.force_close()
        length = message.headers.get("Content-Length", "")
        if payload is streams.EMPTY_PAYLOAD:
            self._body_left = 0
        elif length.isdecimal() and not message.chunked:
            self._body_left = int(length)
        else:
            self._ends_body = not message.chunked
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they can't be an answer.

        The parser bounds lines and headers, and the reader bounds the body. Neither
        bounds interim answers, empty lines, and the size and extensions of a chunk, so
        an endpoint could send these without end.
        """
        if not data:
            # The parser continues with what it buffered while the reader was full.
            super().data_received(data)
            return
        self._use.received += len(data)
        data = self._parse_head(data)
        if self._body_left is not None:
            self._parse_body(data)
            return
        if data:
            super().data_received(data)
        self._check_excess(len(data))

    def _parse_head(self, data: bytes) -> bytes:
        """Parse up to the end of the final answer's head; return the bytes after it."""
        start = 0
        while not self._has_head and self.is_open:
            end = data.find(HEAD_END, start)
            if end < 0 or start > MAX_HEAD:
                break
            end += len(HEAD_END)
            super().data_received(data[start:end])
            start = end
            if self._interim_count > MAX_INTERIM:
                self.abort("too many interim answers")
                return b""
        return data[start:]

    def _parse_body(self, data: bytes) -> None:
        """Parse the bytes of the body; close the connection if more follow."""
        body = data[: self._body_left]
        self._body_left -= len(body)
        has_excess = len(data) > len(body)
        if has_excess:
            self.force_close()
        if body:
            super().data_received(body)
        if has_excess and self.transport is not None and self._payload.is_eof():
            self.transport.abort()

    def _check_excess(self, unparsed: int) -> None:
        """Close the connection if too many bytes besides the body were received.

        The last `unparsed` bytes are allowed, as they may not be in the body yet.
        """
        body = self._payload.total_bytes if self._payload is not None else 0
        if self._use.received - body <= MAX_HEAD + unparsed + MAX_FRAMING * body:
            return
        self.abort("too many bytes that are no answer")

    def close(self) -> None:
        """Close the connection; discard what was not sent of a request under way.

        In an ordinary close the kernel goes on to send it for as long as the endpoint
        needs to take it, and a request without a caller reaches the endpoint late. One
        that the endpoint has is closed in the ordinary way, as a reset may get lost.
        """
        transport = self.transport
        if not self._is_under_way or not self._record_unsent():
            super().close()
            return
        connected = transport.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT)
        super().close()
        transport.abort()

    @property
    def _is_under_way(self) -> bool:
        """Whether a request was sent whose answer did not arrive to its end."""
        if not self.is_open or not self._has_carried:
            return False
        return not self._has_head or not self._payload.is_eof()

    def abort(self, reason: str) -> None:
        """Abort the connection and fail the answer that is being read."""
        if self.transport is None or self.was_reset:
            return
        self.was_reset = True
        error = aiohttp.ClientPayloadError(reason)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self.transport.abort()

    def eof_received(self) -> bool:
        """Record that the endpoint has closed the connection.

        Returns whether the connection is kept open. The kernel of an endpoint that has
        closed it altogether resets it once more of the request arrives, so the end
        counts only when the request was taken.
        """
        self._is_closed_by_peer = True
        super().eof_received()
        if not self._ends_body or not self._record_unsent():
            return False
        self._close_when_taken(self._loop.time() + TAKE_TIMEOUT)
        return True

    def _close_when_taken(self, deadline: float) -> None:
        """Close once the request was taken; abort on a reset or at `deadline`."""
        if not self.is_open:
            return
        connected = self.transport.get_extra_info("socket")
        error = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.abort(os.strerror(error))
        elif not self._record_unsent():
            self.transport.close()
        elif self._loop.time() >= deadline:
            self.abort("the request was not taken")
        else:
            self._loop.call_later(TAKE_POLL, self._close_when_taken, deadline)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended, which a body without a length depends on."""
        self.was_reset = self.was_reset or exc is not None
        if self.was_reset:
            self.end = RESET
        else:
            self.end = CLOSED if self._is_closed_by_peer else DROPPED
        super().connection_lost(exc)


def _is_interim(status: int) -> bool:
    """Return whether another answer follows one with this status, as for aiohttp."""
    return (
        http.HTTPStatus.CONTINUE <= status < http.HTTPStatus.OK
        and status != http.HTTPStatus.SWITCHING_PROTOCOLS
    )


def connector(
    *,
    closes_after: ClosesAfter,
    doubts: pooled_connection.Doubts | None = None,
    **options: object,
) -> aiohttp.TCPConnector:
    """Return a connector of such connections, without a limit to their number."""
    return pooled_connection.connector(
        doubts=doubts or pooled_connection.Doubts(),
        factory=EndpointConnection,
        factory_options={"closes_after": closes_after},
        **options,
    )


def framing(response: aiohttp.ClientResponse) -> str:
    """Return how an answer tells where its body ends: one of the words above."""
    codings = ",".join(response.headers.getall("Transfer-Encoding", ()))
    if codings.rpartition(",")[2].strip().lower() == "chunked":
        return CHUNKS
    has_body = response.method != HEAD_METHOD and response.status not in NO_BODY
    if response.content_length is not None or not has_body:
        return LENGTH
    return NO_FRAMING
