"""Sets the client account to which a request's bearer token belongs."""

import http

from dogwoodchute import exchange as exchanges, outcomes, state


def make(*, host: state.HostState) -> exchanges.Filter:
    """Return the filter, which sets `exchange.account`."""

    async def authenticate(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        key = exchange.request.bearer
        account = host.account_of_key(key) if key else None
        if account is None:
            return outcomes.refuse(
                http.HTTPStatus.UNAUTHORIZED,
                "unknown_key",
                "Send a client account's key as 'Authorization: Bearer <key>'.",
                step="authenticate",
            )
        exchange.account = account
        return await proceed()

    return authenticate
