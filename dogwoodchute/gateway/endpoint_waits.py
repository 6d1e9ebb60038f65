"""Waits for endpoints, and has another endpoint take a call whose endpoint is silent.

An endpoint may be silent although it works on a call: engines preempt requests, also in
the middle of a stream, and read them in again. So a run is given up only once another
endpoint has taken the call.
"""

import asyncio
import typing
from collections import abc

from dogwoodchute import endpoint_check, log
from dogwoodchute.gateway import calls, crash_reports, try_results, upstream
from dogwoodchute.gateway.registered import endpoints

RETRY_CHECK_INTERVAL = 0.1  # seconds between checks whether a late call can be retried
# Seconds without a byte of an endpoint after which it is checked whether it still
# accepts connections.
CHECK_AFTER = 0.8
MIN_WAIT = 0.001  # seconds, also after the call's deadline
NO_ANSWER = "no answer in time"
SILENT = "the answer went silent"
STOPPED = "a part of the prompt was quarantined"

T = typing.TypeVar("T")

# Offers a call to another endpoint; returns None unless that takes it.
Offer = abc.Callable[[calls.Call], abc.Awaitable[try_results.Taken | None]]
# Ends a run that is not needed any more.
Drop = abc.Callable[[calls.Call, try_results.Taken], None]


class Patience(typing.NamedTuple):
    """How long a wait for an endpoint lasts before others are asked, in seconds."""

    # Until the call is offered to another endpoint, though this one may work on it.
    seconds: float
    # The same if the endpoint does not accept connections any more, None if that is not
    # checked.
    check_after: float | None = None


class EndpointWaits:
    """The calls that wait for endpoints now."""

    def __init__(
        self,
        *,
        endpoint_table: endpoints.Endpoints,
        crashes: crash_reports.CrashReports,
        offer: Offer,
        drop: Drop,
        now: abc.Callable[[], float],
    ) -> None:
        self._endpoints = endpoint_table
        self._crashes = crashes
        self._offer = offer
        self._drop = drop
        self._now = now
        self._waits: dict[calls.Call, _Wait] = {}

    def stop_quarantined(self) -> None:
        """Stop calls with a quarantined part whose answers have not begun.

        Their endpoints would crash when they begin to answer.
        """
        for call, wait in list(self._waits.items()):
            if not call.send.answer_began and self._crashes.find(call.request.prompt):
                wait.stop()

    async def run(
        self,
        call: calls.Call,
        work: abc.Awaitable[T],
        *,
        patience: Patience,
        reason: str = SILENT,
    ) -> T | upstream.Lost | try_results.Abandoned:
        """Await `work` of the endpoint of `call.send` until the call's deadline.

        When `patience` ends the call is offered to another endpoint, if it can be
        retried. `work` goes on until one has taken it. `reason` is put into the failure
        that is returned. `stop_quarantined` may end the wait early.
        """
        peer = call.send.endpoint.id
        wait = _Wait(call=call, patience=patience, waits=self)
        try:
            seconds_left = max(MIN_WAIT, call.deadline - self._now())
            async with asyncio.timeout(seconds_left) as wait.deadline:
                self._waits[call] = wait
                result = await work
                if not isinstance(result, upstream.Lost):
                    return result
                taken = await wait.settle()
                if taken is None:
                    return result
                return try_results.Abandoned(
                    reason=result.reason, peer=peer, successor=taken, lost=result
                )
        except TimeoutError:
            if wait.is_stopped:
                return upstream.Lost(reason=STOPPED, peer=peer, silent=True)
            taken = wait.take()
            if taken is not None:
                return try_results.Abandoned(reason=reason, peer=peer, successor=taken)
            return upstream.Lost(reason=reason, peer=peer)
        finally:
            self._waits.pop(call, None)
            wait.close()

    def take_retry(self, call: calls.Call) -> bool:
        """Take a retry from the budget for a call that was sent.

        Returns False if the call must not be retried, no other endpoint is left, or the
        budget is used up.
        """
        if not call.is_retryable or call.sends >= call.route.max_attempts:
            return False
        if not self._endpoints.has_untried(call):
            return False
        return self._endpoints.take_retry(call.service.name)

    async def offer(self, call: calls.Call) -> try_results.Taken | None:
        """Offer a call to another endpoint; return None unless that takes it."""
        return await self._offer(call)

    def drop(self, call: calls.Call, taken: try_results.Taken) -> None:
        """End the run of an endpoint that took a call which is not needed any more."""
        self._drop(call, taken)

    def seconds_until_silent(self, call: calls.Call) -> float:
        """Return the seconds until the endpoint of a call has sent nothing for long.

        Not above 0 if it has sent nothing here for `CHECK_AFTER` seconds.
        """
        silence = self._endpoints.seconds_silent(call.send.endpoint.id)
        return CHECK_AFTER - silence


