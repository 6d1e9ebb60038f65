"""Bills what a request used before the caller sees the end of its answer."""

from dogwoodchute import exchange as exchanges, log, outcomes
from dogwoodchute.controllers import bills, grants


def make(*, granted: grants.Grants, billing: bills.Bills) -> exchanges.Filter:
    """Return the filter."""

    async def bill(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        outcome = await proceed()
        if isinstance(outcome, outcomes.NotRun) or exchange.unbilled:
            return outcome
        account = exchange.account.name
        if exchange.used > exchange.reserved:
            log.error(
                "usage_above_reservation",
                account=account,
                request=exchange.request_key,
                endpoint=exchange.endpoint.name,
                used=exchange.used,
                reserved=exchange.reserved,
            )
        tokens = granted.ledger(account).settle(exchange.reserved, exchange.used)
        await billing.submit(account, exchange.request_key, tokens)
        return outcome

    return bill
