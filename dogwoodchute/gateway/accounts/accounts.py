"""Reserves tokens of prepaid budgets for requests, and bills what they used.

A host draws tokens from the account's row in the store and then spends them from
memory, without a commit for each request. Bills are written by the same commits.

In a large fleet each account has a home host in each region, which draws tokens in
advance, and so does a host with many requests of the account. The region's other hosts
request from the home host what each of their requests needs, and draw only if it has
none. If nothing is left to draw, or the store does not answer, tokens are requested
from any host that may hold some.
"""

import asyncio
import itertools
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints
from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.accounts import (
    account_commits,
    account_report,
    account_rows,
    amounts,
    checkpointer,
    commit_counts,
    draw_plan,
    gifts,
    refusals,
    reservations,
    transfers,
    waiters,
)

CHECK_INTERVAL = 0.2  # seconds between checks for what to draw, return or write
QUIET_CHECKS = 5  # intervals between such checks of an account that few requests use
MAX_PAUSE_WITH_WAITERS = 0.1  # seconds after conflicts, while requests wait
# Seconds that a read of an account's row may take to draw more, while requests wait
# whose tokens are idle here.
READ_IN_PASSING = 0.05
CONTENDED_SECONDS = 10.0  # seconds after a draw that conflicted with another host's
GIVE_BACK_AFTER = 1.0  # seconds after the last request of an account on this host
MAX_WAIT = 2.5  # seconds that a request waits for tokens, at most


