"""Connections to endpoints, and single requests over them."""

import asyncio
import dataclasses
import functools
import typing
from collections import abc

import aiohttp
import yarl
from aiohttp import client_proto

from dogwoodchute import send_once
from dogwoodchute.gateway import calls, model

CONNECT_TIMEOUT = 0.7  # seconds; a new connection takes some 20 ms at the most
IDLE_TIMEOUT = 4.0  # seconds for which an unused connection is kept
IDLE_MARGIN = 0.5  # seconds before the endpoint's own idle timeout
MAX_ANSWER = 16 * 1024 * 1024  # bytes of an answer that is read before it is sent on


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


class Channel(client_proto.ResponseHandler):
    """A connection that is not used again after bytes that nobody asked for."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.reset = False  # ended otherwise than by the endpoint's closing it
        self.idle_until: float | None = None  # loop time

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        if not super().is_connected() or self.should_close:
            return False
        return self.idle_until is None or self._loop.time() < self.idle_until

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended; a body without length needs to know."""
        self.reset = exc is not None
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
            return Lost(reason=str(error) or type(error).__name__, peer=peer)
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
        connector._factory = functools.partial(Channel, loop=asyncio.get_running_loop())
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(send_once.middleware,),
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
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
            return NotSent(reason=str(error) or type(error).__name__, peer=endpoint.id)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(reason=str(error) or type(error).__name__, peer=endpoint.id)
        head = self._wire.head(response.status, response.headers, response.raw_headers)
        # The response lets go of its connection as soon as the body has come; the
        # body's reader still knows it.
        channel = getattr(response.content, "_protocol", None)
        return Answer(response=response, head=head, channel=channel)
