"""Calls to the store that serve waiting requests while no answer has come."""

import asyncio
import typing
from collections import abc

from dogwoodchute.gateway import account_rows

# Seconds between attempts to serve waiters; most calls take less.
WAITERS_PAUSE = 0.05

_Outcome = typing.TypeVar("_Outcome")

# Serves an account's waiters while the store does not answer; takes the reason.
ServeWaiters = abc.Callable[[account_rows.Account, str], abc.Awaitable[None]]


async def await_call(
    call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
    accounts: list[account_rows.Account],
    serve_waiters: ServeWaiters,
) -> _Outcome:
    """Await a call to the store; serve the accounts' waiters while it has no answer."""
    running = asyncio.create_task(call)
    try:
        while True:
            done, _ = await asyncio.wait([running], timeout=WAITERS_PAUSE)
            if done:
                return running.result()
            await serve_all(accounts, "the store has not answered yet", serve_waiters)
    finally:
        running.cancel()


async def serve_all(
    accounts: list[account_rows.Account], reason: str, serve_waiters: ServeWaiters
) -> None:
    """Serve the waiters of all accounts that have some."""
    for account in accounts:
        if account.open_waiters():
            await serve_waiters(account, reason)
