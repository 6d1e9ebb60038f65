"""Ends the waits of requests for an account's tokens."""

from dogwoodchute.gateway import account_rows, reservations


def grant(account: account_rows.Account, now: float) -> None:
    """Reserve for the waiters that the ledger covers at `now`, in their order."""
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
    """End a wait without tokens."""
    account.waiters.remove(waiter)
    waiter.done.set_result(outcome)


def end(account: account_rows.Account, waiter: account_rows.Waiter) -> None:
    """End a wait whose request has gone; free what was reserved just as it ended."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)
    if not waiter.done.done():
        waiter.done.cancel()
    elif isinstance(waiter.done.result(), reservations.Reserved):
        account.ledger.settle(waiter.tokens, 0)
