"""Writes bills in group commits and tells when each is durable."""

import asyncio
import dataclasses
from collections import abc

from dogwoodchute import controller, log, metrics_money as metrics, state
from dogwoodchute.controllers import grants
from dogwoodchute.coordination import bills, pacing, rows
from dogwoodchute.platform import table

MAX_GROUP = 40  # bills in one commit
FLEET_COMMITS = 300.0  # group commits a second of all hosts together


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Durable:
    """The bill is in the store, written by this host."""

    uncovered: int = 0  # tokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Elsewhere:
    """The request was billed by another commit before; its tokens are freed here."""

    row: table.Row


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AtPeers:
    """Peers keep copies of the bill until the store takes it."""

    hosts: tuple[str, ...]


Kept = Durable | Elsewhere | AtPeers


class Bill:
    """One bill on its way to the store.

    `kept` ends when the bill can no longer be lost with this host, `durable` when the
    store has it. `checks` and `writes` belong to the same commit as the bill.
    """

    def __init__(
        self,
        *,
        entry: bills.Entry,
        submitted: float,
        checks: abc.Sequence[table.Check] = (),
        writes: abc.Sequence[table.Write] = (),
        copied: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.entry = entry
        self.submitted = submitted  # monotonic seconds
        self.checks = list(checks)
        self.writes = list(writes)
        self.copied = copied  # another host's bill
        self.replaced: table.Row | None = None  # the bill of a run that broke off
        self.holders: set[str] = set()  # peers that keep a copy
        self.kept: asyncio.Future[Kept] = loop.create_future()
        self.durable: asyncio.Future[Durable | Elsewhere] = loop.create_future()

    @property
    def key(self) -> str:
        """The key of the bill's row."""
        return rows.bill(self.entry.account, self.entry.request_key)

    @property
    def charge(self) -> int:
        """Tokens that the bill adds to the grant's billed ones."""
        replaced = self.replaced.value if self.replaced is not None else None
        return bills.charge(self.entry, replaced)

    @property
    def value(self) -> dict:
        """The value of the bill's row."""
        replaced = self.replaced.value if self.replaced is not None else None
        return bills.value(self.entry, replaced)

    def finish(self, kept: Durable | Elsewhere) -> None:
        """Record that the store has the bill."""
        self.durable.set_result(kept)
        if not self.kept.done():
            self.kept.set_result(kept)


class Bills:
    """The bills of this host that are not durable yet."""

    def __init__(self, *, host: state.HostState, granted: grants.Grants) -> None:
        self._host = host
        self._grants = granted
        self._queued: dict[str, list[Bill]] = {}
        self._unwritten: dict[str, Bill] = {}
        self._flushing = asyncio.Lock()

    @property
    def unwritten(self) -> list[Bill]:
        """The bills that the store does not have yet, oldest first."""
        return list(self._unwritten.values())

    def submit(
        self,
        entry: bills.Entry,
        *,
        checks: abc.Sequence[table.Check] = (),
        writes: abc.Sequence[table.Write] = (),
        copied: bool = False,
    ) -> Bill:
        """Queue a bill whose tokens were settled in the account's ledger."""
        bill = Bill(
            entry=entry,
            submitted=self._host.now(),
            checks=checks,
            writes=writes,
            copied=copied,
        )
        self._queued.setdefault(entry.account, []).append(bill)
        self._unwritten[f"{bill.key} {id(bill)}"] = bill
        metrics.PENDING_BILLS.inc()
        return bill

    async def wait(self, bill: Bill) -> Kept | None:
        """Wait until a bill is kept; None if the settings' bound ran out first."""
        await asyncio.wait({bill.kept}, timeout=self._host.config.budget.bill_wait)
        return bill.kept.result() if bill.kept.done() else None

    async def flush(self) -> None:
        """Write what is queued in group commits, until done or the store fails."""
        async with self._flushing:
            while await self._flush_group():
                pass

    def controller(self) -> controller.Controller:
        """Return the controller that flushes, less often in a large fleet."""

        def interval() -> float:
            return pacing.shared_interval(
                1 + len(self._host.peers.known()),
                fleet_rate=FLEET_COMMITS,
                shortest=self._host.config.budget.bill_interval,
            )

        return controller.periodic(
            "bills", self.flush, interval=interval, final=self.flush
        )

    async def _flush_group(self) -> bool:
        group: dict[str, list[Bill]] = {}
        room = MAX_GROUP
        locks = []
        try:
            for account in list(self._queued):
                lock = self._grants.account(account).lock
                # A draw that is not resolved must not hold up the other accounts.
                if lock.locked() or room == 0:
                    continue
                await lock.acquire()
                locks.append(lock)
                group[account] = self._take(account, room)
                room -= len(group[account])
            if not group:
                return False
            return await self._write(group)
        finally:
            for account, left in group.items():
                self._put_back(account, left)
            for lock in locks:
                lock.release()

    def _take(self, account: str, count: int) -> list[Bill]:
        """Take up to `count` bills off the queue, no key twice."""
        taken: dict[str, Bill] = {}
        left = []
        for bill in self._queued.pop(account):
            if len(taken) == count or bill.key in taken:
                left.append(bill)
                continue
            taken[bill.key] = bill
        if left:
            self._queued[account] = left
        return list(taken.values())

    def _put_back(self, account: str, left: list[Bill]) -> None:
        if left:
            self._queued[account] = left + self._queued.get(account, [])

    async def _write(self, group: dict[str, list[Bill]]) -> bool:
        """Write the bills of `group`, and take out of it those that are done with.

        Return whether there was progress. The caller holds the accounts' locks.
        """
        ready = {}
        for account, batch in group.items():
            if await self._cover(account, batch):
                ready[account] = batch
        if not ready:
            return False
        checks, writes = self._rows(ready)
        outcome = await self._host.definite.commit(
            table.commit_id(self._host.rng), checks, writes
        )
        if isinstance(outcome, table.Committed):
            for account, batch in ready.items():
                self._confirm(account, batch, outcome)
                batch.clear()
            return True
        if isinstance(outcome, table.Conflict):
            for account, batch in ready.items():
                self._sort_out(account, batch, outcome)
            return True
        log.warning("bills_not_written", reason=outcome.reason, peer=outcome.peer)
        return False

    async def _cover(self, account: str, batch: list[Bill]) -> bool:
        """Make sure that the grant covers a batch; only a lost grant does not."""
        ledger = self._grants.ledger(account)

        def lacking() -> int:
            return sum(bill.charge for bill in batch) - ledger.grant.unspent

        if lacking() <= 0:
            return True
        failure = await self._grants.draw(account, lacking)
        if isinstance(failure, grants.Spent) and failure.remaining > 0:
            rest = failure.remaining
            failure = await self._grants.draw(account, lambda: rest) or failure
        if isinstance(failure, grants.OutOfReach):
            return False
        if failure is None or lacking() <= 0:
            return True
        charges = [bill.charge for bill in batch]
        beyond = bills.uncovered(charges, ledger.grant.unspent)
        for bill, tokens in zip(batch, beyond, strict=True):
            ledger.drop(tokens)
            bill.entry = bill.entry._replace(
                tokens=bill.entry.tokens - tokens,
                uncovered=bill.entry.uncovered + tokens,
            )
        return True

    def _rows(
        self, ready: dict[str, list[Bill]]
    ) -> tuple[list[table.Check], list[table.Write]]:
        checks, writes = [], []
        for account, batch in ready.items():
            key = self._grants.row_key(account)
            state_ = self._grants.account(account)
            tokens = sum(bill.charge for bill in batch)
            grant = state_.ledger.grant
            grant = grant._replace(billed=grant.billed + tokens)
            checks.append(table.Check(key, state_.version))
            writes.append(table.Write(key, self._grants.row_value(grant)))
            for bill in batch:
                version = bill.replaced.version if bill.replaced is not None else 0
                checks += [table.Check(bill.key, version), *bill.checks]
                writes.append(table.Write(bill.key, bill.value))
                writes += bill.writes
        return checks, writes

    def _confirm(
        self, account: str, batch: list[Bill], outcome: table.Committed
    ) -> None:
        state_ = self._grants.account(account)
        key = self._grants.row_key(account)
        state_.version = outcome.versions.get(key, state_.version)
        for bill in batch:
            state_.ledger.confirm(bill.charge)
            metrics.BILLED.inc(bill.charge)
            if bill.entry.uncovered:
                metrics.UNCOVERED.inc(bill.entry.uncovered)
                log.error("bill_uncovered", **bill.entry._asdict())
            self._finish(bill, Durable(uncovered=bill.entry.uncovered))

    def _sort_out(
        self, account: str, batch: list[Bill], conflict: table.Conflict
    ) -> None:
        """Take the bills that exist already out of a batch that was refused."""
        key = self._grants.row_key(account)
        if key in conflict.rows:
            self._grants.lost(account, conflict.rows[key])
        for bill in list(batch):
            row = conflict.rows.get(bill.key)
            if row is not None and bills.may_replace(bill.entry, row.value):
                before = bill.charge
                bill.replaced = row
                self._grants.ledger(account).drop(before - bill.charge)
                continue
            if row is not None:
                batch.remove(bill)
                self._grants.ledger(account).drop(bill.charge)
                self._finish(bill, Elsewhere(row=row))
                continue
            if any(check.key in conflict.rows for check in bill.checks):
                log.error("bill_parted_from_claim", **bill.entry._asdict())
                bill.checks, bill.writes = [], []

    def _finish(self, bill: Bill, kept: Durable | Elsewhere) -> None:
        del self._unwritten[f"{bill.key} {id(bill)}"]
        metrics.PENDING_BILLS.dec()
        metrics.BILLS.labels(type(kept).__name__.lower()).inc()
        bill.finish(kept)
