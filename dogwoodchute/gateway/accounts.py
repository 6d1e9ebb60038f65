"""Reserves tokens of prepaid budgets for requests, and writes their bills.

Each account has one row, in a part of the store of its own. A host draws tokens from it
ahead of need and spends them from memory; its bills go along with its commits.
"""

import asyncio
import dataclasses
import json
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import escrow, grants, sizing
from dogwoodchute.gateway import model, rows

TABLE = "accounts"
BILLS = "bills"
ROW_KEY = "row"
DEMAND_WINDOW = 5.0  # seconds over which the use is averaged
HORIZON = 10.0  # seconds of use that a host keeps ahead, for a time without the store
DRAW_SHARE = 0.4  # of what remains, that all hosts together draw ahead
CHECK_INTERVAL = 0.5  # seconds between looks at what to draw or return
BILL_INTERVAL = 2.0  # seconds that a bill waits at most for a commit to go along with
MAX_BILLS = 300  # in one row, of some 40 bytes each
WAIT = 0.8  # seconds that a request waits for a draw
RETRY_PAUSE = 0.15  # seconds after a first commit without an answer
MAX_RETRY_PAUSE = 1.0  # seconds; the pause doubles up to it
MAX_ASKED = 8  # other hosts that are asked for tokens at once
ROW_AGE = 0.3  # seconds for which a row that was read may serve to refuse
RETRY_AFTER = 0.5  # seconds: other hosts give back what they don't use in this time


class Bill(typing.NamedTuple):
    """What one request used, in tokens."""

    request: str
    input_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are reserved."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exhausted:
    """The whole balance surely does not cover the request."""

    remaining: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutOfReach:
    """This host can't tell now whether the balance covers the request."""

    reason: str
    retry_after: float = RETRY_AFTER  # seconds


ReserveOutcome = Reserved | Exhausted | OutOfReach


# Asks other hosts, those named first, for an account's tokens; returns what they gave.
Ask = abc.Callable[[str, int, list[str]], abc.Awaitable[int]]


class _Waiter(typing.NamedTuple):
    tokens: int
    done: asyncio.Future


class _Account:
    """One client account on this host."""

    def __init__(self, *, name: str, holder: str) -> None:
        self.name = name
        self.ledger = escrow.Ledger(holder=holder)
        self.demand = sizing.Demand(window=DEMAND_WINDOW)
        self.row = escrow.Row()
        self.version = 0
        self.read_at: float | None = None  # monotonic seconds
        self.waiters: list[_Waiter] = []
        self.bills: list[Bill] = []
        self.oldest_bill: float | None = None  # monotonic seconds
        self.bill_rows = 0
        self.task: asyncio.Task | None = None
        self.returning = False  # everything goes back


