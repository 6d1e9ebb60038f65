"""Waits for capacity at an endpoint, within fair shares and the caller's deadline."""

import http
import math

from dogwoodchute import catalog, exchange as exchanges, outcomes, state
from dogwoodchute.controllers import endpoints as endpoint_state
from dogwoodchute.coordination import admission

TIMEOUT_HEADER = "x-first-token-timeout"  # seconds
CLIENT_CLOSED_REQUEST = 499  # the caller has left, so nobody receives it
MESSAGES = {
    "no_endpoint": "No endpoint serves this now; retry later.",
    "overloaded": "It could not be served in time; retry after 'Retry-After' seconds.",
    "queue_full": "Too many requests wait; retry after 'Retry-After' seconds.",
}


def make(
    *, host: state.HostState, endpoints: endpoint_state.Endpoints
) -> exchanges.Filter:
    """Return the filter, which sets the endpoint and releases its slot at the end."""

    async def limit(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        first_token_wait = _first_token_wait(exchange, host)
        if first_token_wait is None:
            return outcomes.refuse(
                http.HTTPStatus.BAD_REQUEST,
                "bad_timeout",
                f"Set {TIMEOUT_HEADER!r} to a positive number of seconds.",
                step="limit",
            )
        exchange.first_token_deadline = min(
            exchange.deadline, exchange.received + first_token_wait
        )
        admitted = await endpoints.admit(exchange)
        if admitted is None:
            return outcomes.refuse(
                CLIENT_CLOSED_REQUEST, "caller_gone", "The caller left.", step="limit"
            )
        if isinstance(admitted, admission.Shed):
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                admitted.code,
                MESSAGES[admitted.code],
                step="limit",
                retry_after=admitted.retry_after,
            )
        exchange.endpoint = admitted
        try:
            return await proceed()
        finally:
            endpoints.finish(exchange)

    return limit


def _first_token_wait(
    exchange: exchanges.Exchange, host: state.HostState
) -> float | None:
    """Return the seconds from arrival to the deadline of the first token.

    Returns None if the caller's header is not a positive number.
    """
    config = host.config.endpoints
    timeout = exchange.request.headers.get(TIMEOUT_HEADER)
    if timeout is None:
        is_chat = exchange.service.kind == catalog.CHAT
        return config.first_token_target if is_chat else config.plain_wait
    try:
        seconds = float(timeout)
    except ValueError:
        return None
    return seconds if 0 < seconds < math.inf else None
