"""Gives outcomes to the requests that wait for an account's tokens."""

from dogwoodchute.gateway import account_rows, reservations


def grant(account: account_rows.Account, now: float) -> None:
    """Reserve tokens for waiters in order, up to the first that can't be covered."""
    for waiter in list(account.waiters):
        if waiter.done.done():
            account.waiters.remove(waiter)
            continue
        if not account.ledger.reserve(waiter.tokens, now):
            return
        account.waiters.remove(waiter)
        waiter.done.set_result(reservations.Reserved())


def refuse(
    account: account_rows.Account,
    waiter: account_rows.Waiter,
    outcome: reservations.ReserveOutcome,
) -> None:
    """Remove a waiter and give it an outcome without tokens."""
    account.waiters.remove(waiter)
    waiter.done.set_result(outcome)


def abandon(account: account_rows.Account, waiter: account_rows.Waiter) -> None:
    """Remove a waiter whose request has ended; free any tokens reserved for it."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)
    if not waiter.done.done():
        waiter.done.cancel()
    elif isinstance(waiter.done.result(), reservations.Reserved):
        account.ledger.settle(waiter.tokens, 0)
