"""Claims a non-idempotent call before it runs, and saves its answer with its bill.

The claim is a row of the store, so that the call runs once in the whole fleet. A
repeated request with the same key gets the saved answer.
"""

import asyncio
import base64
import http

from dogwoodchute import (
    exchange as exchanges,
    log,
    metrics_money as metrics,
    outcomes,
    state,
)
from dogwoodchute.controllers import claims
from dogwoodchute.coordination import claims as pure_claims, rows
from dogwoodchute.platform import objects, table

UNCERTAIN_RETRY_AFTER = 5.0  # seconds
OBJECT_WAIT = 2.0  # seconds to save a large answer in the object store


def make(*, host: state.HostState, claim_controller: claims.Claims) -> exchanges.Filter:
    """Return the filter."""

    async def claim(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.idempotent:
            return await proceed()
        version = await _claim(exchange, host=host, claim_controller=claim_controller)
        if not isinstance(version, int):
            return version  # the outcome in place of a claim
        account, key = exchange.account.name, exchange.request_key
        claim_key = rows.claim(account, key)
        answer_parts = _buffer_reply(exchange)

        async def settle(outcome: outcomes.Outcome) -> exchanges.Settlement:
            exchange.deferred_body = [
                b"".join([*answer_parts, *exchange.deferred_body])
            ]
            settled = await _settled_claim(exchange, outcome, host=host)
            metrics.CLAIMS.labels(settled.state).inc()
            return exchanges.Settlement(
                checks=[table.Check(claim_key, version)],
                writes=[table.Write(claim_key, pure_claims.claim_value(settled))],
                on_durable=lambda: claim_controller.mark_ended(account, key),
            )

        exchange.settle = settle
        outcome = await _run(exchange, proceed)
        if isinstance(outcome, outcomes.NotRun):
            claim_controller.abandon(account, key, version)
        return outcome

    return claim


async def _claim(
    exchange: exchanges.Exchange,
    *,
    host: state.HostState,
    claim_controller: claims.Claims,
) -> int | outcomes.Outcome:
    """Return the version of the claim's row, or the outcome if the call must not run.

    Waits up to `repeat_wait` for a host that is running the same call.
    """
    account, key = exchange.account.name, exchange.request_key
    give_up_at = min(exchange.deadline, host.now() + host.config.budget.repeat_wait)
    replaced = None
    while True:
        found = await claim_controller.insert(
            account, key, exchange.fingerprint, replaced
        )
        if isinstance(found, claims.Claimed):
            return found.version
        if isinstance(found, claims.ClaimUncertain):
            return _uncertain(exchange, found)
        existing = (
            pure_claims.claim_of(found.row.value) if found.row is not None else None
        )
        decision = pure_claims.decide(
            existing, billed=found.billed, fingerprint=exchange.fingerprint
        )
        if decision == pure_claims.REFUSE:
            metrics.REFUSALS.labels("key_reused").inc()
            return outcomes.key_reused(step="claim")
        if decision == pure_claims.REPLAY:
            return await _replay(exchange, existing, host=host)
        if decision == pure_claims.GIVE_UP or host.now() >= give_up_at:
            return _unknown("The first call with this key may have run.")
        if decision == pure_claims.WAIT:
            replaced = None
            if not await claim_controller.wait_for_holder(account, key):
                return _unknown("The host that ran this call is gone.")
            continue
        replaced = found.row


async def _run(
    exchange: exchanges.Exchange, proceed: exchanges.Proceed
) -> outcomes.Outcome:
    """Run the call; an error before it was dispatched becomes a refusal."""
    try:
        return await proceed()
    except Exception:
        if exchange.dispatched:
            raise
        log.exception("request_failed", request=exchange.request_key)
    return outcomes.refuse(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        "internal_error",
        "The router failed; retry with the same Idempotency-Key.",
        step="claim",
    )


def _buffer_reply(exchange: exchanges.Exchange) -> list[bytes]:
    """Collect the reply in place of sending it; return the list of its parts."""
    parts: list[bytes] = []

    async def start(status: int, headers: dict[str, str]) -> None:
        exchange.status = status

    async def chunk(data: bytes) -> None:
        parts.append(data)

    exchange.reply = exchanges.Reply(start=start, chunk=chunk)
    return parts


async def _settled_claim(
    exchange: exchanges.Exchange, outcome: outcomes.Outcome, *, host: state.HostState
) -> pure_claims.Claim:
    """Return the claim's final state, after saving a large answer as an object.

    If that fails, the claim has no answer to replay to a repeated request.
    """
    holder = (host.config.host.id, host.incarnation, exchange.fingerprint)
    if not isinstance(outcome, outcomes.Answered):
        return pure_claims.Claim(pure_claims.UNKNOWN, *holder)
    settled = pure_claims.Claim(
        pure_claims.SETTLED,
        *holder,
        status=outcome.status,
        headers=dict(exchange.reply_headers),
    )
    content = b"".join(exchange.deferred_body)
    if len(content) <= pure_claims.MAX_INLINE:
        return settled._replace(answer=base64.b64encode(content).decode())
    name = f"answers/{exchange.account.name}/{exchange.request_key}"
    try:
        async with asyncio.timeout(OBJECT_WAIT):
            stored = await host.objects.put(name, content)
    except TimeoutError:
        stored = None
    if isinstance(stored, objects.Stored):
        return settled._replace(stored=name)
    log.warning("answer_not_stored", request=exchange.request_key)
    return settled


async def _replay(
    exchange: exchanges.Exchange, settled: pure_claims.Claim, *, host: state.HostState
) -> outcomes.Outcome:
    """Return the saved answer of a settled claim, `Unknown` if it can't be read."""
    content = None
    if settled.answer is not None:
        content = base64.b64decode(settled.answer)
    elif settled.stored is not None:
        found = await host.objects.get(settled.stored)
        if isinstance(found, objects.Found):
            content = found.content
    if content is None:
        return _unknown("The call was answered, but its answer can't be had now.")
    exchange.status = settled.status
    exchange.reply_headers = dict(settled.headers or {})
    exchange.deferred_body = [content]
    return outcomes.Answered(
        status=settled.status, tokens=0, endpoint="", replayed=True
    )


def _uncertain(
    exchange: exchanges.Exchange, found: claims.ClaimUncertain
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of an attempt that was not run as it could not be claimed.

    Without the store this host can't know whether an earlier attempt ran at another.
    """
    metrics.REFUSALS.labels("claim_uncertain").inc()
    if not exchange.request.first_attempt:
        return _unknown("This attempt was not run; an earlier one may have been.")
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        "claim_uncertain",
        "The call could not be claimed and was not run; retry with the same key.",
        step="claim",
        peer=found.peer,
        retry_after=UNCERTAIN_RETRY_AFTER,
    )


def _unknown(message: str) -> outcomes.Unknown:
    return outcomes.Unknown(
        status=int(http.HTTPStatus.CONFLICT),
        code="outcome_unknown",
        message=message,
        step="claim",
    )
