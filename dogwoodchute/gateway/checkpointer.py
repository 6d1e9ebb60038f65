"""Writes the rows of many accounts together, as often as the store's rates allow."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints
from dogwoodchute.gateway import account_rows, commit_counts, reservations

Draw = abc.Callable[[account_rows.Account], int]


class Checkpointer:
    """The commits of one host that write what was used of its accounts."""

    def __init__(
        self,
        *,
        accounts: abc.Callable[[], list[account_rows.Account]],
        commits: account_rows.Commits,
        waiting: account_rows.Waiting,
        change: abc.Callable[..., account_rows.Change],
        hosts: abc.Callable[[], int],
        known: abc.Callable[[], int],
        home: reservations.Home,
        regions: int,
        rates: checkpoints.Rates,
        now: abc.Callable[[], float],
    ) -> None:
        self._accounts = accounts
        self._commits = commits
        self._waiting = waiting
        self._change = change  # of an account, that draws `draw` tokens
        self._hosts = hosts
        self._known = known  # how many accounts there are, used here or not
        self._home = home
        self._regions = regions
        self._rates = rates
        self._now = now
        self._tasks: dict[str, asyncio.Task] = {}  # by part

    def begin(self) -> None:
        """Begin a commit to each part where one is due and none is under way."""
        due = {account.part for account in self._accounts() if self.is_due(account)}
        for part in sorted(due):
            running = self._tasks.get(part)
            if running is None or running.done():
                self._tasks[part] = asyncio.create_task(self.write(part))

    def cancel(self) -> None:
        """Cancel all commits under way."""
        for task in self._tasks.values():
            task.cancel()

    def is_due(self, account: account_rows.Account) -> bool:
        """Return whether an account's row is older than it should be."""
        if not _unwritten(account):
            return False
        hosts = self._hosts()
        pace, writers = checkpoints.OWN, hosts
        if not account.ledger.granted:
            pace = checkpoints.BILLS
        elif self._home.is_here(account.name):
            pace, writers = checkpoints.AHEAD, self._home_hosts(hosts)
        last = account.ledger.sent_at()
        if pace is checkpoints.BILLS:
            last = max(last, account.billed_at)
        rates = checkpoints.slowed(self._rates, self._commits.slowness())
        interval = checkpoints.interval(pace, writers=writers, rates=rates)
        return self._now() - last >= interval

    async def write(self, part: str, *, draw: Draw = lambda account: 0) -> None:
        """Write the rows of a part's accounts, those first that wait longest."""
        due = [
            account
            for account in self._accounts()
            if account.part == part
            and not account.lock.locked()
            and _unwritten(account)
        ]
        due.sort(key=lambda account: account.ledger.sent_at())
        batch = due[: account_rows.MAX_ACCOUNTS]
        if not batch:
            return
        changes = [self._change(account, draw=draw(account)) for account in batch]
        granted = any(account.ledger.granted for account in batch)
        kind = commit_counts.CHECKPOINT if granted else commit_counts.BILLS
        for account in batch:
            await account.lock.acquire()
        try:
            await self._commits.commit(changes, kind=kind, waiting=self._waiting)
        except Exception:
            log.exception("checkpoint_failed", part=part)
        finally:
            for account in batch:
                account.lock.release()

    def _home_hosts(self, hosts: int) -> int:
        return checkpoints.homes(
            accounts=self._known(), regions=self._regions, hosts=hosts
        )


def _unwritten(account: account_rows.Account) -> bool:
    """Whether an account's row should tell of what was used."""
    return bool(account.bills) or account.ledger.granted > 0
