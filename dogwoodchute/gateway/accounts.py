"""Reserves tokens of prepaid budgets for requests, and bills what they used.

In a large fleet each account has a home in each region, a host that draws tokens from
the account's row ahead of need. So does a host with many requests of the account. The
region's other hosts get from the home what each request needs, and draw only if it
can't give. A host spends what it has from memory; its bills go along with its commits.
What the row can't give, other hosts may.
"""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints
from dogwoodchute.gateway import (
    account_report,
    account_rows,
    amounts,
    asking,
    checkpointer,
    commit_counts,
    model,
    refusals,
    reservations,
    rows,
    waiters,
)

CHECK_INTERVAL = 0.2  # seconds between looks at what to draw, return or write
GIVE_WAIT = 0.1  # seconds for a commit that frees tokens for another host
WAITING_PAUSE = 0.1  # seconds at most after conflicts, while requests wait
CONTENDED_FOR = 10.0  # seconds after a draw that met another host's
AWAY_MEMORY = 0.5  # seconds after a store without an answer in which none is awaited
WAIT = 2.5  # seconds that a request waits for tokens at the most
ROW_AGE = 0.3  # seconds for which rows that were read may serve to refuse
USABLE_SHARE = 0.99  # of the prepaid total; the rest covers runs that were not noticed


