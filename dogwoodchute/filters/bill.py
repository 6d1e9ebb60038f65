"""Bills what a request used before the caller receives the end of its answer."""

import http

from dogwoodchute import exchange as exchanges, log, outcomes, state
from dogwoodchute.controllers import bills, grants
from dogwoodchute.coordination import bills as pure_bills


def make(
    *, host: state.HostState, grant_controller: grants.Grants, bill_writer: bills.Bills
) -> exchanges.Filter:
    """Return the filter.

    The `reserve` filter releases a reservation that this one does not settle.
    """

    async def bill(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        try:
            outcome = await proceed()
        except Exception:
            if not exchange.dispatched:
                raise
            log.exception("request_failed", request=exchange.request_key)
            outcome = outcomes.router_failed(step="bill")
        if isinstance(outcome, outcomes.NotRun) or exchange.already_billed:
            return outcome
        is_unknown = isinstance(outcome, outcomes.Unknown)
        if is_unknown and exchange.used == 0 and exchange.settle is None:
            return outcome
        settlement = None
        if exchange.settle is not None:
            settlement = await exchange.settle(outcome)
        whole = not is_unknown or exchange.settle is not None
        entry = _settle_reservation(
            exchange, host=host, grant_controller=grant_controller
        )._replace(whole=whole)
        if settlement is None:
            submitted = bill_writer.submit(entry)
        else:
            submitted = bill_writer.submit(
                entry, checks=settlement.checks, writes=settlement.writes
            )
            submitted.durable.add_done_callback(lambda _: settlement.on_durable())
        return _caller_outcome(exchange, outcome, await bill_writer.wait(submitted))

    return bill


def _settle_reservation(
    exchange: exchanges.Exchange,
    *,
    host: state.HostState,
    grant_controller: grants.Grants,
) -> pure_bills.Entry:
    """Replace the reservation by the tokens used and return the bill to write."""
    account = exchange.account.name
    if exchange.used > exchange.reserved:
        log.error(
            "usage_above_reservation",
            account=account,
            request=exchange.request_key,
            endpoint=exchange.endpoint.name if exchange.endpoint else None,
            used=exchange.used,
            reserved=exchange.reserved,
        )
    tokens = grant_controller.settle(account, exchange.reserved, exchange.used)
    exchange.settled = True
    return pure_bills.Entry(
        account, exchange.request_key, tokens, exchange.fingerprint, host.incarnation
    )


def _caller_outcome(
    exchange: exchanges.Exchange,
    outcome: outcomes.Outcome,
    bill_outcome: bills.BillOutcome | None,
) -> outcomes.Outcome:
    """Return the outcome that the caller gets, given how the bill was saved.

    `bill_outcome` is None if nobody has confirmed the bill in time.
    """
    if isinstance(bill_outcome, bills.Elsewhere):
        billed = bill_outcome.row.value.get("fingerprint")
        if billed is not None and billed != exchange.fingerprint:
            return outcomes.Unknown(
                status=int(http.HTTPStatus.UNPROCESSABLE_ENTITY),
                code="key_reused",
                message="The Idempotency-Key was used with another request, which was "
                "billed; use a new key.",
                step="bill",
            )
    if bill_outcome is None and exchange.settle is not None:
        # The answer would be lost with this host if it failed now.
        return outcomes.Unknown(
            status=int(http.HTTPStatus.SERVICE_UNAVAILABLE),
            code="not_settled",
            message="The call ran and its answer is not yet safe; retry with the same "
            "Idempotency-Key to get it.",
            step="bill",
        )
    return outcome
