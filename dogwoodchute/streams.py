"""Runs one chat request as a stream of its engine, over as many connections as needed.

A stream that breaks or goes silent is resumed on a new connection from the last whole
event, where the engine gives its events ids. The caller sees no gap and no repeat.
"""

import asyncio
import dataclasses
import http
import typing
from collections import abc

import aiohttp
import prometheus_client

from dogwoodchute import (
    answers,
    clock,
    exchange as exchanges,
    failures,
    log,
    outcomes,
    sse,
)
from dogwoodchute.coordination import cadence

EVENT_STREAM = "text/event-stream"
LAST_EVENT_ID = "Last-Event-ID"
RESUMED_AFTER = "X-Resumed-After"
MAX_RESUMES = 4  # in a row without an event
RESUME_PAUSE = 0.2  # seconds, doubled for each resume in a row after the first
END_WAIT = 0.02  # seconds for the end of a body after its closing event
MIN_WAIT = 0.01  # seconds

BREAKS = prometheus_client.Counter(
    "dogwoodchute_stream_breaks", "Broken engine streams by reason.", ["reason"]
)
RESUMES = prometheus_client.Counter(
    "dogwoodchute_stream_resumes", "Engine streams resumed on a new connection."
)


class Pace(typing.NamedTuple):
    """What is known of an engine's timing."""

    first: cadence.Cadence  # from dispatch to the first event
    gap: cadence.Cadence  # between events


class Links(typing.NamedTuple):
    """How to reach the engine of a request."""

    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession  # a connection for each request
    url: str
    body: dict
    headers: dict[str, str]
    cancel: abc.Callable[[], abc.Awaitable[int | None]]  # returns the usage, if told
    cancel_later: abc.Callable[[], None]  # does not wait


class Bounds(typing.NamedTuple):
    """Limits on a stream, in seconds."""

    total: float  # from now
    caller_idle: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Ended:
    """The closing event has arrived."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Refused:
    """The engine did not take the request, or the resume."""

    outcome: outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Broken:
    """The stream ended before its closing event."""

    reason: str
    resumable: bool


class _CallerGone(Exception):
    """The caller can't be written to any more."""