class Accounts:
    """All client accounts on this host."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        config: abc.Callable[[], model.Config | None],
        hosts: abc.Callable[[], int],
        gone: abc.Callable[[], set[str]],
        ask: Ask,
        now: abc.Callable[[], float],
    ) -> None:
        self._holder = holder
        self._store = store
        self._config = config
        self._hosts = hosts
        self._gone = gone
        self._ask = ask
        self._now = now
        self._accounts: dict[str, _Account] = {}

    async def reserve(self, name: str, tokens: int) -> ReserveOutcome:
        """Reserve tokens of a client account, drawing them first if need be."""
        account = self._account(name)
        account.demand.note(self._now(), tokens)
        if self._prepaid(account) is None:
            account.ledger.reserved += tokens
            return Reserved()
        free = not account.waiters and self._may_spend(account)
        if free and account.ledger.reserve(tokens):
            self._kick_if_due(account)
            return Reserved()
        waiter = _Waiter(tokens, asyncio.get_running_loop().create_future())
        account.waiters.append(waiter)
        self._kick(account)
        try:
            await asyncio.wait([waiter.done], timeout=WAIT)
        except asyncio.CancelledError:
            self._give_up(account, waiter)
            raise
        if not waiter.done.done():
            self._give_up(account, waiter)
            return OutOfReach(reason="no draw in time")
        return waiter.done.result()

    def settle(self, name: str, reserved: int, bill: Bill | None) -> None:
        """End a reservation; `bill` is None for a request that did not run."""
        account = self._account(name)
        used = 0 if bill is None else bill.input_tokens + bill.output_tokens
        account.ledger.settle(reserved, used)
        if bill is not None:
            account.bills.append(bill)
            if account.oldest_bill is None:
                account.oldest_bill = self._now()

    def give(self, name: str, tokens: int) -> int:
        """Give up to `tokens` of an account to another host; return how many."""
        account = self._account(name)
        if not self._may_spend(account):
            return 0
        given = account.ledger.give(tokens)
        if given:
            log.info("tokens_given", account=name, tokens=given, asked=tokens)
        return given

    async def run(self) -> None:
        """Draw, return and bill until cancelled."""
        while True:
            for account in list(self._accounts.values()):
                self._kick_if_due(account)
            await asyncio.sleep(CHECK_INTERVAL)

    async def flush(self) -> None:
        """Return all unspent tokens and write all bills."""
        tasks = []
        for account in self._accounts.values():
            account.returning = True
            self._kick(account)
            tasks.append(account.task)
        if tasks:
            await asyncio.wait(tasks)

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = _Account(name=name, holder=self._holder)
            self._accounts[name] = account
        return account

    def _prepaid(self, account: _Account) -> int | None:
        config = self._config()
        known = config.accounts.get(account.name) if config is not None else None
        return known.prepaid if known is not None else None

    def _may_spend(self, account: _Account) -> bool:
        """Return False while more is drawn than a lowered prepaid total."""
        prepaid = self._prepaid(account)
        return prepaid is None or account.row.drawn <= prepaid

    def _give_up(self, account: _Account, waiter: _Waiter) -> None:
        """End a wait; free what was reserved just as it ended."""
        if waiter in account.waiters:
            account.waiters.remove(waiter)
        if not waiter.done.done():
            waiter.done.cancel()
        elif isinstance(waiter.done.result(), Reserved):
            account.ledger.settle(waiter.tokens, 0)

    def _kick(self, account: _Account) -> None:
        if account.task is None or account.task.done():
            account.task = asyncio.create_task(self._work(account))

    def _kick_if_due(self, account: _Account) -> None:
        if account.waiters or self._draw(account) or self._bills_due(account):
            self._kick(account)

    def _bills_due(self, account: _Account) -> bool:
        if not account.bills:
            return False
        if account.returning or len(account.bills) >= MAX_BILLS:
            return True
        return self._now() - account.oldest_bill >= BILL_INTERVAL

    async def _work(self, account: _Account) -> None:
        """Commit until nothing is due; fail the waiters if the store is away."""
        try:
            while True:
                self._grant(account)
                draw = self._draw(account)
                if not draw and not self._bills_due(account):
                    if not account.waiters:
                        return
                    if not await self._refuse(account):
                        return
                    continue
                if not await self._commit(account, draw):
                    return
        except Exception:
            # A commit that may yet apply stays pending, so no further one is begun.
            log.exception("account_commit_failed", account=account.name)
            self._fail(account, "the account's row can't be used")

    def _grant(self, account: _Account) -> None:
        """Reserve for the waiters that the ledger covers, in order."""
        if not self._may_spend(account):
            return
        for waiter in list(account.waiters):
            if waiter.done.done():
                account.waiters.remove(waiter)
                continue
            if not account.ledger.reserve(waiter.tokens):
                return
            account.waiters.remove(waiter)
            waiter.done.set_result(Reserved())

    def _draw(self, account: _Account) -> int:
        """Return the tokens to draw now, negative to return some."""
        prepaid = self._prepaid(account)
        ledger = account.ledger
        if prepaid is None:
            return 0
        if account.returning or account.row.drawn > prepaid:
            return -max(0, ledger.available)
        balance = grants.Balance(prepaid, account.row.drawn)
        rate = account.demand.rate(self._now())
        share = DRAW_SHARE / self._hosts()
        needed = sum(w.tokens for w in account.waiters if not w.done.done())
        needed -= max(0, ledger.available)
        if needed > 0:
            whole = sizing.draw_size(
                balance=balance,
                needed=needed,
                rate=rate,
                horizon=HORIZON,
                share=share,
            )
            return whole or self._draw_for_first(account, balance)
        return sizing.refill_size(
            balance=balance,
            available=max(0, ledger.available),
            reserved=0,
            rate=rate,
            horizon=HORIZON,
            share=share,
        )

    def _draw_for_first(self, account: _Account, balance: grants.Balance) -> int:
        """Return what the first waiter lacks, 0 if the budget does not cover it."""
        waiting = [w for w in account.waiters if not w.done.done()]
        lacking = waiting[0].tokens - max(0, account.ledger.available)
        return lacking if 0 < lacking <= balance.remaining else 0

    async def _refuse(self, account: _Account) -> bool:
        """Ask other hosts for the first waiter's tokens; refuse it if they lack.

        Return whether there is more to do.
        """
        now = self._now()
        if account.read_at is None or now - account.read_at > ROW_AGE:
            return await self._read(account)
        if await self._collect(account):
            return True
        waiter = account.waiters.pop(0)
        if waiter.done.done():
            return True
        prepaid = self._prepaid(account) or 0
        left = prepaid - self._spent_for_sure(account)
        if left < waiter.tokens:
            waiter.done.set_result(Exhausted(remaining=left))
        else:
            waiter.done.set_result(OutOfReach(reason="tokens are held elsewhere"))
        return True

    async def _collect(self, account: _Account) -> bool:
        """Get the first waiter's tokens from other hosts; return whether they gave."""
        waiting = [w for w in account.waiters if not w.done.done()]
        if not waiting or not self._may_spend(account):
            return False
        lacking = waiting[0].tokens - max(0, account.ledger.available)
        if lacking <= 0:
            return True
        got = await self._ask(account.name, lacking, self._holders(account))
        account.ledger.take(got)
        log.info("tokens_got", account=account.name, tokens=got, asked=lacking)
        return got >= lacking

    def _holders(self, account: _Account) -> list[str]:
        """Return the other holders, those first that seem to hold most."""
        idle = {
            name: holding.granted - holding.spent
            for name, holding in account.row.holdings.items()
            if name != self._holder
        }
        return sorted(idle, key=lambda name: (-idle[name], name))

    def _spent_for_sure(self, account: _Account) -> int:
        """Return what is known to be spent, with what this host spent since."""
        held = account.row.holdings.get(self._holder)
        noted = held.spent if held is not None else 0
        return account.row.spent + max(0, account.ledger.spent - noted)

    async def _read(self, account: _Account) -> bool:
        outcome = await self._store.read(TABLE, account.name, ROW_KEY)
        if isinstance(outcome, rows.Unavailable):
            if await self._collect(account):
                return True
            self._fail(account, outcome.reason)
            return False
        self._take_in(account, outcome.rows)
        return True

    def _take_in(self, account: _Account, found: list[rows.Row]) -> None:
        """Take in the account's row as read, or as a conflict told it."""
        for row in found:
            if row.key == ROW_KEY and row.version >= account.version:
                account.row = escrow.from_plain(json.loads(row.value))
                account.version = row.version
        account.read_at = self._now()

    def _fail(self, account: _Account, reason: str) -> None:
        for waiter in account.waiters:
            if not waiter.done.done():
                waiter.done.set_result(OutOfReach(reason=reason))
        account.waiters.clear()

    async def _commit(self, account: _Account, draw: int) -> bool:
        """Make one commit; return whether to go on."""
        ledger = account.ledger
        proposal = ledger.propose(
            account.row,
            prepaid=self._prepaid(account),
            draw=draw,
            gone=self._gone(),
        )
        if proposal is None:
            return await self._read(account)
        bills = account.bills[:MAX_BILLS]
        checks = [rows.Check(TABLE, ROW_KEY, account.version)]
        puts = [rows.Put(TABLE, ROW_KEY, _encode(escrow.to_plain(proposal.row)))]
        if bills:
            name = f"{self._holder}/{account.bill_rows}"
            puts.append(rows.Put(BILLS, name, _encode([list(b) for b in bills])))
        outcome = await self._definite(account, checks, puts)
        if isinstance(outcome, rows.Unavailable):
            ledger.cancel()
            return False
        if isinstance(outcome, rows.Committed):
            account.row, account.version = proposal.row, outcome.version
            account.read_at = self._now()
        else:
            self._take_in(account, outcome.rows)
        applied = ledger.observe(account.row)
        if applied:
            self._billed(account, len(bills))
        if applied and draw:
            log.info(
                "tokens_drawn",
                account=account.name,
                tokens=draw,
                drawn=account.row.drawn,
                prepaid=self._prepaid(account),
                version=account.version,
            )
        return True

    async def _definite(
        self, account: _Account, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.Committed | rows.Conflict | rows.Unavailable:
        """Commit until it is certain what became of it.

        After a commit without an answer the same one is sent again: at most one of the
        copies can apply, and only a definite answer shows that none is on its way.
        """
        uncertain = False
        pause = RETRY_PAUSE
        while True:
            outcome = await self._store.commit(account.name, checks, puts)
            if isinstance(outcome, rows.Committed | rows.Conflict):
                return outcome
            uncertain = uncertain or isinstance(outcome, rows.Unknown)
            log.warning(
                "commit_failed",
                account=account.name,
                reason=outcome.reason,
                peer=outcome.peer,
                version=account.version,
                uncertain=uncertain,
            )
            await self._bridge(account, outcome.reason)
            if not uncertain:
                return outcome
            await asyncio.sleep(pause)
            pause = min(MAX_RETRY_PAUSE, 2 * pause)

    async def _bridge(self, account: _Account, reason: str) -> None:
        """Serve the waiters with other hosts' tokens while the store is away."""
        while account.waiters:
            self._grant(account)
            if not account.waiters or not await self._collect(account):
                break
        self._fail(account, reason)

    def _billed(self, account: _Account, count: int) -> None:
        if not count:
            return
        del account.bills[:count]
        account.bill_rows += 1
        account.oldest_bill = self._now() if account.bills else None


def _encode(plain: object) -> bytes:
    return json.dumps(plain, separators=(",", ":")).encode()
