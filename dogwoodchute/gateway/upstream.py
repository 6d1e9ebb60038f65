"""Connections to endpoints, and single requests over them."""

import asyncio
import contextlib
import contextvars
import dataclasses
import functools
import http
import typing
from collections import abc

import aiohttp
import yarl
from aiohttp import client_proto, streams

from dogwoodchute import send_once
from dogwoodchute.gateway import calls, model

CONNECT_TIMEOUT = 0.7  # seconds; a new connection takes some 20 ms at the most
IDLE_TIMEOUT = 4.0  # seconds for which an unused connection is kept
CLOSE_BOUND = 0.1  # seconds to write what is left of requests, at a stop
IDLE_MARGIN = 0.5  # seconds before the endpoint's own idle timeout
MAX_ANSWER = 16 * 1024 * 1024  # bytes of an answer that is read before it is sent on
HEAD_END = b"\r\n\r\n"
MAX_HEAD = 64 * 1024  # bytes of an answer's head, with interim answers before it
MAX_INTERIM = 20  # answers before the one that counts; each costs a parser's turn
MAX_FRAMING = 8  # bytes of framing for each byte of a body; 5 for chunks of one byte
MAX_REASON = 120  # characters of an error's text, which may quote the endpoint


class Head(typing.NamedTuple):
    """The head of an endpoint's answer, decoded."""

    status: int
    attempt_id: str | None  # of the request that the endpoint answers
    signed: bool
    not_run: bool  # the endpoint says that it did not run the request
    retry_after: float | None  # seconds
    idle_timeout: float | None  # seconds that the endpoint keeps the connection
    headers: list[tuple[str, str]]  # for the caller


class Wire(typing.NamedTuple):
    """How requests and answers are written on the wire."""

    request_headers: abc.Callable[
        [calls.Call, model.Endpoint, float, str | None], list[tuple[str, str]]
    ]  # arguments: call, endpoint, seconds left, id of the last event delivered
    head: abc.Callable[[int, abc.Mapping[str, str], list], Head]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request reached the endpoint."""

    reason: str
    peer: str
    step: str = "connect"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run, and no whole answer came."""

    reason: str
    peer: str
    step: str = "answer"
    silent: bool = False  # not a byte of an answer came


class _Exchange:
    """What came on a connection since one request was sent."""

    def __init__(self) -> None:
        self.received = 0  # bytes


# The library chooses a request's connection, so the connection looks for the request.
_sending: contextvars.ContextVar[_Exchange] = contextvars.ContextVar("sending")


