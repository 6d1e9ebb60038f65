"""The outcomes of calls that no endpoint answered with success."""

import http

from dogwoodchute import outcomes
from dogwoodchute.coordination import quarantine, retry_after
from dogwoodchute.gateway import calls, try_results

RETRY_AFTER = 0.2  # seconds: about the time until an endpoint has a free slot
QUARANTINED = "prompt_quarantined"  # the code of refusals
CALLER_LEFT = "caller_left"  # likewise
# Statuses by which a caller may conclude that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def outcome(
    call: calls.Call, last: try_results.TryResult | None, *, usable_in: float
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a call whose last try failed, None without a try.

    `usable_in` is the seconds until an endpoint of its service takes requests.
    """
    peer = getattr(last, "peer", None)
    reason = getattr(last, "reason", "no endpoint is ready")
    if not call.may_have_run:
        return outcomes.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "no_endpoint" if last is None else "endpoint_busy",
            f"The request was not run: {reason}; retry.",
            step="dispatch",
            peer=peer,
            retry_after=retry_after.spread(max(RETRY_AFTER, usable_in)),
        )
    return outcomes.Unknown(
        status=int(http.HTTPStatus.BAD_GATEWAY),
        code="endpoint_failed",
        message=f"The request may have run: {reason}.",
        step="dispatch",
        peer=peer,
    )


def quarantined(
    call: calls.Call, found: quarantine.Found
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a call that is not sent, as endpoints crash under it."""
    reason = f"endpoints crash under part {found.part} of the prompt"
    if call.may_have_run:
        return outcomes.Unknown(
            status=int(http.HTTPStatus.BAD_GATEWAY),
            code=QUARANTINED,
            message=f"The request may have run: {reason}.",
            step="quarantine",
        )
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        QUARANTINED,
        f"The request was not run: {reason}.",
        step="quarantine",
        retry_after=retry_after.spread(found.seconds),
    )


async def forward_error(
    call: calls.Call, last: try_results.Erred
) -> outcomes.Unknown | outcomes.Answered:
    """Forward an endpoint's own error answer to the caller.

    A status that means "not run" is replaced, as the call may have run.
    """
    if last.answer.status in NOT_RUN_STATUSES:
        return outcomes.Unknown(
            status=int(http.HTTPStatus.BAD_GATEWAY),
            code="endpoint_failed",
            message=f"The endpoint answered {last.answer.status}.",
            step="dispatch",
            peer=last.peer,
        )
    call.reply_started = True
    await call.reply.whole(last.answer.status, last.answer.headers, last.body)
    return outcomes.Answered(status=last.answer.status, tokens=0, endpoint=last.peer)


def caller_left(call: calls.Call) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a call that is not sent, as nobody waits for it."""
    if not call.may_have_run:
        return outcomes.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            CALLER_LEFT,
            "The request was not run: its caller has left.",
            step="dispatch",
        )
    return outcomes.Unknown(
        status=int(http.HTTPStatus.BAD_GATEWAY),
        code=CALLER_LEFT,
        message="The request may have run; its caller has left.",
        step="dispatch",
    )


def timeout_outcome(call: calls.Call) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a call whose time is up."""
    if not call.may_have_run:
        return outcomes.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "no_time_left",
            "The request was not run: no time is left.",
            step="dispatch",
            retry_after=RETRY_AFTER,
        )
    return outcomes.Unknown(
        status=int(http.HTTPStatus.GATEWAY_TIMEOUT),
        code="timed_out",
        message="The request took too long; it may have run.",
        step="dispatch",
        peer=call.tried_endpoints[-1] if call.tried_endpoints else None,
    )
