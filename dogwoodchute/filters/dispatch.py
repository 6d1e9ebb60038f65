"""Sends a request to its endpoint and passes the answer on."""

from dogwoodchute import catalog, exchange as exchanges, forward, outcomes


def make(*, forwarder: forward.Forwarder) -> exchanges.Filter:
    """Return the filter, the last of the chain."""

    async def dispatch(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if exchange.service.kind == catalog.CHAT:
            return await forwarder.chat(exchange)
        return await forwarder.plain(exchange)

    return dispatch
