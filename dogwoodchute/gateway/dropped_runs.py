"""Logs and counts requests to endpoints that are given up without an answer.

The line tells where such a request waits: whatever is on the way or at the endpoint may
still be worked on.
"""

import asyncio

import prometheus_client

from dogwoodchute import log, pooled_connection
from dogwoodchute.gateway import calls, model

CONNECTING = "connecting"  # nothing was written
ON_THE_WAY = "on_the_way"  # the endpoint's kernel has not acknowledged all of it
AT_ENDPOINT = "at_endpoint"
ANSWERING = "answering"  # a part of the answer's head arrived
UNKNOWN = "unknown"  # the connection has ended, or the kernel does not tell

dropped = prometheus_client.Counter(
    "dogwoodchute_dropped_runs",
    "Requests to endpoints that were given up without an answer, by where they waited.",
    ["service", "place"],
)


def report(
    call: calls.Call,
    endpoint: model.Endpoint,
    use: pooled_connection.Use,
    sent_at: float,
) -> None:
    """Log and count a request that is given up; `sent_at` is in loop time."""
    place = _place(use)
    dropped.labels(call.service.name, place).inc()
    log.info(
        "run_dropped",
        request=call.request.attempt_id,
        endpoint=endpoint.id,
        place=place,
        unsent=use.unsent or None,
        reused=use.is_reused,
        age=f"{asyncio.get_running_loop().time() - sent_at:.3f}",
    )


def _place(use: pooled_connection.Use) -> str:
    if not use.is_connected:
        return CONNECTING
    if use.received:
        return ANSWERING
    if use.unsent is None:
        return UNKNOWN
    return ON_THE_WAY if use.unsent else AT_ENDPOINT
