"""Logs and counts sends to endpoints that failed."""

import prometheus_client

from dogwoodchute import log
from dogwoodchute.gateway import calls, model, try_results

failed_tries = prometheus_client.Counter(
    "dogwoodchute_gateway_failed_tries",
    "Sends that failed, by service, kind of failure and progress of the answer.",
    ["service", "kind", "progress"],
)
MAX_PARTS = 8  # of a prompt, in a log line


def report(call: calls.Call, send: calls.Send, result: try_results.TryResult) -> None:
    """Log and count a send that failed."""
    kind = type(result).__name__.lower()
    failed_tries.labels(call.service.name, kind, send.progress).inc()
    log.info(
        "try_failed",
        request=call.request.attempt_id,
        endpoint=send.endpoint.id,
        step=result.step,
        reason=result.reason,
        kind=kind,
        status=getattr(result, "status", None),
        sends=call.sends,
        ran=call.may_have_run,
        progress=send.progress,
        events=send.events or None,
        framing=send.framing,
        end=send.connection_end,
        parts=_part_names(call.request.prompt),
    )


def _part_names(prompt: model.Prompt | None) -> str | None:
    """Return the ids of a prompt's parts for a log line, without its own last one."""
    if prompt is None:
        return None
    shared = [part.id for part in prompt.shared_parts]
    more = "" if len(shared) <= MAX_PARTS else f",+{len(shared) - MAX_PARTS}"
    return ",".join(shared[:MAX_PARTS]) + more