class Accounts:
    """All client accounts on this host."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        config: abc.Callable[[], model.Config | None],
        hosts: abc.Callable[[], int],
        ask: reservations.Ask,
        home: reservations.Home,
        now: abc.Callable[[], float],
        horizon: abc.Callable[[], float] = lambda: amounts.HORIZON,
        registered: abc.Callable[[], int] = lambda: 0,
        regions: int = 1,
        rates: checkpoints.Rates | None = None,
    ) -> None:
        self._config = config
        self._asking = asking.Asking(holder=holder, ask=ask, home=home, now=now)
        self._home = home
        self._hosts = hosts
        self._regions = regions
        self._horizon = horizon  # seconds of use that this host keeps ahead
        self._now = now
        self._commits = account_rows.Commits(
            holder=holder, store=store, now=now, registered=registered
        )
        self._accounts: dict[str, account_rows.Account] = {}
        self._shortages = refusals.Shortages(now=now)
        self._reports = account_report.Reports(now=now)
        self._away_at = float("-inf")  # monotonic seconds: the store did not answer
        self._returning = False  # this host stops and gives everything back
        self._checkpointer = checkpointer.Checkpointer(
            accounts=lambda: list(self._accounts.values()),
            commits=self._commits,
            waiting=self._bridge,
            change=self._change,
            hosts=hosts,
            known=self._count,
            home=home,
            regions=regions,
            rates=rates or checkpoints.Rates(),
            now=now,
        )

    @property
    def strained(self) -> bool:
        """Whether the store is too slow for draws by every host."""
        return self._commits.slowness() > 0

    async def reserve(
        self, name: str, tokens: int, *, wait: float = WAIT
    ) -> reservations.ReserveOutcome:
        """Reserve tokens of a client account, drawing them first if need be.

        The request waits for up to `wait` seconds while some may come.
        """
        account = self._account(name)
        now = self._now()
        account.note_request(now, tokens)
        if self._prepaid(account) is None:
            account.ledger.reserved += tokens
            return reservations.Reserved()
        free = not account.waiters and self._may_spend(account)
        if free and account.ledger.reserve(tokens, now):
            self._kick_if_due(account)
            return reservations.Reserved()
        outcome = self._shortages.find(name, tokens)
        if outcome is not None:
            if isinstance(outcome, reservations.OutOfReach):
                outcome = self._out_of_reach(account, tokens, outcome.reason)
            self._note_refusal(account, tokens, outcome, now)
            return outcome
        waiter = account_rows.Waiter(tokens, asyncio.get_running_loop().create_future())
        account.waiters.append(waiter)
        self._kick(account)
        try:
            await asyncio.wait([waiter.done], timeout=min(wait, WAIT))
        except asyncio.CancelledError:
            self._give_up(account, waiter)
            raise
        outcome = self._out_of_reach(account, tokens, "no draw in time")
        if waiter.done.done():
            outcome = waiter.done.result()
        else:
            self._give_up(account, waiter)
        if not isinstance(outcome, reservations.Reserved):
            self._note_refusal(account, tokens, outcome, now)
        return outcome

    def spend(self, name: str, tokens: int) -> None:
        """Count tokens of a reservation as spent, since its request began to run."""
        self._account(name).ledger.spend(tokens)

    def settle(
        self,
        name: str,
        reserved: int,
        bill: account_rows.Bill | None,
        *,
        spent: int = 0,
    ) -> None:
        """End a reservation; `bill` is None for a request that did not run.

        `spent` tokens of it were counted before.
        """
        account = self._account(name)
        used = 0 if bill is None else bill.input_tokens + bill.output_tokens
        account.ledger.settle(reserved - spent, used - spent)
        if bill is None:
            return
        if not account.bills:
            account.billed_at = self._now()
        account.bills.append(bill)

    async def give(self, name: str, tokens: int) -> int:
        """Give up to `tokens` of an account to another host; return how many."""
        account = self._account(name)
        if not self._may_spend(account):
            return 0
        wanted = min(tokens, account.ledger.idle)
        if self._home.is_here(name):
            account.demand.note(self._now(), tokens)
            wanted = tokens
        away = self._commits.away or self._now() - self._away_at < AWAY_MEMORY
        if account.ledger.available(self._now()) < wanted and not away:
            account.asked += tokens
            self._kick(account)
            await asyncio.wait([account.task], timeout=GIVE_WAIT)
            account.asked -= tokens
        given = account.ledger.give(tokens, self._now())
        if given:
            log.info("tokens_given", account=name, tokens=given, asked=tokens)
        return given

    async def run(self) -> None:
        """Draw, return and bill until cancelled."""
        try:
            while True:
                for account in list(self._accounts.values()):
                    self._kick_if_due(account)
                self._checkpointer.begin()
                self._reports.look(self._accounts.values(), self._prepaid)
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            self._checkpointer.cancel()

    async def flush(self) -> None:
        """Return all idle tokens and write all bills."""
        self._returning = True
        parts = account_rows.parts()
        writes = [self._checkpointer.write(part, draw=self._draw) for part in parts]
        await asyncio.gather(*writes)
        # What a conflict, a commit under way or the size of a commit left out.
        for account in self._accounts.values():
            self._kick(account)
        tasks = [a.task for a in self._accounts.values() if a.task is not None]
        if tasks:
            await asyncio.wait(tasks)

    def _account(self, name: str) -> account_rows.Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = account_rows.Account(name=name)
        return account

    def _prepaid(self, account: account_rows.Account) -> int | None:
        config = self._config()
        known = config.accounts.get(account.name) if config is not None else None
        if known is None or known.prepaid is None:
            return None
        return int(known.prepaid * USABLE_SHARE)

    def _may_spend(self, account: account_rows.Account) -> bool:
        """Return False while more is drawn than a lowered prepaid total."""
        prepaid = self._prepaid(account)
        return prepaid is None or account.shared.drawn <= prepaid

    def _give_up(
        self, account: account_rows.Account, waiter: account_rows.Waiter
    ) -> None:
        waiters.end(account, waiter)
        # Smaller requests may have waited behind it.
        self._grant(account)

    def _out_of_reach(
        self, account: account_rows.Account, tokens: int, reason: str
    ) -> reservations.ReserveOutcome:
        return refusals.out_of_reach(account, tokens, reason, now=self._now())

    def _note_refusal(
        self,
        account: account_rows.Account,
        tokens: int,
        outcome: reservations.ReserveOutcome,
        began: float,
    ) -> None:
        ages = {"began": began, "away_at": self._away_at, "now": self._now()}
        refusals.note(account, tokens, outcome, **ages)

    def _place(self, account: account_rows.Account) -> amounts.Place:
        """Return what this host is to an account now."""
        is_home = self._home.is_here(account.name)
        return amounts.Place(
            prepaid=self._prepaid(account),
            is_home=is_home,
            has_home=self._home.is_elsewhere(account.name),
            returning=self._returning,
            horizon=self._horizon(),
            holders=self._regions if is_home else self._hosts(),
            commit=self._commits.slowness(),
        )

    def _draw(self, account: account_rows.Account) -> int:
        """Return the tokens to draw now, negative to return some."""
        return amounts.draw(account, self._place(account), self._now())

    def _change(
        self, account: account_rows.Account, *, draw: int = 0
    ) -> account_rows.Change:
        place = self._place(account)
        return amounts.change(account, place, self._now(), draw=draw)

    def _is_due(self, account: account_rows.Account) -> bool:
        if self._returning:
            return bool(account.bills)
        return self._checkpointer.is_due(account)

    def _count(self) -> int:
        return len(config.accounts) if (config := self._config()) is not None else 1

    def _kick(self, account: account_rows.Account) -> None:
        if account.task is None or account.task.done():
            account.task = asyncio.create_task(self._work(account))

    def _kick_if_due(self, account: account_rows.Account) -> None:
        place, now = self._place(account), self._now()
        low = amounts.limit_is_low(account, place, now)
        if account.waiters or low or amounts.draw(account, place, now):
            self._kick(account)

    async def _work(self, account: account_rows.Account) -> None:
        """Commit until nothing is due; fail the waiters if the store is away."""
        try:
            async with account.lock:
                while await self._step(account):
                    pass
        except Exception:
            # A commit that may yet apply stays pending, so no further one is begun.
            log.exception("account_commit_failed", account=account.name)
            self._fail(account, "the account's rows can't be used")

    async def _step(self, account: account_rows.Account) -> bool:
        """Do what is due next; return whether there may be more."""
        self._grant(account)
        if await self._asking.get_from_home(account):
            return True
        if self.strained and self._asking.is_left_to_home(account):
            await asyncio.sleep(asking.HOME_PAUSE)
            return True
        await self._prepare_draw(account)
        place, now = self._place(account), self._now()
        draw = amounts.draw(account, place, now)
        waiting = account.waiting()
        limited = waiting and account.ledger.idle >= waiting[0].tokens
        due = self._is_due(account)
        low = not waiting and amounts.limit_is_low(account, place, now)
        if draw or limited or due or low:
            change = amounts.change(account, place, now, draw=draw)
            kind = commit_counts.DRAW if draw else commit_counts.LIMIT
            return await self._commits.commit([change], kind=kind, waiting=self._bridge)
        if not waiting:
            return False
        return await self._refuse(account)

    async def _prepare_draw(self, account: account_rows.Account) -> None:
        """Read the account's row anew if other hosts draw from it too."""
        if not self._draw(account):
            return
        pause = account.draw_after - self._now()
        if account.waiting():
            pause = min(pause, WAITING_PAUSE)
        if pause > 0:
            await asyncio.sleep(pause)
        if self._now() - account.conflict_at < CONTENDED_FOR:
            await self._commits.refresh(account, waiting=self._bridge)

    def _grant(self, account: account_rows.Account) -> None:
        """Reserve for the waiters that the ledger covers, in order."""
        if self._may_spend(account):
            waiters.grant(account, self._now())

    async def _refuse(self, account: account_rows.Account) -> bool:
        """Ask other hosts for the first waiter's tokens; refuse it if they lack.

        Return whether there is more to do.
        """
        now = self._now()
        if account.read_at is None or now - account.read_at > ROW_AGE:
            failed = await self._commits.read(account, waiting=self._bridge)
            if failed is not None:
                await self._bridge(account, failed.reason)
            return failed is None
        collected = await self._collect(account, account.ledger.idle)
        waiting = account.waiting()
        if collected is None or not waiting:
            return bool(waiting)
        if account.ledger.idle >= waiting[0].tokens:
            return True
        outcome = self._out_of_reach(
            account, waiting[0].tokens, "not all hosts could be asked"
        )
        if collected.whole:
            left = (self._prepaid(account) or 0) - account.shared.drawn
            outcome = reservations.Exhausted(remaining=max(0, left))
        least = waiting[0].tokens
        self._shortages.note(account.name, least, outcome)
        for waiter in waiting:
            if waiter.tokens >= least:
                waiters.refuse(account, waiter, outcome)
        return True

    async def _collect(
        self, account: account_rows.Account, have: int
    ) -> reservations.Collected | None:
        if account.waiting() and not self._may_spend(account):
            return reservations.Collected(0, True)
        return await self._asking.collect(account, have)

    async def _bridge(self, account: account_rows.Account, reason: str) -> None:
        """Serve the waiters with other hosts' tokens while the store has no answer.

        Those that this host's own tokens cover wait until they may be used. While a
        first call is under way all others wait too, as it may bring what they lack.
        """
        self._away_at = self._now()
        self._grant(account)
        while account.waiting() and self._asking.may_ask(account):
            collected = await self._collect(
                account, account.ledger.available(self._now())
            )
            self._grant(account)
            if collected is None:
                break
            if collected.tokens == 0:
                account.asked_in_vain_at = self._now()
        if self._commits.away and not self._asking.may_ask(account):
            self._fail(account, reason)

    def _fail(self, account: account_rows.Account, reason: str) -> None:
        """Refuse the waiters that this host's tokens do not cover, in their order."""
        idle = account.ledger.idle
        for waiter in account.waiting():
            if waiter.tokens <= idle:
                idle -= waiter.tokens
                continue
            outcome = self._out_of_reach(account, waiter.tokens, reason)
            waiters.refuse(account, waiter, outcome)
            self._shortages.note_first(account.name, waiter.tokens, outcome)
