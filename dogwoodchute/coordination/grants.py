"""Grants: the part of a prepaid budget that one host may spend from memory.

Every commit keeps these invariants of the rows:

- `drawn <= paid` in each budget and `billed <= granted` in each grant;
- `drawn` = `closed_billed` + the sum of `granted` over the account's grant rows;
- all billed tokens = `closed_billed` + the sum of `billed` over the grant rows.

Source of the method: P. O'Neil, "The Escrow Transactional Method", ACM TODS 11, 1986.
"""

import typing

# Key in the value of a closed grant's row: the id of the holder's commit that the
# closing commit replaced.
AFTER = "after"


class Balance(typing.NamedTuple):
    """A client account's budget row, in tokens."""

    paid: int  # cumulative
    drawn: int  # cumulative, net of returns
    closed_billed: int = 0  # billed in grants whose rows were deleted

    @property
    def remaining(self) -> int:
        """Tokens that may still be drawn."""
        return self.paid - self.drawn


class Grant(typing.NamedTuple):
    """A grant row, in tokens."""

    granted: int
    billed: int
    closed: bool = False

    @property
    def unspent(self) -> int:
        """Tokens that may still be billed."""
        return self.granted - self.billed


class InvariantError(Exception):
    """A change would spend more tokens than were paid for; it must not be written."""


def balance_of(value: dict) -> Balance:
    """Return the balance in the value of a budget row."""
    return Balance(value["paid"], value["drawn"], value.get("closed_billed", 0))


def balance_value(balance: Balance) -> dict:
    """Return the value of a budget row.

    Raises `InvariantError` if the balance breaks an invariant of the budget.
    """
    if not 0 <= balance.closed_billed <= balance.drawn <= balance.paid:
        raise InvariantError(f"budget would become {balance}")
    return balance._asdict()


def grant_of(value: dict) -> Grant:
    """Return the grant in the value of a grant row."""
    return Grant(value["granted"], value["billed"], value.get("closed", False))


def grant_value(grant: Grant) -> dict:
    """Return the value of a grant row.

    Raises `InvariantError` if the grant breaks an invariant of grants.
    """
    if not 0 <= grant.billed <= grant.granted:
        raise InvariantError(f"grant would become {grant}")
    return grant._asdict()


def top_up(balance: Balance, tokens: int) -> Balance:
    """Return the balance after a top-up."""
    return balance._replace(paid=balance.paid + tokens)


def draw(balance: Balance, grant: Grant, tokens: int) -> tuple[Balance, Grant]:
    """Move `tokens` from the budget to the grant, or back if negative."""
    return (
        balance._replace(drawn=balance.drawn + tokens),
        grant._replace(granted=grant.granted + tokens, closed=False),
    )


def close(balance: Balance, grant: Grant, billed: int) -> tuple[Balance, Grant]:
    """Bill `billed` more tokens of a lost grant and return its unspent tokens.

    Raises `InvariantError` if the grant does not have that many tokens left.
    """
    total = grant.billed + billed
    closed = Grant(total, total, closed=True)
    if total > grant.granted:
        raise InvariantError(f"{billed} more tokens billed to {grant}")
    return balance._replace(drawn=balance.drawn - grant.granted + total), closed


def retire(balance: Balance, grant: Grant) -> Balance:
    """Return the balance after the grant's row is deleted."""
    return balance._replace(
        drawn=balance.drawn - grant.unspent,
        closed_billed=balance.closed_billed + grant.billed,
    )


class Ledger:
    """One client account's grant on this host, in tokens.

    `granted` and `billed` are as in the row. `unbilled` tokens were used, but are not
    in a durable bill yet; `reserved` tokens are set aside for requests in flight.
    `available` falls below 0 only if the grant was lost.
    """

    def __init__(self) -> None:
        self.granted = 0
        self.billed = 0
        self.unbilled = 0
        self.reserved = 0

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        return self.granted - self.billed - self.unbilled - self.reserved

    @property
    def grant(self) -> Grant:
        """The grant row to write for this host."""
        return Grant(self.granted, self.billed)

    def reserve(self, tokens: int) -> bool:
        """Reserve `tokens`; return whether the grant covers them."""
        if tokens > self.available:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> int:
        """End a reservation and return how many tokens of it are to be billed."""
        unbilled = max(0, min(used, reserved))
        self.reserved -= reserved
        self.unbilled += unbilled
        return unbilled

    def confirm(self, tokens: int) -> None:
        """Record that `tokens` unbilled tokens are in a durable bill of this grant."""
        self.unbilled -= tokens
        self.billed += tokens

    def drop(self, tokens: int) -> None:
        """Drop `tokens` unbilled tokens, which another host bills or nobody does."""
        self.unbilled -= tokens

    def replace(self, grant: Grant) -> None:
        """Adopt a row that another writer wrote; keep unbilled and reserved tokens."""
        self.granted = grant.granted
        self.billed = grant.billed