class Channel(client_proto.ResponseHandler):
    """A connection that is not used again after bytes that nobody asked for.

    Nor is it after a refusal, since a copy of it could pass for the next answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, wire: Wire) -> None:
        super().__init__(loop)
        self._wire = wire
        self.reset = False  # ended otherwise than by the endpoint's closing it
        self.idle_until: float | None = None  # loop time
        self._exchange = _Exchange()
        self._interim = 0  # answers since then before the one that counts
        self._head_came = False
        self._length: int | None = None  # bytes of the body to come, if it is told

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        if not super().is_connected() or self.should_close:
            return False
        return self.idle_until is None or self._loop.time() < self.idle_until

    def set_response_params(self, **known: object) -> None:
        """Begin to wait for an answer."""
        self._exchange = _sending.get(_Exchange())
        self._interim = 0
        self._length = None
        self._head_came = False
        self._payload = None
        super().set_response_params(**known)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Take in the head of an answer."""
        message, payload = data
        self._head_came = message.code >= http.HTTPStatus.OK
        if not self._head_came:
            self._interim += 1
            super().feed_data(data, size)
            return
        if message.code >= http.HTTPStatus.BAD_REQUEST:
            head = self._wire.head(message.code, message.headers, message.raw_headers)
            if head.not_run:
                self.force_close()
        length = message.headers.get("Content-Length", "")
        if payload is streams.EMPTY_PAYLOAD:
            self._length = 0
        elif length.isdecimal() and not message.chunked:
            self._length = int(length)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and close once they can't be an answer any more.

        The parser bounds lines and headers, and the reader bounds the body. Between
        them are bytes without end that are neither: interim answers, empty lines, the
        size and the extensions of a chunk.
        """
        if not data:
            # The parser goes on with what it kept while its reader was full.
            super().data_received(data)
            return
        self._exchange.received += len(data)
        data = self._take_heads(data)
        if self._length is not None:
            self._take_body(data)
            return
        if data:
            super().data_received(data)
        self._bound(len(data))

    def _take_heads(self, data: bytes) -> bytes:
        """Parse up to the end of the answer's head; return what follows it."""
        start = 0
        while not self._head_came and super().is_connected():
            end = data.find(HEAD_END, start)
            if end < 0 or start > MAX_HEAD:
                break
            end += len(HEAD_END)
            super().data_received(data[start:end])
            start = end
            if self._interim > MAX_INTERIM:
                self._give_up("too many interim answers")
                return b""
        return data[start:]

    def _take_body(self, data: bytes) -> None:
        """Pass on what belongs to the answer; more bytes belong to nothing."""
        whole = data[: self._length]
        self._length -= len(whole)
        over = len(data) > len(whole)
        if over:
            self.force_close()
        if whole:
            super().data_received(whole)
        if over and self.transport is not None and self._payload.is_eof():
            self.transport.abort()

    def _bound(self, fresh: int) -> None:
        body = self._payload.total_bytes if self._payload is not None else 0
        if self._exchange.received - body <= MAX_HEAD + fresh + MAX_FRAMING * body:
            return
        self._give_up("too many bytes that are no answer")

    def _give_up(self, reason: str) -> None:
        """Break off an answer that has no end, once."""
        if self.transport is None or self.reset:
            return
        self.reset = True
        error = aiohttp.ClientPayloadError(reason)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended; a body without length needs to know."""
        self.reset = self.reset or exc is not None
        super().connection_lost(exc)


class Answer:
    """An answer whose head has come; `close` it unless it was read to its end."""

    def __init__(
        self, *, response: aiohttp.ClientResponse, head: Head, channel: Channel | None
    ) -> None:
        self.head = head
        self._response = response
        self._channel = channel
        self._framed = (
            response.content_length is not None
            or response.headers.get("Transfer-Encoding", "").lower() == "chunked"
            or response.status in (204, 304)
        )

    async def read(self, peer: str) -> bytes | Lost:
        """Return the whole body."""
        parts = []
        size = 0
        while True:
            data = await self.next(peer)
            if isinstance(data, Lost):
                return data
            if not data:
                return b"".join(parts)
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER:
                return Lost(reason=f"the answer exceeds {MAX_ANSWER} bytes", peer=peer)

    async def next(self, peer: str) -> bytes | Lost:
        """Return the next bytes of the body, none at its end."""
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(reason=_reason(error), peer=peer)
        if data or self._framed:
            return data
        if self._channel is None or self._channel.reset:
            return Lost(reason="reset before the end of the answer", peer=peer)
        return data

    def done(self) -> None:
        """Hand the connection back for other requests."""
        if self._channel is not None and self.head.idle_timeout is not None:
            loop = asyncio.get_running_loop()
            kept = max(0.0, self.head.idle_timeout - IDLE_MARGIN)
            self._channel.idle_until = loop.time() + kept
        self._response.release()

    def close(self) -> None:
        """Close the connection, which stops the run at the endpoint."""
        self._response.close()


class Upstream:
    """The connections of this host to all endpoints."""

    def __init__(self, *, wire: Wire) -> None:
        self._wire = wire
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; needs the running loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT)
        # The connector offers no other way to say what its connections are.
        connector._factory = functools.partial(
            Channel, loop=asyncio.get_running_loop(), wire=self._wire
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(send_once.middleware,),
        )

    async def stop(self) -> None:
        """Close all connections, without waiting for endpoints that do not read."""
        if self._session is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_BOUND):
                await self._session.close()

    async def send(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        *,
        left: float,
        last_event_id: str | None,
    ) -> Answer | NotSent | Lost:
        """Send a call to an endpoint and wait for the head of its answer.

        `left` is the time in seconds that the endpoint is told to have.
        """
        if self._session.closed:
            return NotSent(reason="this host stops", peer=endpoint.id)
        request = call.request
        exchange = _Exchange()
        _sending.set(exchange)
        target = request.path + (f"?{request.query}" if request.query else "")
        try:
            response = await self._session.request(
                request.method,
                yarl.URL(f"http://{endpoint.address}{target}", encoded=True),
                data=request.body or None,
                headers=self._wire.request_headers(call, endpoint, left, last_event_id),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
                skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(reason=_reason(error), peer=endpoint.id)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            silent = not exchange.received
            return Lost(reason=_reason(error), peer=endpoint.id, silent=silent)
        head = self._wire.head(response.status, response.headers, response.raw_headers)
        # The response lets go of its connection as soon as the body has come; the
        # body's reader still knows it.
        channel = getattr(response.content, "_protocol", None)
        return Answer(response=response, head=head, channel=channel)


def _reason(error: Exception) -> str:
    """Return what an error says, without what the endpoint sent in full."""
    text = str(error) or type(error).__name__
    first = text.splitlines()[0] if text.strip() else type(error).__name__
    return first[:MAX_REASON]
