"""Draws grants from client accounts' budgets and lends them to requests."""

import asyncio
import dataclasses
import typing
from collections import abc

from dogwoodchute import controller, log, metrics_money as metrics, state
from dogwoodchute.coordination import grants, rows, sizing, throttle
from dogwoodchute.platform import table

MAX_DRAW_TRIES = 8
CONFLICT_BACKOFF = 0.01  # seconds
CONFLICT_BACKOFF_LIMIT = 0.2  # seconds
RETURN_INTERVAL = 5.0  # seconds


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


Reservation = Reserved | Spent | OutOfReach


class Search(typing.NamedTuple):
    """What a look at the grants of other hosts found, in tokens."""

    returned: int  # to the budget, from grants of lost hosts
    held: int  # unspent by other hosts


class Waiter(typing.NamedTuple):
    """A request that waits for a draw."""

    tokens: int
    result: asyncio.Future


class Account:
    """One client account on this host. `lock` orders the writes of its grant row."""

    def __init__(self) -> None:
        self.ledger = grants.Ledger()
        self.demand = sizing.Demand()
        self.lock = asyncio.Lock()
        self.version = 0  # of the grant row
        self.budget: table.Row | None = None  # as last seen
        self.waiters: list[Waiter] = []
        self.drawing: asyncio.Task | None = None
        self.last_used = 0.0  # monotonic seconds
        self.scarce_until = 0.0  # monotonic seconds; no draws ahead of need


