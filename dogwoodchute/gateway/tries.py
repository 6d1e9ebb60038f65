"""Single sends of calls to endpoints, and what becomes of their answers."""

import http
from collections import abc

from dogwoodchute import outcomes, pooled_connection
from dogwoodchute.gateway import (
    calls,
    endpoint_waits,
    model,
    try_reports,
    try_results,
    upstream,
)
from dogwoodchute.gateway.registered import endpoints
from dogwoodchute.gateway.streams import stream_origins, stream_relay

PLAIN_HEAD_TIMEOUT = 0.3  # seconds to the head of an idempotent call's answer
BODY_TIMEOUT_SHARE = 0.5  # of the time left; the rest remains for a retry
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR  # this status and those above
ANOTHER_INSTANCE = http.HTTPStatus.MISDIRECTED_REQUEST


class Tries:
    """Sends calls to endpoints, one try at a time."""

    def __init__(
        self,
        *,
        endpoint_table: endpoints.Endpoints,
        connections: upstream.Upstream,
        waits: endpoint_waits.EndpointWaits,
        origins: stream_origins.Origins,
        now: abc.Callable[[], float],
    ) -> None:
        self._endpoints = endpoint_table
        self._origins = origins
        self._upstream = connections
        self._waits = waits
        self._now = now

    def start(self, call: calls.Call, endpoint: model.Endpoint) -> calls.Send:
        """Count a call as sent to an endpoint that was just chosen for it."""
        send = self._endpoints.start_request(call, endpoint)
        send.is_second_connect = endpoint.id in call.slow_to_connect
        send.may_have_run_before, call.may_have_run = call.may_have_run, True
        call.slow_to_connect.discard(endpoint.id)
        call.tried_endpoints.append(endpoint.id)
        call.sends += 1
        self._origins.prepare(call, endpoint)
        return send

    async def run(
        self,
        call: calls.Call,
        send: calls.Send,
        answer: upstream.Answer | try_results.Failure | None = None,
    ) -> try_results.TryResult:
        """Send a call, unless its `answer` has begun; forward the answer."""
        call.send = send
        result: try_results.TryResult | None = None
        try:
            if answer is None:
                answer = await self._send(call, send)
            if isinstance(answer, upstream.Answer):
                result = await self._receive(call, send, answer)
            else:
                result = answer
        finally:
            self._end(call, send, answer, result)
        return result

    async def offer(
        self, call: calls.Call, send: calls.Send
    ) -> try_results.Taken | None:
        """Send a call on which another endpoint may work; return None unless taken."""
        answer: upstream.Answer | try_results.Failure | None = None
        result: try_results.TryResult | None = None
        is_taken = False
        try:
            answer = await self._ask(call, send)
            result = answer
            if isinstance(answer, upstream.Answer):
                result = self._refusal(call, send, answer)
                if result is None and answer.head.status >= SERVER_ERROR:
                    reason = f"status {answer.head.status}"
                    result = upstream.Lost(reason=reason, peer=send.endpoint.id)
                is_taken = result is None
        finally:
            if not is_taken:
                self._end(call, send, answer, result)
        if is_taken:
            return try_results.Taken(send, answer)
        try_reports.report(call, send, result)
        return None

    def drop(self, call: calls.Call, taken: try_results.Taken) -> None:
        """End the run of an endpoint that took a call which is not needed any more."""
        self._end(call, taken.send, taken.answer, None)

    def _end(
        self,
        call: calls.Call,
        send: calls.Send,
        answer: upstream.Answer | try_results.Failure | None,
        result: try_results.TryResult | None,
    ) -> None:
        """End a send; `answer` and `result` are None if they did not arrive."""
        if answer is None and send.is_unsent:
            answer = upstream.NotSent(
                reason="withdrawn", peer=send.endpoint.id, timed_out=True
            )
        if isinstance(answer, upstream.NotSent):
            call.may_have_run = send.may_have_run_before
            call.sends -= 1
            self._endpoints.record_not_sent(send.endpoint.id)
            if answer.timed_out and not send.is_second_connect:
                call.slow_to_connect.add(send.endpoint.id)
        elif isinstance(result, try_results.Refused):
            call.may_have_run = send.may_have_run_before
            # Another endpoint answered at this address, so the chosen one received
            # nothing.
            call.sends -= result.status == ANOTHER_INSTANCE
        if self._has_run_started(call, send, answer, result):
            call.run_started = True
        self._endpoints.remove_waiting_tokens(send)
        self._endpoints.finish_request(send.endpoint)
        if isinstance(answer, upstream.Answer):
            send.framing = answer.framing
            send.connection_end = answer.connection_end
            answer.close()
        self._record_result(send.endpoint, result)

    def _has_run_started(
        self,
        call: calls.Call,
        send: calls.Send,
        answer: upstream.Answer | try_results.Failure | None,
        result: try_results.TryResult | None,
    ) -> bool:
        """Return whether the endpoint started to run the call, as far as is known.

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
        return self._endpoints.was_overtaken(send)

    def _record_result(
        self, endpoint: model.Endpoint, result: try_results.TryResult | None
    ) -> None:
        if (
            isinstance(result, try_results.Refused)
            and result.status == ANOTHER_INSTANCE
        ):
            self._endpoints.table.mark_ended(endpoint)
        elif isinstance(result, outcomes.Answered):
            self._endpoints.record_success(endpoint)
        elif isinstance(result, upstream.Lost) and result.in_doubt:
            return
        elif isinstance(result, try_results.Failure):
            self._endpoints.record_failure(endpoint, result.reason)

    async def _ask(
        self, call: calls.Call, send: calls.Send
    ) -> upstream.Answer | upstream.NotSent | upstream.Lost:
        """Send a call and wait for the head of its answer."""
        send.use = pooled_connection.track_use()
        answer = await self._upstream.send(
            call,
            send.endpoint,
            time_left=call.deadline - self._now(),
            last_event_id=call.last_event_id,
            use=send.use,
        )
        send.answer_began = isinstance(answer, upstream.Answer) or (
            isinstance(answer, upstream.Lost) and not answer.silent
        )
        if send.answer_began:
            self._endpoints.record_sign_of_life(send.endpoint.id)
        return answer

    async def _send(
        self, call: calls.Call, send: calls.Send
    ) -> upstream.Answer | try_results.Failure:
        patience = endpoint_waits.Patience(PLAIN_HEAD_TIMEOUT)
        if call.route.kind == model.STREAM:
            patience = stream_relay.first_event_patience(call)
        return await self._waits.run(
            call,
            self._ask(call, send),
            patience=patience,
            reason=endpoint_waits.NO_ANSWER,
        )

    async def _receive(
        self, call: calls.Call, send: calls.Send, answer: upstream.Answer
    ) -> try_results.TryResult:
        refusal = self._refusal(call, send, answer)
        if refusal is not None:
            return refusal
        head, peer = answer.head, send.endpoint.id
        succeeded = http.HTTPStatus(200) <= head.status < 300
        if succeeded and call.route.kind == model.STREAM:
            return await stream_relay.forward(
                call,
                answer,
                waits=self._waits,
                endpoint_table=self._endpoints,
                settle=self._origins.settle,
                now=self._now,
            )
        seconds = BODY_TIMEOUT_SHARE * (call.deadline - self._now())
        body = await self._waits.run(
            call, answer.read_body(peer), patience=endpoint_waits.Patience(seconds)
        )
        if isinstance(body, try_results.Failure):
            return body
        answer.release()
        if not succeeded:
            return try_results.Erred(answer=head, body=body, peer=peer)
        call.first_byte_at = self._now()
        call.reply_started = True
        await call.reply.whole(head.status, head.headers, body)
        return outcomes.Answered(status=head.status, tokens=0, endpoint=peer)

    def _refusal(
        self, call: calls.Call, send: calls.Send, answer: upstream.Answer
    ) -> upstream.Lost | try_results.Refused | None:
        """Return why an answer is of no use by its head, None if it may be."""
        head, peer = answer.head, send.endpoint.id
        if head.status not in outcomes.FINAL_STATUSES:
            reason = f"{head.status} is no status of a final answer"
            return upstream.Lost(reason=reason, peer=peer)
        if head.attempt_id is not None and head.attempt_id != call.request.attempt_id:
            return upstream.Lost(reason="the answer is for another request", peer=peer)
        self._heed(send, head)
        if head.not_run:
            return try_results.Refused(status=head.status, peer=peer)
        succeeded = http.HTTPStatus(200) <= head.status < 300
        if succeeded and not head.signed:
            return upstream.Lost(reason="the answer has no signature", peer=peer)
        return None

    def _heed(self, send: calls.Send, head: upstream.Head) -> None:
        """Do what an answer says of the endpoint itself: it leaves, or wants less.

        If another endpoint answered at its address, it says nothing of this one.
        """
        if head.status == ANOTHER_INSTANCE:
            return
        table, endpoint = self._endpoints.table, send.endpoint
        if head.leaving:
            table.mark_leaving(endpoint)
        if head.bad_limit is not None:
            table.limits.ignore(endpoint, head.bad_limit)
        else:
            table.limits.hear(endpoint, head.limit, sent_at=send.at)
        if head.cold_for is not None:
            table.cold.hear(endpoint.id, head.cold_for)
        if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        if head.retry_after:
            table.hold_off(endpoint, head.retry_after)
        elif head.bad_retry_after is not None:
            table.ignore_hold_off(endpoint, head.bad_retry_after)
