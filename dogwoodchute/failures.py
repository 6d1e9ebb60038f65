"""Outcomes of requests whose endpoint refused, failed or could not be reached.

Billing of an unknown outcome: a chat costs the tokens that its engine reported, or
nothing if it is idempotent and failed before the caller received any of the answer. A
non-idempotent plain call costs its price; an idempotent one costs nothing.
"""

import dataclasses
import http

import aiohttp

from dogwoodchute import exchange as exchanges, outcomes

# Reasons why an answer is not complete, as they appear in messages to callers.
CALLER_DISCONNECTED = "the caller disconnected"
STREAM_SILENT = "the stream went silent"
TIMED_OUT = "the request took too long"
ANSWER_TRUNCATED = "the answer ended early"
STREAM_LOST = "the engine no longer has the stream"
REASON_LABELS = {
    CALLER_DISCONNECTED: "caller_gone",
    STREAM_SILENT: "silent",
    TIMED_OUT: "timed_out",
}
CLIENT_CLOSED_REQUEST = 499  # appears in logs only, as its caller has left
STATUS_BY_REASON = {
    CALLER_DISCONNECTED: (CLIENT_CLOSED_REQUEST, "caller_gone"),
    STREAM_LOST: (http.HTTPStatus.GONE, "stream_lost"),
    TIMED_OUT: (http.HTTPStatus.GATEWAY_TIMEOUT, "timed_out"),
}
FAILED = (http.HTTPStatus.BAD_GATEWAY, "endpoint_failed")
BUSY_RETRY_AFTER = 1.0  # seconds
# Advice that ends each message.
RETRY = "Retry with the same Idempotency-Key, without X-Resume-Token, to run it again."
NO_RETRY = "It will not be run again under this Idempotency-Key; check its effect."
BUSY_STATUSES = frozenset({429, 503})
BAD_REQUEST_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
MAX_REASON = 200  # bytes of an endpoint's error body that are quoted


def incomplete_answer(
    exchange: exchanges.Exchange, reason: str, *, partly_received: bool
) -> outcomes.Unknown:
    """Return the outcome of a chat whose answer ended early.

    `partly_received` says whether the caller has received a part of the answer.
    """
    status, code = STATUS_BY_REASON.get(reason, FAILED)
    outcome = _unknown(exchange, f"The answer is not whole: {reason}.")
    return dataclasses.replace(
        outcome,
        status=int(status),
        code=code,
        may_rerun=exchange.idempotent and not partly_received and reason != TIMED_OUT,
    )


def stream_lost(exchange: exchanges.Exchange) -> outcomes.Unknown:
    """Return the outcome of a stream that the engine can't resume."""
    return incomplete_answer(exchange, STREAM_LOST, partly_received=True)


def unreachable(exchange: exchanges.Exchange, error: Exception) -> outcomes.NotRun:
    """Return the outcome of a request whose endpoint could not be connected to."""
    return outcomes.refuse(
        http.HTTPStatus.BAD_GATEWAY,
        "endpoint_unreachable",
        f"The endpoint could not be reached ({error}); retry.",
        step="dispatch",
        peer=exchange.endpoint.name,
        retry_after=BUSY_RETRY_AFTER,
    )


async def refusal(
    exchange: exchanges.Exchange, response: aiohttp.ClientResponse
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a chat that the engine answered with an error status."""
    text = (await response.content.read(MAX_REASON)).decode(errors="replace")
    message = f"The endpoint answered {response.status}: {text}"
    peer = exchange.endpoint.name
    if response.status in BUSY_STATUSES:
        # An engine that is about to stop announces it by `Connection: close`.
        closing = response.headers.get("Connection", "").lower() == "close"
        return outcomes.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "endpoint_leaving" if closing else "endpoint_busy",
            message,
            step="dispatch",
            peer=peer,
            retry_after=BUSY_RETRY_AFTER,
        )
    if response.status in BAD_REQUEST_STATUSES:
        status = http.HTTPStatus(response.status)
        code = "endpoint_refused"
        return outcomes.refuse(status, code, message, step="dispatch", peer=peer)
    return _unknown(exchange, message)


def plain_unknown(exchange: exchanges.Exchange, reason: str) -> outcomes.Unknown:
    """Return the outcome of a plain call that may have run; sets `exchange.used`."""
    exchange.used = 0 if exchange.idempotent else exchange.service.price
    return _unknown(exchange, f"The endpoint failed in the call: {reason}.")


def plain_busy(
    exchange: exchanges.Exchange, response: aiohttp.ClientResponse
) -> outcomes.Unknown:
    """Return the outcome of an idempotent plain call that got a busy status.

    Sets `exchange.used` to 0.
    """
    exchange.used = 0
    outcome = _unknown(exchange, f"The endpoint answered {response.status}.")
    return dataclasses.replace(
        outcome,
        status=int(http.HTTPStatus.SERVICE_UNAVAILABLE),
        code="endpoint_busy",
        retry_after=BUSY_RETRY_AFTER,
    )


def _unknown(exchange: exchanges.Exchange, message: str) -> outcomes.Unknown:
    status, code = FAILED
    return outcomes.Unknown(
        status=int(status),
        code=code,
        message=f"{message} {RETRY if exchange.idempotent else NO_RETRY}",
        step="dispatch",
        peer=exchange.endpoint.name if exchange.endpoint else None,
        tokens=exchange.used,
        may_rerun=exchange.idempotent,
    )
