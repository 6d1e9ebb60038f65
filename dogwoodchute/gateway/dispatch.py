"""Sends a call to endpoints until one answers or another try would be unsafe.

A call that may have run is retried only if a second run does no harm. A stream that
breaks off resumes at another endpoint, after the last event that the caller received,
if its route allows that.
"""

import http
from collections import abc

from dogwoodchute import endpoint_check, outcomes, sse
from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import (
    calls,
    crash_reports,
    endpoint_waits,
    endpoints,
    failed_calls,
    model,
    try_reports,
    try_results,
    upstream,
)

# The first four limits apply only while the call can be retried at another endpoint.
FIRST_EVENT_TIMEOUT = 2.5  # seconds to a stream's first event
PLAIN_HEAD_TIMEOUT = 0.3  # seconds to the head of an idempotent call's answer
BODY_TIMEOUT_SHARE = 0.5  # of the time left; the rest remains for a retry
EVENT_TIMEOUT = 1.2  # seconds between events of a resumable stream
MIN_TIME_LEFT = 0.02  # seconds to the deadline below which nothing is sent
ANOTHER_INSTANCE = http.HTTPStatus.MISDIRECTED_REQUEST


class Dispatcher:
    """Sends this host's calls to endpoints and retries them."""

    def __init__(
        self,
        *,
        endpoint_table: endpoints.Endpoints,
        connections: upstream.Upstream,
        crashes: crash_reports.CrashReports,
        now: abc.Callable[[], float],
    ) -> None:
        self._endpoints = endpoint_table
        self._upstream = connections
        self._crashes = crashes
        self._waits = endpoint_waits.EndpointWaits(
            endpoint_table=endpoint_table, crashes=crashes, now=now
        )
        self._now = now

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Answer a call whose route, service and reservation are set.

        Returns `Answered` if an endpoint's answer was forwarded to the caller, `NotRun`
        if it is certain that no endpoint ran the call, else `Unknown`.
        """
        self._endpoints.count_request(call.service.name)
        last: try_results.TryResult | None = None
        while True:
            if self._time_left(call) < MIN_TIME_LEFT:
                return failed_calls.timeout_outcome(call)
            found = self._crashes.find(call.request.prompt)
            endpoint = self._next_endpoint(call, last) if found is None else None
            if endpoint is None:
                return await self._failure_outcome(call, last, found)
            last = await self._send_once(call, endpoint)
            if isinstance(last, outcomes.Answered):
                self._crashes.record_completion(call.request.prompt)
                return last
            try_reports.report(call, endpoint.id, last)
            if await self._has_crashed(call, endpoint, last):
                self._crashes.record_crash(call, endpoint)

    def stop_quarantined(self) -> None:
        """Stop calls with a quarantined part whose answers have not begun."""
        self._waits.stop_quarantined()

    def _time_left(self, call: calls.Call) -> float:
        return call.deadline - self._now()

    def _next_endpoint(
        self, call: calls.Call, last: try_results.TryResult | None
    ) -> model.Endpoint | None:
        """Return the endpoint for the next try, None if the call must not be sent."""
        if last is not None:
            if call.may_have_run and not call.is_retryable:
                return None
            if isinstance(last, try_results.Erred) and last.answer.status < 500:
                return None
            if call.sends >= call.route.max_attempts:
                return None
        endpoint = self._endpoints.choose(call)
        if endpoint is None or last is None:
            return endpoint
        if isinstance(last, upstream.NotSent | try_results.Abandoned):
            return endpoint
        return endpoint if self._endpoints.take_retry(call.service.name) else None

    async def _send_once(
        self, call: calls.Call, endpoint: model.Endpoint
    ) -> try_results.TryResult:
        waiting_tokens = self._endpoints.start_request(call, endpoint)
        # Empty once these tokens are no longer counted as waiting at the endpoint. The
        # first chunk shows that the engine has processed them.
        pending = [waiting_tokens]
        call.sent_at = self._now()
        call.answer_began = False
        call.events_of_try = 0
        call.uncached_tokens = waiting_tokens

        def on_chunk() -> None:
            call.on_chunk()
            if pending:
                self._endpoints.remove_waiting_tokens(endpoint.id, pending.pop())
                self._endpoints.record_first_event(call, endpoint.id, waiting_tokens)

        is_second_connect = endpoint.id in call.slow_to_connect
        call.slow_to_connect.discard(endpoint.id)
        call.tried_endpoints.append(endpoint.id)
        call.sends += 1
        may_have_run_before, call.may_have_run = call.may_have_run, True
        answer = None
        result: try_results.TryResult | None = None
        try:
            answer = await self._send(call, endpoint)
            call.answer_began = _has_begun(answer)
            if not isinstance(answer, upstream.Answer):
                if isinstance(answer, upstream.NotSent):
                    call.may_have_run = may_have_run_before
                    call.sends -= 1
                    if answer.timed_out and not is_second_connect:
                        call.slow_to_connect.add(endpoint.id)
                result = answer
            else:
                result = await self._receive(call, endpoint, answer, on_chunk)
                if isinstance(result, try_results.Refused):
                    call.may_have_run = may_have_run_before
                    # Another endpoint answered at this address, so the chosen one
                    # received nothing.
                    call.sends -= result.status == ANOTHER_INSTANCE
        finally:
            if self._has_run_started(call, endpoint, answer, result):
                call.run_started = True
            if pending:
                self._endpoints.remove_waiting_tokens(endpoint.id, pending.pop())
            self._endpoints.finish_request(endpoint.id)
            if isinstance(answer, upstream.Answer):
                answer.close()
        self._record_result(endpoint, result)
        return result

    def _has_run_started(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer | try_results.Failure | None,
        result: try_results.TryResult | None,
    ) -> bool:
        """Return whether the endpoint started to run the call, as far as is known.

        `answer` and `result` are None if the caller disconnected before they arrived.
        An engine sends the head of a stream together with its first token.
        """
        if isinstance(answer, upstream.Answer):
            return not isinstance(result, try_results.Refused)
        if isinstance(answer, upstream.NotSent):
            return False
        silent = answer is None or answer.reason == endpoint_waits.NO_ANSWER
        if isinstance(answer, upstream.Lost) and call.route.kind == model.STREAM:
            silent = silent or answer.silent
        if not silent:
            return True
        return self._endpoints.was_overtaken(call, endpoint.id)

    def _record_result(
        self, endpoint: model.Endpoint, result: try_results.TryResult
    ) -> None:
        if (
            isinstance(result, try_results.Refused)
            and result.status == ANOTHER_INSTANCE
        ):
            self._endpoints.table.mark_ended(endpoint)
        elif isinstance(result, outcomes.Answered):
            self._endpoints.record_success(endpoint)
        elif isinstance(result, try_results.Failure):
            self._endpoints.record_failure(endpoint, result.reason)

    async def _has_crashed(
        self, call: calls.Call, endpoint: model.Endpoint, result: try_results.TryResult
    ) -> bool:
        """Return whether an endpoint ended just as it began to answer a call."""
        if not isinstance(result, upstream.Lost) or not result.disconnected:
            return False
        if call.progress != calls.BEGUN:
            return False
        return await endpoint_check.has_ended(endpoint.address)

    async def _send(
        self, call: calls.Call, endpoint: model.Endpoint
    ) -> upstream.Answer | try_results.Failure:
        time_left = self._time_left(call)
        work = self._upstream.send(
            call, endpoint, time_left=time_left, last_event_id=call.last_event_id
        )
        is_stream = call.route.kind == model.STREAM
        timeout = FIRST_EVENT_TIMEOUT if is_stream else PLAIN_HEAD_TIMEOUT
        return await self._waits.run(
            call, work, endpoint, timeout=timeout, reason=endpoint_waits.NO_ANSWER
        )

    async def _receive(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer,
        on_chunk: abc.Callable[[], None],
    ) -> try_results.TryResult:
        head = answer.head
        if head.attempt_id is not None and head.attempt_id != call.request.attempt_id:
            return upstream.Lost(
                reason="the answer is for another request", peer=endpoint.id
            )
        self._heed(endpoint, head)
        if head.not_run:
            return try_results.Refused(status=head.status, peer=endpoint.id)
        succeeded = http.HTTPStatus(200) <= head.status < 300
        if succeeded and not head.signed:
            return upstream.Lost(reason="the answer has no signature", peer=endpoint.id)
        if succeeded and call.route.kind == model.STREAM:
            return await self._forward_stream(call, endpoint, answer, on_chunk)
        timeout = BODY_TIMEOUT_SHARE * self._time_left(call)
        body = await self._waits.run(
            call, answer.read_body(endpoint.id), endpoint, timeout=timeout
        )
        if isinstance(body, try_results.Failure):
            return body
        answer.release()
        if not succeeded:
            return try_results.Erred(answer=head, body=body, peer=endpoint.id)
        call.first_byte_at = self._now()
        call.reply_started = True
        await call.reply.whole(head.status, head.headers, body)
        return outcomes.Answered(status=head.status, tokens=0, endpoint=endpoint.id)

    def _heed(self, endpoint: model.Endpoint, head: upstream.Head) -> None:
        """Do what an answer says of the endpoint itself: it leaves, or wants a pause.

        If another endpoint answered at its address, it says nothing of this one.
        """
        if head.status == ANOTHER_INSTANCE:
            return
        table = self._endpoints.table
        if head.leaving:
            table.mark_leaving(endpoint)
        if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        if head.retry_after:
            table.hold_off(endpoint, head.retry_after)
        elif head.bad_retry_after is not None:
            table.ignore_hold_off(endpoint, head.bad_retry_after)

    async def _forward_stream(
        self,
        call: calls.Call,
        endpoint: model.Endpoint,
        answer: upstream.Answer,
        on_chunk: abc.Callable[[], None],
    ) -> try_results.TryResult:
        """Forward a stream's events to the caller, each one complete."""
        framer = sse.EventFramer()
        if not call.reply_started:
            call.reply_started = True
            await call.reply.start(answer.head.status, answer.head.headers)
        last_event_at = self._now()
        while True:
            timeout = (
                EVENT_TIMEOUT if call.first_byte_at is not None else FIRST_EVENT_TIMEOUT
            )
            data = await self._waits.run(
                call,
                answer.read_chunk(endpoint.id),
                endpoint,
                timeout=last_event_at + timeout - self._now(),
            )
            if isinstance(data, try_results.Failure):
                return data
            if not data:
                break
            on_chunk()
            try:
                events = framer.feed(data)
                if events:
                    sse.check_next_id(events, call.last_event_id, allow_gaps=True)
            except sse.FormatError as error:
                return upstream.Lost(reason=str(error), peer=endpoint.id)
            if events:
                await self._forward_events(call, events)
                last_event_at = self._now()
        broken_off = _why_broken_off(call, answer, framer)
        if broken_off is not None:
            return upstream.Lost(
                reason=broken_off,
                peer=endpoint.id,
                disconnected=not answer.has_framing,
            )
        answer.release()
        await call.reply.end()
        return outcomes.Answered(
            status=answer.head.status, tokens=0, endpoint=endpoint.id
        )

    async def _forward_events(self, call: calls.Call, events: bytes) -> None:
        if call.first_byte_at is None:
            call.first_byte_at = self._now()
        complete_events = sse.events(events)
        call.events_of_try += len(complete_events)
        call.delivered_events += len(complete_events)
        call.last_event_id = sse.event_id(complete_events[-1]) or call.last_event_id
        await call.reply.chunk(events)

    async def _failure_outcome(
        self,
        call: calls.Call,
        last: try_results.TryResult | None,
        found: quarantine.Found | None,
    ) -> outcomes.NotRun | outcomes.Unknown | outcomes.Answered:
        """Return the outcome of a call that is not sent, or not sent again.

        `found` is a quarantined part of its prompt.
        """
        if isinstance(last, try_results.Erred) and not call.reply_started:
            return await failed_calls.forward_error(call, last)
        if found is not None:
            return failed_calls.quarantined(call, found)
        seconds = self._endpoints.table.seconds_until_usable(call.service.name)
        return failed_calls.outcome(call, last, usable_in=seconds or 0.0)


def _has_begun(answer: upstream.Answer | try_results.Failure) -> bool:
    """Return whether a byte of an answer arrived from the endpoint."""
    if isinstance(answer, upstream.Lost):
        return answer.reason != endpoint_waits.NO_ANSWER and not answer.silent
    return isinstance(answer, upstream.Answer)


def _why_broken_off(
    call: calls.Call, answer: upstream.Answer, framer: sse.EventFramer
) -> str | None:
    """Return why a stream that has ended is not complete, None if it is."""
    if framer.partial:
        return "half an event"
    has_no_event = call.delivered_events == 0 and call.last_event_id is None
    if has_no_event and not answer.has_framing:
        return "no event"
    return None
