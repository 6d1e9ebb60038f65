"""Refusals of requests for tokens: when to try again, and what the log tells."""

import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import account_rows, reservations

SHORTAGE = 0.3  # seconds for which requests as large as one refused are refused too


class Shortage(typing.NamedTuple):
    """How requests of at least `tokens` end until a monotonic time in seconds."""

    until: float
    tokens: int
    outcome: reservations.ReserveOutcome


class Shortages:
    """The latest refusal of each account, which answers for those just after it."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._latest: dict[str, Shortage] = {}  # by account

    def find(self, account: str, tokens: int) -> reservations.ReserveOutcome | None:
        """Return how a request for `tokens` ends at once, None if it is to be tried."""
        known = self._latest.get(account)
        if known is None or self._now() >= known.until or tokens < known.tokens:
            return None
        return known.outcome

    def note(
        self, account: str, tokens: int, outcome: reservations.ReserveOutcome
    ) -> None:
        """Take in that a request for `tokens` was refused."""
        self._latest[account] = Shortage(self._now() + SHORTAGE, tokens, outcome)

    def note_first(
        self, account: str, tokens: int, outcome: reservations.ReserveOutcome
    ) -> None:
        """Take in a refusal unless an earlier one still holds."""
        known = self._latest.get(account)
        if known is None or known.until < self._now():
            self.note(account, tokens, outcome)


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
    began: float,
    away_at: float,
    now: float,
) -> None:
    """Log why a request got no tokens, and how old what was known is.

    The request came at the monotonic time `began`; at `away_at` the store last had no
    answer.
    """
    ledger = account.ledger
    ages = {
        "waited": now - began,
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
