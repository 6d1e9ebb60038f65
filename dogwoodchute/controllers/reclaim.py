"""Closes the grants of lost host processes and returns their unspent tokens."""

from collections import abc

from dogwoodchute import clock, controller, log, metrics_money as metrics, state
from dogwoodchute.controllers import account_grants, copies, grants
from dogwoodchute.coordination import (
    bills as pure_bills,
    grants as pure_grants,
    reclaim,
    rows,
)
from dogwoodchute.platform import table, table_client

MAX_TRIES = 8
MAX_BILLS = 100  # pending bills written with one closing commit
CHECK_INTERVAL = 60.0  # seconds between two regular checks of one account's grants
SPENT_INTERVAL = 5.0  # seconds between two checks while the account's budget is spent
KEEP_CLOSED = 86_400.0  # seconds that a closed grant's row is kept


class Reclaimer:
    """Checks the grants of other hosts, and closes those of lost ones."""

    def __init__(
        self,
        *,
        host: state.HostState,
        grant_controller: grants.Grants,
        bill_copies: copies.Copies,
        wall: abc.Callable[[], float] = clock.wall,
    ) -> None:
        self._host = host
        self._grants = grant_controller
        self._copies = bill_copies
        self._wall = wall
        self._checked_at: dict[str, float] = {}
        self._held_by_others: dict[str, int] = {}
        grant_controller.reclaim_lost = self.reclaim_if_due

    async def reclaim_if_due(self, account: str) -> account_grants.ReclaimResult:
        """Close the account's lost grants, unless that was done a few seconds ago.

        For a request that the budget does not cover.
        """
        last = self._checked_at.get(account)
        if last is not None and self._host.now() - last < SPENT_INTERVAL:
            return account_grants.ReclaimResult(0, self._held_by_others.get(account, 0))
        return await self.check(account)

    async def step(self) -> None:
        """Check the account that is due and whose last check is the longest ago.

        Only accounts that this host has served are checked.
        """
        due = self._host.now() - CHECK_INTERVAL
        oldest = None
        for account in self._grants.accounts:
            last = self._checked_at.get(account, float("-inf"))
            if last <= due and (oldest is None or last < oldest[0]):
                oldest = (last, account)
        if oldest is not None:
            await self.check(oldest[1])

    async def check(self, account: str) -> account_grants.ReclaimResult:
        """Close the account's lost grants, and add up what other hosts hold."""
        self._checked_at[account] = self._host.now()
        prefix = rows.grant(account, "")
        found = await self._host.store.scan(prefix)
        if isinstance(found, table.Unavailable):
            return account_grants.ReclaimResult(0, self._held_by_others.get(account, 0))
        others = {}
        for key, row in found.rows.items():
            incarnation = key.removeprefix(prefix)
            if incarnation != self._host.incarnation:
                others[incarnation] = row
        evidence = await self._evidence(others)
        returned = held = 0
        for incarnation, row in others.items():
            if row.value.get("closed"):
                await self._purge(account, row)
                continue
            if reclaim.is_gone(incarnation, row.value.get("listed"), evidence):
                returned += await self._close(account, incarnation, row)
                continue
            held += pure_grants.grant_of(row.value).unspent
        self._held_by_others[account] = held
        return account_grants.ReclaimResult(returned, held)

    def controller(self) -> controller.Controller:
        """Return the controller that checks for lost grants."""
        interval = self._host.config.budget.reclaim_interval
        return controller.periodic("reclaim", self.step, interval=interval)

    async def _evidence(self, incarnations: abc.Iterable[str]) -> reclaim.Evidence:
        listed = self._host.host_list
        hosts = sorted({reclaim.host_of(name) for name in incarnations})
        registered = None
        found = await self._host.store.read([rows.host(name) for name in hosts])
        if isinstance(found, table.Rows):
            prefix = rows.host("")
            registered = {
                key.removeprefix(prefix): row.value["incarnation"]
                for key, row in found.rows.items()
            }
        known = self._host.peers.known()
        return reclaim.Evidence(
            revision=listed.revision if listed is not None else 0,
            listed=frozenset(listed.hosts) if listed is not None else None,
            registered=registered,
            alive=frozenset(peer.incarnation for peer in known if peer.alive),
        )

    async def _close(self, account: str, incarnation: str, row: table.Row) -> int:
        budget_key = rows.budget(account)
        held = await self._copies.pending_bills_of(incarnation)
        pending = [copy for copy in held if copy.entry.account == account]
        budget = await self._read_budget(account, row)
        for _ in range(MAX_TRIES):
            if budget is None:
                return 0
            grant = pure_grants.grant_of(row.value)
            chosen = _covered_bills(pending, grant.unspent)
            checks, writes = self._closing_commit(row, grant, budget, chosen)
            outcome = await self._host.definite_store.commit(
                table.new_commit_id(self._host.rng), checks, writes
            )
            if isinstance(outcome, table.Committed):
                billed = sum(copy.entry.tokens for copy in chosen)
                metrics.RECLAIMED.inc()
                metrics.BILLED.inc(billed)
                log.info(
                    "grant_reclaimed",
                    account=account,
                    incarnation=incarnation,
                    returned=grant.unspent - billed,
                    billed=billed,
                )
                return grant.unspent - billed
            if isinstance(outcome, table.Unavailable) or row.key in outcome.rows:
                return 0
            budget = outcome.rows.get(budget_key, budget)
            pending = [copy for copy in pending if not _is_ruled_out(copy, outcome)]
        return 0

    async def _read_budget(self, account: str, row: table.Row) -> table.Row | None:
        """Return the budget row as of a moment at which the grant row was `row`.

        None if the store does not answer or the grant row has changed since.
        """
        key = rows.budget(account)
        found = await self._host.store.read([key, row.key])
        if isinstance(found, table.Unavailable):
            return None
        current = found.rows.get(row.key)
        if current is None or current.version != row.version:
            return None
        return found.rows.get(key)

    def _closing_commit(
        self,
        row: table.Row,
        grant: pure_grants.Grant,
        budget: table.Row,
        chosen: list[copies.Copy],
    ) -> tuple[list[table.Check], list[table.Write]]:
        billed = sum(copy.entry.tokens for copy in chosen)
        balance = pure_grants.balance_of(budget.value)
        balance, closed = pure_grants.close(balance, grant, billed)
        value = pure_grants.grant_value(closed)
        value[table_client.AFTER] = row.commit_id
        value["closed_at"] = self._wall()
        checks = [
            table.Check(row.key, row.version),
            table.Check(budget.key, budget.version),
        ]
        writes = [
            table.Write(row.key, value),
            table.Write(budget.key, pure_grants.balance_value(balance)),
        ]
        for copy in chosen:
            checks += [table.Check(copy.key, 0), *copy.checks]
            writes.append(table.Write(copy.key, pure_bills.bill_value(copy.entry)))
            writes += copy.writes
        return checks, writes

    async def _purge(self, account: str, row: table.Row) -> None:
        """Delete a closed grant's row once no writer can still depend on it."""
        if self._wall() - row.value["closed_at"] < KEEP_CLOSED:
            return
        budget = await self._read_budget(account, row)
        if budget is None:
            return
        balance = pure_grants.retire(
            pure_grants.balance_of(budget.value), pure_grants.grant_of(row.value)
        )
        await self._host.definite_store.commit(
            table.new_commit_id(self._host.rng),
            [
                table.Check(row.key, row.version),
                table.Check(budget.key, budget.version),
            ],
            [
                table.Write(row.key, None),
                table.Write(budget.key, pure_grants.balance_value(balance)),
            ],
        )


def _covered_bills(pending: list[copies.Copy], unspent: int) -> list[copies.Copy]:
    """Return the pending bills that one closing commit can write.

    `unspent` are the tokens of the grant that can still be billed.
    """
    chosen = []
    for copy in pending[:MAX_BILLS]:
        if copy.entry.tokens <= unspent:
            unspent -= copy.entry.tokens
            chosen.append(copy)
    return chosen


def _is_ruled_out(copy: copies.Copy, conflict: table.Conflict) -> bool:
    """Return whether a conflict proves that a pending bill can't be written."""
    if copy.key in conflict.rows:
        return True
    return any(check.key in conflict.rows for check in copy.checks)
