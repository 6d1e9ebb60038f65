"""Tells an outage of the store from one of this host alone, by asking other hosts."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway.following import tables

ANSWER_TIME = 0.5  # seconds in which hosts must answer to be counted


async def store_returned_at(
    ask: tables.Ask,
    addresses: abc.Sequence[str],
    *,
    table: str,
    version: int,
    current_at: float,
    now: abc.Callable[[], float],
) -> float:
    """Return when the store was back, 0 if it was away only from this host.

    This host had no recent copy of `table` since `current_at`, and has just read
    `version` of it. Times are in monotonic seconds. If a host at one of `addresses` had
    a recent copy all along, the store wasn't away; else the first that had one again
    tells when it was back.
    """
    calls = [
        asyncio.create_task(ask(address, table, version, 0.0)) for address in addresses
    ]
    if calls:
        await asyncio.wait(calls, timeout=ANSWER_TIME)
    answers = [call.result() for call in calls if call.done()]
    for call in calls:
        call.cancel()
    answered_at = now()
    current_since = [
        answered_at - answer.seconds_current
        for answer in answers
        if isinstance(answer, tables.Answer) and sources.is_fresh(answer.age)
    ]
    is_alone = any(at <= current_at for at in current_since)
    returned_at = 0.0 if is_alone else min([answered_at, *current_since])
    log.info(
        "table_outage",
        table=table,
        asked=len(addresses),
        current=len(current_since),
        alone=is_alone,
        returned=None if is_alone else round(answered_at - returned_at, 3),
    )
    return returned_at
