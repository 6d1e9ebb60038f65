"""Sends a call to endpoints until one answers or a further try would do harm.

A call that may have run is sent again only if a second run can do no harm. A stream
that breaks off goes on at another endpoint where its route allows that, after the last
event that the caller got.
"""

import asyncio
import http
import typing
from collections import abc

from dogwoodchute import log, outcomes, sse
from dogwoodchute.gateway import calls, endpoints, model, tries, upstream

HEAD_PATIENCE = 2.5  # seconds to a stream's first event, if it can go elsewhere
PLAIN_PATIENCE = 0.3  # seconds to an idempotent answer, if another endpoint is left
BODY_SHARE = 0.5  # of the time left for a body, if the call can go elsewhere after it
SILENCE = 1.2  # seconds between events; a longer pause moves a resumable stream
LOOK_AGAIN = 0.1  # seconds until a call that could not go elsewhere may
NO_ANSWER = "no answer in time"
SILENT = "the answer went silent"
MIN_LEFT = 0.02  # seconds below which nothing is sent any more
RETRY_AFTER = 0.2  # seconds: about the time in which a place comes free
ANOTHER_INSTANCE = http.HTTPStatus.MISDIRECTED_REQUEST
BUSY_STATUSES = frozenset({408, 421, 429, 503})  # each says that nothing was run


T = typing.TypeVar("T")