class _Wait:
    """One wait for the endpoint of a call, and the offer to another one."""

    def __init__(
        self, *, call: calls.Call, patience: Patience, waits: EndpointWaits
    ) -> None:
        self.deadline: asyncio.Timeout | None = None
        self.is_stopped = False
        self._call = call
        self._waits = waits
        self._loop = asyncio.get_running_loop()
        self._offer_at = self._loop.time() + max(0.0, patience.seconds)
        self._is_checked = patience.check_after is None
        self._has_ended = False  # the endpoint accepts no connection
        self._checking: asyncio.Task | None = None
        self._offering: asyncio.Task | None = None
        self._is_settling = False  # the work has ended; only the offer is waited for
        first = patience.seconds
        if patience.check_after is not None:
            first = min(first, patience.check_after)
        self._timer = self._loop.call_later(max(0.0, first), self._step)

    def stop(self) -> None:
        """End the wait without a result."""
        if not self.deadline.expired():
            self.is_stopped = True
            self.deadline.reschedule(self._loop.time())

    def take(self) -> try_results.Taken | None:
        """Return the endpoint's run that has taken the call, once, else None."""
        offering, self._offering = self._offering, None
        if offering is None:
            return None
        if not offering.done():
            offering.cancel()
            return None
        return _result_of(offering)

    async def settle(self) -> try_results.Taken | None:
        """Wait for an offer under way; return the run that has taken the call."""
        self._is_settling = True
        if self._offering is not None:
            await asyncio.wait([self._offering])
        return self.take()

    def close(self) -> None:
        """Stop watching; drop a run that took the call in vain."""
        self._timer.cancel()
        if self._checking is not None:
            self._checking.cancel()
        taken = self.take()
        if taken is not None:
            self._waits.drop(self._call, taken)

    def _step(self) -> None:
        """Offer the call or check its endpoint, if it is time for that."""
        if self.deadline is None or self.deadline.expired():
            return
        is_due = self._has_ended or self._loop.time() >= self._offer_at
        if is_due and self._waits.take_retry(self._call):
            self._offering = asyncio.create_task(self._waits.offer(self._call))
            self._offering.add_done_callback(self._handle_offered)
            return
        if not self._is_checked and self._waits.seconds_until_silent(self._call) <= 0:
            self._is_checked = True
            self._checking = asyncio.create_task(self._check())
        self._timer = self._loop.call_later(self._pause(), self._step)

    def _pause(self) -> float:
        """Return the seconds until there may be something to do."""
        until_offer = self._offer_at - self._loop.time()
        if self._has_ended or until_offer <= 0:
            return RETRY_CHECK_INTERVAL
        if self._is_checked:
            return until_offer
        until_silent = self._waits.seconds_until_silent(self._call)
        return min(until_offer, max(RETRY_CHECK_INTERVAL, until_silent))

    async def _check(self) -> None:
        endpoint = self._call.send.endpoint
        self._has_ended = not await endpoint_check.accepts(endpoint.address)
        log.info(
            "silent_endpoint_checked",
            request=self._call.request.attempt_id,
            endpoint=endpoint.id,
            accepts=not self._has_ended,
        )
        if self._has_ended and self._offering is None:
            self._timer.cancel()
            self._step()

    def _handle_offered(self, offering: asyncio.Task) -> None:
        if offering is not self._offering or self._is_settling:
            return
        if _result_of(offering) is None:
            self._offering = None
            self._timer = self._loop.call_later(RETRY_CHECK_INTERVAL, self._step)
        elif not self.deadline.expired():
            self.deadline.reschedule(self._loop.time())


def _result_of(offering: asyncio.Task) -> try_results.Taken | None:
    """Return the result of an offer that is done, None without one."""
    if offering.cancelled():
        return None
    error = offering.exception()
    if error is not None:
        log.error("offer_failed", reason=repr(error))
        return None
    return offering.result()
