"""HTTP connections to endpoints, and single requests over them."""

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

CONNECT_TIMEOUT = 0.7  # seconds; connecting takes about 20 ms at most
IDLE_TIMEOUT = 4.0  # seconds for which an unused connection is kept
CLOSE_TIMEOUT = 0.1  # seconds to write the rest of requests when this host stops
# Seconds before the endpoint's idle timeout from which its connection is not reused.
IDLE_MARGIN = 0.5
MAX_BODY = 16 * 1024 * 1024  # bytes of an answer that is read whole before forwarding
HEAD_END = b"\r\n\r\n"
MAX_HEAD = 64 * 1024  # bytes of an answer's head and the interim answers before it
MAX_INTERIM = 20  # interim (1xx) answers to one request; each costs a parser call
# Bytes of framing for each byte of a body. Chunks of one byte need 5.
MAX_FRAMING = 8
MAX_REASON = 120  # characters of an error's text, which may quote the endpoint


class Head(typing.NamedTuple):
    """The head of an endpoint's answer, decoded."""

    status: int
    attempt_id: str | None  # of the request that the endpoint answers
    signed: bool
    not_run: bool  # the endpoint declares that it did not run the request
    retry_after: float | None  # seconds
    idle_timeout: float | None  # seconds that the endpoint keeps the connection
    headers: list[tuple[str, str]]  # for the caller
    bad_retry_after: str | None = None  # the header's value where it is no number
    leaving: bool = False  # the endpoint says that it is leaving


class WireFormat(typing.NamedTuple):
    """Encodes the headers of requests and decodes the heads of answers."""

    request_headers: abc.Callable[
        [calls.Call, model.Endpoint, float, str | None], list[tuple[str, str]]
    ]  # arguments: call, endpoint, seconds left, id of the last event delivered
    parse_head: abc.Callable[[int, abc.Mapping[str, str], list], Head]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request reached the endpoint."""

    reason: str
    peer: str
    step: str = "connect"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run, and no complete answer was received."""

    reason: str
    peer: str
    step: str = "answer"
    silent: bool = False  # no byte of an answer was received


class _ByteCounter:
    """Counts the bytes received on a connection since a request was sent."""

    def __init__(self) -> None:
        self.received = 0


# The counter of the request that is being sent. aiohttp chooses the connection of a
# request, so the connection finds the request's counter here.
_current_counter: contextvars.ContextVar[_ByteCounter] = contextvars.ContextVar(
    "sending"
)


