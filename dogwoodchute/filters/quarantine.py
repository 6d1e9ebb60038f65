"""Refuses chats whose prompts crash endpoints, and learns which these are.

Runs once for each try of a request. Each host learns for itself, from the blocks of the
prompts that it sends.
"""

import http
from collections import abc

from dogwoodchute import exchange as exchanges, log, outcomes
from dogwoodchute.coordination import quarantine, retry_after
from dogwoodchute.filters import choose

CODE = "prompt_quarantined"


def make(
    *,
    has_ended: abc.Callable[[str], abc.Awaitable[bool]],
    now: abc.Callable[[], float],
) -> exchanges.Filter:
    """Return the filter; the `choose` filter before it has set the endpoint.

    `has_ended` returns whether the process at an address has ended.
    """
    known = quarantine.Quarantine()

    async def check(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        blocks = _blocks(exchange)
        found = known.find(blocks, now())
        if found is not None:
            return _refuse(exchange, found)
        exchange.answer_began = False
        outcome = await proceed()
        if isinstance(outcome, outcomes.Answered):
            for block in blocks:
                known.record_completion(block, now())
        elif blocks and await has_crashed(exchange, outcome):
            record_crash(exchange, blocks)
        return outcome

    async def has_crashed(
        exchange: exchanges.Exchange, outcome: outcomes.NotRun | outcomes.Unknown
    ) -> bool:
        """Return whether the endpoint ended just as it began to answer."""
        if outcome.code != choose.FAILED or not exchange.answer_began:
            return False
        if exchange.first_token is not None:
            return False
        return await has_ended(exchange.endpoint.address)

    def record_crash(exchange: exchanges.Exchange, blocks: tuple[str, ...]) -> None:
        at = now()
        # An endpoint's runs are told apart by the second in which they end.
        run = quarantine.Run(exchange.endpoint.name, int(at) * 1000)
        found = known.record_crash(quarantine.Crash(run, blocks), at, at)
        log.warning(
            "endpoint_crashed",
            endpoint=exchange.endpoint.name,
            request=exchange.request_key,
            quarantined=found is not None,
        )

    return check


def _blocks(exchange: exchanges.Exchange) -> tuple[str, ...]:
    """Return the names of the blocks of a chat's prompt, none for another request."""
    return quarantine.names([f"{block:016x}" for block in exchange.ticket.blocks])


def _refuse(
    exchange: exchanges.Exchange, found: quarantine.Found
) -> outcomes.NotRun | outcomes.Unknown:
    if exchange.earlier_unknown is not None:
        return exchange.earlier_unknown
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        CODE,
        "Endpoints crash under this prompt; it was not run.",
        step="quarantine",
        retry_after=retry_after.spread(found.seconds),
    )
