"""Reserves the tokens that a request may use, and releases an unused reservation."""

import http

from dogwoodchute import exchange as exchanges, metrics_money as metrics, outcomes
from dogwoodchute.controllers import account_grants, grants

OUT_OF_REACH_RETRY_AFTER = 5.0  # seconds


def make(*, grant_controller: grants.Grants) -> exchanges.Filter:
    """Return the filter; a request that is billed already needs no reservation."""

    async def reserve(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.already_billed:
            return await proceed()
        account = exchange.account.name
        result = await grant_controller.reserve(account, exchange.reserved)
        if not isinstance(result, account_grants.Reserved):
            return _refuse(exchange, result)
        try:
            return await proceed()
        finally:
            if not exchange.settled:
                grant_controller.settle(account, exchange.reserved, 0)

    return reserve


def _refuse(
    exchange: exchanges.Exchange,
    result: account_grants.Spent | account_grants.OutOfReach,
) -> outcomes.NotRun:
    if isinstance(result, account_grants.Spent):
        metrics.REFUSALS.labels("budget_spent").inc()
        return outcomes.refuse(
            http.HTTPStatus.PAYMENT_REQUIRED,
            "budget_spent",
            f"The request may need {exchange.reserved} tokens and the budget has "
            f"{result.remaining} left: top it up or lower 'max_tokens'.",
            step="reserve",
        )
    metrics.REFUSALS.labels("budget_out_of_reach").inc()
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        "budget_out_of_reach",
        f"The budget can't be reached now ({result.reason}); retry later.",
        step="reserve",
        peer=result.peer,
        retry_after=OUT_OF_REACH_RETRY_AFTER,
    )
