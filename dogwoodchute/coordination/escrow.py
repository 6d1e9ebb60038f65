"""Escrow of a prepaid budget in one row: each host spends what it drew, from memory.

A row holds, for each holder, what it drew and what it is known to have spent, both
cumulative. Every commit keeps `drawn <= prepaid`, so the spend stays within the budget
whatever happens to holders and messages; no clock or lease takes part in the argument.

Holders may give tokens to one another. The giver counts them as gone before it sends
them, so a lost message wastes them; the sums over all holders stay right.

Source of the method: P. O'Neil, "The Escrow Transactional Method", ACM TODS 11, 1986.
"""

import typing


class Holding(typing.NamedTuple):
    """One holder's part of a row, in tokens; `commit` counts the holder's commits."""

    granted: int
    spent: int
    commit: int


class Row(typing.NamedTuple):
    """A client account's row. `closed` holders are gone; what they drew counts."""

    closed_granted: int = 0
    closed_spent: int = 0
    holdings: dict[str, Holding] = {}  # noqa: RUF012 - never changed in place

    @property
    def drawn(self) -> int:
        """Tokens that holders drew, net of returns."""
        return self.closed_granted + sum(h.granted for h in self.holdings.values())

    @property
    def spent(self) -> int:
        """Tokens that are known to be spent."""
        return self.closed_spent + sum(h.spent for h in self.holdings.values())


class Proposal(typing.NamedTuple):
    """A commit that is under way: the row as it would become."""

    row: Row
    holding: Holding


def to_plain(row: Row) -> dict:
    """Return the row as maps, lists and numbers."""
    held = {name: list(holding) for name, holding in row.holdings.items()}
    return {"closed": [row.closed_granted, row.closed_spent], "held": held}


def from_plain(plain: dict) -> Row:
    """Return the row of `to_plain`; raise `ValueError` if it is none."""
    try:
        granted, spent = (int(n) for n in plain["closed"])
        holdings = {}
        for name, numbers in plain["held"].items():
            holdings[str(name)] = Holding(*(int(n) for n in numbers))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an escrow row: {error!r}") from error
    return Row(granted, spent, holdings)


def close(row: Row, gone: set[str]) -> Row:
    """Return the row with the holdings of `gone` holders folded into one sum."""
    kept = {}
    granted, spent = row.closed_granted, row.closed_spent
    for name, holding in row.holdings.items():
        if name not in gone:
            kept[name] = holding
            continue
        granted += holding.granted
        spent += holding.spent
    return Row(granted, spent, kept)


class Ledger:
    """One client account's tokens on one host.

    `usable` is the least that the host may count on, whichever way a commit under way
    ends: a draw counts once it is confirmed, a return from the moment it is proposed.
    """

    def __init__(self, *, holder: str) -> None:
        self.holder = holder
        self.spent = 0  # cumulative
        self.reserved = 0  # by requests in flight
        self._moved = 0  # got from other hosts, less what was given; cumulative
        self._folded = 0  # drawn in holdings that others closed, cumulative
        self._granted = 0  # cumulative, as confirmed
        self._commits = 0
        self._pending: Proposal | None = None

    @property
    def usable(self) -> int:
        """Tokens that this host drew or got from others, cumulative."""
        granted = self._granted
        if self._pending is not None:
            granted = min(granted, self._folded + self._pending.holding.granted)
        return granted + self._moved

    @property
    def available(self) -> int:
        """Tokens that no request has reserved or spent."""
        return self.usable - self.spent - self.reserved

    @property
    def pending(self) -> Proposal | None:
        """The commit that is under way, None without one."""
        return self._pending

    def reserve(self, tokens: int) -> bool:
        """Reserve `tokens` if they are available; return whether they were."""
        if tokens > self.available:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of which `used` tokens were spent."""
        self.reserved -= reserved
        self.spent += min(used, reserved)

    def give(self, tokens: int) -> int:
        """Give up to `tokens` to another host; return how many are to be sent to it.

        They are gone from here even if they never arrive, so they can't be spent twice.
        """
        given = max(0, min(tokens, self.available))
        self._moved -= given
        return given

    def take(self, tokens: int) -> None:
        """Take in tokens that another host gave, once for each answer of it."""
        self._moved += tokens

    def propose(
        self, row: Row, *, prepaid: int | None, draw: int, gone: set[str]
    ) -> Proposal | None:
        """Begin a commit that draws `draw` tokens, or returns them if negative.

        Return None if the budget does not allow it or a commit is under way.
        """
        if self._pending is not None:
            return None
        base = close(row, gone - {self.holder})
        if draw > 0 and prepaid is not None and base.drawn + draw > prepaid:
            return None
        if draw < -max(0, self.available):
            return None
        self._commits += 1
        holding = Holding(
            granted=self._granted - self._folded + draw,
            spent=max(0, self.spent - self._folded),
            commit=self._commits,
        )
        holdings = {**base.holdings, self.holder: holding}
        self._pending = Proposal(base._replace(holdings=holdings), holding)
        return self._pending

    def observe(self, row: Row) -> bool:
        """Take in a row read after a commit ended; return whether that one is in it.

        The row's version must have moved past the one that the commit checked, so that
        a copy still under way can't apply.
        """
        held = row.holdings.get(self.holder)
        applied = self._pending is not None and held == self._pending.holding
        if applied:
            self._granted = self._folded + self._pending.holding.granted
        self._pending = None
        if held is None:
            # Another host took this one for gone; what it drew stays drawn.
            self._folded = self._granted
        return applied

    def cancel(self) -> None:
        """Forget a commit that certainly had no effect."""
        self._pending = None