class EndpointConnection(client_proto.ResponseHandler):
    """A connection to an endpoint that bounds what the endpoint may send.

    It is not used again after bytes beyond the end of an answer, nor after a refusal,
    since a second copy of the refusal would be taken for the next answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, wire: WireFormat) -> None:
        super().__init__(loop)
        self._wire = wire
        self.was_reset = False  # ended in another way than by the endpoint's close
        self.idle_until: float | None = None  # loop time
        self._counter = _ByteCounter()
        self._interim_count = 0  # interim answers since the request was sent
        self._has_head = False  # the head of the final answer was received
        self._body_left: int | None = None  # bytes of the body to come, None if unknown

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        if not super().is_connected() or self.should_close:
            return False
        return self.idle_until is None or self._loop.time() < self.idle_until

    def set_response_params(self, **params: object) -> None:
        """Prepare for the answer to a new request."""
        self._counter = _current_counter.get(_ByteCounter())
        self._interim_count = 0
        self._body_left = None
        self._has_head = False
        self._payload = None
        super().set_response_params(**params)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Handle the head of an answer, which the parser passes on."""
        message, payload = data
        self._has_head = message.code >= http.HTTPStatus.OK
        if not self._has_head:
            self._interim_count += 1
            super().feed_data(data, size)
            return
        if message.code >= http.HTTPStatus.BAD_REQUEST:
            head = self._wire.parse_head(
                message.code, message.headers, message.raw_headers
            )
            if head.not_run:
                self.force_close()
        length = message.headers.get("Content-Length", "")
        if payload is streams.EMPTY_PAYLOAD:
            self._body_left = 0
        elif length.isdecimal() and not message.chunked:
            self._body_left = int(length)
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
        self._counter.received += len(data)
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
        while not self._has_head and super().is_connected():
            end = data.find(HEAD_END, start)
            if end < 0 or start > MAX_HEAD:
                break
            end += len(HEAD_END)
            super().data_received(data[start:end])
            start = end
            if self._interim_count > MAX_INTERIM:
                self._abort("too many interim answers")
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
        if self._counter.received - body <= MAX_HEAD + unparsed + MAX_FRAMING * body:
            return
        self._abort("too many bytes that are no answer")

    def _abort(self, reason: str) -> None:
        """Abort the connection and fail the answer that is being read."""
        if self.transport is None or self.was_reset:
            return
        self.was_reset = True
        error = aiohttp.ClientPayloadError(reason)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended, which a body without a length depends on."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class Answer:
    """An answer whose head was received.

    Call `close` unless the answer was read to its end and `release` was called.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        head: Head,
        connection: EndpointConnection | None,
    ) -> None:
        self.head = head
        self._response = response
        self._connection = connection
        self._has_framing = (
            response.content_length is not None
            or response.headers.get("Transfer-Encoding", "").lower() == "chunked"
            or response.status in (204, 304)
        )

    async def read_body(self, peer: str) -> bytes | Lost:
        """Return the whole body, or why it was lost."""
        chunks = []
        size = 0
        while True:
            data = await self.read_chunk(peer)
            if isinstance(data, Lost):
                return data
            if not data:
                return b"".join(chunks)
            chunks.append(data)
            size += len(data)
            if size > MAX_BODY:
                return Lost(reason=f"the answer exceeds {MAX_BODY} bytes", peer=peer)

    async def read_chunk(self, peer: str) -> bytes | Lost:
        """Return the next bytes of the body, empty at its end, or why it was lost."""
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(reason=_reason(error), peer=peer)
        if data or self._has_framing:
            return data
        if self._connection is None or self._connection.was_reset:
            return Lost(reason="reset before the end of the answer", peer=peer)
        return data

    def release(self) -> None:
        """Return the connection to the pool for other requests."""
        if self._connection is not None and self.head.idle_timeout is not None:
            loop = asyncio.get_running_loop()
            kept_for = max(0.0, self.head.idle_timeout - IDLE_MARGIN)
            self._connection.idle_until = loop.time() + kept_for
        self._response.release()

    def close(self) -> None:
        """Close the connection, which cancels the run at the endpoint."""
        self._response.close()


class Upstream:
    """The connections of this host to all endpoints."""

    def __init__(self, *, wire: WireFormat) -> None:
        self._wire = wire
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session; needs a running event loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT)
        # aiohttp has no public way to set the class of its connections.
        connector._factory = functools.partial(
            EndpointConnection, loop=asyncio.get_running_loop(), wire=self._wire
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(send_once.middleware,),
        )

    async def stop(self) -> None:
        """Close all connections without waiting for endpoints that do not read."""
        if self._session is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self._session.close()

    async def send(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        *,
        time_left: float,
        last_event_id: str | None,
    ) -> Answer | NotSent | Lost:
        """Send a call to an endpoint and wait for the head of its answer.

        `time_left` is the seconds that the endpoint is given for the call.
        """
        if self._session.closed:
            return NotSent(reason="this host stops", peer=endpoint.id)
        request = call.request
        counter = _ByteCounter()
        _current_counter.set(counter)
        target = request.path + (f"?{request.query}" if request.query else "")
        try:
            response = await self._session.request(
                request.method,
                yarl.URL(f"http://{endpoint.address}{target}", encoded=True),
                data=request.body or None,
                headers=self._wire.request_headers(
                    call, endpoint, time_left, last_event_id
                ),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
                skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(reason=_reason(error), peer=endpoint.id)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            silent = not counter.received
            return Lost(reason=_reason(error), peer=endpoint.id, silent=silent)
        head = self._wire.parse_head(
            response.status, response.headers, response.raw_headers
        )
        # The response drops its connection once the body has been received; the body's
        # reader keeps a reference to it.
        connection = getattr(response.content, "_protocol", None)
        return Answer(response=response, head=head, connection=connection)


def _reason(error: Exception) -> str:
    """Return the first line of an error's text, without most of what it quotes."""
    text = str(error) or type(error).__name__
    first_line = text.splitlines()[0] if text.strip() else type(error).__name__
    return first_line[:MAX_REASON]
