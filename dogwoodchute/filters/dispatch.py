"""Sends a request to its endpoint and passes the answer on."""

from dogwoodchute import catalog, exchange as exchanges, forward, outcomes


def make(*, forwarder: forward.Forwarder) -> exchanges.Filter:
    """Return the filter, the last of the chain.

    Once a try may have run the request, no later try's `NotRun` is told.
    """

    async def dispatch(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.service.kind == catalog.CHAT:
            outcome = await forwarder.chat(exchange)
        else:
            outcome = await forwarder.plain(exchange)
        if isinstance(outcome, outcomes.NotRun) and exchange.maybe_ran is not None:
            return exchange.maybe_ran
        if isinstance(outcome, outcomes.Unknown):
            exchange.maybe_ran = outcome
        return outcome

    return dispatch
