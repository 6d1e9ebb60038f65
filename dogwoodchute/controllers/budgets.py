"""Tops up client accounts' budgets and reports the state of each budget."""

import dataclasses
import typing

from dogwoodchute import clock, log, state
from dogwoodchute.coordination import grants, rows
from dogwoodchute.platform import table

MAX_TRIES = 20  # of a top-up that races with draws
CACHE_SECONDS = 1.0  # for which a budget read for a caller is cached
MAX_CACHED = 10_000  # balances


class Holding(typing.NamedTuple):
    """A host process's grant, in tokens."""

    incarnation: str
    granted: int
    billed: int
    closed: bool


class Budget(typing.NamedTuple):
    """One client account's budget, in tokens."""

    account: str
    paid: int
    drawn: int
    billed: int
    holdings: tuple[Holding, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ToppedUp:
    """The top-up counts; `repeated` if an earlier call with its id had counted."""

    paid: int
    repeated: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mismatch:
    """The id was used before for another number of tokens."""

    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnknownAccount:
    """No budget has this name."""

    account: str


class Budgets:
    """The operations of operators and callers on budgets."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._cached: dict[str, tuple[float, Budget]] = {}

    async def top_up(
        self, account: str, top_up_id: str, tokens: int
    ) -> ToppedUp | Mismatch | UnknownAccount | table.Unavailable:
        """Add `tokens` to the paid tokens, once for each `top_up_id`.

        After `Unavailable` the top-up may still count; a repeat with the same id shows
        whether it did.
        """
        budget_key = rows.budget(account)
        key = rows.top_up(account, top_up_id)
        for _ in range(MAX_TRIES):
            found = await self._host.store.read([budget_key, key])
            if isinstance(found, table.Unavailable):
                return found
            row = found.rows.get(budget_key)
            if row is None:
                return UnknownAccount(account=account)
            balance = grants.balance_of(row.value)
            if key in found.rows:
                counted_tokens = found.rows[key].value["tokens"]
                if counted_tokens != tokens:
                    return Mismatch(tokens=counted_tokens)
                return ToppedUp(paid=balance.paid, repeated=True)
            topped_up = grants.top_up(balance, tokens)
            outcome = await self._host.store.commit(
                table.new_commit_id(self._host.rng),
                [table.Check(key, 0), table.Check(budget_key, row.version)],
                [
                    table.Write(key, {"tokens": tokens, "at": clock.wall()}),
                    table.Write(budget_key, grants.balance_value(topped_up)),
                ],
            )
            if isinstance(outcome, table.Committed):
                log.info("topped_up", account=account, id=top_up_id, tokens=tokens)
                return ToppedUp(paid=topped_up.paid, repeated=False)
            if isinstance(outcome, table.Unavailable | table.Unknown):
                return table.Unavailable(reason=outcome.reason, peer=outcome.peer)
        return table.Unavailable(reason="too many racing draws; send it again")

    async def show(self, account: str) -> Budget | UnknownAccount | table.Unavailable:
        """Return the paid, drawn and billed tokens, and the grants of all hosts."""
        found = await self._host.store.scan(rows.grant(account, ""))
        if isinstance(found, table.Unavailable):
            return found
        keys = [rows.budget(account), *found.rows]
        found = await self._host.store.read(keys)
        if isinstance(found, table.Unavailable):
            return found
        row = found.rows.pop(rows.budget(account), None)
        if row is None:
            return UnknownAccount(account=account)
        balance = grants.balance_of(row.value)
        holdings = []
        for key, grant_row in sorted(found.rows.items()):
            incarnation = key.removeprefix(rows.grant(account, ""))
            holdings.append(Holding(incarnation, *grants.grant_of(grant_row.value)))
        billed = balance.closed_billed + sum(h.billed for h in holdings)
        return Budget(account, balance.paid, balance.drawn, billed, tuple(holdings))

    async def show_cached(
        self, account: str
    ) -> Budget | UnknownAccount | table.Unavailable:
        """Return what `show` does, at most `CACHE_SECONDS` old, for callers."""
        now = self._host.now()
        cached = self._cached.get(account)
        if cached is not None and now - cached[0] < CACHE_SECONDS:
            return cached[1]
        found = await self.show(account)
        if isinstance(found, Budget):
            if len(self._cached) >= MAX_CACHED:
                self._cached.clear()
            self._cached[account] = (now, found)
        return found

    async def paid_and_drawn(
        self, accounts: list[str]
    ) -> dict[str, grants.Balance] | table.Unavailable:
        """Return the balances of some accounts in one read."""
        found = await self._host.store.read([rows.budget(name) for name in accounts])
        if isinstance(found, table.Unavailable):
            return found
        balances = {}
        for name in accounts:
            row = found.rows.get(rows.budget(name))
            if row is not None:
                balances[name] = grants.balance_of(row.value)
        return balances
