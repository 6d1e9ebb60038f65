"""Refusals of requests for tokens: when to try again, and what the log tells."""

from dogwoodchute import log
from dogwoodchute.gateway import account_rows, reservations


def out_of_reach(
    account: account_rows.Account, tokens: int, reason: str, *, now: float
) -> reservations.OutOfReach:
    """Return a refusal that says when to try again."""
    usable_in = 0.0
    if account.ledger.idle >= tokens:
        usable_in = account.ledger.usable_at(tokens) - now
    return reservations.OutOfReach(
        reason=reason, retry_after=reservations.retry_after(usable_in=usable_in)
    )


def note(
    account: account_rows.Account,
    tokens: int,
    outcome: reservations.ReserveOutcome,
    *,
    waited: float,
    away_at: float,
    now: float,
) -> None:
    """Log why a request got no tokens, and how old what was known is.

    `away_at` is the monotonic time at which the store last had no answer.
    """
    ledger = account.ledger
    ages = {
        "waited": waited,
        "rows_age": now - account.read_at if account.read_at is not None else None,
        "commit_age": now - ledger.sent_at(),
        "home_age": now - account.home_failed_at,
        "asked_age": now - account.asked_in_vain_at,
        "away_age": now - away_at,
    }
    log.info(
        "reserve_refused",
        account=account.name,
        tokens=tokens,
        reason=getattr(outcome, "reason", "exhausted"),
        idle=ledger.idle,
        available=ledger.available(now),
        drawn=account.shared.drawn,
        waiting=len(account.waiters),
        pending=ledger.pending is not None,
        **{name: f"{age:.2f}" for name, age in ages.items() if age is not None},
    )
