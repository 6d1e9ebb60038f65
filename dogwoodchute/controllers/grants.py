"""Draws grants from client accounts' budgets and reserves their tokens for requests.

A grant is the part of an account's budget that one host process may spend without
asking the store. Drawing moves tokens from the budget row to the host's grant row.
"""

import asyncio
from collections import abc

from dogwoodchute import controller, log, metrics_money as metrics, state
from dogwoodchute.controllers import account_grants
from dogwoodchute.coordination import backoff, grants, rows, sizing
from dogwoodchute.platform import table

MAX_DRAW_TRIES = 8
CONFLICT_BACKOFF = 0.01  # seconds
CONFLICT_BACKOFF_LIMIT = 0.2  # seconds
RETURN_INTERVAL = 5.0  # seconds

# Closes grants of lost hosts of an account.
ReclaimLost = abc.Callable[[str], abc.Awaitable[account_grants.ReclaimResult]]


class Grants:
    """The grants of this host by client account."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._accounts: dict[str, account_grants.AccountState] = {}
        self._listed_revision: int | None = None
        self.reclaim_lost: ReclaimLost | None = None
        self.recall: abc.Callable[[str], abc.Awaitable[int]] | None = None

    @property
    def accounts(self) -> list[str]:
        """The names of the accounts that this host has served."""
        return list(self._accounts)

    def account(self, name: str) -> account_grants.AccountState:
        """Return the account's state on this host."""
        return self._accounts.setdefault(name, account_grants.AccountState())

    def ledger(self, account: str) -> grants.Ledger:
        """Return the account's ledger on this host."""
        return self.account(account).ledger

    def row_key(self, account: str) -> str:
        """Return the key of this host's grant row of the account."""
        return rows.grant(account, self._host.incarnation)

    def row_value(self, grant: grants.Grant) -> dict:
        """Return the value of a grant row of this host.

        `listed` is the last revision of the host list that named this host.
        """
        listed = self._host.host_list
        if listed is not None and self._host.config.host.id in listed.hosts:
            self._listed_revision = listed.revision
        return {**grants.grant_value(grant), "listed": self._listed_revision}

    async def reserve(self, account: str, tokens: int) -> account_grants.Reservation:
        """Reserve `tokens` for a request, drawing from the budget as needed.

        Waits for a draw at most the settings' `draw_timeout`.
        """
        account_state = self.account(account)
        account_state.last_used = self._host.now()
        if not account_state.waiters and account_state.ledger.reserve(tokens):
            return account_grants.Reserved(tokens=tokens)
        result = asyncio.get_running_loop().create_future()
        waiter = account_grants.Waiter(tokens, result)
        account_state.waiters.append(waiter)
        if account_state.drawing is None or account_state.drawing.done():
            account_state.drawing = asyncio.create_task(self._draw_for_waiters(account))
        timeout = self._host.config.budget.draw_timeout
        await asyncio.wait({waiter.result}, timeout=timeout)
        if waiter.result.done():
            return waiter.result.result()
        waiter.result.cancel()
        account_state.waiters.remove(waiter)
        return account_grants.OutOfReach(reason=f"no draw in {timeout} s")

    def settle(self, account: str, reserved: int, used: int) -> int:
        """End a reservation and return how many tokens of it are to be billed."""
        account_state = self.account(account)
        unbilled = account_state.ledger.settle(reserved, used)
        account_state.demand.record_use(self._host.now(), unbilled)
        account_state.last_used = self._host.now()
        return unbilled

    async def draw(
        self, account: str, needed: abc.Callable[[], int]
    ) -> account_grants.Spent | account_grants.OutOfReach | None:
        """Draw at least `needed()` tokens; return None once the need is met.

        The caller holds the account's lock. `needed` is called before each attempt,
        since a lost grant raises the need.
        """
        account_state = self.account(account)
        budget_key = rows.budget(account)
        budget_is_fresh = False
        for attempt in range(1, MAX_DRAW_TRIES + 1):
            if account_state.budget is None:
                failure = await self._read_rows(account)
                if failure is not None:
                    return _out_of_reach(failure)
                budget_is_fresh = True
            if account_state.budget is None:
                return account_grants.Spent(remaining=0)
            if needed() <= 0:
                return None
            balance = grants.balance_of(account_state.budget.value)
            size = self._draw_size(account_state, balance, needed())
            if size == 0 and budget_is_fresh:
                return account_grants.Spent(remaining=balance.remaining)
            if size == 0:
                account_state.budget = None
                continue
            outcome = await self._transfer(account, size)
            if isinstance(outcome, table.Committed):
                return None
            if not isinstance(outcome, table.Conflict):
                return _out_of_reach(outcome)
            budget_is_fresh = budget_key in outcome.rows
            await self._pause(attempt)
        return account_grants.OutOfReach(reason="too many racing draws")

    def replace_lost_grant(self, account: str, row: table.Row | None) -> None:
        """Adopt this host's grant row as another host left it.

        Another host closes the grant of a process that is certainly gone, as far as
        the other host can tell. `row` is None if the row was deleted.
        """
        account_state = self.account(account)
        grant = grants.grant_of(row.value) if row is not None else grants.Grant(0, 0)
        metrics.LOST_GRANTS.inc()
        log.warning(
            "grant_lost",
            account=account,
            granted=account_state.ledger.granted,
            billed=grant.billed,
            owed=account_state.ledger.unbilled + account_state.ledger.reserved,
        )
        account_state.version = row.version if row is not None else 0
        account_state.ledger.replace(grant)
        account_state.budget = None

    async def adjust_idle(self) -> None:
        """Return tokens that the expected use does not need, or refill the grant."""
        for name, account_state in list(self._accounts.items()):
            if account_state.lock.locked() or account_state.waiters:
                continue
            now = self._host.now()
            size = sizing.return_size(
                available=account_state.ledger.available,
                reserved=account_state.ledger.reserved,
                rate=account_state.demand.rate(now),
                horizon=self._host.config.budget.horizon,
                idle=now - account_state.last_used,
            )
            if size > 0:
                await self._return_tokens(name, size)
            elif now >= account_state.scarce_until and not self._host.draining:
                await self._refill(name)

    def mark_scarce(self, account: str) -> None:
        """Suspend refills, since the budget seems to be spent.

        They resume after `sizing.SCARCE_BUDGET_SECONDS`.
        """
        until = self._host.now() + sizing.SCARCE_BUDGET_SECONDS
        self.account(account).scarce_until = until

    async def return_available(self, account: str) -> int:
        """Return all available tokens to the budget; return how many there were."""
        if account not in self._accounts:
            return 0
        return await self._return_tokens(account, None)

    async def return_all(self) -> None:
        """Return all tokens that no request in flight or unwritten bill needs."""
        for name in list(self._accounts):
            await self._return_tokens(name, None)

    def controller(self) -> controller.Controller:
        """Return the controller that returns idle tokens and refills grants."""
        return controller.periodic(
            "grants",
            self.adjust_idle,
            interval=RETURN_INTERVAL,
            final=self.return_all,
        )

    def _draw_size(
        self,
        account_state: account_grants.AccountState,
        balance: grants.Balance,
        needed: int,
    ) -> int:
        budget = self._host.config.budget
        return sizing.draw_size(
            balance=balance,
            needed=needed,
            rate=account_state.demand.rate(self._host.now()),
            horizon=budget.horizon,
            share=budget.share,
        )

    async def _draw_for_waiters(self, account: str) -> None:
        account_state = self.account(account)
        reclaimed = None
        recalls = [self.recall] if self.recall is not None else []
        while account_state.waiters:
            async with account_state.lock:
                account_grants.reserve_for_waiters(account_state)
                if not account_state.waiters:
                    return
                failure = await self.draw(
                    account, lambda: account_grants.lacking_tokens(account_state)
                )
                account_grants.reserve_for_waiters(account_state)
            if isinstance(failure, account_grants.OutOfReach):
                waiting = list(account_state.waiters)
                account_grants.refuse(account_state, waiting, failure)
                continue
            if failure is None:
                continue
            if recalls and await recalls.pop()(account) > 0:
                continue
            if reclaimed is None and self.reclaim_lost is not None:
                reclaimed = await self.reclaim_lost(account)
                if reclaimed.returned > 0:
                    continue
            held = reclaimed.held if reclaimed is not None else 0
            account_grants.refuse_uncovered(account_state, failure.remaining, held)

    async def _refill(self, account: str) -> None:
        account_state = self.account(account)
        budget = self._host.config.budget
        async with account_state.lock:
            if account_state.budget is None:
                await self._read_rows(account)
            if account_state.budget is None:
                return
            rate = account_state.demand.rate(self._host.now())
            size = sizing.refill_size(
                balance=grants.balance_of(account_state.budget.value),
                available=account_state.ledger.available,
                reserved=account_state.ledger.reserved,
                rate=rate,
                horizon=budget.horizon,
                share=budget.share,
            )
            if size > 0:
                await self._transfer(account, size)

    async def _return_tokens(self, account: str, tokens: int | None) -> int:
        account_state = self.account(account)
        async with account_state.lock:
            for attempt in range(1, MAX_DRAW_TRIES + 1):
                size = max(0, account_state.ledger.available)
                if tokens is not None:
                    size = min(size, tokens)
                if size == 0:
                    return 0
                if account_state.budget is None:
                    await self._read_rows(account)
                    if account_state.budget is None:
                        return 0
                    continue
                # Reserved so that no request uses tokens that are being returned.
                account_state.ledger.reserved += size
                try:
                    outcome = await self._transfer(account, -size)
                finally:
                    account_state.ledger.reserved -= size
                if isinstance(outcome, table.Committed):
                    return size
                if not isinstance(outcome, table.Conflict):
                    return 0
                await self._pause(attempt)
        return 0

    async def _read_rows(self, account: str) -> table.Unavailable | None:
        """Read the budget row and this host's grant row in one consistent read.

        A budget row that is read alone may be newer than what this host knows of its
        grant.
        """
        account_state = self.account(account)
        key, budget_key = self.row_key(account), rows.budget(account)
        found = await self._host.store.read([key, budget_key])
        if isinstance(found, table.Unavailable):
            return found
        row = found.rows.get(key)
        if (row.version if row is not None else 0) != account_state.version:
            self.replace_lost_grant(account, row)
        account_state.budget = found.rows.get(budget_key)
        return None

    async def _transfer(self, account: str, tokens: int) -> table.CommitOutcome:
        """Commit a draw of `tokens`, or a return to the budget if it is negative."""
        account_state = self.account(account)
        ledger = account_state.ledger
        key, budget_key = self.row_key(account), rows.budget(account)
        budget = account_state.budget
        balance, grant = grants.draw(
            grants.balance_of(budget.value), ledger.grant, tokens
        )
        outcome = await self._host.definite_store.commit(
            table.new_commit_id(self._host.rng),
            [
                table.Check(key, account_state.version),
                table.Check(budget_key, budget.version),
            ],
            [
                table.Write(key, self.row_value(grant)),
                table.Write(budget_key, grants.balance_value(balance)),
            ],
        )
        if isinstance(outcome, table.Committed):
            ledger.granted += tokens
            account_state.version = outcome.versions.get(key, account_state.version)
            account_state.budget = table.row_after_commit(
                budget_key, grants.balance_value(balance), outcome
            )
            counter = metrics.DRAWN if tokens > 0 else metrics.RETURNED
            counter.inc(abs(tokens))
        if isinstance(outcome, table.Conflict):
            if key in outcome.rows:
                self.replace_lost_grant(account, outcome.rows[key])
            if budget_key in outcome.rows:
                account_state.budget = outcome.rows[budget_key]
        return outcome

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(
            backoff.backoff(
                attempt,
                base=CONFLICT_BACKOFF,
                limit=CONFLICT_BACKOFF_LIMIT,
                rng=self._host.rng,
            )
        )


def _out_of_reach(
    failure: table.Unavailable | table.Unknown,
) -> account_grants.OutOfReach:
    return account_grants.OutOfReach(reason=failure.reason, peer=failure.peer)
