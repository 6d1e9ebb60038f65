"""HTTP connections to endpoints, and single requests over them."""

import asyncio
import contextlib
import dataclasses
import functools
import http
import typing
from collections import abc

import aiohttp
import yarl

from dogwoodchute import (
    endpoint_connection,
    outcomes,
    pooled_connection,
    send_once,
)
from dogwoodchute.gateway import answer_memory, calls, dropped_runs, end_check, model

CONNECT_TIMEOUT = 0.7  # seconds; connecting takes about 20 ms at most
IDLE_TIMEOUT = 4.0  # seconds for which an unused connection is kept
CLOSE_TIMEOUT = 0.1  # seconds to write the rest of requests when this host stops
# Seconds before the endpoint's idle timeout from which its connection is not reused.
IDLE_MARGIN = 0.5
# Seconds without a byte of a plain answer after which its connection may be silent.
PLAIN_SILENCE = 0.25
# Bytes that a connection reads ahead. In chunks of a few bytes they take ten times the
# memory.
READ_BUFFER = 16 * 1024
MAX_BODY = 16 * 1024 * 1024  # bytes of an answer that is read whole before forwarding
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
    # Requests a second that the endpoint takes from all hosts, None if it names no
    # limit, and the header's value where it is none.
    limit: float | None = None
    bad_limit: str | None = None
    # Seconds for which the endpoint says that it stays cold, None if it doesn't say.
    cold_for: float | None = None


class WireFormat(typing.NamedTuple):
    """Encodes the headers of requests and decodes the heads of answers."""

    request_headers: abc.Callable[
        [calls.Call, model.Endpoint, float, str | None], list[tuple[str, str]]
    ]  # arguments: call, endpoint, seconds left, id of the last event delivered
    parse_head: abc.Callable[[int, abc.Mapping[str, str], list], Head]
    question: end_check.Question


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request reached the endpoint."""

    reason: str
    peer: str
    step: str = "connect"
    timed_out: bool = False  # connecting took too long; nobody refused


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have run, and no complete answer was received."""

    reason: str
    peer: str
    step: str = "answer"
    silent: bool = False  # no byte of an answer was received
    disconnected: bool = False  # the connection ended
    # The endpoint ended the answer, but didn't show that it still runs. It may do.
    in_doubt: bool = False


class Answer:
    """An answer whose head was received.

    Call `close` unless the answer was read to its end and `release` was called.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        head: Head,
        connection: endpoint_connection.EndpointConnection | None,
        memory: answer_memory.AnswerMemory,
        peer: str,
        has_outlived: abc.Callable[[], abc.Awaitable[bool]],
    ) -> None:
        self.head = head
        # What is held of the answer until it can be forwarded.
        self.held = memory.open(peer, self._give_up)
        self._response = response
        self._connection = connection
        # Whether the endpoint runs after the end of an answer without framing.
        self._has_outlived = has_outlived
        self.framing = endpoint_connection.framing(response)

    @property
    def has_framing(self) -> bool:
        """Whether the answer tells its end by itself; else its connection ends it."""
        return self.framing != endpoint_connection.NO_FRAMING

    @property
    def connection_end(self) -> str | None:
        """How the answer's connection ended, None while it is open."""
        return self._connection.end if self._connection is not None else None

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
            self.held.hold(size)
            if size > MAX_BODY:
                return Lost(reason=f"the answer exceeds {MAX_BODY} bytes", peer=peer)

    async def read_chunk(self, peer: str) -> bytes | Lost:
        """Return the next bytes of the body, empty at its end, or why it was lost."""
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(reason=_reason(error), peer=peer, disconnected=True)
        if data or self.has_framing:
            return data
        end = self.connection_end
        if end != endpoint_connection.CLOSED:
            reason = f"{end or 'reset'} before the end of the answer"
            return Lost(reason=reason, peer=peer, disconnected=True)
        if not await self._has_outlived():
            reason = "the endpoint ended with its answer"
            return Lost(reason=reason, peer=peer, disconnected=True, in_doubt=True)
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
        self.held.release()
        self._response.close()

    def _give_up(self, reason: str) -> None:
        """Fail the answer that is being read."""
        if self._connection is not None:
            self._connection.abort(reason)


