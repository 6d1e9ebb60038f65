"""Forwards the streams of endpoints to callers."""

from collections import abc

from dogwoodchute import outcomes, sse
from dogwoodchute.gateway import calls, endpoint_waits, model, try_results, upstream
from dogwoodchute.gateway.registered import endpoints

FIRST_EVENT_TIMEOUT = 2.5  # seconds to a stream's first event
# A caller leaves a stream without events after the longer one of this many seconds and
# of target latencies.
CALLER_PATIENCE = 2.0
CALLER_PATIENCE_LATENCIES = 4
# Seconds that another endpoint may need to take a stream and go on with it, before the
# caller leaves.
TAKE_OVER_TIME = 1.2
MIN_EVENT_TIMEOUT = 1.2  # seconds between events


def first_event_patience(call: calls.Call) -> endpoint_waits.Patience:
    """Return how long an endpoint's first event is waited for alone."""
    return _patience(call, FIRST_EVENT_TIMEOUT)


def event_timeout(route: model.Route) -> float:
    """Return the seconds without events after which a stream is offered elsewhere.

    An engine that preempts a stream is silent as well, so it gets the time that the
    caller bears, less what another one needs to go on with the stream.
    """
    patience = max(CALLER_PATIENCE, CALLER_PATIENCE_LATENCIES * route.target_latency)
    return max(MIN_EVENT_TIMEOUT, patience - TAKE_OVER_TIME)


async def forward(
    call: calls.Call,
    answer: upstream.Answer,
    *,
    waits: endpoint_waits.EndpointWaits,
    endpoint_table: endpoints.Endpoints,
    settle: abc.Callable[[calls.Call], abc.Awaitable[bool]],
    now: abc.Callable[[], float],
) -> try_results.TryResult:
    """Forward the stream of `call.send` to the caller, each event complete.

    `settle` returns whether the stream may begin at that endpoint.
    """
    framer = sse.EventFramer()
    send, peer = call.send, call.send.endpoint.id
    if not call.reply_started:
        call.reply_started = True
        await call.reply.start(answer.head.status, answer.head.headers)
    last_event_at = now()
    while True:
        timeout = FIRST_EVENT_TIMEOUT
        if call.first_byte_at is not None:
            timeout = event_timeout(call.route)
        since_event = now() - last_event_at
        data = await waits.run(
            call,
            answer.read_chunk(peer),
            patience=_patience(call, timeout, spent=since_event),
        )
        if isinstance(data, try_results.Failure):
            return data
        if not data:
            break
        _record_chunk(call, endpoint_table)
        try:
            events = framer.feed(data)
            if events:
                sse.check_next_id(events, call.last_event_id, allow_gaps=True)
        except sse.FormatError as error:
            return upstream.Lost(reason=str(error), peer=peer)
        if framer.partial_size != answer.held.size:
            answer.held.hold(framer.partial_size)
        if events:
            if not await settle(call):
                return try_results.Unrecorded(peer=peer)
            await _forward_events(call, events, now=now())
            last_event_at = now()
    broken_off = _why_broken_off(call, answer, framer)
    if broken_off is not None:
        return upstream.Lost(
            reason=broken_off, peer=peer, disconnected=not answer.has_framing
        )
    answer.release()
    await call.reply.end()
    return outcomes.Answered(
        status=answer.head.status, tokens=0, endpoint=send.endpoint.id
    )


def _patience(
    call: calls.Call, seconds: float, *, spent: float = 0.0
) -> endpoint_waits.Patience:
    """Return the patience of `seconds`, of which some are `spent` already."""
    check_after = endpoint_waits.CHECK_AFTER - spent if call.is_retryable else None
    return endpoint_waits.Patience(seconds - spent, check_after)


def _record_chunk(call: calls.Call, endpoint_table: endpoints.Endpoints) -> None:
    call.on_chunk()
    endpoint_table.record_sign_of_life(call.send.endpoint.id)
    # The first chunk shows that the engine has processed the prompt.
    if endpoint_table.remove_waiting_tokens(call.send):
        endpoint_table.record_first_event(call.send)


async def _forward_events(call: calls.Call, events: bytes, *, now: float) -> None:
    if call.first_byte_at is None:
        call.first_byte_at = now
    complete_events = sse.events(events)
    call.send.events += len(complete_events)
    call.delivered_events += len(complete_events)
    call.last_event_id = sse.event_id(complete_events[-1]) or call.last_event_id
    await call.reply.chunk(events)


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
