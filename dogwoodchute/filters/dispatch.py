"""Sends a request to its endpoint and its answer to the caller."""

from dogwoodchute import catalog, exchange as exchanges, forward, outcomes


def make(*, forwarder: forward.Forwarder) -> exchanges.Filter:
    """Return the filter, the last of the chain.

    Once an attempt may have run the request, its `Unknown` outcome takes the place of
    a later attempt's `NotRun`.
    """

    async def dispatch(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.service.kind == catalog.CHAT:
            outcome = await forwarder.chat(exchange)
        else:
            outcome = await forwarder.plain(exchange)
        if (
            isinstance(outcome, outcomes.NotRun)
            and exchange.earlier_unknown is not None
        ):
            return exchange.earlier_unknown
        if isinstance(outcome, outcomes.Unknown):
            exchange.earlier_unknown = outcome
        return outcome

    return dispatch
