"""Grants: the part of a prepaid budget that one host may spend from memory."""

from typing import NamedTuple


class Balance(NamedTuple):
    """A client account's budget row, in tokens."""

    paid: int
    drawn: int


class Ledger:
    """One client account's grant on this host, in tokens.

    Keeps `billed + reserved <= granted` at all times.
    """

    def __init__(self, *, granted: int = 0, billed: int = 0) -> None:
        self.granted = granted
        self.billed = billed
        self.reserved = 0

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        return self.granted - self.billed - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Reserve `tokens`; return whether the grant covers them."""
        if tokens > self.available:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> int:
        """End a reservation, bill what was used of it, and return the billed part."""
        billed = min(used, reserved)
        self.reserved -= reserved
        self.billed += billed
        return billed


def draw_size(balance: Balance, needed: int, wanted: int) -> int:
    """Return how many tokens to draw, 0 if the budget does not cover `needed`."""
    remaining = balance.paid - balance.drawn
    if needed > remaining:
        return 0
    return min(remaining, max(needed, wanted, remaining // 16))
