"""Draws grants from client accounts' budgets and lends them to requests."""

import asyncio
import dataclasses
import secrets

from dogwoodchute import state
from dogwoodchute.coordination import grants, rows
from dogwoodchute.platform import table

MAX_DRAW_TRIES = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are set aside on this host."""

    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Spent:
    """The budget does not cover the tokens."""

    remaining: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutOfReach:
    """The grant is used up and the budget can't be reached."""

    reason: str
    peer: str | None = None


class Grants:
    """The grants of this host by client account."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._ledgers: dict[str, grants.Ledger] = {}
        self._versions: dict[str, int] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def ledger(self, account: str) -> grants.Ledger:
        """Return the account's ledger on this host."""
        return self._ledgers.setdefault(account, grants.Ledger())

    def row(self, account: str) -> tuple[str, int]:
        """Return the key of the account's grant row and the version last written."""
        key = rows.grant(account, self._host.incarnation)
        return key, self._versions.get(account, 0)

    def wrote(self, account: str, version: int) -> None:
        """Record the version of the grant row after a commit."""
        self._versions[account] = version

    def lock(self, account: str) -> asyncio.Lock:
        """Return the lock that orders this host's writes of the account's grant."""
        return self._locks.setdefault(account, asyncio.Lock())

    async def reserve(self, account: str, tokens: int) -> Reserved | Spent | OutOfReach:
        """Set `tokens` aside for a request, drawing from the budget as needed."""
        ledger = self.ledger(account)
        if ledger.reserve(tokens):
            return Reserved(tokens=tokens)
        async with self.lock(account):
            if ledger.reserve(tokens):
                return Reserved(tokens=tokens)
            failure = await self._draw(account, tokens - ledger.available)
        if failure is not None:
            return failure
        if not ledger.reserve(tokens):
            return Spent(remaining=ledger.available)
        return Reserved(tokens=tokens)

    async def _draw(self, account: str, needed: int) -> Spent | OutOfReach | None:
        ledger = self.ledger(account)
        budget_key = rows.budget(account)
        grant_key, grant_version = self.row(account)
        for _ in range(MAX_DRAW_TRIES):
            found = await self._host.store.read([budget_key])
            if isinstance(found, table.Unavailable):
                return OutOfReach(reason=found.reason, peer=found.peer)
            row = found.rows.get(budget_key)
            if row is None:
                return Spent(remaining=0)
            balance = grants.Balance(row.value["paid"], row.value["drawn"])
            size = grants.draw_size(balance, needed, needed)
            if size == 0:
                return Spent(remaining=balance.paid - balance.drawn)
            granted = ledger.granted + size
            value = {"granted": granted, "billed": ledger.billed, "closed": False}
            outcome = await self._host.store.commit(
                secrets.token_hex(8),
                [
                    table.Check(budget_key, row.version),
                    table.Check(grant_key, grant_version),
                ],
                [
                    table.Write(
                        budget_key, {**row.value, "drawn": balance.drawn + size}
                    ),
                    table.Write(grant_key, value),
                ],
            )
            if isinstance(outcome, table.Conflict):
                continue
            if not isinstance(outcome, table.Committed):
                return OutOfReach(reason=outcome.reason, peer=outcome.peer)
            self.wrote(account, outcome.versions[grant_key])
            ledger.granted = granted
            return None
        return OutOfReach(reason="too many racing draws")