class ChatRun:
    """One chat request at `exchange.endpoint`."""

    def __init__(
        self,
        *,
        exchange: exchanges.Exchange,
        links: Links,
        pace: Pace,
        bounds: Bounds,
        head: abc.Callable[[], dict[str, str]],
    ) -> None:
        self._exchange = exchange
        self._links = links
        self._pace = pace
        self._bounds = bounds
        self._head = head  # headers of the reply, given that the stream can be resumed
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + bounds.total
        self._splitter = sse.Splitter()
        self._runs: list[bytes] = []  # the events of a whole answer
        self._events = 0  # runs of events so far
        self._tries = 0  # resumes in a row without an event
        self._heard = self._loop.time()
        self._writing = False
        self._limit: asyncio.Timeout | None = None  # of the connection in use
        self._stopped = ""  # why nothing more is tried

    @property
    def last_id(self) -> str | None:
        """The id after which to resume, None if there is none."""
        if self._events == 0 and self._exchange.resume is not None:
            return self._exchange.resume.last_event_id
        return self._splitter.last_id

    async def run(self) -> outcomes.Outcome:
        """Run the request to its outcome; sets `used` and `held` of the exchange."""
        watch = asyncio.create_task(self._watch())
        try:
            ending = await self._read_through()
        finally:
            watch.cancel()
        if isinstance(ending, _Refused):
            return ending.outcome
        if isinstance(ending, _Broken):
            return await self._give_up(ending.reason)
        try:
            return self._answered()
        except sse.FormatError as error:
            return await self._give_up(str(error))

    async def _read_through(self) -> _Ended | _Refused | _Broken:
        while True:
            events = self._events
            ending = await self._attempt()
            if not isinstance(ending, _Broken):
                return ending
            BREAKS.labels(_label(ending.reason)).inc()
            if self._stopped or not ending.resumable or self.last_id is None:
                return ending
            self._tries = 1 if self._events > events else self._tries + 1
            if self._tries > MAX_RESUMES:
                return ending
            log.warning(
                "stream_resuming",
                request=self._exchange.request_key,
                endpoint=self._exchange.endpoint.name,
                reason=ending.reason,
                after=self.last_id,
            )
            self._splitter.reconnect()
            if self._tries > 1:
                await asyncio.sleep(RESUME_PAUSE * 2 ** (self._tries - 2))
            if self._stopped:
                return _Broken(reason=self._stopped, resumable=False)

    async def _attempt(self) -> _Ended | _Refused | _Broken:
        exchange = self._exchange
        headers = dict(self._links.headers)
        last_id = self.last_id
        if last_id is not None:
            headers[LAST_EVENT_ID] = last_id
        pooled = exchange.idempotent and last_id is None
        session = self._links.pooled if pooled else self._links.fresh
        before, exchange.dispatched = exchange.dispatched, True
        self._heard = self._loop.time()
        try:
            async with (
                asyncio.timeout(None) as self._limit,
                session.post(
                    self._links.url,
                    json=self._links.body,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                return await self._receive(response, last_id)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            exchange.dispatched = before
            return self._not_reached(error, last_id)
        except TimeoutError:
            return _Broken(
                reason=self._stopped or failures.SILENT, resumable=not self._stopped
            )
        except sse.FormatError as error:
            return _Broken(reason=str(error), resumable=False)
        except (aiohttp.ClientError, OSError) as error:
            return _Broken(
                reason=f"{failures.CUT} ({type(error).__name__})", resumable=True
            )
        finally:
            self._limit = None

    async def _receive(
        self, response: aiohttp.ClientResponse, last_id: str | None
    ) -> _Ended | _Refused | _Broken:
        if response.status != http.HTTPStatus.OK:
            if last_id is not None:
                return _Broken(reason=failures.LOST, resumable=False)
            return _Refused(outcome=await failures.refusal(self._exchange, response))
        if response.content_type != EVENT_STREAM:
            raise sse.FormatError("the answer is not an event stream")
        if last_id is not None:
            if response.headers.get(RESUMED_AFTER) != last_id:
                return _Broken(reason=failures.LOST, resumable=False)
            RESUMES.inc()
        content = response.content
        splitter = self._splitter
        first = self._events == 0
        resumed_after = last_id
        while not splitter.done:
            data = await content.readany()
            if not data:
                return _Broken(reason=failures.CUT, resumable=True)
            now = self._loop.time()
            (self._pace.first if first else self._pace.gap).note(now - self._heard)
            first = False
            self._heard = now
            whole = splitter.feed(data)
            if not whole:
                continue
            if resumed_after is not None:
                sse.check_follows(whole, resumed_after)
                resumed_after = None
            await self._pass_on(whole)
        try:
            async with asyncio.timeout(END_WAIT):
                await content.readany()
        except TimeoutError:
            response.close()
        return _Ended()

    async def _pass_on(self, whole: bytes) -> None:
        exchange = self._exchange
        self._events += 1
        exchange.last_token = clock.monotonic()
        exchange.answer_tokens += whole.count(b"\n\n")
        if exchange.first_token is None:
            exchange.first_token = exchange.last_token
        if not exchange.stream:
            self._runs.append(whole)
            return
        self._writing = True
        try:
            if not exchange.started:
                await self._start()
            await exchange.reply.chunk(whole)
        except Exception as error:  # whatever the caller's side raises
            raise _CallerGone from error
        self._writing = False
        self._heard = self._loop.time()

    async def _start(self) -> None:
        exchange = self._exchange
        exchange.reply_headers = {"Content-Type": EVENT_STREAM}
        if self._splitter.last_id is not None:
            exchange.reply_headers.update(self._head())
        await exchange.reply.start(http.HTTPStatus.OK, exchange.reply_headers)
        exchange.started = True

    async def _watch(self) -> None:
        """Interrupt the connection in use when it is silent or no longer wanted."""
        while not self._stopped:
            # The bound shrinks as gaps are seen, so it is looked at again now and then.
            left = min(self._due() - self._loop.time(), self._pace.gap.floor)
            wait = max(MIN_WAIT, left)
            try:
                async with asyncio.timeout(wait):
                    await self._exchange.gone.wait()
                self._stopped = failures.GONE
            except TimeoutError:
                if self._loop.time() < self._due():
                    continue
                if self._loop.time() >= self._deadline:
                    self._stopped = failures.LATE
                elif self._writing:
                    self._exchange.gone.set()
                    continue
            self._heard = self._loop.time()
            if self._limit is not None and not self._limit.expired():
                self._limit.reschedule(self._heard)

    def _due(self) -> float:
        if self._writing:
            bound = self._bounds.caller_idle
        elif self._events == 0:
            bound = self._pace.first.bound()
        else:
            bound = self._pace.gap.bound(self._tries)
        return min(self._deadline, self._heard + bound)

    def _not_reached(self, error: Exception, last_id: str | None) -> _Refused | _Broken:
        if last_id is not None:
            return _Broken(reason=f"{failures.CUT} and {error}", resumable=True)
        return _Refused(outcome=failures.not_reached(self._exchange, error))

    def _answered(self) -> outcomes.Answered:
        exchange = self._exchange
        tokens = sse.usage_tokens(self._splitter.usage_run)
        if tokens is None:
            log.warning(
                "usage_not_told",
                request=exchange.request_key,
                endpoint=exchange.endpoint.name,
                billed=exchange.reserved,
            )
            tokens = exchange.reserved
        exchange.used = tokens
        if exchange.stream:
            exchange.held = [sse.DONE]
            if not exchange.started:
                exchange.reply_headers = {"Content-Type": EVENT_STREAM}
        else:
            exchange.held = [
                answers.join(
                    b"".join(self._runs),
                    request_key=exchange.request_key,
                    model=exchange.service.name,
                )
            ]
            exchange.reply_headers = {"Content-Type": "application/json"}
        exchange.status = int(http.HTTPStatus.OK)
        return outcomes.Answered(
            status=exchange.status, tokens=tokens, endpoint=exchange.endpoint.name
        )

    async def _give_up(self, reason: str) -> outcomes.Unknown:
        exchange = self._exchange
        resumed = exchange.resume is not None
        seen = exchange.started or resumed or reason == failures.GONE
        if exchange.idempotent and not seen:
            self._links.cancel_later()
            exchange.used = 0
            return failures.incomplete(exchange, reason, seen=False)
        told = [await self._links.cancel() or 0]
        try:
            told.append(sse.usage_tokens(self._splitter.usage_run) or 0)
        except sse.FormatError:
            log.warning("usage_unreadable", endpoint=exchange.endpoint.name)
        exchange.used = max(told)
        return failures.incomplete(exchange, reason, seen=seen)


def _label(reason: str) -> str:
    return failures.REASON_LABELS.get(reason, "cut")
