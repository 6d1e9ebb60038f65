"""Runs one chat request as a stream from its engine, across several connections.

A stream that breaks or sends nothing for too long is resumed on a new connection after
the last whole event, if the engine's events have ids. The caller sees no gap and no
repeated event.
"""

import asyncio
import dataclasses
import http
from collections import abc

import aiohttp
import prometheus_client

from dogwoodchute import (
    answers,
    clock,
    engine_client,
    exchange as exchanges,
    failures,
    log,
    outcomes,
    sse,
)

EVENT_STREAM = "text/event-stream"
LAST_EVENT_ID = "Last-Event-ID"
RESUMED_AFTER = "X-Resumed-After"
MAX_RESUMES = 4  # in a row without an event
RESUME_PAUSE = 0.2  # seconds, doubled for each resume in a row after the first
END_WAIT = 0.02  # seconds to wait for the end of a body after its closing event
MIN_WAIT = 0.01  # seconds, least time between checks of a stream

BREAKS = prometheus_client.Counter(
    "dogwoodchute_stream_breaks", "Broken engine streams by reason.", ["reason"]
)
RESUMES = prometheus_client.Counter(
    "dogwoodchute_stream_resumes", "Engine streams resumed on a new connection."
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Ended:
    """The closing event has arrived."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Refused:
    """The engine could not be reached or answered with an error status."""

    outcome: outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Broken:
    """The stream ended before its closing event."""

    reason: str
    resumable: bool


class _WriteFailed(Exception):
    """Writing to the caller failed."""


class ChatRun:
    """Runs one chat request at `exchange.endpoint`.

    `resume_headers` returns the headers added to a resumable stream's reply.
    """

    def __init__(
        self,
        *,
        exchange: exchanges.Exchange,
        client: engine_client.EngineClient,
        timing: engine_client.EngineTiming,
        limits: engine_client.StreamLimits,
        resume_headers: abc.Callable[[], dict[str, str]],
    ) -> None:
        self._exchange = exchange
        self._client = client
        self._timing = timing
        self._limits = limits
        exchange.software = exchange.resume.software if exchange.resume else ""
        self._resume_headers = resume_headers
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + limits.total
        self._splitter = sse.Splitter()
        self._whole_answer: list[bytes] = []  # batches, for a caller without a stream
        self._batches = 0  # received so far, on all connections
        self._resumes = 0  # in a row without an event
        # Start of the current wait, for a byte of the engine or for the caller, and of
        # the wait for the next whole event (loop time).
        self._wait_began = self._event_at = self._loop.time()
        self._writing = False  # a write to the caller is under way
        self._timeout: asyncio.Timeout | None = None  # of the connection in use
        self._stop_reason = ""  # set once the request must not be resumed

    @property
    def last_id(self) -> str | None:
        """The id of the event after which to resume, None if there is none."""
        if self._batches == 0 and self._exchange.resume is not None:
            return self._exchange.resume.last_event_id
        return self._splitter.last_id

    async def run(self) -> outcomes.Outcome:
        """Run the request and return its outcome.

        Sets `used` and `deferred_body` of the exchange.
        """
        watchdog = asyncio.create_task(self._watch())
        try:
            result = await self._attempt_until_done()
        finally:
            watchdog.cancel()
        if isinstance(result, _Refused):
            return result.outcome
        if isinstance(result, _Broken):
            return await self._give_up(result.reason)
        try:
            return self._answered()
        except sse.FormatError as error:
            return await self._give_up(str(error))

    async def _attempt_until_done(self) -> _Ended | _Refused | _Broken:
        """Send the request, and resume it as long as it breaks and may be resumed."""
        while True:
            batches_before = self._batches
            result = await self._attempt()
            if not isinstance(result, _Broken):
                return result
            BREAKS.labels(_label(result.reason)).inc()
            if self._stop_reason or not result.resumable or self.last_id is None:
                return result
            self._resumes = 1 if self._batches > batches_before else self._resumes + 1
            if self._resumes > MAX_RESUMES:
                return result
            log.warning(
                "stream_resuming",
                request=self._exchange.request_key,
                endpoint=self._exchange.endpoint.name,
                reason=result.reason,
                after=self.last_id,
            )
            self._splitter.reconnect()
            if self._resumes > 1:
                await asyncio.sleep(RESUME_PAUSE * 2 ** (self._resumes - 2))
            if self._stop_reason:
                return _Broken(reason=self._stop_reason, resumable=False)

    async def _attempt(self) -> _Ended | _Refused | _Broken:
        """Send or resume the request on one connection."""
        exchange = self._exchange
        headers = dict(self._client.headers)
        last_id = self.last_id
        if last_id is not None:
            headers[LAST_EVENT_ID] = last_id
        may_pool = exchange.idempotent and last_id is None
        session = self._client.pooled if may_pool else self._client.fresh
        was_dispatched, exchange.dispatched = exchange.dispatched, True
        self._wait_began = self._event_at = self._loop.time()
        try:
            async with (
                asyncio.timeout(None) as self._timeout,
                session.post(
                    self._client.url,
                    json=self._client.body,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                self._client.check_answer(response)
                return await self._receive(response, last_id)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            exchange.dispatched = was_dispatched
            return self._not_reached(error, last_id)
        except TimeoutError:
            return _Broken(
                reason=self._stop_reason or failures.STREAM_SILENT,
                resumable=not self._stop_reason,
            )
        except sse.FormatError as error:
            return _Broken(reason=str(error), resumable=False)
        except _WriteFailed as error:
            log.info(
                "caller_write_failed",
                request=exchange.request_key,
                reason=repr(error.__cause__),
            )
            return _Broken(reason=failures.CALLER_DISCONNECTED, resumable=False)
        except (aiohttp.ClientError, OSError) as error:
            return _Broken(
                reason=f"{failures.ANSWER_TRUNCATED} ({type(error).__name__})",
                resumable=True,
            )
        finally:
            self._timeout = None

    async def _receive(
        self, response: aiohttp.ClientResponse, last_id: str | None
    ) -> _Ended | _Refused | _Broken:
        self._exchange.answer_began = True
        if response.status != http.HTTPStatus.OK:
            if last_id is not None:
                return _Broken(reason=failures.STREAM_LOST, resumable=False)
            return _Refused(outcome=await failures.refusal(self._exchange, response))
        if response.content_type != EVENT_STREAM:
            raise sse.FormatError("the answer is not an event stream")
        if last_id is not None:
            if response.headers.get(RESUMED_AFTER) != last_id:
                return _Broken(reason=failures.STREAM_LOST, resumable=False)
            RESUMES.inc()
        content = response.content
        splitter = self._splitter
        awaits_first = self._batches == 0
        resumed_after = last_id
        is_first_batch = True  # of this connection
        while not splitter.done:
            data = await content.readany()
            if not data:
                return _Broken(reason=failures.ANSWER_TRUNCATED, resumable=True)
            now = self._loop.time()
            self._wait_began = now
            batch = splitter.feed(data)
            if not batch:
                continue
            (
                self._timing.first_event if awaits_first else self._timing.event_gap
            ).record(now - self._event_at)
            awaits_first = False
            self._event_at = now
            if resumed_after is not None:
                sse.check_next_id(batch, resumed_after)
                resumed_after = None
            if is_first_batch and not self._is_same_software(batch):
                return _Broken(reason=failures.STREAM_LOST, resumable=False)
            is_first_batch = False
            await self._deliver(batch)
        try:
            async with asyncio.timeout(END_WAIT):
                await content.readany()
        except TimeoutError:
            response.close()
        return _Ended()

    def _is_same_software(self, batch: bytes) -> bool:
        """Return whether a connection's first batch is of the stream's software.

        An engine that was started again at its address may be of another version, whose
        text does not continue that of the first.
        """
        exchange = self._exchange
        told = sse.software(batch)
        exchange.software = exchange.software or told
        return not told or told == exchange.software

    async def _deliver(self, batch: bytes) -> None:
        """Write a batch to the caller, or keep it for a whole answer."""
        exchange = self._exchange
        self._batches += 1
        exchange.last_token = clock.monotonic()
        exchange.answer_tokens += batch.count(b"\n\n")
        if exchange.first_token is None:
            exchange.first_token = exchange.last_token
        if not exchange.stream:
            self._whole_answer.append(batch)
            return
        self._writing = True
        try:
            if not exchange.reply_started:
                await self._start_reply()
            await exchange.reply.chunk(batch)
        except Exception as error:  # the caller's connection may raise anything
            raise _WriteFailed from error
        self._writing = False
        self._wait_began = self._event_at = self._loop.time()

    async def _start_reply(self) -> None:
        exchange = self._exchange
        exchange.reply_headers = {"Content-Type": EVENT_STREAM}
        if self._splitter.last_id is not None:
            exchange.reply_headers.update(self._resume_headers())
        await exchange.reply.start(http.HTTPStatus.OK, exchange.reply_headers)
        exchange.reply_started = True

    async def _watch(self) -> None:
        """End the connection in use at its bound or when the caller disconnects."""
        while not self._stop_reason:
            # The bound shrinks as gaps are measured, so it is read again at intervals.
            remaining = min(
                self._due() - self._loop.time(), self._timing.event_gap.floor
            )
            wait = max(MIN_WAIT, remaining)
            try:
                async with asyncio.timeout(wait):
                    await self._exchange.caller_disconnected.wait()
                self._stop_reason = failures.CALLER_DISCONNECTED
            except TimeoutError:
                if self._loop.time() < self._due():
                    continue
                if self._loop.time() >= self._deadline:
                    self._stop_reason = failures.TIMED_OUT
                elif self._writing:
                    self._exchange.caller_disconnected.set()
                    continue
            self._wait_began = self._loop.time()
            if self._timeout is not None and not self._timeout.expired():
                self._timeout.reschedule(self._wait_began)

    def _due(self) -> float:
        """Return the loop time at which the current wait ends."""
        if self._writing:
            return min(self._deadline, self._wait_began + self._limits.caller_idle)
        if self._batches == 0:
            gaps, tries = self._timing.first_event, 0
        else:
            gaps, tries = self._timing.event_gap, self._resumes
        # A large event may take long to arrive, while bytes that complete no event must
        # not hold the stream for ever.
        byte_due = self._wait_began + gaps.silence_timeout(tries)
        event_due = self._event_at + gaps.ceiling
        return min(self._deadline, byte_due, event_due)

    def _not_reached(self, error: Exception, last_id: str | None) -> _Refused | _Broken:
        if last_id is not None:
            return _Broken(
                reason=f"{failures.ANSWER_TRUNCATED} and {error}", resumable=True
            )
        return _Refused(outcome=failures.unreachable(self._exchange, error))

    def _answered(self) -> outcomes.Answered:
        exchange = self._exchange
        tokens = sse.usage_tokens(self._splitter.usage_batch)
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
            exchange.deferred_body = [sse.DONE]
            if not exchange.reply_started:
                exchange.reply_headers = {"Content-Type": EVENT_STREAM}
        else:
            exchange.deferred_body = [
                answers.join(
                    b"".join(self._whole_answer),
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
        """Cancel the run at the engine, set what it used and return the outcome."""
        exchange = self._exchange
        resumed = exchange.resume is not None
        partly_received = (
            exchange.reply_started or resumed or reason == failures.CALLER_DISCONNECTED
        )
        if exchange.idempotent and not partly_received:
            self._client.cancel_in_background()
            exchange.used = 0
            return failures.incomplete_answer(exchange, reason, partly_received=False)
        reported = [await self._client.cancel() or 0]
        try:
            reported.append(sse.usage_tokens(self._splitter.usage_batch) or 0)
        except sse.FormatError:
            log.warning("usage_unreadable", endpoint=exchange.endpoint.name)
        exchange.used = max(reported)
        return failures.incomplete_answer(
            exchange, reason, partly_received=partly_received
        )


def _label(reason: str) -> str:
    return failures.REASON_LABELS.get(reason, "cut")
