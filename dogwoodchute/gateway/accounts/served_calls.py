"""Calls to the store that serve waiting requests while no answer has come."""

import asyncio
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway.accounts import account_rows

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
    """Await a call to the store; serve the accounts' waiters while it has no answer.

    The answer is returned as soon as it comes. Other hosts that are asked for tokens
    meanwhile may not answer for seconds.
    """
    running = asyncio.create_task(call)
    try:
        while True:
            done, _ = await asyncio.wait([running], timeout=WAITERS_PAUSE)
            if done:
                return running.result()
            start_serving(accounts, "the store has not answered yet", serve_waiters)
    finally:
        running.cancel()


def start_serving(
    accounts: list[account_rows.Account], reason: str, serve_waiters: ServeWaiters
) -> None:
    """Begin to serve the waiters of accounts, unless that is under way already."""
    for account in accounts:
        is_serving = account.serving is not None and not account.serving.done()
        if account.open_waiters() and not is_serving:
            account.serving = asyncio.create_task(
                _serve(account, reason, serve_waiters)
            )


async def serve_all(
    accounts: list[account_rows.Account], reason: str, serve_waiters: ServeWaiters
) -> None:
    """Serve the waiters of all accounts that have some; return once that is done."""
    start_serving(accounts, reason, serve_waiters)
    serving = [each.serving for each in accounts if each.serving is not None]
    if serving:
        await asyncio.wait(serving)


async def _serve(
    account: account_rows.Account, reason: str, serve_waiters: ServeWaiters
) -> None:
    try:
        await serve_waiters(account, reason)
    except Exception:
        log.exception("serving_waiters_failed", account=account.name)
