"""Waits for endpoints, and when to give them up."""

import asyncio
import typing
from collections import abc

from dogwoodchute.gateway import (
    calls,
    crash_reports,
    endpoints,
    model,
    try_results,
    upstream,
)

RETRY_CHECK_INTERVAL = 0.1  # seconds between checks whether a late call can be retried
MIN_WAIT = 0.001  # seconds, also after the call's deadline
NO_ANSWER = "no answer in time"
SILENT = "the answer went silent"
STOPPED = "a part of the prompt was quarantined"

T = typing.TypeVar("T")


class EndpointWaits:
    """The calls that wait for endpoints now."""

    def __init__(
        self,
        *,
        endpoint_table: endpoints.Endpoints,
        crashes: crash_reports.CrashReports,
        now: abc.Callable[[], float],
    ) -> None:
        self._endpoints = endpoint_table
        self._crashes = crashes
        self._now = now
        self._stops: dict[calls.Call, abc.Callable[[], None]] = {}  # ends the wait

    def stop_quarantined(self) -> None:
        """Stop calls with a quarantined part whose answers have not begun.

        Their endpoints would crash when they begin to answer.
        """
        for call, stop in list(self._stops.items()):
            if not call.answer_began and self._crashes.find(call.request.prompt):
                stop()

    async def run(
        self,
        call: calls.Call,
        work: abc.Awaitable[T],
        endpoint: model.Endpoint,
        *,
        timeout: float,
        reason: str = SILENT,
    ) -> T | upstream.Lost | try_results.Abandoned:
        """Await `work` of an endpoint until the call's deadline.

        After `timeout` seconds the work is abandoned as soon as the call can be retried
        at another endpoint; until then the endpoint is waited for. `reason` is put into
        the failure that is returned. `stop_quarantined` may end the wait early.
        """
        loop = asyncio.get_running_loop()
        abandoned = stopped = False

        def stop() -> None:
            nonlocal stopped
            if not deadline.expired():
                stopped = True
                deadline.reschedule(loop.time())

        def check() -> None:
            nonlocal abandoned, check_timer
            if deadline.expired():
                return
            abandoned = self._take_retry(call)
            if abandoned:
                deadline.reschedule(loop.time())
                return
            check_timer = loop.call_later(RETRY_CHECK_INTERVAL, check)

        check_timer = loop.call_later(max(0.0, timeout), check)
        try:
            seconds_left = max(MIN_WAIT, call.deadline - self._now())
            async with asyncio.timeout(seconds_left) as deadline:
                self._stops[call] = stop
                return await work
        except TimeoutError:
            if stopped:
                return upstream.Lost(reason=STOPPED, peer=endpoint.id, silent=True)
            if abandoned:
                return try_results.Abandoned(reason=reason, peer=endpoint.id)
            return upstream.Lost(reason=reason, peer=endpoint.id)
        finally:
            self._stops.pop(call, None)
            check_timer.cancel()

    def _take_retry(self, call: calls.Call) -> bool:
        """Take a retry from the budget for a call that was sent.

        Returns False if the call must not be retried, no other endpoint is left, or the
        budget is used up.
        """
        if not call.is_retryable or call.sends >= call.route.max_attempts:
            return False
        if not self._endpoints.has_untried(call):
            return False
        return self._endpoints.take_retry(call.service.name)