class Upstream:
    """The connections of this host to all endpoints."""

    def __init__(self, *, wire: WireFormat) -> None:
        self._wire = wire
        self._doubts = pooled_connection.Doubts()
        self._memory = answer_memory.AnswerMemory()
        self._session: aiohttp.ClientSession | None = None
        # For questions after unframed answers. Their answers name no request, so a late
        # copy of one must not meet a request on the same connection.
        self._questions: aiohttp.ClientSession | None = None
        self._starts: end_check.Starts = {}

    async def start(self) -> None:
        """Open the HTTP session; needs a running event loop."""
        connector = endpoint_connection.connector(
            closes_after=self._closes_after,
            doubts=self._doubts,
            keepalive_timeout=IDLE_TIMEOUT,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BUFFER,
            middlewares=(send_once.middleware,),
        )
        self._questions = aiohttp.ClientSession(
            connector=endpoint_connection.connector(
                closes_after=lambda *head: True, force_close=True
            ),
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
                await self._questions.close()

    async def send(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        *,
        time_left: float,
        last_event_id: str | None,
        use: pooled_connection.Use | None = None,
    ) -> Answer | NotSent | Lost:
        """Send a call to an endpoint and wait for the head of its answer.

        `time_left` is the seconds that the endpoint is given for the call. `use`, which
        `pooled_connection.track_use` has just returned, tells of the connection.
        """
        if self._session.closed:
            return NotSent(reason="this host stops", peer=endpoint.id)
        request = call.request
        use = use or pooled_connection.track_use()
        sent_at = asyncio.get_running_loop().time()
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
        except asyncio.CancelledError:
            dropped_runs.report(call, endpoint, use, sent_at)
            self._doubt_if_silent(call, endpoint, use, sent_at)
            raise
        except aiohttp.ConnectionTimeoutError as error:
            return NotSent(reason=_reason(error), peer=endpoint.id, timed_out=True)
        except aiohttp.ClientConnectorError as error:
            return NotSent(reason=_reason(error), peer=endpoint.id)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost(
                reason=_reason(error),
                peer=endpoint.id,
                silent=not use.received,
                disconnected=True,
            )
        head = self._wire.parse_head(
            response.status, response.headers, response.raw_headers
        )
        # The response drops its connection once the body has been received; the body's
        # reader keeps a reference to it.
        connection = getattr(response.content, "_protocol", None)
        return Answer(
            response=response,
            head=head,
            connection=connection,
            memory=self._memory,
            peer=endpoint.id,
            has_outlived=functools.partial(
                end_check.has_outlived,
                self._questions,
                self._wire.question,
                endpoint,
                request=request.attempt_id,
                sent_at=sent_at,
                starts=self._starts,
            ),
        )

    def _doubt_if_silent(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        use: pooled_connection.Use,
        sent_at: float,
    ) -> None:
        """Doubt an endpoint's connections if one that was open before stayed silent.

        An engine may rightly be silent for seconds, as requests wait there.
        """
        if call.route.kind == model.STREAM or not use.is_reused or use.received:
            return
        if asyncio.get_running_loop().time() - sent_at >= PLAIN_SILENCE:
            self._doubts.doubt(endpoint.address, "no byte of a plain answer")

    def _closes_after(
        self, status: int, headers: abc.Mapping[str, str], raw: list
    ) -> bool:
        """Return whether a connection is not used again after an answer.

        So it is after a refusal, of which a copy may follow, and what is no answer.
        """
        if status not in outcomes.FINAL_STATUSES:
            return True
        if status < http.HTTPStatus.BAD_REQUEST:
            return False
        return self._wire.parse_head(status, headers, raw).not_run


def _reason(error: Exception) -> str:
    """Return the first line of an error's text, without most of what it quotes."""
    text = str(error) or type(error).__name__
    first_line = text.splitlines()[0] if text.strip() else type(error).__name__
    return first_line[:MAX_REASON]
