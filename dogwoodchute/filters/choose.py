"""Retries a request at another endpoint if a second run can do no harm.

That holds for a request that certainly did not run, and for an idempotent one if the
caller has received no part of an answer.
"""

import dataclasses

from dogwoodchute import exchange as exchanges, outcomes
from dogwoodchute.controllers import endpoints as endpoint_state

MAX_TRIES = 3  # endpoints for one request
UNREACHABLE = "endpoint_unreachable"
BUSY = "endpoint_busy"
LEAVING = "endpoint_leaving"
FAILED = "endpoint_failed"
FAILURES = frozenset({UNREACHABLE, FAILED})
RETRIABLE = frozenset({UNREACHABLE, BUSY, LEAVING})


def make(*, endpoints: endpoint_state.Endpoints) -> exchanges.Filter:
    """Return the filter; the `limit` filter has set the first endpoint."""

    async def choose(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        tried = {exchange.endpoint.name}
        outcome = await proceed()
        while _may_retry(exchange, outcome) and len(tried) < MAX_TRIES:
            _report_failure(exchange, outcome, endpoints)
            endpoint = endpoints.retry(exchange, tried)
            if endpoint is None:
                break
            tried.add(endpoint.name)
            exchange.endpoint = endpoint
            outcome = await proceed()
        if isinstance(outcome, outcomes.Answered):
            return outcome
        _report_failure(exchange, outcome, endpoints)
        if outcome.retry_after is None:
            return outcome
        retry_after = endpoints.retry_after(exchange.service.name)
        return dataclasses.replace(outcome, retry_after=retry_after)

    return choose


def _may_retry(exchange: exchanges.Exchange, outcome: outcomes.Outcome) -> bool:
    if exchange.reply_started or exchange.caller_disconnected.is_set():
        return False
    if isinstance(outcome, outcomes.Unknown):
        return outcome.may_rerun
    if isinstance(outcome, outcomes.Answered) or outcome.code not in RETRIABLE:
        return False
    return exchange.idempotent or not exchange.dispatched


def _report_failure(
    exchange: exchanges.Exchange,
    outcome: outcomes.NotRun | outcomes.Unknown,
    endpoints: endpoint_state.Endpoints,
) -> None:
    """Report to `endpoints` how the request ended there, and release its slot."""
    if outcome.code == LEAVING:
        endpoints.mark_leaving(exchange.endpoint.name)
    endpoints.finish(exchange, failed=outcome.code in FAILURES)
