"""Sets aside the tokens that a request may use, and frees the rest afterwards."""

import http

from dogwoodchute import exchange as exchanges, outcomes
from dogwoodchute.controllers import grants

OUT_OF_REACH_RETRY_AFTER = 5.0  # seconds


def make(*, granted: grants.Grants) -> exchanges.Filter:
    """Return the filter."""

    async def reserve(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.unbilled:
            return await proceed()
        account = exchange.account.name
        result = await granted.reserve(account, exchange.reserved)
        if isinstance(result, grants.Spent):
            return outcomes.refuse(
                http.HTTPStatus.PAYMENT_REQUIRED,
                "budget_spent",
                f"The request may need {exchange.reserved} tokens and the budget has "
                f"{result.remaining} left: top it up or lower 'max_tokens'.",
                step="reserve",
            )
        if isinstance(result, grants.OutOfReach):
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "budget_out_of_reach",
                "The budget can't be reached now; retry later.",
                step="reserve",
                peer=result.peer,
                retry_after=OUT_OF_REACH_RETRY_AFTER,
            )
        outcome = await proceed()
        if isinstance(outcome, outcomes.NotRun):
            granted.ledger(account).settle(exchange.reserved, 0)
        return outcome

    return reserve