class Dispatcher:
    """Sends the calls of this host."""

    def __init__(
        self,
        *,
        known: endpoints.Endpoints,
        connections: upstream.Upstream,
        now: abc.Callable[[], float],
    ) -> None:
        self._known = known
        self._upstream = connections
        self._now = now

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Answer a call whose route, service and reservation are set."""
        self._known.note_request(call.service.name)
        last: tries.Try | None = None
        while True:
            if self._left(call) < MIN_LEFT:
                return self._late(call)
            endpoint = self._next(call, last)
            if endpoint is None:
                return await self._give_up(call, last)
            last = await self._try(call, endpoint)
            if isinstance(last, outcomes.Answered):
                return last
            log.info(
                "try_failed",
                request=call.request.attempt_id,
                endpoint=endpoint.id,
                step=last.step,
                reason=last.reason,
                kind=type(last).__name__.strip("_").lower(),
                status=getattr(last, "status", None),
                sends=call.sends,
                ran=call.may_have_run,
            )

    def _left(self, call: calls.Call) -> float:
        return call.deadline - self._now()

    def _next(self, call: calls.Call, last: tries.Try | None) -> model.Endpoint | None:
        """Return the endpoint of the next try, None if there must be none."""
        if last is not None:
            if call.may_have_run and not call.repeatable:
                return None
            if isinstance(last, tries.Erred) and last.answer.status < 500:
                return None
            if call.sends >= call.route.max_attempts:
                return None
        endpoint = self._known.choose(call)
        if endpoint is None or last is None:
            return endpoint
        if isinstance(last, upstream.NotSent | tries.Abandoned):
            return endpoint
        return endpoint if self._known.may_repeat(call.service.name) else None

    async def _try(self, call: calls.Call, endpoint: model.Endpoint) -> tries.Try:
        waiting = self._known.begin(call, endpoint)
        unread = [waiting]
        call.sent_at = self._now()
        call.unread = waiting

        def first_token() -> None:
            call.began()
            if unread:
                self._known.read(endpoint.id, unread.pop())
                self._known.first_event(call, endpoint.id, waiting)

        call.tried.append(endpoint.id)
        call.sends += 1
        ran_before, call.may_have_run = call.may_have_run, True
        answer = None
        result: tries.Try | None = None
        try:
            answer = await self._head(call, endpoint)
            if not isinstance(answer, upstream.Answer):
                if isinstance(answer, upstream.NotSent):
                    call.may_have_run = ran_before
                    call.sends -= 1
                result = answer
            else:
                result = await self._take(call, endpoint, answer, first_token)
                if isinstance(result, tries.Refused):
                    call.may_have_run = ran_before
                    # The endpoint that was meant is not there, so it got nothing.
                    call.sends -= result.status == ANOTHER_INSTANCE
        finally:
            if self._began(call, endpoint, answer, result):
                call.consumed = True
            if unread:
                self._known.read(endpoint.id, unread.pop())
            self._known.end(endpoint.id)
            if isinstance(answer, upstream.Answer):
                answer.close()
        self._note(endpoint, result)
        return result

    def _began(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer | tries.Failure | None,
        result: tries.Try | None,
    ) -> bool:
        """Return whether the endpoint began to work on the call, as far as is known.

        `answer` and `result` are None where the caller left before they came. The head
        of an engine's stream comes with the first token of its run.
        """
        if isinstance(answer, upstream.Answer):
            return not isinstance(result, tries.Refused)
        if isinstance(answer, upstream.NotSent):
            return False
        silent = answer is None or answer.reason == NO_ANSWER
        if isinstance(answer, upstream.Lost) and call.route.kind == model.STREAM:
            silent = silent or answer.silent
        if not silent:
            return True
        return self._known.passed_over(call, endpoint.id)

    def _note(self, endpoint: model.Endpoint, result: tries.Try) -> None:
        if isinstance(result, tries.Refused) and result.status == ANOTHER_INSTANCE:
            self._known.ended(endpoint)
        elif isinstance(result, outcomes.Answered):
            self._known.succeeded(endpoint)
        elif isinstance(result, tries.Failure):
            self._known.failed(endpoint, result.reason)

    async def _head(
        self, call: calls.Call, endpoint: model.Endpoint
    ) -> upstream.Answer | tries.Failure:
        left = self._left(call)
        sending = self._upstream.send(
            call, endpoint, left=left, last_event_id=call.last_event_id
        )
        stream = call.route.kind == model.STREAM
        patience = HEAD_PATIENCE if stream else PLAIN_PATIENCE
        return await self._within(
            call, sending, endpoint, patience=patience, reason=NO_ANSWER
        )

    async def _take(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer,
        first_token: abc.Callable[[], None],
    ) -> tries.Try:
        head = answer.head
        if head.attempt_id is not None and head.attempt_id != call.request.attempt_id:
            return upstream.Lost(
                reason="the answer is for another request", peer=endpoint.id
            )
        if head.not_run:
            return tries.Refused(status=head.status, peer=endpoint.id)
        whole = http.HTTPStatus(200) <= head.status < 300
        if whole and not head.signed:
            return upstream.Lost(reason="the answer has no signature", peer=endpoint.id)
        if whole and call.route.kind == model.STREAM:
            return await self._stream(call, endpoint, answer, first_token)
        patience = BODY_SHARE * self._left(call)
        body = await self._within(
            call, answer.read(endpoint.id), endpoint, patience=patience
        )
        if isinstance(body, tries.Failure):
            return body
        answer.done()
        if not whole:
            return tries.Erred(answer=head, body=body, peer=endpoint.id)
        call.first_byte = self._now()
        call.started = True
        await call.reply.whole(head.status, head.headers, body)
        return outcomes.Answered(status=head.status, tokens=0, endpoint=endpoint.id)

    async def _within(
        self,
        call: calls.Call,
        work: abc.Awaitable[T],
        endpoint: model.Endpoint,
        *,
        patience: float,
        reason: str = SILENT,
    ) -> T | upstream.Lost | tries.Abandoned:
        """Await what an endpoint sends, in the time that the call has left.

        After `patience` seconds the endpoint is given up, if the call can go elsewhere;
        if not, it is waited for.
        """
        loop = asyncio.get_running_loop()
        abandoned = False

        def look() -> None:
            nonlocal abandoned, looking
            if limit.expired():
                return
            abandoned = self._take_repeat(call)
            if abandoned:
                limit.reschedule(loop.time())
                return
            looking = loop.call_later(LOOK_AGAIN, look)

        looking = loop.call_later(max(0.0, patience), look)
        try:
            async with asyncio.timeout(max(0.001, self._left(call))) as limit:
                return await work
        except TimeoutError:
            if abandoned:
                return tries.Abandoned(reason=reason, peer=endpoint.id)
            return upstream.Lost(reason=reason, peer=endpoint.id)
        finally:
            looking.cancel()

    def _take_repeat(self, call: calls.Call) -> bool:
        """Pay for another try of a call that was sent; return whether there is one."""
        if not call.repeatable or call.sends >= call.route.max_attempts:
            return False
        ready = self._known.ready(call.service.name)
        if all(endpoint.id in call.tried for endpoint in ready):
            return False
        return self._known.may_repeat(call.service.name)

    async def _stream(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer,
        first_token: abc.Callable[[], None],
    ) -> tries.Try:
        """Pass events on as they come, each whole."""
        cutter = sse.Cutter()
        if not call.started:
            call.started = True
            await call.reply.start(answer.head.status, answer.head.headers)
        since = self._now()
        while True:
            patience = SILENCE if call.first_byte is not None else HEAD_PATIENCE
            data = await self._within(
                call,
                answer.next(endpoint.id),
                endpoint,
                patience=since + patience - self._now(),
            )
            if isinstance(data, tries.Failure):
                return data
            if not data:
                break
            first_token()
            try:
                events = cutter.feed(data)
                if events:
                    sse.check_follows(events, call.last_event_id, gaps=True)
            except sse.FormatError as error:
                return upstream.Lost(reason=str(error), peer=endpoint.id)
            if events:
                await self._pass_on(call, events)
                since = self._now()
        if cutter.rest:
            return upstream.Lost(reason="half an event", peer=endpoint.id)
        answer.done()
        await call.reply.end()
        return outcomes.Answered(
            status=answer.head.status, tokens=0, endpoint=endpoint.id
        )

    async def _pass_on(self, call: calls.Call, events: bytes) -> None:
        if call.first_byte is None:
            call.first_byte = self._now()
        found = sse.events(events)
        call.delivered_events += len(found)
        call.last_event_id = sse.event_id(found[-1]) or call.last_event_id
        await call.reply.chunk(events)

    async def _give_up(
        self, call: calls.Call, last: tries.Try | None
    ) -> outcomes.NotRun | outcomes.Unknown | outcomes.Answered:
        if isinstance(last, tries.Erred) and not call.started:
            return await self._pass_failure(call, last)
        peer = getattr(last, "peer", None)
        reason = getattr(last, "reason", "no endpoint is ready")
        if not call.may_have_run:
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no_endpoint" if last is None else "endpoint_busy",
                f"The request was not run: {reason}; retry.",
                step="dispatch",
                peer=peer,
                retry_after=RETRY_AFTER,
            )
        return outcomes.Unknown(
            status=int(http.HTTPStatus.BAD_GATEWAY),
            code="endpoint_failed",
            message=f"The request may have run: {reason}.",
            step="dispatch",
            peer=peer,
        )

    async def _pass_failure(
        self, call: calls.Call, last: tries.Erred
    ) -> outcomes.Unknown | outcomes.Answered:
        """Pass an endpoint's own failure on, unless it would say "not run"."""
        if last.answer.status in BUSY_STATUSES:
            return outcomes.Unknown(
                status=int(http.HTTPStatus.BAD_GATEWAY),
                code="endpoint_failed",
                message=f"The endpoint answered {last.answer.status}.",
                step="dispatch",
                peer=last.peer,
            )
        call.started = True
        await call.reply.whole(last.answer.status, last.answer.headers, last.body)
        return outcomes.Answered(
            status=last.answer.status, tokens=0, endpoint=last.peer
        )

    def _late(self, call: calls.Call) -> outcomes.NotRun | outcomes.Unknown:
        if not call.may_have_run:
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no_time_left",
                "The request was not run: no time is left.",
                step="dispatch",
                retry_after=RETRY_AFTER,
            )
        return outcomes.Unknown(
            status=int(http.HTTPStatus.GATEWAY_TIMEOUT),
            code="timed_out",
            message="The request took too long; it may have run.",
            step="dispatch",
            peer=call.tried[-1] if call.tried else None,
        )
