"""Chooses the endpoint of a request."""

import http
import random

from dogwoodchute import catalog, exchange as exchanges, outcomes, state

MAX_TRIES = 3


def make(*, host: state.HostState, rng: random.Random) -> exchanges.Filter:
    """Return the filter."""

    async def choose(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        candidates = catalog.endpoints_of(host.current, exchange.service.name)
        rng.shuffle(candidates)
        candidates.sort(key=lambda e: e.region != host.config.host.region)
        outcome = outcomes.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "no_endpoint",
            "No endpoint serves this now; retry later.",
            step="choose",
            retry_after=1.0,
        )
        for endpoint in candidates[:MAX_TRIES]:
            exchange.endpoint = endpoint
            outcome = await proceed()
            if not (isinstance(outcome, outcomes.NotRun) or _may_rerun(outcome)):
                return outcome
        return outcome

    return choose


def _may_rerun(outcome: outcomes.Outcome) -> bool:
    return isinstance(outcome, outcomes.Unknown) and outcome.may_rerun
