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
from dogwoodchute.coordination import checkpoints, escrow, grants, sizing
from dogwoodchute.gateway import (
    account_rows,
    commit_counts,
    model,
    reservations,
    rows,
)

HORIZON = 14.0  # seconds of use that a host keeps ahead, for a time without the store
HOME_REFILL = 0.75  # of the use kept ahead, below which a home draws again
OWN_REFILL = 0.5  # the same of other hosts, whose draws would meet one another's
HELD_SHARE = 0.5  # of what a host and the budget have left, that it holds at most
CHECK_INTERVAL = 0.2  # seconds between looks at what to draw, return or write
QUIET_INTERVAL = 0.8  # seconds between looks at an account where nothing was due
AHEAD_SHARE = 0.25  # of a host's idle tokens, that it may use without a commit
GIVE_WAIT = 0.1  # seconds for a commit that frees tokens for another host
CONTENDED_FOR = 10.0  # seconds after a draw that met another host's
OWN_REQUESTS = 6  # in a horizon, from which a host that is no home draws ahead
AWAY_MEMORY = 0.5  # seconds after a store without an answer in which none is awaited
HOME_PAUSE = 0.3  # seconds after an account's home had nothing to give
ASK_PAUSE = 0.25  # seconds after other hosts had nothing to give
MAX_ASKED = 8  # other hosts that are asked for tokens at once
WAIT = escrow.WRITE_AHEAD + 0.1  # seconds that a request waits for tokens at the most
ROW_AGE = 0.3  # seconds for which rows that were read may serve to refuse
SHORTAGE = 0.3  # seconds for which requests as large as one refused are refused too
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
        regions: int = 1,
        rates: checkpoints.Rates | None = None,
    ) -> None:
        self._holder = holder
        self._config = config
        self._hosts = hosts
        self._ask = ask
        self._home = home
        self._now = now
        self._regions = regions
        self._rates = rates or checkpoints.Rates()
        self._checkpoints: dict[str, asyncio.Task] = {}  # by part
        self._commits = account_rows.Commits(holder=holder, store=store, now=now)
        self._accounts: dict[str, account_rows.Account] = {}
        self._shortages: dict[str, reservations.Shortage] = {}
        self._away_at = float("-inf")  # monotonic seconds: the store did not answer
        self._returning = False  # this host stops and gives everything back
        self._config_seen: model.Config | None = None  # at the last look

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
        shortage = self._shortages.get(name)
        if shortage is not None and now < shortage.until and tokens >= shortage.tokens:
            outcome = shortage.outcome
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

    def settle(self, name: str, reserved: int, bill: account_rows.Bill | None) -> None:
        """End a reservation; `bill` is None for a request that did not run."""
        account = self._account(name)
        used = 0 if bill is None else bill.input_tokens + bill.output_tokens
        account.ledger.settle(reserved, used)
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
            account.look_at = float("-inf")
            log.info("tokens_given", account=name, tokens=given, asked=tokens)
        return given

    async def run(self) -> None:
        """Draw, return and bill until cancelled."""
        try:
            while True:
                self._look()
                self._begin_checkpoints()
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            for task in self._checkpoints.values():
                task.cancel()

    async def flush(self) -> None:
        """Return all idle tokens and write all bills."""
        self._returning = True
        await asyncio.gather(*(self._checkpoint(part) for part in account_rows.parts()))
        # What a conflict, a commit under way or the size of a commit left out.
        for account in self._accounts.values():
            self._kick(account)
        tasks = [a.task for a in self._accounts.values() if a.task is not None]
        if tasks:
            await asyncio.wait(tasks)

    def _begin_checkpoints(self) -> None:
        """Begin a checkpoint of each part in which one is due and none under way."""
        now = self._now()
        accounts = list(self._accounts.values())
        due = {a.part for a in accounts if self._checkpoint_due(a, now)}
        for part in sorted(due):
            running = self._checkpoints.get(part)
            if running is None or running.done():
                task = asyncio.create_task(self._checkpoint(part))
                self._checkpoints[part] = task

    async def _checkpoint(self, part: str) -> None:
        """Write what was used of a part's accounts, those first that wait longest."""
        due = [
            account
            for account in self._accounts.values()
            if account.part == part
            and not account.lock.locked()
            and _unwritten(account)
        ]
        due.sort(key=lambda account: account.ledger.sent_at())
        batch = due[: account_rows.MAX_ACCOUNTS]
        if not batch:
            return
        changes = [
            account_rows.Change(
                account,
                self._draw(account) if self._returning else 0,
                self._ahead(account),
            )
            for account in batch
        ]
        granted = any(account.ledger.granted for account in batch)
        kind = commit_counts.CHECKPOINT if granted else commit_counts.BILLS
        for account in batch:
            await account.lock.acquire()
        try:
            await self._commits.commit(changes, kind=kind, waiting=self._bridge)
        except Exception:
            log.exception("checkpoint_failed", part=part)
        finally:
            for account in batch:
                account.lock.release()

    def _checkpoint_due(self, account: account_rows.Account, now: float) -> bool:
        if not _unwritten(account):
            return False
        if self._returning:
            return bool(account.bills)
        hosts = self._hosts()
        pace, writers = checkpoints.OWN, hosts
        if not account.ledger.granted:
            pace = checkpoints.BILLS
        elif self._home.is_here(account.name):
            pace, writers = checkpoints.AHEAD, self._home_hosts(hosts)
        last = account.ledger.sent_at()
        if pace is checkpoints.BILLS:
            last = max(last, account.billed_at)
        interval = checkpoints.interval(pace, writers=writers, rates=self._rates)
        return now - last >= interval

    def _home_hosts(self, hosts: int) -> int:
        config = self._config()
        accounts = len(config.accounts) if config is not None else 1
        return checkpoints.homes(accounts=accounts, regions=self._regions, hosts=hosts)

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
        """End a wait; free what was reserved just as it ended."""
        if waiter in account.waiters:
            account.waiters.remove(waiter)
        if not waiter.done.done():
            waiter.done.cancel()
        elif isinstance(waiter.done.result(), reservations.Reserved):
            account.ledger.settle(waiter.tokens, 0)
        # Smaller requests may have waited behind it.
        self._grant(account)

    def _out_of_reach(
        self, account: account_rows.Account, tokens: int, reason: str
    ) -> reservations.ReserveOutcome:
        """Return a refusal that says when to try again."""
        usable_in = 0.0
        if account.ledger.idle >= tokens:
            usable_in = account.ledger.sent_at() + escrow.WRITE_AHEAD - self._now()
        return reservations.OutOfReach(
            reason=reason, retry_after=reservations.retry_after(usable_in=usable_in)
        )

    def _note_refusal(
        self,
        account: account_rows.Account,
        tokens: int,
        outcome: reservations.ReserveOutcome,
        began: float,
    ) -> None:
        """Log why a request got no tokens, and how old what was known is."""
        now = self._now()
        ledger = account.ledger
        ages = {
            "waited": now - began,
            "rows_age": now - account.read_at if account.read_at is not None else None,
            "commit_age": now - ledger.sent_at(),
            "home_age": now - account.home_failed_at,
            "asked_age": now - account.asked_in_vain_at,
            "away_age": now - self._away_at,
        }
        log.info(
            "reserve_refused",
            account=account.name,
            tokens=tokens,
            reason=getattr(outcome, "reason", "exhausted"),
            idle=ledger.idle,
            available=ledger.available(now),
            drawn=account.shared.drawn,
            waiting=len(account.waiters),
            pending=ledger.pending is not None,
            home="elsewhere" if self._home.is_elsewhere(account.name) else "here",
            **{name: f"{age:.2f}" for name, age in ages.items() if age is not None},
        )

    def _look(self) -> None:
        """Look at accounts with waiters, those due lately, and the others in turn."""
        config, now = self._config(), self._now()
        for account in list(self._accounts.values()):
            quiet = config is self._config_seen and not account.waiters
            if quiet and now < account.look_at:
                continue
            self._kick_if_due(account)
        self._config_seen = config

    def _kick(self, account: account_rows.Account) -> None:
        account.look_at = float("-inf")
        if account.task is None or account.task.done():
            account.task = asyncio.create_task(self._work(account))

    def _kick_if_due(self, account: account_rows.Account) -> None:
        if account.waiters or self._draw(account) or self._limit_is_low(account):
            self._kick(account)
            return
        now = self._now()
        account.look_at = now + QUIET_INTERVAL
        if account.draw_after > now:
            account.look_at = min(account.look_at, account.draw_after)

    def _limit_is_low(self, account: account_rows.Account) -> bool:
        """Whether requests may soon have to wait for a commit, though tokens are here.

        Only a new commit raises what may be used without one.
        """
        available = account.ledger.available(self._now())
        wanted = max(account.asked, self._ahead(account) // 4)
        return available < min(wanted, account.ledger.idle)

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
        if await self._get_from_home(account):
            return True
        await self._prepare_draw(account)
        draw = self._draw(account)
        waiting = account.waiting()
        limited = waiting and account.ledger.idle >= waiting[0].tokens
        due = self._checkpoint_due(account, self._now())
        if draw or limited or due or (not waiting and self._limit_is_low(account)):
            change = account_rows.Change(account, draw, self._ahead(account))
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
        if pause > 0:
            await asyncio.sleep(pause)
        if self._now() - account.conflict_at < CONTENDED_FOR:
            await self._commits.refresh(account, waiting=self._bridge)

    def _grant(self, account: account_rows.Account) -> None:
        """Reserve for the waiters that the ledger covers, in order."""
        if not self._may_spend(account):
            return
        now = self._now()
        for waiter in list(account.waiters):
            if waiter.done.done():
                account.waiters.remove(waiter)
                continue
            if not account.ledger.reserve(waiter.tokens, now):
                return
            account.waiters.remove(waiter)
            waiter.done.set_result(reservations.Reserved())

    def _ahead(self, account: account_rows.Account) -> int:
        """Return the tokens that may be used before the next commit."""
        needed = sum(waiter.tokens for waiter in account.waiting())
        ahead = int(AHEAD_SHARE * max(0, account.ledger.idle))
        return needed + account.asked + ahead

    def _draw(self, account: account_rows.Account) -> int:
        """Return the tokens to draw now, negative to return some."""
        prepaid = self._prepaid(account)
        idle = account.ledger.idle
        if prepaid is None or account.ledger.pending is not None:
            return 0
        if self._returning or account.shared.drawn > prepaid:
            return -max(0, idle)
        now = self._now()
        balance = grants.Balance(prepaid, account.shared.drawn)
        rate = account.demand.rate(now) if self._draws_ahead(account) else 0.0
        needed = sum(w.tokens for w in account.waiting()) - max(0, idle)
        if self._home.is_here(account.name):
            needed += account.asked
        if needed > 0:
            whole = sizing.draw_size(
                balance=balance,
                needed=needed,
                rate=rate,
                horizon=HORIZON,
                share=HELD_SHARE,
            )
            return whole or self._draw_for_first(account, balance)
        if now < account.draw_after:
            return 0
        refill = sizing.refill_size(
            balance=balance,
            available=max(0, idle),
            reserved=0,
            rate=rate,
            horizon=HORIZON,
            share=HELD_SHARE,
            below=HOME_REFILL if self._home.is_here(account.name) else OWN_REFILL,
        )
        if refill:
            return refill
        return -sizing.return_size(
            available=idle,
            reserved=account.ledger.reserved,
            rate=account.demand.rate(now),
            horizon=HORIZON,
            idle=account.demand.idle(now),
        )

    def _draws_ahead(self, account: account_rows.Account) -> bool:
        """Whether this host holds tokens of an account for requests to come."""
        if not self._home.is_elsewhere(account.name):
            return True
        ahead = account.demand.lower_rate(self._now()) * HORIZON
        return ahead >= OWN_REQUESTS * account.mean_request

    def _draw_for_first(
        self, account: account_rows.Account, balance: grants.Balance
    ) -> int:
        """Return what the first waiter lacks, or all that is left to draw.

        Other hosts may have what is lacking then.
        """
        waiting = account.waiting()
        first = waiting[0].tokens if waiting else account.asked
        lacking = first - max(0, account.ledger.idle)
        return max(0, min(lacking, balance.remaining))

    async def _get_from_home(self, account: account_rows.Account) -> bool:
        """Get the waiters' tokens from the account's home; return whether any came.

        A fleet's hosts together need far fewer tokens in one place than each of them
        for its own next requests.
        """
        waiting = account.waiting()
        now = self._now()
        if not waiting or not self._home.is_elsewhere(account.name):
            return False
        if now - account.home_failed_at < HOME_PAUSE:
            return False
        lacking = sum(w.tokens for w in waiting) - max(0, account.ledger.available(now))
        got = await self._home.ask(account.name, lacking) if lacking > 0 else 0
        if not got:
            account.home_failed_at = self._now()
            return False
        account.ledger.take(got)
        return True

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
        until = self._now() + SHORTAGE
        self._shortages[account.name] = reservations.Shortage(until, least, outcome)
        for waiter in waiting:
            if waiter.tokens >= least:
                account.waiters.remove(waiter)
                waiter.done.set_result(outcome)
        return True

    async def _collect(
        self, account: account_rows.Account, have: int
    ) -> reservations.Collected | None:
        """Get what the first waiter lacks, beyond the tokens that this host has.

        They come from other hosts. Return None if nothing lacks.
        """
        waiting = account.waiting()
        if not waiting:
            return None
        if not self._may_spend(account):
            return reservations.Collected(0, True)
        lacking = waiting[0].tokens - max(0, have)
        if lacking <= 0:
            return None
        collected = await self._ask(account.name, lacking, self._holders(account))
        account.ledger.take(collected.tokens)
        log.info(
            "tokens_got",
            account=account.name,
            tokens=collected.tokens,
            asked=lacking,
            whole=collected.whole,
        )
        return collected

    def _holders(self, account: account_rows.Account) -> list[str]:
        """Return the other holders, those first that seem to hold most."""
        idle = {
            name: holding.granted - holding.spent
            for name, holding in account.holdings.items()
            if name != self._holder
        }
        return sorted(idle, key=lambda name: (-idle[name], name))

    async def _bridge(self, account: account_rows.Account, reason: str) -> None:
        """Serve the waiters with other hosts' tokens while the store has no answer.

        Those that this host's own tokens cover wait until they may be used. While a
        first call is under way all others wait too, as it may bring what they lack.
        """
        self._away_at = self._now()
        self._grant(account)
        while account.waiting() and self._may_ask(account):
            collected = await self._collect(
                account, account.ledger.available(self._now())
            )
            self._grant(account)
            if collected is None:
                break
            if collected.tokens == 0:
                account.asked_in_vain_at = self._now()
        if self._commits.away and not self._may_ask(account):
            self._fail(account, reason)

    def _may_ask(self, account: account_rows.Account) -> bool:
        """Return False just after other hosts had nothing to give."""
        return self._now() - account.asked_in_vain_at >= ASK_PAUSE

    def _fail(self, account: account_rows.Account, reason: str) -> None:
        """Refuse the waiters that this host's tokens do not cover, in their order."""
        idle = account.ledger.idle
        for waiter in account.waiting():
            if waiter.tokens <= idle:
                idle -= waiter.tokens
                continue
            outcome = self._out_of_reach(account, waiter.tokens, reason)
            self._end(account, waiter, outcome)
            known = self._shortages.get(account.name)
            until = self._now() + SHORTAGE
            if known is None or known.until < self._now():
                self._shortages[account.name] = reservations.Shortage(
                    until, waiter.tokens, outcome
                )

    def _end(
        self,
        account: account_rows.Account,
        waiter: account_rows.Waiter,
        outcome: reservations.ReserveOutcome,
    ) -> None:
        account.waiters.remove(waiter)
        waiter.done.set_result(outcome)


def _unwritten(account: account_rows.Account) -> bool:
    """Whether an account's row should tell of what was used."""
    return bool(account.bills) or account.ledger.granted > 0
