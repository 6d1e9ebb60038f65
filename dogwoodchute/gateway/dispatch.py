"""Sends a call to endpoints until one answers or another try would be unsafe.

A call that may have run is retried only if a second run does no harm. A stream that
breaks off resumes at another endpoint, after the last event that the caller received,
if its route allows that.
"""

import asyncio
from collections import abc

from dogwoodchute import endpoint_check, outcomes
from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import (
    calls,
    crash_reports,
    endpoint_waits,
    failed_calls,
    model,
    tries,
    try_reports,
    try_results,
    upstream,
)
from dogwoodchute.gateway.registered import endpoints
from dogwoodchute.gateway.streams import stream_origins

MIN_TIME_LEFT = 0.02  # seconds to the deadline below which nothing is sent


class Dispatcher:
    """Sends this host's calls to endpoints and retries them."""

    def __init__(
        self,
        *,
        endpoint_table: endpoints.Endpoints,
        connections: upstream.Upstream,
        crashes: crash_reports.CrashReports,
        origins: stream_origins.Origins,
        now: abc.Callable[[], float],
    ) -> None:
        self._endpoints = endpoint_table
        self._crashes = crashes
        self._waits = endpoint_waits.EndpointWaits(
            endpoint_table=endpoint_table,
            crashes=crashes,
            offer=self._offer,
            drop=lambda call, taken: self._tries.drop(call, taken),
            now=now,
        )
        self._tries = tries.Tries(
            endpoint_table=endpoint_table,
            connections=connections,
            waits=self._waits,
            origins=origins,
            now=now,
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
            if isinstance(last, try_results.Abandoned):
                send, answer = last.successor
            else:
                if call.reply.has_left():
                    return failed_calls.caller_left(call)
                if self._time_left(call) < MIN_TIME_LEFT:
                    return failed_calls.timeout_outcome(call)
                found = self._crashes.find(call.request.prompt)
                endpoint = self._next_endpoint(call, last) if found is None else None
                if endpoint is None:
                    return await self._failure_outcome(call, last, found)
                send, answer = self._tries.start(call, endpoint), None
            last = await self._tries.run(call, send, answer)
            if isinstance(last, outcomes.Answered):
                self._crashes.record_completion(call.request.prompt)
                return last
            try_reports.report(call, send, last)
            await self._record_if_crashed(call, send, last)

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
        if isinstance(last, upstream.NotSent):
            return endpoint
        return endpoint if self._endpoints.take_retry(call.service.name) else None

    async def _offer(self, call: calls.Call) -> try_results.Taken | None:
        """Offer a call to another endpoint; return None unless that takes it."""
        if call.reply.has_left():
            return None
        if self._crashes.find(call.request.prompt) is not None:
            return None
        endpoint = self._endpoints.choose(call)
        if endpoint is None:
            return None
        return await self._tries.offer(call, self._tries.start(call, endpoint))

    async def _record_if_crashed(
        self, call: calls.Call, send: calls.Send, result: try_results.TryResult
    ) -> None:
        """Record the end of an endpoint as it began to answer a call."""
        try:
            if await self._has_crashed(send, result):
                self._crashes.record_crash(call, send.endpoint)
        except asyncio.CancelledError:
            # The run that took over has no one else to end it.
            if isinstance(result, try_results.Abandoned):
                self._tries.drop(call, result.successor)
            raise

    async def _has_crashed(
        self, send: calls.Send, result: try_results.TryResult
    ) -> bool:
        """Return whether an endpoint ended just as it began to answer a call."""
        if isinstance(result, try_results.Abandoned):
            result = result.lost
        if not isinstance(result, upstream.Lost) or not result.disconnected:
            return False
        if send.progress != calls.BEGUN or result.in_doubt:
            return False
        return await endpoint_check.has_ended(send.endpoint.address)

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
        if last is None:
            usable_in = self._endpoints.seconds_until_turn(call)
        else:
            usable_in = self._endpoints.seconds_until_usable(call) or 0.0
        return failed_calls.outcome(call, last, usable_in=usable_in)
