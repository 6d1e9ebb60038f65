"""Resumes a stream whose host failed, from a resume token and the last event's id."""

import http

from dogwoodchute import (
    clock,
    exchange as exchanges,
    failures,
    forward,
    outcomes,
    sse,
    state,
)
from dogwoodchute.coordination import resume

TOKEN_HEADER = forward.RESUME_TOKEN_HEADER.lower()
EVENT_HEADER = "last-event-id"
MAX_EVENT_ID = 128  # characters

REFUSALS = {
    "bad_resume_token": "The X-Resume-Token is not one of this fleet.",
    "resume_token_expired": "The X-Resume-Token has expired.",
}


def make_check(*, host: state.HostState) -> exchanges.Filter:
    """Return the filter that checks the resume token, ahead of `deduplicate`.

    Without a `Last-Event-ID` the caller has received no event, and the request is an
    ordinary repeated request.
    """

    async def check_resume(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        headers = exchange.request.headers
        token = headers.get(TOKEN_HEADER)
        last_event_id = headers.get(EVENT_HEADER)
        if token is None or last_event_id is None:
            return await proceed()
        fleet_key = host.config.keys.fleet_key
        ticket = resume.verify(token, fleet_key=fleet_key, now=clock.wall())
        if isinstance(ticket, resume.Invalid):
            return _refuse(ticket.code, REFUSALS[ticket.code])
        fault = _mismatch(exchange, ticket, last_event_id)
        if fault is not None:
            return _refuse("resume_mismatch", fault)
        exchange.resume = _stream_of(ticket, last_event_id)
        outcome = await proceed()
        if isinstance(outcome, outcomes.Answered) and not exchange.reply_started:
            return _trim(exchange, outcome, fleet_key=fleet_key)
        return outcome

    return check_resume


def make_continue(
    *, host: state.HostState, forwarder: forward.Forwarder
) -> exchanges.Filter:
    """Return the filter that resumes a stream at its engine, ahead of `limit`.

    Other requests go on down the chain.
    """

    async def continue_stream(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.resume is None:
            return await proceed()
        endpoint = host.current.endpoints.get(exchange.resume.endpoint)
        address = exchange.resume.address
        if endpoint is None or _differ(address, endpoint.address):
            return failures.stream_lost(exchange)
        exchange.endpoint = endpoint
        return await forwarder.chat(exchange)

    return continue_stream


def _mismatch(
    exchange: exchanges.Exchange, ticket: resume.Ticket, last_event_id: str
) -> str | None:
    if not exchange.stream:
        return "Send the request unchanged, with 'stream' true."
    if ticket.account != exchange.account.name:
        return "Use a key of the client account that began the stream."
    if ticket.request_key != exchange.request_key:
        return "Send the Idempotency-Key that the first reply's head told."
    if ticket.fingerprint != exchange.fingerprint:
        return "Send the request unchanged."
    if len(last_event_id) > MAX_EVENT_ID or not last_event_id.isprintable():
        return "Send the id of the last whole event as Last-Event-ID."
    return None


def _refuse(code: str, message: str) -> outcomes.NotRun:
    status = http.HTTPStatus.BAD_REQUEST
    return outcomes.refuse(status, code, message, step="resume")


def _trim(
    exchange: exchanges.Exchange, outcome: outcomes.Answered, *, fleet_key: str
) -> outcomes.Answered | outcomes.Unknown:
    """Remove from a kept answer the events that the caller has received.

    That of a run at another engine may differ from what the caller has.
    """
    kept_answer, exchange.deferred_body = b"".join(exchange.deferred_body), []
    kept, resumed = _run_of(exchange, outcome, fleet_key=fleet_key), exchange.resume
    if (
        kept.endpoint != resumed.endpoint
        or _differ(kept.address, resumed.address)
        or _differ(kept.software, resumed.software)
    ):
        return failures.stream_lost(exchange)
    rest = kept_answer
    if kept_answer != sse.DONE:
        rest = sse.events_after(kept_answer, exchange.resume.last_event_id)
    if rest is None:
        return failures.stream_lost(exchange)
    exchange.deferred_body = [rest]
    return outcome


def _run_of(
    exchange: exchanges.Exchange, outcome: outcomes.Answered, *, fleet_key: str
) -> exchanges.Resume:
    """Return the engine that gave a kept answer.

    Its own token names the engine of a run that was relayed, too. Without a token only
    the engine's name is known.
    """
    last_event_id = exchange.resume.last_event_id
    for name, value in exchange.reply_headers.items():
        if name.lower() != TOKEN_HEADER:
            continue
        ticket = resume.verify(value, fleet_key=fleet_key, now=0.0)
        if isinstance(ticket, resume.Ticket):
            return _stream_of(ticket, last_event_id)
    return exchanges.Resume(outcome.endpoint, last_event_id)


def _stream_of(ticket: resume.Ticket, last_event_id: str) -> exchanges.Resume:
    return exchanges.Resume(
        ticket.endpoint, last_event_id, ticket.address, ticket.software
    )


def _differ(told: str, other: str) -> bool:
    """Return whether two texts are known and differ."""
    return bool(told and other) and told != other
