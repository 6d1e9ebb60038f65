"""Writes the rows of several accounts together, as often as the store's rates allow."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints
from dogwoodchute.gateway.accounts import (
    account_commits,
    account_rows,
    commit_counts,
    reservations,
    served_calls,
)

Draw = abc.Callable[[account_rows.Account], int]


class Checkpointer:
    """The commits with which one host records what it used of its accounts."""

    def __init__(
        self,
        *,
        accounts: abc.Callable[[], list[account_rows.Account]],
        commits: account_commits.Commits,
        serve_waiters: served_calls.ServeWaiters,
        change: abc.Callable[..., account_commits.Change],
        host_count: abc.Callable[[], int],
        account_count: abc.Callable[[], int],
        home: reservations.Home,
        regions: int,
        rates: checkpoints.Rates,
        now: abc.Callable[[], float],
    ) -> None:
        self._accounts = accounts
        self._commits = commits
        self._serve_waiters = serve_waiters
        self._change = change  # makes an account's change that draws `draw` tokens
        self._host_count = host_count
        self._account_count = account_count  # of all accounts, used here or not
        self._home = home
        self._regions = regions
        self._rates = rates
        self._now = now
        self._writes: dict[str, asyncio.Task] = {}  # by part

    def start_due(self) -> None:
        """Start a commit to each partition where one is due and none is under way."""
        due = {account.part for account in self._accounts() if self.is_due(account)}
        for part in sorted(due):
            running = self._writes.get(part)
            if running is None or running.done():
                self._writes[part] = asyncio.create_task(self.write(part))

    def cancel(self) -> None:
        """Cancel all commits under way."""
        for task in self._writes.values():
            task.cancel()

    def is_due(self, account: account_rows.Account) -> bool:
        """Return whether the last commit of an account is too long ago."""
        if not _needs_write(account):
            return False
        hosts = self._host_count()
        commit_rate, writers = checkpoints.OWN_COMMITS, hosts
        if not account.ledger.granted:
            commit_rate = checkpoints.BILL_COMMITS
        elif self._home.is_local(account.name):
            commit_rate, writers = checkpoints.HOME_COMMITS, self._home_hosts(hosts)
        last = account.ledger.sent_at()
        if commit_rate is checkpoints.BILL_COMMITS:
            last = max(last, account.unwritten_since)
        rates = checkpoints.rates_of_slow_store(
            self._rates, self._commits.slow_commit_seconds()
        )
        interval = checkpoints.commit_interval(
            commit_rate, writers=writers, rates=rates
        )
        return self._now() - last >= interval

    async def write(self, part: str, *, draw: Draw = lambda account: 0) -> None:
        """Write rows of a partition's accounts, least recently written ones first."""
        due = [
            account
            for account in self._accounts()
            if account.part == part
            and not account.lock.locked()
            and account.restatement is None
            and not self._commits.restores.is_before(account)
            and _needs_write(account)
        ]
        due.sort(key=lambda account: account.ledger.sent_at())
        batch = due[: account_commits.MAX_ACCOUNTS]
        if not batch:
            return
        changes = [self._change(account, draw=draw(account)) for account in batch]
        granted = any(account.ledger.granted for account in batch)
        kind = commit_counts.CHECKPOINT if granted else commit_counts.BILLS
        for account in batch:
            await account.lock.acquire()
        try:
            await self._commits.commit(
                changes, kind=kind, serve_waiters=self._serve_waiters
            )
        except Exception:
            log.exception("checkpoint_failed", part=part)
        finally:
            for account in batch:
                account.lock.release()

    def _home_hosts(self, hosts: int) -> int:
        return checkpoints.max_home_hosts(
            accounts=self._account_count(), regions=self._regions, hosts=hosts
        )


def _needs_write(account: account_rows.Account) -> bool:
    """Return whether the account has bills, or granted tokens whose use is recorded."""
    return bool(account.bills) or account.ledger.granted > 0
