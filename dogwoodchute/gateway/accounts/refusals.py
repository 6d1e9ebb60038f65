"""Refusals of requests for tokens: when to retry, and what is logged."""

import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway.accounts import account_rows, reservations

SHORTAGE_SECONDS = 0.3  # in which requests as large as a refused one are refused too
# The same for a budget that is used up, as long as its total stays the same.
EXHAUSTED_SECONDS = 1.0


class Shortage(typing.NamedTuple):
    """How requests of at least `tokens` end until a monotonic time in seconds."""

    until: float
    tokens: int
    outcome: reservations.ReserveOutcome
    prepaid: int | None  # the account's total at that time


class Shortages:
    """The latest refusal of each account, reused for requests shortly after it."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._latest: dict[str, Shortage] = {}  # by account

    def recent(
        self, account: str, tokens: int, *, prepaid: int | None
    ) -> reservations.ReserveOutcome | None:
        """Return the outcome of a recent refusal that also covers `tokens`, if any."""
        latest = self._latest.get(account)
        if latest is None or self._now() >= latest.until or tokens < latest.tokens:
            return None
        return latest.outcome if latest.prepaid == prepaid else None

    def record(
        self,
        account: str,
        tokens: int,
        outcome: reservations.ReserveOutcome,
        *,
        prepaid: int | None,
    ) -> None:
        """Record that a request for `tokens` was refused."""
        is_exhausted = isinstance(outcome, reservations.Exhausted)
        seconds = EXHAUSTED_SECONDS if is_exhausted else SHORTAGE_SECONDS
        until = self._now() + seconds
        self._latest[account] = Shortage(until, tokens, outcome, prepaid)

    def record_if_none(
        self,
        account: str,
        tokens: int,
        outcome: reservations.ReserveOutcome,
        *,
        prepaid: int | None,
    ) -> None:
        """Record a refusal unless an earlier one is still in force."""
        latest = self._latest.get(account)
        if latest is None or latest.until < self._now():
            self.record(account, tokens, outcome, prepaid=prepaid)


def out_of_reach(
    account: account_rows.Account, tokens: int, reason: str, *, now: float
) -> reservations.OutOfReach:
    """Return a refusal that says when to retry."""
    usable_in = 0.0
    if account.ledger.idle >= tokens:
        usable_in = account.ledger.usable_at(tokens) - now
    return reservations.OutOfReach(
        reason=reason, retry_after=reservations.retry_after(usable_in=usable_in)
    )


def log_refusal(
    account: account_rows.Account,
    tokens: int,
    outcome: reservations.ReserveOutcome,
    *,
    requested_at: float,
    unavailable_at: float,
    now: float,
) -> None:
    """Log why a request got no tokens, and the age of the data behind the refusal.

    All times are monotonic seconds: `requested_at` is when the request came,
    `unavailable_at` when the store last did not answer.
    """
    ledger = account.ledger
    ages = {
        "waited": now - requested_at,
        "rows_age": now - account.read_at if account.read_at is not None else None,
        "commit_age": now - ledger.sent_at(),
        "home_age": now - account.home_gave_none_at,
        "asked_age": now - account.none_given_at,
        "away_age": now - unavailable_at,
    }
    log.info(
        "reserve_refused",
        account=account.name,
        tokens=tokens,
        reason=getattr(outcome, "reason", "exhausted"),
        idle=ledger.idle,
        available=ledger.available(now),
        drawn=account.row.drawn,
        waiting=len(account.waiters),
        pending=ledger.pending is not None,
        **{name: f"{age:.2f}" for name, age in ages.items() if age is not None},
    )