class Grants:
    """The grants of this host by client account."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._accounts: dict[str, Account] = {}
        self._listed: int | None = None
        self.find_lost: abc.Callable[[str], abc.Awaitable[Search]] | None = None
        self.recall: abc.Callable[[str], abc.Awaitable[int]] | None = None

    @property
    def accounts(self) -> list[str]:
        """The names of the accounts that this host has served."""
        return list(self._accounts)

    def account(self, name: str) -> Account:
        """Return the account's state on this host."""
        return self._accounts.setdefault(name, Account())

    def ledger(self, account: str) -> grants.Ledger:
        """Return the account's ledger on this host."""
        return self.account(account).ledger

    def row_key(self, account: str) -> str:
        """Return the key of this host's grant row of the account."""
        return rows.grant(account, self._host.incarnation)

    def row_value(self, grant: grants.Grant) -> dict:
        """Return the value of a grant row of this host.

        `listed` is the last host list revision in which this host saw itself.
        """
        listed = self._host.host_list
        if listed is not None and self._host.config.host.id in listed.hosts:
            self._listed = listed.revision
        return {**grants.grant_value(grant), "listed": self._listed}

    async def reserve(self, account: str, tokens: int) -> Reservation:
        """Set `tokens` aside for a request, drawing from the budget as needed."""
        state_ = self.account(account)
        state_.last_used = self._host.now()
        if not state_.waiters and state_.ledger.reserve(tokens):
            return Reserved(tokens=tokens)
        waiter = Waiter(tokens, asyncio.get_running_loop().create_future())
        state_.waiters.append(waiter)
        if state_.drawing is None or state_.drawing.done():
            state_.drawing = asyncio.create_task(self._draw_for_waiters(account))
        timeout = self._host.config.budget.draw_timeout
        await asyncio.wait({waiter.result}, timeout=timeout)
        if waiter.result.done():
            return waiter.result.result()
        waiter.result.cancel()
        state_.waiters.remove(waiter)
        return OutOfReach(reason=f"no draw in {timeout} s")

    def settle(self, account: str, reserved: int, used: int) -> int:
        """End a reservation and return how many tokens of it are to be billed."""
        state_ = self.account(account)
        unbilled = state_.ledger.settle(reserved, used)
        state_.demand.note(self._host.now(), unbilled)
        state_.last_used = self._host.now()
        return unbilled

    async def draw(
        self, account: str, needed: abc.Callable[[], int]
    ) -> Spent | OutOfReach | None:
        """Draw at least `needed()` tokens; the caller holds the account's lock.

        The need is asked anew before each try, since a lost grant raises it.
        """
        state_ = self.account(account)
        budget_key = rows.budget(account)
        fresh = False
        for attempt in range(1, MAX_DRAW_TRIES + 1):
            if state_.budget is None:
                failure = await self._look(account)
                if failure is not None:
                    return OutOfReach(reason=failure.reason, peer=failure.peer)
                fresh = True
            if state_.budget is None:
                return Spent(remaining=0)
            if needed() <= 0:
                return None
            balance = grants.balance_of(state_.budget.value)
            size = self._draw_size(state_, balance, needed())
            if size == 0 and fresh:
                return Spent(remaining=balance.remaining)
            if size == 0:
                state_.budget = None
                continue
            outcome = await self._move(account, size)
            if isinstance(outcome, table.Committed):
                return None
            if not isinstance(outcome, table.Conflict):
                return OutOfReach(reason=outcome.reason, peer=outcome.peer)
            fresh = budget_key in outcome.rows
            await self._pause(attempt)
        return OutOfReach(reason="too many racing draws")

    def lost(self, account: str, row: table.Row | None) -> None:
        """Take over what another host left of this host's grant row."""
        state_ = self.account(account)
        left = grants.grant_of(row.value) if row is not None else grants.Grant(0, 0)
        metrics.LOST_GRANTS.inc()
        log.warning(
            "grant_lost",
            account=account,
            granted=state_.ledger.granted,
            billed=left.billed,
            owed=state_.ledger.unbilled + state_.ledger.reserved,
        )
        state_.version = row.version if row is not None else 0
        state_.ledger.replace(left)
        state_.budget = None

    async def balance_idle(self) -> None:
        """Give back what the expected use leaves over, and draw ahead of need."""
        for name, state_ in list(self._accounts.items()):
            if state_.lock.locked() or state_.waiters:
                continue
            now = self._host.now()
            size = sizing.return_size(
                available=state_.ledger.available,
                reserved=state_.ledger.reserved,
                rate=state_.demand.rate(now),
                horizon=self._host.config.budget.horizon,
                idle=now - state_.last_used,
            )
            if size > 0:
                await self._give_back(name, size)
            elif now >= state_.scarce_until and not self._host.draining:
                await self._refill(name)

    def mark_scarce(self, account: str) -> None:
        """Draw no more than needed for a while, since the budget seems spent."""
        until = self._host.now() + sizing.SCARCE_SECONDS
        self.account(account).scarce_until = until

    async def give_back_all(self, account: str) -> int:
        """Give back all that is available; return how many tokens went back."""
        if account not in self._accounts:
            return 0
        return await self._give_back(account, None)

    async def return_all(self) -> None:
        """Give back all that no request in flight or unwritten bill needs."""
        for name in list(self._accounts):
            await self._give_back(name, None)

    def controller(self) -> controller.Controller:
        """Return the controller that gives idle tokens back."""
        return controller.periodic(
            "grants",
            self.balance_idle,
            interval=RETURN_INTERVAL,
            final=self.return_all,
        )

    def _draw_size(self, state_: Account, balance: grants.Balance, needed: int) -> int:
        budget = self._host.config.budget
        return sizing.draw_size(
            balance=balance,
            needed=needed,
            rate=state_.demand.rate(self._host.now()),
            horizon=budget.horizon,
            share=budget.share,
        )

    async def _draw_for_waiters(self, account: str) -> None:
        state_ = self.account(account)
        search = None
        recalls = [self.recall] if self.recall is not None else []
        while state_.waiters:
            async with state_.lock:
                _hand_out(state_)
                if not state_.waiters:
                    return
                failure = await self.draw(account, lambda: _needed(state_))
                _hand_out(state_)
            if isinstance(failure, OutOfReach):
                _refuse(state_, list(state_.waiters), failure)
                continue
            if failure is None:
                continue
            if recalls and await recalls.pop()(account) > 0:
                continue
            if search is None and self.find_lost is not None:
                search = await self.find_lost(account)
                if search.returned > 0:
                    continue
            held = search.held if search is not None else 0
            _refuse_beyond(state_, failure.remaining, held)

    async def _refill(self, account: str) -> None:
        state_ = self.account(account)
        budget = self._host.config.budget
        async with state_.lock:
            if state_.budget is None:
                await self._look(account)
            if state_.budget is None:
                return
            rate = state_.demand.rate(self._host.now())
            size = sizing.refill_size(
                balance=grants.balance_of(state_.budget.value),
                available=state_.ledger.available,
                reserved=state_.ledger.reserved,
                rate=rate,
                horizon=budget.horizon,
                share=budget.share,
            )
            if size > 0:
                await self._move(account, size)

    async def _give_back(self, account: str, tokens: int | None) -> int:
        state_ = self.account(account)
        async with state_.lock:
            for attempt in range(1, MAX_DRAW_TRIES + 1):
                size = max(0, state_.ledger.available)
                if tokens is not None:
                    size = min(size, tokens)
                if size == 0:
                    return 0
                if state_.budget is None:
                    await self._look(account)
                    if state_.budget is None:
                        return 0
                    continue
                # Set aside, so that no request reserves what is on its way back.
                state_.ledger.reserved += size
                try:
                    outcome = await self._move(account, -size)
                finally:
                    state_.ledger.reserved -= size
                if isinstance(outcome, table.Committed):
                    return size
                if not isinstance(outcome, table.Conflict):
                    return 0
                await self._pause(attempt)
        return 0

    async def _look(self, account: str) -> table.Unavailable | None:
        """Read the budget and this host's grant as of one moment.

        A budget read alone may be newer than what this host knows of its grant.
        """
        state_ = self.account(account)
        key, budget_key = self.row_key(account), rows.budget(account)
        found = await self._host.store.read([key, budget_key])
        if isinstance(found, table.Unavailable):
            return found
        row = found.rows.get(key)
        if (row.version if row is not None else 0) != state_.version:
            self.lost(account, row)
        state_.budget = found.rows.get(budget_key)
        return None

    async def _move(self, account: str, tokens: int) -> table.CommitOutcome:
        """Commit a draw of `tokens`, or a return if it is negative."""
        state_ = self.account(account)
        ledger = state_.ledger
        key, budget_key = self.row_key(account), rows.budget(account)
        seen = state_.budget
        balance, grant = grants.draw(
            grants.balance_of(seen.value), ledger.grant, tokens
        )
        outcome = await self._host.definite.commit(
            table.commit_id(self._host.rng),
            [table.Check(key, state_.version), table.Check(budget_key, seen.version)],
            [
                table.Write(key, self.row_value(grant)),
                table.Write(budget_key, grants.balance_value(balance)),
            ],
        )
        if isinstance(outcome, table.Committed):
            ledger.granted += tokens
            state_.version = outcome.versions.get(key, state_.version)
            state_.budget = table.written(
                budget_key, grants.balance_value(balance), outcome
            )
            counter = metrics.DRAWN if tokens > 0 else metrics.RETURNED
            counter.inc(abs(tokens))
        if isinstance(outcome, table.Conflict):
            if key in outcome.rows:
                self.lost(account, outcome.rows[key])
            if budget_key in outcome.rows:
                state_.budget = outcome.rows[budget_key]
        return outcome

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(
            throttle.backoff(
                attempt,
                base=CONFLICT_BACKOFF,
                limit=CONFLICT_BACKOFF_LIMIT,
                rng=self._host.rng,
            )
        )


def _needed(state_: Account) -> int:
    return sum(w.tokens for w in state_.waiters) - state_.ledger.available


def _hand_out(state_: Account) -> None:
    for waiter in list(state_.waiters):
        if state_.ledger.reserve(waiter.tokens):
            state_.waiters.remove(waiter)
            waiter.result.set_result(Reserved(tokens=waiter.tokens))


def _refuse_beyond(state_: Account, remaining: int, held: int) -> None:
    """Refuse the waiters that `remaining` tokens of the budget do not cover.

    Those that other hosts' `held` tokens would cover may try again later.
    """
    room = remaining + state_.ledger.available
    for waiter in list(state_.waiters):
        if waiter.tokens <= room:
            room -= waiter.tokens
        elif waiter.tokens <= room + held:
            _refuse(state_, [waiter], OutOfReach(reason="other hosts hold the tokens"))
        else:
            _refuse(state_, [waiter], Spent(remaining=max(0, room + held)))


def _refuse(state_: Account, waiters: list[Waiter], reason: Spent | OutOfReach) -> None:
    for waiter in waiters:
        state_.waiters.remove(waiter)
        waiter.result.set_result(reason)
