"""Logs and counts the outcome of each request."""

from collections import abc

import prometheus_client

from dogwoodchute import exchange, log, metrics, outcomes
from dogwoodchute.gateway import calls, filters

requests = prometheus_client.Counter(
    "dogwoodchute_gateway_requests",
    "Requests that ended, by service, outcome and code.",
    ["service", "outcome", "code"],
)
seconds = prometheus_client.Histogram(
    "dogwoodchute_gateway_request_seconds",
    "Seconds from a request's arrival to its outcome.",
    ["service"],
    buckets=metrics.SECONDS_BUCKETS,
)
first_byte_seconds = prometheus_client.Histogram(
    "dogwoodchute_gateway_first_byte_seconds",
    "Seconds from a request's arrival to the first byte of its answer.",
    ["service"],
    buckets=metrics.SECONDS_BUCKETS,
)
sends = prometheus_client.Counter(
    "dogwoodchute_gateway_sends", "Requests sent to endpoints.", ["service"]
)


def observe(
    *,
    now: abc.Callable[[], float],
    config_read_at: abc.Callable[[], float | None],
) -> filters.Filter:
    """Return the filter that reports outcomes, the first of the chain.

    `config_read_at` returns the monotonic seconds of the last read of the
    configuration's table.
    """

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await proceed()
        finally:
            _report(call, outcome, now(), config_read_at())
        return outcome

    return run


def _report(
    call: calls.Call,
    outcome: outcomes.Outcome | None,
    now: float,
    read_at: float | None,
) -> None:
    """Log one line and update the metrics.

    `outcome` is None if the caller disconnected.
    """
    service = call.service.name if call.service is not None else ""
    outcome_label = "caller_left" if outcome is None else outcomes.label(outcome)
    code = getattr(outcome, "code", "")
    elapsed = now - call.received
    to_first_byte = (
        call.first_byte_at - call.received if call.first_byte_at is not None else None
    )
    requests.labels(service, outcome_label, code).inc()
    seconds.labels(service).observe(elapsed)
    sends.labels(service).inc(call.sends)
    if to_first_byte is not None:
        first_byte_seconds.labels(service).observe(to_first_byte)
    log.info(
        "request",
        request=call.request.attempt_id,
        resumes=call.request.resumes,
        after=call.request.last_event_id,
        route=call.route.name if call.route is not None else None,
        account=call.account.name if call.account is not None else None,
        config=call.config.version if call.config is not None else None,
        config_age=f"{now - read_at:.3f}" if read_at is not None else None,
        outcome=outcome_label,
        status=getattr(outcome, "status", None),
        code=code or None,
        step=getattr(outcome, "step", None),
        peer=getattr(outcome, "peer", None),
        endpoints=",".join(call.tried_endpoints) or None,
        software=(call.send.endpoint.software or None) if call.send else None,
        sends=call.sends,
        reserved=call.reserved or None,
        billed=call.tokens_used or None,
        waited=f"{call.send.at - call.received:.3f}" if call.send else None,
        unread=(call.send.waiting_tokens or None) if call.send else None,
        events=call.delivered_events or None,
        framing=call.send.framing if call.send else None,
        end=call.send.connection_end if call.send else None,
        first=f"{to_first_byte:.3f}" if to_first_byte is not None else None,
        seconds=f"{elapsed:.3f}",
        left=f"{call.deadline - now:.3f}",
    )
