"""Refuses requests while this host can't know which release is in force."""

import http

from dogwoodchute import exchange as exchanges, outcomes, state

RETRY_AFTER = 1.0  # seconds


def make(*, host: state.HostState) -> exchanges.Filter:
    """Return the filter, the first of the chain that may refuse a request."""
    refuse_after = host.config.release.refuse_after

    async def admit(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        if not host.ready:
            return _refuse("starting", "This host is starting; ask another one.")
        if refuse_after and host.release_age > refuse_after:
            message = "This host has had no news of releases; ask another one."
            return _refuse("release_stale", message)
        return await proceed()

    return admit


def _refuse(code: str, message: str) -> outcomes.NotRun:
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        message,
        step="admit",
        retry_after=RETRY_AFTER,
    )