class Accounts:
    """All client accounts used on this host."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        config: abc.Callable[[], model.Config | None],
        hosts: abc.Callable[[], int],
        request_tokens: reservations.RequestTokens,
        home: reservations.Home,
        now: abc.Callable[[], float],
        horizon: abc.Callable[[], float] = lambda: amounts.HORIZON,
        registered: abc.Callable[[], int] = lambda: 0,
        regions: int = 1,
        rates: checkpoints.Rates | None = None,
        witnesses: reservations.Witnesses | None = None,
    ) -> None:
        self._witnesses = witnesses or reservations.Witnesses()
        self._store_now = store.now
        self._transfers = transfers.Transfers(
            holder=holder, request_tokens=request_tokens, home=home, now=now
        )
        self._home = home
        self._now = now
        self._commits = account_commits.Commits(
            holder=holder,
            store=store,
            now=now,
            registered=registered,
            witnesses=self._witnesses.names,
        )
        self._plan = draw_plan.DrawPlan(
            config=config,
            home=home,
            hosts=hosts,
            regions=regions,
            horizon=horizon,
            slow_commit_seconds=self._commits.slow_commit_seconds,
            now=now,
        )
        self._accounts: dict[str, account_rows.Account] = {}
        self._waiters = waiters.Waiters(
            plan=self._plan,
            commits=self._commits,
            token_transfers=self._transfers,
            returnable=self._returnable_tokens,
            now=now,
        )
        self._gifts = gifts.Gifts(
            plan=self._plan,
            home=home,
            commits=self._commits,
            account_waiters=self._waiters,
            ensure_committing=self._ensure_committing,
            now=now,
        )
        self._reports = account_report.Reports(now=now)
        self._checkpointer = checkpointer.Checkpointer(
            accounts=lambda: list(self._accounts.values()),
            commits=self._commits,
            serve_waiters=self._waiters.serve_from_hosts,
            change=self._plan.change,
            host_count=hosts,
            account_count=self._plan.account_count,
            home=home,
            regions=regions,
            rates=rates or checkpoints.Rates(),
            now=now,
        )

    @property
    def store_is_slow(self) -> bool:
        """Whether commits are too slow for every host to draw for itself."""
        return self._commits.slow_commit_seconds() > 0

    async def reserve(
        self, name: str, tokens: int, *, wait: float = MAX_WAIT, priority: int = 0
    ) -> reservations.ReserveOutcome:
        """Reserve tokens of a client account, drawing them first if necessary.

        Waits up to `wait` seconds, and no longer than `MAX_WAIT`, for tokens that may
        still arrive. Of the requests that wait, those with a lower `priority` go first.
        """
        account = self._account(name)
        now = self._now()
        account.record_request(now, tokens)
        if self._plan.prepaid(account) is None:
            account.ledger.reserved += tokens
            return reservations.Reserved()
        may_reserve = not account.waiters and self._plan.may_spend(account)
        if may_reserve and account.ledger.reserve(tokens, now):
            self._commit_if_due(account)
            return reservations.Reserved()
        outcome = self._waiters.recent_refusal(account, tokens)
        if outcome is not None:
            self._log_refusal(account, tokens, outcome, now)
            return outcome
        waiter = account.add_waiter(tokens, priority=priority, now=now)
        self._ensure_committing(account)
        try:
            await self._waiters.wait(account, waiter, seconds=min(wait, MAX_WAIT))
        except asyncio.CancelledError:
            self._waiters.abandon(account, waiter)
            raise
        if waiter.done.done():
            outcome = waiter.done.result()
        else:
            outcome = self._waiters.out_of_reach(account, tokens, "no draw in time")
            self._waiters.abandon(account, waiter)
        if not isinstance(outcome, reservations.Reserved):
            self._log_refusal(account, tokens, outcome, now)
        return outcome

    def spend(self, name: str, tokens: int) -> None:
        """Count tokens of a reservation as spent because its request began to run."""
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

        `spent` tokens of the reservation were already counted by `spend`.
        """
        account = self._account(name)
        used = 0 if bill is None else bill.input_tokens + bill.output_tokens
        account.ledger.settle(reserved - spent, used - spent)
        if bill is None:
            return
        if not account.bills:
            account.unwritten_since = self._now()
        account.bills.append(bill)

    async def transfer_out(self, name: str, tokens: int) -> int:
        """Transfer up to `tokens` of an account to another host; return how many."""
        return await self._gifts.give(self._account(name), tokens)

    def take_back(self, name: str, tokens: int) -> bool:
        """Take tokens back that another host gives; return whether they were taken."""
        return self._gifts.take_back(self._account(name), tokens)

    async def run(self) -> None:
        """Draw and return tokens and write bills until cancelled."""
        try:
            for number in itertools.count():
                self._commits.restores.notice()
                for account in list(self._accounts.values()):
                    is_restored = self._commits.restores.is_before(account)
                    is_quiet = self._is_quiet(account) and not is_restored
                    if number % QUIET_CHECKS == 0 or not is_quiet:
                        self._commit_if_due(account)
                        self._give_back_if_due(account)
                self._checkpointer.start_due()
                self._reports.report_if_due(self._accounts.values(), self._plan.prepaid)
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            self._checkpointer.cancel()

    async def flush(self) -> None:
        """Return all idle tokens and write all bills."""
        self._plan.is_stopping = True
        parts = account_rows.parts()
        writes = [
            self._checkpointer.write(part, draw=self._plan.draw) for part in parts
        ]
        await asyncio.gather(*writes)
        # The writes above leave out accounts with a conflict, with a commit under way
        # or beyond the size of one commit.
        for account in self._accounts.values():
            self._ensure_committing(account)
        tasks = [a.task for a in self._accounts.values() if a.task is not None]
        if tasks:
            await asyncio.wait(tasks)

    def _account(self, name: str) -> account_rows.Account:
        account = self._accounts.get(name)
        if account is None:
            account = account_rows.Account(
                name=name,
                era=self._commits.restores.era,
                may_rise=self._witnesses.may_rise,
            )
            self._commits.restores.notice()
            account.no_draw_until = self._commits.restores.no_draw_until
            self._accounts[name] = account
        return account

    def _log_refusal(
        self,
        account: account_rows.Account,
        tokens: int,
        outcome: reservations.ReserveOutcome,
        requested_at: float,
    ) -> None:
        times = {
            "requested_at": requested_at,
            "unavailable_at": self._waiters.unavailable_at,
            "now": self._now(),
        }
        refusals.log_refusal(account, tokens, outcome, **times)

    def _returnable_tokens(self, account: account_rows.Account) -> int:
        oldest = self._store_now() - account_rows.MAX_RETURN_TIME
        return account.returnable_tokens(self._witnesses.live_ids(), oldest)

    def _is_write_due(self, account: account_rows.Account) -> bool:
        if self._plan.is_stopping:
            return bool(account.bills)
        return self._checkpointer.is_due(account)

    def _ensure_committing(self, account: account_rows.Account) -> None:
        if account.task is None or account.task.done():
            account.task = asyncio.create_task(self._run_commits(account))

    def _is_quiet(self, account: account_rows.Account) -> bool:
        """Return whether another host draws the account's tokens for this one.

        This host's own next requests check what is due by themselves.
        """
        if account.waiters or account.requested_by_hosts:
            return False
        return self._plan.may_spend(account) and self._home.is_remote(account.name)

    def _give_back_if_due(self, account: account_rows.Account) -> None:
        """Give what lies idle here back to the account's home, if it is not needed.

        A request leaves some tokens behind. On hundreds of hosts they add up to a large
        part of a small budget, that no request could use.
        """
        now = self._now()
        if not self._home.is_remote(account.name) or account.ledger.idle <= 0:
            return
        if account.demand.idle_seconds(now) < GIVE_BACK_AFTER or account.waiters:
            return
        if self._plan.draws_in_advance(account):
            return
        task = account.give_back_task
        if now < account.give_back_after or (task is not None and not task.done()):
            return
        account.give_back_task = asyncio.create_task(self._transfers.give_back(account))

    def _commit_if_due(self, account: account_rows.Account) -> None:
        limit_is_low = self._plan.limit_is_low(account)
        is_due = account.waiters or limit_is_low or self._plan.draw(account)
        if is_due or self._commits.restores.is_before(account):
            self._ensure_committing(account)

    async def _run_commits(self, account: account_rows.Account) -> None:
        """Commit until nothing is due; refuse waiters if the rows can't be used."""
        try:
            async with account.lock:
                while await self._commit_next(account):
                    pass
        except Exception:
            # A commit that may still apply stays pending in the ledger, so that no
            # other one starts.
            log.exception("account_commit_failed", account=account.name)
            self._waiters.refuse_uncovered(account, "the account's rows can't be used")

    async def _commit_next(self, account: account_rows.Account) -> bool:
        """Do what is due next for an account; return whether more may be due."""
        self._waiters.grant(account)
        if self._commits.restores.is_before(account):
            failed = await self._commits.restore(
                account, serve_waiters=self._waiters.serve_from_hosts
            )
            if failed is not None:
                await self._waiters.serve_from_hosts(account, failed.reason)
            return failed is None
        may_draw = True
        if self._covers_waiters(account):
            may_draw = await self._prepare_draw_in_passing(account)
        else:
            if await self._transfers.get_from_home(account):
                return True
            if self.store_is_slow and self._transfers.is_left_to_home(account):
                await asyncio.sleep(transfers.HOME_PAUSE)
                return True
            await self._prepare_draw(account)
        # Tokens are returned in any case, as after a budget was lowered.
        draw = self._plan.draw(account)
        draw = draw if may_draw else min(0, draw)
        waiting = account.open_waiters()
        # The first waiter's tokens are idle here, but may be used only after a commit.
        covered_above_limit = waiting and account.ledger.idle >= waiting[0].tokens
        write_is_due = self._is_write_due(account)
        limit_is_low = not waiting and self._plan.limit_is_low(account)
        must_restate = account.restatement is not None
        if draw or covered_above_limit or write_is_due or limit_is_low or must_restate:
            change = self._plan.change(account, draw=draw)
            kind = commit_counts.DRAW if draw else commit_counts.LIMIT
            return await self._commits.commit(
                [change], kind=kind, serve_waiters=self._waiters.serve_from_hosts
            )
        if not waiting:
            return False
        return await self._waiters.request_or_refuse(account)

    def _covers_waiters(self, account: account_rows.Account) -> bool:
        """Return whether idle tokens cover all that wait, so that only a limit lacks.

        Then nothing is asked of the home, which may be out of reach for seconds.
        """
        waiting = account.open_waiters()
        return bool(waiting) and account.ledger.idle >= sum(w.tokens for w in waiting)

    def _is_contended(self, account: account_rows.Account) -> bool:
        """Return whether other hosts draw from the account's row too."""
        return self._now() - account.conflict_at < CONTENDED_SECONDS

    async def _prepare_draw_in_passing(self, account: account_rows.Account) -> bool:
        """Reread the row for a draw if that is quick; return whether to draw.

        Without a draw the next commit changes this host's own row only, which meets no
        other host's.
        """
        if not self._is_contended(account) or not self._plan.draw(account):
            return True
        if self._now() < account.draw_after:
            return False
        try:
            async with asyncio.timeout(READ_IN_PASSING):
                await self._commits.refresh(
                    account, serve_waiters=self._waiters.serve_from_hosts
                )
        except TimeoutError:
            return False
        return True

    async def _prepare_draw(self, account: account_rows.Account) -> None:
        """Wait after conflicts, and reread the row if other hosts draw from it too."""
        if not self._plan.draw(account):
            return
        pause = account.draw_after - self._now()
        if account.open_waiters():
            pause = min(pause, MAX_PAUSE_WITH_WAITERS)
        if pause > 0:
            await asyncio.sleep(pause)
        if self._is_contended(account):
            await self._commits.refresh(
                account, serve_waiters=self._waiters.serve_from_hosts
            )
